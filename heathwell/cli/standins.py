"""`heathwell leaf`, `relay`, `source` and `discovery`: run one stand-in process until SIGTERM."""

from __future__ import annotations

import click

from heathwell.cli.process import Process, server_command
from heathwell.eventloop import Coro
from heathwell.testing.standins.discovery import Discovery
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.relay import Relay
from heathwell.testing.standins.source import Source


@click.command()
@server_command("leaf")
@click.option("--discovery", required=True, help="host:port of the discovery service.")
@click.option("--cell", default=0, show_default=True, help="Index of its cell, which determines its shards.")
@click.option("--zone", default=0, show_default=True, help="Index of its zone in the settings.")
@click.option("--seed", default=1, show_default=True, help="Seed of random numbers.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address to listen on.")
@click.option("--warm/--cold", default=True, show_default=True, help="Whether it starts at full capacity.")
@click.option(
    "--speed", type=float, help="Seconds of work that a slot does per second (default: that of the settings)."
)
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
@server_command("relay")
@click.option("--targets", required=True, help="Comma-separated host:port of the hosts to forward to.")
@click.option("--seed", default=1, show_default=True, help="Seed of random numbers.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address for fault commands.")
def relay(process: Process, *, targets: str, seed: int, listen: str) -> None:
    """Run a stand-in for the link between two regions."""

    def _run_relay() -> Coro[None]:
        link = Relay(process.loop, process.net, targets.split(","), seed)
        process.ready(address=link.start(listen), routes=link.routes)
        yield from process.stop.wait()

    process.run(_run_relay)


@click.command()
@server_command("source")
@click.option("--listen", help="Address to listen on (default: that of the settings).")
def source(process: Process, *, listen: str | None) -> None:
    """Run a stand-in for the clock of the data source."""

    def _run_source() -> Coro[None]:
        process.ready(address=Source(process.loop, process.net, process.service_settings, listen).start())
        yield from process.stop.wait()

    process.run(_run_source)


@click.command()
@server_command("discovery")
@click.option("--listen", help="Address to listen on (default: that of the settings).")
def discovery(process: Process, *, listen: str | None) -> None:
    """Run a stand-in discovery service."""

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
