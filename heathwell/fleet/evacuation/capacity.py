"""Estimates the capacity of a zone's hosts from the duration of their answers, without additional traffic.

The highest rate that a zone answered in its usual time is a lower bound. A higher capacity is extrapolated
from the utilization, which follows from the slowdown of the answers: two servers with one queue, at a
utilization `u`, answer in `1 / (1 - u ** 2)` times their idle duration (M/M/2; hosts here have two cores). A
host with one core slows down sooner, so that its capacity is underestimated. One with more cores slows down
later, so the estimate is limited to ``MAX_EXTRAPOLATION`` times the current rate.

Owns the estimate of each zone. Imports the records of `zone_observations`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from heathwell.fleet.evacuation.zone_observations import AttemptCounts, sum_counts

MAX_EXTRAPOLATION = 4.0
MINIMUM_ANSWERS = 20  # minimum answers in an interval for a rate or a mean duration
MAX_HEALTHY_LOSS = 0.1  # loss up to which a zone has the capacity for its current rate
MAX_USUAL_SLOWDOWN = 2.0  # multiple of its idle duration up to which an answer counts as in its usual time
# The highest rate decays linearly to 0 in this time, as hosts are added and removed.
PEAK_DECAY_US = 600_000_000
# The idle duration rises by this fraction per interval, so that one unusually fast interval does not set it
# for good.
IDLE_DURATION_DRIFT = 0.02


@dataclass(slots=True)
class _ZoneEstimate:
    peak_rate: float = 0.0
    peak_at_us: int = 0
    idle_duration_ms: dict[str, float] = field(default_factory=dict)  # lowest mean duration, by class
    rate: float = 0.0
    utilization: float = 0.0

    def observe_duration(self, query_class: str, mean_ms: float) -> float:
        """Record a mean duration and return its ratio to the idle duration."""
        idle_ms = self.idle_duration_ms.get(query_class)
        idle_ms = mean_ms if idle_ms is None else min(mean_ms, idle_ms * (1 + IDLE_DURATION_DRIFT))
        self.idle_duration_ms[query_class] = idle_ms
        return mean_ms / idle_ms

    def decayed_peak_rate(self, now_us: int) -> float:
        """Return the highest rate that was answered in the usual time, decayed by its age."""
        return self.peak_rate * (1 - min(1.0, (now_us - self.peak_at_us) / PEAK_DECAY_US))


class CapacityEstimator:
    """Estimates the capacity of zones; ``interval_us`` is the interval that each observation covers."""

    def __init__(self, interval_us: int) -> None:
        self._interval_us = interval_us
        self._zones: dict[str, _ZoneEstimate] = {}

    def observe(self, now_us: int, zone: str, counts_by_class: Mapping[str, AttemptCounts]) -> None:
        """Record the counts of all brokers for one zone in the last interval, by query class."""
        estimate = self._zones.setdefault(zone, _ZoneEstimate(peak_at_us=now_us))
        total = sum_counts(counts_by_class.values())
        slowdown = self._mean_slowdown(estimate, counts_by_class)
        if total.answered < MINIMUM_ANSWERS or slowdown is None:
            estimate.rate = 0.0
            estimate.utilization = 0.0
            return
        estimate.rate = total.answered * 1e6 / self._interval_us
        estimate.utilization = math.sqrt(1 - 1 / slowdown)
        if total.loss <= MAX_HEALTHY_LOSS and slowdown <= MAX_USUAL_SLOWDOWN:
            estimate.peak_rate = max(estimate.decayed_peak_rate(now_us), estimate.rate)
            estimate.peak_at_us = now_us

    @staticmethod
    def _mean_slowdown(estimate: _ZoneEstimate, counts_by_class: Mapping[str, AttemptCounts]) -> float | None:
        """Return the mean ratio of durations to their class's idle duration; None with too few answers."""
        weighted = 0.0
        answers = 0
        for query_class, counts in counts_by_class.items():
            if counts.answered < MINIMUM_ANSWERS or not counts.took_ms:
                continue
            slowdown = estimate.observe_duration(query_class, counts.took_ms / counts.answered)
            weighted += counts.answered * slowdown
            answers += counts.answered
        return weighted / answers if answers else None

    def estimate(self, now_us: int, zone: str) -> float:
        """Return the measured or extrapolated capacity in parts per second; 0 without observations."""
        estimate = self._zones.get(zone)
        if estimate is None:
            return 0.0
        extrapolated = estimate.rate / max(estimate.utilization, 1 / MAX_EXTRAPOLATION)
        return max(estimate.decayed_peak_rate(now_us), extrapolated)
