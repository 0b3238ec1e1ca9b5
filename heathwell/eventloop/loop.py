"""The loop, its tasks and its timers.

One turn of the loop: poll once, fire the timers that are due, run every task that is ready, and then call
the hooks of the turn's end. A hook sees everything received during the turn as one batch.
"""

from __future__ import annotations

import heapq
import random
import sys
import traceback
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Generic, Protocol, TypeVar

from heathwell.eventloop.clock import Clock
from heathwell.eventloop.errors import CancelledError

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)
Coro = Generator[Any, Any, T]
Abort = Callable[[], None]
Callback = Callable[..., None]
Arguments = tuple[object, ...]

# The heap of timers is rebuilt only if it holds more cancelled timers than this.
MIN_CANCELLED_TO_COMPACT = 512


class Poller(Protocol):
    """Waits for input and output."""

    def poll(self, until_us: int | None) -> None:
        """Wait until the clock time (None: without limit) or the first event, and report the events."""

    def wake(self) -> None:
        """End a wait from another thread."""

    def close(self) -> None:
        """Release its resources."""


class Timer:
    """A call at a clock time. A cancelled timer stays in the heap until it is due or the heap is rebuilt."""

    __slots__ = ("args", "at_us", "call", "loop")

    def __init__(self, loop: Loop, at_us: int, call: Callback, args: Arguments) -> None:
        self.loop = loop
        self.at_us = at_us
        self.args = args
        self.call: Callback | None = call

    def cancel(self) -> None:
        """Drop the call; a no-op if it was made already."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.loop.timer_cancelled()


class Task(Generic[T_co]):
    """A running coroutine. Its children are cancelled when it ends.

    ``parent.children`` and ``loop.tasks`` are dictionaries instead of sets: they keep the order in which the
    tasks were started, so that runs are reproducible.
    """

    __slots__ = (
        "_abort",
        "_gen",
        "_pending",
        "_queued",
        "_waiters",
        "cancelling",
        "children",
        "done",
        "error",
        "loop",
        "name",
        "parent",
        "result",
    )

    def __init__(self, loop: Loop, gen: Coro[T_co], name: str, parent: Task[object] | None) -> None:
        self.loop = loop
        self.name = name
        self.parent = parent
        self._gen = gen
        self._abort: Abort | None = None
        self._pending: tuple[object, BaseException | None] = (None, None)
        self._queued = False
        self._waiters: list[Task[object]] = []
        self.children: dict[Task[object], None] = {}
        self.cancelling = False
        self.done = False
        self.result: T_co | None = None
        self.error: BaseException | None = None

    def wake(self, value: object = None, error: BaseException | None = None) -> None:
        """Make a waiting task ready, with the value or the error of its wait; a second call is a no-op."""
        if self.done or self._queued:
            return
        self._abort = None
        self._pending = (value, error)
        self._queued = True
        self.loop.make_ready(self)

    def cancel(self) -> None:
        """Raise :class:`CancelledError` in the task at its next turn; a second call is a no-op."""
        if self.done or self.cancelling:
            return
        self.cancelling = True
        if self._abort is not None:
            self._abort()
        if self._queued:
            self._pending = (None, CancelledError())
        else:
            self.wake(None, CancelledError())

    def join(self) -> Coro[T_co | None]:
        """Wait for the task's end and return its result; raise its error. A cancelled task returns None."""
        if not self.done:
            yield self._wait_for_end
        if self.error is not None and not isinstance(self.error, CancelledError):
            raise self.error
        return self.result

    def _wait_for_end(self, waiter: Task[object]) -> Abort:
        self._waiters.append(waiter)
        return lambda: self._waiters.remove(waiter)

    def step(self) -> None:
        """Run the coroutine up to its next wait."""
        value, error = self._pending
        self._pending = (None, None)
        self._queued = False
        try:
            trap = self._gen.send(value) if error is None else self._gen.throw(error)
        except StopIteration as stop:
            self.result = stop.value
            self._end(None)
        except CancelledError as cancelled:
            self._end(cancelled)
        except Exception as problem:  # noqa: BLE001  # an error ends its own task and not the loop
            self._end(problem)
        else:
            self._abort = trap(self)

    def _end(self, error: BaseException | None) -> None:
        self.done = True
        self.error = error
        if self.parent is not None:
            self.parent.children.pop(self, None)
        for child in list(self.children):
            child.cancel()
        if isinstance(error, Exception) and not self._waiters:
            self.loop.report(self.name, error)
        for waiter in self._waiters:
            waiter.wake()
        self._waiters.clear()
        self.loop.task_ended(self)


def _print_to_stderr(name: str, error: BaseException) -> None:
    print(f"unhandled error in task {name}", file=sys.stderr)
    traceback.print_exception(error)


