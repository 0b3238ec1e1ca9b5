"""`heathwell fleet up`: run discovery, hosts and brokers as processes on loopback, for demos and tests."""

from __future__ import annotations

import json
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
import msgspec

from heathwell.cli.process import load_settings_or_exit
from heathwell.testing.simulation.errors import FleetError
from heathwell.testing.simulation.process_fleet import ProcessFleet

if TYPE_CHECKING:
    from pymemcache.client.base import Client

POLL_INTERVAL_SECONDS: Final = 0.1
DEMO_TIMEOUT_SECONDS: Final = 10
DEMO_RETRY_INTERVAL_SECONDS: Final = 0.3


@click.group()
def fleet() -> None:
    """Run a fleet of processes on loopback, or show the members and budgets of a fleet."""


@fleet.command()
@click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file.")
@click.option(
    "--ready-file",
    type=click.Path(dir_okay=False),
    help="File for the names, roles and addresses of the processes, written as JSON once all are ready.",
)
@click.option("--events", type=click.Path(file_okay=False), help="Directory for event logs (default: none).")
@click.option("--seconds", type=float, help="Stop after this many seconds.")
@click.option(
    "--demo",
    is_flag=True,
    help="Send a multi-get with a key of each query class, and print commands to try next.",
)
def up(*, config: str, ready_file: str | None, events: str | None, seconds: float | None, demo: bool) -> None:
    """Start discovery, hosts and brokers, and stop them on SIGTERM, on SIGINT or after --seconds."""
    service_settings = load_settings_or_exit(config)
    if not service_settings.fleet.leaves or not service_settings.fleet.brokers:
        click.echo(f"{config}: fleet.leaves and fleet.brokers must be more than 0 to start a fleet", err=True)
        sys.exit(2)
    running = ProcessFleet(config, service_settings, events)
    stop_signals: list[int] = []
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda received, _frame: stop_signals.append(received))
    try:
        running.start()
        _announce(running, ready_file)
        if demo:
            _demo(running)
        _watch(running, stop_signals, time.monotonic() + seconds if seconds else float("inf"))
    except FleetError as error:
        click.echo(str(error), err=True)
        sys.exit(3)
    finally:
        running.stop()


def _announce(running: ProcessFleet, ready_file: str | None) -> None:
    """Write the table of processes to the ready file, or else print it."""
    table = msgspec.to_builtins(running.ready_table())
    if not ready_file:
        click.echo(json.dumps(table))
        return
    unfinished = Path(ready_file + ".part")
    unfinished.write_text(json.dumps(table, indent=1) + "\n")
    unfinished.rename(ready_file)


def _watch(running: ProcessFleet, stop_signals: list[int], deadline_seconds: float) -> None:
    """Restart processes that end, until a signal arrives or the deadline passes."""
    while not stop_signals and time.monotonic() < deadline_seconds:
        time.sleep(POLL_INTERVAL_SECONDS)
        for name in running.restart_ended_members():
            click.echo(f"{name} ended; it restarts cold in {running.restart_delay_seconds:g} s", err=True)


def _get_values(client: Client, keys: list[str]) -> dict[str, bytes]:
    """Return the answers to a multi-get, which is retried until the broker has its first endpoint list."""
    from pymemcache.exceptions import MemcacheError  # noqa: PLC0415  # a client library, for the demo alone

    deadline_seconds = time.monotonic() + DEMO_TIMEOUT_SECONDS
    while True:
        try:
            return dict(client.get_many(keys))
        except (OSError, MemcacheError) as error:
            if time.monotonic() > deadline_seconds:
                raise FleetError(f"the demo fleet does not answer: {error}") from None
            time.sleep(DEMO_RETRY_INTERVAL_SECONDS)


def _demo(running: ProcessFleet) -> None:
    """Send one multi-get with a key of each class, print the answers, and print commands to try next."""
    from pymemcache.client.base import Client  # noqa: PLC0415  # a client library, for the demo alone

    brokers = running.brokers
    host, _, port = brokers[0].address.rpartition(":")
    keys = ["price:tea", "sale:anna:17", "report:anna,bo:2026-11-28", "sale:anna:99999"]
    values = _get_values(Client((host, int(port)), timeout=5), keys)
    click.echo(f"\n{len(running.leaves)} hosts and {len(brokers)} brokers are up. A multi-get of four keys:")
    for key in keys:
        click.echo(f"  {key}: {values[key].decode()[:150] if key in values else '(a miss)'}")
    admin = brokers[0].admin_address
    click.echo(f"""
Try next:
  printf 'get price:tea sale:bo:5\\r\\nquit\\r\\n' | nc {host} {port}
  curl http://{admin}/state    curl http://{admin}/metrics    curl http://{admin}/healthz
  kill -9 {running.leaves[0].pid}    (a host; it comes back cold, and answers go on)
  .venv/bin/heathwell badday examples/badday.sx
Stop with Ctrl-C.""")
