"""Links between processes."""

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

    def connects(self, group: set[str], others: set[str]) -> bool:
        """Return whether the link leads from one group to the other, in either direction."""
        forward = self.source in group and self.target in others
        backward = self.source in others and self.target in group
        return forward or backward
