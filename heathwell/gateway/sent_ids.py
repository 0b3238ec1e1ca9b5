"""The ids of requests that were sent on and must not run again. The module does no I/O and reads no clock."""

from __future__ import annotations


class SentIds:
    """A bounded set of ids: at least the ``capacity`` that were added last, at most twice as many."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._recent: set[str] = set()
        self._earlier: set[str] = set()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._recent or request_id in self._earlier

    def __len__(self) -> int:
        return len(self._recent) + len(self._earlier)

    def add(self, request_id: str) -> None:
        """Add an id, and drop the oldest ones where there is no place left."""
        if request_id in self._recent:
            return
        if len(self._recent) >= self._capacity:
            self._earlier = self._recent
            self._recent = set()
        self._recent.add(request_id)
