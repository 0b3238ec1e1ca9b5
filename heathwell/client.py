"""A client that comes back when it is told to: for those who ask a broker by memcached.

    client = RetryingClient("127.0.0.1", 11211, useful=8.0)
    answer = client.get("price:apple")

It waits as long as the broker advises, never asks sooner, gives up when the answer would be of no use any
more, and spreads its reconnects. Nothing here knows of the broker's code.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pymemcache.client.base import Client
from pymemcache.exceptions import MemcacheError

WHOLE, PARTIAL, MISS, REFUSED, FAILED, LOST = "whole", "partial", "miss", "refused", "failed", "lost"
RECONNECT_FIRST, RECONNECT_MOST = 0.1, 2.0


@dataclass(frozen=True, slots=True)
class Answer:
    """What came of a question: ``kind``, the body of an answer, and how often it was asked."""

    kind: str
    body: dict[str, Any] = field(default_factory=dict)
    tries: int = 1


class RetryingClient:
    """One connection to one broker; not for several threads at once. Times in seconds."""

    def __init__(
        self,
        host: str,
        port: int,
        *,
        useful: float = 8.0,
        timeout: float = 4.0,
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ) -> None:
        self.useful, self.sleep, self.clock = useful, sleep, clock
        self.random = random.Random(seed)
        self._client = Client((host, port), connect_timeout=timeout, timeout=timeout, no_delay=True)

    def get(self, key: str) -> Answer:
        """Ask until there is a final word, at the broker's pace; :data:`LOST` where no broker was reached in
        time, :data:`REFUSED` where it still refused when the answer became of no use."""
        until, tries, wait = self.clock() + self.useful, 0, RECONNECT_FIRST
        last = Answer(LOST)
        while True:
            tries += 1
            try:
                raw = self._client.get(key)
            except (MemcacheError, OSError):
                self._client.close()
                # The first word after an outage: all clients know at once that it is over.
                pause, wait = wait * self.random.uniform(0.5, 1.5), min(2 * wait, RECONNECT_MOST)
                last = Answer(LOST, {}, tries)
            else:
                last = _read(raw, tries)
                if last.kind != REFUSED:
                    return last
                pause, wait = float(last.body.get("retry_after_ms", 0)) / 1000 or wait, RECONNECT_FIRST
            if self.clock() + pause >= until:
                return last
            self.sleep(pause)

    def close(self) -> None:
        """Let the connection go."""
        self._client.close()


def _read(raw: bytes | None, tries: int) -> Answer:
    """A value as the broker writes it (docs/clients-memcached.md)."""
    if raw is None:
        return Answer(MISS, {}, tries)
    body: dict[str, Any] = json.loads(raw)
    if "coverage" in body:
        return Answer(WHOLE if body["whole"] else PARTIAL, body, tries)
    return Answer(REFUSED if body.get("refused") else FAILED, body, tries)
