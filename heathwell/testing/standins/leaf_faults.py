"""The kinds of faults that can be injected into a leaf, and the faults that are active."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heathwell.eventloop import Loop
from heathwell.testing.standins.errors import FaultInjectionError


class LeafFault(StrEnum):
    """Kinds of faults, as fault commands name them on the wire."""

    STALL = "stall"
    SLOW = "slow"
    SILENT = "silent"
    PARTIAL_REPLY = "midreply"
    LOST_REPLIES = "lose"
    REJECT = "refuse"
    FAIL_QUERY_CLASS = "failclass"
    RESET_CONNECTIONS = "reset"
    DRAIN = "drain"
    TERMINATE = "die"
    CLEAR = "heal"
    LAG = "lag"
    STUCK = "stuck"
    RESTORE_OLD_COPY = "back"
    OVERSTATE_POSITION = "lie"
    MALFORMED_RESULTS = "spoil"


DATA_AGE_FAULTS = frozenset(
    {LeafFault.LAG, LeafFault.STUCK, LeafFault.RESTORE_OLD_COPY, LeafFault.OVERSTATE_POSITION}
)
OUTPUT_FAULTS = frozenset({LeafFault.STALL, LeafFault.PARTIAL_REPLY})


class FreshnessDisabledError(FaultInjectionError):
    """A fault of the data's age was requested of a leaf that does not follow a source."""

    def __init__(self, fault: LeafFault) -> None:
        super().__init__(f"'{fault}' needs (freshness (on yes))")
        self.fault = fault


@dataclass(frozen=True, slots=True)
class ActiveFault:
    """A fault's parameters and when it ends; the meaning of ``value`` and ``text`` depends on the fault."""

    ends_at_us: int
    value: float
    text: str


class ActiveFaults:
    """The faults of one leaf that have a duration, at most one of each kind."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._faults: dict[LeafFault, ActiveFault] = {}

    def activate(self, fault: LeafFault, duration_us: int, value: float, text: str) -> None:
        """Begin a fault; it replaces an earlier one of its kind."""
        self._faults[fault] = ActiveFault(self._loop.now() + duration_us, value, text)

    def get(self, fault: LeafFault) -> ActiveFault | None:
        """Return the fault of this kind, or None where none is active now."""
        active = self._faults.get(fault)
        if active is None or self._loop.now() >= active.ends_at_us:
            return None
        return active

    def is_active(self, fault: LeafFault) -> bool:
        """Return whether a fault of this kind is active now."""
        return self.get(fault) is not None

    def clear(self) -> None:
        """End all faults."""
        self._faults.clear()
