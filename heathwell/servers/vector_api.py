"""Parsing and validation of the vector search server's requests, in the form of Qdrant's REST API. No I/O.

Supported are ``points/query``, ``points/search`` and their batch forms, for one unnamed dense vector. A
request with an unsupported field is rejected by an error that names the field, except for members of
``params``. The texts of errors are part of the protocol.
"""

from __future__ import annotations

import re
from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec

from heathwell.codec.http import Request
from heathwell.service.vectors.filter_checks import FilterError, check_filter
from heathwell.service.vectors.search_messages import SearchParameters, SearchRequest, encode_search
from heathwell.settings.schema import Collection, VectorSettings

MAX_FLOAT32 = 3.4e38
DEFAULT_LIMIT = 10
TIMEOUT_HEADER = "x-heathwell-timeout-ms"
SEARCH_PATH = re.compile(r"/collections/([^/]+)/points/(query|search)(/batch)?")
COLLECTION_PATH = re.compile(r"/collections/([^/]+)(/exists)?")


class ApiError(Exception):
    """An error response of the API; the client may retry after ``retry_after_us``, unless it is 0."""

    def __init__(self, status: int, text: str, retry_after_us: int = 0) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.retry_after_us = retry_after_us


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    """The fields that both forms of a search have."""

    limit: int | None = None
    offset: int | None = None
    filter: Any = None
    params: Any = None
    score_threshold: float | None = None
    with_payload: Any = None
    with_vector: Any = None
    shard_key: Any = None


class QueryBody(_Body, forbid_unknown_fields=True):
    """The body of ``points/query``."""

    query: Any = None
    using: str | None = None
    prefetch: Any = None
    lookup_from: Any = None


class SearchBody(_Body, forbid_unknown_fields=True):
    """The body of ``points/search``, the older form."""

    vector: Any = None


