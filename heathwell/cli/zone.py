"""`heathwell zone`: the evacuation state of zones, operators' actions on them, and evacuation drills."""

from __future__ import annotations

import getpass
import json
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

import click
import msgspec

from heathwell.cli.operator_requests import (
    REQUEST_ERRORS,
    format_table,
    operator_options,
    request_reply,
    required_coordinator_addresses,
)
from heathwell.cli.process import MICROSECONDS_PER_SECOND
from heathwell.codec import frames
from heathwell.fleet.control.messages import attempt_counts_from_frames
from heathwell.fleet.evacuation import Drill, DrillStage, DrillStageReport, OperatorAction, ZoneState

DRILL_TICK_SECONDS: Final = 2.0  # the interval over which brokers report their attempts to coordinators
NO_DECIDER: Final = "no quota coordinator can decide at the moment: the last decision remains in force"
STATUS: Final = "status"  # the operator command that only reads
TERMINATED_EXIT_CODE: Final = 128 + signal.SIGTERM


@click.group()
def zone() -> None:
    """Show and control the evacuation of zones."""


@dataclass(frozen=True, slots=True)
class ZoneReplies:
    """The coordinators' replies to an operator command, or error texts, by coordinator address."""

    by_address: dict[str, frames.ZonesStatus | str]

    def from_deciders(self) -> list[frames.ZonesStatus]:
        """Return the replies of coordinators that decide on zones at the moment."""
        return [
            reply
            for reply in self.by_address.values()
            if isinstance(reply, frames.ZonesStatus) and reply.decides
        ]


def _send_command(addresses: list[str], action: str, reason: str, zone_name: str) -> ZoneReplies:
    command = frames.OperatorCommand(action, getpass.getuser(), reason, zone_name)
    replies: dict[str, frames.ZonesStatus | str] = {}
    for address in addresses:
        try:
            replies[address] = request_reply(address, command, frames.ZonesStatus)
        except REQUEST_ERRORS as error:
            replies[address] = str(error)
    return ZoneReplies(replies)


def _run_action(
    action: str, *, config: str, coordinators: str, as_json: bool, zone: str = "", why: str = ""
) -> None:
    """Send an operator action and print the replies.

    Exit with code 1 if it is rejected, 3 if no coordinator decides.
    """
    addresses = required_coordinator_addresses(config, coordinators)
    replies = _send_command(addresses, action, why, zone)
    if as_json:
        body = {address: msgspec.to_builtins(reply) for address, reply in replies.by_address.items()}
        click.echo(json.dumps(body, indent=1))
    deciding = replies.from_deciders()
    for reply in deciding:
        if not as_json:
            _print_states(reply)
        if reply.text:
            click.echo(reply.text, err=True)
            sys.exit(1)
    if not deciding:
        click.echo(NO_DECIDER, err=True)
        sys.exit(3)


def _action_command(action: str, help_text: str) -> click.Command:
    """Return the click command of an operator action."""
    callback: Callable[..., None] = partial(_run_action, action)
    callback = operator_options(callback)
    if action != STATUS:
        callback = click.option("--why", default="", help="Reason, for the log.")(callback)
        callback = click.argument("zone")(callback)
    return click.command(action, help=help_text)(callback)


def _print_states(reply: frames.ZonesStatus) -> None:
    for name, state in reply.states.items():
        decided = reply.decision.zones.get(name) if reply.decision is not None else None
        line = f"{name}: {state}"
        if decided is not None:
            line += f", {decided.share:.0%} of its usual work"
            line += f", without {', '.join(decided.only)}" if decided.only else ""
            line += f": {decided.why}"
        click.echo(line)


for _action, _help_text in (
    (STATUS, "Show the state of each zone."),
    (OperatorAction.EVACUATE.value, "Evacuate ZONE until `return` is ordered."),
    (OperatorAction.RESTORE.value, "Restore ZONE in steps."),
    (OperatorAction.PIN.value, "Keep the state of ZONE until `unpin` is ordered."),
    (OperatorAction.UNPIN.value, "Resume automatic decisions on ZONE."),
):
    zone.add_command(_action_command(_action, _help_text))


class DrillStageSummary(
    msgspec.Struct,
    rename={
        "duration_seconds": "seconds",
        "zone_attempts_per_second": "there_a_second",
        "elsewhere_attempts_per_second": "elsewhere_a_second",
        "elsewhere_loss": "lost_elsewhere",
        "worst_tick_loss": "worst_look",
        "elsewhere_loss_by_class": "lost_by_class",
    },
):
    """A stage of a drill, with rounded values; the JSON names are part of the command's interface."""

    stage: str
    duration_seconds: float
    zone_attempts_per_second: float
    elsewhere_attempts_per_second: float
    elsewhere_loss: float
    worst_tick_loss: float
    elsewhere_loss_by_class: dict[str, float]


