"""A simulated client's connection to a broker's vector search server."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Final

import msgspec

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

RESULT_LIMIT: Final = 10
RETRY_AFTER_HEADER: Final = "x-heathwell-retry-after-ms"
COLLECTION_PREFIX: Final = "vector:"


class SearchCoverage(msgspec.Struct, frozen=True, rename={"complete": "whole"}):
    """How complete the result of a search is: answered and requested parts."""

    complete: bool
    parts: tuple[int, int]


class SearchBody(msgspec.Struct, frozen=True, rename={"coverage": "heathwell"}):
    """The body of a search's result, without the points."""

    coverage: SearchCoverage


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, requested delay before a retry, and body as parsed JSON."""

    status: int
    retry_after_ms: float
    body: object


class SearchConnection:
    """A connection to one broker after another."""

    def __init__(self, numbers: RequestNumbers, brokers: BrokerDirectory, log: ClientLog) -> None:
        self._numbers = numbers
        self._brokers = brokers
        self._log = log
        self._connection: HTTPConnection | None = None
        self._broker = ""

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def search(self, request: ScheduledRequest, timeout_us: int) -> AttemptResult:
        """Send the search, on a new connection where there is none, and wait for the reply."""
        timeout_seconds = timeout_us / US_PER_SECOND + LATE_REPLY_SECONDS
        number = self._numbers.next()
        request_id = RequestId(wire_id=number, number=number)
        connection = self._connected(timeout_seconds)
        if connection is None:
            return NO_BROKER
        client_name = self._numbers.client_name
        self._log.record_request(client_name, request_id, request.keys, self._broker, timeout_us)
        try:
            reply = _exchange(connection, request, request_id, timeout_seconds)
        except TimeoutError:
            self._log.record_timeout(client_name, request_id)
            self.close()
            return TIMED_OUT
        except (OSError, HTTPException, ValueError) as error:
            self._log.record_broken(client_name, request_id, error)
            self.close()
            return BROKEN
        return self._record_reply(request, request_id, reply)

    def _connected(self, timeout_seconds: float) -> HTTPConnection | None:
        """Return the connection, or a new one to the first broker that accepts, or None."""
        brokers = self._brokers()
        if not brokers:
            return None
        if self._connection is not None:
            return self._connection
        for broker in in_rotation(brokers, self._numbers.client_number):
            host, port = split_address(broker.vector_search)
            connection = HTTPConnection(host, port, timeout=timeout_seconds)
            try:
                connection.connect()
            except OSError:
                continue
            self._connection = connection
            self._broker = broker.name
            return connection
        return None

    def _record_reply(
        self, request: ScheduledRequest, request_id: RequestId, reply: HttpReply
    ) -> AttemptResult:
        client_name = self._numbers.client_name
        [key] = request.keys
        if reply.status != HTTPStatus.OK:
            is_refused = reply.status == HTTPStatus.SERVICE_UNAVAILABLE
            lost_kind = LostKind.REFUSED if is_refused else LostKind.FAILED
            self._log.record_answer(client_name, request_id, [], [LostKey(key, lost_kind)])
            kind = AttemptKind.REFUSED if is_refused else AttemptKind.FAILED
            return AttemptResult(kind, reply.retry_after_ms / MS_PER_SECOND)
        coverage = msgspec.convert(reply.body, SearchBody).coverage
        answered_parts, _ = coverage.parts
        answered = [AnsweredKey(key, coverage.complete, answered_parts)]
        self._log.record_answer(client_name, request_id, answered, [])
        return AttemptResult(AttemptKind.ANSWERED, is_complete=coverage.complete)


def _exchange(
    connection: HTTPConnection, request: ScheduledRequest, request_id: RequestId, timeout_seconds: float
) -> HttpReply:
    """Send a search and return its reply.

    Raise :class:`OSError` or :class:`HTTPException` where the connection breaks, :class:`TimeoutError` where
    the reply does not come in time, and :class:`ValueError` where its body is not JSON.
    """
    collection = request.keys[0].removeprefix(COLLECTION_PREFIX)
    connection.sock.settimeout(timeout_seconds)
    connection.request(
        "POST",
        f"/collections/{collection}/points/query",
        json.dumps({"query": request.vector, "limit": RESULT_LIMIT}),
        {"content-type": "application/json", "x-request-id": request_id.wire_id},
    )
    response = connection.getresponse()
    body = json.loads(response.read())
    return HttpReply(response.status, float(response.headers.get(RETRY_AFTER_HEADER, 0)), body)
