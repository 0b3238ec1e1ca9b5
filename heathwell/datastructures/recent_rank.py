"""The rank of a value among the latest values."""

from __future__ import annotations

from collections import deque


class RecentRank:
    """Keeps the latest ``capacity`` values."""

    __slots__ = ("_values",)

    def __init__(self, capacity: int) -> None:
        self._values: deque[float] = deque(maxlen=capacity)

    def rank(self, value: float) -> float:
        """Return the fraction of the kept values below this one (0 if there are none), then keep it too."""
        below = sum(kept < value for kept in self._values) / max(1, len(self._values))
        self._values.append(value)
        return below
