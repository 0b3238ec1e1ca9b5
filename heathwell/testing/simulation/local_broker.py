"""A service broker with its servers on the loop of a simulated fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from heathwell.eventloop import Listener, Net
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings
from heathwell.fleet.membership import LocalMember
from heathwell.observability.event_log import EventLog
from heathwell.servers.admin import AdminServer
from heathwell.servers.client_connection import EXTRA_CONNECTIONS
from heathwell.servers.memcached import MemcachedServer
from heathwell.servers.vector import VectorSearchServer
from heathwell.service.broker_options import BrokerOptions
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.zone_observer import ZoneBroker, ZoneObserver, observe_zones
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fleet_member import Role
from heathwell.testing.simulation.local_surroundings import LocalSurroundings

BROKER_SEED_FACTOR: Final = 1000
RUN_SEED_FACTOR: Final = 10


@dataclass(frozen=True, slots=True)
class ServiceAddresses:
    """Where a broker reaches the rest of its fleet; ``source`` is empty without a source of updates."""

    discovery: str
    source: str
    coordinators: Sequence[str]


class RunningBroker:
    """One run of a broker: its memcached, vector search and admin servers, and its fleet agent.

    The vector search server is None, and its address empty, where the settings name no address for it. The
    agent is None without coordinators.
    """

    def __init__(
        self,
        surroundings: LocalSurroundings,
        services: ServiceAddresses,
        number: int,
        run: int,
        address: str,
    ) -> None:
        self._surroundings = surroundings
        self._services = services
        self.number = number
        self.name = f"b{number}r{run}"
        self.zone = number % len(self._settings.fleet.zones)
        self.seed = surroundings.seed * BROKER_SEED_FACTOR + number * RUN_SEED_FACTOR + run
        self._net: Net = surroundings.net_of(self.name)
        self.events: EventLog = surroundings.event_log(self.name, Role.BROKER)
        self.agent: FleetAgent | None = self._make_agent() if self._settings.fleet.coordinators else None
        self.broker: ServiceBroker = self._make_broker()
        self.memcached_server = MemcachedServer(self.broker, surroundings.log)
        self.admin_server = AdminServer(self.broker, self.memcached_server)
        self.vector_server: VectorSearchServer | None = None
        self.vector_address = ""
        self.listeners: list[Listener] = []
        self._listen(address)
        if self._settings.vector.listen:
            self._listen_for_searches(self._settings.vector.listen)

    @property
    def _settings(self) -> ServiceSettings:
        return self._surroundings.service_settings

    def _make_agent(self) -> FleetAgent:
        """Return the fleet agent; the incarnation of its member is the time of its start."""
        loop = self._surroundings.loop
        fleet = self._settings.fleet
        timings = quota_timings_from_settings(fleet)
        member = LocalMember(
            f"b{self.number}",
            loop.now() + 1,
            loop.now(),
            zone=fleet.zones[self.zone],
            timeouts=timings.membership,
        )
        return FleetAgent(
            loop,
            self._net,
            member,
            budgets_from_settings(fleet),
            tuple(self._services.coordinators),
            renewal_interval_us=fleet.renew,
            timings=timings,
            seed=self.seed,
            log=self._surroundings.log,
            events=self.events,
        )

    def _make_broker(self) -> ServiceBroker:
        options = BrokerOptions(
            name=self.name,
            zone=self.zone,
            seed=self.seed,
            discovery_address=self._services.discovery,
            source_address=self._services.source,
            aggregator_count=max(1, self._settings.fleet.brokers),
            agent=self.agent,
            make_zone_observer=self._zone_observer_factory(),
        )
        return ServiceBroker(
            self._surroundings.loop,
            self._net,
            self._settings,
            options,
            events=self.events,
            log=self._surroundings.log,
        )

    def _zone_observer_factory(self) -> Callable[[ZoneBroker], ZoneObserver] | None:
        """Return what makes the zone observer, or None where the settings evacuate no zones."""
        if self.agent is None or not self._settings.fleet.evacuate:
            return None
        return partial(
            observe_zones,
            agent=self.agent,
            zone=self.zone,
            zone_names=self._settings.fleet.zones,
            seed=self.seed,
        )

    def _listen(self, address: str) -> None:
        """Listen for memcached clients and for admin requests."""
        client_listener = self._net.listen(
            address, self.memcached_server.serve, f"client of {self.name}", self._connection_limit
        )
        admin_listener = self._net.listen(
            self._settings.broker.admin, self.admin_server.serve, f"admin of {self.name}"
        )
        self.address = client_listener.address
        self.admin_address = admin_listener.address
        self.listeners += [client_listener, admin_listener]
        self.broker.pace_accepts(client_listener)

    def _listen_for_searches(self, address: str) -> None:
        self.vector_server = VectorSearchServer(self.broker, self._surroundings.log)
        listener = self._net.listen(
            address, self.vector_server.serve, f"searcher of {self.name}", self._connection_limit
        )
        self.vector_address = listener.address
        self.listeners.append(listener)
        self.broker.pace_accepts(listener)

    @property
    def _connection_limit(self) -> int:
        return self._settings.limits.clients + EXTRA_CONNECTIONS

    def kill(self) -> None:
        """End as by SIGKILL: its state is lost, and the connections of its clients are reset."""
        for listener in self.listeners:
            listener.close()
        self.broker.kill()
        if self.agent is not None:
            self.agent.close()
        for connection in self.memcached_server.connections:
            connection.pending.clear()
            connection.stream.abort()
        if self.vector_server is not None:
            for searcher in list(self.vector_server.clients.connections.values()):
                searcher.stream.abort()
