"""How much work may be in flight at the endpoints, adapted to the queueing that answers show. Pure.

An endpoint reports what a part's work took, so the rest of the round trip is queueing (and the network). As
in TCP Vegas the limit follows that delay and not losses: it shrinks while queueing is over its target and
grows while work is queued here.
"""

from __future__ import annotations

GAIN = 0.05
SHRINK_FACTOR = 0.85
SHRINK_INTERVAL_US = 100_000
GROWTH_FACTOR = 0.25  # of the completed work, added to the limit while more is queued
GROWTH_QUEUEING_FRACTION = 0.5  # of the target, under which the limit may grow
MINIMUM_PARTS = 4.0  # usual parts that always fit: with fewer there would be nothing to learn from


class ConcurrencyLimiter:
    """A limit on work in flight. ``target_us`` is the accepted queueing of a part."""

    def __init__(self, target_us: int, initial_limit_us: float) -> None:
        self.limit_us = initial_limit_us
        self.queueing_us = 0.0
        self._target_us = target_us
        self._mean_work_us = 0.0
        self._shrunk_at_us = -SHRINK_INTERVAL_US

    def on_part_answered(self, now_us: int, round_trip_us: float, work_us: float) -> None:
        """Record an answer's round trip and the work in it."""
        wait_us = max(0.0, round_trip_us - work_us)
        self.queueing_us += (wait_us - self.queueing_us) * GAIN
        self._mean_work_us += (work_us - self._mean_work_us) * (GAIN if self._mean_work_us else 1.0)
        if self.queueing_us > self._target_us and now_us - self._shrunk_at_us >= SHRINK_INTERVAL_US:
            self._shrunk_at_us = now_us
            self.limit_us = max(self.limit_us * SHRINK_FACTOR, MINIMUM_PARTS * self._mean_work_us)

    def on_work_ended(self, cost_us: float, *, is_more_queued: bool) -> None:
        """Record completed work; the limit grows if more is queued here, and little at the endpoints."""
        if is_more_queued and self.queueing_us < GROWTH_QUEUEING_FRACTION * self._target_us:
            self.limit_us += cost_us * GROWTH_FACTOR
