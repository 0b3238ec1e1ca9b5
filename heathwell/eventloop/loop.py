"""The loop: tasks, timers, and what a turn is.

One turn is: poll once, fire the timers that are due, run every task that was made ready, and then call
the turn's end hooks. A hook sees all that came in during the turn as one batch.
"""

from __future__ import annotations

import heapq
import random
import sys
import traceback
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol, TypeVar

from heathwell.eventloop.clock import Clock

T = TypeVar("T")
Coro = Generator[Any, Any, T]
Abort = Callable[[], None]
Trap = Callable[["Task"], "Abort | None"]

COMPACT_FROM = 512  # timers from which a heap of mostly cancelled ones is rebuilt


class Cancelled(BaseException):
    """Thrown into a task that is cancelled; its ``finally`` blocks run and may still wait."""


class Stalled(Exception):
    """On virtual time: tasks wait but nothing is left that could wake them."""


class Poller(Protocol):
    """Waits for input and output."""

    def poll(self, until_us: int | None) -> None:
        """Wait until the clock time (None: for ever) or until something happened, and report it."""

    def wake(self) -> None:
        """End a wait from another thread."""

    def close(self) -> None:
        """Give back what it holds."""


class Timer:
    """A call at a clock time; cancelling it costs nothing, the heap is cleaned as it goes."""

    __slots__ = ("args", "at", "call", "loop")

    def __init__(self, loop: Loop, at: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.loop, self.at, self.args = loop, at, args
        self.call: Callable[..., None] | None = call

    def cancel(self) -> None:
        """Forget the call; harmless once it was made."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.loop.timer_cancelled()


class Task:
    """A running coroutine. Its children are cancelled when it ends."""

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

    def __init__(self, loop: Loop, gen: Coro[Any], name: str, parent: Task | None) -> None:
        self.loop, self.name, self.parent = loop, name, parent
        self._gen = gen
        self._abort: Abort | None = None
        self._pending: tuple[Any, BaseException | None] = (None, None)
        self._queued = False
        self._waiters: list[Task] = []
        self.children: dict[Task, None] = {}  # in the order of their start
        self.cancelling = False
        self.done = False
        self.result: Any = None
        self.error: BaseException | None = None

    def wake(self, value: Any = None, error: BaseException | None = None) -> None:
        """Make a waiting task ready, with the value or the error of its wait. A second wake is ignored."""
        if self.done or self._queued:
            return
        self._abort = None
        self._pending = (value, error)
        self._queued = True
        self.loop.make_ready(self)

    def cancel(self) -> None:
        """Throw :class:`Cancelled` into the task at its next turn; a second call does nothing."""
        if self.done or self.cancelling:
            return
        self.cancelling = True
        if self._abort is not None:
            self._abort()
        if self._queued:
            self._pending = (None, Cancelled())
        else:
            self.wake(None, Cancelled())

    def join(self) -> Coro[Any]:
        """Wait for the task's end; returns its result, raises its error (a cancelled task gives None)."""
        if not self.done:
            yield self._wait_end
        if self.error is not None and not isinstance(self.error, Cancelled):
            raise self.error
        return self.result

    def _wait_end(self, waiter: Task) -> Abort:
        self._waiters.append(waiter)
        return lambda: self._waiters.remove(waiter)

    def step(self) -> None:
        """Run up to the next wait."""
        value, error = self._pending
        self._pending, self._queued = (None, None), False
        try:
            trap = self._gen.send(value) if error is None else self._gen.throw(error)
        except StopIteration as stop:
            self._end(stop.value, None)
        except Cancelled as ended:
            self._end(None, ended)
        except Exception as problem:
            self._end(None, problem)
        else:
            self._abort = trap(self)

    def _end(self, result: Any, error: BaseException | None) -> None:
        self.done, self.result, self.error = True, result, error
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


def _to_stderr(name: str, error: BaseException) -> None:
    print(f"task {name} ended by an error", file=sys.stderr)
    traceback.print_exception(error)


class Loop:
    """Runs tasks. With a ``seed`` the order of ready tasks within a turn is drawn, for tests."""

    def __init__(self, clock: Clock, poller: Poller, seed: int | None = None) -> None:
        self.clock, self.poller = clock, poller
        self._order = random.Random(seed) if seed is not None else None
        self._ready: deque[Task] = deque()
        self._calls: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._foreign: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._ticket = self._dead_timers = 0
        self._hooks: list[Callable[[], None]] = []
        self._stopping = False
        self.tasks: dict[Task, None] = {}  # in the order of their start
        self.turns = 0
        self.on_error: Callable[[str, BaseException], None] = _to_stderr

    def now(self) -> int:
        """The clock, in microseconds."""
        return self.clock.now()

    def spawn(self, gen: Coro[Any], name: str, parent: Task | None = None) -> Task:
        """Start a coroutine; with a parent it is cancelled when the parent ends."""
        task = Task(self, gen, name, parent)
        self.tasks[task] = None
        if parent is not None:
            parent.children[task] = None
        task.wake()
        return task

    def call_at(self, at: int, call: Callable[..., None], *args: Any) -> Timer:
        """Make a call at a clock time (at once, within the next turn, if that is past)."""
        timer = Timer(self, at, call, args)
        self._ticket += 1
        heapq.heappush(self._timers, (at, self._ticket, timer))
        return timer

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        """Make a call within the next turn."""
        self._calls.append((call, args))

    def call_threadsafe(self, call: Callable[..., None], *args: Any) -> None:
        """As :meth:`call_soon`, from any thread."""
        self._foreign.append((call, args))
        self.poller.wake()

    def at_turn_end(self, hook: Callable[[], None]) -> None:
        """Call a hook at the end of each turn, once its tasks have run."""
        self._hooks.append(hook)

    def report(self, name: str, error: BaseException) -> None:
        """An error nobody waits for; it ends its task and nothing else."""
        self.on_error(name, error)

    def make_ready(self, task: Task) -> None:
        """Queue a task that was woken."""
        self._ready.append(task)

    def task_ended(self, task: Task) -> None:
        """Forget a task."""
        self.tasks.pop(task, None)

    def timer_cancelled(self) -> None:
        """Count a cancelled timer, and rebuild the heap once most of it is cancelled."""
        self._dead_timers += 1
        if self._dead_timers > COMPACT_FROM and self._dead_timers * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._dead_timers = 0

    def stop(self) -> None:
        """End :meth:`run` after this turn."""
        self._stopping = True

    def run(self, main: Task | None = None) -> Any:
        """Run until ``main`` has ended (its result is returned, its error raised) or :meth:`stop`."""
        self._stopping = False
        while not self._stopping and (main is None or not main.done):
            self.turn()
        if main is not None and main.done:
            if main.error is not None and not isinstance(main.error, Cancelled):
                raise main.error
            return main.result
        return None

    def turn(self) -> None:
        """One turn."""
        self.turns += 1
        if self._ready or self._calls or self._foreign:
            self.poller.poll(0)
        else:
            self.poller.poll(self._next_timer())
        while self._foreign:
            self._calls.append(self._foreign.popleft())
        now = self.now()
        while self._timers and (self._timers[0][0] <= now or self._timers[0][2].call is None):
            timer = heapq.heappop(self._timers)[2]
            if timer.call is None:
                self._dead_timers -= 1
                continue
            call, args = timer.call, timer.args
            timer.call = None
            self._guarded(call, args)
        for _ in range(len(self._calls)):
            self._guarded(*self._calls.popleft())
        batch = list(self._ready)
        self._ready.clear()
        if self._order is not None:
            self._order.shuffle(batch)
        for task in batch:
            task.step()
        for hook in self._hooks:
            self._guarded(hook, ())

    def _guarded(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            call(*args)
        except Exception as problem:
            self.report(getattr(call, "__qualname__", repr(call)), problem)

    def _next_timer(self) -> int | None:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self._dead_timers -= 1
        return self._timers[0][0] if self._timers else None

    def shutdown(self, turns: int = 1000) -> None:
        """Cancel every task and run their cleanup, for so many turns at the most."""
        for _ in range(turns):
            if not self.tasks:
                break
            for task in list(self.tasks):
                task.cancel()
            if not self._ready and not self._calls and self._next_timer() is None:
                break
            self.turn()
        self.poller.close()


def sleep(loop: Loop, span_us: int) -> Coro[None]:
    """Wait for a time; 0 lets the other tasks run once."""

    def trap(task: Task) -> Abort:
        timer = loop.call_at(loop.now() + max(span_us, 0), task.wake)
        return timer.cancel

    yield trap


class Event:
    """A flag to wait for."""

    def __init__(self) -> None:
        self.is_set = False
        self._waiters: dict[Task, None] = {}

    def set(self) -> None:
        """Raise the flag and wake all who wait."""
        self.is_set = True
        waiters, self._waiters = self._waiters, {}
        for task in waiters:
            task.wake()

    def clear(self) -> None:
        """Lower the flag."""
        self.is_set = False

    def wait(self) -> Coro[None]:
        """Return once the flag is up."""
        while not self.is_set:
            yield self._trap

    def _trap(self, task: Task) -> Abort:
        self._waiters[task] = None
        return lambda: self._waiters.pop(task, None) and None
