"""A whole fleet on one loop: discovery, hosts and brokers, as their own processes would run them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from heathwell.eventloop import Listener, Loop, Net
from heathwell.fleet.control.evacuation_coordinator import (
    EvacuationCoordinator,
    evacuation_coordinator_from_settings,
)
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings
from heathwell.fleet.control.quota_coordinator import QuotaCoordinatorServer
from heathwell.fleet.membership import LocalMember
from heathwell.fleet.quotas import QuotaCoordinator
from heathwell.observability.event_log import EventLog, ListEvents, NoEvents
from heathwell.servers.admin import AdminServer
from heathwell.servers.client_connection import EXTRA_CONNECTIONS
from heathwell.servers.memcached import MemcachedServer
from heathwell.servers.vector import VectorSearchServer
from heathwell.service.broker_options import BrokerOptions
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.zone_observer import ZoneBroker, ZoneObserver, observe_zones
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.discovery import Discovery
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.source import Source


class RunningCoordinator:
    """A keeper; :meth:`kill` is what a SIGKILL does."""

    def __init__(self, fleet: LocalFleet, number: int, run: int, address: str) -> None:
        spec, loop = fleet.service_settings.fleet, fleet.loop
        self.name = f"k{number}r{run}"
        decider = QuotaCoordinator(
            number,
            f"k{number}.{run}",
            len(spec.coordinators),
            budgets_from_settings(spec),
            loop.now(),
            quota_timings_from_settings(spec),
        )
        self.server = QuotaCoordinatorServer(
            loop,
            fleet.net_of(self.name),
            decider,
            {n: where for n, where in enumerate(fleet.keeper_addresses) if n != number},
            seed=fleet.seed * 50 + number,
            log=fleet.log,
            events=fleet.events(self.name, "keeper"),
            evacuation=fleet.desk(fleet.service_settings) if spec.evacuate else None,
        )
        self.server.start(address)

    def kill(self) -> None:
        """Gone, with all it remembered."""
        self.server.close()


class RunningBroker:
    """A broker with its fronts; :meth:`kill` is what a SIGKILL does."""

    def __init__(self, fleet: LocalFleet, number: int, run: int, address: str = "127.0.0.1:0") -> None:
        service_settings = fleet.service_settings
        self.name = f"b{number}r{run}"
        self.zone = number % len(service_settings.fleet.zones)
        net = fleet.net_of(self.name)
        self.events = fleet.events(self.name, "broker")
        self.agent: FleetAgent | None = None
        if service_settings.fleet.coordinators:
            spec, times, loop = (
                service_settings.fleet,
                quota_timings_from_settings(service_settings.fleet),
                fleet.loop,
            )
            member = LocalMember(
                f"b{number}",
                loop.now() + 1,
                loop.now(),
                zone=spec.zones[self.zone],
                timeouts=times.membership,
            )
            self.agent = FleetAgent(
                loop,
                net,
                member,
                budgets_from_settings(spec),
                tuple(fleet.keeper_addresses),
                renewal_interval_us=spec.renew,
                timings=times,
                seed=fleet.seed * 1000 + number * 10 + run,
                log=fleet.log,
                events=self.events,
            )
        seed = fleet.seed * 1000 + number * 10 + run
        self.broker = ServiceBroker(
            fleet.loop,
            net,
            service_settings,
            BrokerOptions(
                name=self.name,
                zone=self.zone,
                seed=seed,
                discovery_address=fleet.discovery.address,
                source_address=fleet.source.address if fleet.source is not None else "",
                aggregator_count=max(1, service_settings.fleet.brokers),
                agent=self.agent,
                make_zone_observer=self._zone_observer_factory(service_settings, seed),
            ),
            events=self.events,
            log=fleet.log,
        )
        self.front = MemcachedServer(self.broker, fleet.log)
        self.admin = AdminServer(self.broker, self.front)
        self.listeners: list[Listener] = [
            net.listen(
                address,
                self.front.serve,
                f"client of {self.name}",
                service_settings.limits.clients + EXTRA_CONNECTIONS,
            ),
            net.listen(service_settings.broker.admin, self.admin.serve, f"admin of {self.name}"),
        ]
        self.address, self.admin_address = (listener.address for listener in self.listeners)
        self.broker.pace(self.listeners[0])
        self.vector: VectorSearchServer | None = None
        self.vector_address = ""
        if service_settings.vector.listen:
            self.vector = VectorSearchServer(self.broker, fleet.log)
            self.listeners.append(
                net.listen(
                    service_settings.vector.listen,
                    self.vector.serve,
                    f"searcher of {self.name}",
                    service_settings.limits.clients + EXTRA_CONNECTIONS,
                )
            )
            self.broker.pace(self.listeners[-1])
            self.vector_address = self.listeners[-1].address

    def _zone_observer_factory(
        self, service_settings: ServiceSettings, seed: int
    ) -> Callable[[ZoneBroker], ZoneObserver] | None:
        """What makes the broker's zone observer; None where its settings evacuate no zones."""
        if self.agent is None or not service_settings.fleet.evacuate:
            return None
        return partial(
            observe_zones,
            agent=self.agent,
            zone=self.zone,
            zone_names=service_settings.fleet.zones,
            seed=seed,
        )

    def kill(self) -> None:
        """Gone: what it held is lost, its clients see a reset."""
        for listener in self.listeners:
            listener.close()
        self.broker.kill()
        if self.agent is not None:
            self.agent.close()
        for connection in self.front.connections:
            connection.pending.clear()
            connection.stream.abort()
        for searcher in list(self.vector.clients.connections.values()) if self.vector is not None else ():
            searcher.stream.abort()


