"""A stand-in host list: knows whether processes run, tells it late, and is down on order."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream, StreamBrokenError
from heathwell.observability.event_log import EventLog, NoEvents
from heathwell.settings import ServiceSettings

TROUBLES = ("down", "late", "heal")


class Discovery:
    """The service: hosts register, brokers watch."""

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
        self.loop, self.net, self.service_settings = loop, net, service_settings
        self.address = address or service_settings.discovery.address
        self.events: EventLog = events or NoEvents()
        self.log = log or (lambda *_args, **_fields: None)
        self.public: dict[str, frames.EndpointListEntry] = {}
        self.seen: dict[str, int] = {}
        self.alive: dict[str, Stream] = {}
        self.registered: dict[Stream, str] = {}
        self.watchers: dict[Stream, None] = {}
        self.index = 0
        self.down_until = self.late_until = self.late_by = 0
        self.listener: Listener | None = None

    def start(self) -> str:
        """Open the door; returns the address."""
        self.listener = self.net.listen(self.address, self._serve, "discovery")
        self.address = self.listener.address
        return self.address

    def order(self, control: frames.FaultCommand) -> str:
        """Make trouble as told."""
        now = self.loop.now()
        if control.kind not in TROUBLES:
            return f"unknown trouble '{control.kind}'; known: {', '.join(TROUBLES)}"
        self.events("trouble", kind=control.kind, value=control.value, span=control.span_us)
        if control.kind == "down":
            self.down_until = now + control.span_us
            for stream in list(self.watchers):
                stream.abort()
        elif control.kind == "late":
            self.late_until, self.late_by = now + control.span_us, int(control.value * 1e6)
        else:
            self.down_until = self.late_until = 0
        return ""

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream, "discovery", "discovery", lambda message: self._heard(stream, message)
            )
        except (frames.FrameError, StreamBrokenError) as problem:
            self.log("debug", "peer lost", peer=stream.peer, why=str(problem))
        finally:
            self.watchers.pop(stream, None)
            node = self.registered.pop(stream, "")
            if node and self.alive.get(node) is stream:
                del self.alive[node]
                self.loop.call_at(
                    self.loop.now() + self.service_settings.discovery.silent_notice, self._missed, node
                )

    def _heard(self, stream: Stream, message: frames.AnyMessage) -> None:
        match message:
            case frames.Hello(role=role):
                if role in ("", "broker") and self.loop.now() < self.down_until:
                    raise StreamBrokenError("down by order")
            case frames.Registration(entry=entry):
                self.registered[stream] = entry.node
                self._registered(entry, stream)
            case frames.DrainNotice():
                self._change(self.registered.get(stream, ""), "draining")
            case frames.WatchRequest():
                self._watch(stream)
            case frames.FaultCommand():
                stream.write(frames.encode(frames.FaultCommandReply(self.order(message))))

    def _registered(self, entry: frames.EndpointListEntry, stream: Stream) -> None:
        self.alive[entry.node] = stream
        self.seen[entry.node] = self.loop.now() - entry.age_us if entry.age_us >= 0 else -1
        self._tell(entry)

    def _missed(self, node: str) -> None:
        if node not in self.alive:
            self._change(node, "gone")

    def _change(self, node: str, state: str) -> None:
        known = self.public.get(node)
        if known is not None:
            self._tell(
                frames.EndpointListEntry(node, known.cell, known.zone, state, known.birth, known.age_us)
            )

    def _tell(self, entry: frames.EndpointListEntry) -> None:
        """What is known now becomes public later, in order."""
        extra = self.late_by if self.loop.now() < self.late_until else 0
        self.loop.call_at(
            self.loop.now() + self.service_settings.discovery.notice + extra, self._publish, entry
        )

    def _publish(self, entry: frames.EndpointListEntry) -> None:
        self.index += 1
        self.public[entry.node] = entry
        self.events("published", node=entry.node, state=entry.state)
        for stream in list(self.watchers):
            self._send(stream, "update", [self._aged(entry)])

    def _watch(self, stream: Stream) -> None:
        known = stream in self.watchers
        self.watchers[stream] = None
        entries = [] if known else [self._aged(e) for e in self.public.values() if e.state != "gone"]
        self._send(stream, "update" if known else "full", entries)

    def _aged(self, entry: frames.EndpointListEntry) -> frames.EndpointListEntry:
        """The entry with its process's age as of now."""
        since = self.seen.get(entry.node, -1)
        age = self.loop.now() - since if since >= 0 else -1
        return frames.EndpointListEntry(entry.node, entry.cell, entry.zone, entry.state, entry.birth, age)

    def _send(self, stream: Stream, kind: str, entries: list[frames.EndpointListEntry]) -> None:
        try:
            stream.write(frames.encode(frames.EndpointList(kind, self.index, entries)))
        except StreamBrokenError:
            self.watchers.pop(stream, None)
