"""A schedule of calls in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class ScheduledCall:
    """A call at a time; calls at the same time are ordered by their sequence numbers."""

    at_us: int
    sequence_number: int
    call: Callable[[], None] = field(compare=False)


class CallSchedule:
    """Calls that are made in the order of their times, those at the same time in the order of scheduling.

    ``now_us`` is the virtual time.
    """

    def __init__(self) -> None:
        self.now_us = 0
        self._scheduled: list[ScheduledCall] = []
        self._last_sequence_number = 0

    def call_at(self, at_us: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        self._last_sequence_number += 1
        heapq.heappush(self._scheduled, ScheduledCall(at_us, self._last_sequence_number, call))

    def run_until(self, end_us: int) -> None:
        """Make all calls that are due up to a time."""
        while self._scheduled and self._scheduled[0].at_us <= end_us:
            scheduled = heapq.heappop(self._scheduled)
            self.now_us = scheduled.at_us
            scheduled.call()
        self.now_us = end_us
