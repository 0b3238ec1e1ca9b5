"""The memcached front: each key of a get is a query of its own, one reply goes back, in request order.

What a client is told: docs/clients-memcached.md. In short: a miss is left out (or ``EN``); a value's
flags carry :data:`PARTIAL` and its body ``"whole": false`` where it is not whole; a query refused or
failed is a value too, flagged :data:`REFUSED` or :data:`LOST`, whose body says so and holds no data.
libmemcached gives its callers any error line of a get as a miss, so an error would not do; settings may
choose it all the same (``refusals error``). ``mg`` always tells it by ``SERVER_ERROR``.
"""

from __future__ import annotations

import zlib
from base64 import b64encode
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from heathwell import __version__
from heathwell.broker.query_state import Handle
from heathwell.broker.replies import ANSWERED, FAILED, MISS, Age, Reply
from heathwell.codec import memcached as mc
from heathwell.eventloop import Coro, Event, Overrun, Stream, StreamBroken
from heathwell.servers.client_connection import ClientConnection
from heathwell.service.coverage import encode_cover
from heathwell.service.regions import IdleClient
from heathwell.service.retry_storms import ConnectionLimiter
from heathwell.service.service_broker import ServiceBroker

# Above the bits that pymemcache and libmemcached give a meaning of their own.
DRAIN_LOOK_US = 250_000
SPARE = 64  # connections over the limit that are still looked at, to be turned away by the front's own rules
PARTIAL, REFUSED, LOST, STALE = 1 << 16, 1 << 17, 1 << 18, 1 << 19
_json = msgspec.json.Encoder()


@dataclass(slots=True)
class Slot:
    """One command whose reply keeps its place in the order."""

    command: mc.Get | mc.MetaGet | None
    replies: list[Reply | None] = field(default_factory=list)
    left: int = 0
    ready: bytes | None = None
    handles: list[Handle | None] = field(default_factory=list)


class MemcachedFront:
    """Serves connections; counts what it could not serve."""

    def __init__(self, broker: ServiceBroker, log: Callable[..., None]) -> None:
        self.broker, self.log = broker, log
        self.started = broker.loop.now()
        self.connections: dict[Connection, None] = {}
        self.numbers: dict[int, Connection] = {}
        limits = broker.service_settings.limits
        self.connection_limiter = ConnectionLimiter(limits.clients, limits.clients_an_address)
        self.total = self.gets = self.cut_slow = self.bad = self.refused_writes = 0
        if broker.client_drain.spread_us:
            broker.loop.call_at(self.started + DRAIN_LOOK_US, self._let_go)

    def serve(self, stream: Stream) -> Coro[None]:
        """One connection, from its first byte to its last."""
        self.total += 1
        connection = Connection(self, stream)
        verdict = self.connection_limiter.admit(
            connection.number,
            stream.peer.rpartition(":")[0],
            lambda number: self.numbers[number].close_if_idle(),
        )
        if not verdict.is_admitted:
            stream.write(mc.server_error("heathwell too many connections"))
            return
        self.numbers[connection.number] = connection
        if verdict.evicted is not None:
            self.log("info", "client closed for another", client=self.numbers[verdict.evicted].stream.peer)
        self.connections[connection] = None
        try:
            yield from connection.run()
        except Overrun as problem:
            self.cut_slow += 1
            self.log("info", "client cut off", client=stream.peer, why=str(problem))
        finally:
            self.connections.pop(connection, None)
            self.numbers.pop(connection.number, None)
            self.connection_limiter.on_closed(connection.number)
            connection.gone()

    def _let_go(self) -> None:
        """Idle clients of a broker that is cut off, or whose zone is left, are closed as the decider draws
        them.
        """
        broker, now = self.broker, self.broker.loop.now()
        if broker.dead:
            return
        broker.loop.call_at(now + DRAIN_LOOK_US, self._let_go)
        broker.client_drain.tick(now, is_cut_off=broker.sends_away)
        if not broker.client_drain.is_active:
            return
        known = {connection.number: connection for connection in self.connections}
        idle = (IdleClient(each.number, each.since) for each in self.connections if each.is_idle)
        for number in broker.client_drain.take_due(now, idle):
            if known[number].close_if_idle():
                self.log("debug", "client let go", client=known[number].stream.peer)
            else:
                broker.client_drain.closed_count -= 1  # its request is served first; it is drawn anew

    def hand_over(self) -> int:
        """Close the connections on which nothing is asked: another process takes what comes next. How many
        are left.
        """
        for connection in list(self.connections):
            connection.close_if_idle()
        return sum(not connection.stream.closed for connection in self.connections)

    def stats(self) -> dict[str, object]:
        """Figures for the ``stats`` command."""
        broker = self.broker
        return {
            "pid": 0,
            "uptime": (broker.loop.now() - self.started) // 1_000_000,
            "version": __version__,
            "curr_connections": len(self.connections),
            "total_connections": self.total,
            "cmd_get": self.gets,
            "queries_held": sum(q.on_reply is not None for q in broker.queries.values()),
            "hosts_known": len(broker.aggregator.endpoints),
            "bad_commands": self.bad,
            "clients_cut_slow": self.cut_slow,
            "clients_refused": self.connection_limiter.rejected_count,
            "clients_closed_for_others": self.connection_limiter.evicted_count,
            "writes_refused": self.refused_writes,
            "stopping": int(broker.stopping),
        }


