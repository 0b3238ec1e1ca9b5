"""`heathwell keeper`: one quota coordinator of the fleet's quorum."""

from __future__ import annotations

import random
import signal
import sys
import time
from typing import Final

import click

from heathwell.cli.process import Process, coordinator_addresses, server_command
from heathwell.eventloop import Coro
from heathwell.fleet.control.coordinator_metrics import CoordinatorAdminPages
from heathwell.fleet.control.evacuation_coordinator import evacuation_coordinator_from_settings
from heathwell.fleet.control.parameters import (
    budgets_from_settings,
    quota_timings_from_settings,
    rollout_lease_budget,
)
from heathwell.fleet.control.quota_coordinator import QuotaCoordinatorServer
from heathwell.fleet.quotas import QuotaCoordinator
from heathwell.settings import SettingsError, load

ADMIN_CONNECTIONS: Final = 100


@click.command("keeper")
@server_command("keeper")
@click.option(
    "--number", required=True, type=int, help="Index of this coordinator among the addresses, from 0."
)
@click.option(
    "--keepers",
    "coordinators",
    default="",
    help="Comma-separated addresses of all quota coordinators (default: those of the settings).",
)
@click.option("--listen", help="Address to listen on (default: the one at its index).")
@click.option(
    "--admin",
    default="127.0.0.1:0",
    show_default=True,
    help="Address of the HTTP server for /healthz and /metrics.",
)
def coordinator(process: Process, *, number: int, coordinators: str, listen: str | None, admin: str) -> None:
    """Run a quota coordinator, which tracks the fleet's members and grants quotas of the fleet's budgets.

    SIGHUP reloads the settings: the totals of budgets may change while the fleet runs. Nothing is stored on
    disk.
    """
    addresses = coordinator_addresses(process.service_settings, coordinators)
    if not 0 <= number < len(addresses):
        click.echo(
            f"--number: must be at least 0 and less than the {len(addresses)} addresses, got {number}",
            err=True,
        )
        sys.exit(2)
    run = f"k{number}.{time.time_ns() // 1000:x}.{random.SystemRandom().randrange(1 << 32):x}"

    def _run_coordinator() -> Coro[None]:
        server = _coordinator_server(process, number, run, addresses)
        process.poller.on_signal(signal.SIGHUP, lambda: _reload_budgets(process, server))
        address = server.start(listen or addresses[number])
        pages = process.net.listen(admin, CoordinatorAdminPages(server).serve, "admin", ADMIN_CONNECTIONS)
        process.ready(address=address, admin=pages.address, number=number, run=run)
        process.log("info", "keeping", address=address, run=run)
        yield from process.stop.wait()
        server.close()
        pages.close()

    process.run(_run_coordinator)


def _coordinator_server(
    process: Process, number: int, run: str, addresses: list[str]
) -> QuotaCoordinatorServer:
    """Return the server of the coordinator at index ``number``; ``run`` identifies this incarnation."""
    fleet = process.service_settings.fleet
    quota_coordinator = QuotaCoordinator(
        number,
        run,
        len(addresses),
        (*budgets_from_settings(fleet), rollout_lease_budget(fleet)),
        process.loop.now(),
        quota_timings_from_settings(fleet),
    )
    return QuotaCoordinatorServer(
        process.loop,
        process.net,
        quota_coordinator,
        {other: address for other, address in enumerate(addresses) if other != number},
        seed=number + 1,
        log=process.log,
        events=process.events,
        evacuation=(
            evacuation_coordinator_from_settings(process.service_settings) if fleet.evacuate else None
        ),
        fleet=fleet.fleet_name,
    )


def _reload_budgets(process: Process, server: QuotaCoordinatorServer) -> None:
    """Reload the settings file and resize the budgets; errors are logged and change nothing."""
    try:
        budgets = budgets_from_settings(load(process.config).fleet)
    except (SettingsError, OSError) as error:
        process.log("error", "settings reload failed, keeping the current settings", why=str(error))
        return
    for resize_error in server.resize(budgets):
        process.log("error", "budget not resized", why=str(resize_error))
