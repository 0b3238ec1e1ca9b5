"""The HTTP server: each request is checked completely, passed to the broker, and answered once.

:class:`Front` owns the clients' connections, and limits their number and the size and time of a request; the
broker owns the queries. The front adds no retry, cache or timeout to a query: its timeouts apply only to
incomplete requests and to connections without a request. Imports the HTTP codec and the broker.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import islice

import msgspec

from heathwell.broker.query_state import Handle
from heathwell.broker.replies import Reply, ReplyKind
from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Event, Stream, StreamBrokenError, StreamOverrunError
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.requests import BadRequestError, RequestChecker

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 65_536
# Time within which a request must be complete; it begins with the connect for a connection's first request.
REQUEST_TIMEOUT_US = 2_500_000
FIRST_REQUEST_TIMEOUT_US = 2_100_000  # idle timeout of a connection that never sent a request
IDLE_TIMEOUT_US = 8_000_000  # idle timeout of a connection that has been answered
MAX_EVICTION_CANDIDATES = 8  # connections of each kind examined to make room for a new one
# During shutdown the first request of a connection younger than this may still be in transit.
NEW_CONNECTION_US = 200_000
LINGER_US = 800_000  # delay between an error and the close, so that the client can read the error
CHECK_INTERVAL_US = 200_000  # time between checks of all connections' timeouts
MAX_DISCARDED_BYTES = 131_072  # bytes read and discarded after an error, before reading stops
MAX_READ_AHEAD_BYTES = 65_536  # bytes read while a request is in progress
MAX_UNREAD_BYTES = 262_144  # queued response bytes above which a connection is reset
JSON_CONTENT_TYPE = "application/json"
REQUEST_TIMEOUT_BODY = b"the request was not whole in time\n"  # sent to clients, so that it must not change


class Front:
    """Serves at most ``max_clients`` connections, and closes the longest inactive one in favour of a new one.

    At most ``max_kept_alive`` connections that have been answered and are inactive stay open: the number of
    connections that all clients together may open is limited, and an inactive one may keep another client
    from connecting.
    """

    def __init__(
        self, broker: PlatformBroker, max_clients: int, max_kept_alive: int, log: Callable[..., None]
    ) -> None:
        self.broker = broker
        self.max_clients = max_clients
        self.log = log
        self.loop = broker.loop
        self.max_kept_alive = max_kept_alive
        # Queues of clients, each in the order in which they were added to it.
        self.kept_alive: OrderedDict[Client, None] = OrderedDict()  # answered and inactive
        self.inactive: OrderedDict[Client, None] = OrderedDict()  # without a request, or failed
        self.receiving: OrderedDict[Client, None] = OrderedDict()  # with an incomplete request
        self.checker = RequestChecker(broker.settings)
        self.clients: dict[Client, None] = {}
        self.counts: Counter[str] = Counter()
        self.draining = False
        self.loop.call_at(self.loop.now() + CHECK_INTERVAL_US, self._check_timeouts)

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection until it ends."""
        if len(self.clients) >= self.max_clients and not self._make_room():
            self.counts["no room"] += 1
            stream.write(ServerSide().respond(Response(503, b"too many connections\n")))
            return
        client = Client(self, stream)
        self.clients[client] = None
        try:
            yield from client.run()
        except StreamOverrunError as problem:
            self.counts["cut off"] += 1
            self.log("info", "client cut off", why=str(problem))
        finally:
            self._forget(client)
            client.on_connection_lost()

    def drain(self) -> None:
        """From now on, close each connection with the response to the last request that has been read."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the inactive connections, except those whose request is arriving."""
        now = self.loop.now()
        for client in list(self.inactive):
            if client.side is not None or now - client.since_us >= NEW_CONNECTION_US:
                client.stream.close_unless_readable()

    def _make_room(self) -> bool:
        """Close an idle connection or else one with an incomplete request; return whether one was closed."""
        for victim in [
            *islice(self.inactive, MAX_EVICTION_CANDIDATES),
            *islice(self.receiving, MAX_EVICTION_CANDIDATES),
        ]:
            if victim.failed:
                victim.stream.close()
            elif not victim.stream.close_unless_readable():
                continue  # its next request, or more of its incomplete one, has arrived
            self.counts["closed for another"] += 1
            self._forget(victim)
            return True
        return False

    def on_answered(self, client: Client) -> None:
        """Called when a client was answered: if more than ``max_kept_alive`` are idle, close the oldest."""
        self.inactive[client] = None
        self.kept_alive[client] = None
        if len(self.kept_alive) > self.max_kept_alive:
            victim = next(iter(self.kept_alive))
            if victim.stream.close_unless_readable():
                self.counts["let go"] += 1  # printed by the trace under this name
                self._forget(victim)

    def _forget(self, client: Client) -> None:
        self.clients.pop(client, None)
        client.leave_queues()

    def _check_timeouts(self) -> None:
        """Apply the timeouts of all connections; one timer serves them all."""
        if self.broker.dead:
            return
        now = self.loop.now()
        self.loop.call_at(now + CHECK_INTERVAL_US, self._check_timeouts)
        for client in list(self.receiving):
            if now - client.since_us >= REQUEST_TIMEOUT_US:
                self.counts["too slow"] += 1
                client.fail(Response(408, REQUEST_TIMEOUT_BODY))
        for client in list(self.inactive):
            if now - client.since_us >= client.idle_timeout_us:
                if client.failed:
                    client.stream.close()
                else:
                    client.stream.close_unless_readable()


