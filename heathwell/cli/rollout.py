"""`heathwell agent`, which runs the brokers of a machine, and `heathwell rollout`, which changes them in
stages.
"""

from __future__ import annotations

import contextlib
import fcntl
import getpass
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from heathwell import __version__
from heathwell.cli.operator_requests import request_reply
from heathwell.cli.process import Process, exit_codes, serving, settings_of
from heathwell.codec import frames
from heathwell.eventloop import Coro, sleep
from heathwell.fleet.control.broker_process import supervise_broker
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.node_agent import DesiredVersionRejectedError, NodeAgent
from heathwell.fleet.control.parameters import quota_timings_from_settings, rollout_lease_budget
from heathwell.fleet.control.rollout import RolloutRunner
from heathwell.fleet.control.state_file import VersionFiles, base_version, write_atomically
from heathwell.fleet.membership import LocalMember
from heathwell.fleet.rollout import (
    AnalysisLimits,
    Plan,
    RolloutController,
    RolloutState,
    Stage,
)
from heathwell.fleet.rollout.preflight import preflight_warnings
from heathwell.settings import ServiceSettings, SettingsError, load
from heathwell.settings.check import TIME_US

ADDRESS = "controller.json"
LOCK = "lock"


@click.command()
@serving("agent")
@click.option(
    "--state", required=True, type=click.Path(file_okay=False), help="Folder for its notes and logs."
)
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address for controllers.")
@click.option(
    "--broker", "brokers", multiple=True, required=True, help="NAME:ZONE:HOST:PORT, ZONE a number; repeat."
)
@click.option(
    "--args", "arguments", default="{}", help="JSON: by broker's name, more arguments of `heathwell broker`."
)
@click.option(
    "--version", required=True, help="Name of the version that runs first, where no notes say otherwise."
)
@click.option("--program", required=True, type=click.Path(file_okay=False), help="Its program tree.")
@click.option(
    "--settings", "first_settings", required=True, type=click.Path(dir_okay=False), help="Its settings."
)
@click.option("--broker-events", default="", help="Folder for brokers' event logs (off without).")
def agent(
    process: Process,
    state: str,
    listen: str,
    brokers: tuple[str, ...],
    arguments: str,
    version: str,
    program: str,
    first_settings: str,
    broker_events: str,
) -> None:
    """Run a machine's agent: starts, replaces and restarts its brokers.

    SIGTERM ends the brokers in order and then the agent. Killed, it leaves them running; the next one adopts
    them.
    """
    zones = process.service_settings.fleet.zones
    try:
        more: dict[str, list[str]] = json.loads(arguments)
        rows = []
        for text in brokers:
            name, zone, address = text.split(":", 2)
            if not 0 <= int(zone) < len(zones):
                raise ValueError(f"{text}: there are {len(zones)} zones")
            rows.append(supervise_broker(name, int(zone), address, more.get(name, [])))
    except ValueError as problem:
        click.echo(f"--broker, --args: {problem}", err=True)
        sys.exit(2)

    def main() -> Coro[None]:
        served = NodeAgent(
            process.loop,
            process.net,
            process.name,
            Path(state),
            rows,
            zones,
            log=process.log,
            events=broker_events,
        )
        address = served.start(listen)
        for broker in rows:
            supervisor = broker.supervisor
            if not supervisor.desired_version:
                first = frames.DesiredVersion(
                    0,
                    0,
                    broker.name,
                    version,
                    str(Path(program).resolve()),
                    str(Path(first_settings).resolve()),
                )
                try:
                    served.set_desired_version(first)
                except DesiredVersionRejectedError as error:
                    click.echo(f"{broker.name}: {error}", err=True)
                    sys.exit(2)
            else:
                files = served.versions[base_version(supervisor.desired_version)]
                last = frames.DesiredVersion(
                    supervisor.term,
                    supervisor.number,
                    broker.name,
                    supervisor.desired_version,
                    files.program,
                    files.settings,
                )
                with contextlib.suppress(DesiredVersionRejectedError):  # it goes on with what serves
                    served.set_desired_version(last)
        while (
            any(broker.supervisor.serving is None and not broker.supervisor.failures for broker in rows)
            and not process.stop.is_set
        ):
            yield from sleep(process.loop, 50_000)
        process.ready(address=address, brokers={broker.name: broker.address for broker in rows})
        yield from process.stop.wait()
        served.stop()
        until = process.loop.now() + process.service_settings.broker.drain_for + 2_000_000
        while served.process_count and process.loop.now() < until:
            yield from sleep(process.loop, 50_000)

    process.run(main)


