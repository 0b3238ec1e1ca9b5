"""Readiness events of descriptors and signals, by `select.epoll`.

Edge triggered: each descriptor is registered once, for reading and writing, until it is closed.
"""

from __future__ import annotations

import contextlib
import select
import signal
import socket
from collections.abc import Callable

from heathwell.eventloop.clock import Clock, MonotonicClock

REGISTER_MASK = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
END_MASK = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READ_MASK = select.EPOLLIN | END_MASK
WRITE_MASK = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS_PER_POLL = 1024
WAKE_READ_BYTES = 4096
MICROSECONDS_PER_SECOND = 1e6


class EpollPoller:
    """Polls `select.epoll`; other threads and signals end a wait by writing to a socket pair."""

    def __init__(self, clock: Clock | None = None) -> None:
        self._epoll = select.epoll()
        self._handlers: dict[int, Callable[[int], None]] = {}
        self._clock = clock or MonotonicClock()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.settimeout(0)
        self._wake_sender.settimeout(0)
        self._signal_handlers: dict[int, Callable[[], None]] = {}
        self.register(self._wake_receiver.fileno(), self._on_wake)

    def register(self, descriptor: int, handler: Callable[[int], None]) -> None:
        """Call ``handler(mask)`` for each event of a descriptor, until :meth:`unregister`."""
        self._handlers[descriptor] = handler
        self._epoll.register(descriptor, REGISTER_MASK)

    def unregister(self, descriptor: int) -> None:
        """Report no more events of a descriptor; a no-op if it is not registered."""
        if self._handlers.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def poll(self, until_us: int | None) -> None:
        """Wait until the clock time (None: without limit) or the first event, and call the handlers."""
        if until_us is None:
            timeout_seconds = -1.0
        elif until_us <= 0:
            timeout_seconds = 0.0
        else:
            timeout_seconds = max(0, until_us - self._clock.now()) / MICROSECONDS_PER_SECOND
        try:
            events = self._epoll.poll(timeout_seconds, MAX_EVENTS_PER_POLL)
        except InterruptedError:
            return
        for descriptor, mask in events:
            handler = self._handlers.get(descriptor)
            if handler is not None:  # an earlier handler of this poll may have unregistered it
                handler(mask)

    def wake(self) -> None:
        """End a wait from another thread."""
        with contextlib.suppress(BlockingIOError):  # a full buffer wakes the loop as well
            self._wake_sender.send(b"\0")

    def on_signal(self, number: int, handler: Callable[[], None]) -> None:
        """Call a handler in the loop's thread for each signal of a number."""
        self._signal_handlers[number] = handler
        signal.set_wakeup_fd(self._wake_sender.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def _on_wake(self, _mask: int) -> None:
        while True:
            try:
                numbers = self._wake_receiver.recv(WAKE_READ_BYTES)
            except BlockingIOError:
                return
            for number in numbers:
                if number in self._signal_handlers:
                    self._signal_handlers[number]()
            if not numbers:
                return

    def close(self) -> None:
        """Close the descriptors."""
        if self._signal_handlers:
            signal.set_wakeup_fd(-1)
        self._epoll.close()
        self._wake_receiver.close()
        self._wake_sender.close()
