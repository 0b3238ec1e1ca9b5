"""`heathwell broker`, `leaf` and `discovery`: one process each, until SIGTERM."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial, wraps
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from heathwell import __version__
from heathwell.cli import logs
from heathwell.eventloop import (
    Coro,
    Event,
    Listener,
    Loop,
    MonotonicClock,
    Net,
    SkewedClock,
    calm_collector,
    sleep,
    socket_loop,
)
from heathwell.observability.digests import program_digest, settings_digest
from heathwell.observability.event_log import EventLog, FileEvents, NoEvents
from heathwell.servers.admin import AdminFront
from heathwell.servers.memcached import SPARE, MemcachedFront
from heathwell.servers.vector import VectorSearchServer
from heathwell.service.broker_options import BrokerOptions
from heathwell.service.module_settings import module_settings
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.service_statistics import ServiceStatistics
from heathwell.service.settings_change import SettingsChangeError
from heathwell.settings import ServiceSettings, SettingsError, load
from heathwell.testing.standins.discovery import Discovery
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.relay import Relay, RoutedNet
from heathwell.testing.standins.source import Source

if TYPE_CHECKING:
    from heathwell.fleet.control.fleet_agent import FleetAgent
    from heathwell.service.zone_observer import ZoneBroker, ZoneObserver

PACKAGE = Path(__file__).resolve().parent.parent
HAND_OVER_US = 2_000_000  # for clients to come to a moment at which nothing is asked
LEAVE_US = 50_000  # for the last word to keepers to go out


@contextmanager
def exit_codes(*wrong: type[Exception]) -> Iterator[None]:
    """Exit code 2 and the text for what is wrong in a file, 3 for a file that can't be read."""
    bad: tuple[type[Exception], ...] = (SettingsError, *wrong)
    try:
        yield
    except bad as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    except OSError as problem:
        click.echo(f"{problem.filename}: {problem.strerror}", err=True)
        sys.exit(3)


def settings_of(path: str) -> ServiceSettings:
    """The settings of a file, or exit code 2 with all that is wrong."""
    with exit_codes():
        return load(path)


class Process:
    """One serving process: loop, logs, events, signals, ready line."""

    def __init__(
        self,
        config: str,
        name: str,
        role: str,
        events: str | None,
        ready_file: str | None,
        clock_rate: float = 1.0,
    ) -> None:
        self.config, self.service_settings = config, settings_of(config)
        self.digest = settings_digest(config)
        self.name, self.ready_file = name, ready_file
        self.make_log = logs.set_up(self.service_settings.log)
        self.log = self.make_log(f"heathwell.{role}", name=name)
        self.loop, self.net, self.poller = socket_loop(
            clock=None if clock_rate == 1.0 else SkewedClock(clock_rate)
        )
        self.loop.on_error = self._error
        self.events: EventLog = NoEvents()
        if events:
            os.makedirs(events, exist_ok=True)
            # By the machine's clock, whatever the program's own shows: auditors compare processes.
            log_file = FileEvents(f"{events}/{name}.jsonl", name, role, MonotonicClock())
            log_file("clock", rate=clock_rate)
            self.events = log_file
            self.loop.at_turn_end(log_file.flush)
        self.stop = Event()
        self._signals = 0
        for number in (signal.SIGTERM, signal.SIGINT):
            self.poller.on_signal(number, self._signalled)

    def _error(self, task: str, error: BaseException) -> None:
        self.make_log("heathwell.eventloop")("error", "task ended by an error", task=task, exc_info=error)

    def _signalled(self) -> None:
        self._signals += 1
        if self._signals > 1:
            os._exit(1)
        self.stop.set()

    def ready(self, **fields: Any) -> None:
        """Say that it serves."""
        line = json.dumps({"name": self.name, "pid": os.getpid(), **fields})
        if self.ready_file:
            partial = Path(self.ready_file + ".part")
            partial.write_text(line + "\n")
            partial.rename(self.ready_file)
        else:
            print(line, flush=True)

    def run(self, main: Callable[[], Coro[Any]]) -> None:
        """Run until the main coroutine ends; an address that can't be had is exit code 3."""
        calm_collector()
        try:
            self.loop.run(self.loop.spawn(main(), "main"))
        except OSError as problem:
            click.echo(f"{self.name}: {problem}", err=True)
            sys.exit(3)
        self.loop.shutdown()
        if isinstance(self.events, FileEvents):
            self.events.close()


