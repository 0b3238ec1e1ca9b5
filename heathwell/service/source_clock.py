"""Samples the source's clock at intervals, for the bounds on its offset."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, Task, sleep
from heathwell.service.freshness import SourceClock

CONNECT_TIMEOUT_US = 1_000_000
MAXIMUM_ROUND_TRIP_US = 2_000_000  # a slower reply bounds the clock too loosely to be used
FIRST_SAMPLES = 4  # in quick succession, so that the first bound is the tightest of a few
FIRST_SAMPLES_SPEEDUP = 20


class SourceClockClient:
    """Keeps one connection to the source; while there is none, the bounds widen by drift alone."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        name: str,
        interval_us: int,
        clock: SourceClock,
        log: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.name = name
        self.interval_us = interval_us
        self.clock = clock
        self.log = log
        self._sent_at_us: dict[int, int] = {}
        self._request_number = 0
        self._task: Task[None] = loop.spawn(self._run(), "source clock")

    def close(self) -> None:
        """Close the connection and send no more requests."""
        self._task.cancel()

    def _run(self) -> Coro[None]:
        while True:
            stream: Stream | None = None
            try:
                stream = yield from self.net.connect(self.address, CONNECT_TIMEOUT_US)
                stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, "broker")))
                requests = self.loop.spawn(
                    self._send_requests(stream), "source clock asks", parent=self._task
                )
                try:
                    yield from inner_protocol.listen(stream, self._on_message)
                finally:
                    requests.cancel()
            except (ConnectError, StreamBrokenError, frames.FrameError) as error:
                self.log("info", "source's clock not to be had", why=str(error))
            finally:
                if stream is not None:
                    stream.abort()
            yield from sleep(self.loop, self.interval_us)

    def _send_requests(self, stream: Stream) -> Coro[None]:
        request_count = 0
        while not stream.closed:
            self._request_number += 1
            request_count += 1
            self._sent_at_us = {self._request_number: self.loop.now()}
            try:
                stream.write(frames.encode(frames.ClockRequest(self._request_number)))
            except StreamBrokenError:
                return
            is_settled = request_count >= FIRST_SAMPLES
            yield from sleep(
                self.loop, self.interval_us if is_settled else self.interval_us // FIRST_SAMPLES_SPEEDUP
            )

    def _on_message(self, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.ClockReply):
            sent_at_us = self._sent_at_us.pop(message.number, None)
            now_us = self.loop.now()
            if sent_at_us is not None and now_us - sent_at_us <= MAXIMUM_ROUND_TRIP_US:
                if not self.clock.add(sent_at_us, now_us, message.source_us):
                    self.log("warning", "source's clock contradicts itself", source=message.source_us)
