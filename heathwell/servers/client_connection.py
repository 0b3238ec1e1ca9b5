"""Client connections and their limits, common to the servers of all client protocols."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Generic, TypeVar

from heathwell.eventloop import Stream
from heathwell.service.retry_storms import ConnectionLimiter

EXTRA_CONNECTIONS = 64  # accepted above the limit, so that they are rejected by a reply of the protocol
DRAIN_CHECK_INTERVAL_US = 250_000


class ClientConnection(ABC):
    """A client's connection.

    The server closes idle connections through :meth:`close_if_idle` only, which loses no request that has
    arrived already.
    """

    def __init__(self, stream: Stream, number: int) -> None:
        self.stream = stream
        self.number = number
        self.address = stream.peer.rpartition(":")[0]

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received, judged by the bytes read so far."""

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle and return whether it is closed.

        The event loop runs timers and accepts clients before it resumes the reading task, so a request may be
        waiting in the socket: the socket is read once more, and a connection with unread bytes stays open.
        """
        if not self.is_idle:
            return self.stream.closed
        return self.stream.close_unless_readable()


ConnectionT = TypeVar("ConnectionT", bound=ClientConnection)


@dataclass(frozen=True, slots=True)
class Registration(Generic[ConnectionT]):
    """Whether a new connection was accepted, and the idle connection that was evicted for it, if any."""

    accepted: bool
    evicted: ConnectionT | None = None


class ClientRegistry(Generic[ConnectionT]):
    """The open connections of one server by number, limited in total and per client address."""

    def __init__(self, max_clients: int, max_clients_per_address: int) -> None:
        self.connections: dict[int, ConnectionT] = {}
        self.limiter = ConnectionLimiter(max_clients, max_clients_per_address)

    def register(self, connection: ConnectionT) -> Registration[ConnectionT]:
        """Add a new connection; at a limit, evict an idle one for it, or reject it if none is idle."""
        verdict = self.limiter.admit(
            connection.number,
            connection.address,
            lambda number: self.connections[number].close_if_idle(),
        )
        if not verdict.is_admitted:
            return Registration(accepted=False)
        self.connections[connection.number] = connection
        evicted = None if verdict.evicted is None else self.connections[verdict.evicted]
        return Registration(accepted=True, evicted=evicted)

    def on_request(self, connection: ConnectionT) -> None:
        """Record a use of a connection: the least recently used idle one is evicted first."""
        self.limiter.on_request(connection.number)

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection.number, None)
        self.limiter.on_closed(connection.number)
