"""`heathwell fleet up`: everything on loopback, for a look around and for tests."""

from __future__ import annotations

import json
import signal
import sys
import time
from pathlib import Path

import click

from heathwell.cli.serve import settings_of
from heathwell.testing.simulation.processes import FleetError, ProcessFleet


@click.group()
def fleet() -> None:
    """A whole fleet of processes on loopback."""


@fleet.command()
@click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file.")
@click.option(
    "--ready-file",
    type=click.Path(dir_okay=False),
    help="Write names, roles and addresses here, as JSON, once all serve.",
)
@click.option("--events", type=click.Path(file_okay=False), help="Folder for event logs (off without).")
@click.option("--seconds", type=float, help="Stop by itself after so long.")
@click.option("--demo", is_flag=True, help="Ask a multi-get of every class and say what to try next.")
def up(config: str, ready_file: str | None, events: str | None, seconds: float | None, demo: bool) -> None:
    """Start discovery, hosts and brokers; stop them all on SIGTERM, SIGINT or after --seconds."""
    service_settings = settings_of(config)
    if not service_settings.fleet.leaves or not service_settings.fleet.brokers:
        click.echo(f"{config}: fleet.leaves and fleet.brokers say how many to start", err=True)
        sys.exit(2)
    running = ProcessFleet(config, service_settings, events)
    ended = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.append(1))
    try:
        running.up()
        table = running.table()
        if ready_file:
            partial = Path(ready_file + ".part")
            partial.write_text(json.dumps(table, indent=1) + "\n")
            partial.rename(ready_file)
        else:
            click.echo(json.dumps(table))
        if demo:
            _demo(running)
        until = time.monotonic() + seconds if seconds else float("inf")
        while not ended and time.monotonic() < until:
            time.sleep(0.1)
            for name in running.watch():
                click.echo(f"{name} ended; it is back, cold, in {running.restart_after:g} s", err=True)
    except FleetError as problem:
        click.echo(str(problem), err=True)
        sys.exit(3)
    finally:
        running.down()


def _demo(running: ProcessFleet) -> None:
    from pymemcache.client.base import Client  # noqa: PLC0415  # a client library, for the demo alone

    brokers = running.of("broker")
    host, _, port = brokers[0].address.rpartition(":")
    keys = ["price:tea", "sale:anna:17", "report:anna,bo:2026-11-28", "sale:anna:99999"]
    client = Client((host, int(port)), timeout=5)
    until = time.monotonic() + 10
    while True:  # the first host list is on its way
        try:
            values = client.get_many(keys)
            break
        except Exception as problem:
            if time.monotonic() > until:
                raise FleetError(f"the demo fleet does not answer: {problem}") from None
            time.sleep(0.3)
    click.echo(
        f"\n{len(running.of('leaf'))} hosts and {len(brokers)} brokers are up. A multi-get of four keys:"
    )
    for key in keys:
        click.echo(f"  {key}: {values[key].decode()[:150] if key in values else '(a miss)'}")
    admin = brokers[0].ready["admin"]
    click.echo(f"""
Try next:
  printf 'get price:tea sale:bo:5\\r\\nquit\\r\\n' | nc {host} {port}
  curl http://{admin}/state    curl http://{admin}/metrics    curl http://{admin}/healthz
  kill -9 {running.of("leaf")[0].ready["pid"]}    (a host; it comes back cold, and answers go on)
  .venv/bin/heathwell badday examples/badday.sx
Stop with Ctrl-C.""")
