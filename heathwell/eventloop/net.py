"""Interfaces of streams, listeners and nets, implemented on sockets and on virtual time."""

from __future__ import annotations

import contextlib
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from heathwell.eventloop.errors import ConcurrentReadError, StreamBrokenError, StreamOverrunError
from heathwell.eventloop.loop import Abort, Coro, Loop, Task, sleep

READ_SIZE_BYTES = 65_536
HIGH_WATER_BYTES = 262_144  # `drain` waits while more bytes than this are queued for sending
HARD_LIMIT_BYTES = 16_777_216  # a stream is reset if more bytes than this would be queued for sending
MAX_CONSECUTIVE_READS = 16  # after this many reads without a wait a reader lets the other tasks run
POLL_SIZE_BYTES = 4_096  # read where a stream is to be closed unless bytes have arrived
LINGER_DURATION_US = 5_000_000  # time for which a closed stream may still send its queued bytes
MAX_CONNECTIONS = 20_000  # default limit of a listener
MAX_PORT = 65_535


class Stream(ABC):
    """A two-way stream of bytes with bounded buffers.

    ``queued`` counts all bytes written, and ``sent`` those handed to the transport. Bytes beyond ``sent``
    have certainly not left this process.

    Subclasses are transports: they implement :meth:`_receive`, :meth:`_flush`, :meth:`_send_eof` and
    :meth:`_drop`.
    """

    def __init__(self, loop: Loop, peer: str) -> None:
        self.loop = loop
        self.peer = peer
        self.high_water = HIGH_WATER_BYTES
        self.hard_limit = HARD_LIMIT_BYTES
        # After this many bytes without a wait a reader lets the other tasks run.
        self.max_consecutive_bytes = MAX_CONSECUTIVE_READS * READ_SIZE_BYTES
        self.closed = False
        self.sent = 0
        self.queued = 0
        self.on_close: Callable[[], None] | None = None
        self.on_flushed: Callable[[], None] | None = None  # called once no byte is queued any more
        self.on_hangup: Callable[[], None] | None = None
        self.hung_up = False  # whether the peer has ended or reset the stream; earlier bytes may be unread
        self._ending = False
        self._eof_sent = False
        self._reader: Task[object] | None = None
        self._drainers: list[Task[object]] = []
        self._chunks: deque[bytes] = deque()
        self._unread: deque[bytes] = deque()  # taken from the transport, and not returned by `read` yet
        self._consecutive_reads = 0
        self._consecutive_bytes = 0
        self._linger_until_us = 0

    # Implemented by transports.

    @abstractmethod
    def _receive(self, size: int) -> bytes | None:
        """Return received bytes, b"" at the end, None if there are none yet.

        Raise :class:`StreamBrokenError` if the connection is lost.
        """

    @abstractmethod
    def _flush(self) -> None:
        """Pass on as many queued bytes as the transport accepts."""

    @abstractmethod
    def _send_eof(self) -> None:
        """Send the end of the stream to the peer."""

    @abstractmethod
    def _drop(self, *, reset: bool) -> None:
        """Release the transport."""

    # Public.

    @property
    def unsent(self) -> int:
        """Bytes queued and not yet handed to the transport."""
        return self.queued - self.sent

    @property
    def is_closing(self) -> bool:
        """Whether nothing can be written any more; queued bytes may still be sent, and bytes read."""
        return self.closed or self._ending

    def read(self, size: int = READ_SIZE_BYTES) -> Coro[bytes]:
        """Return the next bytes, b"" at the end; raise :class:`StreamBrokenError` on a lost connection."""
        yield from self.let_others_run()
        while (data := self.read_now(size)) is None:
            yield from self.wait_readable()
        return data

    def read_now(self, size: int) -> bytes | None:
        """Return the next bytes, b"" at the end, None if there are none yet, as :meth:`read` does.

        A reader whose bytes depend on what is free at the time calls this, :meth:`let_others_run` before and
        :meth:`wait_readable` after a None.
        """
        if self.closed:
            raise StreamBrokenError("the stream is closed")
        data = self._unread.popleft() if self._unread else self._receive(size)
        if data is None:
            self._consecutive_reads = 0
            self._consecutive_bytes = 0
        else:
            self._consecutive_reads += 1
            self._consecutive_bytes += len(data)
        return data

    def let_others_run(self) -> Coro[None]:
        """Let the other tasks run if this stream was read often, or much, without a wait.

        Nothing is taken before: during the pause another task may close the stream if it is quiet.
        """
        is_due = (
            self._consecutive_reads >= MAX_CONSECUTIVE_READS
            or self._consecutive_bytes >= self.max_consecutive_bytes
        )
        if is_due:
            self._consecutive_reads = 0
            self._consecutive_bytes = 0
            yield from sleep(self.loop, 0)

    def wait_readable(self) -> Coro[None]:
        """Wait until bytes may have arrived, or the stream has ended or is closed."""
        yield self._park_reader

    def write(self, data: bytes) -> None:
        """Queue bytes and send as many as the transport accepts.

        Raise :class:`StreamBrokenError`, or :class:`StreamOverrunError` over the hard limit.
        """
        if self.is_closing:
            raise StreamBrokenError("the stream is closed for writing")
        if self.unsent + len(data) > self.hard_limit:
            self.abort()
            raise StreamOverrunError(self.peer, self.hard_limit)
        self.queued += len(data)
        if data:
            self._chunks.append(data)
        self._flush()

    def try_write(self, data: bytes) -> None:
        """Write as :meth:`write` does, but ignore a broken stream, whose reader receives the error."""
        with contextlib.suppress(StreamBrokenError):
            self.write(data)

    def drain(self) -> Coro[None]:
        """Wait until at most ``high_water`` bytes are queued."""
        while self.unsent > self.high_water and not self.closed:
            yield self._park_drainer
        if self.closed:
            raise StreamBrokenError("the stream is closed")

    def end(self) -> None:
        """Send the queued bytes, then the end; the peer's bytes can still be read."""
        if not self.closed and not self._ending:
            self._ending = True
            self._flush()

    def close(self) -> None:
        """Send the queued bytes for up to ``LINGER_DURATION_US``, then close."""
        if self.closed:
            return
        self._ending = True
        self._flush()
        if self.closed:
            return
        if self.unsent:
            self._linger_until_us = self.loop.now() + LINGER_DURATION_US
            self.loop.call_at(self._linger_until_us, self.abort)
        else:
            self._shut(reset=False)

    def close_unless_readable(self) -> bool:
        """Close the stream unless received bytes are unread: those are passed to its reader.

        Return whether the stream is closed or broken. Until the reader has run, further calls return false.
        """
        if self.closed:
            return True
        if self._unread:
            return False
        try:
            data = self._poll_transport()
        except StreamBrokenError:
            return True
        if data:
            self._unread.append(data)
            self._readable()
            return False
        self.close()
        return True

    def abort(self) -> None:
        """Reset the connection without sending the queued bytes."""
        if not self.closed:
            self._shut(reset=True)

    # Shared by the transports.

    def _poll_transport(self) -> bytes | None:
        """Receive as :meth:`_receive` does, even if the transport has not reported an event."""
        return self._receive(POLL_SIZE_BYTES)

    def _report_hangup(self) -> None:
        """Record that the peer has ended or reset the stream, and call ``on_hangup`` once."""
        if not self.hung_up:
            self.hung_up = True
            if self.on_hangup is not None:
                self.on_hangup()

    def _flushed(self) -> None:
        """Finish an ending stream and wake waiting writers; called by a transport that accepted bytes."""
        if self._ending and not self.unsent and not self._eof_sent and not self.closed:
            self._eof_sent = True
            self._send_eof()
            if self._linger_until_us:
                self._shut(reset=False)
                return
        if self._drainers and self.unsent <= self.high_water // 2:
            self._wake_drainers()
        if self.on_flushed is not None and not self.unsent and not self.closed:
            self.on_flushed()

    def _readable(self) -> None:
        """Wake the reader."""
        reader = self._reader
        self._reader = None
        if reader is not None:
            reader.wake()

    def _wake_drainers(self) -> None:
        drainers = self._drainers
        self._drainers = []
        for task in drainers:
            task.wake()

    def _shut(self, *, reset: bool) -> None:
        """Release the transport, wake all waiting tasks and call the hooks; a second call is a no-op."""
        if self.closed:
            return
        self.closed = True
        self._chunks.clear()
        self._drop(reset=reset)
        self._readable()
        self._wake_drainers()
        on_close = self.on_close
        self.on_close = None
        if on_close is not None:
            on_close()
        self.on_flushed = None
        self.on_hangup = None

    def _park_reader(self, task: Task[object]) -> Abort:
        if self._reader is not None:
            task.wake(None, ConcurrentReadError())
            return lambda: None
        self._reader = task
        return self._unpark_reader

    def _unpark_reader(self) -> None:
        self._reader = None

    def _park_drainer(self, task: Task[object]) -> Abort:
        self._drainers.append(task)
        return lambda: self._drainers.remove(task) if task in self._drainers else None


