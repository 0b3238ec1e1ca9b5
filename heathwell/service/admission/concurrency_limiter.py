"""Limits the work in flight at the endpoints, adaptively by the queueing delay of answers, without any I/O.

An endpoint reports how long the work of a part took, so the rest of the round trip is queueing (and network
delay). As in TCP Vegas, the limit follows the delay rather than losses: it shrinks while the queueing delay
is over its target, and grows while work is queued at the broker.
"""

from __future__ import annotations

GAIN = 0.05
SHRINK_FACTOR = 0.85
SHRINK_INTERVAL_US = 100_000
GROWTH_FACTOR = 0.25  # This fraction of completed work is added to the limit while more work is queued.
GROWTH_QUEUEING_FRACTION = 0.5  # The limit grows only if queueing is under this fraction of the target.
MINIMUM_PARTS = 4.0  # Parts of mean work that always fit: with fewer there would be no answers to learn from.


class ConcurrencyLimiter:
    """A limit on work in flight. ``target_us`` is the target for the queueing delay of a part."""

    def __init__(self, target_us: int, initial_limit_us: float) -> None:
        self.limit_us = initial_limit_us
        self.queueing_us = 0.0
        self._target_us = target_us
        self._mean_work_us = 0.0
        self._shrunk_at_us = -SHRINK_INTERVAL_US

    def on_part_answered(self, now_us: int, round_trip_us: float, work_us: float) -> None:
        """Record the round trip of an answer and the work that it includes."""
        wait_us = max(0.0, round_trip_us - work_us)
        self.queueing_us += (wait_us - self.queueing_us) * GAIN
        self._mean_work_us += (work_us - self._mean_work_us) * (GAIN if self._mean_work_us else 1.0)
        if self.queueing_us > self._target_us and now_us - self._shrunk_at_us >= SHRINK_INTERVAL_US:
            self._shrunk_at_us = now_us
            self.limit_us = max(self.limit_us * SHRINK_FACTOR, MINIMUM_PARTS * self._mean_work_us)

    def on_work_ended(self, cost_us: float, *, is_more_queued: bool) -> None:
        """Record completed work; the limit grows if more is queued here and the queueing delay is low."""
        if is_more_queued and self.queueing_us < GROWTH_QUEUEING_FRACTION * self._target_us:
            self.limit_us += cost_us * GROWTH_FACTOR