@click.group()
def rollout() -> None:
    """A new program or new settings in stages, judged, and undone where it does worse."""


def _span(words: str) -> int:
    number = words.rstrip("usmhd")
    return int(float(number) * TIME_US[words[len(number) :]])


def _stages(text: str, bake: str, most: str, prove: str) -> tuple[Stage, ...]:
    def share(words: str) -> float:
        return float(words[:-1]) / 100 if words.endswith("%") else 0.0 if words == "1" else float(words)

    return tuple(
        Stage(share(words), _span(bake), _span(most), require_proof=words == prove)
        for words in text.split(",")
    )


@rollout.command()
@serving("rollout")
@click.option(
    "--state", required=True, type=click.Path(file_okay=False), help="Folder for the course's record."
)
@click.option("--machines", required=True, help="Agents' addresses with commas between.")
@click.option(
    "--from", "old", required=True, help="Version that runs now, with --from-program and --from-settings."
)
@click.option("--from-program", required=True, type=click.Path(file_okay=False, exists=True))
@click.option("--from-settings", required=True, type=click.Path(dir_okay=False, exists=True))
@click.option("--to", "new", required=True, help="Name of the new version.")
@click.option("--program", type=click.Path(file_okay=False, exists=True), help="Its program tree (the old).")
@click.option(
    "--settings", "new_settings", type=click.Path(dir_okay=False, exists=True), help="Its settings."
)
@click.option("--stages", default="1,5%,25%,100%", show_default=True, help="Shares of brokers; 1: one.")
@click.option("--bake", default="30s", show_default=True, help="Least time of a stage.")
@click.option("--most", default="120s", show_default=True, help="Longest time of a stage.")
@click.option("--prove", default="25%", show_default=True, help="Stage that must be shown to be no worse.")
@click.option("--window", default="2s", show_default=True, help="Span over which brokers are compared.")
@click.option(
    "--tolerance", default=0.02, show_default=True, help="Loss of worth that is shown not to be there."
)
@click.option(
    "--zone-share", default=0.34, show_default=True, help="Of a zone, changed before the last stage."
)
@click.option("--at-once", default=4, show_default=True, help="Brokers replaced at a time.")
@click.option("--allow", multiple=True, help="A flag that a refusal named, such as --drop-classes; repeat.")
@click.option("--keepers", default="", help="Keepers' addresses with commas between (settings' without).")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address for operators.")
@click.option("--crash-at", default="", hidden=True, help="For tests: SIGKILL oneself there.")
def start(
    process: Process,
    state: str,
    machines: str,
    old: str,
    from_program: str,
    from_settings: str,
    new: str,
    program: str | None,
    new_settings: str | None,
    stages: str,
    bake: str,
    most: str,
    prove: str,
    window: str,
    tolerance: float,
    zone_share: float,
    at_once: int,
    allow: tuple[str, ...],
    keepers: str,
    listen: str,
    crash_at: str,
) -> None:
    """Carry a change out, or go on with the one that is noted in --state. Exit code 0 done, 1 undone."""
    folder = Path(state)
    folder.mkdir(parents=True, exist_ok=True)
    lock = (folder / LOCK).open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        click.echo(f"{state}: a controller lives here already", err=True)
        sys.exit(2)
    try:
        plan = Plan(_stages(stages, bake, most, prove), zone_share, at_once)
        controller = RolloutController(
            f"{old}-{new}", old, new, {}, plan, AnalysisLimits(tolerance=tolerance), _span(window)
        )
    except (ValueError, KeyError) as problem:
        click.echo(f"--stages, --bake, --most, --window: {problem}", err=True)
        sys.exit(2)
    files = {
        old: VersionFiles(str(Path(from_program).resolve()), str(Path(from_settings).resolve())),
        new: VersionFiles(
            str(Path(program or from_program).resolve()),
            str(Path(new_settings or from_settings).resolve()),
        ),
    }
    before = settings_of(from_settings)

    def preflight() -> list[str]:
        try:
            after = load(files[new].settings)
        except (SettingsError, OSError) as problem:
            return str(problem).splitlines()
        return [
            warning.text + (f" (--allow {warning.override_flag} takes it)" if warning.override_flag else "")
            for warning in preflight_warnings(before, after)
            if warning.override_flag is None or warning.override_flag not in allow
        ]

    def crash(point: str) -> None:
        if crash_at and point == crash_at:
            os.kill(os.getpid(), signal.SIGKILL)

    def main() -> Coro[int]:
        is_leader = _lease(process, before, keepers)
        runner = RolloutRunner(
            process.loop,
            process.net,
            controller,
            folder,
            machines.split(","),
            files,
            term=time.time_ns() // 1000,
            is_leader=is_leader,
            log=process.log,
            preflight=preflight,
            crash_at=crash,
        )
        address = runner.start(listen)
        write_atomically(folder / ADDRESS, json.dumps({"address": address, "pid": os.getpid()}))
        process.ready(address=address, change=controller.id)

        def until_stopped() -> Coro[None]:
            yield from process.stop.wait()
            runner.done.set()

        process.loop.spawn(until_stopped(), "stop")
        yield from runner.done.wait()
        yield from sleep(process.loop, 200_000)  # for operators who ask at this moment
        runner.close()
        return 0

    process.run(main)
    click.echo(f"{controller.id}: {controller.state}: {controller.reason}")
    sys.exit(0 if controller.state == RolloutState.DONE else 1)


