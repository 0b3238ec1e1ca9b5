"""Asks the source for its time now and then, and hands the samples to the bounds."""

from __future__ import annotations

from collections.abc import Callable

from heathwell import inner_protocol
from heathwell.codec import frames
from heathwell.freshness import SourceClock
from heathwell.kernel import ConnectFailed, Coro, Loop, Net, Stream, StreamBroken, Task, sleep

ANSWER_MOST_US = 2_000_000  # a slower answer says too little to be worth keeping
FIRST_SAMPLES = 4  # at once, so that the tightest of a few bounds the first answers


class SourceClockClient:
    """Keeps one connection to the source; while it is lost the bounds widen by drift alone."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        name: str,
        every: int,
        clock: SourceClock,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.net, self.address, self.name = loop, net, address, name
        self.every, self.clock, self.log = every, clock, log
        self._sent: dict[int, int] = {}
        self._number = 0
        self._task: Task = loop.spawn(self._run(), "source clock")

    def close(self) -> None:
        """Ask no more."""
        self._task.cancel()

    def _run(self) -> Coro[None]:
        while True:
            stream: Stream | None = None
            try:
                stream = yield from self.net.connect(self.address, 1_000_000)
                stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, "broker")))
                asker = self.loop.spawn(self._ask(stream), "source clock asks", parent=self._task)
                try:
                    yield from inner_protocol.listen(stream, self._heard)
                finally:
                    asker.cancel()
            except (ConnectFailed, StreamBroken, frames.FrameError) as problem:
                self.log("info", "source's clock not to be had", why=str(problem))
            finally:
                if stream is not None:
                    stream.abort()
            yield from sleep(self.loop, self.every)

    def _ask(self, stream: Stream) -> Coro[None]:
        asked = 0
        while not stream.closed:
            self._number += 1
            asked += 1
            self._sent = {self._number: self.loop.now()}
            try:
                stream.write(frames.encode(frames.ClockRequest(self._number)))
            except StreamBroken:
                return
            yield from sleep(self.loop, self.every if asked >= FIRST_SAMPLES else self.every // 20)

    def _heard(self, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.ClockReply):
            sent, now = self._sent.pop(message.n, None), self.loop.now()
            if sent is not None and now - sent <= ANSWER_MOST_US:
                if not self.clock.add(sent, now, message.source_us):
                    self.log("warning", "source's clock contradicts itself", source=message.source_us)
