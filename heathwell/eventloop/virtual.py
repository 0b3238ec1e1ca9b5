"""The loop on virtual time, with streams in memory, for tests and simulated runs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from heathwell.eventloop.clock import VirtualClock
from heathwell.eventloop.errors import (
    CONNECT_TIMED_OUT,
    CONNECTION_RESET,
    ConnectError,
    StalledError,
    StreamBrokenError,
)
from heathwell.eventloop.loop import Coro, Loop, sleep
from heathwell.eventloop.net import MAX_CONNECTIONS, Handler, Listener, Stream

WINDOW_BYTES = 262_144  # limit of the bytes in transit or unread in one direction of a stream
DEFAULT_DELAY_US = 100
FIRST_PORT = 10_000


class VirtualPoller:
    """Has no events: where the loop would wait, time advances to its next timer."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    def poll(self, until_us: int | None) -> None:
        """Advance the clock; raise :class:`StalledError` if no timer is set."""
        if until_us is None:
            raise StalledError("deadlock: every task waits and no timer is set")
        if until_us > self.clock.now():
            self.clock.advance(until_us)

    def wake(self) -> None:
        """Raise :class:`RuntimeError`: a loop on virtual time is single-threaded."""
        raise RuntimeError("a loop on virtual time cannot be woken from another thread")

    def close(self) -> None:
        """Do nothing: there are no resources to release."""


@dataclass(frozen=True, slots=True)
class _Segment:
    """Bytes, the end of the stream (no bytes) or a reset."""

    data: bytes = b""
    is_reset: bool = False


@dataclass(slots=True)
class _Pipe:
    """One direction of a stream; ``held`` are segments that wait for the end of a partition."""

    unread: deque[bytes] = field(default_factory=deque)
    size_bytes: int = 0  # in transit or unread
    held: deque[_Segment] = field(default_factory=deque)
    last_arrival_at_us: int = 0
    ended: bool = False
    broken: bool = False


class VirtualStream(Stream):
    """One end of a stream in memory."""

    def __init__(self, net: VirtualNet, local_address: str, peer: str) -> None:
        super().__init__(net.loop, peer)
        self.net = net
        self.local_address = local_address
        self.peer_stream: VirtualStream  # the peer's end, set by VirtualNet.connect
        self.inbox = _Pipe()

    def _receive(self, size: int) -> bytes | None:
        pipe = self.inbox
        if pipe.unread:
            data = pipe.unread.popleft()
            if len(data) > size:
                pipe.unread.appendleft(data[size:])
                data = data[:size]
            pipe.size_bytes -= len(data)
            if not self.peer_stream.closed:
                self.peer_stream.on_window_update()
            return data
        if pipe.broken:
            self._shut(reset=False)
            raise StreamBrokenError("reset")
        return b"" if pipe.ended else None

    def _flush(self) -> None:
        pipe = self.peer_stream.inbox
        while self._chunks and pipe.size_bytes < WINDOW_BYTES:
            data = self._chunks.popleft()
            self.sent += len(data)
            pipe.size_bytes += len(data)
            self.net.transmit(self, _Segment(data))
        self._flushed()

    def on_window_update(self) -> None:
        """Continue sending, as the peer has read bytes."""
        self._flush()

    def _send_eof(self) -> None:
        self.net.transmit(self, _Segment())

    def _drop(self, *, reset: bool) -> None:
        if reset or not self._eof_sent:
            self.net.transmit(self, _Segment(is_reset=True))

    def on_segment(self, segment: _Segment) -> None:
        """Handle the arrival of bytes, the end or a reset."""
        if segment.is_reset:
            self.inbox.broken = True
        elif segment.data:
            self.inbox.unread.append(segment.data)
        else:
            self.inbox.ended = True
        if (segment.is_reset or not segment.data) and not self.closed:
            self._report_hangup()
        self._readable()


class VirtualListener(Listener):
    """A listener of a :class:`VirtualNet`."""

    def __init__(
        self, net: VirtualNet, address: str, handler: Handler, name: str, max_connections: int
    ) -> None:
        super().__init__(address, handler, name, max_connections)
        self._net = net

    def close(self) -> None:
        """Accept no more connections."""
        self._net.listeners.pop(self.address, None)


