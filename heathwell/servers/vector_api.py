"""The vector front's protocol: Qdrant's REST form of searches, read and written. Pure.

Served: ``points/query`` and ``points/search`` with their batch forms, of plain dense vectors. What a request
names that is not served is an error that says so; nothing is skipped in silence. Errors have the API's own
shape.
"""

from __future__ import annotations

import math
import re
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import msgspec

from heathwell.broker.replies import Reply
from heathwell.codec.http import Request, Response
from heathwell.servers.memcached import age_words
from heathwell.service.merging import MergedRows
from heathwell.service.vectors.filter_checks import FilterError, check_filter
from heathwell.service.vectors.search_messages import Hit, SearchParameters, SearchRequest, encode_search
from heathwell.settings.schema import Collection, Vector

JSON = "application/json"
FLOAT_MOST = 3.4e38
LIMIT_USUAL = 10
TIMEOUT_HEADER = "x-heathwell-timeout-ms"
ROUTE = re.compile(r"/collections/([^/]+)/points/(query|search)(/batch)?")
INFO = re.compile(r"/collections/([^/]+)(/exists)?")


class ApiError(Exception):
    """An error of the API's own shape; ``after_us`` is advice when to come back."""

    def __init__(self, status: int, text: str, after_us: int = 0) -> None:
        super().__init__(text)
        self.status, self.text, self.after_us = status, text, after_us


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    limit: int | None = None
    offset: int | None = None
    filter: Any = None
    params: Any = None
    score_threshold: float | None = None
    with_payload: Any = None
    with_vector: Any = None
    shard_key: Any = None


class QueryBody(_Body, forbid_unknown_fields=True):
    """``points/query``."""

    query: Any = None
    using: str | None = None
    prefetch: Any = None
    lookup_from: Any = None


class SearchBody(_Body, forbid_unknown_fields=True):
    """``points/search``, the older form."""

    vector: Any = None


class Batch(msgspec.Struct, forbid_unknown_fields=True):
    """A batch, its searches still as they came: they are read one at a time."""

    searches: list[msgspec.Raw]


class Params(msgspec.Struct):
    """Of a search's parameters, those that have a meaning here."""

    exact: bool | None = None
    hnsw_ef: int | None = None


class Selector(msgspec.Struct, forbid_unknown_fields=True):
    """Payload fields."""

    include: list[str] | None = None
    exclude: list[str] | None = None


@dataclass(frozen=True, slots=True)
class Search:
    """One search, checked."""

    vector: bytes
    want: SearchParameters
    limit: int
    offset: int


_batches = msgspec.json.Decoder(Batch)
_bodies: dict[str, msgspec.json.Decoder[Any]] = {
    "query": msgspec.json.Decoder(QueryBody),
    "search": msgspec.json.Decoder(SearchBody),
}
_encoder = msgspec.json.Encoder()


def read_batch(body: bytes, limits: Vector) -> list[msgspec.Raw]:
    """The searches of a batch, not read yet; raises :class:`ApiError`."""
    try:
        searches = _batches.decode(body)
    except msgspec.MsgspecError as problem:
        raise ApiError(400, f"Format error in JSON body: {problem}") from None
    if len(searches.searches) > limits.batch:
        raise ApiError(400, f"searches: {len(searches.searches)} in one batch, {limits.batch} are served")
    return searches.searches


