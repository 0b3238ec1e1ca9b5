"""A bounded map whose entries expire."""

from __future__ import annotations

from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


class ExpiringMap(Generic[ValueT]):
    """Values by hash, in two generations; each value is kept for ``span_us`` to twice ``span_us``.

    A generation holds at most ``maximum`` values.
    """

    def __init__(self, span_us: int, maximum: int) -> None:
        self.dropped_count = 0
        self._span_us = span_us
        self._maximum = maximum
        self._current: dict[int, ValueT] = {}
        self._previous: dict[int, ValueT] = {}
        self._rotated_at_us = 0

    def _rotate(self, now_us: int) -> None:
        age_us = now_us - self._rotated_at_us
        if age_us < self._span_us:
            return
        self._previous = self._current if age_us < 2 * self._span_us else {}
        self._current = {}
        self._rotated_at_us = now_us

    def put(self, key: int, value: ValueT, now_us: int) -> None:
        """Store a value; a new key is dropped and counted as dropped while the current generation is full."""
        self._rotate(now_us)
        if len(self._current) >= self._maximum and key not in self._current:
            self.dropped_count += 1
            return
        self._current[key] = value

    def get(self, key: int, now_us: int) -> ValueT | None:
        """Return the value of a key, or None if it is unknown or expired."""
        self._rotate(now_us)
        value = self._current.get(key)
        return value if value is not None else self._previous.get(key)

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)
