"""TCP streams, listeners and connects on :class:`~heathwell.eventloop.epoll.EpollPoller`."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from typing import NamedTuple

from heathwell.eventloop.clock import Clock, MonotonicClock
from heathwell.eventloop.epoll import END_MASK, READ_MASK, WRITE_MASK, EpollPoller
from heathwell.eventloop.errors import CONNECT_TIMED_OUT, ConnectError, StreamBrokenError
from heathwell.eventloop.loop import Abort, Coro, Loop, Task
from heathwell.eventloop.net import (
    MAX_CONNECTIONS,
    POLL_SIZE_BYTES,
    Handler,
    Listener,
    Stream,
    split_address,
)

RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
MIN_ACCEPT_BACKOFF_US = 20_000
MAX_ACCEPT_BACKOFF_US = 1_000_000
MAX_CONSECUTIVE_ACCEPTS = 64  # after this many accepts in a row a listener lets the other tasks run
MAX_CHUNKS_PER_SEND = 16
LISTEN_BACKLOG = 4096
LINGER_ZERO = struct.pack("ii", 1, 0)  # struct linger {on, 0 seconds}: close() sends a reset
INHERITED_PREFIX = "fd:"


class SocketStream(Stream):
    """A stream on a connected socket."""

    def __init__(self, loop: Loop, poller: EpollPoller, sock: socket.socket, peer: str) -> None:
        super().__init__(loop, peer)
        self._poller = poller
        self._sock = sock
        self._descriptor = sock.fileno()
        # Whether calls may succeed: false from a failure with EAGAIN until the next readiness event.
        self._can_read = True
        self._can_write = True
        sock.settimeout(0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def watch(self) -> None:
        """Register for events."""
        self._poller.register(self._descriptor, self.on_event)

    def on_event(self, mask: int) -> None:
        """Handle an event of the descriptor."""
        if self.closed:
            return
        if mask & WRITE_MASK:
            self._can_write = True
            if self._chunks or self._drainers:
                self._flush()
        if mask & READ_MASK:
            self._can_read = True
            if mask & END_MASK and not self.closed:
                self._report_hangup()
            self._readable()

    def _receive(self, size: int) -> bytes | None:
        if not self._can_read:
            return None
        try:
            return self._sock.recv(size)
        except BlockingIOError:
            self._can_read = False
            return None
        except OSError as problem:
            self._shut(reset=False)
            raise StreamBrokenError(str(problem)) from None

    def _poll_transport(self) -> bytes | None:
        self._can_read = True
        return self._receive(POLL_SIZE_BYTES)

    def _flush(self) -> None:
        while self._chunks and self._can_write:
            if len(self._chunks) > 1:
                joined = min(len(self._chunks), MAX_CHUNKS_PER_SEND)
                self._chunks.appendleft(b"".join(self._chunks.popleft() for _ in range(joined)))
            head = self._chunks[0]
            try:
                count = self._sock.send(head)
            except BlockingIOError:
                self._can_write = False
                break
            except OSError:
                self._shut(reset=False)
                return
            self.sent += count
            if count == len(head):
                self._chunks.popleft()
            else:
                self._chunks[0] = head[count:]
        self._flushed()

    def _send_eof(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._shut(reset=False)

    def _drop(self, *, reset: bool) -> None:
        self._poller.unregister(self._descriptor)
        if reset:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self._sock.close()


class SocketListener(Listener):
    """Accepts on a listening socket; backs off while the process is out of descriptors or memory."""

    def __init__(
        self, net: SocketNet, sock: socket.socket, handler: Handler, name: str, max_connections: int
    ) -> None:
        host, port = sock.getsockname()[:2]
        super().__init__(f"{host}:{port}", handler, name, max_connections)
        self._net = net
        self._sock = sock
        self._backoff_us = MIN_ACCEPT_BACKOFF_US
        self._closed = False
        self._is_paced = False
        net.poller.register(sock.fileno(), lambda _mask: self._accept())

    def _accept(self) -> None:
        for _ in range(MAX_CONSECUTIVE_ACCEPTS):
            if self._closed:
                return
            if self.accept_delay_us is not None and (wait_us := self.accept_delay_us()):
                self._pause(wait_us)
                return
            try:
                sock, address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS:
                    continue  # that one connection was lost before it was accepted
                self._back_off()
                return
            self._backoff_us = MIN_ACCEPT_BACKOFF_US
            if self.open >= self.max_connections:
                self.rejected += 1
                sock.close()
                continue
            self._serve_accepted(sock, f"{address[0]}:{address[1]}")
        self._net.loop.call_soon(self._accept)

    def _serve_accepted(self, sock: socket.socket, peer: str) -> None:
        self.accepted += 1
        self.open += 1
        if self.on_accept is not None:
            self.on_accept()
        stream = SocketStream(self._net.loop, self._net.poller, sock, peer)
        stream.watch()
        self._net.loop.spawn(self.serve(stream), f"{self.name} {peer}")

    def _pause(self, wait_us: int) -> None:
        """Leave connections in the kernel's backlog until the timer fires."""
        self.delayed_accepts += 1
        if not self._is_paced:
            self._is_paced = True
            self._net.loop.call_at(self._net.loop.now() + wait_us, self._resume)

    def _resume(self) -> None:
        self._is_paced = False
        self._accept()

    def _back_off(self) -> None:
        """Accept again after a pause: edge-triggered epoll does not report the waiting connections again."""
        self.accept_backoffs += 1
        self._net.loop.call_at(self._net.loop.now() + self._backoff_us, self._accept)
        self._backoff_us = min(self._backoff_us * 2, MAX_ACCEPT_BACKOFF_US)

    def close(self) -> None:
        """Accept the connections of the backlog, then no more."""
        if not self._closed:
            self._accept()
            self._closed = True
            self._net.poller.unregister(self._sock.fileno())
            self._sock.close()


