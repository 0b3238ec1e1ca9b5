"""The state machine of one incarnation of a member: states, events and the table of transitions.

Owns no data. Imports only the standard library.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """The state of one incarnation. The values are used on the wire, in event logs and in metrics."""

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


class MemberEvent(StrEnum):
    """Events that may change the state of an incarnation."""

    REPORT_ACKNOWLEDGED = "report acknowledged"
    """It reported and has recently acknowledged a reply."""
    REPORT_UNACKNOWLEDGED = "report unacknowledged"
    """It reported but has not recently acknowledged a reply: replies may not reach it."""
    SUSPECT_TIMEOUT = "suspect timeout"
    DEAD_TIMEOUT = "dead timeout"
    LEAVE_ANNOUNCED = "leave announced"
    REPLACED = "replaced"
    """A later incarnation of the same name reported."""


TRANSITIONS: dict[MemberState, dict[MemberEvent, MemberState]] = {
    MemberState.JOINING: {
        MemberEvent.REPORT_ACKNOWLEDGED: MemberState.ALIVE,
        MemberEvent.REPORT_UNACKNOWLEDGED: MemberState.JOINING,
        MemberEvent.SUSPECT_TIMEOUT: MemberState.JOINING,
        MemberEvent.DEAD_TIMEOUT: MemberState.DEAD,
        MemberEvent.LEAVE_ANNOUNCED: MemberState.LEFT,
        MemberEvent.REPLACED: MemberState.DEAD,
    },
    MemberState.ALIVE: {
        MemberEvent.REPORT_ACKNOWLEDGED: MemberState.ALIVE,
        MemberEvent.REPORT_UNACKNOWLEDGED: MemberState.SUSPECT,
        MemberEvent.SUSPECT_TIMEOUT: MemberState.SUSPECT,
        MemberEvent.DEAD_TIMEOUT: MemberState.DEAD,
        MemberEvent.LEAVE_ANNOUNCED: MemberState.LEFT,
        MemberEvent.REPLACED: MemberState.DEAD,
    },
    MemberState.SUSPECT: {
        MemberEvent.REPORT_ACKNOWLEDGED: MemberState.ALIVE,
        MemberEvent.REPORT_UNACKNOWLEDGED: MemberState.SUSPECT,
        MemberEvent.SUSPECT_TIMEOUT: MemberState.SUSPECT,
        MemberEvent.DEAD_TIMEOUT: MemberState.DEAD,
        MemberEvent.LEAVE_ANNOUNCED: MemberState.LEFT,
        MemberEvent.REPLACED: MemberState.DEAD,
    },
    MemberState.LEFT: dict.fromkeys(MemberEvent, MemberState.LEFT),
    MemberState.DEAD: dict.fromkeys(MemberEvent, MemberState.DEAD),
}
"""The next state for each state and event; every combination is listed."""

FINAL_STATES = frozenset({MemberState.LEFT, MemberState.DEAD})
"""Final states: the name can rejoin only under a later incarnation."""


@dataclass(frozen=True, slots=True)
class MembershipTimeouts:
    """Durations without a report after which a state changes, and limits of the table."""

    suspect_timeout_us: int = 2_000_000
    dead_timeout_us: int = 5_000_000
    final_state_retention_us: int = 60_000_000  # how long an entry in a final state stays in the table
    max_entries: int = 1_024  # including entries in final states; further names are rejected


@dataclass(frozen=True, slots=True)
class MemberTransition:
    """A change of state. ``before`` is None for the first report of an incarnation."""

    name: str
    incarnation: int
    before: MemberState | None
    after: MemberState
    reason: str
