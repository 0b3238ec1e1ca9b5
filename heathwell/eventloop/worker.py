"""One thread for what blocks: files, fsync, names. The loop waits for it without standing still."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any

from heathwell.eventloop.loop import Abort, Coro, Loop, Task


class Worker:
    """Runs calls in order on a thread of its own, a bounded number waiting."""

    def __init__(self, loop: Loop, most: int = 1000) -> None:
        self.loop = loop
        self._jobs: queue.Queue[tuple[Callable[[], Any], Callable[..., None]] | None] = queue.Queue(most)
        self._thread = threading.Thread(target=self._run, name="worker", daemon=True)
        self._thread.start()

    def submit(self, job: Callable[[], Any], done: Callable[..., None] | None = None) -> bool:
        """Queue a job; ``done(result, error)`` is called in the loop. False when the queue is full."""
        try:
            self._jobs.put_nowait((job, done or (lambda _result, _error: None)))
        except queue.Full:
            return False
        return True

    def run(self, job: Callable[[], Any]) -> Coro[Any]:
        """Wait for a job; returns its result, raises its error, :class:`RuntimeError` when too many wait."""

        def trap(task: Task) -> Abort:
            if not self.submit(job, task.wake):
                task.wake(None, RuntimeError("worker: too many jobs wait"))
            return lambda: None

        result = yield trap
        return result

    def close(self) -> None:
        """Finish what is queued and end the thread."""
        self._jobs.put(None)
        self._thread.join()

    def _run(self) -> None:
        while (entry := self._jobs.get()) is not None:
            job, done = entry
            try:
                result, error = job(), None
            except Exception as problem:
                result, error = None, problem
            self.loop.call_threadsafe(done, result, error)