def read_search(
    form: str, body: bytes | msgspec.Raw, spec: Collection, limits: Vector, path: str = ""
) -> Search:
    """One search of the form ``query`` or ``search``; raises :class:`ApiError` naming the field."""
    try:
        made = _bodies[form].decode(body)
    except msgspec.MsgspecError as problem:
        raise ApiError(400, f"Format error in JSON body: {path}{problem}") from None
    for name in ("prefetch", "lookup_from", "shard_key"):
        if getattr(made, name, None) is not None:
            raise ApiError(400, f"{path}{name}: not served here")
    if getattr(made, "using", None):
        raise ApiError(
            400, f"{path}using: there is no vector named '{made.using}'; the collection has one, unnamed"
        )
    name, raw = ("query", made.query) if form == "query" else ("vector", made.vector)
    if isinstance(raw, dict) and form == "query":
        if set(raw) != {"nearest"}:
            raise ApiError(
                400, f"{path}query: of {', '.join(sorted(raw)) or 'nothing'} only 'nearest' alone is served"
            )
        name, raw = "query.nearest", raw["nearest"]
    vector = _vector(raw, spec, path + name)
    limit = LIMIT_USUAL if made.limit is None else made.limit
    offset = made.offset or 0
    for field, value, least in (("limit", limit, 1), ("offset", offset, 0)):
        if value < least:
            raise ApiError(
                422,
                f"Validation error in JSON body: [{path}{field}: value {value} invalid, must be "
                f"{least} or larger]",
            )
    if offset + limit > limits.rows:
        raise ApiError(400, f"{path}limit: {offset + limit} rows with the offset, {limits.rows} are served")
    if made.filter is not None:
        try:
            check_filter(made.filter, f"{path}filter")
        except FilterError as problem:
            raise ApiError(400, f"Format error in JSON body: {problem}") from None
    params = _as(made.params, Params, f"{path}params") if made.params is not None else Params()
    threshold = made.score_threshold
    if threshold is not None and spec.distance == "euclid":
        threshold = -threshold
    include, without = _payload(made.with_payload, path)
    return Search(
        vector,
        SearchParameters(
            offset + limit,
            made.filter or None,
            threshold,
            bool(params.exact),
            params.hnsw_ef or 0,
            include,
            without,
            _vectors(made.with_vector, path),
        ),
        limit,
        offset,
    )


def _vector(raw: Any, spec: Collection, path: str) -> bytes:
    if not isinstance(raw, list):
        raise ApiError(
            400,
            f"Format error in JSON body: {path}: a list of {spec.size} numbers expected; points by id, "
            "sparse and named vectors are not served",
        )
    if len(raw) != spec.size:
        raise ApiError(
            400, f"Wrong input: Vector dimension error: expected dim: {spec.size}, got {len(raw)} (at {path})"
        )
    for at, number in enumerate(raw):
        if not isinstance(number, int | float) or isinstance(number, bool) or not abs(number) <= FLOAT_MOST:
            raise ApiError(400, f"Format error in JSON body: {path}[{at}]: a finite number expected")
    if spec.distance == "cosine" and not any(raw):
        raise ApiError(400, f"Wrong input: {path}: a zero vector has no direction to compare by cosine")
    return array("f", raw).tobytes()


def _as(raw: Any, kind: Any, path: str) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as problem:
        raise ApiError(400, f"Format error in JSON body: {path}: {problem}") from None


def _payload(raw: Any, path: str) -> tuple[bool | list[str], list[str]]:
    if raw is None or isinstance(raw, bool):
        return bool(raw), []
    if isinstance(raw, list):
        return _as(raw, list[str], f"{path}with_payload"), []
    chosen = _as(raw, Selector, f"{path}with_payload")
    if (chosen.include is None) == (chosen.exclude is None):
        raise ApiError(400, f"Format error in JSON body: {path}with_payload: names one of include, exclude")
    return chosen.include if chosen.include is not None else False, chosen.exclude or []


def _vectors(raw: Any, path: str) -> bool:
    if raw is None or isinstance(raw, bool):
        return bool(raw)
    if raw in ([], [""]):
        return bool(raw)
    raise ApiError(400, f"{path}with_vector: the collection has one vector, unnamed")


def ask_of(collection: str, searches: Sequence[Search]) -> bytes:
    """The body of a part that carries these searches."""
    return encode_search(
        SearchRequest(collection, b"".join(one.vector for one in searches), [one.want for one in searches])
    )


def timeout_of(request: Request) -> int:
    """The client's own time (us), 0 where it stated none; raises :class:`ApiError`."""
    stated = parse_qs(request.query).get("timeout", [""])[0]
    header = request.headers.get(TIMEOUT_HEADER, "")
    for name, text, unit in (("timeout", stated, 1_000_000), (TIMEOUT_HEADER, header, 1_000)):
        if text:
            if not text.isdigit() or int(text) < 1:
                raise ApiError(400, f"{name}: a whole number from 1 on expected, got '{text}'")
            return int(text) * unit
    return 0


