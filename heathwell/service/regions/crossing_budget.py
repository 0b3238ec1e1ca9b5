"""Budgets for the attempts that may cross the links between regions in a second."""

from __future__ import annotations

from collections import deque

from heathwell.datastructures.sliding_window import SlidingWindowCounter

WINDOW_US = 1_000_000


class CrossingBudget:
    """Bounds the additional attempts that cross in a second, and the cost of all attempts that cross.

    A bound of 0 means no bound. The bound on additional attempts prevents retries in two regions from
    multiplying.
    """

    def __init__(self, maximum_additional: int, maximum_cost: float) -> None:
        self.spent_cost = 0.0
        self._maximum_additional = maximum_additional
        self._maximum_cost = maximum_cost
        self._additional = SlidingWindowCounter(WINDOW_US, includes_edge=False)
        self._costs: deque[tuple[int, float]] = deque()

    def record(self, now_us: int, cost: float, *, is_additional: bool) -> None:
        """Record an attempt that crosses."""
        if self._maximum_cost:
            self._costs.append((now_us, cost))
            self.spent_cost += cost
        if is_additional:
            self._additional.add(now_us)

    def is_exhausted(self, now_us: int) -> bool:
        """Return whether a budget is used up, so that no more attempts should cross for now."""
        while self._costs and self._costs[0][0] <= now_us - WINDOW_US:
            self.spent_cost -= self._costs.popleft()[1]
        additional_count = self._additional.count(now_us)
        if self._maximum_additional and additional_count >= self._maximum_additional:
            return True
        return bool(self._maximum_cost) and self.spent_cost >= self._maximum_cost