def _summarize_stage(report: DrillStageReport) -> DrillStageSummary:
    return DrillStageSummary(
        stage=report.stage.value,
        duration_seconds=round(report.duration_seconds, 1),
        zone_attempts_per_second=round(report.zone_attempts_per_second, 1),
        elsewhere_attempts_per_second=round(report.elsewhere_attempts_per_second, 1),
        elsewhere_loss=round(report.elsewhere_loss, 4),
        worst_tick_loss=round(report.worst_tick_loss, 4),
        elsewhere_loss_by_class={
            query_class: round(loss, 4) for query_class, loss in report.elsewhere_loss_by_class.items()
        },
    )


@zone.command()
@click.argument("zone")
@click.option(
    "--seconds",
    "duration_seconds",
    default=20.0,
    show_default=True,
    help="Seconds for which the zone stays evacuated.",
)
@click.option(
    "--most",
    "loss_limit",
    default=0.05,
    show_default=True,
    help="Fraction of attempts lost in other zones, beyond the usual, from which the drill is cancelled.",
)
@click.option("--why", default="a drill", show_default=True, help="Reason, for the log.")
@operator_options
def drill(
    *,
    config: str,
    coordinators: str,
    as_json: bool,
    zone: str,
    duration_seconds: float,
    loss_limit: float,
    why: str,
) -> None:
    """Evacuate a healthy ZONE, restore it, and report what that cost.

    Exits with 1 if the drill is cancelled. On SIGTERM or SIGINT it restores the zone before it exits.
    """
    addresses = required_coordinator_addresses(config, coordinators)
    runner = _DrillRunner(addresses, zone, why, prints_stages=not as_json)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(TERMINATED_EXIT_CODE))
    result = runner.run(int(duration_seconds * MICROSECONDS_PER_SECOND), loss_limit)
    _print_drill(result, as_json=as_json)
    if result.cancel_reason is not None:
        click.echo(f"drill cancelled: {result.cancel_reason}", err=True)
        sys.exit(1)


def _print_drill(result: Drill, *, as_json: bool) -> None:
    """Print the stages as JSON, or as a table without the losses by query class."""
    stages = msgspec.to_builtins([_summarize_stage(report) for report in result.report()])
    if as_json:
        body = {"zone": result.zone, "called_off": result.cancel_reason or "", "stages": stages}
        click.echo(json.dumps(body, indent=1))
        return
    for stage in stages:
        del stage["lost_by_class"]
    click.echo(format_table(stages))


def _now_us() -> int:
    return time.monotonic_ns() // 1000


class _DrillRunner:
    """Runs one drill by commands to the coordinators; the zone is restored however the drill ends."""

    def __init__(self, addresses: list[str], zone_name: str, reason: str, *, prints_stages: bool) -> None:
        self._addresses = addresses
        self._zone = zone_name
        self._reason = reason
        self._prints_stages = prints_stages

    def run(self, duration_us: int, loss_limit: float) -> Drill:
        """Run the drill and return it; raise `click.ClickException` if it cannot run.

        ``loss_limit`` is the loss in other zones, beyond the usual, from which the drill is cancelled.
        """
        view = self._command(STATUS)
        self._check_serving(view)
        drill_steps = Drill(self._zone, _now_us(), duration_us, loss_limit)
        began_at_us = _now_us()
        printed_stage = ""
        is_evacuated = False
        try:
            while drill_steps.stage != DrillStage.FINISHED:
                state = view.states[self._zone].partition(",")[0]
                action = drill_steps.tick(_now_us(), state, attempt_counts_from_frames(view.seen))
                if action is not None:
                    self._command(action.value)
                    is_evacuated = action == OperatorAction.EVACUATE
                if drill_steps.stage != printed_stage and self._prints_stages:
                    click.echo(
                        f"{(_now_us() - began_at_us) / MICROSECONDS_PER_SECOND:6.1f} s  {drill_steps.stage}"
                    )
                printed_stage = drill_steps.stage
                time.sleep(DRILL_TICK_SECONDS)
                view = self._command(STATUS)
        finally:
            if is_evacuated:
                self._command(OperatorAction.RESTORE.value)
        return drill_steps

    def _command(self, action: str) -> frames.ZonesStatus:
        """Return the reply of the coordinator that decides; raise `click.ClickException` on rejection."""
        deciding = _send_command(self._addresses, action, self._reason, self._zone).from_deciders()
        if not deciding:
            raise click.ClickException(NO_DECIDER)
        if deciding[0].text:
            raise click.ClickException(deciding[0].text)
        return deciding[0]

    def _check_serving(self, view: frames.ZonesStatus) -> None:
        state = view.states.get(self._zone)
        if state is None:
            raise click.ClickException(f"no zone '{self._zone}'; there are {', '.join(sorted(view.states))}")
        if state != ZoneState.SERVING:
            raise click.ClickException(
                f"zone {self._zone}: must be {ZoneState.SERVING.value} for a drill, is {state}"
            )
