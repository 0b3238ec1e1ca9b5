"""Streams, listeners and nets, whatever carries their bytes."""

from __future__ import annotations

import contextlib
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Protocol

from heathwell.eventloop.loop import Abort, Coro, Loop, Task, sleep

READ_SIZE = 65_536
HIGH_WATER = 262_144  # bytes queued for sending above which `drain` waits
HARD_LIMIT = 16_777_216  # bytes queued for sending above which a stream is given up
READS_IN_A_ROW = 16  # reads without a wait after which the other tasks get a turn
LINGER_US = 5_000_000  # how long a closed stream may still send what is queued


class StreamBroken(Exception):
    """The connection was reset, or this side has closed it."""


class Overrun(StreamBroken):
    """The other side reads too slowly: its share of the buffer is used up and the stream was reset."""


class ConnectFailed(Exception):
    """No connection was established; the text says why."""

    @property
    def reset(self) -> bool:
        """Whether the other side was there and ended it: nothing is known of the next one."""
        return str(self) == "ECONNRESET"


class Stream(ABC):
    """A two-way stream of bytes with bounded buffers.

    ``sent`` counts the bytes handed to the carrier and ``queued`` those written in all: what lies
    beyond ``sent`` has provably not left.
    """

    def __init__(self, loop: Loop, peer: str) -> None:
        self.loop, self.peer = loop, peer
        self.high_water, self.hard_limit = HIGH_WATER, HARD_LIMIT
        self.closed = False
        self.sent = self.queued = 0
        self._ending = self._eof_sent = False
        self._reader: Task | None = None
        self._drainers: list[Task] = []
        self._chunks: deque[bytes] = deque()
        self._row = 0
        self._linger_at = 0
        self.on_close: Callable[[], None] | None = None
        self.on_flushed: Callable[[], None] | None = None  # all that was queued has left
        self.on_hangup: Callable[[], None] | None = None
        self.hung_up = False  # the other side has ended or is gone, though what it sent may be unread
        self._unread: deque[bytes] = deque()

    # What a carrier provides.

    @abstractmethod
    def _receive(self, size: int) -> bytes | None:
        """Bytes at hand, b"" at the end, None when there are none yet; raises :class:`StreamBroken`."""

    @abstractmethod
    def _flush(self) -> None:
        """Hand on as much of what is queued as the carrier takes."""

    @abstractmethod
    def _send_eof(self) -> None:
        """Tell the other side that nothing more follows."""

    @abstractmethod
    def _drop(self, reset: bool) -> None:
        """Let go of the carrier."""

    # What users call.

    @property
    def unsent(self) -> int:
        """Bytes queued and not yet handed to the carrier."""
        return self.queued - self.sent

    def read(self, size: int = READ_SIZE) -> Coro[bytes]:
        """The next bytes; b"" at the end; raises :class:`StreamBroken` when the connection is lost."""
        while True:
            if self.closed:
                raise StreamBroken("closed")
            data = self._unread.popleft() if self._unread else self._receive(size)
            if data is not None:
                self._row += 1
                if self._row >= READS_IN_A_ROW:
                    self._row = 0
                    yield from sleep(self.loop, 0)
                return data
            self._row = 0
            yield self._park_reader

    def write(self, data: bytes) -> None:
        """Queue bytes and send what the carrier takes; raises :class:`StreamBroken`, :class:`Overrun`."""
        if self.closed or self._ending:
            raise StreamBroken("closed")
        if self.unsent + len(data) > self.hard_limit:
            self.abort()
            raise Overrun(f"{self.peer} reads too slowly: over {self.hard_limit} bytes wait for it")
        self.queued += len(data)
        if data:
            self._chunks.append(data)
        self._flush()

    def offer(self, data: bytes) -> None:
        """As :meth:`write`, for those whose reader hears of a loss: on a broken stream it does nothing."""
        with contextlib.suppress(StreamBroken):
            self.write(data)

    def drain(self) -> Coro[None]:
        """Wait until what is queued is under the high-water mark."""
        while self.unsent > self.high_water and not self.closed:
            yield self._park_drainer
        if self.closed:
            raise StreamBroken("closed")

    def end(self) -> None:
        """Send what is queued, then the end; reading goes on."""
        if not self.closed and not self._ending:
            self._ending = True
            self._flush()

    def close(self) -> None:
        """Send what is queued, for a few seconds at the most, then close."""
        if self.closed:
            return
        self._ending = True
        self._flush()
        if self.closed:
            return
        if self.unsent:
            self._linger_at = self.loop.now() + LINGER_US
            self.loop.call_at(self._linger_at, self.abort)
        else:
            self._shut(reset=False)

    def close_if_quiet(self) -> bool:
        """Close a connection at rest, unless the other side has sent something that nobody has read yet; its
        reader gets that. True once it is closed, or its end has come.
        """
        if self.closed:
            return True
        try:
            data = self._look()
        except StreamBroken:
            return True
        if data:
            self._unread.append(data)
            self._readable()
            return False
        self.close()
        return True

    def abort(self) -> None:
        """Reset the connection at once."""
        if not self.closed:
            self._shut(reset=True)

    # Shared by the carriers.

    def _look(self) -> bytes | None:
        """As :meth:`_receive`, also where the carrier has told of nothing."""
        return self._receive(READ_SIZE)

    def _ended_there(self) -> None:
        """The other side has ended, or is gone."""
        if not self.hung_up:
            self.hung_up = True
            if self.on_hangup is not None:
                self.on_hangup()

    def _flushed(self) -> None:
        """To be called when bytes have gone out."""
        if self._ending and not self.unsent and not self._eof_sent and not self.closed:
            self._eof_sent = True
            self._send_eof()
            if self._linger_at:
                self._shut(reset=False)
                return
        if self._drainers and self.unsent <= self.high_water // 2:
            drainers, self._drainers = self._drainers, []
            for task in drainers:
                task.wake()
        if self.on_flushed is not None and not self.unsent and not self.closed:
            self.on_flushed()

    def _readable(self) -> None:
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.wake()

    def _shut(self, reset: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self._chunks.clear()
        self._drop(reset)
        self._readable()
        drainers, self._drainers = self._drainers, []
        for task in drainers:
            task.wake()
        if self.on_close is not None:
            hook, self.on_close = self.on_close, None
            hook()
        self.on_flushed = self.on_hangup = None

    def _park_reader(self, task: Task) -> Abort:
        if self._reader is not None:
            task.wake(None, RuntimeError("two tasks read one stream"))
            return lambda: None
        self._reader = task
        return self._unpark_reader

    def _unpark_reader(self) -> None:
        self._reader = None

    def _park_drainer(self, task: Task) -> Abort:
        self._drainers.append(task)
        return lambda: self._drainers.remove(task) if task in self._drainers else None


Handler = Callable[[Stream], Coro[None]]


class Listener(ABC):
    """Accepts connections, each served by a task of its own, ``most`` at a time."""

    def __init__(self, address: str, handler: Handler, name: str, most: int) -> None:
        self.address, self.handler, self.name, self.most = address, handler, name, most
        self.open = self.accepted = self.turned_away = self.backed_off = self.paced = 0
        # How long to leave the next connection waiting (us), and what to tell when one is taken.
        self.pace: Callable[[], int] | None = None
        self.on_accept: Callable[[], None] | None = None

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection; its loss ends it like its end."""
        try:
            yield from self.handler(stream)
        except StreamBroken:
            pass
        finally:
            self.open -= 1
            stream.close()

    @abstractmethod
    def close(self) -> None:
        """Accept no more; what is open goes on."""


class Net(Protocol):
    """Makes and takes connections; addresses are ``host:port``."""

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """A new connection; raises :class:`ConnectFailed`."""

    def listen(self, address: str, handler: Handler, name: str, most: int = 20_000) -> Listener:
        """Serve connections, ``most`` at a time; raises :class:`OSError` when the address is taken."""


def split_address(address: str) -> tuple[str, int]:
    """Host and port of an address; raises :class:`ValueError`."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"address {address!r} is not host:port")
    return host.strip("[]"), int(port)
