"""Clients over HTTP: each request checked whole, handed to the broker, answered once.

Every connection is within bounds of head, body, time and number. A front adds no retry, cache or time-out of
a query's own: its times are only those of a request that does not come whole, and of a connection that asks
for nothing.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import islice

import msgspec

from heathwell.broker.driver import Handle
from heathwell.broker.replies import ANSWERED, REFUSED, Reply
from heathwell.codec.http import Request, Response, ServerSide
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.requests import BadRequest, Checker
from heathwell.kernel import Coro, Event, Overrun, Stream, StreamBroken

HEAD_MOST, BODY_MOST = 16_384, 65_536
WHOLE_US = 2_500_000  # for a request to come whole; for a connection's first from its connect on
SILENT_US = 2_100_000  # of a connection that never asked
IDLE_US = 8_000_000  # of one that has been answered
VICTIMS_MOST = 8  # of those at rest that are looked at for one that makes room
NEW_US = 200_000  # of one that never asked, while the process ends: its first request is on its way
LINGER_US = 800_000  # between an error and the close, so that the error is read first
LOOK_US = 200_000
DISCARD_MOST = 131_072  # read after an error and thrown away
AHEAD_MOST = 65_536  # read ahead while a request is at work
UNREAD_MOST = 262_144  # bytes that a client leaves unread before it is cut off
JSON = "application/json"


class Front:
    """Serves connections, ``most`` at a time; the longest idle one makes room for a new one. Of those that
    have been answered and ask for nothing at most ``kept_most`` are kept: clients may open only so many
    between them, and one at rest may keep another from asking.
    """

    def __init__(self, broker: PlatformBroker, most: int, kept_most: int, log: Callable[..., None]) -> None:
        self.broker, self.most, self.log, self.loop = broker, most, log, broker.loop
        self.kept_most = kept_most
        self.kept: OrderedDict[Client, None] = OrderedDict()  # answered and at rest, by since when
        self.checker = Checker(broker.settings)
        self.clients: dict[Client, None] = {}
        self.resting: OrderedDict[Client, None] = (
            OrderedDict()
        )  # by since when they ask for nothing, or have erred
        self.begun: OrderedDict[Client, None] = OrderedDict()  # whose request is not whole, by since when
        self.counts: Counter[str] = Counter()
        self.draining = False
        self.loop.call_at(self.loop.now() + LOOK_US, self._look)

    def serve(self, stream: Stream) -> Coro[None]:
        """One connection, from its first byte to its last."""
        if len(self.clients) >= self.most and not self._make_room():
            self.counts["no room"] += 1
            stream.write(ServerSide().respond(Response(503, b"too many connections\n")))
            return
        client = Client(self, stream)
        self.clients[client] = None
        try:
            yield from client.run()
        except Overrun as problem:
            self.counts["cut off"] += 1
            self.log("info", "client cut off", why=str(problem))
        finally:
            self._forget(client)
            client.gone()

    def drain(self) -> None:
        """From now on each answer closes its connection."""
        self.draining = True

    def let_go(self) -> None:
        """Close the connections that ask for nothing; one whose request comes in this very moment
        is served.
        """
        now = self.loop.now()
        for client in list(self.resting):
            if client.side is not None or now - client.since >= NEW_US:
                client.stream.close_if_quiet()

    def _make_room(self) -> bool:
        for victim in [*islice(self.resting, VICTIMS_MOST), *islice(self.begun, 1)]:
            at_rest = victim in self.resting and not victim.erred
            if at_rest and not victim.stream.close_if_quiet():
                continue  # its next request is here
            self.counts["closed for another"] += 1
            self._forget(victim)
            victim.stream.close()
            return True
        return False

    def rests(self, client: Client) -> None:
        """It has been answered and asks for nothing; the longest at rest gives way where there are
        too many.
        """
        self.resting[client] = self.kept[client] = None
        if len(self.kept) > self.kept_most:
            victim = next(iter(self.kept))
            if victim.stream.close_if_quiet():
                self.counts["let go"] += 1
                self._forget(victim)

    def _forget(self, client: Client) -> None:
        self.clients.pop(client, None)
        client.leave_orders()

    def _look(self) -> None:
        """One timer for all connections."""
        if self.broker.dead:
            return
        now = self.loop.now()
        self.loop.call_at(now + LOOK_US, self._look)
        for client in list(self.begun):
            if now - client.since >= WHOLE_US:
                self.counts["too slow"] += 1
                client.fail(Response(408, b"the request was not whole in time\n"))
        for client in list(self.resting):
            if now - client.since >= client.patience:
                client.stream.close() if client.erred else client.stream.close_if_quiet()


class Client:
    """One connection: a request at a time, its end noticed while one is at work."""

    def __init__(self, front: Front, stream: Stream) -> None:
        self.front, self.stream, self.loop = front, stream, front.loop
        stream.hard_limit = UNREAD_MOST
        self.side: ServerSide | None = None  # made with the first byte: many never send one
        self.since = self.loop.now()
        self.handle: Handle | None = None
        self.busy = self.erred = False
        self._arrived = self.since
        self._ahead = 0
        self._answered = Event()
        stream.on_hangup = self._answered.set  # also behind what is not read
        front.resting[self] = None

    @property
    def patience(self) -> int:
        """How long it may ask for nothing (us)."""
        if self.erred:
            return LINGER_US
        return IDLE_US if self.side is not None and self.side.served else SILENT_US

    def run(self) -> Coro[None]:
        """Serve until either side ends it."""
        discarded = 0
        while discarded < DISCARD_MOST:
            data = yield from self.stream.read()
            if not data:
                return
            if self.erred:
                discarded += len(data)
                continue
            if self.stream.hung_up:  # it has left, whatever it sent: nothing more is taken from it
                return
            self._arrived = self.loop.now()
            if self.side is None:
                self.side = ServerSide(BODY_MOST, HEAD_MOST)
            self.side.receive(data)
            if not self.busy:
                self._advance()
                continue
            self._ahead += len(data)
            # Its request was taken and is answered before more is read; but that it has left is seen
            # meanwhile.
            while self.busy and self._ahead > AHEAD_MOST:
                if self.stream.hung_up:
                    return
                self._answered.clear()
                yield from self._answered.wait()
        while not self.stream.closed:  # what more it sends is left where it is, until its time is up
            yield self._park

    def _park(self, task: object) -> Callable[[], None]:
        self.stream.on_close = task.wake  # type: ignore[attr-defined]
        return lambda: None

    def _advance(self) -> None:
        """Take the next request, if it is whole."""
        side = self.side
        assert side is not None
        self._ahead = 0
        whole = next(side.events(), None)
        interim = side.take_interim()
        if interim:
            self.stream.write(interim)
        if isinstance(whole, Response):
            self.fail(whole)
        elif whole is not None:
            self.leave_orders()
            self.busy = True
            self._take(whole)
        elif side.closing:
            self.stream.close()
        elif side.midway and self not in self.front.begun:
            self.leave_orders()
            if side.served:
                self.since = self._arrived
            self.front.begun[self] = None

    def leave_orders(self) -> None:
        """Neither resting nor begun any more."""
        for clients in (self.front.resting, self.front.begun, self.front.kept):
            clients.pop(self, None)

    def _take(self, request: Request) -> None:
        front = self.front
        if request.method == "GET" and request.path in ("/-/ready", "/-/healthy"):
            listless = request.path == "/-/ready" and not front.broker.ready
            self._respond(Response(503, b"no list of nodes yet\n") if listless else Response(200, b"ok\n"))
            return
        try:
            wanted = front.checker.check(request)
            if wanted.id in front.broker.queries:
                raise BadRequest(f"Req-Id: {wanted.id} is open already", 409)
        except BadRequest as problem:
            front.counts["bad request"] += 1
            self.fail(Response(problem.status, f"{problem}\n".encode()))
            return
        front.counts["requests"] += 1
        self.handle = front.broker.begin(wanted, self._replied, self._arrived)

    def _replied(self, reply: Reply) -> None:
        """The query's one reply."""
        self.handle = None
        if reply.kind == ANSWERED:
            self._respond(Response(200, msgspec.json.encode(reply.body), JSON))
        elif reply.kind == REFUSED:
            advice = (("Retry-After", f"{reply.retry_after_us / 1e6:.3f}"),) if reply.retry_after_us else ()
            self._respond(Response(503, b"refused: a repeat is harmless\n", headers=advice))
        else:
            self._respond(Response(500, b"failed\n"))

    def _respond(self, response: Response) -> None:
        side = self.side
        if side is None or self.stream.closed:
            return
        self.busy = False
        self._answered.set()
        side.closing = side.closing or self.front.draining
        try:
            self.stream.write(side.respond(response))
        except StreamBroken:
            return
        self.since = self.loop.now()
        if side.closing:
            self.stream.close()
            return
        self.front.rests(self)
        if side.midway:
            self._arrived = self.since
            self.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        """What was read ahead may be the next request."""
        if not (self.busy or self.erred or self.stream.closed or self.stream.hung_up):
            self._advance()

    def fail(self, response: Response) -> None:
        """Answer with an error, then close once it is read: nothing more is taken from this connection."""
        if self.erred or self.stream.closed or self.side is None:
            return
        self.leave_orders()
        self.front.counts["errors"] += 1
        self.erred, self.busy = True, False
        self.side.closing = True
        try:
            self.stream.write(self.side.respond(response))
            self.stream.end()
        except StreamBroken:
            return
        self.since = self.loop.now()
        self.front.resting[self] = None

    def gone(self) -> None:
        """The connection is lost: nobody waits for what is asked."""
        self._answered.set()
        handle, self.handle = self.handle, None
        if handle is not None:
            handle.disconnect()
