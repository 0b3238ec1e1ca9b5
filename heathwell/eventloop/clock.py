"""Clocks: whole microseconds that never step back."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """What the loop reads its time from."""

    def now(self) -> int:
        """Microseconds from an arbitrary start."""


class MonotonicClock:
    """The machine's monotonic clock: one time line for all processes of a machine."""

    def now(self) -> int:
        """Microseconds since the machine's own start."""
        return time.monotonic_ns() // 1000


class SkewedClock:
    """A clock that runs faster or slower than the machine's, from its making on: for tests of what clocks are
    trusted with.
    """

    def __init__(self, rate: float) -> None:
        self.rate, self._true = rate, MonotonicClock()
        self._start = self._true.now()

    def now(self) -> int:
        """Microseconds by this clock."""
        return self._start + int((self._true.now() - self._start) * self.rate)


class VirtualClock:
    """A clock that stands still until it is advanced."""

    def __init__(self, start: int = 1_000_000) -> None:
        self._now = start

    def now(self) -> int:
        """Virtual microseconds."""
        return self._now

    def advance(self, to: int) -> None:
        """Move on to a time; going back is an error."""
        if to < self._now:
            raise ValueError(f"clock: {to} lies before {self._now}")
        self._now = to