Handler = Callable[[Stream], Coro[None]]


class Listener(ABC):
    """Accepts connections, each served by a task of its own, up to ``max_connections`` at a time.

    ``accept_delay_us``, if set, returns the microseconds that the next connection must still wait in the
    backlog; ``on_accept`` is called for each accepted connection.
    """

    def __init__(self, address: str, handler: Handler, name: str, max_connections: int) -> None:
        self.address = address
        self.handler = handler
        self.name = name
        self.max_connections = max_connections
        self.open = 0
        self.accepted = 0
        self.rejected = 0  # connections closed at once because `max_connections` were open
        self.accept_backoffs = 0  # pauses because the process was out of descriptors or memory
        self.delayed_accepts = 0  # pauses requested by `accept_delay_us`
        self.accept_delay_us: Callable[[], int] | None = None
        self.on_accept: Callable[[], None] | None = None

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection; a lost connection ends the task without an error."""
        try:
            yield from self.handler(stream)
        except StreamBrokenError:
            pass
        finally:
            self.open -= 1
            stream.close()

    @abstractmethod
    def close(self) -> None:
        """Accept no more connections; open ones are still served."""


class Net(Protocol):
    """Opens and accepts connections; addresses are ``host:port``."""

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """Open a connection; raise :class:`ConnectError`."""

    def listen(
        self, address: str, handler: Handler, name: str, max_connections: int = MAX_CONNECTIONS
    ) -> Listener:
        """Serve connections, ``max_connections`` at a time.

        Raise :class:`OSError` if the address is in use.
        """


class HostPort(NamedTuple):
    """The host and the port of an address."""

    host: str
    port: int


def split_address(address: str) -> HostPort:
    """Return host and port of an address; raise :class:`ValueError`."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"expected an address host:port, got {address!r}")
    return HostPort(host.strip("[]"), int(port))
