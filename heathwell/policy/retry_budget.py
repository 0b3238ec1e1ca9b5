"""Budgets of additional attempts: that of the settings, the local token bucket, and the fleet's quota."""

from __future__ import annotations

from heathwell.datastructures import SlidingWindowCounter, TokenBucket
from heathwell.policy.actions import QuotaExhausted
from heathwell.policy.context import DecisionContext
from heathwell.policy.events import Outcome

# Additional attempts that each first attempt earns: enough for the parts of a few unhealthy endpoints.
TOKENS_PER_FIRST_ATTEMPT = 0.1
# Earned attempts that are kept at most: enough for the parts of one endpoint that stops.
TOKEN_CAPACITY = 10.0

# Outcomes after which an additional attempt takes no token of the local budget: a part that was lost with its
# connection was not late, and one that reached no endpoint caused no load.
FREE_OUTCOMES = (Outcome.CONNECTION_LOST, Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class RetryBudget:
    """Owns the counts of admitted parts and additional attempts, the token bucket and the quota.

    The local budget, a token bucket, limits how much additional attempts can add to an overload. It only
    estimates what all aggregators together may do, so a quota replaces it.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        window_us = context.settings.attempt_budget_window_us
        self._admitted = SlidingWindowCounter(window_us, includes_edge=False)
        self._additional = SlidingWindowCounter(window_us, includes_edge=True)
        self.bucket = TokenBucket(TOKEN_CAPACITY)
        self._quota: int | None = None

    def set_quota(self, additional_attempts: int | None) -> None:
        """Set the additional attempts that the fleet's quota leaves this aggregator; None for no quota."""
        self._quota = additional_attempts

    def record_admission(self) -> None:
        """Count an admitted query or part, which adds to the budget of the settings."""
        self._admitted.add(self._context.now_us)

    def record_first_attempt(self) -> None:
        """Earn a fraction of a token for a first attempt of a part."""
        self.bucket.earn(TOKENS_PER_FIRST_ATTEMPT)

    def record_additional_attempt(self, previous_outcome: Outcome | None) -> None:
        """Count an attempt that follows another one of its part, which had this outcome (None: in flight)."""
        if previous_outcome not in FREE_OUTCOMES:
            self.bucket.spend()
        self._additional.add(self._context.now_us)

    def spend_quota(self) -> None:
        """Take an additional attempt from the quota, if there is one."""
        if self._quota is not None:
            self._quota -= 1

    def has_quota(self) -> bool:
        """Return whether the quota, if any, allows an additional attempt; emit an action if it doesn't."""
        if self._quota is not None and self._quota < 1:
            self._context.emit(QuotaExhausted())
            return False
        return True

    def has_budget(self, *, is_free: bool = False) -> bool:
        """Return whether the budget of the settings and, unless ``is_free``, the local one allow one more."""
        settings = self._context.settings
        now_us = self._context.now_us
        earned = settings.additional_attempt_ratio * self._admitted.count(now_us)
        limit = settings.free_additional_attempts + earned
        is_allowed_locally = is_free or self.bucket.has_token() or self._quota is not None
        if not is_allowed_locally:
            return False
        return not settings.attempt_budget_window_us or self._additional.count(now_us) + 1 <= limit

    def has_local_budget(self) -> bool:
        """Return whether the quota or, without one, the local budget allows an attempt."""
        return self.bucket.has_token() if self._quota is None else self._quota >= 1
