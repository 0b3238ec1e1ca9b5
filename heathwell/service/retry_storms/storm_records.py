"""Records of the storm controller: its limits, kinds of requests, and verdicts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestKind(StrEnum):
    """What a query is, by what its client was answered before."""

    FIRST = "first"  # not asked lately
    ON_SCHEDULE = "heeded"  # at its retry instant or later
    EARLY = "early"  # before its retry instant
    REPEATED = "again"  # asked lately, without a retry instant


UNSCHEDULED_REPEATS = (RequestKind.EARLY, RequestKind.REPEATED)


@dataclass(frozen=True, slots=True)
class StormLimits:
    """Limits from settings.

    ``longest_retry_after_us`` is the latest retry that a client still benefits from. Within
    ``repeat_interval_us`` the same question of the same client is a repeat. ``accept_rate`` and
    ``initial_accept_rate`` are connections a second, once warmed up and just after the start;
    ``initial_work_rate_us`` is work (us of the endpoints' time) a second just after the start. 0 is no bound.
    """

    longest_retry_after_us: int = 8_000_000
    repeat_interval_us: int = 3_000_000
    accept_rate: float = 0.0
    initial_accept_rate: float = 0.0
    initial_work_rate_us: float = 0.0


@dataclass(frozen=True, slots=True)
class StormVerdict:
    """Whether a query goes on to the module, its kind, and else after how long it may be retried."""

    is_admitted: bool
    kind: RequestKind
    retry_after_us: int = 0
