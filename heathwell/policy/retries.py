"""Retry rules: which parts may be sent again, up to when, and which wait for the retry budget."""

from __future__ import annotations

from heathwell.policy.context import DecisionContext
from heathwell.policy.latency import LatencyModel
from heathwell.policy.records import NEVER_US, Part, TimerKind
from heathwell.policy.retry_budget import FREE_OUTCOMES, RetryBudget
from heathwell.policy.settings import Idempotency

# Time until a part that could not be sent is tried again, as a fraction of its class's latency objective.
RETRY_WAIT_OBJECTIVES = 0.05


class RetryRules:
    """Decides on additional attempts of a part; owns no state besides the part's ``waiting``."""

    def __init__(self, context: DecisionContext, budget: RetryBudget, latency: LatencyModel) -> None:
        self._context = context
        self._budget = budget
        self._latency = latency

    def may_send_again(self, part: Part) -> bool:
        """Return whether settings, the class's idempotency, budgets and quota allow another attempt."""
        if not self._may_repeat(part):
            return False
        is_free = bool(part.attempts) and part.attempts[-1].outcome in FREE_OUTCOMES
        return self._budget.has_budget(is_free=is_free) and self._budget.has_quota()

    def send_by_us(self, part: Part) -> int:
        """Return up to when an attempt may be sent; a class limits repeats of parts that may have run."""
        query_class = part.query.spec
        deadline_us = part.query.deadline_us
        sent_at_us = [attempt.sent_at_us for attempt in part.attempts if attempt.may_have_run()]
        if not sent_at_us or query_class.idempotency == Idempotency.IDEMPOTENT:
            return deadline_us
        if not query_class.allows_duplicates:
            return NEVER_US
        return min(deadline_us, min(sent_at_us) + query_class.idempotency_window_us)

    def wait_for_budget(self, part: Part) -> bool:
        """Let a part wait whose next attempt is prevented by the local budget or the quota alone.

        It waits only if that attempt can still meet the objective. If the query were abandoned instead, its
        client would request all parts again. Return whether the part waits.
        """
        if part.waiting:
            return True
        wait_us = self.retry_wait_us(part)
        if self._budget.has_local_budget() or self._misses_objective(part, wait_us):
            return False
        if not self._may_repeat(part) or not self._budget.has_budget(is_free=True):
            return False
        self.wait(part, wait_us)
        return True

    def retry_wait_us(self, part: Part) -> int:
        """Return the time until a part that could not be sent is tried again."""
        return int(RETRY_WAIT_OBJECTIVES * part.query.spec.latency_objective_us)

    def wait(self, part: Part, wait_us: int) -> None:
        """Mark a part as waiting and try it again after ``wait_us``."""
        part.waiting = True
        self._context.schedule(self._context.now_us + wait_us, TimerKind.RETRY_WAIT, part)

    def _may_repeat(self, part: Part) -> bool:
        """Return whether the settings and the class's idempotency allow an attempt, regardless of budgets."""
        settings = self._context.settings
        if len(part.attempts) >= settings.max_attempts:
            return False
        if self._context.now_us > self.send_by_us(part):
            return False
        if not part.in_flight():
            return True
        return settings.hedging_allowed and part.query.spec.allows_duplicates

    def _misses_objective(self, part: Part, wait_us: int) -> bool:
        expected_us = self._latency.expected_latency_us(part)
        return self._context.now_us + wait_us + expected_us > part.query.objective_at_us
