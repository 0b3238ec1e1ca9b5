"""Reads the reports of a broker process: its ready file when it starts to serve, then its page ``/service``.

Imports the event loop's types and the HTTP codec.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

from heathwell.codec.http import ClientSide
from heathwell.eventloop import Coro, Net, Stream


@dataclass(frozen=True, slots=True)
class ReadyReport:
    """A ready file: the address of the admin port, and the digests of the running program and settings."""

    admin_address: str
    digests: tuple[str, str]


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Counters of a process since its start, and its current state."""

    in_flight: int = 0
    cpu_us: int = 0
    memory: int = 0
    query_classes: dict[str, dict[str, float]] = field(default_factory=dict)
    settings_digest: str | None = None


def read_ready_file(path: Path) -> ReadyReport:
    """Read a ready file; raises :class:`OSError`, :class:`ValueError` or :class:`KeyError` if damaged."""
    record = json.loads(path.read_text())
    digests = (str(record.get("program")), str(record.get("settings")))
    return ReadyReport(str(record["admin"]), digests)


def fetch_service_report(net: Net, address: str, connect_timeout_us: int) -> Coro[ServiceReport | None]:
    """Request a process's report; None for any status other than 200.

    Raises :class:`ConnectError`, :class:`StreamBrokenError`, :class:`HttpError` or :class:`ValueError`. Only
    the connect has a timeout; the caller must cancel the task if no answer arrives.
    """
    stream: Stream | None = None
    try:
        stream = yield from net.connect(address, connect_timeout_us)
        side = ClientSide(address)
        stream.write(side.request("GET", "/service"))
        response = None
        while response is None:
            data = yield from stream.read()
            response = side.feed(data)
        return _parse_service_report(response.body) if response.status == HTTPStatus.OK else None
    finally:
        if stream is not None:
            stream.abort()


def _parse_service_report(body: bytes) -> ServiceReport:
    record = json.loads(body)
    return ServiceReport(
        record.get("held", 0),
        record.get("cpu_us", 0),
        record.get("memory", 0),
        record.get("classes", {}),
        record.get("settings"),
    )
