"""Timers ordered by instant; those of the same instant in the order in which they were set."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class TimerQueue(Generic[T]):
    """A priority queue of items by the instant at which they are due; schedule and pop cost O(log n)."""

    __slots__ = ("_heap", "_serial")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, T]] = []
        self._serial = 0

    def __len__(self) -> int:
        """Return the number of scheduled items."""
        return len(self._heap)

    def schedule(self, at_us: int, item: T) -> None:
        """Schedule an item for an instant."""
        self._serial += 1
        heapq.heappush(self._heap, (at_us, self._serial, item))

    @property
    def next_at_us(self) -> int | None:
        """The instant at which the first item is due; None if there is none."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_us: int) -> T | None:
        """Remove and return the first item that is due by now; None if there is none."""
        if self._heap and self._heap[0][0] <= now_us:
            return heapq.heappop(self._heap)[2]
        return None
