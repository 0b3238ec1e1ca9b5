"""`heathwell keeper`: one quota coordinator of the fleet's quorum, as a process."""

from __future__ import annotations

import random
import signal
import sys
import time
from typing import Final

import click

from heathwell.cli.process import Process, coordinator_addresses, serving
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
@serving("keeper")
@click.option("--number", required=True, type=int, help="Which of the keepers it is, from 0.")
@click.option(
    "--keepers",
    "coordinators",
    default="",
    help="All keepers' addresses with commas between (settings' without).",
)
@click.option("--listen", help="Address (that of its number in the settings without).")
@click.option("--admin", default="127.0.0.1:0", show_default=True, help="Address of /healthz and /metrics.")
def coordinator(process: Process, *, number: int, coordinators: str, listen: str | None, admin: str) -> None:
    """Run a keeper: the roll of brokers, and a part of the fleet's budgets to lend.

    SIGHUP reads the settings anew: the wholes of budgets may change while all run. It keeps nothing on disk.
    """
    addresses = coordinator_addresses(process.service_settings, coordinators)
    if not 0 <= number < len(addresses):
        click.echo(f"--number {number}: settings name {len(addresses)} keepers", err=True)
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
    """Return the server of coordinator ``number`` of ``addresses``; ``run`` names this incarnation."""
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
        fleet=fleet.called,
    )


def _reload_budgets(process: Process, server: QuotaCoordinatorServer) -> None:
    """Read the settings file again and resize the budgets; errors are logged and change nothing."""
    try:
        budgets = budgets_from_settings(load(process.config).fleet)
    except (SettingsError, OSError) as error:
        process.log("error", "settings not taken, the old ones stay", why=str(error))
        return
    for resize_error in server.resize(budgets):
        process.log("error", "budget not taken", why=str(resize_error))
