"""A stand-in for the link between regions, on sockets: a relay that delays, limits, cuts, resets and flaps.

One listener a host behind the link. Each direction has conditions of its own; bytes keep their order, and
what a cut holds goes on after it, as TCP's own retransmission would have it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import (
    ConnectError,
    Coro,
    Event,
    Listener,
    Loop,
    Net,
    Stream,
    StreamBrokenError,
    sleep,
)

TROUBLES = ("delay", "rate", "loss", "cut", "oneway", "refuse", "reset", "flap", "heal")
CHUNK = 16_384
HELD_MOST = 1 << 20  # bytes on their way in one direction, then reading waits
LOOK_US = 5_000
SEGMENT = 1_448  # bytes a packet carries
RESEND_US, RESEND_MOST_US = (
    200_000,
    60_000_000,
)  # Linux' least time to a resend, doubled for each loss in a row
CONNECT_RESEND_US = 1_000_000  # a lost SYN or its answer (RFC 6298)


def lost_wait(size: int, loss: float, draws: random.Random, first: int = RESEND_US) -> int:
    """What losses add to the way of so many bytes (us): TCP hides a lost packet behind the time to its
    resend.

    The worse of TCP's two ways: short messages have no packets behind them whose acknowledgements would call
    for the lost one sooner. One wait for all packets of a write, as they are resent together.
    """
    waited, wait = 0, first
    while any(draws.random() < loss for _ in range(-(-size // SEGMENT))) and waited < RESEND_MOST_US:
        waited, wait, size = waited + wait, wait * 2, 1
    return waited


@dataclass(slots=True)
class Condition:
    """One direction of the link."""

    delay_us: int = 0
    jitter: float = 0.1
    rate: float = 0.0  # bytes a second; 0: no limit
    loss: float = 0.0  # share of packets
    cut_until: int = 0


class Relay:
    """Relays to hosts; ``out`` is towards them, ``back`` from them. ``where`` tells a target's address at the
    moment of a connect, empty while it has none.
    """

    def __init__(
        self, loop: Loop, net: Net, targets: list[str], seed: int = 1, where: Callable[[str], str] = str
    ) -> None:
        self.loop, self.net, self.targets, self.where = loop, net, targets, where
        self.random = random.Random(seed)
        self.out, self.back = Condition(), Condition()
        self.refuse_until = self.flap_until = 0
        self.routes: dict[str, str] = {}
        self.pairs: dict[tuple[Stream, Stream], None] = {}
        self.carried = self.connects = 0
        self.control: Listener | None = None

    def start(self, control: str = "127.0.0.1:0") -> str:
        """Open the doors; returns the address that takes orders. ``routes`` maps hosts to doors."""
        self.open_doors()
        self.control = self.net.listen(control, self._orders, "relay control")
        return self.control.address

    def open_doors(self) -> dict[str, str]:
        """Open a door a target, without taking orders on a socket."""
        for target in self.targets:
            door = self.net.listen("127.0.0.1:0", self._serving(target), f"relay to {target}")
            self.routes[target] = door.address
        return self.routes

    def order(self, control: frames.FaultCommand) -> str:
        """Make trouble as told; returns an error's text, or nothing."""
        kind, now = control.kind, self.loop.now()
        until = now + control.span_us
        if kind not in TROUBLES:
            return f"unknown trouble '{kind}'; known: {', '.join(TROUBLES)}"
        if kind == "heal":
            self.out, self.back = Condition(), Condition()
            self.refuse_until = self.flap_until = 0
        elif kind in ("delay", "rate", "loss"):
            for way in (self.out, self.back):
                if kind == "delay":
                    way.delay_us = int(control.value * 1e6)
                else:
                    setattr(way, kind, control.value)
            self.loop.call_at(until, self._plain, kind)
        elif kind == "cut":
            self.out.cut_until = self.back.cut_until = self.refuse_until = until
        elif kind == "oneway":
            (self.out if control.text == "out" else self.back).cut_until = until
        elif kind == "refuse":
            self.refuse_until = until
        elif kind == "reset":
            for pair in list(self.pairs):
                for stream in pair:
                    stream.abort()
        else:
            self.flap_until = until
            self._flap(max(int(control.value * 1e6), 100_000), True)
        return ""

    def _plain(self, kind: str) -> None:
        for way in (self.out, self.back):
            if kind == "delay":
                way.delay_us = 0
            else:
                setattr(way, kind, 0.0)

    def _flap(self, period: int, cut: bool) -> None:
        now = self.loop.now()
        if now >= self.flap_until:
            return
        if cut:
            self.out.cut_until = self.back.cut_until = now + period
        self.loop.call_at(now + period, self._flap, period, not cut)

    def _orders(self, stream: Stream) -> Coro[None]:
        def heard(message: frames.AnyMessage) -> None:
            if isinstance(message, frames.FaultCommand):
                stream.write(frames.encode(frames.FaultCommandReply(self.order(message))))

        return inner_protocol.serve(stream, "relay", "relay", heard)

    def _serving(self, target: str) -> Callable[[Stream], Coro[None]]:
        def serve(stream: Stream) -> Coro[None]:
            return self._carry(stream, target)

        return serve

    def _carry(self, near: Stream, target: str) -> Coro[None]:
        """One connection, both ways, until either side ends it."""
        self.connects += 1
        while self.loop.now() < max(self.refuse_until, self.out.cut_until):
            # Behind a cut nothing is known of a connect: no answer comes, and the caller gives up by itself.
            yield from sleep(self.loop, LOOK_US)
            if near.closed:
                return
        lost = lost_wait(1, self.out.loss, self.random, CONNECT_RESEND_US)
        if lost:
            yield from sleep(self.loop, lost)
            if near.closed:
                return
        address = self.where(target)
        if not address:
            near.abort()
            return
        try:
            far = yield from self.net.connect(address, 1_000_000)
        except ConnectError:
            near.abort()
            return
        pair = (near, far)
        self.pairs[pair] = None
        other = self.loop.spawn(self._pump(far, near, lambda: self.back), f"relay from {target}")
        try:
            yield from self._pump(near, far, lambda: self.out)
        finally:
            self.pairs.pop(pair, None)
            near.close()
            far.close()
            other.cancel()

    def _pump(self, source: Stream, sink: Stream, way: Callable[[], Condition]) -> Coro[None]:
        """Bytes of one direction, in order, each as late as the link was when it came."""
        queue: deque[tuple[int, bytes]] = deque()
        filled, room = Event(), Event()
        sender = self.loop.spawn(self._send(queue, filled, room, sink, way), f"link to {sink.peer}")
        last = 0
        try:
            while data := (yield from source.read(CHUNK)):
                condition, now = way(), self.loop.now()
                wait = condition.delay_us * (1 + self.random.uniform(-condition.jitter, condition.jitter))
                if condition.loss:
                    wait += lost_wait(len(data), condition.loss, self.random)
                if condition.rate:
                    wait += len(data) / condition.rate * 1e6
                    last += int(len(data) / condition.rate * 1e6)
                last = max(last, now + int(wait))
                queue.append((last, data))
                filled.set()
                while sum(len(chunk) for _, chunk in queue) > HELD_MOST and not sender.done:
                    room.clear()
                    yield from room.wait()
            while queue and not sender.done:
                room.clear()
                yield from room.wait()
            yield from self._while_cut(way)
            sink.end()
        except StreamBrokenError:
            yield from self._while_cut(way)
            sink.abort()
        finally:
            sender.cancel()

    def _while_cut(self, way: Callable[[], Condition]) -> Coro[None]:
        """Behind a cut nobody sees that a connection has ended."""
        while (left := way().cut_until - self.loop.now()) > 0:
            yield from sleep(self.loop, min(left, LOOK_US * 20))

    def _send(
        self,
        queue: deque[tuple[int, bytes]],
        filled: Event,
        room: Event,
        sink: Stream,
        way: Callable[[], Condition],
    ) -> Coro[None]:
        try:
            while True:
                while not queue:
                    filled.clear()
                    yield from filled.wait()
                due, data = queue[0]
                while (until := max(due, way().cut_until)) > self.loop.now():
                    yield from sleep(self.loop, min(until - self.loop.now(), LOOK_US * 20))
                sink.write(data)
                self.carried += len(data)
                yield from sink.drain()
                queue.popleft()
                room.set()
        except StreamBrokenError:
            room.set()


class RoutedNet:
    """A net that reaches some addresses by a relay's doors; the addresses themselves stay what they are
    called by.
    """

    def __init__(self, net: Net, routes: dict[str, str]) -> None:
        self.net, self.routes = net, routes
        self.listen = net.listen

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """As the net's, by way of the relay where there is one."""
        return self.net.connect(self.routes.get(address, address), timeout_us)
