"""Events that an aggregator handles in batches: the endpoint list, queries, outcomes, timers, quotas.

Types only, without decisions. Instants and durations are integers in microseconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EndpointState(StrEnum):
    """State of a listed endpoint. UNKNOWN leaves the recorded state of an endpoint unchanged."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"
    UNKNOWN = "unknown"


class UpdateKind(StrEnum):
    """Kind of a message from discovery: changed endpoints, the full list, or a failed call or watch."""

    INCREMENTAL = "update"
    FULL = "full"
    FAILED = "failed"


class Outcome(StrEnum):
    """How an attempt or a probe ended.

    ``CONNECTION_LOST``: the connection broke while its endpoint is still reachable. The part may have run,
    and the outcome says little about the endpoint's health. ``BROKEN``: the connection broke with its
    endpoint.
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
"""Outcomes that prove that the endpoint did not run the part."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list; ``started_at_us`` is the latest start, None for long ago."""

    node: str
    replica_group: int
    state: EndpointState = EndpointState.LIVE
    started_at_us: int | None = None
    rating: float = 1.0
    zone: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A message from discovery; ``requested`` is false for the list that is passed at the start."""

    kind: UpdateKind
    endpoints: tuple[EndpointEntry, ...] = ()
    requested: bool = True


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query, whose parts follow in the same batch.

    ``query_class`` and ``tenant`` are indices into the settings. ``job`` is the number by which the parts
    refer to their query.
    """

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
    """A part of the query with the same ``job``; the weights of a step's parts sum to 1."""

    id: str
    job: int
    shard: int
    weight: float
    work_hint_us: int | None = None
    key: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of an attempt; ``in_flight`` and ``cpu_utilization`` are the endpoint's load report."""

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
    """The restricted endpoints of one class, or of all classes (None).

    ``deprioritized`` endpoints serve only where no other one can, ``excluded`` ones not at all. The event
    replaces earlier restrictions of the same class.
    """

    deprioritized: frozenset[str]
    excluded: frozenset[str]
    query_class: int | None = None


@dataclass(frozen=True, slots=True)
class QuotaUpdate:
    """This aggregator's remainder of the fleet's quotas until the next update; None: no such quota.

    ``additional_attempts`` is the number of additional attempts left, ``slow_start_parts`` that of parts left
    for each endpoint in slow start (0 for one that is not named).
    """

    additional_attempts: int | None = None
    slow_start_parts: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class AttemptSuperseded:
    """An attempt in flight can't change its query's answer any more; its part counts as received."""

    id: str
    seq: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier is due."""

    label: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a query has disconnected."""

    id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process ends at ``ends_at_us``, which replaces later deadlines of queries."""

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
