"""One client's connection: it serves one request at a time, and notices a disconnect meanwhile.

What a client sends is held by the parser (:class:`~heathwell.codec.http_server.ServerSide`) alone and charged
to the memory that all clients share. A turn of the loop takes one piece of bytes and a bounded number of the
parser's steps from each connection. Imports the HTTP codec, the checks of requests and the broker.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Generator
from typing import Protocol

import msgspec

from heathwell.broker.query_state import Handle
from heathwell.broker.replies import Reply, ReplyKind
from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Event, Loop, Stream, StreamBrokenError, sleep
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.client_memory import ConnectionMemory
from heathwell.gateway.requests import BadRequestError, RequestChecker

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 65_536
FIRST_REQUEST_TIMEOUT_US = 2_100_000  # idle timeout of a connection that never sent a request
IDLE_TIMEOUT_US = 8_000_000  # idle timeout of a connection that has been answered
LINGER_US = 800_000  # delay between an error and the close, so that the client can read the error
READ_BYTES = 16_384  # read from one connection in one turn
MAX_STEPS_PER_TURN = 8  # of the parser for one connection; a small request takes five
# Bytes kept behind a request in progress. The client's disconnect is behind them, so that they are read; a
# client sends one request at a time, and the longest one fits.
MAX_READ_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
MAX_DISCARDED_BYTES = 131_072  # bytes read and discarded after an error, before reading stops
DISCARD_BYTES = 524_288  # discarded at a time: a disconnect may lie behind some MB
DISCARD_PAUSE_US = 500  # between two of them, for the other connections
MAX_UNREAD_BYTES = 262_144  # queued response bytes above which a connection is reset
JSON_CONTENT_TYPE = "application/json"
PIPELINE_BODY = b"refused: too many requests behind one in progress\n"  # sent to clients


class ClientOwner(Protocol):
    """The part of the HTTP server that a connection uses.

    ``inactive``, ``receiving`` and ``kept_alive`` are queues of connections; ``parsing`` are those with bytes
    to parse in a later turn, ``reserving`` those that have reserved memory, in the order of doing so.
    """

    broker: PlatformBroker
    loop: Loop
    checker: RequestChecker
    counts: Counter[str]
    draining: bool
    kept_alive: OrderedDict[ClientConnection, None]
    inactive: OrderedDict[ClientConnection, None]
    receiving: OrderedDict[ClientConnection, None]
    parsing: OrderedDict[ClientConnection, None]
    reserving: OrderedDict[ClientConnection, None]

    def on_answered(self, client: ClientConnection) -> None:
        """Called when a client was answered and has sent nothing more."""

    def parse_later(self, client: ClientConnection) -> None:
        """Call :meth:`ClientConnection.parse` in a later turn, in the order of these calls."""

    def on_memory_awaited(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` once the shared memory may allow a connection to read on."""


