"""`heathwell rollout`: roll out a program or settings in stages, and roll back if the canaries do worse."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import click
import msgspec

from heathwell import __version__
from heathwell.cli.process import Process, coordinator_addresses, load_settings_or_exit, server_command
from heathwell.cli.rollout_operator import ADDRESS_FILE_NAME, OPERATOR_COMMANDS
from heathwell.eventloop import Coro, sleep
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.parameters import quota_timings_from_settings, rollout_lease_budget
from heathwell.fleet.control.rollout import RolloutRunner
from heathwell.fleet.control.state_file import VersionFiles, write_atomically
from heathwell.fleet.membership import LocalMember
from heathwell.fleet.rollout import AnalysisLimits, Plan, RolloutController, RolloutState, Stage
from heathwell.fleet.rollout.preflight import PreflightWarning, preflight_warnings
from heathwell.settings import ServiceSettings, SettingsError, load
from heathwell.settings.check import TIME_US

LOCK_FILE_NAME: Final = "lock"
# Time that the controller runs on after the end of a rollout, to reply to operators' last requests.
FINAL_STATUS_DURATION_US: Final = 200_000


@click.group()
def rollout() -> None:
    """Roll out a new program or new settings in stages, with canary analysis and automatic rollback."""


for operator_command in OPERATOR_COMMANDS:
    rollout.add_command(operator_command)


class RolloutOptions(msgspec.Struct, frozen=True, kw_only=True):
    """The options of `heathwell rollout start`."""

    state: str
    machines: str  # comma-separated addresses
    old_version: str
    old_program: str
    old_settings: str
    new_version: str
    new_program: str | None
    new_settings: str | None
    stages: str
    min_stage_duration: str
    max_stage_duration: str
    proof_stage: str
    observation_window: str
    tolerance: float
    max_zone_fraction: float
    max_concurrent: int
    override_flags: tuple[str, ...]
    coordinators: str  # comma-separated addresses, or empty
    listen: str
    crash_point: str

    def plan(self) -> Plan:
        """Return the plan; raise :class:`ValueError` or :class:`KeyError` for invalid stages or durations."""
        stages = tuple(
            Stage(
                _stage_fraction(text),
                _duration_us(self.min_stage_duration),
                _duration_us(self.max_stage_duration),
                require_proof=text == self.proof_stage,
            )
            for text in self.stages.split(",")
        )
        return Plan(stages, self.max_zone_fraction, self.max_concurrent)

    def controller(self) -> RolloutController:
        """Return the controller of a new rollout; raise the errors of :meth:`plan`."""
        return RolloutController(
            f"{self.old_version}-{self.new_version}",
            self.old_version,
            self.new_version,
            {},
            self.plan(),
            AnalysisLimits(tolerance=self.tolerance),
            _duration_us(self.observation_window),
        )

    def version_files(self) -> dict[str, VersionFiles]:
        """Return the files of both versions by name; the new version defaults to files of the old one."""
        return {
            self.old_version: _version_files(self.old_program, self.old_settings),
            self.new_version: _version_files(
                self.new_program or self.old_program, self.new_settings or self.old_settings
            ),
        }


def _duration_us(text: str) -> int:
    """Parse a number with a unit, such as `2s`."""
    number = text.rstrip("usmhd")
    unit = text[len(number) :]
    return int(float(number) * TIME_US[unit])


def _stage_fraction(text: str) -> float:
    """Parse the fraction of brokers in a stage: a percentage, a number, or `1` for a single broker (0.0)."""
    if text.endswith("%"):
        return float(text[:-1]) / 100
    return 0.0 if text == "1" else float(text)


def _version_files(program: str, settings: str) -> VersionFiles:
    return VersionFiles(str(Path(program).resolve()), str(Path(settings).resolve()))


@rollout.command()
@server_command("rollout")
@click.option(
    "--state", required=True, type=click.Path(file_okay=False), help="Directory for the rollout's state."
)
@click.option("--machines", required=True, help="Comma-separated addresses of the node agents.")
@click.option(
    "--from",
    "old_version",
    required=True,
    help="Name of the old version, which runs now.",
)
@click.option(
    "--from-program",
    "old_program",
    required=True,
    type=click.Path(file_okay=False, exists=True),
    help="Program tree of the old version.",
)
@click.option(
    "--from-settings",
    "old_settings",
    required=True,
    type=click.Path(dir_okay=False, exists=True),
    help="Settings file of the old version.",
)
@click.option("--to", "new_version", required=True, help="Name of the new version.")
@click.option(
    "--program",
    "new_program",
    type=click.Path(file_okay=False, exists=True),
    help="Program tree of the new version (default: the old one).",
)
@click.option(
    "--settings",
    "new_settings",
    type=click.Path(dir_okay=False, exists=True),
    help="Settings file of the new version (default: the old one).",
)
@click.option(
    "--stages",
    default="1,5%,25%,100%",
    show_default=True,
    help="Fraction of brokers in each stage; 1: one broker.",
)
@click.option(
    "--bake", "min_stage_duration", default="30s", show_default=True, help="Minimum duration of a stage."
)
@click.option(
    "--most", "max_stage_duration", default="120s", show_default=True, help="Maximum duration of a stage."
)
@click.option(
    "--prove",
    "proof_stage",
    default="25%",
    show_default=True,
    help="Stage that passes only on proof that the new version is no worse.",
)
@click.option(
    "--window",
    "observation_window",
    default="2s",
    show_default=True,
    help="Time window over which brokers are compared.",
)
@click.option(
    "--tolerance",
    default=0.02,
    show_default=True,
    help="Loss of goodput, as a fraction, that the proof must exclude.",
)
@click.option(
    "--zone-share",
    "max_zone_fraction",
    default=0.34,
    show_default=True,
    help="Maximum fraction of a zone's brokers to change before the last stage.",
)
@click.option(
    "--at-once",
    "max_concurrent",
    default=4,
    show_default=True,
    help="Maximum number of brokers to replace concurrently.",
)
@click.option(
    "--allow",
    "override_flags",
    multiple=True,
    help="Override named by a failed preflight check, such as --drop-classes. Repeatable.",
)
@click.option(
    "--keepers",
    "coordinators",
    default="",
    help="Comma-separated addresses of the quota coordinators (default: those of the old settings).",
)
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address for operators' commands.")
@click.option(
    "--crash-at",
    "crash_point",
    default="",
    hidden=True,
    help="For tests: point at which the process kills itself.",
)
def start(process: Process, **values: object) -> None:
    """Run a rollout, or resume the one recorded in --state.

    Exits with 0 when the rollout is completed, 1 when it is rolled back or interrupted.
    """
    options = msgspec.convert(values, RolloutOptions)
    with _locked_folder(options.state):
        try:
            controller = options.controller()
        except (ValueError, KeyError) as error:
            click.echo(f"--stages, --bake, --most, --window: {error}", err=True)
            sys.exit(2)
        process.run(ControllerServer(process, options, controller).run)
        click.echo(f"{controller.id}: {controller.state}: {controller.reason}")
        sys.exit(0 if controller.state == RolloutState.DONE else 1)


@contextmanager
def _locked_folder(state: str) -> Iterator[None]:
    """Create the controller's directory and hold its lock; exit with code 2 if another process holds it."""
    folder = Path(state)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / LOCK_FILE_NAME).open("w") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            click.echo(f"{state}: a controller lives here already", err=True)
            sys.exit(2)
        yield


