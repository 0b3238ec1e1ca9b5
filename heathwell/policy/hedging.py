"""Late attempts: send an unsent part instead, hedge, or cancel the attempt and send its part again."""

from __future__ import annotations

from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.outlier_detection import OutlierDetector
from heathwell.policy.query_completion import QueryCompletion
from heathwell.policy.records import Attempt, Part, Query, TimerKind
from heathwell.policy.replica_selection import ReplicaSelector
from heathwell.policy.retries import RetryRules
from heathwell.policy.retry_budget import RetryBudget
from heathwell.policy.sending import PartSender
from heathwell.policy.settings import Idempotency

# Time until a late attempt is considered again, as a fraction of its class's latency objective.
RECHECK_OBJECTIVES = 0.1


class Hedger:
    """Decides what to do about a late attempt; owns no state."""

    def __init__(
        self,
        context: DecisionContext,
        selector: ReplicaSelector,
        outliers: OutlierDetector,
        budget: RetryBudget,
        rules: RetryRules,
        attempts: AttemptTable,
        completion: QueryCompletion,
        sender: PartSender,
    ) -> None:
        self._context = context
        self._selector = selector
        self._outliers = outliers
        self._budget = budget
        self._rules = rules
        self._attempts = attempts
        self._completion = completion
        self._sender = sender

    def on_late_attempt(self, attempt: Attempt) -> None:
        """Send an unsent part instead; otherwise hedge, or cancel the attempt and send its part again."""
        self._outliers.eject_if_unresponsive(attempt)
        part = attempt.part
        query = part.query
        if not self._completion.is_awaited(part) or self._completion.hold_or_abandon_query_of_death(query):
            return
        if not self._budget.has_quota():
            self._recheck_later(attempt)
            return
        if self.send_unsent_part(query):
            return
        if self._selector.select(part) in (None, attempt.endpoint) or not query.spec.allows_duplicates:
            return
        if self._context.settings.hedging_allowed:
            self._sender.try_send(part)
        elif self._may_cancel(attempt):
            self._cancel_and_send_again(attempt)

    def send_unsent_part(self, query: Query) -> bool:
        """Send the unsent part whose replica has the least load; return whether a part was sent."""
        unsent = query.unsent_parts()
        if not unsent or query.step != 1:
            return False
        part = min(unsent, key=self._selector.part_rank)
        part.is_substitute = True
        sent = self._sender.try_send(part)
        part.is_substitute = sent or part.waiting
        return sent

    def _may_cancel(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be cancelled in order to send its part again."""
        settings = self._context.settings
        is_latest = attempt is attempt.part.attempts[-1]
        attempts_left = len(attempt.part.attempts) < settings.max_attempts
        return settings.cancellation_allowed and is_latest and attempts_left

    def _cancel_and_send_again(self, attempt: Attempt) -> None:
        """Cancel an attempt and send its part again, unless it is still queued or may not be sent again.

        An endpoint that responds in the order of the sends still has the part in its queue; cancelling would
        cost the work twice.
        """
        endpoint = attempt.endpoint
        still_queued = (
            endpoint.last_send_with_response_at_us <= attempt.sent_at_us < endpoint.last_response_at_us
        )
        if still_queued or not self._budget.has_budget():
            self._recheck_later(attempt)
            return
        if self._window_has_ended(attempt.part):
            return
        self._attempts.cancel(attempt)
        self._sender.try_send(attempt.part)

    def _window_has_ended(self, part: Part) -> bool:
        """Return whether the idempotency window of a keyed part ends before the next tick."""
        is_keyed = part.query.spec.idempotency == Idempotency.KEYED
        next_tick_us = self._context.now_us + self._context.settings.tick_us
        return is_keyed and next_tick_us > self._rules.send_by_us(part)

    def _recheck_later(self, attempt: Attempt) -> None:
        wait_us = int(RECHECK_OBJECTIVES * attempt.part.query.spec.latency_objective_us)
        self._context.schedule(self._context.now_us + wait_us, TimerKind.LATE, attempt)
