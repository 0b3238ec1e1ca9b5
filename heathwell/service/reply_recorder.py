"""Records each reply in the statistics, the storm protection, the event log and the query explanations."""

from __future__ import annotations

from heathwell.broker.replies import Reply, ReplyKind
from heathwell.service.query_cost import query_cost_us
from heathwell.service.query_explanations import ExplainedQuery, QueryExplanations
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServiceQuery
from heathwell.service.service_statistics import ServiceStatistics
from heathwell.service.storm_protection import StormProtection


class ReplyRecorder:
    """Records the replies of one broker; ``statistics`` and ``storm_protection`` are optional."""

    def __init__(
        self,
        broker: ServiceContext,
        explanations: QueryExplanations,
        statistics: ServiceStatistics | None,
        storm_protection: StormProtection | None,
    ) -> None:
        self._broker = broker
        self._explanations = explanations
        self._statistics = statistics
        self._storm_protection = storm_protection

    def record(self, query: ServiceQuery, reply: Reply, duration_us: int) -> None:
        """Record the reply to a query that was admitted ``duration_us`` ago."""
        now = self._broker.loop.now()
        query_class = self._broker.query_class_of(query)
        if self._statistics is not None:
            self._statistics.record_reply(now, query.client_id, query.plan.key, reply)
        if self._storm_protection is not None:
            self._storm_protection.record_reply(
                query_cost_us(query.plan, query.settings_version),
                is_answer=reply.kind in (ReplyKind.ANSWERED, ReplyKind.MISS),
                within_objective=duration_us <= query_class.latency_objective_us,
            )
        if self._broker.events.is_enabled:  # Building the lists is expensive.
            self._log(query, reply, duration_us)
        self._explanations.record(
            ExplainedQuery(query, query_class.name, reply, duration_us, now),
            self._broker.service_settings.freshness.explain,
        )

    def _log(self, query: ServiceQuery, reply: Reply, duration_us: int) -> None:
        answered = [part for part in query.parts.values() if part.data is not None]
        age = reply.age
        reason = {} if reply.end_reason is None else {"reason": reply.end_reason.value}
        self._broker.events(
            "final",
            q=query.id,
            ver=query.settings_version.version,
            kind=reply.kind,
            whole=reply.complete,
            got=reply.coverage.answered_parts,
            asked=reply.coverage.requested_parts,
            weight=reply.coverage.weight,
            after=reply.retry_after_us,
            took=duration_us,
            parts=[part.id for part in answered],
            moot=_superseded_part_ids(query),
            used={part.id: part.seq for part in answered},
            age=age.bound_us if age is not None else None,
            age_at=age.at_us - self._broker.loop.now() if age is not None else None,
            **reason,
        )


def _superseded_part_ids(query: ServiceQuery) -> list[str]:
    """Return the ids of the unanswered parts that could not have changed the reply any more."""
    if query.plan.search is None:
        return []
    superseded = query.plan.search.superseded
    return [part.id for part in query.parts.values() if part.data is None and part.id in superseded]
