"""Actions that an aggregator returns; the caller carries them out in order.

Types only, without decisions. Instants and durations are integers in microseconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heathwell.policy.operator_events import OperatorEvent


class EndReason(StrEnum):
    """Why a query was ended without an answer."""

    OVERLOAD = "overload"
    TOO_FEW_PARTS = "too_few_parts"
    QUERY_OF_DEATH = "query_of_death"
    DEADLINE = "deadline"


class AttemptReason(StrEnum):
    """Why an attempt is sent."""

    FIRST = "first"
    """The first attempt of a part that its query needs."""
    SUBSTITUTE = "substitute"
    """The first attempt of a part that is sent in place of, or beside, a failed or late part."""
    HEDGE = "hedge"
    """An attempt while others of the same part are in flight."""
    CANCELLED = "cancelled"
    """An attempt after the previous one was late and was cancelled."""
    RETRY = "retry"
    """An attempt after the previous one failed or was never sent."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a part to an endpoint; the attempts of a part are numbered from 0 in this order.

    ``slow_start`` marks an attempt that counts against the slow-start quota of its endpoint. An attempt that
    still waits for its connection at ``send_by_us`` must not be sent any more: its class allows a repeat only
    up to then.
    """

    id: str
    node: str
    reason: AttemptReason = AttemptReason.FIRST
    slow_start: bool = False
    send_by_us: int | None = None

    @property
    def is_additional(self) -> bool:
        """Whether it is an additional attempt: any but the first one of a part that its query needs."""
        return self.reason is not AttemptReason.FIRST


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    seq: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a query from the parts received; in a class with a second step, the first of two answers."""

    id: str
    complete: bool


@dataclass(frozen=True, slots=True)
class Reject:
    """End a query that its client may safely repeat, after ``retry_after_us`` (0: no advice)."""

    id: str
    retry_after_us: int = 0
    reason: EndReason = EndReason.TOO_FEW_PARTS


@dataclass(frozen=True, slots=True)
class Fail:
    """End a query whose parts may or may not have had an effect."""

    id: str
    reason: EndReason = EndReason.TOO_FEW_PARTS


@dataclass(frozen=True, slots=True)
class QuotaExhausted:
    """Report that an additional attempt was due and the fleet's quota did not allow it."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health probe to an endpoint."""

    node: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Call discovery for the changes to the endpoint list from now on."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer; when it is due, the caller passes :class:`~heathwell.policy.events.TimerFired`."""

    at_us: int
    label: str


Action = (
    Send
    | Cancel
    | Answer
    | Reject
    | Fail
    | QuotaExhausted
    | Probe
    | WatchEndpoints
    | SetTimer
    | OperatorEvent
)
