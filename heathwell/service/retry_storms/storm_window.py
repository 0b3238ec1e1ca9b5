"""Counts requests, replies and connections over the last ticks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

TICK_INTERVAL_US = 250_000
WINDOW_TICKS = 4
MINIMUM_REQUESTS = 10  # With fewer requests in the window, their fractions are no evidence.


@dataclass(slots=True)
class TickCounts:
    """The counts of one tick; ``answered_work_us`` is the endpoints' time for the answered queries."""

    requests: int = 0
    repeats: int = 0
    rejections: int = 0
    connections: int = 0
    answered_work_us: float = 0.0
    good_replies: int = 0
    replies: int = 0


@dataclass(frozen=True, slots=True)
class WindowStatistics:
    """Sums over the window; rates are per second."""

    requests: int
    repeats: int
    rejections: int
    replies: int
    good_replies: int
    connection_rate: float
    answered_work_rate_us: float

    @property
    def repeat_fraction(self) -> float:
        """The fraction of requests that are unscheduled repeats; 0 while there are few requests."""
        return self.repeats / self.requests if self.requests >= MINIMUM_REQUESTS else 0.0


class StormWindow:
    """A sliding window of ticks; ``current`` counts the tick in progress."""

    def __init__(self) -> None:
        self.current = TickCounts()
        self._ticks: deque[TickCounts] = deque([self.current], WINDOW_TICKS)

    def statistics(self) -> WindowStatistics:
        """Return the sums over the window, the current tick included."""
        seconds = len(self._ticks) * TICK_INTERVAL_US / 1e6
        return WindowStatistics(
            requests=sum(tick.requests for tick in self._ticks),
            repeats=sum(tick.repeats for tick in self._ticks),
            rejections=sum(tick.rejections for tick in self._ticks),
            replies=sum(tick.replies for tick in self._ticks),
            good_replies=sum(tick.good_replies for tick in self._ticks),
            connection_rate=sum(tick.connections for tick in self._ticks) / seconds,
            answered_work_rate_us=sum(tick.answered_work_us for tick in self._ticks) / seconds,
        )

    def advance(self) -> None:
        """Start the next tick."""
        self.current = TickCounts()
        self._ticks.append(self.current)
