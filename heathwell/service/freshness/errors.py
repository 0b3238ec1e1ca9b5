"""Errors of the package."""

from __future__ import annotations


class FreshnessError(Exception):
    """Base of the errors of this package."""


class TokenError(FreshnessError, ValueError):
    """Text that is not a consistency token; ``problem`` describes why."""

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(f"token: {problem}")


class SampleOrderError(FreshnessError, ValueError):
    """A clock sample whose reply was received before its request was sent (instants in us)."""

    def __init__(self, sent_at_us: int, received_at_us: int) -> None:
        self.sent_at_us = sent_at_us
        self.received_at_us = received_at_us
        super().__init__(f"a reply at {received_at_us} to a request sent at {sent_at_us}")


class UnknownSourceTimeError(FreshnessError, LookupError):
    """There is no sample of the source's clock."""

    def __init__(self) -> None:
        super().__init__("no sample of the source's clock")
