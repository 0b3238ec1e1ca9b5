"""Estimates the capacity of a zone's hosts from their answers alone; nothing is sent to measure it.

The highest rate that a zone answered in its usual time is a lower bound. Beyond it the
utilization follows from the answers' growing duration: two servers with one queue, at a utilization `u`,
answer in `1 / (1 - u ** 2)` of their idle time (M/M/2; hosts here have two cores). One core slows down
sooner, so that its capacity is underestimated; more cores slow down later, and no estimate goes beyond
``MAX_EXTRAPOLATION`` times the present rate.

Owns the estimate of each zone. May import the evidence's records.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from heathwell.fleet.evacuation.zone_observations import AttemptCounts, sum_counts

MAX_EXTRAPOLATION = 4.0
MINIMUM_ANSWERS = 20  # answers of an interval from which a rate or a mean duration is taken
MAX_HEALTHY_LOSS = 0.1  # loss up to which a zone has the capacity for its current rate
MAX_USUAL_SLOWDOWN = 2.0  # multiple of its idle duration up to which an answer counts as in its usual time
PEAK_DECAY_US = 600_000_000  # in which the highest rate decays to nothing: hosts are added and removed
IDLE_DURATION_DRIFT = 0.02  # rise of the idle duration an interval, so that one lucky interval doesn't stay


@dataclass(slots=True)
class _ZoneEstimate:
    peak_rate: float = 0.0
    peak_at_us: int = 0
    idle_duration_ms: dict[str, float] = field(default_factory=dict)  # least mean of an answer, by class
    rate: float = 0.0
    utilization: float = 0.0

    def observe_duration(self, query_class: str, mean_ms: float) -> float:
        """Take in a mean duration; returns how many times the idle one it is."""
        idle_ms = self.idle_duration_ms.get(query_class)
        idle_ms = mean_ms if idle_ms is None else min(mean_ms, idle_ms * (1 + IDLE_DURATION_DRIFT))
        self.idle_duration_ms[query_class] = idle_ms
        return mean_ms / idle_ms

    def decayed_peak_rate(self, now_us: int) -> float:
        """The highest rate borne, less what its age takes from it."""
        return self.peak_rate * (1 - min(1.0, (now_us - self.peak_at_us) / PEAK_DECAY_US))


class CapacityEstimator:
    """Capacity of the zones that brokers report on; ``interval_us`` is what each observation sums up."""

    def __init__(self, interval_us: int) -> None:
        self._interval_us = interval_us
        self._zones: dict[str, _ZoneEstimate] = {}

    def observe(self, now_us: int, zone: str, counts_by_class: Mapping[str, AttemptCounts]) -> None:
        """Take in what all brokers together observed of one zone in the last interval, by query class."""
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
        """Of all answers, relative to their class's idle duration; None where there are too few."""
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
        """The capacity that is proven or extrapolated, in parts a second; 0 where nothing was observed."""
        estimate = self._zones.get(zone)
        if estimate is None:
            return 0.0
        extrapolated = estimate.rate / max(estimate.utilization, 1 / MAX_EXTRAPOLATION)
        return max(estimate.decayed_peak_rate(now_us), extrapolated)
