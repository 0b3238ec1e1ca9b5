"""What a broker asks of a host for a search and what comes back, as msgpack within the inner wire's
``body``.
"""

from __future__ import annotations

from typing import Any

import msgspec

EXACT, HNSW = "exact", "hnsw"
COSINE, DOT, EUCLID = "Cosine", "Dot", "Euclid"
OP = "vectors"


class Want(msgspec.Struct, omit_defaults=True):
    """One search of a part. ``filter`` is the API's own form, checked by the broker; ``limit`` includes the
    offset.
    """

    limit: int
    filter: dict[str, Any] | None = None
    threshold: float | None = None
    exact: bool = False
    ef: int = 0
    payload: bool | list[str] = False
    without: list[str] = []
    vectors: bool = False


class SearchAsk(msgspec.Struct, omit_defaults=True):
    """A part: the collection, all vectors after one another as little-endian float32, and a wish for each."""

    collection: str
    vectors: bytes
    wants: list[Want]


class Hit(msgspec.Struct, array_like=True, omit_defaults=True):
    """One row; distances come negated, so that better is greater everywhere."""

    id: int | str
    score: float
    payload: dict[str, Any] | None = None
    vector: list[float] | None = None
    version: int = 0


class SearchAnswer(msgspec.Struct, omit_defaults=True):
    """A part's rows by search, the shard's size, and the recall that its index has been seen to have."""

    lists: list[list[Hit]]
    points: int = 0
    recall: float = 1.0


_ask, _answer = msgspec.msgpack.Decoder(SearchAsk), msgspec.msgpack.Decoder(SearchAnswer)
_encoder = msgspec.msgpack.Encoder()


def encode(message: SearchAsk | SearchAnswer) -> bytes:
    """Bytes for the wire."""
    return _encoder.encode(message)


def read_ask(data: bytes) -> SearchAsk:
    """Raises :class:`msgspec.DecodeError`."""
    return _ask.decode(data)


def read_answer(data: bytes) -> SearchAnswer:
    """Raises :class:`msgspec.DecodeError`."""
    return _answer.decode(data)