class SocketNet:
    """A net of TCP sockets."""

    def __init__(self, loop: Loop, poller: EpollPoller) -> None:
        self.loop = loop
        self.poller = poller

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """Open a connection; raise :class:`ConnectError`."""
        try:
            host, port = split_address(address)
            sock = socket.socket(_family_of(host), socket.SOCK_STREAM)
        except (OSError, ValueError) as error:
            raise ConnectError(str(error)) from None
        sock.settimeout(0)
        code = sock.connect_ex((host, port))
        stream = SocketStream(self.loop, self.poller, sock, address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise ConnectError(_errno_name(code))
        is_connected = False
        try:
            if code:
                yield from self._wait_connected(stream, sock, timeout_us)
            else:
                stream.watch()
            is_connected = True
            return stream
        finally:
            if not is_connected:
                stream.abort()

    def _wait_connected(self, stream: SocketStream, sock: socket.socket, timeout_us: int) -> Coro[None]:
        """Wait until a connect has ended, and register the stream; raise :class:`ConnectError`."""

        def wait_for_writable(task: Task[object]) -> Abort:
            """Wake the task with True once the socket is writable, or with None at the timeout."""
            timer = self.loop.call_at(self.loop.now() + timeout_us, task.wake)

            def on_event(mask: int) -> None:
                """Wake the task if the connect has ended."""
                if mask & WRITE_MASK:
                    timer.cancel()
                    task.wake(value=True)

            self.poller.register(sock.fileno(), on_event)

            return timer.cancel

        is_writable = yield wait_for_writable
        if not is_writable:
            raise ConnectError(CONNECT_TIMED_OUT)
        self.poller.unregister(sock.fileno())
        stream.watch()
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise ConnectError(_errno_name(code))

    def listen(
        self, address: str, handler: Handler, name: str, max_connections: int = MAX_CONNECTIONS
    ) -> Listener:
        """Serve connections; raise :class:`OSError`, :class:`ValueError` for a malformed address.

        With port 0 the kernel selects one: see ``address`` of the returned listener. ``fd:N`` is a listening
        socket that this process has inherited: other processes may accept from it too, and it outlives this
        one.
        """
        if address.startswith(INHERITED_PREFIX):
            inherited = socket.socket(fileno=int(address.removeprefix(INHERITED_PREFIX)))
            inherited.settimeout(0)
            return SocketListener(self, inherited, handler, name, max_connections)
        host, port = split_address(address)
        sock = socket.socket(_family_of(host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.settimeout(0)
            sock.bind((host, port))
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        return SocketListener(self, sock, handler, name, max_connections)


def _family_of(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def _errno_name(code: int) -> str:
    return errno.errorcode.get(code, str(code))


class SocketRuntime(NamedTuple):
    """A loop on sockets with its net and its poller."""

    loop: Loop
    net: SocketNet
    poller: EpollPoller


def socket_loop(seed: int | None = None, clock: Clock | None = None) -> SocketRuntime:
    """Make a loop on sockets; without a clock it uses the machine's monotonic clock."""
    clock = clock or MonotonicClock()
    poller = EpollPoller(clock)
    loop = Loop(clock, poller, seed)
    return SocketRuntime(loop, SocketNet(loop, poller), poller)
