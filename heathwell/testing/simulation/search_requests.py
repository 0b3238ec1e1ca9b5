"""Requests of vector searches as simulated clients send them over HTTP, and their responses."""

from __future__ import annotations

import json
from dataclasses import dataclass

import h11
import msgspec

from heathwell.eventloop import Coro, Stream, StreamBrokenError
from heathwell.testing.simulation.errors import SimulationError


class MalformedSearchReplyError(SimulationError):
    """A successful response lacks a field, or it is not of the form that the request calls for."""

    def __init__(self, field: str, *, is_batch: bool) -> None:
        super().__init__(f"no {field} of a {'batch' if is_batch else 'search'} in the response")
        self.field = field
        self.is_batch = is_batch


class SearchQuery(msgspec.Struct, frozen=True):
    """One search as clients send it: its vector, and the greatest number of points of its result."""

    query: tuple[float, ...]
    limit: int


class ScoredPoint(msgspec.Struct, frozen=True):
    """A point of a result."""

    id: int | str
    score: float


class SearchResult(msgspec.Struct, frozen=True):
    """The result of one search, best points first."""

    points: tuple[ScoredPoint, ...]


class SearchCoverage(msgspec.Struct, frozen=True, rename={"complete": "whole"}):
    """How complete an answer is; ``parts`` are those answered and those requested."""

    complete: bool
    parts: tuple[int, int]


class SearchReplyBody(msgspec.Struct, frozen=True, rename={"coverage": "heathwell"}):
    """The body of a response; without a result and coverage where there is no answer.

    A batch has a list of results.
    """

    result: SearchResult | list[SearchResult] | None = None
    coverage: SearchCoverage | None = None

    def results(self, *, is_batch: bool) -> list[SearchResult]:
        """Return the result of each search. Raise :class:`MalformedSearchReplyError`."""
        if is_batch and isinstance(self.result, list):
            return self.result
        if not is_batch and isinstance(self.result, SearchResult):
            return [self.result]
        raise MalformedSearchReplyError("result", is_batch=is_batch)


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """One request: a search, or several as a batch, in a collection of the broker of this number."""

    id: str
    broker: int
    collection: str
    searches: list[SearchQuery]

    @property
    def is_batch(self) -> bool:
        """Return whether the searches are sent as a batch, which the broker runs as queries of their own."""
        return len(self.searches) > 1

    @property
    def key(self) -> str:
        """Return the key that event logs name the query by."""
        return f"vector:{self.collection}"

    def encode(self) -> bytes:
        """Return the HTTP request."""
        searches = msgspec.to_builtins(self.searches)
        body = json.dumps({"searches": searches} if self.is_batch else searches[0]).encode()
        path = f"/collections/{self.collection}/points/query{'/batch' if self.is_batch else ''}"
        head = (
            f"POST {path} HTTP/1.1\r\nhost: b\r\n"
            f"x-request-id: {self.id}\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """A request that was answered, with one result for each of its searches."""

    request: SearchRequest
    results: list[SearchResult]


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The status and body of an HTTP response."""

    status: int
    body: bytes


def read_response(stream: Stream) -> Coro[HttpResponse]:
    """Return one response. Raise :class:`StreamBrokenError` where the stream ends before it does."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="POST", target="/", headers=[("host", "b"), ("content-length", "0")]))
    connection.send(h11.EndOfMessage())
    status = 0
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = yield from stream.read()
            if not data:
                raise StreamBrokenError("end")
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, body)
