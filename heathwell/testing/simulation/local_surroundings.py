"""What the simulated processes of one fleet share: loop, networks, settings and logs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heathwell.eventloop import Loop, Net
from heathwell.observability.event_log import EventLog, EventRecord, InMemoryEventLog, NullEventLog
from heathwell.settings import ServiceSettings


class NetOf(Protocol):
    """The network as the host of a process sees it."""

    def __call__(self, name: str) -> Net:
        """Return the network of the process of this name."""


def discard_log(*_arguments: object, **_fields: object) -> None:
    """Drop a log line."""


@dataclass(frozen=True, slots=True)
class LocalSurroundings:
    """The surroundings of the processes. Without ``event_records`` no events are recorded."""

    loop: Loop
    net_of: NetOf
    service_settings: ServiceSettings
    seed: int
    event_records: list[EventRecord] | None
    log: Callable[..., None]

    def event_log(self, name: str, role: str) -> EventLog:
        """Return the event log of a process."""
        if self.event_records is None:
            return NullEventLog()
        return InMemoryEventLog(self.event_records, name, role, self.loop.clock)
