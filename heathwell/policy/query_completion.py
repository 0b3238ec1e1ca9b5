"""The end of a query: complete, partial and late answers, first-step cutoff, abandonment and shutdown."""

from __future__ import annotations

from heathwell.policy.actions import Answer, EndReason, Fail, Reject
from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.outlier_detection import QueryOfDeathVerdict, judge_query_of_death
from heathwell.policy.query_arrival import QueryTable
from heathwell.policy.records import WEIGHT_TOLERANCE, Part, Query, TimerKind

# Tolerance of the sum of the weights that a caller passes.
OFFERED_WEIGHT_TOLERANCE = 1e-3
# Smallest retry advice as a fraction of the longest; the jitter between them spreads the retries.
RETRY_AFTER_MINIMUM_FRACTION = 0.5


class QueryCompletion:
    """Ends queries and begins their second step; owns no state besides that of the queries."""

    def __init__(self, context: DecisionContext, queries: QueryTable, attempts: AttemptTable) -> None:
        self._context = context
        self._queries = queries
        self._attempts = attempts

    # Weights

    def required_weight(self, query: Query) -> float:
        """Return the received weight of the present step at which the query is answered."""
        spec = query.spec
        if query.step > 1:
            return 1.0
        if query.first_step_cut_off:
            return spec.effective_minimum_fraction
        # The caller leaves out parts that are unavailable: only the offered weight can be received.
        if query.offered_weight > spec.required_fraction - OFFERED_WEIGHT_TOLERANCE:
            return spec.required_fraction
        return max(query.offered_weight, spec.minimum_fraction)

    def is_awaited(self, part: Part) -> bool:
        """Return whether a response to the part would still count."""
        return part.query in self._queries and not part.done and part.step == part.query.step

    def record_part(self, part: Part) -> bool:
        """Count a part as received, once, and answer if that is enough; return whether it was counted."""
        if not self.is_awaited(part):
            return False
        part.done = True
        part.query.received_weight += part.weight
        self.answer_if_enough(part.query)
        return True

    # Answers

    def answer_if_enough(self, query: Query) -> None:
        """Answer if the required weight has been received."""
        if query.received_weight >= self.required_weight(query) - WEIGHT_TOLERANCE:
            is_complete = query.received_weight >= query.complete_weight() - WEIGHT_TOLERANCE
            query.complete = query.complete and is_complete
            self._answer(query)

    def _answer(self, query: Query) -> None:
        """Answer a query; the first of two answers begins the second step, whose parts the caller passes."""
        self._context.emit(Answer(query.id, query.complete))
        if query.is_last_step():
            self._queries.remove(query)
        else:
            query.step = 2
            query.received_weight = 0.0

    # Timers

    def on_timer(self, query: Query, kind: TimerKind) -> None:
        """Cut off a first step, answer partially at the objective if that pays, or end at the deadline."""
        if kind == TimerKind.FIRST_STEP_CUTOFF:
            self._cut_off_first_step(query)
            return
        partial_weight = self._partial_answer_weight(query)
        if kind == TimerKind.OBJECTIVE and query.spec.late_weight > (partial_weight or 0.0):
            return
        if partial_weight is None:
            self.abandon(query, EndReason.DEADLINE)
        else:
            query.complete = False
            self._answer(query)

    def _cut_off_first_step(self, query: Query) -> None:
        """Answer the first step from the minimum weight: later, the second step would have no time left."""
        query.first_step_cut_off = query.step == 1
        self.answer_if_enough(query)

    def _partial_answer_weight(self, query: Query) -> float | None:
        """Return the value of a partial answer relative to a complete one; None if none may be given."""
        spec = query.spec
        is_enough = query.received_weight >= spec.minimum_fraction - WEIGHT_TOLERANCE
        if not (spec.allows_partial and is_enough and query.is_last_step()):
            return None
        return spec.partial_weight * query.received_weight / spec.required_fraction

    # Abandonment, exclusion and shutdown

    def abandon(self, query: Query, reason: EndReason) -> None:
        """End the query at once: reject it if a repeat is known to be harmless, otherwise fail it."""
        may_have_run = any(attempt.may_have_run() for attempt in query.attempts())
        if may_have_run and not query.spec.allows_duplicates:
            self._context.emit(Fail(query.id, reason))
        else:
            self._context.emit(Reject(query.id, self._retry_after_us(query), reason))
        self._queries.remove(query)

    def abandon_if_unanswerable(self, query: Query) -> None:
        """Abandon a query whose received, in-flight, waiting and unsent parts are too few to answer it."""
        if query.reachable_weight() < query.minimum_weight() - WEIGHT_TOLERANCE:
            self.abandon(query, EndReason.TOO_FEW_PARTS)

    def hold_or_abandon_query_of_death(self, query: Query) -> bool:
        """Abandon a query of death; return whether nothing may be sent for the query at present."""
        verdict = judge_query_of_death(query)
        if verdict is QueryOfDeathVerdict.ABANDON:
            self.abandon(query, EndReason.QUERY_OF_DEATH)
        return verdict is not QueryOfDeathVerdict.NOT_SUSPECTED

    def exclude_parts(self, query: Query, parts: list[Part]) -> None:
        """Stop waiting for parts that no replica may serve; answer from the others or abandon the query."""
        if not parts:
            return
        query.exclude(parts)
        self.abandon_if_unanswerable(query)
        if query in self._queries and query.received_weight > 0:
            self.answer_if_enough(query)

    def on_client_disconnected(self, query_id: str) -> None:
        """Remove a query whose client has disconnected, and cancel its attempts if that is allowed."""
        query = self._queries.by_id.get(query_id)
        if query is None:
            return
        if self._context.settings.cancellation_allowed:
            for attempt in query.in_flight():
                self._attempts.cancel(attempt)
        self._queries.remove(query)

    def on_shutdown_started(self, ends_at_us: int) -> None:
        """Move deadlines after ``ends_at_us``, when the process ends, to that instant."""
        for query in self._queries.all():
            if query.deadline_us > ends_at_us:
                query.deadline_us = ends_at_us
                query.objective_at_us = min(query.objective_at_us, ends_at_us)
                tick_us = self._context.settings.tick_us
                self._context.schedule(ends_at_us - tick_us, TimerKind.DEADLINE, query)

    def _retry_after_us(self, query: Query) -> int:
        """Return the retry advice, up to one objective, with jitter; 0 if none may be given."""
        settings = self._context.settings
        longest_us = min(query.spec.latency_objective_us, settings.max_retry_after_us)
        draw = self._context.random.uniform(RETRY_AFTER_MINIMUM_FRACTION, 1.0)
        return int(longest_us * draw) if settings.retry_advice_allowed else 0
