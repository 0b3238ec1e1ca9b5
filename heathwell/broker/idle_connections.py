"""The idle timeout of a connection."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.eventloop import Loop, Timer


class IdleTimeout:
    """Closes a connection that was idle for ``timeout_us``; ``is_busy`` returns whether a reply is awaited.

    There is one timer for the connection, which checks the idle time when it fires, rather than one for each
    part.
    """

    def __init__(
        self, loop: Loop, timeout_us: int, is_busy: Callable[[], bool], close: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._timeout_us = timeout_us
        self._is_busy = is_busy
        self._close = close
        self._idle_since_us = loop.now()
        self._timer: Timer | None = None

    def restart(self) -> None:
        """Begin the idle time anew, and start the timer unless a reply is awaited."""
        self._idle_since_us = self._loop.now()
        if self._timer is None and not self._is_busy():
            self._timer = self._loop.call_at(self._idle_since_us + self._timeout_us, self._check)

    def cancel(self) -> None:
        """Stop, and drop the references to the closed connection.

        Without them it is in no reference cycle, and is freed without the garbage collector.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._is_busy = _always
        self._close = _no_op

    def _check(self) -> None:
        self._timer = None
        if self._is_busy():
            return
        remaining_us = self._idle_since_us + self._timeout_us - self._loop.now()
        if remaining_us > 0:
            self._timer = self._loop.call_at(self._loop.now() + remaining_us, self._check)
        else:
            self._close()


def _always() -> bool:
    return True


def _no_op() -> None:
    """Do nothing: the connection is closed already."""
