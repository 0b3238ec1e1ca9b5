"""Helpers of operators' commands: requests to coordinators, common options, and formatted results."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeVar

import click

from heathwell.cli.process import coordinator_addresses, load_settings_or_exit
from heathwell.codec import frames, inner_protocol

REPLY_TIMEOUT_SECONDS: Final = 3.0
REQUEST_ERRORS: Final = (OSError, ValueError, frames.FrameError)
"""What :func:`request_reply` raises: no connection, an unexpected reply, or bytes that are not a frame."""
Reply = TypeVar("Reply")


@dataclass(slots=True)
class CoordinatorViews:
    """The views of the coordinators that replied, and the errors of the others by address."""

    views: list[frames.FleetView] = field(default_factory=list)
    errors: dict[str, str] = field(default_factory=dict)


def request_reply(
    address: str, message: frames.Message, kind: type[Reply], timeout_seconds: float = REPLY_TIMEOUT_SECONDS
) -> Reply:
    """Send an operator's request and return the reply of type ``kind``.

    Raise one of :data:`REQUEST_ERRORS`, as :func:`heathwell.codec.inner_protocol.request` does.
    """
    return inner_protocol.request(address, f"cli{os.getpid()}", "cli", message, kind, timeout_seconds)


def request_views(addresses: list[str]) -> CoordinatorViews:
    """Request the view of each coordinator."""
    result = CoordinatorViews()
    for address in addresses:
        try:
            result.views.append(request_reply(address, frames.FleetRequest(), frames.FleetView))
        except REQUEST_ERRORS as error:
            result.errors[address] = str(error) or type(error).__name__
    return result


def required_coordinator_addresses(config: str, coordinators: str) -> list[str]:
    """Return the addresses of ``--keepers`` or of the settings; exit with code 2 where there are none."""
    addresses = coordinator_addresses(load_settings_or_exit(config), coordinators)
    if not addresses:
        click.echo(f"{config}: fleet.keepers: an address is required, here or by --keepers", err=True)
        sys.exit(2)
    return addresses


def operator_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add ``--config``, ``--keepers`` and ``--json`` to a command."""
    for option in (
        click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file."),
        click.option(
            "--keepers",
            "coordinators",
            default="",
            help="Comma-separated addresses of the quota coordinators (default: those of the settings).",
        ),
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
    ):
        command = option(command)
    return command


def format_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Format rows with the same keys as left-aligned columns under a header line."""
    if not rows:
        return "none"
    keys = list(rows[0])
    lines = [keys, *([str(row[key]) for key in keys] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(keys))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def print_and_exit(result: CoordinatorViews, body: Mapping[str, object], text: str, *, as_json: bool) -> None:
    """Print ``body`` as JSON, or ``text``, with the errors; exit with 3 if no coordinator replied, else 0."""
    if as_json:
        click.echo(json.dumps({**body, "silent": result.errors}, indent=1))
    else:
        click.echo(text)
        for address, error in result.errors.items():
            click.echo(f"keeper {address} says nothing: {error}", err=True)
    sys.exit(0 if result.views else 3)
