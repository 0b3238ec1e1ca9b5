"""What the servers of all client protocols have in common: their connections, and how many there may be."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Generic, TypeVar

from heathwell.eventloop import Coro, Stream
from heathwell.service.retry_storms import ConnectionLimiter

EXTRA_CONNECTIONS = 64  # accepted over the limit, so that the server rejects them in its own protocol
DRAIN_CHECK_INTERVAL_US = 250_000


class ClientConnection(ABC):
    """A client's connection, read by one task through :meth:`read`.

    :meth:`close_if_idle` is the only way in which the server closes a connection for being idle.
    """

    def __init__(self, stream: Stream, number: int) -> None:
        self.stream = stream
        self.number = number
        self.address = stream.peer.rpartition(":")[0]
        self._has_unread_request = False

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether no request is in progress and none has begun, as far as bytes were read."""

    def read(self) -> Coro[bytes]:
        """Return the next bytes, b"" at the end. Raise ``StreamBrokenError`` when the connection is lost."""
        data = yield from self.stream.read()
        self._has_unread_request = False
        return data

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle and return whether it is closed.

        Timers and new clients are served before the task that reads, so the next request may be in the
        socket already: the socket is read once more, and a connection with bytes at hand stays open.
        """
        if self._has_unread_request or not self.is_idle:
            return self.stream.closed
        if self.stream.close_unless_readable():
            return True
        self._has_unread_request = True
        return False


ConnectionT = TypeVar("ConnectionT", bound=ClientConnection)


@dataclass(frozen=True, slots=True)
class Registration(Generic[ConnectionT]):
    """Whether a new connection may stay, and the idle one that was closed for it, if any."""

    accepted: bool
    evicted: ConnectionT | None = None


class ClientRegistry(Generic[ConnectionT]):
    """The open connections of one server by number, limited in all and by client address."""

    def __init__(self, max_clients: int, max_clients_per_address: int) -> None:
        self.connections: dict[int, ConnectionT] = {}
        self.limiter = ConnectionLimiter(max_clients, max_clients_per_address)

    def register(self, connection: ConnectionT) -> Registration[ConnectionT]:
        """Take in a new connection. At the limit an idle one is closed for it, or it is rejected."""
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
        """Note that a connection is in use: the longest unused one is evicted first."""
        self.limiter.on_request(connection.number)

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection.number, None)
        self.limiter.on_closed(connection.number)
