"""Conversion of durations to the units of client protocols.

They are rounded up, so that a client never retries sooner than the broker asked.
"""

from __future__ import annotations

MICROSECONDS_PER_MILLISECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


def milliseconds_rounded_up(duration_us: int) -> int:
    """Return a duration in milliseconds, rounded up."""
    return -(-duration_us // MICROSECONDS_PER_MILLISECOND)


def seconds_rounded_up(duration_us: int) -> int:
    """Return a duration in seconds, rounded up."""
    return -(-duration_us // MICROSECONDS_PER_SECOND)
