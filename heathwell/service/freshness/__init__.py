"""How old an answer is, and what to do about it: pure, no I/O, clock handed in."""

from heathwell.service.freshness.clock import SourceClock
from heathwell.service.freshness.replicas import Freshness, Policy, Ruling, Watermark
from heathwell.service.freshness.token import TokenError, make_token, read_token

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
