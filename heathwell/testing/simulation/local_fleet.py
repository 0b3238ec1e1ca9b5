"""A fleet on one loop: discovery, coordinators, hosts and brokers, as their own processes would run them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from heathwell.eventloop import Loop
from heathwell.fleet.control.evacuation_coordinator import evacuation_coordinator_from_settings
from heathwell.observability.event_log import EventRecord
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fleet_member import Role
from heathwell.testing.simulation.local_broker import RunningBroker, ServiceAddresses
from heathwell.testing.simulation.local_coordinator import EvacuationCoordinatorFactory, RunningCoordinator
from heathwell.testing.simulation.local_surroundings import LocalSurroundings, NetOf, discard_log
from heathwell.testing.standins.discovery import Discovery
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.source import Source

FIRST_COORDINATOR_PORT: Final = 7100
LEAF_SEED_FACTOR: Final = 100


def loopback_host(_name: str) -> str:
    """Return the loopback address, for any process."""
    return "127.0.0.1"


class LocalFleet:
    """The fleet of a settings file, started on construction.

    With ``event_records`` every process records its events in that list. ``host_of`` is the host that a
    process listens on, by its name. Without ``run_coordinators`` the coordinators of the settings don't run.
    """

    def __init__(
        self,
        loop: Loop,
        net_of: NetOf,
        service_settings: ServiceSettings,
        seed: int = 1,
        *,
        event_records: list[EventRecord] | None = None,
        log: Callable[..., None] | None = None,
        host_of: Callable[[str], str] = loopback_host,
        run_coordinators: bool = True,
        make_evacuation_coordinator: EvacuationCoordinatorFactory = evacuation_coordinator_from_settings,
    ) -> None:
        self.service_settings = service_settings
        self.host_of = host_of
        self._surroundings = LocalSurroundings(
            loop, net_of, service_settings, seed, event_records, log or discard_log
        )
        fleet = service_settings.fleet
        self.discovery: Discovery = self._start_discovery()
        self.source: Source | None = self._start_source() if service_settings.freshness.enabled else None
        self.leaves: list[Leaf] = self._start_leaves()
        self._coordinator_addresses = {
            number: f"{host_of(f'k{number}')}:{FIRST_COORDINATOR_PORT + number}"
            for number in range(len(fleet.coordinators))
        }
        self.coordinators: list[RunningCoordinator] = []
        if run_coordinators:
            self.coordinators = self._start_coordinators(make_evacuation_coordinator)
        self._broker_runs = [0] * fleet.brokers
        self.brokers: list[RunningBroker] = [
            self._start_broker(number, self._any_port(f"b{number}")) for number in range(fleet.brokers)
        ]

    def _any_port(self, name: str) -> str:
        return f"{self.host_of(name)}:0"

    def _start_discovery(self) -> Discovery:
        surroundings = self._surroundings
        discovery = Discovery(
            surroundings.loop,
            surroundings.net_of("discovery"),
            self.service_settings,
            address=self._any_port("discovery"),
            events=surroundings.event_log("discovery", Role.DISCOVERY),
        )
        discovery.start()
        return discovery

    def _start_source(self) -> Source:
        surroundings = self._surroundings
        source = Source(
            surroundings.loop,
            surroundings.net_of("source"),
            self.service_settings,
            address=self._any_port("source"),
        )
        source.start()
        return source

    def _start_leaves(self) -> list[Leaf]:
        """Start all hosts, none of them in slow start."""
        leaves = [self._make_leaf(number) for number in range(self.service_settings.fleet.leaves)]
        for leaf in leaves:
            leaf.start(warm=True)
        return leaves

    def _make_leaf(self, number: int) -> Leaf:
        surroundings = self._surroundings
        fleet = self.service_settings.fleet
        name = f"leaf{number}"
        return Leaf(
            surroundings.loop,
            surroundings.net_of(name),
            self.service_settings,
            name=name,
            replica_group=number % fleet.cells,
            zone=number % len(fleet.zones),
            discovery=self.discovery.address,
            seed=surroundings.seed * LEAF_SEED_FACTOR + number,
            address=self._any_port(name),
            events=surroundings.event_log(name, Role.LEAF),
        )

    def _start_coordinators(
        self, make_evacuation_coordinator: EvacuationCoordinatorFactory
    ) -> list[RunningCoordinator]:
        addresses = self._coordinator_addresses
        return [
            RunningCoordinator(self._surroundings, number, 0, addresses, make_evacuation_coordinator)
            for number in addresses
        ]

    def _start_broker(self, number: int, address: str) -> RunningBroker:
        services = ServiceAddresses(
            discovery=self.discovery.address,
            source=self.source.address if self.source is not None else "",
            coordinators=tuple(self._coordinator_addresses.values()),
        )
        return RunningBroker(self._surroundings, services, number, self._broker_runs[number], address)

    def restart_broker(self, number: int) -> RunningBroker:
        """Kill a broker, start its next run at the same address, and return that."""
        old = self.brokers[number]
        old.kill()
        self._broker_runs[number] += 1
        self.brokers[number] = self._start_broker(number, old.address)
        return self.brokers[number]
