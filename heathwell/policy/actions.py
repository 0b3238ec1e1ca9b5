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


@dataclass(frozen=True, slots=True)
class Send:
    """Send a part to an endpoint; the attempts of a part are numbered from 0 in this order.

    ``additional`` marks an attempt beyond the first that are needed, ``slow_start`` one to an endpoint in
    slow start. What still waits for its connection at ``send_by_us`` must not leave any more: its class
    allows a repeat only up to then.
    """

    id: str
    node: str
    additional: bool = False
    slow_start: bool = False
    send_by_us: int | None = None


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
