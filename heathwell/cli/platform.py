"""`heathwell platform`: run the platform's broker on loopback against stand-ins."""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import click

from heathwell.eventloop import Coro, sleep
from heathwell.testing.simulation.platform_fleet import PlatformFleet, PlatformFleetError

# Query class, shards, and key (empty where the class has none).
QUERIES: Final = (
    ("price-search", [0, 1, 2, 3], ""),
    ("day-report", [4, 5, 6, 7], ""),
    ("sale-record", [3], "5c0f6e1a"),
)
POLL_INTERVAL_US: Final = 100_000


@click.command()
@click.option("--seconds", type=float, help="Stop after this many seconds (default: on Ctrl-C).")
def platform(seconds: float | None) -> None:
    """Start stand-in nodes, discovery and one broker of the platform, and send a query of each class.

    The broker runs in a process of its own, started as on the platform. SIGTERM shuts it down gracefully.
    """
    with tempfile.TemporaryDirectory() as folder:
        try:
            fleet = PlatformFleet(Path(folder))
        except PlatformFleetError as error:
            click.echo(f"the broker did not start: {error}", err=True)
            sys.exit(3)
        stop_signals: list[int] = []
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda received, _frame: stop_signals.append(received))
        deadline_seconds = time.monotonic() + seconds if seconds is not None else None
        try:
            exit_code = fleet.run(_main(fleet, stop_signals, deadline_seconds))
        finally:
            fleet.close()
        click.echo(f"the broker ended with exit code {exit_code}")
        sys.exit(1 if exit_code else 0)


def _main(fleet: PlatformFleet, stop_signals: list[int], deadline_seconds: float | None) -> Coro[int]:
    """Send the demo queries, wait for a signal or the deadline, and return the broker's exit code."""
    click.echo(f"{len(fleet.nodes)} nodes, discovery and one broker are up. A query of each class:")
    for number, (query_class, shards, key) in enumerate(QUERIES):
        response = yield from fleet.client().send_query(f"demo{number}", query_class, shards, key=key)
        click.echo(f"  {query_class}: {response.status} {response.body.decode()[:150]}")
    click.echo(f"""
Try next (the broker listens on {fleet.address}, its log is {fleet.log_path}):
  curl http://{fleet.address}/-/ready
  curl -H 'Req-Id: q1' -H 'Req-Kind: price-search' -H 'Req-Deadline: 400m' \\
    -d '{{"parts":[{{"id":1,"w":0.5}},{{"id":2,"w":0.5}}],"expr":"c41e77d0"}}' http://{fleet.address}/price-search
  kill -HUP {fleet.process.pid}    kill -TERM {fleet.process.pid}
Stop with Ctrl-C.""")
    while (
        not stop_signals
        and fleet.process.poll() is None
        and (deadline_seconds is None or time.monotonic() < deadline_seconds)
    ):
        yield from sleep(fleet.loop, POLL_INTERVAL_US)
    if fleet.process.poll() is None:
        fleet.process.terminate()
    return (yield from fleet.wait_for_exit())
