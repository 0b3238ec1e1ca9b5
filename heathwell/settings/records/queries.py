"""Settings of query classes, and of the key spaces and collections that use them."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from heathwell.settings.records.base import NAME, Record, count, described, duration, fraction


class QueryClass(Record):
    """A query class: times, idempotency, priority, required fractions and data age."""

    name: Annotated[str, NAME]
    latency_objective_us: Annotated[int, duration("wanted time", 1)] = field(name="aim")
    timeout_us: Annotated[int, duration("when the client has given up", 1)] = field(name="limit")
    idempotency: Annotated[
        Literal["safe", "keyed", "unsafe"], described("whether a part may be sent again")
    ] = field(default="safe", name="repeat")
    idempotency_window_us: Annotated[
        int, duration("how long a repeat of a keyed part is dropped by the hosts")
    ] = field(default=0, name="dedup")
    priority_weight: Annotated[float, Meta(gt=0, description="worth of a query answered in its aim")] = field(
        default=1.0, name="worth"
    )
    late_weight: Annotated[float, fraction("share of the worth that is left after the aim")] = field(
        default=0.0, name="late-worth"
    )
    partial_weight: Annotated[float, fraction("share of the worth of a partial answer")] = field(
        default=0.0, name="partial-worth"
    )
    required_fraction: Annotated[float, fraction("share of the parts' weight that makes a whole answer")] = (
        field(default=1.0, name="need")
    )
    minimum_fraction: Annotated[float, fraction("least share answered at all; 0: as need")] = field(
        default=0.0, name="floor"
    )
    second_step_parts: Annotated[int, count("parts of a second step, fetched from shards that answered")] = (
        field(default=0, name="fetch")
    )
    fetch_work: Annotated[float, fraction("work of such a part against one of the first step")] = 0.5
    desired_age_us: Annotated[
        int, duration("age of data that is wanted; older is stated as stale; 0: any")
    ] = field(default=0, name="wanted-age")
    max_age: Annotated[int, duration("greatest age of data that 'missing' still takes; 0: any")] = 0
    stale: Annotated[
        Literal["use", "missing", "another"],
        described("with older data: use it and say so, take the part as missing, or ask another holder once"),
    ] = "use"
    across: Annotated[
        Literal["any", "prefer-home", "never"],
        described("hosts of other regions: as any, only where home has none to send to, or never"),
    ] = "any"
    work: Annotated[int, duration("usual work of a part at a host, for hints and stand-ins", 1)] = 40_000


class KeySpace(Record):
    """A key space of the memcached server; the get of a key is one query."""

    prefix: Annotated[str, NAME]
    query_class: Annotated[str, described("class of its queries")] = field(name="class")
    shape: Annotated[
        Literal["record", "search", "report"],
        described(
            "record: prefix:<trader>:<id>, one part; search: prefix:<term>, a part a shard; "
            "report: prefix:<trader>[,<trader>...]:<day>"
        ),
    ]
    parts: Annotated[int, count("shards of a search, in a row from the term's first", 1)] = 1
    report_parts: Annotated[int, count("shards that hold one trader's days", 1)] = 4


class Collection(Record):
    """A collection of vectors; a search is a query over all shards of the collection."""

    name: Annotated[str, NAME]
    query_class: Annotated[str, described("class of its searches")] = field(name="class")
    size: Annotated[int, count("numbers of a vector", 1)]
    batch_class: Annotated[str, described("class of searches in batches; as class without")] = ""
    distance: Annotated[Literal["cosine", "dot", "euclid"], described("how near two vectors are")] = "cosine"
    index: Annotated[
        Literal["exact", "hnsw"],
        described("how hosts search: all vectors, or by an index that may miss some"),
    ] = "exact"
    parts: Annotated[int, count("its shards, in a row; 0: all of the fleet's")] = 0
    work: Annotated[int, duration("usual work of one search at a host, until it is learned", 1)] = 10_000
    points: Annotated[int, count("stand-ins: points a shard", 1)] = 500
    overlap: Annotated[float, fraction("stand-ins: share of points that the next shard holds too")] = 0.0
    spread: Annotated[
        float,
        Meta(
            gt=0,
            description="stand-ins: spread of a shard's points about its centre, against that of the centres",
        ),
    ] = 1.0
