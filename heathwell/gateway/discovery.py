"""The platform's discovery over HTTP: a watch by long polling, from one revision of the list to the next.

The decision module decides when to poll. From then on each answer is passed to the listener until a call
fails; the failure is passed to it too, and the module decides when to poll again. The only timeouts are those
of a call, by which a dead connection is noticed. :class:`Discovery` owns its connection and the revision of
the broker's list; the listener interprets the answers. Imports the HTTP codec, the decoder of answers and the
event loop.

Discovery serves all brokers in turn, and each entry of an answer costs it work. So a call requests only what
changed since the broker's revision, also after a failed call; at the start that is the revision of the
configured list. The complete list is requested if there is none, or if discovery has moved to another
address.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from heathwell.codec.http import ClientSide, HttpError
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, Task, sleep
from heathwell.gateway.errors import GatewayError
from heathwell.gateway.targets import Targets, TargetsError

MAX_HOLD_US = 60_000_000  # longest hold time of a watch that the platform's protocol allows
CALL_TIMEOUT_US = 1_500_000  # timeout of a call without a hold time
# Timeout of a call beyond its hold time: half of the time after which a change that it misses takes effect.
WATCH_GRACE_US = 1_000_000
CONNECT_TIMEOUT_US = 500_000
# By the platform's protocol a change takes effect EFFECTIVE_AFTER_SILENCE_US after discovery stopped
# responding, or EFFECTIVE_AFTER_WAIT_US after the end of a hold time if that is later.
EFFECTIVE_AFTER_SILENCE_US = 6_000_000
EFFECTIVE_AFTER_WAIT_US = 2_000_000
# By the platform's protocol the list at a new address takes effect within this time after SIGHUP.
EFFECTIVE_AFTER_MOVE_US = 4_000_000
# Bounds of the pause between calls during the time in which a missed change may take effect.
MIN_RETRY_PAUSE_US = 100_000
MAX_RETRY_PAUSE_US = 800_000
# The hold time of each call is reduced by a random fraction, so that brokers that were started together do
# not poll at the same time. This is the smallest fraction that remains.
MIN_HOLD_FRACTION = 0.75
PATH = "/api/targets"
MAX_BODY_BYTES = 1 << 20


def longest_wait(grace_us: int) -> int:
    """Return the longest hold time (us) of a watch that can be replaced in time if it gets no response.

    The missing response must be noticed, and the watch reopened and answered, before a missed change binds: a
    change takes effect ``EFFECTIVE_AFTER_SILENCE_US`` after discovery stopped responding, or
    ``EFFECTIVE_AFTER_WAIT_US`` after the hold time, and a drain binds ``grace_us`` later. In the worst case
    discovery stops responding as the call begins.
    """
    renewed_us = WATCH_GRACE_US + CONNECT_TIMEOUT_US + CALL_TIMEOUT_US
    if renewed_us <= EFFECTIVE_AFTER_WAIT_US + grace_us:
        return MAX_HOLD_US
    return max(EFFECTIVE_AFTER_SILENCE_US + grace_us - renewed_us, 0)


class DiscoverySilentError(GatewayError):
    """A call was not answered within its timeout; its connection may be dead."""


class Discovery:
    """Watches the endpoint list at one address, which may change.

    ``rev`` is the revision of the list at the start, ``None`` without a list; ``hold_us`` is the longest hold
    time of a call. With ``pushed`` the watch begins with the process, as changes take effect whether they
    were requested or not. A change binds ``grace_us`` after it takes effect. Until then, failed calls are
    retried soon if the watch timed out or discovery has moved; after other failures the decision module
    decides when to poll. ``listener`` gets each answer, and ``None`` for a failure.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        listener: Callable[[Targets | None], None],
        log: Callable[..., None],
        *,
        rev: int | None,
        hold_us: int,
        seed: int = 0,
        pushed: bool = False,
        grace_us: int = 0,
    ) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.listener = listener
        self.log = log
        self.random = random.Random(seed)
        self.calls = 0
        self.failures = 0
        self.rev = rev
        self.hold_us = min(hold_us, longest_wait(grace_us))
        self.pushed = pushed
        self.grace_us = grace_us
        self._urgent_until_us = 0
        self._answered = False  # whether a call was answered since the watch was last opened
        self._task: Task[None] | None = None

    def start(self) -> None:
        """Begin to watch if lists are pushed; otherwise the decision module requests the first poll."""
        if self.pushed:
            self.request_update()

    def request_update(self) -> None:
        """Begin to watch, unless a watch is in progress."""
        if self._task is None or self._task.done:
            self._task = self.loop.spawn(self._watch(self.address), "discovery")

    def move(self, address: str) -> None:
        """Watch another address, at once and from the complete list."""
        self.address = address
        self.rev = None
        self._urgent_until_us = self.loop.now() + EFFECTIVE_AFTER_MOVE_US + self.grace_us
        self.close()
        self.request_update()

    def close(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _watch(self, address: str) -> Coro[None]:
        # Changes that a timed-out watch may have missed are requested without a hold time. So is the first
        # answer if lists are pushed, as it may already be in effect.
        at_once = self.pushed
        pause_us = MIN_RETRY_PAUSE_US
        while True:
            self._answered = False
            try:
                yield from self._call_repeatedly(address, at_once=at_once)
            except DiscoverySilentError as problem:
                if self._answered or not at_once:
                    at_once = True
                    pause_us = MIN_RETRY_PAUSE_US
                    self.log("info", "discovery: watch timed out, reopening it", why=str(problem))
                    continue
                failure: Exception = problem
            except (ConnectError, StreamBrokenError, HttpError, TargetsError) as problem:
                failure = problem
            self.failures += 1
            if self.loop.now() + pause_us >= self._urgent_until_us:
                break
            yield from sleep(self.loop, int(pause_us * self.random.uniform(0.5, 1.0)))
            pause_us = min(2 * pause_us, MAX_RETRY_PAUSE_US)
        self._task = None
        self.log("info", "discovery: call failed or watch broken", why=str(failure))
        self.listener(None)

    def _call_repeatedly(self, address: str, *, at_once: bool) -> Coro[None]:
        """Call until a call fails, over one connection after another; raise the error of that call."""
        stream: Stream | None = None
        try:
            stream = yield from self.net.connect(address, CONNECT_TIMEOUT_US)
            side = ClientSide(address, MAX_BODY_BYTES)
            while True:
                wait_us = self._wait_us(at_once=at_once)
                path = self._path(wait_us)
                if not side.reusable:
                    stream.close()
                    stream = yield from self.net.connect(address, CONNECT_TIMEOUT_US)
                    side = ClientSide(address, MAX_BODY_BYTES)
                targets = yield from self._watch_call(stream, side, path, wait_us)
                at_once = False
                self._on_targets(targets)
        finally:
            if stream is not None:
                stream.abort()

    def _wait_us(self, *, at_once: bool) -> int:
        if self.rev is None or at_once:
            return 0
        return int(self.hold_us * self.random.uniform(MIN_HOLD_FRACTION, 1.0))

    def _path(self, wait_us: int) -> str:
        return PATH if self.rev is None else f"{PATH}?from={self.rev}&hold_ms={wait_us // 1000}"

    def _watch_call(self, stream: Stream, side: ClientSide, path: str, wait_us: int) -> Coro[Targets]:
        """Make one call; if it times out during its hold time, retry soon until a missed change binds."""
        began_at_us = self.loop.now()
        timeout_us = wait_us + WATCH_GRACE_US if wait_us else CALL_TIMEOUT_US
        try:
            return (yield from self._call(stream, side, path, timeout_us))
        except DiscoverySilentError:
            if wait_us:
                effective_at_us = max(
                    began_at_us + EFFECTIVE_AFTER_SILENCE_US,
                    began_at_us + wait_us + EFFECTIVE_AFTER_WAIT_US,
                )
                self._urgent_until_us = max(self._urgent_until_us, effective_at_us + self.grace_us)
            raise

    def _on_targets(self, targets: Targets) -> None:
        if not targets.all and self.rev is not None and targets.rev < self.rev:
            self.rev = None  # changes relative to a list older than ours: the complete list is needed
            return
        self.rev = targets.rev
        self._answered = True
        self._urgent_until_us = 0
        self.listener(targets)

    def _call(self, stream: Stream, side: ClientSide, path: str, timeout_us: int) -> Coro[Targets]:
        """Make one call and return its answer; raise the errors that end a watch."""
        self.calls += 1
        stream.write(side.request("GET", path))
        timeout_at_us = self.loop.now() + timeout_us
        timer = self.loop.call_at(timeout_at_us, stream.abort)
        try:
            while True:
                data = yield from stream.read()
                response = side.feed(data)
                if response is None:
                    continue
                if response.status != 200:
                    raise HttpError(f"expected status 200, got {response.status}")
                return Targets.from_bytes(response.body)
        except StreamBrokenError:
            if self.loop.now() >= timeout_at_us:
                raise DiscoverySilentError(f"no response within {timeout_us // 1000} ms") from None
            raise
        finally:
            timer.cancel()
