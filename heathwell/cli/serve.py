"""`heathwell broker`: a service broker with its client protocols, from start to graceful shutdown."""

from __future__ import annotations

import json
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click

from heathwell import __version__
from heathwell.cli.process import Process, coordinator_addresses, server_command
from heathwell.eventloop import Coro, Listener, Net, sleep
from heathwell.observability.digests import program_digest, settings_digest
from heathwell.servers.admin import AdminServer
from heathwell.servers.client_connection import EXTRA_CONNECTIONS
from heathwell.servers.memcached import MemcachedServer
from heathwell.servers.vector import VectorSearchServer
from heathwell.service.broker_options import BrokerOptions
from heathwell.service.module_settings import module_settings
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.service_statistics import ServiceStatistics
from heathwell.service.settings_change import SettingsChangeError
from heathwell.settings import ServiceSettings, SettingsError, load
from heathwell.testing.standins.relay import RoutedNet

if TYPE_CHECKING:
    from heathwell.fleet.control.fleet_agent import FleetAgent
    from heathwell.service.zone_observer import ZoneBroker, ZoneObserver

PACKAGE: Final = Path(__file__).resolve().parent.parent
ADMIN_CONNECTIONS: Final = 100
HAND_OVER_TIMEOUT_US: Final = 2_000_000  # for each client connection to become idle
LEAVE_DURATION_US: Final = 50_000  # to send the last frame to the coordinators
POLL_INTERVAL_US: Final = 10_000
FLUSH_ATTEMPTS: Final = 20


@click.command()
@server_command("broker")
@click.option("--discovery", required=True, help="host:port of the discovery service.")
@click.option("--zone", default=0, show_default=True, help="Index of the broker's zone in the settings.")
@click.option("--seed", default=1, show_default=True, help="Seed of random decisions.")
@click.option(
    "--routes",
    default="{}",
    help="JSON object: addresses of a relay by the host addresses that it forwards to.",
)
@click.option(
    "--source", default="", help="host:port of the data source's clock (default: that of the settings)."
)
@click.option("--listen", help="memcached address (default: that of the settings).")
@click.option(
    "--keepers",
    "coordinators",
    default="",
    help="Comma-separated addresses of the quota coordinators (default: those of the settings).",
)
@click.option(
    "--report",
    is_flag=True,
    help="Keep service statistics for the node agent, and state digests of program and settings when ready.",
)
def broker(
    process: Process,
    *,
    discovery: str,
    zone: int,
    seed: int,
    source: str,
    routes: str,
    listen: str | None,
    coordinators: str,
    report: bool,
) -> None:
    """Run a service broker, which answers memcached and vector queries from the hosts.

    SIGHUP reloads the settings. On SIGTERM it accepts no new queries, finishes those in progress and exits
    with 0; a second SIGTERM exits at once.
    """
    service_settings = process.service_settings
    net = _routed_net(process.net, routes)
    agent = _fleet_agent(process, zone, seed, coordinators)

    def _run_broker() -> Coro[None]:
        options = BrokerOptions(
            name=process.name,
            zone=zone,
            seed=seed,
            discovery_address=discovery,
            source_address=source,
            aggregator_count=max(1, service_settings.fleet.brokers),
            agent=agent,
            make_zone_observer=_zone_observer_factory(service_settings, agent, zone, seed),
            statistics=_service_statistics(service_settings, zone) if report else None,
        )
        yield from BrokerServer(process, net, options, agent, listen).run()

    process.run(_run_broker)


