"""An event loop on `select.epoll` with generators as coroutines, and the same loop on virtual time.

A coroutine is a generator that is driven with ``yield from``. What it waits for is a *trap*: a callable
that is handed the waiting :class:`~heathwell.eventloop.loop.Task` and returns how to call the wait off.
The clock, the poller and the net are handed in, so the same coroutines run on sockets and in memory.
"""

from heathwell.eventloop.clock import MonotonicClock, SkewedClock, VirtualClock
from heathwell.eventloop.collector import calm_collector
from heathwell.eventloop.loop import Cancelled, Coro, Event, Loop, Stalled, Task, Timer, sleep
from heathwell.eventloop.net import ConnectFailed, Listener, Net, Overrun, Stream, StreamBroken
from heathwell.eventloop.sockets import EpollPoller, SocketNet, socket_loop
from heathwell.eventloop.virtual import HostNet, VirtualNet, VirtualPoller, virtual_loop
from heathwell.eventloop.worker import Worker

__all__ = [
    "Cancelled",
    "ConnectFailed",
    "Coro",
    "EpollPoller",
    "Event",
    "HostNet",
    "Listener",
    "Loop",
    "MonotonicClock",
    "Net",
    "Overrun",
    "SkewedClock",
    "SocketNet",
    "Stalled",
    "Stream",
    "StreamBroken",
    "Task",
    "Timer",
    "VirtualClock",
    "VirtualNet",
    "VirtualPoller",
    "Worker",
    "calm_collector",
    "sleep",
    "socket_loop",
    "virtual_loop",
]
