"""Replica selection by Batch Sampling, based on this aggregator's own calls in flight.

The algorithm (Li, Ramamoorthy, Srikant: mean-field analysis of coding versus replication in large data
storage systems) is :meth:`ReplicaSelector.select` and :meth:`ReplicaSelector.in_rank_order`: a part is served
by the replica of its shard with the fewest own calls in flight, the parts of a query are ranked by that
count, ties are broken at random, and the caller sends the first n. All other functions here deviate from it;
their docstrings state what they guard against, and ``docs/design.md`` lists them.
"""

from __future__ import annotations

from collections.abc import Iterator

from heathwell.datastructures import GroupRank, drain_by_rank
from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.latency import LatencyModel
from heathwell.policy.load import LoadModel
from heathwell.policy.outlier_detection import OutlierDetector
from heathwell.policy.records import ALL_CLASSES, Endpoint, Part
from heathwell.policy.slow_start import SlowStart

# Number of parts up to which all are ranked again before each choice: groups save little for so few.
RERANK_PARTS = 12
# Relative latency by which an endpoint of this aggregator's zone may be slower than one of another zone.
OTHER_ZONE_LATENCY = 0.3
# Rank of a part without a usable replica, after all other parts.
NO_REPLICA_RANK = (1e9, 0, 0)
# Canary rank of a part without a usable replica: no other canary rank is greater.
NO_REPLICA_CANARY_RANK = 1

Rank = tuple[float, ...]
RankBasis = tuple[Endpoint, int] | None  # the endpoint that gives a rank, and its attempts in flight


class ReplicaSelector:
    """Selects the replica for a part and ranks the parts of a query; owns no state."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        latency: LatencyModel,
        load: LoadModel,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._load = load
        self._slow_start = slow_start
        self._outliers = outliers

    # Batch Sampling

    def select(self, part: Part) -> Endpoint | None:
        """Return the usable replica with the least load, with ties broken; None if there is none."""
        candidates = self._candidates(part)
        return min(candidates, key=self._replica_rank, default=None)

    def in_rank_order(self, parts: list[Part]) -> Iterator[Part]:
        """Yield the parts by rank, with loads that include the sends of the parts before; empty the list.

        Up to :data:`RERANK_PARTS` parts are ranked again before each choice. More are ranked in groups with
        the same replicas, and only groups ranked by the chosen endpoint are ranked again: O(n log n).
        """
        while 0 < len(parts) <= RERANK_PARTS:
            best = min(parts, key=self.part_rank)
            parts.remove(best)
            yield best
        groups: dict[int, list[Part]] = {}
        for part in parts:
            groups.setdefault(part.shard % self._context.settings.replica_groups, []).append(part)
        yield from drain_by_rank(groups, self._group_rank, _is_current, self._context.random)

    def part_rank(self, part: Part) -> Rank:
        """Return the rank of a part, lowest first: its replica's load, then latency, then a random number."""
        endpoint = self.select(part)
        if endpoint is None:
            return NO_REPLICA_RANK
        return (self._load.load(endpoint), self._tie_break(endpoint)[1], self._context.random.random())

    def _replica_rank(self, endpoint: Endpoint) -> Rank:
        return (self._load.load(endpoint), *self._tie_break(endpoint))

    def _group_rank(self, group: list[Part]) -> GroupRank[RankBasis]:
        """Return the rank of parts with the same replicas, with the least of one random number per part."""
        endpoint = self.select(group[0])
        if endpoint is None:
            return GroupRank(NO_REPLICA_RANK, None)
        draw = 1 - self._context.random.random() ** (1 / len(group))
        rank = (self._load.load(endpoint), self._tie_break(endpoint)[1], draw)
        return GroupRank(rank, (endpoint, len(endpoint.in_flight)))

    # Deviations from Batch Sampling

    def _candidates(self, part: Part) -> list[Endpoint]:
        """Return the replicas that may serve a part.

        Guards against replicas that are gone, excluded, already executing this part or without slow-start
        capacity. Ejected, deprioritized and formerly attempted ones serve only if no other replica is left.
        """
        busy = {attempt.endpoint.node for attempt in part.in_flight()}
        attempted = {attempt.endpoint.node for attempt in part.attempts}
        query_class = part.query.query_class
        class_keys = {ALL_CLASSES, query_class}
        replicas = self._endpoints.replicas(part)
        allowed = [replica for replica in replicas if replica.live and not replica.excluded_for & class_keys]
        available = [
            replica
            for replica in allowed
            if replica.node not in busy and self._slow_start.has_capacity(replica)
        ]
        healthy = [replica for replica in available if self._outliers.accepts_attempts(replica, query_class)]
        healthy = [replica for replica in healthy if not replica.deprioritized_for & class_keys] or healthy
        unattempted = [replica for replica in healthy if replica.node not in attempted]
        return unattempted or healthy or available

    def _tie_break(self, endpoint: Endpoint) -> Rank:
        """Return the rank of an endpoint at equal load: parts in flight, latency, then a random number.

        Guards against slow replicas and those of other zones. The latency of an endpoint in its half-open
        trial is ignored, so that the trial takes place.
        """
        on_trial = any(ejection.half_open for ejection in endpoint.ejections.values())
        zone_latency = 0.0 if endpoint.zone == self._context.settings.zone else OTHER_ZONE_LATENCY
        latency = 0.0 if on_trial else self._latency.relative_latency(endpoint) + zone_latency
        return (len(endpoint.in_flight), latency, self._context.random.random())

    def canary(self, parts: list[Part]) -> Part:
        """Return the part whose replica has the latest response; guards against queries of death."""
        return min(parts, key=self._canary_rank)

    def _canary_rank(self, part: Part) -> int:
        endpoint = self.select(part)
        return -endpoint.last_response_at_us if endpoint else NO_REPLICA_CANARY_RANK


def _is_current(basis: RankBasis) -> bool:
    """Return whether the count that a group's rank is computed from is still that of the endpoint."""
    return basis is None or len(basis[0].in_flight) == basis[1]
