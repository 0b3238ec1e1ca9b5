"""Sockets on `select.epoll`, edge triggered: every descriptor is registered once, for its whole life."""

from __future__ import annotations

import contextlib
import errno
import select
import signal
import socket
import struct
from collections.abc import Callable

from heathwell.eventloop.clock import Clock, MonotonicClock
from heathwell.eventloop.loop import Abort, Coro, Loop, Task
from heathwell.eventloop.net import (
    READ_SIZE,
    ConnectFailed,
    Handler,
    Listener,
    Stream,
    StreamBroken,
    split_address,
)

WATCH = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
READ_MASK = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
END_MASK = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
WRITE_MASK = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR
OUT_OF_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BACK_OFF_US, BACK_OFF_MOST_US = 20_000, 1_000_000
ACCEPTS_IN_A_ROW = 64
EVENTS_A_POLL = 1024
SEND_CHUNKS = 16
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EpollPoller:
    """The loop's view of `select.epoll`, with a socket pair to be woken by other threads and signals."""

    def __init__(self, clock: Clock | None = None) -> None:
        self._epoll = select.epoll()
        self._calls: dict[int, Callable[[int], None]] = {}
        self._clock = clock or MonotonicClock()
        self._in, self._out = socket.socketpair()
        self._in.setblocking(False)
        self._out.setblocking(False)
        self._on_signal: dict[int, Callable[[], None]] = {}
        self.register(self._in.fileno(), self._woken)

    def register(self, fd: int, call: Callable[[int], None]) -> None:
        """Report events of a descriptor to a call, from now until :meth:`unregister`."""
        self._calls[fd] = call
        self._epoll.register(fd, WATCH)

    def unregister(self, fd: int) -> None:
        """Report no more."""
        if self._calls.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def poll(self, until_us: int | None) -> None:
        """Wait, and report what happened."""
        if until_us is None:
            timeout = -1.0
        elif until_us <= 0:
            timeout = 0.0
        else:
            timeout = max(0, until_us - self._clock.now()) / 1e6
        try:
            happened = self._epoll.poll(timeout, EVENTS_A_POLL)
        except InterruptedError:
            return
        for fd, mask in happened:
            call = self._calls.get(fd)
            if call is not None:
                call(mask)

    def wake(self) -> None:
        """End a wait from another thread."""
        with contextlib.suppress(BlockingIOError):  # enough wake-ups are on their way
            self._out.send(b"\0")

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Make a call in the loop's thread when a signal comes, by the wakeup descriptor."""
        self._on_signal[number] = call
        signal.set_wakeup_fd(self._out.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def _woken(self, _mask: int) -> None:
        while True:
            try:
                data = self._in.recv(4096)
            except BlockingIOError:
                return
            for number in data:
                if number in self._on_signal:
                    self._on_signal[number]()
            if not data:
                return

    def close(self) -> None:
        """Give back the descriptors."""
        if self._on_signal:
            signal.set_wakeup_fd(-1)
        self._epoll.close()
        self._in.close()
        self._out.close()


class SocketStream(Stream):
    """A stream on a connected socket."""

    def __init__(self, loop: Loop, poller: EpollPoller, sock: socket.socket, peer: str) -> None:
        super().__init__(loop, peer)
        self._poller, self._sock = poller, sock
        self._fd = sock.fileno()
        self._can_read = self._can_write = True
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def watch(self) -> None:
        """Start to be told of events."""
        self._poller.register(self._fd, self.happened)

    def happened(self, mask: int) -> None:
        """An event of the descriptor."""
        if self.closed:
            return
        if mask & WRITE_MASK:
            self._can_write = True
            if self._chunks or self._drainers:
                self._flush()
        if mask & READ_MASK:
            self._can_read = True
            if mask & END_MASK and not self.closed:
                self._ended_there()
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
            raise StreamBroken(str(problem)) from None

    def _look(self) -> bytes | None:
        self._can_read = True
        return self._receive(READ_SIZE)

    def _flush(self) -> None:
        while self._chunks and self._can_write:
            if len(self._chunks) > 1:
                head = b"".join(self._chunks.popleft() for _ in range(min(len(self._chunks), SEND_CHUNKS)))
                self._chunks.appendleft(head)
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

    def _drop(self, reset: bool) -> None:
        self._poller.unregister(self._fd)
        if reset:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._sock.close()


class SocketListener(Listener):
    """Accepts on a listening socket, and backs off while descriptors run out."""

    def __init__(self, net: SocketNet, sock: socket.socket, handler: Handler, name: str, most: int) -> None:
        host, port = sock.getsockname()[:2]
        super().__init__(f"{host}:{port}", handler, name, most)
        self._net, self._sock = net, sock
        self._wait = BACK_OFF_US
        self._closed = self._pausing = False
        net.poller.register(sock.fileno(), lambda _mask: self._accept())

    def _go_on(self) -> None:
        self._pausing = False
        self._accept()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_IN_A_ROW):
            if self._closed:
                return
            if self.pace is not None and (wait := self.pace()):
                # Left in the kernel's queue, where it costs nothing yet; the timer looks again.
                self.paced += 1
                if not self._pausing:
                    self._pausing = True
                    self._net.loop.call_at(self._net.loop.now() + wait, self._go_on)
                return
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                if problem.errno not in OUT_OF_ROOM:
                    continue  # that one connection was lost before it was taken
                # Edge triggered: nobody will tell again of those that wait, so the timer must.
                self.backed_off += 1
                self._net.loop.call_at(self._net.loop.now() + self._wait, self._accept)
                self._wait = min(self._wait * 2, BACK_OFF_MOST_US)
                return
            self._wait = BACK_OFF_US
            if self.open >= self.most:
                self.turned_away += 1
                sock.close()
                continue
            self.accepted += 1
            self.open += 1
            if self.on_accept is not None:
                self.on_accept()
            stream = SocketStream(self._net.loop, self._net.poller, sock, f"{peer[0]}:{peer[1]}")
            stream.watch()
            self._net.loop.spawn(self.serve(stream), f"{self.name} {stream.peer}")
        self._net.loop.call_soon(self._accept)

    def close(self) -> None:
        """Accept no more; what has connected by now was taken."""
        if not self._closed:
            self._accept()
            self._closed = True
            self._net.poller.unregister(self._sock.fileno())
            self._sock.close()


