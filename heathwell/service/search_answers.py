"""Answers to vector searches.

Rows are merged as they arrive, and attempts that can no longer change the result are superseded.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from heathwell.broker.driver_contract import AttemptKey
from heathwell.codec import frames
from heathwell.service.admission import CostModels
from heathwell.service.merging import MalformedRowsError, Row
from heathwell.service.query_plans import SearchPlan
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServicePart, ServiceQuery
from heathwell.service.vectors.search_messages import decode_answer

INITIAL_COST = 1.0


class SearchBroker(ServiceContext, Protocol):
    """What :class:`SearchAnswers` uses of its broker."""

    def supersede_attempt(self, query: ServiceQuery, part_id: str, attempt: int) -> None:
        """Tell the decision module that an attempt can no longer change its query's answer."""


class SearchAnswers:
    """The searches of one broker.

    ``costs`` are learned from the work that endpoints report. ``shard_sizes`` holds the number of points by
    collection and shard, as reported by endpoints.
    """

    def __init__(self, broker: SearchBroker, costs: CostModels) -> None:
        self._broker = broker
        self._costs = costs
        self.shard_sizes: dict[str, dict[int, int]] = {}

    def merge_hits(
        self, query: ServiceQuery, part: ServicePart, node: str, key: AttemptKey, result: frames.Result
    ) -> bool:
        """Merge an answer's hits; return false if they are malformed, and true if the query is no search."""
        search = query.plan.search
        if search is None:
            return True
        try:
            self._add_hits(search, part, result)
        except (MalformedRowsError, msgspec.MsgspecError) as error:
            part.status = f"malformed: {error}"
            self._broker.counters["malformed", self._broker.query_class_of(query).name] += 1
            self._broker.events("malformed", p=key[0], seq=key[1], node=node, why=str(error))
            self._broker.log("warning", "endpoint returned malformed rows", node=node, why=str(error))
            return False
        return True

    def _add_hits(self, search: SearchPlan, part: ServicePart, result: frames.Result) -> None:
        answer = decode_answer(result.data)
        hits_by_search = [[Row(hit.id, hit.score, hit, hit.version) for hit in hits] for hits in answer.lists]
        search.merge.add_rows(part.id, hits_by_search, answer.points, answer.recall)
        self.shard_sizes.setdefault(part.plan.key, {})[part.plan.shard] = answer.points

    def on_part_answered(self, query: ServiceQuery, result: frames.Result) -> None:
        """Learn the cost from an answer's work, and supersede attempts that the answer made unnecessary."""
        search = query.plan.search
        if search is None:
            return
        model = self._costs.model(search.cost_model, INITIAL_COST, len(search.cost_features))
        model.learn(search.cost_features, result.work_us)
        self._supersede_attempts(query, search)

    def on_score_bound(
        self, query: ServiceQuery, node: str, key: AttemptKey, best_scores: list[float]
    ) -> None:
        """Record the bounds on an attempt's scores; the attempt may be superseded by them at once."""
        search = query.plan.search
        if search is None or key not in query.in_flight:
            return
        try:
            search.merge.add_bounds(key[0], best_scores)
        except MalformedRowsError as error:
            self._broker.log("warning", "endpoint sent malformed score bounds", node=node, why=str(error))
            return
        self._supersede_attempts(query, search)

    def _supersede_attempts(self, query: ServiceQuery, search: SearchPlan) -> None:
        """Supersede the attempts in flight that can no longer change the result."""
        if query.on_reply is None:
            return
        for part_id in search.merge.take_superseded():
            attempt = query.parts[part_id].attempt_count - 1
            if part_id in search.superseded or (part_id, attempt) not in query.in_flight:
                continue
            search.superseded.add(part_id)
            self._broker.counters["moot", self._broker.query_class_of(query).name] += 1
            self._broker.events("moot", p=part_id, seq=attempt)
            self._broker.supersede_attempt(query, part_id, attempt)
