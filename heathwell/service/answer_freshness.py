"""Whether an endpoint's answer is fresh enough, and how old the reply made from several answers is."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.replies import Age
from heathwell.codec import frames
from heathwell.service.freshness import FreshnessDecider, SourceClock, Watermark, make_token
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServicePart, ServiceQuery

REJECTED_AS_STALE = "turned down"  # an interface: the label of a metric, and a reason on the admin page


class AnswerFreshness:
    """Judges answers by the position of the data source that they stand at.

    ``replicas_of`` gives the live nodes that hold a shard.
    """

    def __init__(self, broker: ServiceContext, replicas_of: Callable[[int], list[str]]) -> None:
        self.clock = SourceClock()
        self._broker = broker
        self._decider = FreshnessDecider(self.clock, replicas_of)

    @property
    def future_watermark_count(self) -> int:
        """How many answers claimed a position that the data source had not reached."""
        return self._decider.lag_tracker.future_watermark_count

    def is_acceptable(
        self,
        query: ServiceQuery,
        part: ServicePart,
        node: str,
        key: AttemptKey,
        result: frames.Result,
        sent_at_us: int,
    ) -> bool:
        """Whether an answer may be used; a rejected one is counted, and noted at its part."""
        now = self._broker.loop.now()
        query_class = self._broker.query_class_of(query)
        verdict = self._decider.decide(
            now,
            part.plan.shard,
            node,
            Watermark(result.position, result.source_us),
            self._broker.snapshot_of(query).freshness_policies[query.plan.query_class],
            attempted_nodes=part.attempted_nodes(),
            rejected_count=part.rejected_answer_count,
            duration_us=now - sent_at_us,
            time_left_us=query.started_at_us + query_class.latency_objective_us - now,
            minimum_position=_required_position(query, part.plan.shard),
        )
        part.has_known_age = verdict.age_us is not None
        if not verdict.is_accepted:
            reason = verdict.reason.value if verdict.reason is not None else ""
            part.rejected_answer_count += 1
            part.status = f"{REJECTED_AS_STALE}: {reason}"
            self._broker.counters[REJECTED_AS_STALE, query_class.name, reason] += 1
            self._broker.events("turned", p=key[0], seq=key[1], node=node, why=reason)
        return verdict.is_accepted

    def age_of(self, query: ServiceQuery, parts: Sequence[ServicePart]) -> Age | None:
        """The age, as of now, of a reply that rests on answered parts; None where there are none."""
        if not parts:
            return None
        now = self._broker.loop.now()
        bound_us = None
        if all(part.has_known_age for part in parts):
            bound_us = self.clock.age(now, min(part.source_us for part in parts))
        target_age_us = (
            self._broker.snapshot_of(query).freshness_policies[query.plan.query_class].target_age_us
        )
        is_stale = bool(target_age_us) and (bound_us is None or bound_us > target_age_us)
        first_positions = {part.plan.shard: part.position for part in parts if part.step == 1}
        is_consistent = all(
            part.position >= first_positions.get(part.plan.shard, 0) for part in parts if part.step == 2
        )
        shards_behind = {
            part.plan.shard for part in parts if part.position < query.plan.token_position(part.plan.shard)
        }
        return Age(
            bound_us,
            is_stale,
            is_consistent,
            tuple(sorted(shards_behind)),
            make_token(first_positions),
            now,
        )

    def age_at_us(self, part: ServicePart, at_us: int) -> int | None:
        """The age of a part's data at an instant; None where it is not known."""
        if part.data is None or not part.has_known_age:
            return None
        return self.clock.age(at_us, part.source_us) or 0


def _required_position(query: ServiceQuery, shard: int) -> int:
    """The position that an answer of a shard must stand at: the client's, and that of the first step."""
    positions = [query.plan.token_position(shard)]
    if query.step > 1:
        positions += [
            part.position
            for part in query.parts.values()
            if part.step == 1 and part.plan.shard == shard and part.data is not None
        ]
    return max(positions)
