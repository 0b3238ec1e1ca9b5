"""The platform's discovery over HTTP: a watch that goes on, call after call, from the version that is held.

The module says when to ask; from then on each answer is told to it, until a call fails. That is told too, and
the module decides when to ask again. The only time-outs are a call's own, so that a silent connection is
noticed.

Discovery serves all brokers in turn, and a line costs it work. So a call asks for what has changed since the
version held, which the configuration gives at the start, also after one that failed; the whole list is asked
for where no version is held, or where discovery has moved.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from heathwell.codec.http import ClientSide, HttpError
from heathwell.gateway.targets import Targets, TargetsError
from heathwell.kernel import ConnectFailed, Coro, Loop, Net, Stream, StreamBroken, Task, sleep

HOLD_MOST_US = 60_000_000  # of a watch, by the protocol page
CALL_US = 1_500_000  # for a call that does not wait
LATE_US = (
    1_000_000  # for one that waits, beyond that: half of the 2 s after which what it misses counts as told
)
CONNECT_US = 500_000
TOLD_US, TOLD_LATE_US = (
    6_000_000,
    2_000_000,
)  # the page's: from the silence, or the end of a wait if that is later
MOVED_US = 4_000_000  # the page of the days: after SIGHUP what the new address has counts as told
AGAIN_US, AGAIN_MOST_US = (
    100_000,
    800_000,
)  # first and longest pause between calls while a change may count as told
LIST = "/api/targets"
LIST_MOST = 1 << 20


def longest_wait(grace_us: int) -> int:
    """How long a watch may wait so that one that falls silent is noticed, opened anew and answered before
    what it missed binds: a change counts as told ``TOLD_US`` after the silence, or ``TOLD_LATE_US`` after the
    wait, and a drain binds ``grace_us`` later. In the worst case it falls silent as it begins.
    """
    renewed = LATE_US + CONNECT_US + CALL_US
    return HOLD_MOST_US if renewed <= TOLD_LATE_US + grace_us else max(TOLD_US + grace_us - renewed, 0)


class Silent(Exception):
    """A call that was not answered in its time: its connection may be gone and never say so."""


class Discovery:
    """Watches the list at one address, which may move. ``rev`` is the version of the list that is held at the
    start, None for no list; ``hold_us`` is how long a watch waits at the most, and three quarters of it at
    the least, so that brokers that began together ask apart. A lost connection is noticed so much later, and
    its answer's time.

    ``pushed``: the watch is on from the start, as what the agent has counts as told whether it is asked or
    not. ``grace_us`` after a change counts as told it binds: up to then a call that fails for a watch that
    fell silent, or at an address that is new, is made again soon; other failures wait for the module's word.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        news: Callable[[Targets | None], None],
        log: Callable[..., None],
        *,
        rev: int | None,
        hold_us: int,
        seed: int = 0,
        pushed: bool = False,
        grace_us: int = 0,
    ) -> None:
        self.loop, self.net, self.address, self.news, self.log = loop, net, address, news, log
        self.random = random.Random(seed)
        self.calls = self.failures = 0
        self.rev, self.hold_us = rev, min(hold_us, longest_wait(grace_us))
        self.pushed, self.grace_us = pushed, grace_us
        self._urgent_until = 0
        self._answered = False  # since the watch was last opened
        self._task: Task | None = None

    def start(self) -> None:
        """Watch, where lists are pushed; elsewhere the module asks."""
        if self.pushed:
            self.ask()

    def ask(self) -> None:
        """Begin to watch, if no watch is on."""
        if self._task is None or self._task.done:
            self._task = self.loop.spawn(self._watch(self.address), "discovery")

    def move(self, address: str) -> None:
        """Go on at another address, at once and from the whole list."""
        self.address, self.rev = address, None
        self._urgent_until = self.loop.now() + MOVED_US + self.grace_us
        self.close()
        self.ask()

    def close(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _watch(self, address: str) -> Coro[None]:
        # What one that fell silent missed is asked for at once; where lists are pushed what is new is, as it
        # counts.
        anew, pause = self.pushed, AGAIN_US
        while True:
            self._answered = False
            try:
                yield from self._calls(address, anew)
            except Silent as problem:
                if self._answered or not anew:
                    anew, pause = True, AGAIN_US
                    self.log("info", "discovery: the watch fell silent, it is opened anew")
                    continue
                failure: Exception = problem
            except (ConnectFailed, StreamBroken, HttpError, TargetsError) as problem:
                failure = problem
            self.failures += 1
            if self.loop.now() + pause >= self._urgent_until:
                break
            yield from sleep(self.loop, int(pause * self.random.uniform(0.5, 1.0)))
            pause = min(2 * pause, AGAIN_MOST_US)
        self._task = None
        self.log("info", "discovery: call failed or watch broken", why=str(failure))
        self.news(None)

    def _calls(self, address: str, anew: bool) -> Coro[None]:
        """Calls over one connection after another, until one fails; raises what ended it."""
        stream: Stream | None = None
        try:
            stream = yield from self.net.connect(address, CONNECT_US)
            side = ClientSide(address, LIST_MOST)
            while True:
                wait = 0 if self.rev is None or anew else int(self.hold_us * self.random.uniform(0.75, 1.0))
                target = LIST if self.rev is None else f"{LIST}?from={self.rev}&hold_ms={wait // 1000}"
                if not side.reusable:
                    stream.close()
                    stream = yield from self.net.connect(address, CONNECT_US)
                    side = ClientSide(address, LIST_MOST)
                began = self.loop.now()
                try:
                    targets = yield from self._call(stream, side, target, wait + LATE_US if wait else CALL_US)
                except Silent:
                    if wait:
                        told = max(began + TOLD_US, began + wait + TOLD_LATE_US)
                        self._urgent_until = max(self._urgent_until, told + self.grace_us)
                    raise
                anew = False
                if not targets.all and self.rev is not None and targets.rev < self.rev:
                    self.rev = None  # changes of a list that is older than ours: only a whole one says more
                    continue
                self.rev, self._answered = targets.rev, True
                self._urgent_until = 0
                self.news(targets)
        finally:
            if stream is not None:
                stream.abort()

    def _call(self, stream: Stream, side: ClientSide, target: str, within_us: int) -> Coro[Targets]:
        """One call; raises what ends a watch."""
        self.calls += 1
        stream.write(side.request("GET", target))
        until = self.loop.now() + within_us
        limit = self.loop.call_at(until, stream.abort)
        try:
            while True:
                data = yield from stream.read()
                response = side.feed(data)
                if response is None:
                    continue
                if response.status != 200:
                    raise HttpError(f"status {response.status}")
                return Targets.of(response.body)
        except StreamBroken:
            if self.loop.now() >= until:
                raise Silent("no answer in time") from None
            raise
        finally:
            limit.cancel()
