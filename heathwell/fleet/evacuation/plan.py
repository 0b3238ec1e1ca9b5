"""How much of an unhealthy zone is evacuated: all, a share, some query classes, or nothing.

What the other zones can't bear stays. Owns no state. May import the records
of evidence and decision.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from heathwell.fleet.evacuation.decision import QueryClassNames
from heathwell.fleet.evacuation.zone_observations import ZoneClassKey

MINIMUM_RATE = 1e-9  # keeps a share of no load finite
MAX_REMAINING_SHARE = 0.95  # a zone that would keep at least this share of its traffic is not evacuated


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Parts a second: requested of each zone, its hosts' capacity, and requested by (zone, query class).

    A zone without a capacity is one of which none is known. ``rate_by_class`` is empty where not known.
    """

    rate: Mapping[str, float] = field(default_factory=dict)
    capacity: Mapping[str, float] = field(default_factory=dict)
    rate_by_class: Mapping[ZoneClassKey, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClassHealth:
    """Of a zone: query classes of which enough was observed, and the unhealthy ones among them."""

    observed: frozenset[str]
    unhealthy: frozenset[str]


@dataclass(frozen=True, slots=True)
class EvacuationPlan:
    """``traffic_share`` (0 to 1) stays in the zone; ``query_classes``, if not empty, are evacuated alone."""

    traffic_share: float
    query_classes: QueryClassNames
    reason: str

    @property
    def evacuates(self) -> bool:
        """Whether anything leaves the zone."""
        return self.traffic_share < 1 or bool(self.query_classes)


@dataclass(frozen=True, slots=True)
class EvacuationPlanner:
    """Plans against one state of the fleet.

    ``priority_weights`` of a part, by query class; classes without one are not moved on their own for lack of
    capacity. ``usable_capacity_fraction`` of the other zones' capacity may be filled.
    """

    load: FleetLoad
    priority_weights: Mapping[str, float]
    usable_capacity_fraction: float

    def plan(self, zone: str, healthy_zones: Collection[str], classes: ClassHealth) -> EvacuationPlan:
        """What of ``zone`` the ``healthy_zones`` take over.

        No shard is left without a replica: what only this zone holds is requested there as before.
        """
        if not healthy_zones:
            return EvacuationPlan(1.0, (), "no other zone is serving")
        capacity = sum(self.load.capacity.get(other, 0.0) for other in healthy_zones)
        if not capacity:
            return EvacuationPlan(0.0, (), "the other zones' capacity is not known")
        # A class of which too little was observed is neither healthy nor unhealthy: it goes with the zone.
        if classes.unhealthy and classes.unhealthy < classes.observed:
            unhealthy = tuple(sorted(classes.unhealthy))
            return EvacuationPlan(0.0, unhealthy, f"only {', '.join(unhealthy)} is unhealthy there")
        return self._plan_within(zone, capacity)

    def _plan_within(self, zone: str, capacity: float) -> EvacuationPlan:
        """The entire zone where its load fits, else the most valuable classes, else a share."""
        total_rate = sum(self.load.rate.values())
        usable = self.usable_capacity_fraction * capacity
        if total_rate <= usable:
            return EvacuationPlan(
                0.0, (), f"the other zones bear {capacity:.0f} parts a second, {total_rate:.0f} are asked"
            )
        excess = total_rate - usable
        zone_rate = max(self.load.rate.get(zone, 0.0), excess, MINIMUM_RATE)
        shortage = f"the other zones bear {capacity:.0f} parts a second of {total_rate:.0f}"
        query_classes = self._most_valuable_classes(zone, usable - (total_rate - zone_rate))
        if query_classes:
            return EvacuationPlan(0.0, query_classes, f"{', '.join(query_classes)} alone: {shortage}")
        remaining_share = min(1.0, excess / zone_rate)
        if remaining_share >= MAX_REMAINING_SHARE:
            return EvacuationPlan(1.0, (), shortage)
        return EvacuationPlan(remaining_share, (), f"{remaining_share:.0%} stays: {shortage}")

    def _most_valuable_classes(self, zone: str, free_rate: float) -> QueryClassNames:
        """The classes that fit completely into ``free_rate``, by descending priority weight.

        Empty where all or none of them fit, or where no weight is known.
        """
        rates = {
            query_class: rate
            for (class_zone, query_class), rate in self.load.rate_by_class.items()
            if class_zone == zone and query_class in self.priority_weights
        }
        fitting: list[str] = []
        for query_class in sorted(rates, key=lambda name: (-self.priority_weights[name], name)):
            if rates[query_class] <= free_rate:
                fitting.append(query_class)
                free_rate -= rates[query_class]
        return tuple(sorted(fitting)) if len(fitting) < len(rates) else ()
