"""Sending parts: the required parts of a step, one after another, each to its selected replica."""

from __future__ import annotations

from collections.abc import Iterator

from heathwell.policy.actions import AttemptReason, EndReason, Send
from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.events import Outcome
from heathwell.policy.load_shedding import LoadShedder
from heathwell.policy.outlier_detection import OutlierDetector
from heathwell.policy.query_completion import QueryCompletion
from heathwell.policy.records import WEIGHT_TOLERANCE, Endpoint, Part, Query, TimerKind
from heathwell.policy.replica_selection import ReplicaSelector
from heathwell.policy.retries import RetryRules
from heathwell.policy.retry_budget import RetryBudget
from heathwell.policy.slow_start import SlowStart

# Fraction of the time left to the objective at the send after which an attempt without an outcome is late.
LATE_FRACTION = 0.5
# Divisor of the latency objective that gives the least time left from which that fraction is taken.
LATE_TIME_DIVISOR = 2
# Required weight while a canary is sent first: any one part reaches it.
CANARY_WEIGHT = 1e-5
# Required weight below which only the canary is sent.
SINGLE_PART_WEIGHT = 1e-4
# Required weight above which all parts are sent, in any order.
ALL_PARTS_WEIGHT = 1 - 1e-4


class PartSender:
    """Sends parts; owns no state besides that of the parts."""

    def __init__(
        self,
        context: DecisionContext,
        selector: ReplicaSelector,
        shedder: LoadShedder,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        budget: RetryBudget,
        rules: RetryRules,
        attempts: AttemptTable,
        completion: QueryCompletion,
    ) -> None:
        self._context = context
        self._selector = selector
        self._shedder = shedder
        self._outliers = outliers
        self._slow_start = slow_start
        self._budget = budget
        self._rules = rules
        self._attempts = attempts
        self._completion = completion

    def send_step(self, query: Query) -> None:
        """Shed the query, or rank the step's parts by their replica's load and send the required ones."""
        if not query.has_response and self._shedder.should_shed(query):
            self._completion.abandon(query, EndReason.OVERLOAD)
            return
        unsent = [part for part in query.unsent_parts() if not part.waiting]
        canary_first = self._outliers.sends_canary_first(query)
        needed_weight = CANARY_WEIGHT if canary_first else self._completion.required_weight(query)
        sent_weight = query.sent_weight()
        order = self._order(unsent, needed_weight)
        while sent_weight < needed_weight - WEIGHT_TOLERANCE and (part := next(order, None)):
            self.try_send(part)
            sent_weight += part.weight

    def _order(self, unsent: list[Part], needed_weight: float) -> Iterator[Part]:
        if needed_weight < SINGLE_PART_WEIGHT and unsent:
            return iter([self._selector.canary(unsent)])
        if needed_weight > ALL_PARTS_WEIGHT:
            return iter(unsent)  # all are sent, so their order makes no difference
        return self._selector.in_rank_order(unsent)

    def resume(self, query: Query) -> None:
        """Send the parts held back, or failed, while the query was suspected of being a query of death."""
        for part in query.parts:
            if part.attempts and not (part.done or part.waiting or part.in_flight()):
                self.try_send(part)
        self.send_step(query)

    def try_send(self, part: Part) -> bool:
        """Send a part to its selected replica, or let it wait if there is none; return whether it is sent."""
        tick_us = self._context.settings.tick_us
        if self._context.now_us >= part.query.deadline_us - tick_us:
            return False
        if part.attempts and not self._rules.may_send_again(part):
            return False
        if part.is_substitute and not part.attempts and not self._budget.has_quota():
            return False
        endpoint = self._selector.select(part)
        if endpoint is None:
            if not part.waiting:
                self._rules.wait(part, max(self._rules.retry_wait_us(part), tick_us))
            return False
        self._send(part, endpoint)
        return True

    def _send(self, part: Part, endpoint: Endpoint) -> None:
        reason = _attempt_reason(part)
        in_slow_start = self._slow_start.record_send(endpoint)
        send_by_us = self._rules.send_by_us(part)
        if reason is not AttemptReason.FIRST:
            self._budget.spend_quota()
        if part.attempts:
            self._budget.record_additional_attempt(part.attempts[-1].outcome)
        else:
            self._budget.record_first_attempt()
        attempt = self._attempts.begin(part, endpoint)
        self._context.emit(Send(part.id, endpoint.node, reason, in_slow_start, send_by_us))
        minimum_us = part.query.spec.latency_objective_us // LATE_TIME_DIVISOR
        left_us = max(part.query.objective_at_us - self._context.now_us, minimum_us)
        self._context.schedule(self._context.now_us + int(left_us * LATE_FRACTION), TimerKind.LATE, attempt)


def _attempt_reason(part: Part) -> AttemptReason:
    """Return why a part's next attempt is sent, according to its attempts so far."""
    if not part.attempts:
        return AttemptReason.SUBSTITUTE if part.is_substitute else AttemptReason.FIRST
    if part.in_flight():
        return AttemptReason.HEDGE
    if part.attempts[-1].outcome == Outcome.CANCELLED:
        return AttemptReason.CANCELLED
    return AttemptReason.RETRY
