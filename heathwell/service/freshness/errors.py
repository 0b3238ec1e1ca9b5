"""Errors of freshness."""

from __future__ import annotations


class FreshnessError(Exception):
    """The base class of the errors of this package."""


class TokenError(FreshnessError, ValueError):
    """Raised for text that is not a consistency token; ``problem`` describes why."""

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(f"token: {problem}")


class SampleOrderError(FreshnessError, ValueError):
    """Raised for a clock sample whose reply was received before its request was sent (times in us)."""

    def __init__(self, sent_at_us: int, received_at_us: int) -> None:
        self.sent_at_us = sent_at_us
        self.received_at_us = received_at_us
        super().__init__(f"reply received at {received_at_us} us to a request sent at {sent_at_us} us")


class UnknownSourceTimeError(FreshnessError, LookupError):
    """Raised if there is no sample of the source clock."""

    def __init__(self) -> None:
        super().__init__("no sample of the source clock")
