"""Query intake: turns a client's key or a plan into a query that is admitted, or rejected at once."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from heathwell.broker import replies
from heathwell.broker.query_state import Handle
from heathwell.broker.replies import OnReply, Reply, ReplyKind
from heathwell.service.fair_admission import FairAdmission
from heathwell.service.key_spaces import KeySpaces
from heathwell.service.query_admission import Admission, AdmissionRejectedError, QueryAdmission
from heathwell.service.query_plans import QueryPlan
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServiceQuery
from heathwell.service.service_statistics import ServiceStatistics


class IntakeBroker(ServiceContext, Protocol):
    """What :class:`QueryIntake` uses of its broker."""

    @property
    def keys(self) -> KeySpaces:
        """The key spaces for queries that are admitted now."""

    def next_job(self) -> int:
        """Return the number for a new query."""

    def admit(self, query: ServiceQuery) -> Handle:
        """Register a query and start its deadline timer."""

    def enter_query(self, query: ServiceQuery) -> None:
        """Pass a query to the decision module."""


class QueryIntake:
    """The intake of one broker; ``fair_admission`` and ``statistics`` are optional."""

    def __init__(
        self,
        broker: IntakeBroker,
        admission: QueryAdmission,
        fair_admission: FairAdmission | None,
        statistics: ServiceStatistics | None,
    ) -> None:
        self._broker = broker
        self._admission = admission
        self._fair_admission = fair_admission
        self._statistics = statistics

    def start_query(self, key: str, on_reply: OnReply, request: str, client: str) -> Handle | None:
        """Start the query of a key; ``on_reply`` gets its one reply, never before this method returns.

        A key of no key space is a miss, and a key with a malformed token fails; neither reaches the decision
        module. Return ``None`` in those cases and if :meth:`start_planned_query` does.
        """
        plan = self._broker.keys.plan(key)
        if plan is None:
            self._broker.loop.call_soon(on_reply, Reply(ReplyKind.MISS, reason="no such key space"))
            return None
        if plan.token_error:
            self._broker.loop.call_soon(on_reply, Reply(ReplyKind.FAILED, reason=plan.token_error))
            return None
        return self.start_planned_query(plan, on_reply, request, client)

    def start_planned_query(
        self, plan: QueryPlan, on_reply: OnReply, request: str, client: str
    ) -> Handle | None:
        """Start the query of a plan; return ``None`` if it is rejected at admission."""
        spec = self._broker.settings.classes[plan.query_class]
        client_id = f"{client}|{plan.subject}"
        if self._statistics is not None:
            self._statistics.record_query(self._broker.loop.now(), client_id, plan.key, spec.name)
        try:
            admission = self._admission.admit(plan, client_id)
        except AdmissionRejectedError as rejection:
            self._reject(plan, client_id, request, on_reply, rejection)
            return None
        query = self._make_query(plan, client_id, on_reply, admission)
        self._log_admission(query, request)
        handle = self._broker.admit(query)
        if self._fair_admission is not None:
            self._fair_admission.offer(query)
        else:
            self._broker.enter_query(query)
        return handle

    def _make_query(
        self, plan: QueryPlan, client_id: str, on_reply: OnReply, admission: Admission
    ) -> ServiceQuery:
        now = self._broker.loop.now()
        job = self._broker.next_job()
        limits = self._broker.service_settings.limits
        time_left_us = max(admission.timeout_us - limits.reply_transit_us, limits.tick)
        return ServiceQuery(
            f"{self._broker.name}.{job}",
            job,
            plan.query_class,
            now,
            now + time_left_us,
            on_reply,
            plan=plan,
            unreachable_parts=admission.unreachable_parts,
            client_id=client_id,
        )

    def _log_admission(self, query: ServiceQuery, request: str) -> None:
        plan = query.plan
        search_fields: dict[str, Sequence[float | None]] = {}
        if plan.search is not None:
            search_fields = {
                "wanted": plan.search.merge.requested_counts,
                "least": plan.search.merge.thresholds,
            }
        self._broker.events(
            "take",
            q=query.id,
            ver=self._broker.current_version.version,
            req=request,
            key=plan.key,
            klass=self._broker.settings.classes[plan.query_class].name,
            parts=len(plan.parts),
            deadline=query.deadline_us - query.started_at_us,
            shards=[part.shard for part in plan.parts],
            **search_fields,
        )

    def _reject(
        self,
        plan: QueryPlan,
        client_id: str,
        request: str,
        on_reply: OnReply,
        rejection: AdmissionRejectedError,
    ) -> None:
        """Reply to a query that is rejected before it reaches the decision module."""
        class_name = self._broker.settings.classes[plan.query_class].name
        reason = rejection.reason.value
        self._broker.counters["door", class_name, reason] += 1
        self._broker.events("door", req=request, key=plan.key, klass=class_name, why=reason)
        reply = replies.rejection(class_name, rejection.retry_after_us, reason)
        if self._statistics is not None:
            self._statistics.record_reply(self._broker.loop.now(), client_id, plan.key, reply)
        self._broker.loop.call_soon(on_reply, reply)
