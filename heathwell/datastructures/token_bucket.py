"""A bucket of tokens that is filled by events, not by time."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are earned in fractions up to a capacity and spent one by one; it starts full."""

    __slots__ = ("capacity", "tokens")

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.tokens = capacity

    def earn(self, amount: float) -> None:
        """Add a fraction of a token; what is over the capacity is lost."""
        self.tokens = min(self.tokens + amount, self.capacity)

    def spend(self) -> None:
        """Take one token; the count may go below zero where the caller allows it."""
        self.tokens -= 1

    def has_token(self) -> bool:
        """Whether at least one token is left."""
        return self.tokens >= 1
