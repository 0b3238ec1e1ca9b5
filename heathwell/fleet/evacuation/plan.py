"""Plans how much of an unhealthy zone is evacuated: all, a share, some query classes, or nothing.

Traffic for which the other zones lack the capacity stays. Owns no state. Imports the records of
`zone_observations` and `decision`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from heathwell.fleet.evacuation.decision import QueryClassNames
from heathwell.fleet.evacuation.zone_observations import ZoneClassKey

MINIMUM_RATE = 1e-9  # avoids a division by zero for a zone without load
MAX_REMAINING_SHARE = 0.95  # a zone that would keep at least this share of its traffic is not evacuated


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Requested rate and capacity by zone, and requested rate by zone and class, in parts per second.

    The capacity of a zone that is not listed is unknown. ``rate_by_class`` is empty if unknown.
    """

    rate: Mapping[str, float] = field(default_factory=dict)
    capacity: Mapping[str, float] = field(default_factory=dict)
    rate_by_class: Mapping[ZoneClassKey, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClassHealth:
    """The query classes with enough attempts at a zone, and the unhealthy ones among them."""

    observed: frozenset[str]
    unhealthy: frozenset[str]


@dataclass(frozen=True, slots=True)
class EvacuationPlan:
    """What is evacuated: ``traffic_share`` (0 to 1) stays in the zone; only ``query_classes`` are evacuated,
    unless empty.
    """

    traffic_share: float
    query_classes: QueryClassNames
    reason: str

    @property
    def evacuates(self) -> bool:
        """Whether any traffic is evacuated."""
        return self.traffic_share < 1 or bool(self.query_classes)


@dataclass(frozen=True, slots=True)
class EvacuationPlanner:
    """Plans evacuations for one load of the fleet.

    ``priority_weights`` is the priority weight of a part by query class; a class without one is not evacuated
    on its own when capacity is short. ``usable_capacity_fraction`` of the other zones' capacity may be used.
    """

    load: FleetLoad
    priority_weights: Mapping[str, float]
    usable_capacity_fraction: float

    def plan(self, zone: str, healthy_zones: Collection[str], classes: ClassHealth) -> EvacuationPlan:
        """Return how much of the traffic of ``zone`` the ``healthy_zones`` take over.

        No shard becomes unavailable: shards that only this zone holds are still requested there.
        """
        if not healthy_zones:
            return EvacuationPlan(1.0, (), "no other zone is serving")
        capacity = sum(self.load.capacity.get(other, 0.0) for other in healthy_zones)
        if not capacity:
            return EvacuationPlan(0.0, (), "the other zones' capacity is not known")
        # A class with too few attempts is neither healthy nor unhealthy: it is evacuated with the zone.
        if classes.unhealthy and classes.unhealthy < classes.observed:
            unhealthy = tuple(sorted(classes.unhealthy))
            return EvacuationPlan(0.0, unhealthy, f"only {', '.join(unhealthy)} is unhealthy there")
        return self._plan_within(zone, capacity)

    def _plan_within(self, zone: str, capacity: float) -> EvacuationPlan:
        """Plan for the entire zone if its load fits, else the classes of highest weight, else a share."""
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
        """Return the classes that fit completely into ``free_rate``, chosen by descending priority weight.

        Empty if all or none of them fit, or if no weight is known.
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
