"""Arrival of queries: the table of queries without a final answer, their objectives and timers."""

from __future__ import annotations

from collections import Counter, deque

from heathwell.policy.context import DecisionContext
from heathwell.policy.events import PartArrived, QueryArrived
from heathwell.policy.latency import LatencyModel
from heathwell.policy.records import Query, TimerKind
from heathwell.policy.retry_budget import RetryBudget
from heathwell.policy.settings import QueryClass

# Fraction of the most common timeout of a class, under which a query counts as a retry whose client has
# shortened its timeout.
SHORTENED_TIMEOUT_FRACTION = 0.95
# Latest timeouts of a class from which the most common one is taken.
TIMEOUT_SAMPLES = 64
# Histogram bins into which the timeouts up to the one of the class are sorted.
TIMEOUT_BINS = 64
# Expected duration of a second step, in mean latencies of its class: it lasts as long as the slowest of a few
# parts and not as an average one.
SECOND_STEP_LATENCIES = 2.0
# Longest time reserved for a second step, as a fraction of the class's latency objective.
SECOND_STEP_MAXIMUM_OBJECTIVES = 0.5
# Time reserved for a second step while no latency is known, as a fraction of the class's latency objective.
SECOND_STEP_DEFAULT_OBJECTIVES = 0.25


class QueryTable:
    """Owns the queries without a final answer and the latest timeouts of each class."""

    def __init__(self, context: DecisionContext, latency: LatencyModel, budget: RetryBudget) -> None:
        self._context = context
        self._latency = latency
        self._budget = budget
        self.by_id: dict[str, Query] = {}
        self._by_job: dict[int, Query] = {}
        self._recent_timeouts: list[deque[int]] = [
            deque(maxlen=TIMEOUT_SAMPLES) for _ in context.settings.classes
        ]

    def __contains__(self, query: Query) -> bool:
        """Return whether a query has no final answer yet."""
        return query.id in self.by_id

    def all(self) -> list[Query]:
        """Return the queries in the order of their arrival."""
        return list(self.by_id.values())

    def remove(self, query: Query) -> None:
        """Remove a query that has ended; its attempts stay in flight until they have an outcome."""
        self.by_id.pop(query.id, None)
        self._by_job.pop(query.job, None)

    def on_query_arrived(self, event: QueryArrived) -> None:
        """Add a query and set its timers; its parts arrive as separate events."""
        context = self._context
        spec = context.settings.classes[event.query_class]
        self._budget.record_admission()
        objective_at_us = self._objective_at_us(event, spec)
        query = Query.from_arrival(event, spec, context.now_us, objective_at_us)
        self.by_id[event.id] = query
        self._by_job[event.job] = query
        self._schedule_end(query)
        if spec.second_step_parts and spec.allows_partial:
            self._schedule_first_step_cutoff(query)

    def on_part_arrived(self, event: PartArrived) -> Query | None:
        """Add a part to its query; return the query, or None if it has ended."""
        self._budget.record_admission()
        query = self._by_job.get(event.job)
        if query is not None:
            query.add_part(event)
            self._latency.record_work_hint(query.query_class, event.work_hint_us)
        return query

    def _objective_at_us(self, event: QueryArrived, spec: QueryClass) -> int:
        """Return the instant of the objective, counted from when the client first sent the query.

        A timeout shorter than the most common one of the class indicates a retry that has only the remaining
        time of its client. Its deadline then shows when the client first sent it. First attempts have the
        same timeout, while the last retry of a client may have more time.
        """
        now_us = self._context.now_us
        objective_us = spec.latency_objective_us + int(spec.objective_hint_ratio * (event.work_hint_us or 0))
        timeout_us = event.deadline_us - now_us
        most_common_timeout_us = self._record_timeout(event.query_class, timeout_us, spec)
        objective_at_us = min(now_us + objective_us, event.deadline_us)
        may_be_retry = event.is_retry or not self._context.settings.clients_mark_retries
        if may_be_retry and timeout_us < SHORTENED_TIMEOUT_FRACTION * most_common_timeout_us:
            return min(objective_at_us, event.deadline_us - spec.timeout_us + objective_us)
        return objective_at_us

    def _record_timeout(self, query_class: int, timeout_us: int, spec: QueryClass) -> float:
        """Record a timeout; return the most common one among the latest of the class."""
        timeouts = self._recent_timeouts[query_class]
        timeouts.append(TIMEOUT_BINS * timeout_us // spec.timeout_us)
        most_common_bin = Counter(timeouts).most_common(1)[0][0]
        return most_common_bin * spec.timeout_us / TIMEOUT_BINS

    def _schedule_end(self, query: Query) -> None:
        context = self._context
        tick_us = context.settings.tick_us
        context.schedule(query.deadline_us - tick_us, TimerKind.DEADLINE, query)
        if context.now_us + tick_us < query.objective_at_us < query.deadline_us:
            context.schedule(query.objective_at_us - tick_us, TimerKind.OBJECTIVE, query)

    def _schedule_first_step_cutoff(self, query: Query) -> None:
        """Set the timer that ends the first step while the second one still has time before the objective."""
        objective_us = query.spec.latency_objective_us
        usual_us = SECOND_STEP_LATENCIES * self._latency.mean_latency_us[query.query_class].value
        reserved_us = min(
            usual_us or objective_us * SECOND_STEP_DEFAULT_OBJECTIVES,
            objective_us * SECOND_STEP_MAXIMUM_OBJECTIVES,
        )
        cutoff_at_us = query.objective_at_us - self._context.settings.tick_us - int(reserved_us)
        self._context.schedule(cutoff_at_us, TimerKind.FIRST_STEP_CUTOFF, query)
