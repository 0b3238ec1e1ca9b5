"""Estimates the load of each zone, in requested parts per second.

Attempts do not measure the load while a zone is unhealthy, because a part is retried repeatedly. So the load
is the rate of answers while all zones are healthy, and the last such rate while one is not.

Owns the last rate of a healthy fleet. Imports the records of `zone_observations`.
"""

from __future__ import annotations

from collections import defaultdict

from heathwell.fleet.evacuation.capacity import MAX_HEALTHY_LOSS
from heathwell.fleet.evacuation.zone_observations import AttemptCounts, CountsByKey, ZoneClassKey

MINIMUM_RATE = 1e-9  # avoids a division by zero without load

RateByKey = dict[ZoneClassKey, float]


class LoadEstimator:
    """Estimates the load of all zones; ``interval_us`` is the interval that each observation covers."""

    def __init__(self, interval_us: int) -> None:
        self._interval_us = interval_us
        self._healthy_rates: RateByKey = {}

    def observe(self, counts: CountsByKey) -> RateByKey:
        """Record the counts of all brokers in the last interval.

        Returns the load by zone and query class, in parts per second.
        """
        answered = {
            key: class_counts.answered * 1e6 / self._interval_us for key, class_counts in counts.items()
        }
        if not self._healthy_rates or self._all_healthy(counts):
            self._healthy_rates = answered
            return answered
        # More answers than while healthy mean that the load has grown since.
        healthy_total = max(sum(self._healthy_rates.values()), MINIMUM_RATE)
        growth = max(1.0, sum(answered.values()) / healthy_total)
        return {key: rate * growth for key, rate in self._healthy_rates.items()}

    @staticmethod
    def _all_healthy(counts: CountsByKey) -> bool:
        by_zone: defaultdict[str, AttemptCounts] = defaultdict(AttemptCounts)
        for (zone, _), class_counts in counts.items():
            by_zone[zone] += class_counts
        return all(zone_counts.loss <= MAX_HEALTHY_LOSS for zone_counts in by_zone.values())
