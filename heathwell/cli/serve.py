"""`heathwell broker`, `leaf` and `discovery`: one process each, until SIGTERM."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from heathwell.broker.market import Broker
from heathwell.cli import logs
from heathwell.eventlog import EventLog, FileEvents, NoEvents
from heathwell.fronts.admin import AdminFront
from heathwell.fronts.memcached import SPARE, MemcachedFront
from heathwell.fronts.vector import VectorFront
from heathwell.kernel import Coro, Event, Listener, Loop, Net, calm_collector, sleep, socket_loop
from heathwell.settings import Market, SettingsError, load
from heathwell.standins.discovery import Discovery
from heathwell.standins.leaf import Leaf
from heathwell.standins.relay import Relay, RoutedNet
from heathwell.standins.source import Source


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


def settings_of(path: str) -> Market:
    """The settings of a file, or exit code 2 with all that is wrong."""
    with exit_codes():
        return load(path)


def common(command: Callable[..., Any]) -> Callable[..., Any]:
    """Options of every serving command."""
    for option in (
        click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file."),
        click.option("--name", required=True, help="Name in logs; one of a kind among all runs."),
        click.option("--events", type=click.Path(file_okay=False), help="Folder for the event log (off without)."),
        click.option("--ready-file", type=click.Path(dir_okay=False),
                     help="Write {name, pid, address ...} here, as JSON, once it serves (standard output without)."),
    ):
        command = option(command)
    return command


class Process:
    """One serving process: loop, logs, events, signals, ready line."""

    def __init__(self, config: str, name: str, role: str, events: str | None, ready_file: str | None) -> None:
        self.market = settings_of(config)
        self.name, self.ready_file = name, ready_file
        self.make_log = logs.set_up(self.market.log)
        self.log = self.make_log(f"heathwell.{role}", name=name)
        self.loop, self.net, self.poller = socket_loop()
        self.loop.on_error = self._error
        self.events: EventLog = NoEvents()
        if events:
            os.makedirs(events, exist_ok=True)
            log_file = FileEvents(f"{events}/{name}.jsonl", name, role, self.loop.clock)
            self.events = log_file
            self.loop.at_turn_end(log_file.flush)
        self.stop = Event()
        self._signals = 0
        for number in (signal.SIGTERM, signal.SIGINT):
            self.poller.on_signal(number, self._signalled)

    def _error(self, task: str, error: BaseException) -> None:
        self.make_log("heathwell.kernel")("error", "task ended by an error", task=task, exc_info=error)

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

    def run(self, main: Callable[[], Coro[None]]) -> None:
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


@click.command()
@common
@click.option("--discovery", required=True, help="host:port of the host list.")
@click.option("--zone", default=0, show_default=True, help="Number of the zone it stands in.")
@click.option("--seed", default=1, show_default=True, help="Seed of its decisions' draws.")
@click.option("--routes", default="{}", help="JSON: hosts' addresses to the doors of a relay that leads to them.")
@click.option("--source", default="", help="host:port of the source's clock (settings' without).")
@click.option("--listen", help="memcached address (settings' without).")
def broker(config: str, name: str, events: str | None, ready_file: str | None, discovery: str, zone: int,
           seed: int, source: str, routes: str, listen: str | None) -> None:
    """Run a broker: memcached in, answers from the hosts out.

    SIGTERM takes nothing new, finishes what is held, and exits 0; a second one exits at once.
    """
    process = Process(config, name, "broker", events, ready_file)
    market, loop = process.market, process.loop
    try:
        net: Net = RoutedNet(process.net, json.loads(routes))
    except ValueError as problem:
        click.echo(f"--routes: {problem}", err=True)
        sys.exit(2)

    def main() -> Coro[None]:
        served = Broker(loop, net, market, name=name, zone=zone, seed=seed, discovery=discovery,
                        source=source, siblings=max(1, market.fleet.brokers), events=process.events, log=process.log)
        front = MemcachedFront(served, process.log)
        admin = AdminFront(served, front)
        door = net.listen(listen or market.broker.listen, front.serve, "client", market.limits.clients + SPARE)
        admin_door = net.listen(market.broker.admin, admin.serve, "admin", 100)
        served.pace(door)
        searches: dict[str, str] = {}
        vector_door: Listener | None = None
        if market.vector.listen:
            vector_door = net.listen(market.vector.listen, VectorFront(served, process.log).serve, "searcher",
                                     market.limits.clients + SPARE)
            served.pace(vector_door)
            searches = {"vector": vector_door.address}
        process.ready(address=door.address, admin=admin_door.address, zone=zone, **searches)
        process.log("info", "serving", address=door.address, admin=admin_door.address)
        yield from process.stop.wait()
        process.log("info", "stopping", held=served.held)
        door.close()
        if vector_door is not None:
            vector_door.close()
        served.stop()
        loop.call_at(loop.now() + market.broker.drain_for, served.idle.set)
        yield from served.idle.wait()
        yield from _flush(loop, front)
        served.close()
    process.run(main)


def _flush(loop: Loop, front: MemcachedFront) -> Coro[None]:
    """Let the last replies go out."""
    for _ in range(20):
        yield from sleep(loop, 10_000)
        if not any(connection.stream.unsent for connection in front.connections):
            return


@click.command()
@common
@click.option("--discovery", required=True, help="host:port of the host list.")
@click.option("--cell", default=0, show_default=True, help="Its cell: which shards it holds.")
@click.option("--zone", default=0, show_default=True, help="Number of the zone it stands in.")
@click.option("--seed", default=1, show_default=True, help="Seed of its draws.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address.")
@click.option("--warm/--cold", default=True, show_default=True, help="Whether it starts at its full capacity.")
@click.option("--speed", type=float, help="Work done in a second, in seconds, a slot (settings' without).")
def leaf(config: str, name: str, events: str | None, ready_file: str | None, discovery: str, cell: int, zone: int,
         seed: int, listen: str, warm: bool, speed: float | None) -> None:
    """Run a stand-in shard host with generated sale and price data."""
    process = Process(config, name, "leaf", events, ready_file)

    def main() -> Coro[None]:
        host = Leaf(process.loop, process.net, process.market, name=name, cell=cell, zone=zone,
                    discovery=discovery, seed=seed, address=listen, events=process.events, on_die=process.stop.set,
                    speed=speed)
        process.ready(address=host.start(warm=warm), cell=cell, zone=zone)
        yield from process.stop.wait()
    process.run(main)


@click.command()
@common
@click.option("--targets", required=True, help="Hosts behind the link, host:port, with commas between.")
@click.option("--seed", default=1, show_default=True, help="Seed of its draws.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address that takes orders.")
def relay(config: str, name: str, events: str | None, ready_file: str | None, targets: str, seed: int,
          listen: str) -> None:
    """Run a stand-in for the link between two regions."""
    process = Process(config, name, "relay", events, ready_file)

    def main() -> Coro[None]:
        link = Relay(process.loop, process.net, targets.split(","), seed)
        process.ready(address=link.start(listen), routes=link.routes)
        yield from process.stop.wait()
    process.run(main)


@click.command()
@common
@click.option("--listen", help="Address (settings' without).")
def source(config: str, name: str, events: str | None, ready_file: str | None, listen: str | None) -> None:
    """Run the stand-in source of all data: its clock."""
    process = Process(config, name, "source", events, ready_file)

    def main() -> Coro[None]:
        process.ready(address=Source(process.loop, process.net, process.market, listen).start())
        yield from process.stop.wait()
    process.run(main)


@click.command()
@common
@click.option("--listen", help="Address (settings' without).")
def discovery(config: str, name: str, events: str | None, ready_file: str | None, listen: str | None) -> None:
    """Run the stand-in host list."""
    process = Process(config, name, "discovery", events, ready_file)

    def main() -> Coro[None]:
        service = Discovery(process.loop, process.net, process.market, address=listen, events=process.events,
                            log=process.log)
        process.ready(address=service.start())
        yield from process.stop.wait()
    process.run(main)


