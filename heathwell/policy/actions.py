"""What an aggregator decides, to be carried out in order.

Types only; nothing here decides. Instants and spans are integers in microseconds on the caller's clock.
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
    """The first attempt of a part that is sent in place of, or beside, a failed or late one."""
    HEDGE = "hedge"
    """An attempt beside others of the same part that are in flight."""
    CANCELLED = "cancelled"
    """An attempt after the one before it was late and cancelled."""
    RETRY = "retry"
    """An attempt after the one before it failed or never left."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a part to an endpoint; the attempts of a part are numbered from 0 in this order.

    ``slow_start`` marks an attempt to an endpoint in slow start. What still waits for its connection at
    ``send_by_us`` must not leave any more: its class allows a repeat only up to then.
    """

    id: str
    node: str
    reason: AttemptReason = AttemptReason.FIRST
    slow_start: bool = False
    send_by_us: int | None = None

    @property
    def is_additional(self) -> bool:
        """Whether the attempt is beyond the first ones of the parts that are needed."""
        return self.reason is not AttemptReason.FIRST


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    seq: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer from the parts that are in (the first of two answers, in a class with a second step)."""

    id: str
    complete: bool


@dataclass(frozen=True, slots=True)
class Reject:
    """End a query: a repeat is harmless, and welcome after ``retry_after_us`` (0: no advice)."""

    id: str
    retry_after_us: int = 0
    reason: EndReason = EndReason.TOO_FEW_PARTS


@dataclass(frozen=True, slots=True)
class Fail:
    """End a query without a promise about its effect."""

    id: str
    reason: EndReason = EndReason.TOO_FEW_PARTS


@dataclass(frozen=True, slots=True)
class QuotaExhausted:
    """Report that the quota of the fleet left no additional attempt where one was due."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint."""

    node: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a :class:`~heathwell.policy.events.TimerFired` at an instant."""

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