class ClientConnection:
    """A client's connection."""

    def __init__(self, front: ClientOwner, stream: Stream) -> None:
        self.front = front
        self.stream = stream
        self.loop = front.loop
        self.memory = ConnectionMemory(front.broker.memory)
        stream.hard_limit = MAX_UNREAD_BYTES
        stream.max_consecutive_bytes = READ_BYTES
        self.side: ServerSide | None = None  # created with the first byte, as many connections never send one
        self.since_us = self.loop.now()  # start of the connection's present timeout
        self.reserved_at_us = self.since_us  # when the connection last reserved memory
        self.handle: Handle | None = None
        self.busy = False
        self.failed = False
        self.is_overrun = False  # more was sent behind a request in progress than is kept
        self._arrived_at_us = self.since_us
        self._discarded_bytes = 0
        self._may_continue = Event()
        stream.on_hangup = self._may_continue.set  # also if bytes before it are unread
        stream.on_close = self._may_continue.set
        front.inactive[self] = None

    @property
    def idle_timeout_us(self) -> int:
        """How long the connection may stay inactive."""
        if self.failed:
            return LINGER_US
        return IDLE_TIMEOUT_US if self.side is not None and self.side.served else FIRST_REQUEST_TIMEOUT_US

    # Reading.

    def run(self) -> Coro[None]:
        """Serve until either side closes."""
        while True:
            yield from self.stream.let_others_run()
            size = yield from self._wait_until_allowed()
            if not size or not (yield from self._read(size)):
                return

    def _read(self, size: int) -> Generator[object, object, bool]:
        """Handle the bytes that are there, or wait for some; return whether to read on."""
        data = self.stream.read_now(size)
        if data is None:
            yield from self.stream.wait_readable()
            return True
        goes_on = self._on_data(data)
        del data  # not kept while the next bytes are awaited
        if self._is_discarding:
            yield from sleep(self.loop, DISCARD_PAUSE_US)
        return goes_on

    def _wait_until_allowed(self) -> Generator[object, object, int]:
        """Wait until bytes may be read; return how many, 0 if the connection has ended."""
        while not (size := self._allowed_bytes()):
            if self.stream.closed or (self.stream.hung_up and not self._is_discarding):
                return 0
            self._may_continue.clear()
            if not self._is_discarding and self not in self.front.parsing:
                self.front.on_memory_awaited(self._may_continue.set)
            try:
                yield from self._may_continue.wait()
            finally:
                self.memory.budget.stop_waiting(self._may_continue.set)
        return size

    def _allowed_bytes(self) -> int:
        """Return how many bytes may be read now."""
        if self._is_discarding:
            is_served = self.is_overrun and not self.failed and not self.stream.is_closing
            may_discard = is_served or self._discarded_bytes < MAX_DISCARDED_BYTES
            return DISCARD_BYTES if may_discard else 0
        if self in self.front.parsing:
            return 0  # what was read is parsed first
        if self._is_reading_ahead:
            return self._read_ahead_bytes()
        if self.memory.reserved_bytes:
            return READ_BYTES
        if self.memory.free_bytes or self.side is None:
            return self.memory.free_bytes
        if not self.memory.reserve(self.side.expected_bytes):
            return 0
        self.reserved_at_us = self.loop.now()
        self.front.reserving[self] = None
        return READ_BYTES

    def _read_ahead_bytes(self) -> int:
        """Return how many bytes may be read behind a request in progress."""
        if self.memory.budget.can_read:
            return READ_BYTES
        if self.busy and not self.memory.free_bytes:
            self._overrun()
            return DISCARD_BYTES
        return self.memory.free_bytes

    @property
    def may_hold_whole_request(self) -> bool:
        """Whether what was read is still to be parsed: it may be a whole request, which must be answered."""
        return self in self.front.parsing or bool(self.stream.unsent)

    @property
    def _is_discarding(self) -> bool:
        """Whether received bytes can't lead to a response any more."""
        return self.failed or self.is_overrun or self.stream.is_closing

    @property
    def _is_reading_ahead(self) -> bool:
        """Whether what is received waits for a response that is not sent yet."""
        return self.busy or bool(self.stream.unsent)

    def _on_data(self, data: bytes) -> bool:
        """Handle received bytes; return whether to read on."""
        if not data:
            return False
        if self._is_discarding:
            self._discarded_bytes += len(data)
            return not self.stream.hung_up or self.failed
        if self.stream.hung_up:  # the client has disconnected, so no response can reach it
            return False
        self._arrived_at_us = self.loop.now()
        if self.side is None:
            self.side = ServerSide(MAX_BODY_BYTES, MAX_HEAD_BYTES)
        self.side.receive(data)
        if not self.busy:
            self._advance(self.side)
        if self._is_reading_ahead and self.side.held_bytes > MAX_READ_AHEAD_BYTES:
            self._overrun()
        self._update_memory()
        return True

    def _overrun(self) -> None:
        """Keep nothing more behind the request in progress: the connection fails once what is kept is served.

        The rest is read and discarded. Left in the socket it would hide the client's disconnect, and the
        requests before it would be run for nobody.
        """
        self.is_overrun = True
        self.front.counts["overrun"] += 1

    def drop_read_ahead(self) -> None:
        """Give back what is kept behind the request in progress."""
        if self.busy and self.side is not None:
            self._overrun()
            self.side.drop_unparsed()
            self._update_memory()

    def _fail_overrun(self) -> None:
        self.fail(Response(429, PIPELINE_BODY))

    def _update_memory(self) -> None:
        received_bytes = 0 if self.side is None else self.side.held_bytes
        self.memory.resize(received_bytes + self.stream.unsent)

    # Parsing.

    def parse(self) -> None:
        """Go on with what was read before; called in the turn after :meth:`ClientOwner.parse_later`."""
        if self.side is not None and not (
            self.busy or self.failed or self.stream.is_closing or self.stream.hung_up
        ):
            self._advance(self.side)
            self._update_memory()
        self._may_continue.set()

    def _advance(self, side: ServerSide) -> None:
        """Parse on, and dispatch the next request if it is complete."""
        if self.stream.unsent:  # the client is given no further response until it has read the last one
            self.stream.on_flushed = self._on_flushed
            self._queue_as_receiving(side)
            return
        message = side.next_message(MAX_STEPS_PER_TURN)
        interim = side.take_interim()
        if interim:
            self.stream.write(interim)
        if isinstance(message, Response):
            self.fail(message)
        elif message is not None:
            self.leave_queues()
            self.busy = True
            self._dispatch(message)
        elif side.closing:
            self.stream.close()
        elif self.is_overrun and not side.is_parsing:
            self._fail_overrun()
        else:
            if side.is_parsing:
                self.front.parse_later(self)
            if side.has_partial_request:
                self._queue_as_receiving(side)

    def _queue_as_receiving(self, side: ServerSide) -> None:
        if self in self.front.receiving:
            return
        self.leave_queues()
        if side.served:
            self.since_us = self._arrived_at_us
        self.front.receiving[self] = None

    def leave_queues(self) -> None:
        """Remove the client from the front's queues, and end its reservation of memory."""
        front = self.front
        for clients in (front.inactive, front.receiving, front.kept_alive, front.reserving):
            clients.pop(self, None)
        self.memory.release()

    def _dispatch(self, request: Request) -> None:
        front = self.front
        if request.method == "GET" and request.path in ("/-/ready", "/-/healthy"):
            self._respond_health(request.path)
            return
        try:
            client_request = front.checker.check(request)
            if front.broker.is_used(client_request.id):
                raise BadRequestError(  # noqa: TRY301  # handled as any other bad request, below
                    f"Req-Id: {client_request.id} was used already", 409
                )
        except BadRequestError as problem:
            front.counts["bad request"] += 1
            self.fail(Response(problem.status, f"{problem}\n".encode()))
            return
        front.counts["requests"] += 1
        self.handle = front.broker.begin(client_request, self._on_reply, self._arrived_at_us)

    # Responses.

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
            self._respond(refusal(b"refused: a repeat is harmless\n", reply.retry_after_us))
        else:
            self._respond(Response(500, b"failed\n"))

    def _respond(self, response: Response) -> None:
        side = self.side
        if side is None or self.stream.closed:
            return
        self.busy = False
        if self.front.draining and not side.has_partial_request and not self.is_overrun:
            side.closing = True
        try:
            self.stream.write(side.respond(response))
        except StreamBrokenError:
            return
        self.since_us = self.loop.now()
        if self.stream.unsent:
            self.stream.on_flushed = self._on_flushed
        if side.closing:
            self.stream.close()
        elif self.is_overrun and not side.has_partial_request:
            self._fail_overrun()
        elif side.has_partial_request:
            # The next request has been read, at least in part, so that the connection isn't idle.
            self._arrived_at_us = self.since_us
            self.front.parse_later(self)
        else:
            self.front.on_answered(self)
        self._update_memory()
        self._may_continue.set()

    def _on_flushed(self) -> None:
        """Go on once the client has taken a response that the socket didn't take at once."""
        self.stream.on_flushed = None
        self._update_memory()
        if self.side is not None and self.side.has_partial_request:
            self.front.parse_later(self)
        self._may_continue.set()

    def fail(self, response: Response) -> None:
        """Respond with an error and close after ``LINGER_US``; no further request is served."""
        if self.failed or self.stream.closed or self.side is None:
            return
        self.leave_queues()
        self.front.counts["errors"] += 1
        self.failed = True
        self.busy = False
        self._discarded_bytes = 0
        self.side.discard()
        self._may_continue.set()
        try:
            self.stream.write(self.side.respond(response))
            self.stream.end()
        except StreamBrokenError:
            return
        self._update_memory()
        self.since_us = self.loop.now()
        self.front.inactive[self] = None

    def on_connection_lost(self) -> None:
        """Called when the connection has ended: the request in progress is abandoned."""
        self.memory.resize(0)
        self._may_continue.set()
        handle = self.handle
        self.handle = None
        if handle is not None:
            handle.disconnect()


def refusal(text: bytes, retry_after_us: int) -> Response:
    """Return a refusal, which names the time to come back unless that is 0."""
    headers = (("Retry-After", f"{retry_after_us / 1e6:.3f}"),) if retry_after_us else ()
    return Response(503, text, headers=headers)