class Client:
    """A client's connection: it serves one request at a time, and notices a disconnect meanwhile."""

    def __init__(self, front: Front, stream: Stream) -> None:
        self.front = front
        self.stream = stream
        self.loop = front.loop
        stream.hard_limit = MAX_UNREAD_BYTES
        self.side: ServerSide | None = None  # created with the first byte, as many connections never send one
        self.since_us = self.loop.now()
        self.handle: Handle | None = None
        self.busy = False
        self.failed = False
        self._arrived_at_us = self.since_us
        self._read_ahead_bytes = 0
        self._answered = Event()
        stream.on_hangup = self._answered.set  # also if bytes before it are unread
        front.inactive[self] = None

    @property
    def idle_timeout_us(self) -> int:
        """How long the connection may stay inactive."""
        if self.failed:
            return LINGER_US
        return IDLE_TIMEOUT_US if self.side is not None and self.side.served else FIRST_REQUEST_TIMEOUT_US

    def run(self) -> Coro[None]:
        """Serve until either side closes."""
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES:
            data = yield from self.stream.read()
            if not data:
                return
            if self.failed or self.stream.is_closing:  # no response could be written
                discarded += len(data)
                continue
            if self.stream.hung_up:  # the client has disconnected, so no response can reach it
                return
            self._arrived_at_us = self.loop.now()
            if self.side is None:
                self.side = ServerSide(MAX_BODY_BYTES, MAX_HEAD_BYTES)
            self.side.receive(data)
            if not self.busy:
                self._advance()
                continue
            self._read_ahead_bytes += len(data)
            # No more is read until the request in progress is answered; a disconnect is noticed meanwhile.
            while self.busy and self._read_ahead_bytes > MAX_READ_AHEAD_BYTES:
                if self.stream.hung_up:
                    return
                self._answered.clear()
                yield from self._answered.wait()
        while not self.stream.closed:  # further bytes stay unread until the timeout closes the connection
            yield self._park

    def _park(self, task: object) -> Callable[[], None]:
        self.stream.on_close = task.wake  # type: ignore[attr-defined]
        return lambda: None

    def _advance(self) -> None:
        """Dispatch the next request if it is complete."""
        side = self.side
        assert side is not None
        self._read_ahead_bytes = 0
        event = next(side.events(), None)
        interim = side.take_interim()
        if interim:
            self.stream.write(interim)
        if isinstance(event, Response):
            self.fail(event)
        elif event is not None:
            self.leave_queues()
            self.busy = True
            self._dispatch(event)
        elif side.closing:
            self.stream.close()
        elif side.has_partial_request and self not in self.front.receiving:
            self.leave_queues()
            if side.served:
                self.since_us = self._arrived_at_us
            self.front.receiving[self] = None

    def leave_queues(self) -> None:
        """Remove the client from the front's queues."""
        for clients in (self.front.inactive, self.front.receiving, self.front.kept_alive):
            clients.pop(self, None)

    def _dispatch(self, request: Request) -> None:
        front = self.front
        if request.method == "GET" and request.path in ("/-/ready", "/-/healthy"):
            self._respond_health(request.path)
            return
        try:
            client_request = front.checker.check(request)
            if client_request.id in front.broker.queries:
                raise BadRequestError(  # noqa: TRY301  # handled as any other bad request, below
                    f"Req-Id: {client_request.id} is open already", 409
                )
        except BadRequestError as problem:
            front.counts["bad request"] += 1
            self.fail(Response(problem.status, f"{problem}\n".encode()))
            return
        front.counts["requests"] += 1
        self.handle = front.broker.begin(client_request, self._on_reply, self._arrived_at_us)

    def _respond_health(self, path: str) -> None:
        if path == "/-/ready" and not self.front.broker.ready:
            self._respond(Response(503, b"no list of nodes yet\n"))
        else:
            self._respond(Response(200, b"ok\n"))

    def _on_reply(self, reply: Reply) -> None:
        """Send the query's only reply."""
        self.handle = None
        if reply.kind == ReplyKind.ANSWERED:
            self._respond(Response(200, msgspec.json.encode(reply.body), JSON_CONTENT_TYPE))
        elif reply.kind == ReplyKind.REFUSED:
            retry_after = (
                (("Retry-After", f"{reply.retry_after_us / 1e6:.3f}"),) if reply.retry_after_us else ()
            )
            self._respond(Response(503, b"refused: a repeat is harmless\n", headers=retry_after))
        else:
            self._respond(Response(500, b"failed\n"))

    def _respond(self, response: Response) -> None:
        side = self.side
        if side is None or self.stream.closed:
            return
        self.busy = False
        self._answered.set()
        if self.front.draining and not side.has_partial_request:
            side.closing = True
        try:
            self.stream.write(side.respond(response))
        except StreamBrokenError:
            return
        self.since_us = self.loop.now()
        if side.closing:
            self.stream.close()
        elif side.has_partial_request:
            # The next request has been read, at least in part, so that the connection isn't idle.
            self._arrived_at_us = self.since_us
            self.loop.call_soon(self._continue)
        else:
            self.front.on_answered(self)

    def _continue(self) -> None:
        """Dispatch the next request, of which bytes were read ahead, if it is complete."""
        if not (self.busy or self.failed or self.stream.closed or self.stream.hung_up):
            self._advance()

    def fail(self, response: Response) -> None:
        """Respond with an error and close after ``LINGER_US``; no further request is served."""
        if self.failed or self.stream.closed or self.side is None:
            return
        self.leave_queues()
        self.front.counts["errors"] += 1
        self.failed = True
        self.busy = False
        self.side.closing = True
        try:
            self.stream.write(self.side.respond(response))
            self.stream.end()
        except StreamBrokenError:
            return
        self.since_us = self.loop.now()
        self.front.inactive[self] = None

    def on_connection_lost(self) -> None:
        """Called when the connection has ended: the request in progress is abandoned."""
        self._answered.set()
        handle = self.handle
        self.handle = None
        if handle is not None:
            handle.disconnect()
