"""One call of the platform's discovery over HTTP: connect if needed, request, and decode the answer.

A call has no timeout of its own but for a connect that never ends: the watch that made it decides how long it
waits, and when the call is closed. Imports the HTTP codec, the decoder of answers and the event loop.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Protocol

from heathwell.codec.http import ClientSide, HttpError, Response
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError
from heathwell.gateway.errors import GatewayError
from heathwell.gateway.targets import Targets, TargetsError

MAX_CONNECT_US = 4_000_000  # a connect that takes longer has failed
MAX_BODY_BYTES = 1 << 20
READ_BYTES = 8_192  # read in one turn; an answer may come in chunks of one byte
STATUS_OK = 200


class CallRefusedError(GatewayError):
    """Discovery answered with a status that is no success: it is down, or has too many callers."""

    def __init__(self, status: int) -> None:
        super().__init__(f"expected status {STATUS_OK}, got {status}")


CallProblem = ConnectError | StreamBrokenError | HttpError | TargetsError | CallRefusedError


class DiscoveryConnection:
    """An HTTP connection to discovery, for one call after another."""

    def __init__(self, address: str, stream: Stream) -> None:
        self.has_received = False  # whether any byte has answered the last request
        self._stream = stream
        stream.max_consecutive_bytes = READ_BYTES
        self._side = ClientSide(address, MAX_BODY_BYTES)

    @property
    def is_reusable(self) -> bool:
        """Whether another call can be made over this connection."""
        return self._side.reusable and not self._stream.closed and not self._stream.hung_up

    def get(self, path: str) -> Coro[Targets]:
        """Request a path and return the answer, however late it comes.

        Raise one of the errors of ``CallProblem``.
        """
        self.has_received = False
        self._stream.write(self._side.request("GET", path))
        while (response := (yield from self._read())) is None:
            pass
        if response.status != STATUS_OK:
            raise CallRefusedError(response.status)
        return Targets.from_bytes(response.body)

    def _read(self) -> Generator[object, object, Response | None]:
        """Wait for bytes, keeping none for the next wait; return the response once it is complete."""
        data = yield from self._stream.read(READ_BYTES)
        self.has_received = self.has_received or bool(data)
        return self._side.feed(data)

    def close(self) -> None:
        """Reset the connection."""
        self._stream.abort()


class CallOwner(Protocol):
    """Handles a call's connect, and once its end, unless the call was closed before."""

    def on_connected(self, call: DiscoveryCall) -> None:
        """Handle a new connection of the call, over which its request is sent."""

    def on_answer(self, call: DiscoveryCall, targets: Targets) -> None:
        """Handle the answer; the call's connection may be used for the next call."""

    def on_failure(self, call: DiscoveryCall, problem: CallProblem) -> None:
        """Handle a call that failed; its connection is closed."""


class DiscoveryCall:
    """One call of an address, with a hold time of ``hold_us`` (0: it is answered at once).

    ``known_rev`` is the revision of the broker's list as the call is made, None without a list. The call is
    made over ``connection``, or over a new one if that is None, by a task that starts with the object.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        owner: CallOwner,
        address: str,
        path: str,
        connection: DiscoveryConnection | None,
        *,
        hold_us: int,
        known_rev: int | None,
    ) -> None:
        self.address = address
        self.hold_us = hold_us
        self.known_rev = known_rev
        self.sent_at_us = loop.now()  # with a new connection, when it was established
        self.connection = connection
        self._is_reused = connection is not None
        self._has_ended = False
        self._loop = loop
        self._net = net
        self._owner = owner
        self._task = loop.spawn(self._run(path), "discovery")

    @property
    def is_connecting(self) -> bool:
        """Whether the call waits for its connection."""
        return self.connection is None and not self._has_ended

    @property
    def found_connection_ended(self) -> bool:
        """Whether the call was made over an earlier call's connection and got no byte there."""
        return self._is_reused and self.connection is not None and not self.connection.has_received

    def close(self) -> None:
        """End the call and its connection, without notifying the owner."""
        if not self._has_ended:
            self._task.cancel()
        self._close_connection()

    def _run(self, path: str) -> Coro[None]:
        try:
            if self.connection is None:
                stream = yield from self._net.connect(self.address, MAX_CONNECT_US)
                self.connection = DiscoveryConnection(self.address, stream)
                self.sent_at_us = self._loop.now()
                self._owner.on_connected(self)
            targets = yield from self.connection.get(path)
        except (ConnectError, StreamBrokenError, HttpError, TargetsError, CallRefusedError) as problem:
            self._has_ended = True
            if self.connection is not None:
                self.connection.close()
            self._owner.on_failure(self, problem)
            return
        self._has_ended = True
        self._owner.on_answer(self, targets)

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
