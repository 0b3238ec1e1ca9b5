"""`heathwell rollout status`, `hold`, `resume` and `undo`: operators' commands to a rollout controller."""

from __future__ import annotations

import getpass
import json
import sys
from functools import partial
from pathlib import Path
from typing import Final

import click
import msgspec

from heathwell.cli.operator_requests import REQUEST_ERRORS, request_reply
from heathwell.cli.process import exit_on_input_errors
from heathwell.codec import frames

ADDRESS_FILE_NAME: Final = "controller.json"  # in the controller's folder


class BrokerRow(
    msgspec.Struct, rename={"version": "runs", "desired_version": "wanted", "is_recent": "fresh"}
):
    """One broker in the status of a rollout; the JSON names are those of the controller's state."""

    zone: str
    version: str
    state: str
    desired_version: str
    failed: str  # why the desired version did not start, or empty
    is_recent: bool

    def line(self, name: str) -> str:
        """Return the line to print of the broker."""
        text = f"  {name} ({self.zone}): {self.version or 'nothing'}, {self.state}"
        if self.desired_version not in ("", self.version):
            text += f", to run {self.desired_version}"
        if self.failed:
            text += f"; failed: {self.failed}"
        if not self.is_recent:
            text += "; its machine does not answer"
        return text


class RolloutStatusRow(msgspec.Struct, rename={"reason": "why", "holds_lease": "holds"}):
    """The part of a rollout's status that is printed; the JSON names are those of the controller's state."""

    id: str
    state: str
    stage: int
    reason: str
    holds_lease: bool
    brokers: dict[str, BrokerRow]

    def lines(self) -> list[str]:
        """Return the lines to print: the rollout, then each broker."""
        head = f"{self.id}: {self.state}, stage {self.stage}: {self.reason}"
        if not self.holds_lease:
            head += " (this controller has not the fleet's lease)"
        return [head, *(broker.line(name) for name, broker in self.brokers.items())]


def _controller_address(state: str, address: str) -> str:
    """Return ``address``, or else the one in the controller's directory; exit if there is neither."""
    if address:
        return address
    if not state:
        click.echo("--state or --address is required", err=True)
        sys.exit(2)
    with exit_on_input_errors(ValueError):
        stored_address: str = json.loads((Path(state) / ADDRESS_FILE_NAME).read_text())["address"]
    return stored_address


def _request_status(address: str, command_name: str, reason: str) -> frames.RolloutStatus:
    """Send a command and return the rollout's status; exit with code 3 if there is no reply."""
    command = frames.OperatorCommand(command_name, getpass.getuser(), reason)
    try:
        return request_reply(address, command, frames.RolloutStatus)
    except REQUEST_ERRORS as error:
        click.echo(f"controller {address}: {error}", err=True)
        sys.exit(3)


def _run_operator_command(name: str, *, state: str, address: str, why: str, as_json: bool) -> None:
    """Send a command and print the rollout's status; exit with code 1 if the command is rejected."""
    status = _request_status(_controller_address(state, address), name, why)
    if as_json:
        click.echo(json.dumps(status.record, indent=1))
    else:
        for line in msgspec.convert(status.record, RolloutStatusRow).lines():
            click.echo(line)
    if status.text:
        click.echo(status.text, err=True)
        sys.exit(1)


def _operator_command(name: str, help_text: str) -> click.Command:
    """Return the click command of an operator's command."""
    return click.Command(
        name,
        callback=partial(_run_operator_command, name),
        params=[
            click.Option(["--json", "as_json"], is_flag=True, help="Print JSON."),
            click.Option(["--why"], default="", help="Reason, for the log."),
            click.Option(
                ["--address"], default="", help="Address of the controller (default: the one in --state)."
            ),
            click.Option(["--state"], default="", help="Directory of the controller's state."),
        ],
        help=help_text,
    )


OPERATOR_COMMANDS: Final = (
    _operator_command("status", "Show the status of a rollout."),
    _operator_command("hold", "Hold a rollout: start no further replacements."),
    _operator_command("resume", "Resume a rollout that is held."),
    _operator_command("undo", "Roll back to the old version on all brokers."),
)
