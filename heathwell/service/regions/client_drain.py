"""Selects the clients to disconnect while a broker drains, so that they connect to another broker.

A broker drains its clients while it is cut off from most shards or its zone is evacuated. The memcached
protocol has no unsolicited messages, so closing the connection is the only signal to a client. Only idle
connections are closed, at random times to avoid a reconnect storm at the other brokers. Each drain
disconnects a client at most once: a client that connects after the drain began found no better broker and is
kept.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# How long the reason for a drain must last before clients are closed; half-open steps of links are shorter.
CONFIRMATION_US = 1_000_000
RECOVERY_US = 3_000_000  # How long a broker must have recovered before another drain counts as a new one.
NEVER_AT_US = -1


class IdleClient(NamedTuple):
    """A client connection without a request in progress."""

    number: int
    connected_at_us: int


class ClientDrain:
    """Chooses a random time for each client at which its connection is closed.

    ``spread_us`` is the time over which all clients are closed; with 0 all clients are kept.
    """

    def __init__(self, spread_us: int, seed: int) -> None:
        self.spread_us = spread_us
        self.drain_since_us = NEVER_AT_US
        self.closed_count = 0
        self._random = random.Random(seed)
        self._recovered_since_us = NEVER_AT_US
        self._close_at_us: dict[int, int] = {}

    def tick(self, now_us: int, *, should_drain: bool) -> None:
        """Record whether the broker should drain its clients now."""
        if not self.spread_us:
            return
        if should_drain:
            self._recovered_since_us = NEVER_AT_US
            if self.drain_since_us < 0:
                self.drain_since_us = now_us
        elif self.drain_since_us >= 0:
            if self._recovered_since_us < 0:
                self._recovered_since_us = now_us
            if now_us - self._recovered_since_us >= RECOVERY_US:
                self.drain_since_us = NEVER_AT_US
                self._close_at_us.clear()

    @property
    def is_active(self) -> bool:
        """Whether clients are being closed."""
        return self.drain_since_us >= 0 and self._recovered_since_us < 0

    def take_due(self, now_us: int, idle_clients: Iterable[IdleClient]) -> Sequence[int]:
        """Return the numbers of the clients to close now."""
        first_close_at_us = self.drain_since_us + CONFIRMATION_US
        if not self.is_active or now_us < first_close_at_us:
            return ()
        due = []
        for client in idle_clients:
            if client.connected_at_us >= self.drain_since_us:
                continue
            if client.number not in self._close_at_us:
                delay_us = int(self._random.random() * self.spread_us)
                self._close_at_us[client.number] = first_close_at_us + delay_us
            if self._close_at_us[client.number] <= now_us:
                due.append(client.number)
                del self._close_at_us[client.number]
        self.closed_count += len(due)
        return due
