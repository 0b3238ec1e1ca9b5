"""Errors of the event loop, its streams and its worker thread."""

from __future__ import annotations

CONNECTION_RESET = "ECONNRESET"
CONNECT_TIMED_OUT = "connect timed out"


class EventLoopError(Exception):
    """Base class of the errors of this package."""


class CancelledError(BaseException):
    """Raised inside a task that is cancelled; its ``finally`` blocks run and may still wait.

    Derives from :class:`BaseException`, as :class:`asyncio.CancelledError` does, so that no handler of
    :class:`Exception` stops a cancellation.
    """


class StalledError(EventLoopError):
    """A deadlock on virtual time: every task waits, and no timer is set that could wake one."""


class StreamBrokenError(EventLoopError):
    """The connection was reset, or this side has closed it."""


class StreamOverrunError(StreamBrokenError):
    """The peer reads too slowly: its buffer reached ``limit_bytes`` and the stream was reset."""

    def __init__(self, peer: str, limit_bytes: int) -> None:
        super().__init__(f"{peer} reads too slowly: more than {limit_bytes} bytes are queued for it")
        self.peer = peer
        self.limit_bytes = limit_bytes


class ConcurrentReadError(EventLoopError, RuntimeError):
    """A task tried to read a stream while another task waits for its bytes."""

    def __init__(self) -> None:
        super().__init__("another task is already reading this stream")


class ConnectError(EventLoopError):
    """No connection was established; ``reason`` is the name of an errno, or a text."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    @property
    def reset(self) -> bool:
        """Whether the peer was reachable and reset the attempt; the next one may succeed."""
        return self.reason == CONNECTION_RESET


class WorkerQueueFullError(EventLoopError, RuntimeError):
    """The job queue of the worker thread is full."""

    def __init__(self) -> None:
        super().__init__("worker: the job queue is full")