class SocketNet:
    """TCP."""

    def __init__(self, loop: Loop, poller: EpollPoller) -> None:
        self.loop, self.poller = loop, poller

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """A new connection; raises :class:`ConnectFailed`."""
        try:
            host, port = split_address(address)
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        except (OSError, ValueError) as problem:
            raise ConnectFailed(str(problem)) from None
        sock.setblocking(False)
        code = sock.connect_ex((host, port))
        stream = SocketStream(self.loop, self.poller, sock, address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise ConnectFailed(errno.errorcode.get(code, str(code)))
        made = False
        try:
            if code:
                done = yield from self._wait_connected(stream, sock, timeout_us)
                if not done:
                    raise ConnectFailed("no connection in time")
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise ConnectFailed(errno.errorcode.get(code, str(code)))
            else:
                stream.watch()
            made = True
            return stream
        finally:
            if not made:
                stream.abort()

    def _wait_connected(self, stream: SocketStream, sock: socket.socket, timeout_us: int) -> Coro[bool]:
        def trap(task: Task) -> Abort:
            timer = self.loop.call_at(self.loop.now() + timeout_us, task.wake, False)

            def happened(mask: int) -> None:
                if mask & WRITE_MASK:
                    timer.cancel()
                    task.wake(True)

            self.poller.register(sock.fileno(), happened)

            return timer.cancel

        done = yield trap
        if done:
            self.poller.unregister(sock.fileno())
            stream.watch()
        return bool(done)

    def listen(self, address: str, handler: Handler, name: str, most: int = 20_000) -> Listener:
        """Serve connections; port 0 lets the kernel choose, see ``address`` of what is returned. ``fd:N`` is
        a socket that this process was given, listening: others may take connections from it too, and it stays
        when it ends.
        """
        if address.startswith("fd:"):
            given = socket.socket(fileno=int(address[3:]))
            given.setblocking(False)
            return SocketListener(self, given, handler, name, most)
        host, port = split_address(address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind((host, port))
            sock.listen(4096)
        except OSError:
            sock.close()
            raise
        return SocketListener(self, sock, handler, name, most)


def socket_loop(seed: int | None = None, clock: Clock | None = None) -> tuple[Loop, SocketNet, EpollPoller]:
    """A loop on the machine's clock, or another that goes with it, with its net and poller."""
    clock = clock or MonotonicClock()
    poller = EpollPoller(clock)
    loop = Loop(clock, poller, seed)
    return loop, SocketNet(loop, poller), poller
