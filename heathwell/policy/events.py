"""Events that an aggregator handles in batches: the endpoint list, queries, outcomes, timers, quotas.

Types only; nothing here decides. Instants and spans are integers in microseconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EndpointState(StrEnum):
    """State of a listed endpoint. An unknown one leaves a known endpoint as it is."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"
    UNKNOWN = "unknown"


class UpdateKind(StrEnum):
    """Kind of a message from discovery: some endpoints, the full list, or a call or watch that failed."""

    INCREMENTAL = "update"
    FULL = "full"
    FAILED = "failed"


class Outcome(StrEnum):
    """How an attempt or a probe ended.

    ``CONNECTION_LOST`` is a connection that broke while its endpoint is there: the part may have run, and it
    shows little of the endpoint. ``BROKEN`` is a connection that broke with its endpoint.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "full_up"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"
    CONNECTION_LOST = "lost"


NOT_EXECUTED = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)
"""Outcomes that prove that the endpoint never ran the part."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of the endpoint list; ``started_at_us`` is the latest start, None for long ago."""

    node: str
    replica_group: int
    state: EndpointState = EndpointState.LIVE
    started_at_us: int | None = None
    rating: float = 1.0
    zone: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A message from discovery; ``requested`` is false for the list handed over at the start."""

    kind: UpdateKind
    endpoints: tuple[EndpointEntry, ...] = ()
    requested: bool = True


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query; its parts follow in the same batch. ``query_class`` and ``tenant`` index the settings."""

    id: str
    job: int
    query_class: int
    deadline_us: int
    part_count: int
    tenant: int = 0
    work_hint_us: int | None = None
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class PartArrived:
    """A part of the query with the same ``job``; weights of a step sum to 1."""

    id: str
    job: int
    shard: int
    weight: float
    work_hint_us: int | None = None
    key: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt; ``in_flight`` and ``cpu_utilization`` are the endpoint's load report."""

    id: str
    seq: int
    node: str
    outcome: Outcome
    elapsed_us: int = 0
    in_flight: float | None = None
    cpu_utilization: float | None = None


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    node: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RestrictionUpdate:
    """Endpoints restricted from now on, for one class or (None) all.

    ``deprioritized`` serve only where no other endpoint does, ``excluded`` not at all. Replaces the earlier
    restrictions of the same class.
    """

    deprioritized: frozenset[str]
    excluded: frozenset[str]
    query_class: int | None = None


@dataclass(frozen=True, slots=True)
class QuotaUpdate:
    """What fleet-wide quotas leave this aggregator until the next update; None: no such quota.

    ``additional_attempts`` counts attempts beyond the first that are needed, ``slow_start_parts`` parts by
    endpoint in slow start (none for an endpoint that is not named).
    """

    additional_attempts: int | None = None
    slow_start_parts: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class AttemptSuperseded:
    """An attempt in flight can't change its query's answer any more: its part counts as answered."""

    id: str
    seq: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier is due."""

    label: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a query has left."""

    id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process ends at an instant: queries with a later deadline have only up to then."""

    ends_at_us: int


Event = (
    EndpointUpdate
    | QueryArrived
    | PartArrived
    | AttemptEnded
    | ProbeEnded
    | RestrictionUpdate
    | QuotaUpdate
    | AttemptSuperseded
    | TimerFired
    | ClientDisconnected
    | ShutdownStarted
)