def serving(role: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """The options of every serving command; it is handed the :class:`Process` that they make."""

    def around(command: Callable[..., None]) -> Callable[..., None]:
        @wraps(command)
        def made(
            config: str, name: str, events: str | None, ready_file: str | None, clock_rate: float, **more: Any
        ) -> None:
            command(Process(config, name, role, events, ready_file, clock_rate), **more)

        for option in (
            click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file."),
            click.option("--name", required=True, help="Name in logs; one of a kind among all runs."),
            click.option(
                "--events", type=click.Path(file_okay=False), help="Folder for the event log (off without)."
            ),
            click.option(
                "--clock-rate",
                type=click.FloatRange(0.5, 2.0),
                default=1.0,
                hidden=True,
                help="For tests: how fast its clock runs against the machine's.",
            ),
            click.option(
                "--ready-file",
                type=click.Path(dir_okay=False),
                help="Write {name, pid, address ...} here, as JSON, once it serves (standard output "
                "without).",
            ),
        ):
            made = option(made)
        return made

    return around


@click.command()
@serving("broker")
@click.option("--discovery", required=True, help="host:port of the host list.")
@click.option("--zone", default=0, show_default=True, help="Number of the zone it stands in.")
@click.option("--seed", default=1, show_default=True, help="Seed of its decisions' draws.")
@click.option(
    "--routes", default="{}", help="JSON: hosts' addresses to the doors of a relay that leads to them."
)
@click.option("--source", default="", help="host:port of the source's clock (settings' without).")
@click.option("--listen", help="memcached address (settings' without).")
@click.option("--keepers", default="", help="Keepers' addresses with commas between (settings' without).")
@click.option(
    "--report", is_flag=True, help="Keep sums of service for the machine's agent, and say what it runs."
)
def broker(
    process: Process,
    discovery: str,
    zone: int,
    seed: int,
    source: str,
    routes: str,
    listen: str | None,
    keepers: str,
    report: bool,
) -> None:
    """Run a broker: memcached in, answers from the hosts out.

    SIGTERM takes nothing new, finishes what is held, and exits 0; a second one exits at once.
    """
    service_settings, loop = process.service_settings, process.loop
    try:
        net: Net = RoutedNet(process.net, json.loads(routes))
    except ValueError as problem:
        click.echo(f"--routes: {problem}", err=True)
        sys.exit(2)

    agent = _agent(process, zone, seed, keepers)

    def main() -> Coro[None]:
        served = ServiceBroker(
            loop,
            net,
            service_settings,
            BrokerOptions(
                name=process.name,
                zone=zone,
                seed=seed,
                discovery_address=discovery,
                source_address=source,
                aggregator_count=max(1, service_settings.fleet.brokers),
                agent=agent,
                make_zone_observer=_zone_observer_factory(service_settings, agent, zone, seed),
                statistics=_service_statistics(service_settings, zone) if report else None,
            ),
            events=process.events,
            log=process.log,
        )
        front = MemcachedFront(served, process.log)
        admin = AdminFront(served, front)
        door = net.listen(
            listen or service_settings.broker.listen,
            front.serve,
            "client",
            service_settings.limits.clients + SPARE,
        )
        admin_door = net.listen(service_settings.broker.admin, admin.serve, "admin", 100)
        served.pace(door)
        searches: dict[str, str] = {}
        vector_door: Listener | None = None
        if service_settings.vector.listen:
            vector_door = net.listen(
                service_settings.vector.listen,
                VectorSearchServer(served, process.log).serve,
                "searcher",
                service_settings.limits.clients + SPARE,
            )
            served.pace(vector_door)
            searches = {"vector": vector_door.address}
        served.current_version.version = process.digest

        def reread() -> None:
            try:
                digest, again = settings_digest(process.config), load(process.config)
            except (SettingsError, OSError) as problem:
                process.log("error", "settings not taken, the old ones stay", why=str(problem))
                return
            if digest == served.current_version.version:
                return
            try:
                served.apply_settings(again, digest)
            except SettingsChangeError as problem:
                process.log("error", "settings need a restart, the old ones stay", why=str(problem))

        process.poller.on_signal(signal.SIGHUP, reread)
        runs = {"program": program_digest(PACKAGE), "settings": process.digest} if report else {}
        process.ready(address=door.address, admin=admin_door.address, zone=zone, **searches, **runs)
        process.log("info", "serving", address=door.address, admin=admin_door.address)
        yield from process.stop.wait()
        process.log("info", "stopping", held=served.open_count)
        door.close()
        if vector_door is not None:
            vector_door.close()
        # Where another process has the address by now, what is asked on open connections is still served.
        until = loop.now() + (HAND_OVER_US if report else 0)
        while loop.now() < until and front.hand_over():
            yield from sleep(loop, 10_000)
        served.drain()
        loop.call_at(loop.now() + service_settings.broker.drain_for, served.idle.set)
        yield from served.idle.wait()
        yield from _flush(loop, front)
        served.close()
        if agent is not None:
            agent.leave()
            yield from sleep(loop, LEAVE_US)
            agent.close()

    process.run(main)


def _agent(process: Process, zone: int, seed: int, keepers: str) -> FleetAgent | None:
    """The agent of a broker whose settings name keepers; without these nothing of the control is imported."""
    fleet = process.service_settings.fleet
    if not fleet.keepers:
        return None
    from heathwell.fleet.control.fleet_agent import FleetAgent  # noqa: PLC0415
    from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings  # noqa: PLC0415
    from heathwell.fleet.membership import LocalMember  # noqa: PLC0415

    times, now = quota_timings_from_settings(fleet), process.loop.now()
    member = LocalMember(
        process.name.partition("r")[0],
        time.time_ns() // 1000,
        now,
        zone=fleet.zones[zone],
        version=__version__,
        digest=process.digest,
        timeouts=times.membership,
    )
    where = tuple(keepers.split(",")) if keepers else tuple(fleet.keepers)
    return FleetAgent(
        process.loop,
        process.net,
        member,
        budgets_from_settings(fleet),
        where,
        renewal_interval_us=fleet.renew,
        timings=times,
        seed=seed,
        log=process.log,
        events=process.events,
        fleet=fleet.called,
    )


def _service_statistics(service_settings: ServiceSettings, zone: int) -> ServiceStatistics:
    return ServiceStatistics(module_settings(service_settings, zone, 1).classes)


def _zone_observer_factory(
    service_settings: ServiceSettings, agent: FleetAgent | None, zone: int, seed: int
) -> Callable[[ZoneBroker], ZoneObserver] | None:
    """What makes a broker's zone observer; without evacuation nothing of it is imported."""
    if agent is None or not service_settings.fleet.evacuate:
        return None
    from heathwell.service.zone_observer import observe_zones  # noqa: PLC0415

    return partial(observe_zones, agent=agent, zone=zone, zone_names=service_settings.fleet.zones, seed=seed)


def _flush(loop: Loop, front: MemcachedFront) -> Coro[None]:
    """Let the last replies go out."""
    for _ in range(20):
        yield from sleep(loop, 10_000)
        if not any(connection.stream.unsent for connection in front.connections):
            return


@click.command()
@serving("leaf")
@click.option("--discovery", required=True, help="host:port of the host list.")
@click.option("--cell", default=0, show_default=True, help="Its cell: which shards it holds.")
@click.option("--zone", default=0, show_default=True, help="Number of the zone it stands in.")
@click.option("--seed", default=1, show_default=True, help="Seed of its draws.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address.")
@click.option(
    "--warm/--cold", default=True, show_default=True, help="Whether it starts at its full capacity."
)
@click.option("--speed", type=float, help="Work done in a second, in seconds, a slot (settings' without).")
def leaf(
    process: Process,
    discovery: str,
    cell: int,
    zone: int,
    seed: int,
    listen: str,
    warm: bool,
    speed: float | None,
) -> None:
    """Run a stand-in shard host with generated sale and price data."""

    def main() -> Coro[None]:
        host = Leaf(
            process.loop,
            process.net,
            process.service_settings,
            name=process.name,
            cell=cell,
            zone=zone,
            discovery=discovery,
            seed=seed,
            address=listen,
            events=process.events,
            on_die=process.stop.set,
            speed=speed,
        )
        process.ready(address=host.start(warm=warm), cell=cell, zone=zone)
        yield from process.stop.wait()

    process.run(main)


@click.command()
@serving("relay")
@click.option("--targets", required=True, help="Hosts behind the link, host:port, with commas between.")
@click.option("--seed", default=1, show_default=True, help="Seed of its draws.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address that takes orders.")
def relay(process: Process, targets: str, seed: int, listen: str) -> None:
    """Run a stand-in for the link between two regions."""

    def main() -> Coro[None]:
        link = Relay(process.loop, process.net, targets.split(","), seed)
        process.ready(address=link.start(listen), routes=link.routes)
        yield from process.stop.wait()

    process.run(main)


@click.command()
@serving("source")
@click.option("--listen", help="Address (settings' without).")
def source(process: Process, listen: str | None) -> None:
    """Run the stand-in source of all data: its clock."""

    def main() -> Coro[None]:
        process.ready(address=Source(process.loop, process.net, process.service_settings, listen).start())
        yield from process.stop.wait()

    process.run(main)


@click.command()
@serving("discovery")
@click.option("--listen", help="Address (settings' without).")
def discovery(process: Process, listen: str | None) -> None:
    """Run the stand-in host list."""

    def main() -> Coro[None]:
        service = Discovery(
            process.loop,
            process.net,
            process.service_settings,
            address=listen,
            events=process.events,
            log=process.log,
        )
        process.ready(address=service.start())
        yield from process.stop.wait()

    process.run(main)
