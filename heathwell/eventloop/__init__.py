"""An event loop on `select.epoll` with generators as coroutines, and the same loop on virtual time.

A coroutine is a generator that is driven with ``yield from``. To wait, it yields a *trap*: a callable that
receives the waiting :class:`~heathwell.eventloop.loop.Task` and returns a function that aborts the wait.
Clock, poller and net are parameters, so the same coroutines run on sockets and in memory.
"""

from heathwell.eventloop.clock import MonotonicClock, SkewedClock, VirtualClock
from heathwell.eventloop.epoll import EpollPoller
from heathwell.eventloop.errors import (
    CancelledError,
    ConcurrentReadError,
    ConnectError,
    EventLoopError,
    StalledError,
    StreamBrokenError,
    StreamOverrunError,
    WorkerQueueFullError,
)
from heathwell.eventloop.garbage_collection import configure_garbage_collector
from heathwell.eventloop.loop import Coro, Event, Loop, Task, Timer, sleep
from heathwell.eventloop.net import Listener, Net, Stream
from heathwell.eventloop.sockets import SocketNet, SocketRuntime, socket_loop
from heathwell.eventloop.virtual import HostNet, VirtualNet, VirtualPoller, VirtualRuntime, virtual_loop
from heathwell.eventloop.worker import Worker

__all__ = [
    "CancelledError",
    "ConcurrentReadError",
    "ConnectError",
    "Coro",
    "EpollPoller",
    "Event",
    "EventLoopError",
    "HostNet",
    "Listener",
    "Loop",
    "MonotonicClock",
    "Net",
    "SkewedClock",
    "SocketNet",
    "SocketRuntime",
    "StalledError",
    "Stream",
    "StreamBrokenError",
    "StreamOverrunError",
    "Task",
    "Timer",
    "VirtualClock",
    "VirtualNet",
    "VirtualPoller",
    "VirtualRuntime",
    "Worker",
    "WorkerQueueFullError",
    "configure_garbage_collector",
    "sleep",
    "socket_loop",
    "virtual_loop",
]
