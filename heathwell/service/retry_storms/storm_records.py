"""Records of the storm controller: limits, kinds of requests, and verdicts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestKind(StrEnum):
    """The kind of a query, by the earlier requests and replies of its client."""

    FIRST = "first"  # Not requested recently.
    ON_SCHEDULE = "heeded"  # At its scheduled retry time or later.
    EARLY = "early"  # Before its scheduled retry time.
    REPEATED = "again"  # Requested recently, without a scheduled retry time.


UNSCHEDULED_REPEATS = (RequestKind.EARLY, RequestKind.REPEATED)


@dataclass(frozen=True, slots=True)
class StormLimits:
    """Limits from the settings.

    ``longest_retry_after_us`` is the longest delay of a retry from which a client still benefits. The same
    request of the same client within ``repeat_interval_us`` is a repeat. ``accept_rate`` and
    ``initial_accept_rate`` are in connections a second, after the warm-up and just after the start;
    ``initial_work_rate_us`` is in work (us of the endpoints' time) a second just after the start. A rate of 0
    means no limit.
    """

    longest_retry_after_us: int = 8_000_000
    repeat_interval_us: int = 3_000_000
    accept_rate: float = 0.0
    initial_accept_rate: float = 0.0
    initial_work_rate_us: float = 0.0


@dataclass(frozen=True, slots=True)
class StormVerdict:
    """Whether a query is admitted, its kind, and after how long it may be retried if it is not admitted."""

    is_admitted: bool
    kind: RequestKind
    retry_after_us: int = 0
