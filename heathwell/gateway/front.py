"""The HTTP server: each request is checked completely, passed to the broker, and answered once.

:class:`Front` owns the clients' connections (:mod:`heathwell.gateway.client_connection`), and limits their
number, the time of a request and each connection's share of a turn of the loop; the broker owns the queries.
The front adds no retry, cache or timeout to a query: its timeouts apply only to incomplete requests and to
connections without a request. Imports the HTTP codec and the broker.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import islice

from heathwell.codec.http import Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Stream, StreamOverrunError
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.client_connection import ClientConnection, refusal
from heathwell.gateway.requests import RequestChecker

# Time within which a request must be complete; it begins with the connect for a connection's first request.
REQUEST_TIMEOUT_US = 2_500_000
MAX_EVICTION_CANDIDATES = 8  # connections of each kind examined to make room for a new one
# During shutdown the first request of a connection younger than this may still be in transit.
NEW_CONNECTION_US = 200_000
CHECK_INTERVAL_US = 200_000  # time between checks of all connections' timeouts
MAX_PARSED_PER_TURN = 8  # connections that go on with bytes of earlier turns
# While others wait for memory, a request that has reserved some must be complete within this time.
RECLAIM_AFTER_US = 100_000
RECLAIM_INTERVAL_US = 25_000
REQUEST_TIMEOUT_BODY = b"the request was not whole in time\n"  # sent to clients, so that it must not change
RECLAIM_BODY = b"refused: too many bytes of unfinished requests, a repeat is harmless\n"


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
        self.kept_alive: OrderedDict[ClientConnection, None] = OrderedDict()  # answered and inactive
        self.inactive: OrderedDict[ClientConnection, None] = OrderedDict()  # without a request, or failed
        self.receiving: OrderedDict[ClientConnection, None] = OrderedDict()  # with an incomplete request
        self.parsing: OrderedDict[ClientConnection, None] = OrderedDict()  # with bytes to parse
        self.reserving: OrderedDict[ClientConnection, None] = OrderedDict()  # in the order of doing so
        self._parses_next_turn = False
        self._reclaims = False
        self.checker = RequestChecker(broker.settings)
        self.clients: dict[ClientConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self.draining = False
        self.loop.call_at(self.loop.now() + CHECK_INTERVAL_US, self._check_timeouts)

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection until it ends."""
        if len(self.clients) >= self.max_clients and not self._make_room():
            self.counts["no room"] += 1
            stream.write(ServerSide().respond(Response(503, b"too many connections\n")))
            return
        client = ClientConnection(self, stream)
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
            *islice(
                (client for client in self.receiving if not client.may_hold_whole_request),
                MAX_EVICTION_CANDIDATES,
            ),
        ]:
            if victim.failed:
                victim.stream.close()
            elif not victim.stream.close_unless_readable():
                continue  # its next request, or more of its incomplete one, has arrived
            self.counts["closed for another"] += 1
            self._forget(victim)
            return True
        return False

    def on_answered(self, client: ClientConnection) -> None:
        """Called when a client was answered: if more than ``max_kept_alive`` are idle, close the oldest."""
        self.inactive[client] = None
        self.kept_alive[client] = None
        if len(self.kept_alive) > self.max_kept_alive:
            victim = next(iter(self.kept_alive))
            if victim.stream.close_unless_readable():
                self.counts["let go"] += 1  # printed by the trace under this name
                self._forget(victim)

    def parse_later(self, client: ClientConnection) -> None:
        """Call the client's :meth:`ClientConnection.parse` in a later turn, in the order of these calls."""
        self.parsing[client] = None
        if not self._parses_next_turn:
            self._parses_next_turn = True
            self.loop.call_soon(self._parse)

    def _parse(self) -> None:
        self._parses_next_turn = False
        for client in list(islice(self.parsing, MAX_PARSED_PER_TURN)):
            del self.parsing[client]
            client.parse()
        if self.parsing and not self._parses_next_turn:
            self._parses_next_turn = True
            self.loop.call_soon(self._parse)

    def on_memory_awaited(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` once the shared memory may allow a connection to read on."""
        self.broker.memory.wait(wake)
        if not self._reclaims:
            self._reclaims = True
            self.loop.call_at(self.loop.now() + RECLAIM_INTERVAL_US, self._reclaim_memory)

    def _reclaim_memory(self) -> None:
        """While a connection waits for memory, have it given back by those that hold it for longest."""
        self._reclaims = False
        if self.broker.dead or not self.broker.memory.is_awaited:
            return
        for client in list(self.clients):
            if client.busy and client.memory.shared_bytes:
                client.drop_read_ahead()
        oldest_us = self.loop.now() - RECLAIM_AFTER_US
        for client in [client for client in self.reserving if client.reserved_at_us <= oldest_us]:
            self.counts["reclaimed"] += 1
            client.fail(refusal(RECLAIM_BODY, self.broker.capacity_retry_after_us))
        self._reclaims = True
        self.loop.call_at(self.loop.now() + RECLAIM_INTERVAL_US, self._reclaim_memory)

    def _forget(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        self.parsing.pop(client, None)
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
