"""`heathwell leaf`, `relay`, `source` and `discovery`: one stand-in process each, until SIGTERM."""

from __future__ import annotations

import click

from heathwell.cli.process import Process, serving
from heathwell.eventloop import Coro
from heathwell.testing.standins.discovery import Discovery
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.relay import Relay
from heathwell.testing.standins.source import Source


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
    *,
    discovery: str,
    cell: int,
    zone: int,
    seed: int,
    listen: str,
    warm: bool,
    speed: float | None,
) -> None:
    """Run a stand-in shard host with generated sale and price data."""

    def _run_leaf() -> Coro[None]:
        host = Leaf(
            process.loop,
            process.net,
            process.service_settings,
            name=process.name,
            replica_group=cell,
            zone=zone,
            discovery=discovery,
            seed=seed,
            address=listen,
            events=process.events,
            on_terminated=process.stop.set,
            speed=speed,
        )
        process.ready(address=host.start(warm=warm), cell=cell, zone=zone)
        yield from process.stop.wait()

    process.run(_run_leaf)


@click.command()
@serving("relay")
@click.option("--targets", required=True, help="Hosts behind the link, host:port, with commas between.")
@click.option("--seed", default=1, show_default=True, help="Seed of its draws.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address that takes orders.")
def relay(process: Process, *, targets: str, seed: int, listen: str) -> None:
    """Run a stand-in for the link between two regions."""

    def _run_relay() -> Coro[None]:
        link = Relay(process.loop, process.net, targets.split(","), seed)
        process.ready(address=link.start(listen), routes=link.routes)
        yield from process.stop.wait()

    process.run(_run_relay)


@click.command()
@serving("source")
@click.option("--listen", help="Address (settings' without).")
def source(process: Process, *, listen: str | None) -> None:
    """Run the stand-in source of all data: its clock."""

    def _run_source() -> Coro[None]:
        process.ready(address=Source(process.loop, process.net, process.service_settings, listen).start())
        yield from process.stop.wait()

    process.run(_run_source)


@click.command()
@serving("discovery")
@click.option("--listen", help="Address (settings' without).")
def discovery(process: Process, *, listen: str | None) -> None:
    """Run the stand-in host list."""

    def _run_discovery() -> Coro[None]:
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

    process.run(_run_discovery)