class BrokerServer:
    """Runs a service broker: opens the listeners of its client protocols, and shuts down gracefully.

    A broker with ``options.statistics`` is supervised by a node agent. Its ready line then has the digests of
    its program and settings, and on shutdown it hands its clients over to the process that replaces it.
    """

    def __init__(
        self,
        process: Process,
        net: Net,
        options: BrokerOptions,
        agent: FleetAgent | None,
        listen: str | None,
    ) -> None:
        self._process = process
        self._net = net
        self._agent = agent
        self._zone = options.zone
        self._is_supervised = options.statistics is not None
        self._settings = process.service_settings
        self._listen_address = listen or self._settings.broker.listen
        self._broker = ServiceBroker(
            process.loop, net, self._settings, options, events=process.events, log=process.log
        )
        self._memcached = MemcachedServer(self._broker, process.log)
        self._listeners: list[Listener] = []

    def run(self) -> Coro[None]:
        """Serve until the process is stopped, then shut down gracefully."""
        self._start()
        yield from self._process.stop.wait()
        yield from self._shut_down()

    def _start(self) -> None:
        process = self._process
        admin = AdminServer(self._broker, self._memcached)
        client_listener = self._net.listen(
            self._listen_address, self._memcached.serve, "client", self._connection_limit
        )
        admin_listener = self._net.listen(
            self._settings.broker.admin, admin.serve, "admin", ADMIN_CONNECTIONS
        )
        self._broker.pace_accepts(client_listener)
        self._listeners.append(client_listener)
        vector_address = self._start_vector_search()
        self._broker.current_version.version = process.digest
        process.poller.on_signal(signal.SIGHUP, self._reload_settings)
        process.ready(
            address=client_listener.address,
            admin=admin_listener.address,
            zone=self._zone,
            **vector_address,
            **self._digests(),
        )
        process.log("info", "serving", address=client_listener.address, admin=admin_listener.address)

    @property
    def _connection_limit(self) -> int:
        return self._settings.limits.clients + EXTRA_CONNECTIONS

    def _start_vector_search(self) -> dict[str, str]:
        """Start the vector search server if the settings have an address; return its ready-line field."""
        if not self._settings.vector.listen:
            return {}
        listener = self._net.listen(
            self._settings.vector.listen,
            VectorSearchServer(self._broker, self._process.log).serve,
            "searcher",
            self._connection_limit,
        )
        self._broker.pace_accepts(listener)
        self._listeners.append(listener)
        return {"vector": listener.address}

    def _digests(self) -> dict[str, str]:
        """Return the ready-line fields by which a node agent verifies the version that it started."""
        if not self._is_supervised:
            return {}
        return {"program": program_digest(PACKAGE), "settings": self._process.digest}

    def _reload_settings(self) -> None:
        """Reload the settings file; errors are logged and change nothing."""
        process = self._process
        try:
            digest = settings_digest(process.config)
            changed_settings = load(process.config)
        except (SettingsError, OSError) as error:
            process.log("error", "settings reload failed, keeping the current settings", why=str(error))
            return
        if digest == self._broker.current_version.version:
            return
        try:
            self._broker.apply_settings(changed_settings, digest)
        except SettingsChangeError as error:
            process.log(
                "error", "settings change requires a restart, keeping the current settings", why=str(error)
            )

    def _shut_down(self) -> Coro[None]:
        """Stop accepting clients, hand them over, finish open queries, flush replies, and leave the fleet."""
        process = self._process
        process.log("info", "stopping", held=self._broker.open_count)
        for listener in self._listeners:
            listener.close()
        yield from self._hand_over_clients()
        self._broker.drain()
        process.loop.call_at(process.loop.now() + self._settings.broker.drain_for, self._broker.idle.set)
        yield from self._broker.idle.wait()
        yield from self._flush_replies()
        self._broker.close()
        if self._agent is not None:
            self._agent.leave()
            yield from sleep(process.loop, LEAVE_DURATION_US)
            self._agent.close()

    def _hand_over_clients(self) -> Coro[None]:
        """Close client connections as they become idle, for a bounded time; only for a supervised broker.

        The replacing process may listen on the address by now, so clients that reconnect reach it.
        """
        loop = self._process.loop
        until_us = loop.now() + (HAND_OVER_TIMEOUT_US if self._is_supervised else 0)
        while loop.now() < until_us and self._memcached.close_idle_connections():
            yield from sleep(loop, POLL_INTERVAL_US)

    def _flush_replies(self) -> Coro[None]:
        """Wait until all replies are sent, for a bounded time."""
        for _ in range(FLUSH_ATTEMPTS):
            yield from sleep(self._process.loop, POLL_INTERVAL_US)
            if not any(connection.stream.unsent for connection in self._memcached.connections):
                return


def _routed_net(net: Net, routes: str) -> Net:
    """Return a network that connects through the relay of ``--routes``; exit with code 2 if it is invalid."""
    try:
        return RoutedNet(net, json.loads(routes))
    except ValueError as error:
        click.echo(f"--routes: {error}", err=True)
        sys.exit(2)


def _fleet_agent(process: Process, zone: int, seed: int, coordinators: str) -> FleetAgent | None:
    """Return the fleet agent of a broker, or None if the settings name no quota coordinators.

    Modules of fleet control are imported only where they are used.
    """
    fleet = process.service_settings.fleet
    if not fleet.coordinators:
        return None
    from heathwell.fleet.control.fleet_agent import FleetAgent  # noqa: PLC0415
    from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings  # noqa: PLC0415
    from heathwell.fleet.membership import LocalMember  # noqa: PLC0415

    timings = quota_timings_from_settings(fleet)
    member = LocalMember(
        process.name.partition("r")[0],
        time.time_ns() // 1000,
        process.loop.now(),
        zone=fleet.zones[zone],
        version=__version__,
        digest=process.digest,
        timeouts=timings.membership,
    )
    return FleetAgent(
        process.loop,
        process.net,
        member,
        budgets_from_settings(fleet),
        coordinator_addresses(process.service_settings, coordinators),
        renewal_interval_us=fleet.renew,
        timings=timings,
        seed=seed,
        log=process.log,
        events=process.events,
        fleet=fleet.fleet_name,
    )


def _service_statistics(service_settings: ServiceSettings, zone: int) -> ServiceStatistics:
    return ServiceStatistics(module_settings(service_settings, zone, 1).classes)


def _zone_observer_factory(
    service_settings: ServiceSettings, agent: FleetAgent | None, zone: int, seed: int
) -> Callable[[ZoneBroker], ZoneObserver] | None:
    """Return the factory of the zone observer, which is imported only if evacuation is on; else None."""
    if agent is None or not service_settings.fleet.evacuate:
        return None
    from heathwell.service.zone_observer import observe_zones  # noqa: PLC0415

    return partial(observe_zones, agent=agent, zone=zone, zone_names=service_settings.fleet.zones, seed=seed)
