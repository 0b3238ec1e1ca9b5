"""The rank of a value among the latest ones."""

from __future__ import annotations

from collections import deque


class RecentRank:
    """Keeps the latest values, up to a number of them."""

    __slots__ = ("_values",)

    def __init__(self, capacity: int) -> None:
        self._values: deque[float] = deque(maxlen=capacity)

    def rank(self, value: float) -> float:
        """The share of the values kept that lie below this one (0 where none is kept); it is kept after."""
        below = sum(kept < value for kept in self._values) / max(1, len(self._values))
        self._values.append(value)
        return below
