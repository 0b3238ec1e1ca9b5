"""Stand-ins of the platform's protocol, for tests and a demo: nodes, discovery and a client; told to
misbehave.

A node answers a part after its work, as ``behave`` says; discovery serves one list, with watches; both keep
what they saw.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from heathwell.codec import nodeframes as nf
from heathwell.codec.http import ClientSide, Request, Response, ServerSide
from heathwell.eventloop import Coro, Event, Listener, Loop, Net, Stream, StreamBroken, Timer, sleep
from heathwell.observability.event_log import EventLog, NoEvents

_HEAD = struct.Struct(">I")


@dataclass(frozen=True, slots=True)
class Called:
    """One part as it arrived; ``number`` counts a node's arrivals."""

    id: str
    shard: int
    items: dict[str, str]
    text: bytes
    number: int = 0


def read_call(rest: bytes) -> Iterator[Called]:
    """The parts of a call's frame; raises :class:`ValueError`."""
    while rest:
        line, mark, rest = rest.partition(b"\n")
        words = line.decode().split(" ")
        if not mark or len(words) != 4:
            raise ValueError(f"a line of {len(words)} words")
        length = int(words[3])
        if length > len(rest):
            raise ValueError("the text is cut")
        yield Called(
            words[0], int(words[1]), dict(item.split("=", 1) for item in words[2].split(",")), rest[:length]
        )
        rest = rest[length:]


def value_of(shard: int, text: bytes, step: str = "") -> bytes:
    """What every node of a shard gives for a text."""
    return hashlib.sha256(b"%d %s " % (shard, step.encode()) + text).hexdigest()[:16].encode()


def answer(part: Called, end: int = 200, report: str = "inflight=1,util=0.5") -> bytes:
    """A good answer's frame, or one of another end."""
    step = ".fetch" if part.id.endswith(".fetch") else ""
    score = int(value_of(part.shard, part.text), 16) % 1000
    value = value_of(part.shard, part.text, step) if end == nf.PartStatus.OK else b""
    return nf.encode_frame(nf.ANSWER, f"{part.id} {end} {score} {report}\n".encode() + value)


