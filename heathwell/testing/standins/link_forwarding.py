"""Forwards one direction of a relayed connection, in order and delayed by the link's condition."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from heathwell.eventloop import Coro, Event, Loop, Stream, StreamBrokenError, Task, sleep
from heathwell.testing.standins.link_condition import LinkCondition

READ_SIZE_BYTES: Final = 16_384
MAX_BYTES_IN_TRANSIT: Final = 1 << 20
"""The limit for one direction of a connection, above which the relay stops reading."""
CONDITION_CHECK_INTERVAL_US: Final = 100_000
"""The longest time after which a waiting forwarder notices that a cut began or ended."""


@dataclass(frozen=True, slots=True)
class BytesInTransit:
    """Bytes on the link, and when they arrive at its other end."""

    arrives_at_us: int
    data: bytes


class LinkForwarder:
    """Forwards one direction of one connection from ``source`` to ``sink``.

    ``current_condition`` returns the link's condition at the time of the call. A cut holds the bytes back and
    hides the end of the connection until it is over, as TCP's retransmissions do.
    """

    def __init__(
        self,
        loop: Loop,
        draws: random.Random,
        source: Stream,
        sink: Stream,
        current_condition: Callable[[], LinkCondition],
    ) -> None:
        self._loop = loop
        self._draws = draws
        self._source = source
        self._sink = sink
        self._current_condition = current_condition
        self._in_transit: deque[BytesInTransit] = deque()
        self._last_arrives_at_us = 0
        self._bytes_added = Event()
        self._bytes_removed = Event()

    def run(self) -> Coro[None]:
        """Forward until the source ends or breaks, and then end or abort the sink."""
        sender = self._loop.spawn(self._send(), f"link to {self._sink.peer}")
        try:
            yield from self._receive(sender)
            yield from self._wait_while_cut()
            self._sink.end()
        except StreamBrokenError:
            yield from self._wait_while_cut()
            self._sink.abort()
        finally:
            sender.cancel()

    def _receive(self, sender: Task[None]) -> Coro[None]:
        """Read until the end of the source, and wait until all bytes have arrived."""
        while data := (yield from self._source.read(READ_SIZE_BYTES)):
            self._in_transit.append(BytesInTransit(self._schedule_arrival(len(data)), data))
            self._bytes_added.set()
            while self._bytes_in_transit() > MAX_BYTES_IN_TRANSIT and not sender.done:
                yield from self._wait_for_removal()
        while self._in_transit and not sender.done:
            yield from self._wait_for_removal()

    def _wait_for_removal(self) -> Coro[None]:
        self._bytes_removed.clear()
        yield from self._bytes_removed.wait()

    def _bytes_in_transit(self) -> int:
        return sum(len(chunk.data) for chunk in self._in_transit)

    def _schedule_arrival(self, size_bytes: int) -> int:
        """Return when bytes that are read now arrive, which is never before those read earlier."""
        condition = self._current_condition()
        now_us = self._loop.now()
        delay_us = condition.propagation_us(size_bytes, self._draws)
        transmission_us = condition.transmission_us(size_bytes)
        earliest_us = now_us + int(delay_us + transmission_us)
        after_previous_us = self._last_arrives_at_us + int(transmission_us)
        self._last_arrives_at_us = max(earliest_us, after_previous_us)
        return self._last_arrives_at_us

    def _send(self) -> Coro[None]:
        try:
            while True:
                while not self._in_transit:
                    self._bytes_added.clear()
                    yield from self._bytes_added.wait()
                chunk = self._in_transit[0]
                yield from self._wait_for_arrival(chunk)
                self._sink.write(chunk.data)
                yield from self._sink.drain()
                self._in_transit.popleft()
                self._bytes_removed.set()
        except StreamBrokenError:
            self._bytes_removed.set()

    def _wait_for_arrival(self, chunk: BytesInTransit) -> Coro[None]:
        while True:
            arrives_at_us = max(chunk.arrives_at_us, self._current_condition().cut_until_us)
            remaining_us = arrives_at_us - self._loop.now()
            if remaining_us <= 0:
                return
            yield from sleep(self._loop, min(remaining_us, CONDITION_CHECK_INTERVAL_US))

    def _wait_while_cut(self) -> Coro[None]:
        while (remaining_us := self._current_condition().cut_until_us - self._loop.now()) > 0:
            yield from sleep(self._loop, min(remaining_us, CONDITION_CHECK_INTERVAL_US))
