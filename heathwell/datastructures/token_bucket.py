"""A token bucket that is filled by events and not by time."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are earned in fractions, up to a capacity, and spent one by one; it starts full."""

    __slots__ = ("capacity", "tokens")

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.tokens = capacity

    def earn(self, amount: float) -> None:
        """Add an amount of tokens; any excess over the capacity is lost."""
        self.tokens = min(self.tokens + amount, self.capacity)

    def spend(self) -> None:
        """Spend one token; the count goes below zero if the caller spends without checking."""
        self.tokens -= 1

    def has_token(self) -> bool:
        """Return whether at least one token is left."""
        return self.tokens >= 1
