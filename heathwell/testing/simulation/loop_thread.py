"""An event loop in a thread of its own, for callers that block."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, wait
from functools import partial
from typing import Final, TypeVar

from heathwell.eventloop import Loop, Net, socket_loop
from heathwell.testing.simulation.errors import SimulationError

CALL_TIMEOUT_SECONDS: Final = 10.0

Result = TypeVar("Result")


class LoopThreadError(SimulationError, TimeoutError):
    """The thread of a loop did not execute a call in time."""

    def __init__(self, name: str, timeout_seconds: float) -> None:
        super().__init__(f"thread '{name}' executed no call within {timeout_seconds:g} s")
        self.name = name
        self.timeout_seconds = timeout_seconds


class LoopThread:
    """Run a loop on sockets in a daemon thread. The loop runs from the construction until :meth:`stop`."""

    def __init__(self, name: str) -> None:
        self.loop: Loop
        self.net: Net
        self.loop, self.net, _ = socket_loop()
        self._thread = threading.Thread(target=self.loop.run, name=name, daemon=True)
        self._thread.start()

    def call(self, function: Callable[[], Result]) -> Result:
        """Return the result of a call that the thread executes, or raise what the call raises.

        Raise :class:`LoopThreadError` after :data:`CALL_TIMEOUT_SECONDS`.
        """
        future: Future[Result] = Future()
        self.loop.call_threadsafe(partial(_execute, function, future))
        if not wait([future], CALL_TIMEOUT_SECONDS).done:
            raise LoopThreadError(self._thread.name, CALL_TIMEOUT_SECONDS)
        return future.result()

    def stop(self) -> None:
        """Stop the loop, wait for the end of the thread, and close the connections of the loop."""
        self.loop.call_threadsafe(self.loop.stop)
        self._thread.join(CALL_TIMEOUT_SECONDS)
        if not self._thread.is_alive():
            # Not in the thread: `call_threadsafe` may still be waking the loop when the loop has stopped.
            self.loop.shutdown()


def _execute(function: Callable[[], Result], future: Future[Result]) -> None:
    try:
        future.set_result(function())
    except Exception as error:  # noqa: BLE001  # raised in the thread that waits for the future
        future.set_exception(error)
