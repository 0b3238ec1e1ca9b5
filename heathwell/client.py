"""A memcached client that retries when the broker allows it.

    client = RetryingClient("127.0.0.1", 11211, useful=8.0)
    answer = client.get("price:apple")

It waits as long as the broker requests before a retry, stops when an answer would come too late to be useful,
and adds jitter to its reconnects. It imports nothing else of heathwell.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from pymemcache.client.base import Client
from pymemcache.exceptions import MemcacheError

FIRST_RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 2.0
# Factors on the delay: all clients notice the end of an outage at once, and must not reconnect together.
RECONNECT_JITTER = (0.5, 1.5)


class AnswerKind(StrEnum):
    """How a request ended."""

    WHOLE = "whole"
    PARTIAL = "partial"
    MISS = "miss"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # no reply: no connection, a timeout or a protocol error


# Module-level names of the kinds, from before `AnswerKind`; `heathwell.heed` exports them too.
WHOLE = AnswerKind.WHOLE
PARTIAL = AnswerKind.PARTIAL
MISS = AnswerKind.MISS
REFUSED = AnswerKind.REFUSED
FAILED = AnswerKind.FAILED
LOST = AnswerKind.LOST


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended: its kind, the decoded body of the value, and the number of attempts."""

    kind: AnswerKind
    body: dict[str, Any] = field(default_factory=dict)
    tries: int = 1


class RetryingClient:
    """A client with one connection to one broker; it is not thread-safe. Times are in seconds.

    ``useful`` is the time after which an answer is of no use: no retry starts later. ``timeout`` bounds each
    connect and each read.
    """

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
        self.useful = useful
        self.sleep = sleep
        self.clock = clock
        self.random = random.Random(seed)
        self._client = Client((host, port), connect_timeout=timeout, timeout=timeout, no_delay=True)

    def get(self, key: str) -> Answer:
        """Return the final answer, after as many attempts as are allowed within ``useful`` seconds.

        It is :data:`AnswerKind.LOST` or :data:`AnswerKind.REFUSED` if that was the last attempt's outcome.
        """
        give_up_at = self.clock() + self.useful
        reconnect_seconds = FIRST_RECONNECT_SECONDS
        attempts = 0
        while True:
            attempts += 1
            answer = self._attempt(key, attempts)
            if answer.kind is AnswerKind.LOST:
                pause_seconds = reconnect_seconds * self.random.uniform(*RECONNECT_JITTER)
                reconnect_seconds = min(2 * reconnect_seconds, MAX_RECONNECT_SECONDS)
            elif answer.kind is AnswerKind.REFUSED:
                requested_seconds = float(answer.body.get("retry_after_ms", 0)) / 1000
                pause_seconds = requested_seconds or reconnect_seconds
                reconnect_seconds = FIRST_RECONNECT_SECONDS
            else:
                return answer
            if self.clock() + pause_seconds >= give_up_at:
                return answer
            self.sleep(pause_seconds)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _attempt(self, key: str, attempts: int) -> Answer:
        try:
            value = self._client.get(key)
        except (MemcacheError, OSError):
            self._client.close()
            return Answer(AnswerKind.LOST, {}, attempts)
        return _read(value, attempts)


def _read(value: bytes | None, attempts: int) -> Answer:
    """Decode a value as the broker writes it (docs/clients-memcached.md)."""
    if value is None:
        return Answer(AnswerKind.MISS, {}, attempts)
    body: dict[str, Any] = json.loads(value)
    if "coverage" in body:
        return Answer(AnswerKind.WHOLE if body["whole"] else AnswerKind.PARTIAL, body, attempts)
    return Answer(AnswerKind.REFUSED if body.get("refused") else AnswerKind.FAILED, body, attempts)
