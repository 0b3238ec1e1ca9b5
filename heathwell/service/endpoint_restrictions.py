"""Restricts which endpoints queries of each class may use.

Restrictions follow from the state of the links between regions, from classes that stay in their region, and
from evacuated zones. Each change is sent to the decision module as a
:class:`~heathwell.policy.RestrictionUpdate`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.service.regions import RegionLinks, RegionRoute
from heathwell.service.service_context import ServiceContext
from heathwell.settings import ServiceSettings

TICK_INTERVAL_US = 25_000  # The interval at which links between regions are checked.
REGIONS_SEED_MASK = 0x11A5
ANY_REGION = "any"
HOME_REGION_ONLY = "never"
NO_NODES = frozenset[str]()


@dataclass(frozen=True, slots=True)
class Restriction:
    """``deprioritized`` nodes are used only if no other node can serve a part, ``excluded`` nodes never."""

    deprioritized: frozenset[str] = NO_NODES
    excluded: frozenset[str] = NO_NODES


class RestrictionsBroker(ServiceContext, Protocol):
    """What :class:`EndpointRestrictions` uses of its broker."""

    def restrict_endpoints(self, restrictions: policy.RestrictionUpdate) -> None:
        """Pass restrictions to the decision module."""

    def probe_endpoint(self, node: str) -> None:
        """Send a probe to an endpoint."""


class EndpointRestrictions:
    """The restrictions of one broker.

    ``zone`` is the number of its zone, ``shortest_objective_us`` the shortest latency objective of a class.
    """

    def __init__(self, broker: RestrictionsBroker, zone: int, shortest_objective_us: int, seed: int) -> None:
        self._broker = broker
        self._region_by_zone = _region_by_zone(broker.service_settings)
        self._region_by_node: dict[str, str] = {}
        self._from_links = Restriction()
        self._evacuated: dict[int | None, frozenset[str]] = {}
        self.remote_nodes: frozenset[str] = NO_NODES
        self.region_links: RegionLinks | None = None
        if _needs_regions(broker.service_settings):
            home = self._region_by_zone[zone]
            self.region_links = _make_regions(broker.service_settings, home, shortest_objective_us, seed)
            broker.loop.call_at(broker.loop.now() + TICK_INTERVAL_US, self._tick)

    @property
    def excluded_nodes(self) -> frozenset[str]:
        """The endpoints behind links that are down."""
        return self._from_links.excluded

    def restrict_zones(self, query_class: int | None, nodes: frozenset[str]) -> None:
        """Deprioritize endpoints of evacuated zones, for one query class or, with None, for all classes.

        The restrictions that follow from regions stay in force.
        """
        self._evacuated[query_class] = nodes
        self._send_restrictions(query_class)

    # The list of endpoints.

    def on_endpoint_update(self, update: policy.EndpointUpdate) -> None:
        """Record the regions of endpoints. To be called before the decision module gets the update."""
        if self.region_links is None or update.kind == policy.UpdateKind.FAILED:
            return
        if update.kind == policy.UpdateKind.FULL:
            self._region_by_node.clear()
        for entry in update.endpoints:
            self._region_by_node[entry.node] = self._region_by_zone.get(entry.zone, "")
            if entry.state == policy.EndpointState.GONE:
                del self._region_by_node[entry.node]
        self.region_links.set_endpoints(self._region_by_node)

    def restrict_remote_nodes(self) -> None:
        """Restrict endpoints in other regions for the classes that stay in their home region.

        To be called after the decision module got an update: it must know the endpoints that restrictions
        name.
        """
        if self.region_links is None:
            return
        home = self.region_links.home
        remote_nodes = frozenset(node for node, region in self._region_by_node.items() if region != home)
        if remote_nodes == self.remote_nodes:
            return
        self.remote_nodes = remote_nodes
        for index, spec in enumerate(self._broker.service_settings.classes):
            if spec.across != ANY_REGION:
                restriction = self._remote_node_restriction(index)
                self._broker.restrict_endpoints(
                    policy.RestrictionUpdate(restriction.deprioritized, restriction.excluded, index)
                )

    def _remote_node_restriction(self, query_class: int) -> Restriction:
        """Return how a class restricts the endpoints in other regions."""
        across = self._broker.service_settings.classes[query_class].across
        if across == ANY_REGION:
            return Restriction()
        if across == HOME_REGION_ONLY:
            return Restriction(excluded=self.remote_nodes)
        return Restriction(deprioritized=self.remote_nodes)

    # Evidence on links.

    def on_attempt_sent(self, node: str, key: AttemptKey) -> None:
        """Record an attempt that is passed to its connection."""
        if self.region_links is not None:
            self.region_links.on_attempt_sent(self._broker.loop.now(), node, key)

    def on_attempt_ended(self, node: str, key: AttemptKey, outcome: policy.Outcome, duration_us: int) -> None:
        """Record the end of an attempt."""
        if self.region_links is not None:
            self.region_links.on_attempt_ended(self._broker.loop.now(), node, key, outcome, duration_us)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Record the end of a probe."""
        if self.region_links is not None:
            self.region_links.on_probe_ended(self._broker.loop.now(), node, outcome)
            self._log_link_changes(self.region_links)

    def on_late_answer(self, node: str) -> None:
        """Record an answer that arrived too late: it shows that the link is up."""
        if self.region_links is not None:
            self.region_links.on_late_answer(self._broker.loop.now(), node)
            self._log_link_changes(self.region_links)

    # Periodic work.

    def _tick(self) -> None:
        """Probe suspected links, and send changed restrictions to the decision module."""
        if self._broker.dead or self.region_links is None:
            return
        now = self._broker.loop.now()
        self._broker.loop.call_at(now + TICK_INTERVAL_US, self._tick)
        for node in self.region_links.tick(now):
            self._broker.counters["link probe",] += 1
            self._broker.probe_endpoint(node)
        self._log_link_changes(self.region_links)
        restrictions = self.region_links.restrictions(now)
        from_links = Restriction(restrictions.deprioritized, restrictions.excluded)
        if from_links != self._from_links:
            self._from_links = from_links
            self._send_restrictions(None)

    def _send_restrictions(self, query_class: int | None) -> None:
        """Send the restrictions of one query class, or with None those for all classes, to the module."""
        restriction = self._from_links if query_class is None else self._remote_node_restriction(query_class)
        evacuated = self._evacuated.get(query_class, NO_NODES)
        self._broker.restrict_endpoints(
            policy.RestrictionUpdate(restriction.deprioritized | evacuated, restriction.excluded, query_class)
        )

    def _log_link_changes(self, regions: RegionLinks) -> None:
        for change in regions.take_changes():
            region = change.region
            state = change.state.value
            self._broker.counters["link", region, state] += 1
            self._broker.events("link", region=region, state=state, why=change.evidence)
            self._broker.log(
                "warning", "region link changed state", region=region, state=state, why=change.evidence
            )


