"""One HTTP connection of the vector search server: sequential requests, bounded read-ahead, timeouts."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Protocol

from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Event, Stream, StreamBrokenError, sleep
from heathwell.servers import vector_answers as answers
from heathwell.servers import vector_api as api
from heathwell.servers.client_connection import ClientConnection, ClientRegistry
from heathwell.servers.vector_routes import VectorRoutes
from heathwell.servers.vector_search import ChunkedSearch, SearchResults
from heathwell.service.service_broker import ServiceBroker

MAX_READ_AHEAD_BYTES = 262_144  # not parsed yet, as a request is in progress
READ_BYTES = 65_536  # read from one connection in one turn
MAX_STEPS_PER_TURN = 64  # of the parser for one connection


@dataclass(slots=True)
class VectorServerStatistics:
    """Counters of a vector search server."""

    requests: int = 0
    searches: int = 0
    errors: int = 0
    slow_requests: int = 0
    disconnected_clients: int = 0  # with a search in progress


class VectorServer(Protocol):
    """The part of the server that a connection uses."""

    broker: ServiceBroker
    clients: ClientRegistry[VectorConnection]
    routes: VectorRoutes
    statistics: VectorServerStatistics


class VectorConnection(ClientConnection):
    """One client of a vector search server.

    Requests are answered one at a time. A second task reads ahead, so that a disconnect is noticed while a
    request is in progress and cancels its search.
    """

    def __init__(self, server: VectorServer, stream: Stream, number: int) -> None:
        super().__init__(stream, number)
        self.loop = server.broker.loop
        self.opened_at_us = self.loop.now()
        self.closes_with_answer = False
        self.has_ended = False
        self._server = server
        self._limits = server.broker.service_settings.vector
        self._protocol = ServerSide(self._limits.max_body_bytes, self._limits.max_head_bytes)
        stream.max_consecutive_bytes = READ_BYTES
        self._is_busy = False
        # Start of the running timeout: of a request that is being received, or of an idle connection.
        self._timeout_started_at_us = self.loop.now()
        self._has_data = Event()
        self._has_capacity = Event()
        self._search: ChunkedSearch | None = None
        self._search_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return not self._is_busy and not self._is_receiving

    @property
    def _is_receiving(self) -> bool:
        return self._protocol.has_partial_request

    def run(self) -> Coro[None]:
        """Serve until either side closes the connection."""
        self.stream.on_close = self.on_connection_lost
        reader = self.loop.spawn(self._read_ahead(), f"reads {self.stream.peer}")
        self._check_timeouts()
        try:
            yield from self._serve_requests()
        finally:
            reader.cancel()

    def reject(self, error: api.ApiError, duration_us: int = 0) -> None:
        """Write an error and mark the connection to be closed."""
        self._protocol.closing = True
        self.stream.write(self._protocol.respond(answers.error_response(error, duration_us)))

    def run_search(self, search: ChunkedSearch) -> Coro[SearchResults]:
        """Run a search, and cancel it if the client disconnects."""
        self._server.statistics.searches += search.search_count
        if self.has_ended:
            search.cancel()
        self._search = search
        try:
            return (yield from search.run())
        finally:
            self._search = None

    def request_id(self, request: Request) -> str:
        """Return the request id that the client sent, or else a new one."""
        self._search_count += 1
        return request.headers.get("x-request-id", f"{self.stream.peer}#{self._search_count}")

    def on_connection_lost(self) -> None:
        """Cancel the search in progress, as its answer cannot be delivered."""
        if self._search is not None and self._search.cancel():
            self._server.statistics.disconnected_clients += 1
        self.has_ended = True
        self._has_data.set()

    def _serve_requests(self) -> Coro[None]:
        while True:
            message = self._protocol.next_message(MAX_STEPS_PER_TURN)
            self._has_capacity.set()
            interim = self._protocol.take_interim()
            if interim:
                self.stream.write(interim)
            if message is not None:
                yield from self._serve_message(message)
            if self._protocol.closing:
                return
            if self._protocol.is_parsing:
                yield from sleep(self.loop, 0)
            elif message is None:
                if self.has_ended:
                    return
                self._has_data.clear()
                yield from self._has_data.wait()

    def _serve_message(self, message: Request | Response) -> Coro[None]:
        """Answer a request; the parser returns a response in place of a request that is invalid."""
        if isinstance(message, Response):
            self._server.statistics.errors += 1
            response = answers.error_response(api.ApiError(message.status, message.body.decode().strip()), 0)
        else:
            response = yield from self._answer(message)
        is_draining = self.closes_with_answer or self._server.broker.stopping
        if is_draining and not self._is_receiving:
            self._protocol.closing = True
        self._timeout_started_at_us = self.loop.now()
        self.stream.write(self._protocol.respond(response))
        yield from self.stream.drain()

    def _answer(self, request: Request) -> Coro[Response]:
        self._is_busy = True
        self._server.clients.on_request(self)
        self._server.statistics.requests += 1
        started_at_us = self.loop.now()
        try:
            response = yield from self._server.routes.answer(request, self)
        except api.ApiError as error:
            self._server.statistics.errors += 1
            response = answers.error_response(error, self.loop.now() - started_at_us)
        self._is_busy = False
        return response

    def _read_ahead(self) -> Coro[None]:
        """Read ahead within bounds, so that a disconnect is noticed while a request is in progress."""
        try:
            while (yield from self._read_piece()):
                pass
        except StreamBrokenError:
            pass
        self.has_ended = True
        self._has_data.set()
        if self._is_busy:
            # As in other HTTP servers, a client that half-closes is taken to have disconnected.
            self.on_connection_lost()

    def _read_piece(self) -> Generator[object, object, bool]:
        """Read bytes for the parser, and keep none for the next wait; return false at the end."""
        while self._protocol.unparsed_bytes > MAX_READ_AHEAD_BYTES:
            self._has_capacity.clear()
            yield from self._has_capacity.wait()
        data = yield from self.stream.read(READ_BYTES)
        if data and not self.stream.is_closing:  # else no response could be written
            if self.is_idle:
                self._timeout_started_at_us = self.loop.now()
            self._protocol.receive(data)
            self._has_data.set()
        return bool(data)

    def _check_timeouts(self) -> None:
        """Close the connection of a request that takes too long to arrive, or one that is idle too long."""
        if self.stream.closed:
            return
        now = self.loop.now()
        timeout_us = self._limits.request_timeout_us if self._is_receiving else self._limits.idle_timeout_us
        if not self._is_busy and now - self._timeout_started_at_us >= timeout_us:
            if self._is_receiving:
                self._server.statistics.slow_requests += 1
                self._fail_slow_request(timeout_us)
                return
            if self.close_if_idle():
                return
        self.loop.call_at(
            now + min(self._limits.request_timeout_us, self._limits.idle_timeout_us) // 2,
            self._check_timeouts,
        )

    def _fail_slow_request(self, timeout_us: int) -> None:
        # The text is part of the protocol.
        text = f"the request was not whole within {timeout_us / 1e6:g} s"
        self.reject(api.ApiError(408, text), timeout_us)
        self.stream.close()