class ControllerServer:
    """Runs a rollout controller until the rollout ends."""

    def __init__(self, process: Process, options: RolloutOptions, controller: RolloutController) -> None:
        self._process = process
        self._options = options
        self._controller = controller
        self._files = options.version_files()
        self._old_settings = load_settings_or_exit(options.old_settings)

    def run(self) -> Coro[None]:
        """Run the rollout to its end, or until the process is stopped."""
        process = self._process
        folder = Path(self._options.state)
        runner = self._make_runner(folder)
        address = runner.start(self._options.listen)
        write_atomically(folder / ADDRESS_FILE_NAME, json.dumps({"address": address, "pid": os.getpid()}))
        process.ready(address=address, change=self._controller.id)
        process.loop.spawn(self._end_when_stopped(runner), "stop")
        yield from runner.done.wait()
        yield from sleep(process.loop, FINAL_STATUS_DURATION_US)
        runner.close()

    def _make_runner(self, folder: Path) -> RolloutRunner:
        process = self._process
        return RolloutRunner(
            process.loop,
            process.net,
            self._controller,
            folder,
            self._options.machines.split(","),
            self._files,
            term=time.time_ns() // 1000,
            is_leader=_leader_check(process, self._old_settings, self._options.coordinators),
            log=process.log,
            preflight=self._preflight,
            crash_at=self._crash_at,
        )

    def _end_when_stopped(self, runner: RolloutRunner) -> Coro[None]:
        yield from self._process.stop.wait()
        runner.done.set()

    def _preflight(self) -> list[str]:
        """Return the problems of the new settings, without those that the operator's flags override."""
        try:
            new_settings = load(self._files[self._controller.new_version].settings)
        except (SettingsError, OSError) as error:
            return str(error).splitlines()
        return [
            _warning_line(warning)
            for warning in preflight_warnings(self._old_settings, new_settings)
            if warning.override_flag is None or warning.override_flag not in self._options.override_flags
        ]

    def _crash_at(self, point: str) -> None:
        if self._options.crash_point and point == self._options.crash_point:
            os.kill(os.getpid(), signal.SIGKILL)


def _warning_line(warning: PreflightWarning) -> str:
    if not warning.override_flag:
        return warning.text
    return f"{warning.text} (--allow {warning.override_flag} overrides this check)"


def _leader_check(
    process: Process, service_settings: ServiceSettings, coordinators: str
) -> Callable[[], bool]:
    """Return the function that renews the fleet's rollout lease and returns whether it is held.

    Without coordinators there is no lease: only the lock on the directory prevents concurrent controllers.
    """
    fleet = service_settings.fleet
    if not fleet.coordinators:
        return lambda: True
    budget = rollout_lease_budget(fleet)
    timings = quota_timings_from_settings(fleet)
    member = LocalMember(
        process.name,
        time.time_ns() // 1000,
        process.loop.now(),
        version=__version__,
        timeouts=timings.membership,
    )
    fleet_agent = FleetAgent(
        process.loop,
        process.net,
        member,
        (budget,),
        coordinator_addresses(service_settings, coordinators),
        renewal_interval_us=fleet.renew,
        timings=timings,
        seed=os.getpid(),
        log=process.log,
        events=process.events,
        fleet=fleet.fleet_name,
    )
    return lambda: _holds_lease(fleet_agent, budget.name)


def _holds_lease(fleet_agent: FleetAgent, budget_name: str) -> bool:
    """Acquire the lease if it is free, release it if it has expired, and return whether it is held."""
    now_us = fleet_agent.check_incarnation()
    holder = fleet_agent.holder(budget_name)
    if holder is None:
        return False
    if holder.in_use and holder.quota(now_us) < 1:
        fleet_agent.release(budget_name)
    return bool(holder.in_use) or fleet_agent.acquire(budget_name)