class Loop:
    """Runs tasks. With a ``seed``, ready tasks run in a random order within each turn, for tests."""

    def __init__(self, clock: Clock, poller: Poller, seed: int | None = None) -> None:
        self.clock = clock
        self.poller = poller
        self._order = random.Random(seed) if seed is not None else None
        self._ready: deque[Task[object]] = deque()
        self._calls: deque[tuple[Callback, Arguments]] = deque()
        self._threadsafe_calls: deque[tuple[Callback, Arguments]] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._timers_started = 0  # a timer's number; timers due at the same time fire in this order
        self._cancelled_timers = 0  # cancelled timers that are still in the heap
        self._hooks: list[Callable[[], None]] = []
        self._stopping = False
        self.tasks: dict[Task[object], None] = {}
        self.turns = 0
        self.on_error: Callable[[str, BaseException], None] = _print_to_stderr

    def now(self) -> int:
        """Return the clock's time in microseconds."""
        return self.clock.now()

    def spawn(self, gen: Coro[T], name: str, parent: Task[object] | None = None) -> Task[T]:
        """Start a coroutine as a task; it is cancelled when its parent, if any, ends."""
        task = Task(self, gen, name, parent)
        self.tasks[task] = None
        if parent is not None:
            parent.children[task] = None
        task.wake()
        return task

    def call_at(self, at_us: int, call: Callback, *args: object) -> Timer:
        """Schedule a call at a clock time, or within the next turn if that time has passed."""
        timer = Timer(self, at_us, call, args)
        self._timers_started += 1
        heapq.heappush(self._timers, (at_us, self._timers_started, timer))
        return timer

    def call_soon(self, call: Callback, *args: object) -> None:
        """Schedule a call within the next turn."""
        self._calls.append((call, args))

    def call_threadsafe(self, call: Callback, *args: object) -> None:
        """Schedule a call as :meth:`call_soon` does, from any thread."""
        self._threadsafe_calls.append((call, args))
        self.poller.wake()

    def at_turn_end(self, hook: Callable[[], None]) -> None:
        """Call ``hook`` at the end of each turn, after the turn's tasks."""
        self._hooks.append(hook)

    def report(self, name: str, error: BaseException) -> None:
        """Pass an error that no task waits for to :attr:`on_error`."""
        self.on_error(name, error)

    def make_ready(self, task: Task[object]) -> None:
        """Queue a task for the next turn."""
        self._ready.append(task)

    def task_ended(self, task: Task[object]) -> None:
        """Remove a task that has ended."""
        self.tasks.pop(task, None)

    def timer_cancelled(self) -> None:
        """Count a cancelled timer, and rebuild the heap once most of its timers are cancelled."""
        self._cancelled_timers += 1
        is_mostly_cancelled = self._cancelled_timers * 2 > len(self._timers)
        if is_mostly_cancelled and self._cancelled_timers > MIN_CANCELLED_TO_COMPACT:
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def stop(self) -> None:
        """End :meth:`run` after this turn."""
        self._stopping = True

    def run(self, main: Task[T] | None = None) -> T | None:
        """Run until ``main`` has ended or :meth:`stop` is called; return the result of ``main``.

        Raise the error of ``main``. The result is None where ``main`` was cancelled or has not ended.
        """
        self._stopping = False
        while not self._stopping and (main is None or not main.done):
            self.turn()
        if main is not None and main.done:
            if main.error is not None and not isinstance(main.error, CancelledError):
                raise main.error
            return main.result
        return None

    def turn(self) -> None:
        """Run one turn; see the module's docstring."""
        self.turns += 1
        if self._ready or self._calls or self._threadsafe_calls:
            self.poller.poll(0)
        else:
            self.poller.poll(self._next_timer_at_us())
        while self._threadsafe_calls:
            self._calls.append(self._threadsafe_calls.popleft())
        now = self.now()
        while self._timers and (self._timers[0][0] <= now or self._timers[0][2].call is None):
            timer = heapq.heappop(self._timers)[2]
            if timer.call is None:
                self._cancelled_timers -= 1
                continue
            call = timer.call
            timer.call = None  # from here on cancelling it is a no-op
            self._call_and_report(call, timer.args)
        for _ in range(len(self._calls)):
            self._call_and_report(*self._calls.popleft())
        batch = list(self._ready)
        self._ready.clear()
        if self._order is not None:
            self._order.shuffle(batch)
        for task in batch:
            task.step()
        for hook in self._hooks:
            self._call_and_report(hook, ())

    def _call_and_report(self, call: Callback, args: Arguments) -> None:
        try:
            call(*args)
        except Exception as problem:  # noqa: BLE001  # an error ends its own call and not the loop
            self.report(getattr(call, "__qualname__", repr(call)), problem)

    def _next_timer_at_us(self) -> int | None:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self._cancelled_timers -= 1
        return self._timers[0][0] if self._timers else None

    def shutdown(self, max_turns: int = 1000) -> None:
        """Cancel every task and run their cleanup for up to ``max_turns`` turns; close the poller."""
        for _ in range(max_turns):
            if not self.tasks:
                break
            for task in list(self.tasks):
                task.cancel()
            if not self._ready and not self._calls and self._next_timer_at_us() is None:
                break
            self.turn()
        self.poller.close()


def sleep(loop: Loop, duration_us: int) -> Coro[None]:
    """Wait for a duration; with 0, only until the other ready tasks have run once."""

    def wait_for_timer(task: Task[object]) -> Abort:
        """Wake the task when the duration is over."""
        timer = loop.call_at(loop.now() + max(duration_us, 0), task.wake)
        return timer.cancel

    yield wait_for_timer


class Event:
    """A flag that tasks can wait for, as :class:`asyncio.Event`."""

    def __init__(self) -> None:
        self.is_set = False
        self._waiters: dict[Task[object], None] = {}

    def set(self) -> None:
        """Set the flag and wake all waiting tasks."""
        self.is_set = True
        waiters = self._waiters
        self._waiters = {}
        for task in waiters:
            task.wake()

    def clear(self) -> None:
        """Reset the flag."""
        self.is_set = False

    def wait(self) -> Coro[None]:
        """Wait until the flag is set."""
        while not self.is_set:
            yield self._park

    def _park(self, task: Task[object]) -> Abort:
        self._waiters[task] = None
        return lambda: self._waiters.pop(task, None) and None
