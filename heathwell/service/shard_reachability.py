"""Determines which shards a broker can reach and which fraction of its queries it can answer."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from heathwell.service.endpoint_restrictions import HOME_REGION_ONLY, EndpointRestrictions
from heathwell.service.key_spaces import KeyShape
from heathwell.service.query_plans import PartPlan, QueryPlan
from heathwell.service.regions import answerable_fraction
from heathwell.service.service_context import ServiceContext

UPDATE_DELAY_US = 25_000  # The decision module has applied an endpoint update within this delay.
MINIMUM_REACHABLE_FRACTION = 0.5  # A broker that reaches a smaller fraction of the shards is cut off.


class ShardReachability:
    """The shards that one broker can reach. ``replicas_of`` returns the live nodes that hold a shard."""

    def __init__(
        self,
        broker: ServiceContext,
        restrictions: EndpointRestrictions,
        replicas_of: Callable[[int], list[str]],
    ) -> None:
        self._broker = broker
        self._restrictions = restrictions
        self._replicas_of = replicas_of
        self._unheld_since_us: dict[int, int] = {}

    @property
    def is_cut_off(self) -> bool:
        """Whether most shards are unreachable because links are down."""
        return bool(self._restrictions.excluded_nodes) and (
            self.reachable_fraction() < MINIMUM_REACHABLE_FRACTION
        )

    def schedule_update(self) -> None:
        """Look for shards without a live replica once the decision module has applied an endpoint update."""
        self._broker.loop.call_at(self._broker.loop.now() + UPDATE_DELAY_US, self._find_unheld_shards)

    def unreachable_parts(self, plan: QueryPlan) -> Sequence[PartPlan]:
        """Return the parts of a plan that no reachable endpoint holds.

        All live replicas of their shard are excluded, or it has had no live replica for half the latency
        objective of the class.
        """
        excluded = self._excluded_nodes(plan.query_class)
        if not excluded and not self._unheld_since_us:
            return ()
        objective_us = self._broker.settings.classes[plan.query_class].latency_objective_us
        waited_enough_since_us = self._broker.loop.now() - objective_us // 2
        return tuple(
            part
            for part in plan.parts
            if self._unheld_since_us.get(part.shard, waited_enough_since_us + 1) <= waited_enough_since_us
            or self._has_only(part.shard, excluded)
        )

    def reachable_fraction(self) -> float:
        """Return the fraction of shards with a live replica that is not excluded."""
        reachable = self._reachable_shards(self._restrictions.excluded_nodes)
        return sum(reachable) / len(reachable)

    def answerable_query_fraction(self, query_class: int) -> float:
        """Return the fraction of a class's queries that can be answered now, if keys are spread evenly."""
        service_settings = self._broker.service_settings
        spec = service_settings.classes[query_class]
        spans = [
            {KeyShape.SEARCH: space.parts, KeyShape.REPORT: space.report_parts}.get(KeyShape(space.shape), 1)
            for space in service_settings.keys
            if space.query_class == spec.name
        ]
        if not spans:
            return 1.0
        reachable = self._reachable_shards(self._excluded_nodes(query_class))
        minimum_fraction = self._broker.settings.classes[query_class].minimum_fraction
        return sum(answerable_fraction(reachable, span, minimum_fraction) for span in spans) / len(spans)

    def _excluded_nodes(self, query_class: int) -> frozenset[str]:
        """Return the endpoints that a class may not use at all."""
        excluded = self._restrictions.excluded_nodes
        if self._broker.service_settings.classes[query_class].across == HOME_REGION_ONLY:
            return excluded | self._restrictions.remote_nodes
        return excluded

    def _has_only(self, shard: int, nodes: frozenset[str]) -> bool:
        """Return whether a shard has live replicas and all of them are among the given nodes."""
        replicas = self._replicas_of(shard)
        return bool(replicas) and nodes.issuperset(replicas)

    def _reachable_shards(self, excluded: frozenset[str]) -> list[bool]:
        """Return for each shard whether it has a live replica that is not excluded."""
        return [
            any(node not in excluded for node in self._replicas_of(shard))
            for shard in range(self._broker.service_settings.fleet.shards)
        ]

    def _find_unheld_shards(self) -> None:
        """Record the shards without a live replica, and since when (us)."""
        if self._broker.dead:
            return
        now = self._broker.loop.now()
        self._unheld_since_us = {
            shard: self._unheld_since_us.get(shard, now)
            for shard in range(self._broker.service_settings.fleet.shards)
            if not self._replicas_of(shard)
        }
