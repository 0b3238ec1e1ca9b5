"""Limits the rate of work admitted during a storm, in microseconds of the endpoints' time a second."""

from __future__ import annotations

from heathwell.service.retry_storms.storm_window import WindowStatistics

BURST_SECONDS = 0.25  # A full budget holds the work of this time.
INITIAL_SECONDS = 0.5  # The initial budget holds the work of this time.
HEADROOM_FACTOR = 1.2  # Over the observed capacity; without it a higher capacity could never be observed.
GROWTH_FACTOR = 1.25  # For each tick while admitted queries are answered within their objective.
SHRINK_FACTOR = 0.8  # For each tick while few queries are answered within their objective.
GOOD_FRACTION = 0.9  # The rate grows if at least this fraction of replies is good.
POOR_FRACTION = 0.5  # The rate shrinks if less than this fraction of replies is good.
MAXIMUM_RATE_FACTOR = 4.0  # The highest rate, as a multiple of the known rate.
MINIMUM_RATE_FACTOR = 0.25  # The lowest rate, as a multiple of the known rate.
CAPACITY_RETENTION = 0.999  # For each tick: the observed capacity is retained for minutes.
MINIMUM_CAPACITY_FRACTION = 0.5  # Below it, observations are no evidence of the full capacity.
SMALLEST_DIVISOR = 0.05


class WorkBudget:
    """A token bucket of work whose rate follows the observed capacity of the endpoints.

    The known rate is the observed capacity with some headroom, and at least ``initial_rate_us`` (0: none).
    """

    def __init__(self, now_us: int, initial_rate_us: float) -> None:
        self.rate_us = initial_rate_us
        self.capacity_us = 0.0  # The most work answered in a second.
        self._initial_rate_us = initial_rate_us
        self._capacity_fraction = 1.0
        self._available_us = self.rate_us * INITIAL_SECONDS
        self._refilled_at_us = now_us

    @property
    def current_capacity_us(self) -> float:
        """The observed capacity times the fraction of it that is available now."""
        return self.capacity_us * self._capacity_fraction

    @property
    def _known_rate_us(self) -> float:
        return max(self.current_capacity_us * HEADROOM_FACTOR, self._initial_rate_us)

    def observe_capacity(self, capacity_fraction: float, answered_work_rate_us: float) -> None:
        """Update the capacity by its available fraction and the rate of work that was answered."""
        self._capacity_fraction = capacity_fraction
        observed_us = 0.0
        if capacity_fraction > MINIMUM_CAPACITY_FRACTION:
            observed_us = answered_work_rate_us / max(capacity_fraction, SMALLEST_DIVISOR)
        self.capacity_us = max(self.capacity_us * CAPACITY_RETENTION, observed_us)

    def restart(self, now_us: int) -> None:
        """Reset the rate to the known rate, with an empty budget."""
        self.rate_us = self._known_rate_us
        self._available_us = 0.0
        self._refilled_at_us = now_us

    def adapt(self, statistics: WindowStatistics) -> None:
        """Adapt the rate to the replies to admitted queries."""
        if not statistics.replies:
            return
        if statistics.good_replies >= GOOD_FRACTION * statistics.replies:
            # The rate grows during a storm too: at the rate answered so far, the rejections would not end.
            self.rate_us = min(self.rate_us * GROWTH_FACTOR, self._known_rate_us * MAXIMUM_RATE_FACTOR)
        elif statistics.good_replies < POOR_FRACTION * statistics.replies:
            # The rate never shrinks to 0, as it grows only by good replies.
            self.rate_us = max(self.rate_us * SHRINK_FACTOR, self._known_rate_us * MINIMUM_RATE_FACTOR)

    def try_spend(
        self, now_us: int, cost_us: float, reserved_fraction: float, *, may_exceed_full: bool
    ) -> bool:
        """Spend work if a fraction of the full budget remains, and return whether it was spent.

        With ``may_exceed_full`` a full budget admits work of any size.
        """
        full_us = self.rate_us * BURST_SECONDS
        refill_us = (now_us - self._refilled_at_us) * self.rate_us / 1e6
        self._available_us = min(full_us, self._available_us + refill_us)
        self._refilled_at_us = now_us
        has_enough = self._available_us - cost_us >= reserved_fraction * full_us
        if has_enough or (may_exceed_full and self._available_us >= full_us):
            self._available_us -= cost_us
            return True
        return False
