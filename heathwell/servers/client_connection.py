"""What the connections of all client protocols have in common: how an idle one is closed."""

from __future__ import annotations

from abc import ABC, abstractmethod

from heathwell.eventloop import Coro, Stream


class ClientConnection(ABC):
    """A client's connection, read by one task through :meth:`read`.

    :meth:`close_if_idle` is the only way in which the server closes a connection for being idle.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._has_unread_request = False

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether no request is in progress and none has begun, as far as bytes were read."""

    def read(self) -> Coro[bytes]:
        """Return the next bytes, b"" at the end. Raise ``StreamBroken`` when the connection is lost."""
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
        if self.stream.close_if_quiet():
            return True
        self._has_unread_request = True
        return False
