"""The same loop on virtual time, with streams in memory: tests and simulated runs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from heathwell.eventloop.clock import VirtualClock
from heathwell.eventloop.loop import Coro, Loop, Stalled, sleep
from heathwell.eventloop.net import ConnectFailed, Handler, Listener, Stream, StreamBroken

WINDOW = 262_144  # bytes on their way or unread that a stream in memory carries in one direction


class VirtualPoller:
    """Nothing to poll: where the loop would wait, time jumps to its next timer."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    def poll(self, until_us: int | None) -> None:
        """Jump; raises :class:`Stalled` when nothing is left to wait for."""
        if until_us is None:
            raise Stalled("every task waits and no timer is set")
        if until_us > self.clock.now():
            self.clock.advance(until_us)

    def wake(self) -> None:
        """Other threads have no place on virtual time."""
        raise RuntimeError("virtual time has no other threads")

    def close(self) -> None:
        """Nothing to give back."""


@dataclass(slots=True)
class _Pipe:
    """One direction: what is on its way and what has arrived."""

    unread: deque[bytes] = field(default_factory=deque)
    size: int = 0
    held: deque[tuple[bytes, bool]] = field(default_factory=deque)
    last_at: int = 0
    ended: bool = False
    broken: bool = False


class VirtualStream(Stream):
    """One end of a stream in memory."""

    def __init__(self, net: VirtualNet, here: str, peer: str) -> None:
        super().__init__(net.loop, peer)
        self.net, self.here = net, here
        self.other: VirtualStream
        self.inbox = _Pipe()

    def _receive(self, size: int) -> bytes | None:
        pipe = self.inbox
        if pipe.unread:
            data = pipe.unread.popleft()
            if len(data) > size:
                pipe.unread.appendleft(data[size:])
                data = data[:size]
            pipe.size -= len(data)
            if not self.other.closed:
                self.other._flush()
            return data
        if pipe.broken:
            self._shut(reset=False)
            raise StreamBroken("reset")
        return b"" if pipe.ended else None

    def _flush(self) -> None:
        pipe = self.other.inbox
        while self._chunks and pipe.size < WINDOW:
            data = self._chunks.popleft()
            self.sent += len(data)
            pipe.size += len(data)
            self.net.carry(self, data)
        self._flushed()

    def _send_eof(self) -> None:
        self.net.carry(self, b"")

    def _drop(self, reset: bool) -> None:
        if reset or not self._eof_sent:
            self.net.carry(self, b"", reset=True)

    def arrived(self, data: bytes, reset: bool) -> None:
        """Bytes, the end or a reset have come over."""
        if reset:
            self.inbox.broken = True
        elif data:
            self.inbox.unread.append(data)
        else:
            self.inbox.ended = True
        if (reset or not data) and not self.closed:
            self._ended_there()
        self._readable()


class VirtualListener(Listener):
    """Accepts in memory."""

    def __init__(self, net: VirtualNet, address: str, handler: Handler, name: str, most: int) -> None:
        super().__init__(address, handler, name, most)
        self._net = net

    def close(self) -> None:
        """Accept no more."""
        self._net.listeners.pop(self.address, None)


class VirtualNet:
    """A net in memory. ``delay(from, to)`` gives a way's microseconds by host; ways may be cut."""

    def __init__(self, loop: Loop, delay: Callable[[str, str], int] | None = None) -> None:
        self.loop = loop
        self.delay = delay or (lambda _a, _b: 100)
        self.listeners: dict[str, VirtualListener] = {}
        self.cuts: set[tuple[str, str]] = set()
        self._ports = 10_000
        self._held: dict[tuple[str, str], list[VirtualStream]] = {}

    @staticmethod
    def host(address: str) -> str:
        """The part before the port."""
        return address.rpartition(":")[0]

    def cut(self, source: str, target: str) -> None:
        """What goes this way between hosts waits until :meth:`heal`."""
        self.cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """The way is open again: what was held goes on, in its order."""
        self.cuts.discard((source, target))
        for stream in self._held.pop((source, target), []):
            pipe = stream.other.inbox
            while pipe.held:
                self._schedule(stream, *pipe.held.popleft())

    def carry(self, stream: VirtualStream, data: bytes, reset: bool = False) -> None:
        """Bring bytes to the other end, in order and after the way's delay."""
        way = (self.host(stream.here), self.host(stream.peer))
        pipe = stream.other.inbox
        if way in self.cuts or pipe.held:
            if not pipe.held:
                self._held.setdefault(way, []).append(stream)
            pipe.held.append((data, reset))
            return
        self._schedule(stream, data, reset)

    def _schedule(self, stream: VirtualStream, data: bytes, reset: bool) -> None:
        pipe = stream.other.inbox
        way = self.delay(self.host(stream.here), self.host(stream.peer))
        pipe.last_at = max(pipe.last_at, self.loop.now() + way)
        self.loop.call_at(pipe.last_at, stream.other.arrived, data, reset)

    def connect(self, address: str, timeout_us: int, source: str = "client") -> Coro[Stream]:
        """A new connection from a host; raises :class:`ConnectFailed`."""
        target = self.host(address)
        way = self.delay(source, target) + self.delay(target, source)
        if (source, target) in self.cuts or (target, source) in self.cuts or way > timeout_us:
            yield from sleep(self.loop, timeout_us)
            raise ConnectFailed("no connection in time")
        yield from sleep(self.loop, way)
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectFailed("ECONNREFUSED")
        until = self.loop.now() + timeout_us
        while listener.pace is not None and (wait := listener.pace()):
            listener.paced += 1
            if self.loop.now() + wait > until:
                raise ConnectFailed("no connection in time")
            yield from sleep(self.loop, wait)
        if listener.on_accept is not None:
            listener.on_accept()
        if listener.open >= listener.most:
            listener.turned_away += 1
            raise ConnectFailed("ECONNRESET")
        self._ports += 1
        here = VirtualStream(self, f"{source}:{self._ports}", address)
        there = VirtualStream(self, address, here.here)
        here.other, there.other = there, here
        listener.accepted += 1
        listener.open += 1
        self.loop.spawn(listener.serve(there), f"{listener.name} {here.here}")
        return here

    def listen(self, address: str, handler: Handler, name: str, most: int = 20_000) -> Listener:
        """Serve connections; port 0 chooses one."""
        host, _, port = address.rpartition(":")
        if port == "0":
            self._ports += 1
            address = f"{host}:{self._ports}"
        if address in self.listeners:
            raise OSError(f"address {address} is taken")
        listener = self.listeners[address] = VirtualListener(self, address, handler, name, most)
        return listener

    def at(self, source: str) -> HostNet:
        """The net as one host sees it."""
        return HostNet(self, source)


class HostNet:
    """A virtual net from one host."""

    def __init__(self, net: VirtualNet, source: str) -> None:
        self.net, self.source = net, source

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """A connection from this host."""
        return self.net.connect(address, timeout_us, self.source)

    def listen(self, address: str, handler: Handler, name: str, most: int = 20_000) -> Listener:
        """As :meth:`VirtualNet.listen`."""
        return self.net.listen(address, handler, name, most)


def virtual_loop(seed: int | None = None) -> tuple[Loop, VirtualNet]:
    """A loop on virtual time and its net."""
    clock = VirtualClock()
    loop = Loop(clock, VirtualPoller(clock), seed)
    return loop, VirtualNet(loop)
