"""Connections to the platform's nodes: parts as frames, and every attempt's end told as what it was.

An id on the wire is the part's, not the attempt's. So an id goes over a connection once: an attempt at a node
that was sent the same part before goes over another connection, and what is heard on one can only be of the
attempt it carried. What is given up stays known there until its answer comes or its time is long over, and is
then counted and dropped.

A connection that breaks is no word on its node: a process that died refuses the next one, a machine that is
lost does not answer it. So the end of what was out is told once a new connection came up (the attempt is
lost, it may have run) or did not (it broke with its node).

A node that closes right after an answer takes what else is out on that connection with it. While it does so
each connection carries one part, and is used again only once it has outlived its answer.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from heathwell import policy
from heathwell.broker.driver import Key
from heathwell.broker.idle_connections import IdleTime
from heathwell.codec import nodeframes as nf
from heathwell.gateway.config import Connections
from heathwell.kernel import ConnectFailed, Coro, Loop, Net, Stream, StreamBroken, Task, Timer

OUTCOMES = {
    nf.SERVED: policy.Outcome.OK,
    nf.ERROR: policy.Outcome.ERROR,
    nf.TURNED_AWAY: policy.Outcome.REJECTED,
}
CLOSE_EARLY = (
    0.8  # of the idle time after which nodes close: ours goes first, so that no part crosses its end
)
SUSPECT_TIMES = (
    4  # usual times to an answer without a byte, after which a connection is not trusted with more
)
SUSPECT_LEAST_US, SUSPECT_MOST_US = 40_000, 1_000_000
USUAL_GAIN = 0.1  # weight of one answer in a node's usual time
GIVEN_UP_US = (
    60_000_000  # how long an id that was given up is known on its connection: a node may hang for long
)
ANSWERED_US = 1_000_000  # how long one that was answered is: a second copy comes just behind the first
KNOWN_MOST = 1024  # ids so known a connection and kind; with more the oldest goes
CONNECTIONS_A_NODE = 4
SINGLE_AFTER = (
    3  # connections in a row that a node closed right after an answer, from which each carries one part
)
SINGLE_ANSWERS = 2  # answers of a connection up to which it counts as one of those: others close by chance
SINGLE_CONNECTIONS = 16
SOON_US = 50_000  # after an answer: an end within it is the node's way to close, what outlives it is kept


@dataclass(frozen=True, slots=True)
class NodeAsk:
    """One attempt: ``line`` gives its line and text in a call, of how long (ms) it is waited for when that
    leaves; it is waited for until ``until_us`` (clock).
    """

    id: str
    seq: int
    line: Callable[[int], bytes]
    until_us: int


class Owner(Protocol):
    """Who is told how attempts and probes end."""

    def on_attempt_result(self, node: str, key: Key, outcome: policy.Outcome, result: Any) -> None:
        """One outcome an attempt."""

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """One outcome a probe."""

    def on_late_answer(self, node: str) -> None:
        """An answer to an attempt whose end was told already."""


class Room:
    """The descriptors that nodes may take, all links together; the longest idle connection makes room for a
    new one.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.open = 0
        self.idle: OrderedDict[Connection, None] = OrderedDict()

    def take(self) -> bool:
        """A place for one more connection; false where all are at work."""
        if self.open >= self.most and self.idle:
            next(iter(self.idle)).close()
        if self.open >= self.most:
            return False
        self.open += 1
        return True


class Recent:
    """Ids of a while, the latest ``KNOWN_MOST`` at most."""

    def __init__(self, span_us: int) -> None:
        self._span = span_us
        self._at: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._at

    def note(self, name: str, now: int) -> None:
        """An id of now; those whose while is over are forgotten."""
        self._at[name] = now
        while len(self._at) > KNOWN_MOST or next(iter(self._at.values())) < now - self._span:
            self._at.popitem(last=False)


@dataclass(slots=True)
class Sent:
    """An attempt on a connection; ``ends`` is where its frame ends in the stream, None: not written."""

    key: Key
    at: int
    ends: int | None = None