class Node:
    """One node. ``behave(node, stream, part)`` is called once a part's work is done, None: a good answer."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        uid: str,
        cell: int,
        *,
        work_us: int = 20_000,
        events: EventLog | None = None,
    ) -> None:
        self.loop, self.net, self.uid, self.cell, self.work_us = loop, net, uid, cell, work_us
        self.events: EventLog = events or NoEvents()
        self.behave: Callable[[Node, Stream, Called], None] | None = None
        self.parts: list[Called] = []
        self.given_up: list[str] = []
        self.silent = self.draining = False
        self.boot_ms = 0
        self.streams: dict[Stream, None] = {}
        self._works: dict[str, Timer] = {}
        self.listener: Listener = net.listen(address, self._serve, f"node {uid}")
        self.address = self.listener.address

    @property
    def entry(self) -> dict[str, Any]:
        """Its line of discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "m",
            "pod_group": self.cell,
            "state": "draining" if self.draining else "up",
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    def kill(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        self.listener.close()
        for stream in list(self.streams):
            stream.abort()

    def _serve(self, stream: Stream) -> Coro[None]:
        self.streams[stream] = None
        buffer = bytearray()
        try:
            while data := (yield from stream.read()):
                buffer += data
                while len(buffer) >= 4 and len(buffer) >= 4 + (length := _HEAD.unpack_from(buffer)[0]):
                    letter, rest = bytes(buffer[4:5]), bytes(buffer[5 : 4 + length])
                    del buffer[: 4 + length]
                    self._heard(stream, letter, rest)
        finally:
            self.streams.pop(stream, None)

    def _heard(self, stream: Stream, letter: bytes, rest: bytes) -> None:
        if letter == nf.CALL:
            for called in read_call(rest):
                part = replace(called, number=len(self.parts))
                self.parts.append(part)
                self.events("arrive", p=part.id, node=self.uid, n=part.number, shard=part.shard, warmth=1.0)
                self._works[part.id] = self.loop.call_at(
                    self.loop.now() + self.work_us, self._done, stream, part
                )
        elif letter == nf.CANCEL:
            self.given_up.append(rest.decode())
            self.events("cancel", p=rest.decode(), node=self.uid)
        elif letter == nf.PROBE and not self.silent:
            stream.write(nf.encode_frame(nf.PROBE, b"200"))

    def _done(self, stream: Stream, part: Called) -> None:
        if self.silent or stream.closed:
            return
        if self.behave is not None:
            self.behave(self, stream, part)
            return
        self.served(part)
        stream.write(answer(part))

    def served(self, part: Called, outcome: str = "ok") -> None:
        """Note that a part ran (but for ``full``) and is answered."""
        if outcome != "full":
            self.events("begin", p=part.id, node=self.uid, n=part.number)
        self.events("done", p=part.id, node=self.uid, n=part.number, outcome=outcome)


class Registry:
    """Discovery: one list, watches that wait; ``down`` ends them, and answers 503. A call and each line of
    its answer take ``line_us`` of one worker, who serves them in turn: what would wait for ``PATIENCE_US`` is
    answered 503.
    """

    PATIENCE_US = 1_000_000

    def __init__(self, loop: Loop, net: Net, address: str, nodes: list[Node], *, line_us: int = 0) -> None:
        self.loop, self.rev, self.down, self.silent, self.line_us = loop, 1, False, False, line_us
        self.turned_away = self.called_us = 0
        self._free_at = 0
        self.calls: list[str] = []
        self.entries = {node.uid: (1, node.entry) for node in nodes}
        self._waiting: dict[Event, None] = {}
        self._streams: set[Stream] = set()
        self._mute: set[Stream] = set()
        self.listener = net.listen(address, self._serve, "registry")
        self.address = self.listener.address

    def put(self, entry: dict[str, Any]) -> None:
        """A changed entry."""
        self.rev += 1
        self.entries[entry["uid"]] = (self.rev, entry)
        self.wake()

    def fall_silent(self) -> None:
        """Connections that stand now say nothing more, and don't end."""
        self._mute |= self._streams

    def wake(self) -> None:
        """Let waiting watches look."""
        for waiting in self._waiting:
            waiting.set()

    def _serve(self, stream: Stream) -> Coro[None]:
        side = ServerSide()
        self._streams.add(stream)
        try:
            while data := (yield from stream.read()):
                for whole in side.feed(data):
                    if isinstance(whole, Request):
                        response = yield from self._answer(whole)
                        while self.silent or stream in self._mute:
                            yield from sleep(self.loop, 10_000)
                        stream.write(side.respond(response))
        finally:
            self._streams.discard(stream)
            self._mute.discard(stream)

    def _answer(self, request: Request) -> Coro[Response]:
        self.calls.append(request.query)
        self.called_us = self.loop.now()
        asked = dict(parse_qsl(request.query))
        since = int(asked.get("from", -1))
        until = self.loop.now() + int(asked.get("hold_ms", 0)) * 1000
        while since >= self.rev and not self.down and self.loop.now() < until:
            changed = Event()
            self._waiting[changed] = None
            timer = self.loop.call_at(until, changed.set)
            yield from changed.wait()
            timer.cancel()
            self._waiting.pop(changed, None)
        if self.down:
            return Response(503, b"down\n")
        targets = [
            entry
            for rev, entry in self.entries.values()
            if rev > since and (since >= 0 or entry["state"] != "removed")
        ]
        body = {"rev": self.rev, "all": since < 0, "targets": targets}
        if self.line_us:
            begin = max(self._free_at, self.loop.now())
            if begin - self.loop.now() > self.PATIENCE_US:
                self.turned_away += 1
                return Response(503, b"busy\n")
            self._free_at = begin + self.line_us * (1 + len(targets))
            yield from sleep(self.loop, self._free_at - self.loop.now())
        return Response(200, msgspec.json.encode(body), "application/json")


class Client:
    """One connection to a broker: requests by the page's form, one at a time."""

    def __init__(self, loop: Loop, net: Net, address: str) -> None:
        self.loop, self.net, self.address = loop, net, address
        self.side = ClientSide(address)
        self.stream: Stream | None = None

    def ask(
        self,
        name: str,
        kind: str,
        shards: list[int],
        *,
        wait_ms: int = 1000,
        key: str = "",
        text: str = "c41e77d0",
        hint: int = 9000,
        **more: Any,
    ) -> Coro[Response]:
        """One query, parts of equal weight; raises :class:`StreamBroken` where no answer comes."""
        headers = [("Req-Id", name), ("Req-Kind", kind), ("Req-Deadline", f"{wait_ms}m")]
        if key:
            headers.append(("Idempotency-Key", key))
        body = {
            "parts": [{"id": shard, "w": round(1 / len(shards), 4), "hint": hint} for shard in shards],
            "expr": text,
            **more,
        }
        return (yield from self.post(f"/{kind}", headers, msgspec.json.encode(body)))

    def post(self, target: str, headers: list[tuple[str, str]], body: bytes) -> Coro[Response]:
        """Any request."""
        return (yield from self.send(self.side.request("POST", target, headers, body)))

    def send(self, data: bytes) -> Coro[Response]:
        """Bytes as they are; the response they get."""
        if self.stream is None:
            self.stream = yield from self.net.connect(self.address, 1_000_000)
        self.stream.write(data)
        while True:
            more = yield from self.stream.read()
            if not more:
                raise StreamBroken("the broker closed")
            response = self.side.feed(more)
            if response is not None:
                return response
