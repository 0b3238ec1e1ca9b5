"""The rate of work that is admitted during a storm, in microseconds of the endpoints' time a second."""

from __future__ import annotations

from heathwell.service.retry_storms.storm_window import WindowStatistics

BURST_SECONDS = 0.25  # of the rate that an unused budget holds at most
INITIAL_SECONDS = 0.5
HEADROOM_FACTOR = 1.2  # over the observed capacity: else a higher one could never be observed
GROWTH_FACTOR = 1.25  # a tick, while what is admitted is answered within its objective
SHRINK_FACTOR = 0.8
GOOD_FRACTION = 0.9  # of replies, from which the rate grows
POOR_FRACTION = 0.5  # of replies, below which it shrinks
MAXIMUM_RATE_FACTOR = 4.0  # of the known rate
MINIMUM_RATE_FACTOR = 0.25
CAPACITY_RETENTION = 0.999  # a tick: the observed capacity is retained for minutes
MINIMUM_CAPACITY_FRACTION = 0.5  # below it observations are no evidence on the full capacity
SMALLEST_DIVISOR = 0.05


class WorkBudget:
    """A token bucket in work, whose rate follows the observed capacity of the endpoints.

    ``initial_rate_us`` (0: none) is also the least rate that is taken for known.
    """

    def __init__(self, now_us: int, initial_rate_us: float) -> None:
        self.rate_us = initial_rate_us
        self.capacity_us = 0.0  # work answered in a second at best
        self._initial_rate_us = initial_rate_us
        self._capacity_fraction = 1.0
        self._available_us = self.rate_us * INITIAL_SECONDS
        self._refilled_at_us = now_us

    @property
    def current_capacity_us(self) -> float:
        """The observed capacity, at the fraction of it that is available now."""
        return self.capacity_us * self._capacity_fraction

    @property
    def _known_rate_us(self) -> float:
        return max(self.current_capacity_us * HEADROOM_FACTOR, self._initial_rate_us)

    def observe_capacity(self, capacity_fraction: float, answered_work_rate_us: float) -> None:
        """Take the available fraction of the capacity, and the rate of work that was answered."""
        self._capacity_fraction = capacity_fraction
        observed_us = 0.0
        if capacity_fraction > MINIMUM_CAPACITY_FRACTION:
            observed_us = answered_work_rate_us / max(capacity_fraction, SMALLEST_DIVISOR)
        self.capacity_us = max(self.capacity_us * CAPACITY_RETENTION, observed_us)

    def restart(self, now_us: int) -> None:
        """Set the rate to the known one, with an empty budget."""
        self.rate_us = self._known_rate_us
        self._available_us = 0.0
        self._refilled_at_us = now_us

    def adapt(self, statistics: WindowStatistics) -> None:
        """Change the rate by the replies to what was admitted."""
        if not statistics.replies:
            return
        if statistics.good_replies >= GOOD_FRACTION * statistics.replies:
            # In a storm too: a rate held to what was answered so far would keep its rejections going.
            self.rate_us = min(self.rate_us * GROWTH_FACTOR, self._known_rate_us * MAXIMUM_RATE_FACTOR)
        elif statistics.good_replies < POOR_FRACTION * statistics.replies:
            # Never to nothing: without answers there would be nothing to grow by again.
            self.rate_us = max(self.rate_us * SHRINK_FACTOR, self._known_rate_us * MINIMUM_RATE_FACTOR)

    def try_spend(
        self, now_us: int, cost_us: float, reserved_fraction: float, *, may_exceed_full: bool
    ) -> bool:
        """Spend work where that leaves a fraction of the full budget, and return whether it was spent.

        With ``may_exceed_full`` work of any size is admitted by a full budget.
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