class Connection:
    """One connection of a link, from its connect to its end."""

    def __init__(self, link: NodeLink) -> None:
        self.link, self.loop = link, link.loop
        self.address = link.address
        self.out: dict[str, Sent] = {}
        self.given_up = Recent(GIVEN_UP_US)
        self.answered = Recent(ANSWERED_US)
        self.retired = False
        self.stream: Stream | None = None
        self._incoming = nf.Incoming()
        self._waiting: deque[list[NodeAsk]] = deque()  # calls of which nothing has left
        self.bereft: dict[
            str, Key
        ] = {}  # attempts of a connection that broke, whose end this one's connect tells
        self.answered_at: int | None = None
        self.answers = 0
        self._probes: deque[int] = deque()  # numbers of probes in the order sent; answers come in it
        self._unsent_probes: list[int] = []
        self._waits_since: int | None = None
        self._idle = IdleTime(
            self.loop, int(link.limits.idle_us * CLOSE_EARLY), lambda: self.busy, self.close
        )
        self._ended = policy.Outcome.UNREACHABLE
        self._over = self._ours = self._handing = False
        self._task: Task = self.loop.spawn(self._run(), f"node {link.node}")

    # What the link asks for.

    def takes(self, part: str) -> bool:
        """Whether this part may go here: its id is fresh, and there is room."""
        if self.link.single and (self.out or self._just_answered):
            return False
        return not self.retired and self.fresh(part) and len(self.out) < self.link.limits.streams

    def fresh(self, part: str) -> bool:
        """Whether what is heard of this id here could be of no other attempt."""
        return part not in self.out and part not in self.given_up and part not in self.answered

    @property
    def _just_answered(self) -> bool:
        return self.answered_at is not None and self.loop.now() - self.answered_at < SOON_US

    @property
    def silent(self) -> bool:
        """Something was asked long ago, and nothing at all was heard since, though it may have been
        given up.
        """
        return self._waits_since is not None and self.loop.now() - self._waits_since > self.link.suspect_us

    def outlived(self, sent_at: int) -> None:
        """What was sent later over another connection was answered: if this one is silent it is lost, its
        node is not. Nobody waits for what is out here any more; it may have run.
        """
        if self.silent and self._waits_since is not None and self._waits_since < sent_at:
            self._ended = policy.Outcome.TIMED_OUT
            self.close()

    @property
    def busy(self) -> bool:
        """Whether anybody still waits for something here."""
        return bool(self.out) or any(self.link.waits_for(n) for n in [*self._probes, *self._unsent_probes])

    def send(self, parts: list[NodeAsk]) -> None:
        """Send a call."""
        self.link.room.idle.pop(self, None)
        for ask in parts:
            self.out[ask.id] = Sent((ask.id, ask.seq), self.loop.now())
        self._waiting.append(parts)
        self._hand_on()

    def give_up(self, part: str) -> None:
        """The end of an attempt was told by the owner: stop waiting for it."""
        if self.bereft.pop(part, None) is not None:
            return
        sent = self.out.pop(part)
        if sent.ends is None:
            for parts in self._waiting:
                parts[:] = [ask for ask in parts if ask.id != part]
        else:
            self.given_up.note(part, self.loop.now())
            self._write(nf.frame(nf.GIVE_UP, part.encode()))
            if self.stream is not None and not self.stream.closed and self.stream.unsent:
                # Behind a full socket it is not given up yet, and the owner may send it elsewhere at once.
                self.link.note("given up by its end", "the node reads nothing")
                self.close()
                return
        self._rest()

    def holds_back(self, part: str) -> bool:
        """Whether nothing of this part has been written here."""
        return part in self.out and self.out[part].ends is None

    def probe(self, number: int) -> None:
        """Ask for a sign of life."""
        self.link.room.idle.pop(self, None)
        if self.stream is None:
            self._unsent_probes.append(number)
        else:
            self._ask_probe(number)

    def close(self) -> None:
        """Let go; what is out ends as broken."""
        self._ours = True
        self._task.cancel()
        self._finish()

    # Its life.

    def _run(self) -> Coro[None]:
        try:
            self.stream = yield from self._connect()
            self._ended = policy.Outcome.BROKEN
            bereft, self.bereft = self.bereft, {}
            for key in bereft.values():
                self.link.ended(key, policy.Outcome.CONNECTION_LOST, None)
            self.stream.on_flushed = self._hand_on
            self._hand_on()
            probes, self._unsent_probes = self._unsent_probes, []
            for number in probes:
                self._ask_probe(number)
            self._rest()
            while data := (yield from self.stream.read()):
                self._heard(data)
        except ConnectFailed as problem:
            self.link.note("no connection", str(problem))
        except StreamBroken as problem:
            if self.out:
                self.link.note("connection lost", str(problem))
        except nf.FrameError as problem:
            # The part has run, and the connection is of no further use to those that wait behind it.
            self.link.spoilt += 1
            if self.out:
                self.link.note("spoilt answer", f"{problem.part or 'of no part'}: {problem}")
            self._ended = policy.Outcome.ERROR
        finally:
            self._finish()

    def _connect(self) -> Coro[Stream]:
        try:
            return (yield from self.link.net.connect(self.address, self.link.limits.connect_us))
        except ConnectFailed as problem:
            if not problem.reset:
                raise
        return (yield from self.link.net.connect(self.address, self.link.limits.connect_us))

    def _heard(self, data: bytes) -> None:
        if self.answered_at is not None and not self._just_answered:
            self.link.closes = 0  # it outlived an answer
        for message in self._incoming.feed(data):
            match message:
                case nf.PartAnswer():
                    self._answered(message)
                case nf.ProbeAnswer(ok=ok):
                    if not self._probes:
                        raise nf.FrameError("an answer to no probe")
                    self.link.probe_over(
                        self._probes.popleft(), policy.Outcome.OK if ok else policy.Outcome.ERROR
                    )
                case nf.Unusable(words=words):
                    self.link.note("a frame could not be used", words)
                    raise StreamBroken("the node could not use a frame")
        if self._incoming.left and not self.out and not self._probes:
            raise nf.FrameError("bytes that belong to nothing")
        self._waits_since = self.loop.now() if self.out or self._probes else None
        self._rest()

    def _answered(self, message: nf.PartAnswer) -> None:
        sent = self.out.pop(message.id, None)
        self.answered_at = self.loop.now()
        self.answers += 1
        if sent is not None:
            self.answered.note(message.id, self.loop.now())
            self.link.ended(sent.key, OUTCOMES[message.end], message)
            self.link.heard(self, sent.at)
        elif message.id in self.given_up or message.id in self.answered:
            self.link.late_answers += (
                1  # its end was told already, or this is a second copy: nothing comes of it
            )
            self.link.owner.on_late_answer(self.link.node)
        else:
            raise nf.FrameError(f"an answer of unknown id {message.id[:64]!r}")

    def _hand_on(self) -> None:
        """Write calls while the socket takes them: one that waits here has provably not left, and may be
        taken back.
        """
        stream = self.stream
        if stream is None or self._handing:  # the socket tells that it has taken a call while that is written
            return
        self._handing = True
        while self._waiting and not (stream.closed or stream.unsent):
            parts = self._waiting.popleft()
            if not parts:
                continue
            now = self.loop.now()
            data = nf.call([ask.line(max(1, (ask.until_us - now) // 1000)) for ask in parts])
            for ask in parts:
                if ask.id in self.out:
                    self.out[ask.id].ends = stream.queued + len(data)
            self._wait()
            self._write(data)
        self._handing = False

    def _ask_probe(self, number: int) -> None:
        self._probes.append(number)
        self._wait()
        self._write(nf.frame(nf.PROBE))

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.offer(data)  # the reading side tells the ends of a broken one

    def _wait(self) -> None:
        if self._waits_since is None:
            self._waits_since = self.loop.now()

    def _rest(self) -> None:
        """Look whether nothing waits any more: then the idle time runs, or a retired connection ends."""
        if self._over or self.stream is None or self.busy:
            return
        if self.retired:
            self.close()
            return
        self.link.room.idle[self] = None
        self.link.room.idle.move_to_end(self)
        self._idle.rests()

    def _finish(self) -> None:
        """The connection is gone: what had not been written whole provably never ran, the rest may have."""
        if self._over:
            return
        self._over = True
        self.link.room.open -= 1
        self.link.room.idle.pop(self, None)
        self.link.connections.remove(self)
        self._idle.cancel()
        if self._ended == policy.Outcome.BROKEN and not self._ours and self.answered_at is not None:
            self.link.ended_soon += self._just_answered
            at_once = self._just_answered and self.answers <= SINGLE_ANSWERS
            self.link.closes = self.link.closes + 1 if at_once else 0
        stream, out, self.out = self.stream, self.out, {}
        written = stream.sent if stream is not None else 0
        if stream is not None:
            stream.abort() if out or stream.unsent else stream.close()
        for key in self.bereft.values():
            self.link.ended(key, policy.Outcome.BROKEN, None)
        never = [sent for sent in out.values() if sent.ends is None or sent.ends > written]
        # A connection that stood is no word on its node: only one that never came up tells that it can't be
        # met.
        outcome = (
            policy.Outcome.UNREACHABLE if stream is None and not self._ours else policy.Outcome.NEVER_SENT
        )
        for sent in never:
            self.link.ended(sent.key, outcome, None)
            del out[sent.key[0]]
        probes = [*self._probes, *self._unsent_probes]
        if self._ended == policy.Outcome.BROKEN and not self.link.closing:
            self.link.broke(
                [sent.key for sent in out.values()], [n for n in probes if self.link.waits_for(n)]
            )
            return
        for sent in out.values():
            self.link.ended(sent.key, self._ended, None)
        for number in probes:
            self.link.probe_over(number, self._ended)


class NodeLink:
    """One broker's way to one node, by as many connections as its parts need."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        node: str,
        address: str,
        owner: Owner,
        limits: Connections,
        room: Room,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.net, self.node, self.address, self.owner = loop, net, node, address, owner
        self.limits, self.room, self.log = limits, room, log
        self.connections: list[Connection] = []
        self.out: dict[Key, Connection] = {}
        self.late_answers = self.spoilt = self.connects = self.breaks = 0
        self.ended_soon = 0  # connections that the node ended right after an answer
        self.closes = 0  # connections in a row that the node closed right after an answer
        self.closing = False
        self._usual = float(SUSPECT_LEAST_US)
        self._probes: dict[int, Timer] = {}
        self._probe_no = 0

    def figures(self) -> dict[str, int]:
        """What has passed here so far."""
        return {name: getattr(self, name) for name in ("connects", "breaks", "late", "spoilt", "ended_soon")}

    @property
    def up(self) -> bool:
        """Whether a connection stands."""
        return any(connection.stream is not None for connection in self.connections)

    @property
    def single(self) -> bool:
        """Whether each connection carries one part now."""
        return self.closes >= SINGLE_AFTER

    @property
    def suspect_us(self) -> int:
        """Silence from which a connection is not trusted."""
        return int(min(max(SUSPECT_TIMES * self._usual, SUSPECT_LEAST_US), SUSPECT_MOST_US))

    def heard(self, connection: Connection, sent_at: int) -> None:
        """An answer came to what was sent then."""
        self._usual += (self.loop.now() - sent_at - self._usual) * USUAL_GAIN
        for other in list(self.connections):
            if other is not connection:
                other.outlived(sent_at)

    def waits_for(self, probe: int) -> bool:
        """Whether a probe has not ended yet."""
        return probe in self._probes

    def move(self, address: str) -> None:
        """The node is met at another address from now on; what is out where it was goes on."""
        if address != self.address:
            self.address = address
            self._retire(self.connections)
            self.take_back()

    def send(self, parts: list[NodeAsk]) -> None:
        """Send attempts in one call; each will end once."""
        if not parts:
            return
        connection = self._for([ask.id for ask in parts])
        if connection is None:
            for ask in parts:
                self.loop.call_soon(
                    self.owner.on_attempt_result,
                    self.node,
                    (ask.id, ask.seq),
                    policy.Outcome.UNREACHABLE,
                    None,
                )
            return
        for ask in parts:
            self.out[ask.id, ask.seq] = connection
        connection.send(parts)

    def abandon(self, key: Key) -> bool:
        """Stop waiting for an attempt whose end the owner has told by itself; true if it was out."""
        connection = self.out.pop(key, None)
        if connection is None:
            return False
        connection.give_up(key[0])
        return True

    def withdraw(self, key: Key) -> bool:
        """Take back an attempt that waits for its connection; of one that lost its connection nothing is to
        leave.
        """
        connection = self.out.get(key)
        return connection is not None and connection.holds_back(key[0]) and self.abandon(key)

    def take_back(self) -> None:
        """The node wants nothing new, or is met elsewhere: of what has not left for it nothing will."""
        for key, connection in list(self.out.items()):
            if connection.holds_back(key[0]):
                del self.out[key]
                connection.give_up(key[0])
                self.owner.on_attempt_result(self.node, key, policy.Outcome.NEVER_SENT, None)

    def probe(self) -> None:
        """Ask for a sign of life; ends once. A connection that has fallen silent can't give one for
        its node.
        """
        self._probe_no += 1
        number = self._probe_no
        until = self.loop.now() + self.limits.connect_us
        self._probes[number] = self.loop.call_at(until, self.probe_over, number, policy.Outcome.TIMED_OUT)
        connection = self._for([])
        if connection is None:
            self.loop.call_soon(self.probe_over, number, policy.Outcome.UNREACHABLE)
        else:
            connection.probe(number)

    def close(self) -> None:
        """Let go of all connections; what is out ends as broken."""
        self.closing = True
        for connection in list(self.connections):
            connection.close()

    def ended(self, key: Key, outcome: policy.Outcome, result: nf.PartAnswer | None) -> None:
        """A connection's word on an attempt."""
        if self.out.pop(key, None) is not None:
            self.owner.on_attempt_result(self.node, key, outcome, result)

    def broke(self, keys: list[Key], probes: list[int]) -> None:
        """A connection broke with these out: a new one's connect tells whether its node is lost as well."""
        if not keys and not probes:
            return
        self.breaks += 1
        connection = self._new()
        if connection is None:
            for key in keys:
                self.ended(key, policy.Outcome.BROKEN, None)
            for number in probes:
                self.probe_over(number, policy.Outcome.BROKEN)
            return
        for key in keys:
            self.out[key] = connection
            connection.bereft[key[0]] = key
        for number in probes:
            connection.probe(number)

    def probe_over(self, number: int, outcome: policy.Outcome) -> None:
        """A probe's end, the first that is told of it."""
        timer = self._probes.pop(number, None)
        if timer is not None:
            timer.cancel()
            self.owner.on_probe_result(self.node, outcome)

    def note(self, what: str, why: str) -> None:
        """A line for the operators."""
        self.log("info", what, node=self.node, why=why, out=len(self.out))

    def _for(self, parts: list[str]) -> Connection | None:
        """A connection that may carry these parts, a new one where none may; None where there is no room for
        it.
        """
        self._retire([connection for connection in self.connections if connection.silent])
        for connection in self.connections:
            if all(connection.takes(part) for part in parts) and not connection.retired:
                return connection
        new = self._new()
        if new is not None:
            return new
        # Over the number that a connection carries at once parts wait there unread, but wait they can.
        fresh = [c for c in self.connections if all(c.fresh(part) for part in parts)]
        return min(fresh, key=lambda c: len(c.out), default=None)

    def _new(self) -> Connection | None:
        most = SINGLE_CONNECTIONS if self.single else CONNECTIONS_A_NODE
        if len(self.connections) >= most or not self.room.take():
            return None
        self.connects += 1
        connection = Connection(self)
        self.connections.append(connection)
        return connection

    def _retire(self, connections: list[Connection]) -> None:
        for connection in list(connections):
            connection.retired = True
            if not connection.out:
                connection.close()

    def leave(self) -> None:
        """The node is not listed any more: what is out may end, nothing is kept open beyond it."""
        self.take_back()
        self._retire(self.connections)
