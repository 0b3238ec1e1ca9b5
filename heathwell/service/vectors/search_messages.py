"""Search requests and answers between broker and endpoint, as msgpack in the ``body`` of the inner protocol.

Some fields have another name on the wire than in the code, for compatibility with earlier versions.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

SEARCH_OPERATION = "vectors"

PointId = int | str
JsonObject = dict[str, Any]  # A payload, or a filter in the form of the search API.


class IndexKind(StrEnum):
    """How a collection is searched."""

    EXACT = "exact"
    HNSW = "hnsw"


class Distance(StrEnum):
    """How vectors of a collection are compared, by the names of the search API."""

    COSINE = "Cosine"
    DOT = "Dot"
    EUCLID = "Euclid"


class SearchParameters(msgspec.Struct, omit_defaults=True):
    """One search of a part.

    ``filter`` was checked by the broker; ``limit`` includes the offset. ``payload`` selects all payload
    fields or the named ones, ``without`` excludes some.
    """

    limit: int
    filter: JsonObject | None = None
    threshold: float | None = None
    exact: bool = False
    candidate_count: int = msgspec.field(name="ef", default=0)
    payload: bool | list[str] = False
    without: list[str] = []
    vectors: bool = False


class SearchRequest(msgspec.Struct, omit_defaults=True):
    """The request of a part: the collection, its searches, and their vectors as little-endian float32."""

    collection: str
    vectors: bytes
    searches: list[SearchParameters] = msgspec.field(name="wants")


class Hit(msgspec.Struct, array_like=True, omit_defaults=True):
    """One point of a result; distances are negated, so that a greater score is always better."""

    id: PointId
    score: float
    payload: JsonObject | None = None
    vector: list[float] | None = None
    version: int = 0


class SearchAnswer(msgspec.Struct, omit_defaults=True):
    """The answer of a part: the hits by search, the size of the shard, and the recall of its index."""

    lists: list[list[Hit]]
    points: int = 0
    recall: float = 1.0


_request_decoder = msgspec.msgpack.Decoder(SearchRequest)
_answer_decoder = msgspec.msgpack.Decoder(SearchAnswer)
_encoder = msgspec.msgpack.Encoder()


def encode_search(message: SearchRequest | SearchAnswer) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_request(data: bytes) -> SearchRequest:
    """Return the request; raise :class:`msgspec.DecodeError`."""
    return _request_decoder.decode(data)


def decode_answer(data: bytes) -> SearchAnswer:
    """Return the answer; raise :class:`msgspec.DecodeError`."""
    return _answer_decoder.decode(data)
