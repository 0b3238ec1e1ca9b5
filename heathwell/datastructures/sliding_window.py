"""Event counts and samples in a sliding time window."""

from __future__ import annotations

from collections import deque


class SlidingWindowCounter:
    """Counts the events in the window that ends now. With a window of 0 the count is always 0.

    ``includes_edge`` states whether an event exactly one window old still counts.
    """

    __slots__ = ("_at_us", "_edge_us", "window_us")

    def __init__(self, window_us: int, *, includes_edge: bool) -> None:
        self.window_us = window_us
        self._edge_us = 0 if includes_edge else 1
        self._at_us: deque[int] = deque()

    def add(self, now_us: int) -> None:
        """Record an event; instants must not decrease."""
        if self.window_us:
            self._at_us.append(now_us)

    def count(self, now_us: int) -> int:
        """Return the number of events in the window that ends now."""
        oldest_us = now_us - self.window_us + self._edge_us
        while self._at_us and self._at_us[0] < oldest_us:
            self._at_us.popleft()
        return len(self._at_us)


class SlidingWindowSamples:
    """Samples with their instants; those older than the window are dropped when one is added."""

    __slots__ = ("_samples", "window_us")

    def __init__(self, window_us: float) -> None:
        self.window_us = window_us
        self._samples: deque[tuple[int, float]] = deque()

    def __len__(self) -> int:
        """Return the number of stored samples."""
        return len(self._samples)

    def add(self, now_us: int, at_us: int, value: float) -> None:
        """Add a sample of the instant ``at_us``, which may be before now."""
        while self._samples and self._samples[0][0] < now_us - self.window_us:
            self._samples.popleft()
        self._samples.append((at_us, value))

    def since(self, edge_us: float) -> list[float]:
        """Return the samples of instants after ``edge_us``, in the order in which they were added."""
        return [value for at_us, value in self._samples if at_us > edge_us]
