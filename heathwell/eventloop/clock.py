"""Clocks: integer microseconds that never decrease."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """The source of the loop's time."""

    def now(self) -> int:
        """Return microseconds since an arbitrary start."""


class MonotonicClock:
    """The machine's monotonic clock, shared by all processes of the machine."""

    def now(self) -> int:
        """Return microseconds since the machine booted."""
        return time.monotonic_ns() // 1000


class SkewedClock:
    """A clock that runs at ``rate`` times the speed of the machine's clock, from its creation on.

    For tests of clock drift.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._reference = MonotonicClock()
        self._started_at_us = self._reference.now()

    def now(self) -> int:
        """Return microseconds by this clock."""
        elapsed_us = self._reference.now() - self._started_at_us
        return self._started_at_us + int(elapsed_us * self.rate)


class VirtualClock:
    """A clock that stands still until it is advanced."""

    def __init__(self, start_us: int = 1_000_000) -> None:
        self._now_us = start_us

    def now(self) -> int:
        """Return virtual microseconds."""
        return self._now_us

    def advance(self, to_us: int) -> None:
        """Set the time; raise :class:`ValueError` if it lies in the past."""
        if to_us < self._now_us:
            raise ValueError(f"clock: cannot go back from {self._now_us} us to {to_us} us")
        self._now_us = to_us
