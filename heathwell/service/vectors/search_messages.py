"""Search requests and answers between broker and endpoint, as msgpack within the inner protocol's ``body``.

Field names on the wire are older than those of the code where both differ.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

SEARCH_OPERATION = "vectors"

PointId = int | str
JsonObject = dict[str, Any]  # a payload, or a filter in the search API's form


class IndexKind(StrEnum):
    """How a collection is searched."""

    EXACT = "exact"
    HNSW = "hnsw"


class Distance(StrEnum):
    """How vectors of a collection are compared, by the search API's names."""

    COSINE = "Cosine"
    DOT = "Dot"
    EUCLID = "Euclid"


class SearchParameters(msgspec.Struct, omit_defaults=True):
    """One search of a part.

    ``filter`` is checked by the broker; ``limit`` includes the offset. ``payload`` selects all payload fields
    or those named, ``without`` excludes some.
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
    """A part: the collection, the vectors one after another as little-endian float32, and the searches."""

    collection: str
    vectors: bytes
    searches: list[SearchParameters] = msgspec.field(name="wants")


class Hit(msgspec.Struct, array_like=True, omit_defaults=True):
    """One found point; distances are negated, so that a greater score is better everywhere."""

    id: PointId
    score: float
    payload: JsonObject | None = None
    vector: list[float] | None = None
    version: int = 0


class SearchAnswer(msgspec.Struct, omit_defaults=True):
    """A part's hits by search, the size of the shard, and the measured recall of its index."""

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