class Batch(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a batch. Its searches are left undecoded, for :func:`read_search` to decode one by one."""

    searches: list[msgspec.Raw]


class SearchOptions(msgspec.Struct):
    """The supported members of ``params``; others are ignored."""

    exact: bool | None = None
    hnsw_ef: int | None = None


class Selector(msgspec.Struct, forbid_unknown_fields=True):
    """Names of the payload fields to return, or of those to leave out."""

    include: list[str] | None = None
    exclude: list[str] | None = None


@dataclass(frozen=True, slots=True)
class Search:
    """One validated search; ``vector`` holds float32 values in native byte order."""

    vector: bytes
    parameters: SearchParameters
    limit: int
    offset: int


_batches = msgspec.json.Decoder(Batch)
_bodies: dict[str, msgspec.json.Decoder[Any]] = {
    "query": msgspec.json.Decoder(QueryBody),
    "search": msgspec.json.Decoder(SearchBody),
}


def read_batch(body: bytes, limits: VectorSettings) -> list[msgspec.Raw]:
    """Return the undecoded searches of a batch; raise :class:`ApiError`."""
    try:
        searches = _batches.decode(body).searches
    except msgspec.MsgspecError as error:
        raise ApiError(400, f"Format error in JSON body: {error}") from None
    if len(searches) > limits.max_batch_searches:
        raise ApiError(400, f"searches: {len(searches)} in one batch, {limits.max_batch_searches} are served")
    return searches


def read_search(
    form: str, body: bytes | msgspec.Raw, spec: Collection, limits: VectorSettings, path: str = ""
) -> Search:
    """Parse one search of the form ``query`` or ``search``; raise :class:`ApiError`.

    ``path`` is the prefix of the fields' paths in errors, as in ``searches[2].``.
    """
    try:
        parsed = _bodies[form].decode(body)
    except msgspec.MsgspecError as error:
        raise ApiError(400, f"Format error in JSON body: {path}{error}") from None
    _check_unsupported_fields(parsed, path)
    vector = _read_vector(parsed, spec, path)
    limit = DEFAULT_LIMIT if parsed.limit is None else parsed.limit
    offset = parsed.offset or 0
    _check_range(limit, offset, limits, path)
    _check_filter(parsed, path)
    options = SearchOptions()
    if parsed.params is not None:
        options = _convert(parsed.params, SearchOptions, f"{path}params")
    threshold = parsed.score_threshold
    if threshold is not None and spec.distance == "euclid":
        threshold = -threshold
    payload = _read_payload_selection(parsed.with_payload, path)
    parameters = SearchParameters(
        offset + limit,
        parsed.filter or None,
        threshold,
        bool(options.exact),
        options.hnsw_ef or 0,
        payload.included,
        payload.excluded,
        _read_vector_selection(parsed.with_vector, path),
    )
    return Search(vector, parameters, limit, offset)


def _check_unsupported_fields(body: QueryBody | SearchBody, path: str) -> None:
    for name in ("prefetch", "lookup_from", "shard_key"):
        if getattr(body, name, None) is not None:
            raise ApiError(400, f"{path}{name}: not served here")
    using = getattr(body, "using", None)
    if using:
        raise ApiError(
            400, f"{path}using: there is no vector named '{using}'; the collection has one, unnamed"
        )


def _read_vector(body: QueryBody | SearchBody, spec: Collection, path: str) -> bytes:
    """Return the vector of field ``vector``, ``query`` or ``query.nearest``, as float32 values."""
    if isinstance(body, SearchBody):
        return _to_float32(body.vector, spec, f"{path}vector")
    if not isinstance(body.query, dict):
        return _to_float32(body.query, spec, f"{path}query")
    if set(body.query) != {"nearest"}:
        names = ", ".join(sorted(body.query)) or "nothing"
        raise ApiError(400, f"{path}query: of {names} only 'nearest' alone is served")
    return _to_float32(body.query["nearest"], spec, f"{path}query.nearest")


def _check_range(limit: int, offset: int, limits: VectorSettings, path: str) -> None:
    for field, value, minimum in (("limit", limit, 1), ("offset", offset, 0)):
        if value < minimum:
            raise ApiError(
                422,
                f"Validation error in JSON body: [{path}{field}: value {value} invalid, must be "
                f"{minimum} or larger]",
            )
    if offset + limit > limits.max_rows:
        raise ApiError(
            400, f"{path}limit: {offset + limit} rows with the offset, {limits.max_rows} are served"
        )


def _check_filter(body: QueryBody | SearchBody, path: str) -> None:
    if body.filter is None:
        return
    try:
        check_filter(body.filter, f"{path}filter")
    except FilterError as error:
        raise ApiError(400, f"Format error in JSON body: {error}") from None


def _to_float32(numbers: object, spec: Collection, path: str) -> bytes:
    if not isinstance(numbers, list):
        raise ApiError(
            400,
            f"Format error in JSON body: {path}: a list of {spec.size} numbers expected; points by id, "
            "sparse and named vectors are not served",
        )
    if len(numbers) != spec.size:
        raise ApiError(
            400,
            f"Wrong input: Vector dimension error: expected dim: {spec.size}, got {len(numbers)} (at {path})",
        )
    for index, number in enumerate(numbers):
        is_number = isinstance(number, int | float) and not isinstance(number, bool)
        if not is_number or not abs(number) <= MAX_FLOAT32:
            raise ApiError(400, f"Format error in JSON body: {path}[{index}]: a finite number expected")
    if spec.distance == "cosine" and not any(numbers):
        raise ApiError(400, f"Wrong input: {path}: a zero vector has no direction to compare by cosine")
    return array("f", numbers).tobytes()


ConvertedT = TypeVar("ConvertedT")


def _convert(value: object, kind: type[ConvertedT], path: str) -> ConvertedT:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise ApiError(400, f"Format error in JSON body: {path}: {error}") from None


@dataclass(frozen=True, slots=True)
class PayloadSelection:
    """The payload fields to return: all, none or the included ones; with ``excluded``, all but those."""

    included: bool | list[str]
    excluded: list[str]


def _read_payload_selection(value: object, path: str) -> PayloadSelection:
    if value is None or isinstance(value, bool):
        return PayloadSelection(bool(value), [])
    if isinstance(value, list):
        return PayloadSelection(_convert(value, list[str], f"{path}with_payload"), [])
    selector = _convert(value, Selector, f"{path}with_payload")
    if (selector.include is None) == (selector.exclude is None):
        raise ApiError(400, f"Format error in JSON body: {path}with_payload: names one of include, exclude")
    if selector.include is not None:
        return PayloadSelection(selector.include, [])
    return PayloadSelection(included=False, excluded=selector.exclude or [])


def _read_vector_selection(value: object, path: str) -> bool:
    if value is None or isinstance(value, bool) or value in ([], [""]):
        return bool(value)
    raise ApiError(400, f"{path}with_vector: the collection has one vector, unnamed")


def encode_searches(collection: str, searches: Sequence[Search]) -> bytes:
    """Encode the searches as the body of a part."""
    vectors = b"".join(search.vector for search in searches)
    return encode_search(SearchRequest(collection, vectors, [search.parameters for search in searches]))


def client_timeout_us(request: Request) -> int:
    """Return the timeout that the request sets, 0 if none; raise :class:`ApiError`.

    It is the query parameter ``timeout`` in seconds, else the header of :data:`TIMEOUT_HEADER`.
    """
    stated = parse_qs(request.query).get("timeout", [""])[0]
    header = request.headers.get(TIMEOUT_HEADER, "")
    for name, text, unit in (("timeout", stated, 1_000_000), (TIMEOUT_HEADER, header, 1_000)):
        if text:
            if not text.isdigit() or int(text) < 1:
                raise ApiError(400, f"{name}: a whole number from 1 on expected, got '{text}'")
            return int(text) * unit
    return 0
