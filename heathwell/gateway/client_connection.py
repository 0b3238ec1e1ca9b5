"""One client's connection: it serves one request at a time, and notices a disconnect meanwhile.

Imports the HTTP codec, the checks of requests and the broker.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Protocol

import msgspec

from heathwell.broker.query_state import Handle
from heathwell.broker.replies import Reply, ReplyKind
from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Event, Loop, Stream, StreamBrokenError
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.requests import BadRequestError, RequestChecker

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 65_536
FIRST_REQUEST_TIMEOUT_US = 2_100_000  # idle timeout of a connection that never sent a request
IDLE_TIMEOUT_US = 8_000_000  # idle timeout of a connection that has been answered
LINGER_US = 800_000  # delay between an error and the close, so that the client can read the error
MAX_DISCARDED_BYTES = 131_072  # bytes read and discarded after an error, before reading stops
MAX_READ_AHEAD_BYTES = 65_536  # bytes read while a request is in progress
MAX_UNREAD_BYTES = 262_144  # queued response bytes above which a connection is reset
JSON_CONTENT_TYPE = "application/json"


class ClientOwner(Protocol):
    """The part of the HTTP server that a connection uses.

    ``inactive``, ``receiving`` and ``kept_alive`` are queues of connections.
    """

    broker: PlatformBroker
    loop: Loop
    checker: RequestChecker
    counts: Counter[str]
    draining: bool
    kept_alive: OrderedDict[ClientConnection, None]
    inactive: OrderedDict[ClientConnection, None]
    receiving: OrderedDict[ClientConnection, None]

    def on_answered(self, client: ClientConnection) -> None:
        """Called when a client was answered and has sent nothing more."""


class ClientConnection:
    """A client's connection."""

    def __init__(self, front: ClientOwner, stream: Stream) -> None:
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
