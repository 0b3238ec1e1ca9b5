"""Fair queueing before the decision module: each server of a client protocol gets its share of the limit."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from heathwell.eventloop import Timer
from heathwell.service.admission import AdmissionDecision, ConcurrencyLimiter, FairQueue
from heathwell.service.query_cost import query_cost_us
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServiceQuery
from heathwell.settings import ServiceSettings

FAIR_QUEUE_SEED_MASK = 0xFA1E
# The initial limit for each replica group is this times the queue target, shared by the brokers.
INITIAL_LIMIT_FACTOR = 2.0
MINIMUM_TICK_INTERVAL_US = 1000


class FairAdmissionBroker(ServiceContext, Protocol):
    """What :class:`FairAdmission` uses of its broker."""

    @property
    def queries(self) -> Mapping[str, ServiceQuery]:
        """The queries that the broker holds, by id."""

    def enter_query(self, query: ServiceQuery) -> None:
        """Pass a query to the decision module."""

    def reject_queued_query(self, query: ServiceQuery, retry_after_us: int) -> None:
        """Reject a query that is queued for too long; its client may retry after ``retry_after_us``."""


class FairAdmission:
    """The fair queue of one broker; ``broker_count`` brokers share the endpoints."""

    def __init__(
        self, broker: FairAdmissionBroker, service_settings: ServiceSettings, broker_count: int, seed: int
    ) -> None:
        fronts = service_settings.fronts
        groups = service_settings.fleet.cells
        initial_limit_us = INITIAL_LIMIT_FACTOR * fronts.queue_target_us * groups / broker_count
        self._broker = broker
        self._timer: Timer | None = None
        self.queue = FairQueue(
            {"memcached": fronts.memcached, "vector": fronts.vector},
            ConcurrencyLimiter(fronts.queue_target_us, initial_limit_us),
            seed ^ FAIR_QUEUE_SEED_MASK,
        )

    def offer(self, query: ServiceQuery) -> None:
        """Pass a new query on at once, queue it, or reject it."""
        cost_us = query_cost_us(query.plan, query.settings_version)
        now = self._broker.loop.now()
        queue_timeout_us = self._queue_timeout_us(query, now)
        decision = self.queue.offer(now, query.plan.flow, query.id, cost_us, queue_timeout_us)
        if decision == AdmissionDecision.ADMIT:
            self._broker.enter_query(query)
        elif decision == AdmissionDecision.QUEUE:
            query.queued = True
            self._tick()
        else:
            self._broker.loop.call_soon(self._reject, query)

    def on_query_closed(self, query: ServiceQuery) -> None:
        """Remove a query that was answered or whose client has disconnected."""
        self.queue.end(self._broker.loop.now(), query.id)
        if self.queue.is_queueing:
            self._broker.loop.call_soon(self._tick)

    def on_part_answered(self, sent_at_us: int | None, work_us: int) -> None:
        """Adapt the concurrency limit to an answer's round trip and the work it took."""
        if work_us:
            now = self._broker.loop.now()
            round_trip_us = now - sent_at_us if sent_at_us is not None else 0
            self.queue.limiter.on_part_answered(now, round_trip_us, work_us)

    def _queue_timeout_us(self, query: ServiceQuery, now: int) -> int:
        """Return for how long a query may be queued."""
        left_us = query.deadline_us - now
        search = query.plan.search
        if search is not None and search.queue_timeout_us:
            return min(search.queue_timeout_us, left_us // 2)
        objective_us = self._broker.query_class_of(query).latency_objective_us
        return int(self._broker.service_settings.fronts.max_wait_fraction * min(objective_us, left_us))

    def _reject(self, query: ServiceQuery) -> None:
        query_class = self._broker.query_class_of(query)
        self._broker.counters["crowded", query.plan.flow, query_class.name] += 1
        objective_us = query_class.latency_objective_us
        longest_us = min(objective_us, self._broker.settings.max_retry_after_us or objective_us)
        retry_after_us = self.queue.retry_after_us(query.plan.flow, longest_us)
        query.queued = False
        self._broker.reject_queued_query(query, retry_after_us)

    def _tick(self) -> None:
        """Admit queued queries that fit now, reject expired ones, and schedule the next tick."""
        if self._broker.dead:
            return
        now = self._broker.loop.now()
        update = self.queue.poll(now)
        for query_id in update.admitted:
            self._enter(query_id, now)
        for query_id in update.expired:
            query = self._broker.queries.get(query_id)
            if query is not None:
                self._broker.loop.call_soon(self._reject, query)
        self._set_timer(now)

    def _enter(self, query_id: str, now: int) -> None:
        query = self._broker.queries.get(query_id)
        if query is not None and query.on_reply is not None:
            self._broker.enter_query(query)
        else:
            self.queue.end(now, query_id)

    def _set_timer(self, now: int) -> None:
        next_at_us = self.queue.next_expiry_at_us()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if next_at_us is not None:
            at_us = max(next_at_us, now + MINIMUM_TICK_INTERVAL_US)
            self._timer = self._broker.loop.call_at(at_us, self._tick)
