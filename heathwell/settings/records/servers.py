"""Settings of the servers of client protocols."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from heathwell.settings.records.base import Record, count, described, duration, fraction, size


class VectorSettings(Record):
    """The vector search server, which has Qdrant's REST API."""

    listen: Annotated[str, described("HTTP address; port 0 lets the kernel choose; empty: no such front")] = (
        ""
    )
    max_body_bytes: Annotated[int, size("longest request body")] = field(default=32 << 20, name="body")
    max_head_bytes: Annotated[int, size("longest request line and headers")] = field(
        default=65_536, name="head"
    )
    request_timeout_us: Annotated[
        int, duration("a request that has begun must be whole within this", 1000)
    ] = field(default=10_000_000, name="slow")
    idle_timeout_us: Annotated[int, duration("idle connections close after this", 1000)] = field(
        default=60_000_000, name="idle"
    )
    max_batch_searches: Annotated[int, count("searches in one batch", 1)] = field(
        default=10_000, name="batch"
    )
    max_rows: Annotated[int, count("offset and limit together", 1)] = field(default=10_000, name="rows")
    max_chunk_cost_us: Annotated[
        int, duration("a batch is cut into parts that cost a host so much at the most", 1)
    ] = field(default=30_000, name="chunk")
    max_chunks_in_flight: Annotated[int, count("parts of one batch that are out at once", 1)] = field(
        default=4, name="chunks-at-once"
    )
    max_chunk_searches: Annotated[int, count("searches that share a part at the most", 1)] = field(
        default=64, name="chunk-searches"
    )


class FairQueueing(Record):
    """Fair queueing between the servers, by the cost of their work; off where `queue_target_us` is 0."""

    queue_target_us: Annotated[
        int, duration("queueing at hosts up to which work is sent out; 0: no bound")
    ] = field(default=0, name="queue-target")
    max_wait_fraction: Annotated[float, fraction("share of a query's aim that it may wait for its turn")] = (
        field(default=0.25, name="patience")
    )
    memcached: Annotated[float, Meta(gt=0, description="weight of the memcached front")] = 1.0
    vector: Annotated[float, Meta(gt=0, description="weight of the vector front")] = 1.0


class BrokerSettings(Record):
    """Addresses that a broker listens on, replies to rejected queries, and the shutdown timeout."""

    listen: Annotated[str, described("memcached address; port 0 lets the kernel choose")] = "127.0.0.1:0"
    admin: Annotated[str, described("admin HTTP address")] = "127.0.0.1:0"
    refusals: Annotated[
        Literal["value", "error"],
        described(
            "how a classic get tells a query refused or failed: a flagged "
            "value, or SERVER_ERROR in place of END (libmemcached takes that for a miss)"
        ),
    ] = "value"
    drain_for: Annotated[int, duration("how long a stopping broker finishes what it holds")] = 5_000_000
