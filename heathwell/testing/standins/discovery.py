"""A stand-in for discovery: hosts register, brokers watch the endpoint list, which changes with a delay."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final

import msgspec

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream, StreamBrokenError
from heathwell.observability.event_log import EventLog, NullEventLog
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.endpoint_states import EndpointState, ListKind
from heathwell.testing.standins.fault_commands import parse_fault_kind, reply_to_fault_command
from heathwell.testing.standins.units import US_PER_SECOND

UNKNOWN_AGE_US: Final = -1
"""The age, on the wire, of a host that started at full capacity."""
BROKER_ROLES: Final = frozenset({"", "broker"})


class DiscoveryFault(StrEnum):
    """Kinds of faults, as fault commands name them on the wire."""

    OUTAGE = "down"
    DELAY = "late"
    CLEAR = "heal"


class Discovery:
    """The discovery service, which lists a host for as long as the host's connection is open."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        *,
        address: str | None = None,
        events: EventLog | None = None,
        log: Callable[..., None] | None = None,
    ) -> None:
        self._loop = loop
        self._net = net
        self._settings = service_settings.discovery
        self.address = address or service_settings.discovery.address
        self._events: EventLog = events or NullEventLog()
        self._log = log or (lambda *_args, **_fields: None)
        self._published: dict[str, frames.EndpointListEntry] = {}
        self._index = 0
        self._started_at_us: dict[str, int] = {}
        """When the process of each host started, for the hosts that reported their age."""
        self._connections: dict[str, Stream] = {}
        self._registered_nodes: dict[Stream, str] = {}
        self._watchers: dict[Stream, None] = {}
        self._outage_until_us = 0
        self._delayed_until_us = 0
        self._extra_delay_us = 0
        self._listener: Listener | None = None

    def start(self) -> str:
        """Listen and return the address."""
        self._listener = self._net.listen(self.address, self._serve, "discovery")
        self.address = self._listener.address
        return self.address

    def inject_fault(self, command: frames.FaultCommand) -> None:
        """Inject a fault. Raise :class:`FaultInjectionError`."""
        fault = parse_fault_kind(DiscoveryFault, command.kind)
        ends_at_us = self._loop.now() + command.span_us
        self._events("trouble", kind=command.kind, value=command.value, span=command.span_us)
        match fault:
            case DiscoveryFault.OUTAGE:
                self._outage_until_us = ends_at_us
                for stream in list(self._watchers):
                    stream.abort()
            case DiscoveryFault.DELAY:
                self._delayed_until_us = ends_at_us
                self._extra_delay_us = int(command.value * US_PER_SECOND)
            case DiscoveryFault.CLEAR:
                self._outage_until_us = 0
                self._delayed_until_us = 0

    # Connections

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream, "discovery", "discovery", lambda message: self._on_message(stream, message)
            )
        except (frames.FrameError, StreamBrokenError) as error:
            self._log("debug", "peer connection ended", peer=stream.peer, why=str(error))
        finally:
            self._watchers.pop(stream, None)
            self._on_host_disconnected(stream)

    def _on_host_disconnected(self, stream: Stream) -> None:
        node = self._registered_nodes.pop(stream, "")
        if node and self._connections.get(node) is stream:
            del self._connections[node]
            self._loop.call_at(
                self._loop.now() + self._settings.silent_notice, self._on_silence_timeout, node
            )

    def _on_silence_timeout(self, node: str) -> None:
        if node not in self._connections:
            self._change_state(node, EndpointState.GONE)

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        match message:
            case frames.Hello(role=role):
                if role in BROKER_ROLES and self._loop.now() < self._outage_until_us:
                    raise StreamBrokenError("broker rejected: the injected outage has not ended")
            case frames.Registration(entry=entry):
                self._on_registration(stream, entry)
            case frames.DrainNotice():
                self._change_state(self._registered_nodes.get(stream, ""), EndpointState.DRAINING)
            case frames.WatchRequest():
                self._on_watch_request(stream)
            case frames.FaultCommand():
                stream.write(frames.encode(reply_to_fault_command(self.inject_fault, message)))

    # Endpoint list

    def _on_registration(self, stream: Stream, entry: frames.EndpointListEntry) -> None:
        self._registered_nodes[stream] = entry.node
        self._connections[entry.node] = stream
        if entry.age_us >= 0:
            self._started_at_us[entry.node] = self._loop.now() - entry.age_us
        else:
            self._started_at_us.pop(entry.node, None)
        self._schedule_publication(entry)

    def _change_state(self, node: str, state: EndpointState) -> None:
        published = self._published.get(node)
        if published is not None:
            self._schedule_publication(msgspec.structs.replace(published, state=state.value))

    def _schedule_publication(self, entry: frames.EndpointListEntry) -> None:
        is_delayed = self._loop.now() < self._delayed_until_us
        delay_us = self._settings.notice + (self._extra_delay_us if is_delayed else 0)
        self._loop.call_at(self._loop.now() + delay_us, self._publish, entry)

    def _publish(self, entry: frames.EndpointListEntry) -> None:
        self._index += 1
        self._published[entry.node] = entry
        self._events("published", node=entry.node, state=entry.state)
        for stream in list(self._watchers):
            self._send(stream, ListKind.INCREMENTAL, [self._with_age(entry)])

    def _on_watch_request(self, stream: Stream) -> None:
        """Send the full list to a new watcher, and an empty update to one that watches already."""
        if stream in self._watchers:
            self._send(stream, ListKind.INCREMENTAL, [])
            return
        self._watchers[stream] = None
        entries = [
            self._with_age(entry) for entry in self._published.values() if entry.state != EndpointState.GONE
        ]
        self._send(stream, ListKind.FULL, entries)

    def _with_age(self, entry: frames.EndpointListEntry) -> frames.EndpointListEntry:
        """Return the entry with the current age of the host's process."""
        started_at_us = self._started_at_us.get(entry.node)
        age_us = UNKNOWN_AGE_US if started_at_us is None else self._loop.now() - started_at_us
        return msgspec.structs.replace(entry, age_us=age_us)

    def _send(self, stream: Stream, kind: ListKind, entries: list[frames.EndpointListEntry]) -> None:
        try:
            stream.write(frames.encode(frames.EndpointList(kind.value, self._index, entries)))
        except StreamBrokenError:
            self._watchers.pop(stream, None)