class Connection(ClientConnection):
    """One client: commands in, replies out in their order, a bounded number at work."""

    def __init__(self, front: MemcachedFront, stream: Stream) -> None:
        super().__init__(stream, front.total)
        self.front = front
        self.since = front.broker.loop.now()
        limits = front.broker.service_settings.limits
        self.parser = mc.Requests(limits.line, limits.keys_a_get)
        self.most = limits.pipelined
        stream.hard_limit = limits.unread
        stream.high_water = min(stream.high_water, limits.unread // 2)
        self.slots: deque[Slot] = deque()
        self.asked = 0
        self.quitting = False
        self._room = Event()
        self._overrun: Overrun | None = None

    def run(self) -> Coro[None]:
        """Read until the client has no more to ask and everything asked is answered."""
        self.stream.on_close = self.gone
        while not self.quitting:
            data = yield from self.read()
            if not data:
                break
            for command in self.parser.feed(data):
                self.take(command)
                if self.quitting:
                    break
                yield from self._pause()
        while self.slots and not self.stream.closed:
            yield from self._wait_room()
        yield from self._flush_out()

    @property
    def is_idle(self) -> bool:
        """Nothing is asked, nothing is half said either way."""
        return not self.slots and not self.stream.unsent and not self.parser.midway

    def _pause(self) -> Coro[None]:
        """Backpressure: read on only while few commands are at work and the client takes its replies."""
        while len(self.slots) >= self.most and not self.stream.closed:
            yield from self._wait_room()
        yield from self._flush_out()

    def _wait_room(self) -> Coro[None]:
        self._room.clear()
        yield from self._room.wait()
        if self._overrun is not None:
            raise self._overrun

    def _flush_out(self) -> Coro[None]:
        if self._overrun is not None:
            raise self._overrun
        yield from self.stream.drain()

    def gone(self) -> None:
        """The connection is lost: nobody waits for what is still asked."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            for handle, reply in zip(slot.handles, slot.replies, strict=False):
                if handle is not None and reply is None:
                    handle.disconnect()
        self._room.set()

    def take(self, command: mc.Command) -> None:
        """One command."""
        slot = Slot(None)
        self.slots.append(slot)
        match command:
            case mc.Get(keys=keys):
                slot.command = command
                self._ask(slot, keys)
                return
            case mc.MetaGet(key=key):
                slot.command = command
                self._ask(slot, (key,))
                return
            case mc.Noop():
                slot.ready = b"MN\r\n"
            case mc.Refuse(quiet=quiet):
                self.front.refused_writes += 1
                slot.ready = b"" if quiet else mc.server_error(mc.READ_ONLY)
            case mc.Bad(line=line):
                self.front.bad += 1
                slot.ready = line
            case mc.Simple():
                slot.ready = self._simple(command)
        self._write_ready()

    def _simple(self, command: mc.Simple) -> bytes:
        match command.name:
            case "version":
                return b"VERSION " + __version__.encode() + b"\r\n"
            case "stats" if command.args[:1] == (b"reset",):
                return b"RESET\r\n"
            case "stats":
                return mc.stat_lines(self.front.stats() if not command.args else {})
            case "verbosity":
                return b"" if command.quiet else b"OK\r\n"
        self.quitting = True
        return b""

    def _ask(self, slot: Slot, keys: tuple[bytes, ...]) -> None:
        broker = self.front.broker
        self.front.connection_limiter.on_request(self.number)
        self.front.gets += len(keys)
        self.asked += 1
        request = f"{self.stream.peer}#{self.asked}"
        slot.replies = [None] * len(keys)
        slot.left = len(keys)
        for index, key in enumerate(keys):

            def done(reply: Reply, index: int = index) -> None:
                slot.replies[index] = reply
                slot.left -= 1
                if not slot.left:
                    self._finish(slot)

            slot.handles.append(
                broker.ask(key.decode("utf-8", "replace"), done, request, self.stream.peer.rpartition(":")[0])
            )

    def _finish(self, slot: Slot) -> None:
        command, replies = slot.command, [reply for reply in slot.replies if reply is not None]
        if isinstance(command, mc.Get):
            by_error = self.front.broker.service_settings.broker.refusals == "error"
            slot.ready = b"".join(classic(command, replies, by_error))
        elif command is not None:
            slot.ready = meta(command, replies[0])
        self._write_ready()

    def _write_ready(self) -> None:
        """Send what is finished at the head of the order."""
        try:
            while self.slots and self.slots[0].ready is not None:
                ready = self.slots.popleft().ready
                if ready:
                    self.stream.write(ready)
        except Overrun as problem:
            self._overrun = problem
        except StreamBroken:
            pass  # the reading side ends the connection
        self._room.set()


def body(reply: Reply) -> bytes:
    """A value: the coverage first, so that even a cut-off reader meets it before the data."""
    cover = reply.coverage
    return _json.encode(
        {
            "whole": reply.complete,
            "coverage": {
                "parts": [cover.answered_parts, cover.requested_parts],
                "weight": cover.weight,
                "need": cover.required_fraction,
                "floor": cover.minimum_fraction,
                "missing": list(cover.missing),
                "items": [cover.second_step_answered, cover.second_step_requested],
                **({"set": b64encode(encode_cover(cover.cover)).decode()} if reply.age is not None else {}),
            },
            **(age_words(reply.age) if reply.age is not None else {}),
            **reply.body,
        }
    )


def age_words(age: Age) -> dict[str, object]:
    """What is said of an answer's age: the greatest it can have (null: unknown), rounded up."""
    words: dict[str, object] = {
        "age_ms": None if age.bound_us is None else -(-age.bound_us // 1000),
        "stale": age.stale,
        "token": age.token,
    }
    if not age.consistent:
        words["consistent"] = False
    if age.behind:
        words["behind"] = list(age.behind)
    return words


def flags_of(reply: Reply) -> int:
    """The client flags of a value."""
    stale = reply.age is not None and (reply.age.stale or bool(reply.age.behind))
    return (0 if reply.complete else PARTIAL) | (STALE if stale else 0)


def unanswered_body(reply: Reply) -> bytes:
    """The value that stands for an answer that could not be had."""
    word = "failed" if reply.kind == FAILED else "refused"
    why = {"why": reply.reason} if reply.reason else {}
    return _json.encode(
        {"whole": False, word: True, "retry_after_ms": -(-reply.retry_after_us // 1000), **why}
    )


def classic(command: mc.Get, replies: list[Reply], by_error: bool = False) -> Iterator[bytes]:
    """The reply of a classic get: the values, then ``END`` (or the error that names what could not
    be had).
    """
    lost: dict[str, list[int]] = {}
    after = 0
    for index, (key, reply) in enumerate(zip(command.keys, replies, strict=True), 1):
        if reply.kind == MISS:
            continue
        if reply.kind != ANSWERED and by_error:
            lost.setdefault(reply.kind, []).append(index)
            after = max(after, reply.retry_after_us)
            continue
        if reply.kind == ANSWERED:
            flags, data = flags_of(reply), body(reply)
        else:
            flags, data = LOST if reply.kind == FAILED else REFUSED, unanswered_body(reply)
        yield mc.value(key, flags, data, zlib.crc32(data) if command.cas else None)
    yield mc.server_error(unanswered(lost, after)) if lost else mc.END


def unanswered(lost: dict[str, list[int]], after_us: int) -> str:
    """The stable text of an error: ``heathwell refused=1,3-5 failed=2 retry-after-ms=250``."""
    words = [f"{kind}={ranges(lost[kind])}" for kind in sorted(lost, reverse=True)]
    if after_us:
        words.append(f"retry-after-ms={-(-after_us // 1000)}")
    return "heathwell " + " ".join(words)


def ranges(numbers: list[int]) -> str:
    """Numbers in a row as ``3-5``."""
    runs: list[list[int]] = []
    for number in numbers:
        if runs and number == runs[-1][1] + 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in runs)


def meta(command: mc.MetaGet, reply: Reply) -> bytes:
    """The reply of an ``mg``."""
    if reply.kind == ANSWERED:
        data = body(reply)
        return mc.meta_value(command, flags_of(reply), data, zlib.crc32(data))
    if reply.kind == MISS:
        return mc.meta_miss(command)
    word = "failed" if reply.kind == FAILED else "refused"
    return mc.server_error(unanswered({word: [1]}, reply.retry_after_us))
