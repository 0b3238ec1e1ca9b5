"""A leaf's cache of results, from which requests repeated within the idempotency window are answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from heathwell.eventloop import Loop

RESULT_CACHE_SIZE: Final = 10_000


@dataclass(frozen=True, slots=True)
class CachedResult:
    """A result and when it was computed."""

    computed_at_us: int
    result: bytes


class ResultCache:
    """Cached results by the id of their part."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._results: dict[str, CachedResult] = {}

    def find(self, part_id: str, window_us: int) -> bytes | None:
        """Return the part's result unless it is older than the window."""
        cached = self._results.get(part_id)
        if cached is None or self._loop.now() - cached.computed_at_us > window_us:
            return None
        return cached.result

    def add(self, part_id: str, result: bytes) -> None:
        """Add a result; evict the oldest one if the cache is full."""
        self._results[part_id] = CachedResult(self._loop.now(), result)
        if len(self._results) > RESULT_CACHE_SIZE:
            oldest = next(iter(self._results))
            del self._results[oldest]

    def clear(self) -> None:
        """Drop all results."""
        self._results.clear()
