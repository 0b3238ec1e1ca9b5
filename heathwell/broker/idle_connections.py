"""The idle time of a connection, by one timer that looks again rather than one a part."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.eventloop import Loop, Timer


class IdleTime:
    """Closes a connection that was idle for ``span_us``; ``busy`` returns whether a reply is awaited."""

    def __init__(self, loop: Loop, span_us: int, busy: Callable[[], bool], close: Callable[[], None]) -> None:
        self._loop = loop
        self._span = span_us
        self._busy = busy
        self._close = close
        self._since = loop.now()
        self._timer: Timer | None = None

    def rests(self) -> None:
        """Something has ended: the time runs from now, unless something else is waited for."""
        self._since = self._loop.now()
        if self._timer is None and not self._busy():
            self._timer = self._loop.call_at(self._since + self._span, self._look)

    def cancel(self) -> None:
        """The connection is gone: nothing of it is held on to, so that it goes without the collector."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._busy = _always
        self._close = _nothing

    def _look(self) -> None:
        self._timer = None
        if self._busy():
            return
        left = self._since + self._span - self._loop.now()
        if left > 0:
            self._timer = self._loop.call_at(self._loop.now() + left, self._look)
        else:
            self._close()


def _always() -> bool:
    return True


def _nothing() -> None:
    """Nobody is left to be closed."""
