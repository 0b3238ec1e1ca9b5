"""Estimates the parts a second that are requested of each zone.

Attempts don't measure it while a zone is unhealthy, as one part is retried again and again. So the load is
what is answered while every zone is healthy, and the last such figure while one is not.

Owns that figure. May import the evidence's records.
"""

from __future__ import annotations

from collections import defaultdict

from heathwell.fleet.evacuation.capacity import MAX_HEALTHY_LOSS
from heathwell.fleet.evacuation.zone_observations import AttemptCounts, CountsByKey, ZoneClassKey

MINIMUM_RATE = 1e-9  # keeps a ratio to no load finite

RateByKey = dict[ZoneClassKey, float]


class LoadEstimator:
    """Load of all zones; ``interval_us`` is what each observation sums up."""

    def __init__(self, interval_us: int) -> None:
        self._interval_us = interval_us
        self._healthy_rates: RateByKey = {}

    def observe(self, counts: CountsByKey) -> RateByKey:
        """Take in what all brokers together observed in the last interval.

        Returns the load by zone and query class, in parts a second.
        """
        answered = {key: some.answered * 1e6 / self._interval_us for key, some in counts.items()}
        if not self._healthy_rates or self._all_healthy(counts):
            self._healthy_rates = answered
            return answered
        # What is answered now is more than before only where the load has grown meanwhile.
        healthy_total = max(sum(self._healthy_rates.values()), MINIMUM_RATE)
        growth = max(1.0, sum(answered.values()) / healthy_total)
        return {key: rate * growth for key, rate in self._healthy_rates.items()}

    @staticmethod
    def _all_healthy(counts: CountsByKey) -> bool:
        by_zone: defaultdict[str, AttemptCounts] = defaultdict(AttemptCounts)
        for (zone, _), some in counts.items():
            by_zone[zone] += some
        return all(some.loss <= MAX_HEALTHY_LOSS for some in by_zone.values())
