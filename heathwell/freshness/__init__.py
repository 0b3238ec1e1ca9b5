"""How old an answer is, and what to do about it: pure, no I/O, clock handed in."""

from heathwell.freshness.clock import SourceClock
from heathwell.freshness.replicas import Freshness, Policy, Ruling, Watermark
from heathwell.freshness.token import TokenError, make_token, read_token

__all__ = [
    "Freshness",
    "Policy",
    "Ruling",
    "SourceClock",
    "TokenError",
    "Watermark",
    "make_token",
    "read_token",
]