class VirtualNet:
    """A net in memory, in which each direction between two hosts can be cut.

    ``delay(source, target)`` returns the one-way delay between two hosts in microseconds.
    """

    def __init__(self, loop: Loop, delay: Callable[[str, str], int] | None = None) -> None:
        self.loop = loop
        self.delay = delay or (lambda _source, _target: DEFAULT_DELAY_US)
        self.listeners: dict[str, VirtualListener] = {}
        self.cuts: set[tuple[str, str]] = set()
        self._last_port = FIRST_PORT
        self._held: dict[tuple[str, str], list[VirtualStream]] = {}

    @staticmethod
    def host(address: str) -> str:
        """Return the part of an address before the port."""
        return address.rpartition(":")[0]

    def cut(self, source: str, target: str) -> None:
        """Hold all segments from one host to another until :meth:`heal`."""
        self.cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """End a cut, and deliver the held segments in order."""
        self.cuts.discard((source, target))
        for stream in self._held.pop((source, target), []):
            pipe = stream.peer_stream.inbox
            while pipe.held:
                self._schedule(stream, pipe.held.popleft())

    def transmit(self, stream: VirtualStream, segment: _Segment) -> None:
        """Deliver a segment to the stream's other end, in order and after the delay."""
        direction = (self.host(stream.local_address), self.host(stream.peer))
        pipe = stream.peer_stream.inbox
        if direction in self.cuts or pipe.held:
            if not pipe.held:
                self._held.setdefault(direction, []).append(stream)
            pipe.held.append(segment)
            return
        self._schedule(stream, segment)

    def _schedule(self, stream: VirtualStream, segment: _Segment) -> None:
        pipe = stream.peer_stream.inbox
        delay_us = self.delay(self.host(stream.local_address), self.host(stream.peer))
        pipe.last_arrival_at_us = max(pipe.last_arrival_at_us, self.loop.now() + delay_us)
        self.loop.call_at(pipe.last_arrival_at_us, stream.peer_stream.on_segment, segment)

    def connect(self, address: str, timeout_us: int, source: str = "client") -> Coro[Stream]:
        """Open a connection from a host; raise :class:`ConnectError`."""
        target = self.host(address)
        round_trip_us = self.delay(source, target) + self.delay(target, source)
        is_cut = (source, target) in self.cuts or (target, source) in self.cuts
        if is_cut or round_trip_us > timeout_us:
            yield from sleep(self.loop, timeout_us)
            raise ConnectError(CONNECT_TIMED_OUT)
        yield from sleep(self.loop, round_trip_us)
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectError("ECONNREFUSED")
        yield from self._wait_in_backlog(listener, timeout_us)
        if listener.on_accept is not None:
            listener.on_accept()
        if listener.open >= listener.max_connections:
            listener.rejected += 1
            raise ConnectError(CONNECTION_RESET)
        return self._accept(listener, source)

    def _wait_in_backlog(self, listener: VirtualListener, timeout_us: int) -> Coro[None]:
        until_us = self.loop.now() + timeout_us
        while listener.accept_delay_us is not None and (wait_us := listener.accept_delay_us()):
            listener.delayed_accepts += 1
            if self.loop.now() + wait_us > until_us:
                raise ConnectError(CONNECT_TIMED_OUT)
            yield from sleep(self.loop, wait_us)

    def _accept(self, listener: VirtualListener, source: str) -> VirtualStream:
        self._last_port += 1
        client = VirtualStream(self, f"{source}:{self._last_port}", listener.address)
        server = VirtualStream(self, listener.address, client.local_address)
        client.peer_stream = server
        server.peer_stream = client
        listener.accepted += 1
        listener.open += 1
        self.loop.spawn(listener.serve(server), f"{listener.name} {client.local_address}")
        return client

    def listen(
        self, address: str, handler: Handler, name: str, max_connections: int = MAX_CONNECTIONS
    ) -> Listener:
        """Serve connections; port 0 selects a free one."""
        host, _, port = address.rpartition(":")
        if port == "0":
            self._last_port += 1
            address = f"{host}:{self._last_port}"
        if address in self.listeners:
            raise OSError(f"address {address} is already in use")
        listener = VirtualListener(self, address, handler, name, max_connections)
        self.listeners[address] = listener
        return listener

    def at(self, source: str) -> HostNet:
        """Return the net as used by one host."""
        return HostNet(self, source)


class HostNet:
    """A virtual net as used by one host: its connections come from there."""

    def __init__(self, net: VirtualNet, source: str) -> None:
        self.net = net
        self.source = source

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """Open a connection from this host; raise :class:`ConnectError`."""
        return self.net.connect(address, timeout_us, self.source)

    def listen(
        self, address: str, handler: Handler, name: str, max_connections: int = MAX_CONNECTIONS
    ) -> Listener:
        """Serve connections as :meth:`VirtualNet.listen` does."""
        return self.net.listen(address, handler, name, max_connections)


class VirtualRuntime(NamedTuple):
    """A loop on virtual time and its net."""

    loop: Loop
    net: VirtualNet


def virtual_loop(seed: int | None = None) -> VirtualRuntime:
    """Make a loop on virtual time and its net."""
    clock = VirtualClock()
    loop = Loop(clock, VirtualPoller(clock), seed)
    return VirtualRuntime(loop, VirtualNet(loop))
