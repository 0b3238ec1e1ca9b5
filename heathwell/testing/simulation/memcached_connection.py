"""A simulated client's connection to a broker's memcached server, by pymemcache."""

from __future__ import annotations

import select
from collections.abc import Mapping
from typing import Final

import msgspec
from pymemcache.client.base import Client
from pymemcache.exceptions import MemcacheError

from heathwell.eventloop.net import split_address
from heathwell.testing.simulation.client_attempt import (
    BROKEN,
    LATE_REPLY_SECONDS,
    NO_BROKER,
    TIMED_OUT,
    AttemptKind,
    AttemptResult,
    BrokerDirectory,
    in_rotation,
)
from heathwell.testing.simulation.client_log import AnsweredKey, ClientLog, LostKey, LostKind, RequestId
from heathwell.testing.simulation.request_numbers import RequestNumbers
from heathwell.testing.simulation.scheduled_requests import ScheduledRequest
from heathwell.testing.standins.units import MS_PER_SECOND, US_PER_SECOND

CONNECT_TIMEOUT_SECONDS: Final = 0.5
SOCKET_TIMEOUT_SECONDS: Final = 5


class Coverage(msgspec.Struct, frozen=True):
    """How many parts an answer has, and how many were requested."""

    parts: tuple[int, int]


class ValueBody(msgspec.Struct, frozen=True, rename={"complete": "whole"}):
    """A value of a broker: an answer where it has a coverage, else why there is none."""

    coverage: Coverage | None = None
    complete: bool = False
    age_ms: int | float | None = None
    failed: bool = False
    retry_after_ms: float = 0.0


class MemcachedConnection:
    """A connection to one broker after another. ``broker`` is the name of the last one, or empty."""

    def __init__(self, numbers: RequestNumbers, brokers: BrokerDirectory, log: ClientLog) -> None:
        self.broker = ""
        self._numbers = numbers
        self._brokers = brokers
        self._log = log
        self._client: Client | None = None
        self._local_address = ""
        self._sent_on_connection = 0

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection, as far as this side can tell."""
        return self._client is not None and self._client.sock is not None

    @property
    def was_closed_by_broker(self) -> bool:
        """Whether the broker has closed the connection: there is something to read, but no request."""
        if self._client is None or self._client.sock is None:
            return False
        return bool(select.select([self._client.sock], [], [], 0)[0])

    def connect(self) -> bool:
        """Connect to the first broker that accepts, from the one whose turn it is; return whether one did."""
        for broker in in_rotation(self._brokers(), self._numbers.client_number):
            client = Client(
                split_address(broker.memcached),
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
                timeout=SOCKET_TIMEOUT_SECONDS,
                no_delay=True,
            )
            try:
                client._connect()  # noqa: SLF001  # the library connects only as it sends the first request
            except OSError:
                continue
            self._client = client
            self.broker = broker.name
            self._sent_on_connection = 0
            host, port = client.sock.getsockname()
            self._local_address = f"{host}:{port}"
            return True
        return False

    def close(self) -> None:
        """Close the connection."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def get(self, request: ScheduledRequest, timeout_us: int) -> AttemptResult:
        """Send a get of the request's keys on the connection, and wait for the reply."""
        if self._client is None or self._client.sock is None:
            return NO_BROKER
        self._client.sock.settimeout(timeout_us / US_PER_SECOND + LATE_REPLY_SECONDS)
        self._sent_on_connection += 1
        request_id = RequestId(
            wire_id=f"{self._local_address}#{self._sent_on_connection}", number=self._numbers.next()
        )
        client_name = self._numbers.client_name
        self._log.record_request(client_name, request_id, request.keys, self.broker, timeout_us)
        try:
            values = self._client.get_many(list(request.keys))
        except TimeoutError:
            self._log.record_timeout(client_name, request_id)
            return TIMED_OUT
        except (MemcacheError, OSError) as error:
            self._log.record_broken(client_name, request_id, error)
            return BROKEN
        bodies = {key: msgspec.json.decode(value, type=ValueBody) for key, value in values.items()}
        answered = _answered_keys(bodies)
        lost = _lost_keys(bodies)
        self._log.record_answer(client_name, request_id, answered, lost)
        return _result(bodies, answered, lost)


def _answered_keys(bodies: Mapping[str, ValueBody]) -> list[AnsweredKey]:
    return [
        AnsweredKey(key, body.complete, *body.coverage.parts, age_ms=body.age_ms)
        for key, body in bodies.items()
        if body.coverage is not None
    ]


def _lost_keys(bodies: Mapping[str, ValueBody]) -> list[LostKey]:
    return [
        LostKey(key, LostKind.FAILED if body.failed else LostKind.REFUSED)
        for key, body in bodies.items()
        if body.coverage is None
    ]


def _result(
    bodies: Mapping[str, ValueBody], answered: list[AnsweredKey], lost: list[LostKey]
) -> AttemptResult:
    if not lost:
        return AttemptResult(AttemptKind.ANSWERED, is_complete=all(value.complete for value in answered))
    retry_after_ms = max(bodies[key.key].retry_after_ms for key in lost)
    is_refused = all(key.kind is LostKind.REFUSED for key in lost)
    kind = AttemptKind.REFUSED if is_refused else AttemptKind.FAILED
    return AttemptResult(kind, retry_after_ms / MS_PER_SECOND)
