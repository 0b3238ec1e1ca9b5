"""A stand-in for the source of all data: one log per shard, and the clock by which ages of data are measured.

Log positions are computed: at source time T each shard's log has the position ``T * entries_per_second``. The
source's clock has the machine's rate and an offset from it, so that code which confuses the two clocks fails.
"""

from __future__ import annotations

from typing import Final

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.units import US_PER_SECOND

SOURCE_CLOCK_OFFSET_US: Final = 7_777_777_777_000
"""The source's clock minus the machine's."""


class SourceLog:
    """The source's clock and the positions of its logs."""

    def __init__(self, entries_per_second: float) -> None:
        self._entries_per_second = entries_per_second

    @staticmethod
    def now(machine_us: int) -> int:
        """Return the source's time (us) at a time of the machine's clock."""
        return machine_us + SOURCE_CLOCK_OFFSET_US

    def position(self, source_us: int) -> int:
        """Return the position of each shard's log at a source time."""
        return int(source_us * self._entries_per_second / US_PER_SECOND)


class Source:
    """The source's server, which replies to requests for the source's time."""

    def __init__(
        self, loop: Loop, net: Net, service_settings: ServiceSettings, address: str | None = None
    ) -> None:
        self._loop = loop
        self._net = net
        self.address = address or service_settings.freshness.source
        self._source_log = SourceLog(service_settings.freshness.rate)
        self._listener: Listener | None = None

    def start(self) -> str:
        """Listen and return the address."""
        self._listener = self._net.listen(self.address, self._serve, "source")
        self.address = self._listener.address
        return self.address

    def _serve(self, stream: Stream) -> Coro[None]:
        return inner_protocol.serve(
            stream, "source", "source", lambda message: self._on_message(stream, message)
        )

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.ClockRequest):
            source_us = self._source_log.now(self._loop.now())
            stream.write(frames.encode(frames.ClockReply(message.number, source_us)))
