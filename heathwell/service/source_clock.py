"""Samples the clock of the data source periodically, to bound its offset from the broker's clock."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, Task, sleep
from heathwell.service.freshness import SourceClock

CONNECT_TIMEOUT_US = 1_000_000
MAXIMUM_ROUND_TRIP_US = 2_000_000  # The bounds from a slower reply are too loose to be useful.
FIRST_SAMPLES = 4  # Taken at short intervals, so that the first bounds are the tightest of several.
FIRST_SAMPLES_SPEEDUP = 20  # The interval is divided by this for the first samples.


class SourceClockClient:
    """Keeps one connection to the data source open and samples its clock.

    Without a connection the bounds on the clock widen with the clock drift.
    """

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
                self.log("info", "source clock unavailable", why=str(error))
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
                    self.log(
                        "warning", "source clock sample contradicts earlier samples", source=message.source_us
                    )
