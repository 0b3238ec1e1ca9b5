"""The vector search server: Qdrant's REST API for searches, served by the broker like any other query.

A batch is split by cost into chunks. Each chunk is one query: its parts carry all searches of the chunk,
which a host computes in one matrix product. The batch is answered when all chunks are, and rejected with the
first one that is rejected, as the API has no form for a partly answered batch.
"""

from __future__ import annotations

from collections.abc import Callable

from heathwell.eventloop import Coro, Stream, StreamOverrunError
from heathwell.servers import vector_api as api
from heathwell.servers.client_connection import DRAIN_CHECK_INTERVAL_US, ClientRegistry
from heathwell.servers.vector_connection import VectorConnection, VectorServerStatistics
from heathwell.servers.vector_routes import VectorRoutes
from heathwell.servers.vector_search import SearchPlanner
from heathwell.service.service_broker import ServiceBroker


class VectorSearchServer:
    """Serves the HTTP connections of one broker's vector searches, within the limits on their number."""

    def __init__(self, broker: ServiceBroker, log: Callable[..., None]) -> None:
        limits = broker.service_settings.limits
        self.broker = broker
        self.log = log
        self.clients = ClientRegistry[VectorConnection](limits.clients, limits.clients_an_address)
        self.statistics = VectorServerStatistics()
        self.planner = SearchPlanner(broker)
        self.routes = VectorRoutes(broker, self.planner)
        self._connection_count = 0
        if broker.client_drain.spread_us:
            broker.loop.call_at(broker.loop.now() + DRAIN_CHECK_INTERVAL_US, self._check_drain)

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection until it ends."""
        self._connection_count += 1
        connection = VectorConnection(self, stream, self._connection_count)
        if not self.clients.register(connection).accepted:
            connection.reject(self._too_many_connections())
            return
        try:
            yield from connection.run()
        except StreamOverrunError as error:
            self.log(
                "info", "client connection closed: response not read", client=stream.peer, why=str(error)
            )
        finally:
            self.clients.remove(connection)
            connection.on_connection_lost()

    def query_class(self, collection: str, *, is_batch: bool) -> int:
        """Return the index of the query class that searches of a collection belong to."""
        return self.planner.query_class(collection, is_batch=is_batch)

    def _too_many_connections(self) -> api.ApiError:
        return api.ApiError(
            503, "Service unavailable: too many connections", self.broker.settings.max_retry_after_us
        )

    def _check_drain(self) -> None:
        """While the broker is cut off, close connections with their next answer, so that clients move."""
        if self.broker.dead:
            return
        self.broker.loop.call_at(self.broker.loop.now() + DRAIN_CHECK_INTERVAL_US, self._check_drain)
        drain = self.broker.client_drain
        for connection in self.clients.connections.values():
            connection.closes_with_answer = drain.is_active and connection.opened_at_us < drain.drain_since_us
