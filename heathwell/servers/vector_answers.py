"""Encoding of the vector search server's responses, in the form of Qdrant's REST API. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from heathwell.broker.replies import Age, Reply
from heathwell.codec.http import Response
from heathwell.servers.answer_age import age_fields
from heathwell.servers.durations import milliseconds_rounded_up, seconds_rounded_up
from heathwell.servers.vector_api import ApiError
from heathwell.service.merging import MergedRows
from heathwell.service.reply_merging import merged_rows
from heathwell.service.vectors.search_messages import Hit
from heathwell.settings.schema import Collection

JSON_CONTENT_TYPE = "application/json"
_encoder = msgspec.json.Encoder()


class Point(msgspec.Struct, frozen=True):
    """A point found by a search, in the API's form."""

    id: int | str
    version: int
    score: float
    payload: dict[str, Any] | msgspec.UnsetType = msgspec.UNSET
    vector: list[float] | msgspec.UnsetType = msgspec.UNSET


class QueryResult(msgspec.Struct, frozen=True):
    """The result of a search by ``points/query``; that of ``points/search`` is the bare list."""

    points: list[Point]


def search_results(
    searches: Iterable[MergedRows], distance: str, form: str
) -> Iterator[QueryResult | list[Point]]:
    """Yield the result of each search, in the form of the request's route: ``query`` or ``search``."""
    for merged in searches:
        found = points(merged, distance)
        yield QueryResult(found) if form == "query" else found


def points(merged: MergedRows, distance: str) -> list[Point]:
    """Return the merged rows of a search as points; euclidean distances were negated for the merge."""
    sign = -1.0 if distance == "euclid" else 1.0
    hits: list[Hit] = [row.data for row in merged.rows]
    return [
        Point(
            hit.id,
            hit.version,
            sign * hit.score,
            msgspec.UNSET if hit.payload is None else hit.payload,
            msgspec.UNSET if hit.vector is None else hit.vector,
        )
        for hit in hits
    ]


class CoverageFields(msgspec.Struct, frozen=True):
    """The completeness of an answer, with the names that docs/clients-vector.md describes."""

    whole: bool
    parts: tuple[int, int]
    moot: int
    weight: float
    need: float
    floor: float
    missing: list[int]
    recall: float

    def to_header(self) -> str:
        """Return the value of a header that summarizes the fields, for clients that do not read the body."""
        answered_parts, requested_parts = self.parts
        return (
            f"whole={'yes' if self.whole else 'no'}; parts={answered_parts}/{requested_parts}; "
            f"moot={self.moot}; weight={self.weight:g}; recall={self.recall:g}"
        )


@dataclass(frozen=True, slots=True)
class AnswerQuality:
    """The completeness of an answer, and the age of its data where ages are measured."""

    coverage: CoverageFields
    age: Age | None

    def to_fields(self) -> dict[str, Any]:
        """Return the value of an answer's field ``heathwell``."""
        fields: dict[str, Any] = msgspec.to_builtins(self.coverage)
        if self.age is not None:
            fields |= age_fields(self.age)
        return fields


def answer_quality(replies: Sequence[Reply]) -> AnswerQuality:
    """Return the quality of an answer made from several replies: their lowest coverage and greatest age."""
    covers = [reply.coverage for reply in replies]
    least = min(covers, key=lambda cover: cover.weight)
    recalls = [merged.recall for merged in merged_rows(replies)]
    coverage = CoverageFields(
        whole=all(reply.complete for reply in replies),
        parts=(least.answered_parts, least.requested_parts),
        moot=least.superseded,
        weight=least.weight,
        need=least.required_fraction,
        floor=least.minimum_fraction,
        missing=sorted({shard for cover in covers for shard in cover.missing}),
        recall=round(min(recalls, default=0.0), 4),
    )
    ages = [reply.age for reply in replies if reply.age is not None]
    oldest = max(ages, key=lambda age: math.inf if age.bound_us is None else age.bound_us, default=None)
    return AnswerQuality(coverage, oldest)


def success_response(result: object, duration_us: int, quality: AnswerQuality | None = None) -> Response:
    """Return a successful response; clients that do not know the field ``heathwell`` ignore it."""
    body: dict[str, object] = {"result": result, "status": "ok", "time": duration_us / 1e6}
    if quality is None:
        return Response(200, _encoder.encode(body), JSON_CONTENT_TYPE)
    body["heathwell"] = quality.to_fields()
    headers = (("x-heathwell-coverage", quality.coverage.to_header()),)
    return Response(200, _encoder.encode(body), JSON_CONTENT_TYPE, headers)


def error_response(error: ApiError, duration_us: int) -> Response:
    """Return an error in the API's form, with headers for the retry delay in seconds and in milliseconds."""
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after_us:
        headers = (
            ("retry-after", str(max(1, seconds_rounded_up(error.retry_after_us)))),
            ("x-heathwell-retry-after-ms", str(milliseconds_rounded_up(error.retry_after_us))),
        )
    body = {"status": {"error": error.text}, "time": duration_us / 1e6}
    return Response(error.status, _encoder.encode(body), JSON_CONTENT_TYPE, headers)


class VectorParameters(msgspec.Struct, frozen=True):
    """Dimension and distance function of a collection's vectors."""

    size: int
    distance: str


class CollectionParameters(msgspec.Struct, frozen=True):
    """Vectors, shards and replicas of a collection."""

    vectors: VectorParameters
    shard_number: int
    replication_factor: int
    write_consistency_factor: int = 1
    on_disk_payload: bool = False


class IndexConfiguration(msgspec.Struct, frozen=True):
    """Qdrant's default values; the indexes of the hosts are not configured here."""

    m: int = 16
    ef_construct: int = 100
    full_scan_threshold: int = 10_000


class OptimizerConfiguration(msgspec.Struct, frozen=True):
    """Qdrant's default values; the storage of the hosts is not configured here."""

    deleted_threshold: float = 0.2
    vacuum_min_vector_number: int = 1000
    default_segment_number: int = 0
    flush_interval_sec: int = 5


class CollectionConfiguration(msgspec.Struct, frozen=True):
    """The configuration of a collection."""

    params: CollectionParameters
    hnsw_config: IndexConfiguration = IndexConfiguration()
    optimizer_config: OptimizerConfiguration = OptimizerConfiguration()


class CollectionInformation(msgspec.Struct, frozen=True):
    """The result of ``GET /collections/NAME``; ``points_count`` is None until every shard has reported."""

    status: str
    optimizer_status: str
    points_count: int | None
    segments_count: int
    indexed_vectors_count: int | None
    config: CollectionConfiguration
    payload_schema: dict[str, str] = {}


def collection_information(
    spec: Collection, shard_count: int, replica_count: int, point_count: int | None
) -> CollectionInformation:
    """Return the description of a collection."""
    vectors = VectorParameters(spec.size, spec.distance.capitalize())
    return CollectionInformation(
        status="green",
        optimizer_status="ok",
        points_count=point_count,
        segments_count=shard_count,
        indexed_vectors_count=point_count if spec.index == "hnsw" else 0,
        config=CollectionConfiguration(CollectionParameters(vectors, shard_count, replica_count)),
    )
