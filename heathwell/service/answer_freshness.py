"""Decides whether an endpoint's answer is fresh enough, and determines the age of a merged reply."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.replies import Age
from heathwell.codec import frames
from heathwell.service.freshness import FreshnessDecider, SourceClock, Watermark, make_token
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServicePart, ServiceQuery

# An interface: the key of a counter that the metrics export, and a reason on the admin page.
REJECTED_AS_STALE = "turned down"


class AnswerFreshness:
    """Evaluates answers by the position of the data source up to which their data is applied.

    ``replicas_of`` returns the live nodes that hold a shard.
    """

    def __init__(self, broker: ServiceContext, replicas_of: Callable[[int], list[str]]) -> None:
        self.clock = SourceClock()
        self._broker = broker
        self._decider = FreshnessDecider(self.clock, replicas_of)

    @property
    def future_watermark_count(self) -> int:
        """The number of answers with a position that the data source had not yet reached."""
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
        """Return whether an answer may be used; a rejected one is counted and recorded in its part."""
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
        """Return the age, as of now, of a reply made from answered parts; None if there are none."""
        if not parts:
            return None
        now = self._broker.loop.now()
        bound_us = None
        if all(part.has_known_age for part in parts):
            bound_us = self.clock.maximum_age_us(now, min(part.source_us for part in parts))
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
        """Return the age of a part's data at a time of the broker's loop; None if it is unknown."""
        if part.data is None or not part.has_known_age:
            return None
        return self.clock.maximum_age_us(at_us, part.source_us) or 0


def _required_position(query: ServiceQuery, shard: int) -> int:
    """Return the position that a shard's answer must have reached.

    This is the position of the client's token, or that of the first step's answer if it is later.
    """
    positions = [query.plan.token_position(shard)]
    if query.step > 1:
        positions += [
            part.position
            for part in query.parts.values()
            if part.step == 1 and part.plan.shard == shard and part.data is not None
        ]
    return max(positions)
