"""Durations in the units that clients are sent, rounded up: advice must never be shorter than meant."""

from __future__ import annotations

MICROSECONDS_PER_MILLISECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


def milliseconds_rounded_up(duration_us: int) -> int:
    """Return a duration in milliseconds."""
    return -(-duration_us // MICROSECONDS_PER_MILLISECOND)


def seconds_rounded_up(duration_us: int) -> int:
    """Return a duration in seconds."""
    return -(-duration_us // MICROSECONDS_PER_SECOND)
