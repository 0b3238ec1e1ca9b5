"""One thread for blocking calls (files, fsync, name resolution), so that the loop never blocks."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any, TypeVar

from heathwell.eventloop.errors import WorkerQueueFullError
from heathwell.eventloop.loop import Abort, Coro, Loop, Task

T = TypeVar("T")
Job = Callable[[], object]
JobDone = Callable[[Any, BaseException | None], None]  # receives the result, or None and the error


def _ignore_outcome(_result: object, _error: BaseException | None) -> None:
    """Drop the outcome of a job whose submitter doesn't need it."""


class Worker:
    """Runs jobs in order on a thread of its own; at most ``max_jobs`` are queued."""

    def __init__(self, loop: Loop, max_jobs: int = 1000) -> None:
        self.loop = loop
        self._jobs: queue.Queue[tuple[Job, JobDone] | None] = queue.Queue(max_jobs)
        self._thread = threading.Thread(target=self._run, name="worker", daemon=True)
        self._thread.start()

    def submit(self, job: Job, done: JobDone = _ignore_outcome) -> bool:
        """Queue a job and return True; return False when the queue is full.

        ``done(result, error)`` is called in the loop's thread.
        """
        try:
            self._jobs.put_nowait((job, done))
        except queue.Full:
            return False
        return True

    def run(self, job: Callable[[], T]) -> Coro[T]:
        """Wait for a job and return its result; raise its error, or :class:`WorkerQueueFullError`."""

        def wait_for_job(task: Task[object]) -> Abort:
            """Queue the job; its outcome wakes the task."""
            if not self.submit(job, task.wake):
                task.wake(None, WorkerQueueFullError())
            return lambda: None

        result: T = yield wait_for_job
        return result

    def close(self) -> None:
        """Finish the queued jobs and end the thread."""
        self._jobs.put(None)
        self._thread.join()

    def _run(self) -> None:
        while (entry := self._jobs.get()) is not None:
            job, done = entry
            try:
                result = job()
            except Exception as error:  # noqa: BLE001  # any error of a job is raised in the task that waits
                self.loop.call_threadsafe(done, None, error)
            else:
                self.loop.call_threadsafe(done, result, None)
