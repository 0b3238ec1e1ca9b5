"""Links between simulated processes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Link:
    """One direction between two processes, by their names."""

    source: str
    target: str

    def reverse(self) -> Link:
        """Return the other direction."""
        return Link(self.target, self.source)
