"""Attempt counts of one broker by zone and query class, over a few recent intervals and bounded in size.

Owns the records (`AttemptCounts`, `BrokerReport`) and a broker's counters; does not assess any zone. Imports
no other package of heathwell.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

INTERVAL_US = 500_000
INTERVALS = 4  # a report covers the last two seconds
MAX_QUERY_CLASSES = 32
MAX_ZONES = 64
MAX_KEYS_PER_INTERVAL = MAX_QUERY_CLASSES * MAX_ZONES
PROBE_CLASS = "probe"  # the query class under which probes are reported
LATE_LOSS_WEIGHT = 0.5  # a late attempt counts as half a failed one


class AttemptResult(StrEnum):
    """The result of an attempt at a zone's host, as it is counted."""

    GOOD = "good"
    """Answered in the usual time."""
    LATE = "late"
    """Answered late, or unanswered for too long."""
    BAD = "bad"
    """Timed out, rejected, broken, unreachable or an error."""


class ZoneClassKey(NamedTuple):
    """One query class at one zone."""

    zone: str
    query_class: str


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts by result; ``took_ms`` is the total duration of the answered ones in milliseconds."""

    good: int = 0
    late: int = 0
    bad: int = 0
    took_ms: int = 0

    @property
    def total(self) -> int:
        """The number of all attempts."""
        return self.good + self.late + self.bad

    @property
    def answered(self) -> int:
        """The number of answered attempts, including late ones."""
        return self.good + self.late

    @property
    def loss(self) -> float:
        """The fraction of lost attempts, 0 to 1; a late one counts as half a lost one. 0 without attempts."""
        return (self.bad + self.late * LATE_LOSS_WEIGHT) / self.total if self.total else 0.0

    def __add__(self, other: AttemptCounts) -> AttemptCounts:
        return AttemptCounts(
            self.good + other.good, self.late + other.late, self.bad + other.bad, self.took_ms + other.took_ms
        )


CountsByKey = dict[ZoneClassKey, AttemptCounts]


def sum_counts(counts: Iterable[AttemptCounts]) -> AttemptCounts:
    """Return the sum of all ``counts``."""
    return sum(counts, AttemptCounts())


@dataclass(frozen=True, slots=True)
class BrokerReport:
    """The attempt counts of one broker, located in ``zone``, for all zones over the last intervals.

    ``cut_off``: nearly all its attempts at every other zone fail, so that the broker itself is more likely
    cut off than all other zones are unhealthy.
    """

    broker: str
    zone: str
    counts: CountsByKey
    cut_off: bool = False

    def counts_of(self, zone: str, query_class: str | None = None) -> AttemptCounts:
        """Return the counts for a zone, of one query class or of all together."""
        return sum_counts(
            counts
            for (observed_zone, observed_class), counts in self.counts.items()
            if observed_zone == zone and query_class in (None, observed_class)
        )


@dataclass(slots=True)
class _AttemptSums:
    """Counters of one key during one interval."""

    good: int = 0
    late: int = 0
    bad: int = 0
    duration_us: int = 0

    def add(self, result: AttemptResult, duration_us: int) -> None:
        """Count one attempt."""
        match result:
            case AttemptResult.GOOD:
                self.good += 1
            case AttemptResult.LATE:
                self.late += 1
            case AttemptResult.BAD:
                self.bad += 1
        self.duration_us += duration_us

    def to_counts(self) -> AttemptCounts:
        """Return the counts for a report, with the duration in milliseconds, rounded down."""
        return AttemptCounts(self.good, self.late, self.bad, self.duration_us // 1000)


@dataclass(slots=True)
class _Interval:
    number: int
    sums: dict[ZoneClassKey, _AttemptSums] = field(default_factory=dict)


class ZoneObservations:
    """The attempts of one broker, located in ``zone``, over the last intervals."""

    CUT_OFF_LOSS = 0.8  # loss at every other zone from which a broker reports itself as cut off
    OWN_ZONE_REACHED_LOSS = 0.5  # loss in its own zone below which a broker can reach that zone
    MINIMUM_ATTEMPTS = 3  # minimum attempts at a zone for its loss to be considered

    def __init__(self, broker: str, zone: str) -> None:
        self.broker = broker
        self.zone = zone
        self._intervals: deque[_Interval] = deque(maxlen=INTERVALS)

    def record_attempt(
        self, now_us: int, zone: str, query_class: str, result: AttemptResult, duration_us: int = 0
    ) -> None:
        """Count an attempt at a host of ``zone`` that has ended or is late.

        ``duration_us`` is the time to the answer, 0 without one. Attempts of a new key beyond
        ``MAX_KEYS_PER_INTERVAL`` are not counted.
        """
        number = now_us // INTERVAL_US
        if not self._intervals or self._intervals[-1].number != number:
            self._intervals.append(_Interval(number))
        sums = self._intervals[-1].sums
        key = ZoneClassKey(zone, query_class)
        if key not in sums and len(sums) >= MAX_KEYS_PER_INTERVAL:
            return
        sums.setdefault(key, _AttemptSums()).add(result, duration_us)

    def report(self, now_us: int) -> BrokerReport:
        """Return the report on the last intervals."""
        oldest = now_us // INTERVAL_US - INTERVALS
        counts: CountsByKey = {}
        for interval in self._intervals:
            if interval.number <= oldest:
                continue
            for key, sums in interval.sums.items():
                counts[key] = counts.get(key, AttemptCounts()) + sums.to_counts()
        return BrokerReport(self.broker, self.zone, counts, self._is_cut_off(counts))

    def _is_cut_off(self, counts: CountsByKey) -> bool:
        by_zone: defaultdict[str, AttemptCounts] = defaultdict(AttemptCounts)
        for (zone, _), class_counts in counts.items():
            by_zone[zone] += class_counts
        others = [
            zone_counts
            for zone, zone_counts in by_zone.items()
            if zone != self.zone and zone_counts.total >= self.MINIMUM_ATTEMPTS
        ]
        if not others or any(zone_counts.loss < self.CUT_OFF_LOSS for zone_counts in others):
            return False
        # With one other zone only, that zone may be the unhealthy one: a broker that reaches its own zone is
        # not cut off.
        return not (len(others) == 1 and by_zone[self.zone].loss < self.OWN_ZONE_REACHED_LOSS)
