"""The memcached server: each key of a get is a separate query; replies are sent in the order of commands.

docs/clients-memcached.md describes the replies, :mod:`heathwell.servers.memcached_replies` encodes them.
"""

from __future__ import annotations

from collections.abc import Callable

from heathwell import __version__
from heathwell.codec import memcached as protocol
from heathwell.eventloop import Coro, Stream, StreamOverrunError
from heathwell.servers.client_connection import DRAIN_CHECK_INTERVAL_US, ClientRegistry
from heathwell.servers.memcached_connection import MemcachedConnection, MemcachedServerStatistics, StatsReply
from heathwell.service.regions import IdleClient
from heathwell.service.service_broker import ServiceBroker


class MemcachedServer:
    """Serves the memcached connections of one broker, within the limits on their number."""

    def __init__(self, broker: ServiceBroker, log: Callable[..., None]) -> None:
        limits = broker.service_settings.limits
        self.broker = broker
        self.log = log
        self.clients = ClientRegistry[MemcachedConnection](limits.clients, limits.clients_an_address)
        self.statistics = MemcachedServerStatistics()
        self._started_at_us = broker.loop.now()
        if broker.client_drain.spread_us:
            broker.loop.call_at(self._started_at_us + DRAIN_CHECK_INTERVAL_US, self._drain_idle_clients)

    @property
    def connections(self) -> list[MemcachedConnection]:
        """The open connections, oldest first."""
        return list(self.clients.connections.values())

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection until it ends."""
        self.statistics.connections += 1
        connection = MemcachedConnection(self, stream, self.statistics.connections)
        registration = self.clients.register(connection)
        if not registration.accepted:
            stream.write(protocol.server_error("heathwell too many connections"))
            return
        if registration.evicted is not None:
            self.log(
                "info",
                "idle client connection evicted at the connection limit",
                client=registration.evicted.stream.peer,
            )
        try:
            yield from connection.run()
        except StreamOverrunError as error:
            self.statistics.slow_clients += 1
            self.log("info", "client connection closed: replies not read", client=stream.peer, why=str(error))
        finally:
            self.clients.remove(connection)
            connection.on_connection_lost()

    def close_idle_connections(self) -> int:
        """Close the idle connections and return the number of those that are still open.

        Called while another process takes over the address: it serves the clients that reconnect.
        """
        for connection in self.connections:
            connection.close_if_idle()
        return sum(not connection.stream.closed for connection in self.connections)

    def stats(self) -> StatsReply:
        """Return the reply to the command ``stats``."""
        broker = self.broker
        return StatsReply(
            pid=0,
            uptime=(broker.loop.now() - self._started_at_us) // 1_000_000,
            version=__version__,
            curr_connections=len(self.clients.connections),
            total_connections=self.statistics.connections,
            cmd_get=self.statistics.keys,
            queries_held=sum(query.on_reply is not None for query in broker.queries.values()),
            hosts_known=len(broker.aggregator.endpoints),
            bad_commands=self.statistics.bad_commands,
            clients_cut_slow=self.statistics.slow_clients,
            clients_refused=self.clients.limiter.rejected_count,
            clients_closed_for_others=self.clients.limiter.evicted_count,
            writes_refused=self.statistics.rejected_writes,
            stopping=int(broker.stopping),
        )

    def _drain_idle_clients(self) -> None:
        """Close idle clients at their scheduled times while the broker is cut off or its zone evacuated."""
        if self.broker.dead:
            return
        now = self.broker.loop.now()
        self.broker.loop.call_at(now + DRAIN_CHECK_INTERVAL_US, self._drain_idle_clients)
        drain = self.broker.client_drain
        drain.tick(now, should_drain=self.broker.should_drain_clients)
        if not drain.is_active:
            return
        idle = [
            IdleClient(connection.number, connection.opened_at_us)
            for connection in self.connections
            if connection.is_idle
        ]
        for number in drain.take_due(now, idle):
            connection = self.clients.connections[number]
            if connection.close_if_idle():
                self.log("debug", "idle client connection closed by drain", client=connection.stream.peer)
            else:
                # A request has arrived. It is answered, and the drain schedules the connection again.
                drain.closed_count -= 1