def points(merged: MergedRows, distance: str) -> list[dict[str, Any]]:
    """The rows of a search in the API's form."""
    sign = -1.0 if distance == "euclid" else 1.0
    out = []
    for row in merged.rows:
        hit: Hit = row.data
        point: dict[str, Any] = {"id": hit.id, "version": hit.version, "score": sign * hit.score}
        if hit.payload is not None:
            point["payload"] = hit.payload
        if hit.vector is not None:
            point["vector"] = hit.vector
        out.append(point)
    return out


def honesty(replies: Sequence[Reply]) -> dict[str, Any]:
    """What is said of an answer's coverage, the least of its replies; the fields are in
    docs/clients-vector.md.
    """
    covers = [reply.coverage for reply in replies]
    least = min(covers, key=lambda cover: cover.weight)
    recalls = [merged.recall for reply in replies for merged in reply.body["searches"]]
    words: dict[str, Any] = {
        "whole": all(reply.complete for reply in replies),
        "parts": [least.answered_parts, least.requested_parts],
        "moot": least.superseded,
        "weight": least.weight,
        "need": least.required_fraction,
        "floor": least.minimum_fraction,
        "missing": sorted({shard for cover in covers for shard in cover.missing}),
        "recall": round(min(recalls, default=0.0), 4),
    }
    ages = [reply.age for reply in replies if reply.age is not None]
    if ages:
        oldest = max(ages, key=lambda age: math.inf if age.bound_us is None else age.bound_us)
        words |= age_words(oldest)
    return words


def header_of(words: dict[str, Any]) -> str:
    """The same as a header, for those who read no body."""
    return (
        f"whole={'yes' if words['whole'] else 'no'}; parts={words['parts'][0]}/{words['parts'][1]}; "
        f"moot={words['moot']}; weight={words['weight']:g}; recall={words['recall']:g}"
    )


def answered(result: Any, took_us: int, words: dict[str, Any] | None = None) -> Response:
    """A good reply; unaware clients skip the field ``heathwell``."""
    body: dict[str, Any] = {"result": result, "status": "ok", "time": took_us / 1e6}
    if words is None:
        return Response(200, _encoder.encode(body), JSON)
    return Response(
        200,
        _encoder.encode({**body, "heathwell": words}),
        JSON,
        (("x-heathwell-coverage", header_of(words)),),
    )


def failed(problem: ApiError, took_us: int) -> Response:
    """An error in the API's shape; a refusal says when to come back, in whole seconds and in milliseconds."""
    headers: tuple[tuple[str, str], ...] = ()
    if problem.after_us:
        headers = (
            ("retry-after", str(max(1, -(-problem.after_us // 1_000_000)))),
            ("x-heathwell-retry-after-ms", str(-(-problem.after_us // 1000))),
        )
    return Response(
        problem.status,
        _encoder.encode({"status": {"error": problem.text}, "time": took_us / 1e6}),
        JSON,
        headers,
    )


def info(spec: Collection, shards: int, width: int, points_seen: int | None) -> dict[str, Any]:
    """A collection as ``GET /collections/NAME`` tells it."""
    return {
        "status": "green",
        "optimizer_status": "ok",
        "points_count": points_seen,
        "segments_count": shards,
        "indexed_vectors_count": points_seen if spec.index == "hnsw" else 0,
        "config": {
            "params": {
                "vectors": {"size": spec.size, "distance": spec.distance.capitalize()},
                "shard_number": shards,
                "replication_factor": width,
                "write_consistency_factor": 1,
                "on_disk_payload": False,
            },
            "hnsw_config": {"m": 16, "ef_construct": 100, "full_scan_threshold": 10_000},
            "optimizer_config": {
                "deleted_threshold": 0.2,
                "vacuum_min_vector_number": 1000,
                "default_segment_number": 0,
                "flush_interval_sec": 5,
            },
        },
        "payload_schema": {},
    }


def each(rows: Sequence[MergedRows], distance: str, form: str) -> Iterator[Any]:
    """The results of a batch, in the form of the call."""
    for merged in rows:
        found = points(merged, distance)
        yield {"points": found} if form == "query" else found
