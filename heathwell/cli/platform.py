"""`heathwell platform`: the platform's entry on loopback, against the stand-ins."""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from pathlib import Path

import click

from heathwell.eventloop import Coro, sleep
from heathwell.testing.simulation.platform import PlatformError, PlatformFleet

QUERIES = (
    ("price-search", [0, 1, 2, 3], ""),
    ("day-report", [4, 5, 6, 7], ""),
    ("sale-record", [3], "5c0f6e1a"),
)


@click.command()
@click.option("--seconds", type=float, help="Stop by itself after so long (Ctrl-C without).")
def platform(seconds: float | None) -> None:
    """Start stand-in nodes, discovery and one broker of the platform, and ask a query of each class.

    The broker is its own process, started as the platform does; SIGTERM ends it in order.
    """
    with tempfile.TemporaryDirectory() as folder:
        try:
            fleet = PlatformFleet(Path(folder))
        except PlatformError as problem:
            click.echo(f"the broker did not start: {problem}", err=True)
            sys.exit(3)
        ended: list[int] = []
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: ended.append(1))
        try:
            code = fleet.run(_main(fleet, ended, time.monotonic() + seconds if seconds is not None else None))
        finally:
            fleet.close()
        click.echo(f"the broker ended with exit code {code}")
        sys.exit(1 if code else 0)


def _main(fleet: PlatformFleet, ended: list[int], until: float | None) -> Coro[int]:
    click.echo(f"{len(fleet.nodes)} nodes, discovery and one broker are up. A query of each class:")
    for number, (kind, shards, key) in enumerate(QUERIES):
        response = yield from fleet.client().ask(f"demo{number}", kind, shards, key=key)
        click.echo(f"  {kind}: {response.status} {response.body.decode()[:150]}")
    click.echo(f"""
Try next (the broker listens on {fleet.address}, its log is {fleet.lines}):
  curl http://{fleet.address}/-/ready
  curl -H 'Req-Id: q1' -H 'Req-Kind: price-search' -H 'Req-Deadline: 400m' \\
    -d '{{"parts":[{{"id":1,"w":0.5}},{{"id":2,"w":0.5}}],"expr":"c41e77d0"}}' http://{fleet.address}/price-search
  kill -HUP {fleet.process.pid}    kill -TERM {fleet.process.pid}
Stop with Ctrl-C.""")
    while not ended and fleet.process.poll() is None and (until is None or time.monotonic() < until):
        yield from sleep(fleet.loop, 100_000)
    if fleet.process.poll() is None:
        fleet.process.terminate()
    return (yield from fleet.ended())