def _lease(process: Process, service_settings: ServiceSettings, keepers: str) -> Callable[[], bool]:
    """Whether this controller is the fleet's one: by a unit that keepers lend to one at a time. Without
    keepers the lock on its folder must do.
    """
    fleet = service_settings.fleet
    if not fleet.coordinators:
        return lambda: True
    times = quota_timings_from_settings(fleet)
    member = LocalMember(
        process.name,
        time.time_ns() // 1000,
        process.loop.now(),
        version=__version__,
        timeouts=times.membership,
    )
    lender = FleetAgent(
        process.loop,
        process.net,
        member,
        (rollout_lease_budget(fleet),),
        tuple(keepers.split(",")) if keepers else tuple(fleet.coordinators),
        renewal_interval_us=fleet.renew,
        timings=times,
        seed=os.getpid(),
        log=process.log,
        events=process.events,
        fleet=fleet.called,
    )
    name = rollout_lease_budget(fleet).name

    def holds() -> bool:
        now, holder = lender.check_incarnation(), lender.holder(name)
        if holder is None:
            return False
        if holder.in_use and holder.quota(now) < 1:
            lender.release(name)
        return bool(holder.in_use) or lender.acquire(name)

    return holds


def _say(word: str, state: str, address: str, why: str, as_json: bool) -> None:
    where = address
    if not where:
        with exit_codes(ValueError):
            where = json.loads((Path(state) / ADDRESS).read_text())["address"]
    try:
        answer = request_reply(
            where, frames.OperatorCommand(word, getpass.getuser(), why), frames.RolloutStatus
        )
    except (OSError, ValueError, frames.FrameError) as problem:
        click.echo(f"controller {where}: {problem}", err=True)
        sys.exit(3)
    record: dict[str, Any] = answer.record
    if as_json:
        click.echo(json.dumps(record, indent=1))
    else:
        click.echo(
            f"{record['id']}: {record['state']}, stage {record['stage']}: {record['why']}"
            + ("" if record["holds"] else " (this controller has not the fleet's lease)")
        )
        for name, row in record["brokers"].items():
            click.echo(
                f"  {name} ({row['zone']}): {row['runs'] or 'nothing'}, {row['state']}"
                + (f", to run {row['wanted']}" if row["wanted"] not in ("", row["runs"]) else "")
                + (f"; failed: {row['failed']}" if row["failed"] else "")
                + ("" if row["fresh"] else "; its machine does not answer")
            )
    if answer.text:
        click.echo(answer.text, err=True)
        sys.exit(1)


def _word(word: str, text: str) -> click.Command:
    def command(state: str, address: str, why: str, as_json: bool) -> None:
        if not state and not address:
            click.echo("--state or --address is needed", err=True)
            sys.exit(2)
        _say(word, state, address, why, as_json)

    command.__doc__ = text
    for option in (
        click.option("--state", default="", help="Folder of the controller."),
        click.option("--address", default="", help="Its address (that in its folder without)."),
        click.option("--why", default="", help="For the log."),
        click.option("--json", "as_json", is_flag=True, help="As JSON."),
    ):
        command = option(command)
    return click.command(word)(command)


for word, text in (
    ("status", "How a change stands."),
    ("hold", "Begin nothing more for now."),
    ("resume", "Go on with a change that is held."),
    ("undo", "Bring the old version back everywhere."),
):
    rollout.add_command(_word(word, text))