def _region_by_zone(service_settings: ServiceSettings) -> dict[int, str]:
    """Return the name of the region by zone number."""
    return {
        service_settings.fleet.zones.index(zone): region.name
        for region in service_settings.across.regions
        for zone in region.zones
    }


def _needs_regions(service_settings: ServiceSettings) -> bool:
    """Return whether the settings restrict endpoints by region."""
    across = service_settings.across
    if not across.regions:
        return False
    stays_at_home = any(spec.across != ANY_REGION for spec in service_settings.classes)
    return across.decide or across.prefer_home or stays_at_home


def _make_regions(
    service_settings: ServiceSettings, home: str, shortest_objective_us: int, seed: int
) -> RegionLinks:
    across = service_settings.across
    return RegionLinks(
        home,
        [region.name for region in across.regions],
        shortest_objective_us,
        seed ^ REGIONS_SEED_MASK,
        prefers_home=across.prefer_home,
        maximum_additional_crossings=across.cross_most,
        detects_link_faults=across.decide,
        crossing_cost_budget=across.cross_budget,
        routes=_routes_from(home, service_settings),
    )


def _routes_from(home: str, service_settings: ServiceSettings) -> dict[str, RegionRoute]:
    """Return by region the round trip and the cost of its link with the home region."""
    return {
        (set(link.between) - {home}).pop(): RegionRoute(2 * link.delay, link.cost)
        for link in service_settings.across.links
        if home in link.between
    }