class NetOf(Protocol):
    """The net as the host of a process sees it."""

    def __call__(self, name: str) -> Net:
        """By the process's name."""


class LocalFleet:
    """The fleet of a settings file. With ``into`` every process notes its events in that list; without
    ``keep`` the keepers that settings name don't run; ``desk`` makes their part in leaving zones.
    """

    def __init__(
        self,
        loop: Loop,
        net_of: NetOf,
        service_settings: ServiceSettings,
        seed: int = 1,
        *,
        into: list[dict[str, Any]] | None = None,
        log: Callable[..., None] | None = None,
        host_of: Callable[[str], str] | None = None,
        keep: bool = True,
        desk: Callable[[ServiceSettings], EvacuationCoordinator] = evacuation_coordinator_from_settings,
    ) -> None:
        self.loop, self.net_of, self.service_settings, self.seed = loop, net_of, service_settings, seed
        self.desk = desk
        self.into, self.log = into, log or (lambda *_args, **_fields: None)
        host = host_of or (lambda _name: "127.0.0.1")
        self.host_of = host
        self.discovery = Discovery(
            loop,
            net_of("discovery"),
            service_settings,
            address=f"{host('discovery')}:0",
            events=self.events("discovery", "discovery"),
        )
        self.discovery.start()
        self.source: Source | None = None
        if service_settings.freshness.enabled:
            self.source = Source(loop, net_of("source"), service_settings, address=f"{host('source')}:0")
            self.source.start()
        zones = len(service_settings.fleet.zones)
        self.leaves = [
            Leaf(
                loop,
                net_of(f"leaf{n}"),
                service_settings,
                name=f"leaf{n}",
                replica_group=n % service_settings.fleet.cells,
                zone=n % zones,
                discovery=self.discovery.address,
                seed=seed * 100 + n,
                address=f"{host(f'leaf{n}')}:0",
                events=self.events(f"leaf{n}", "leaf"),
            )
            for n in range(service_settings.fleet.leaves)
        ]
        for leaf in self.leaves:
            leaf.start(warm=True)
        self.keeper_addresses = [
            f"{host(f'k{n}')}:{7100 + n}" for n in range(len(service_settings.fleet.coordinators))
        ]
        self.keeper_runs = [0] * len(self.keeper_addresses)
        self.keepers = [
            RunningCoordinator(self, n, 0, address) for n, address in enumerate(self.keeper_addresses) if keep
        ]
        self.runs = [0] * service_settings.fleet.brokers
        self.brokers: list[RunningBroker] = []
        for number in range(service_settings.fleet.brokers):
            self.brokers.append(RunningBroker(self, number, 0, f"{host(f'b{number}')}:0"))

    def events(self, name: str, role: str) -> EventLog:
        """An event log for a process."""
        return NoEvents() if self.into is None else ListEvents(self.into, name, role, self.loop.clock)

    def restart_broker(self, number: int) -> RunningBroker:
        """Kill a broker and start its successor at the same address."""
        old = self.brokers[number]
        old.kill()
        self.runs[number] += 1
        new = self.brokers[number] = RunningBroker(self, number, self.runs[number], old.address)
        return new
