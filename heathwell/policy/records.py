"""Plain records that :mod:`heathwell.policy.aggregator` keeps; they decide nothing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from heathwell.datastructures import DecayingAverage, DecayingSum


@dataclass(slots=True)
class Query:
    """A query that still owes its client a final answer."""

    id: str
    job: int
    query_class: int
    tenant: int
    admitted_at_us: int
    objective_at_us: int
    deadline_us: int
    work: float
    parts: list[Part] = field(default_factory=list)
    step: int = 1
    complete: bool = True
    answered: bool = False
    truncated: bool = False
    received_weight: float = 0.0
    offered_weight: float = 0.0
    broken_connections: int = 0


@dataclass(slots=True)
class Part:
    """One part; ``waiting`` while no holder may be sent to, ``lost`` once every holder is shut off, ``spare``
    where it is sent beside or in place of others."""

    id: str
    query: Query
    shard: int
    weight: float
    work_hint_us: int | None
    step: int
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    excluded: bool = False
    waiting: bool = False
    is_hedge: bool = False

    def in_flight(self) -> list[Attempt]:
        """Attempts that have had no outcome."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def can_contribute(self) -> bool:
        """Whether its answer is in or may still come."""
        return self.done or (
            not self.excluded and (self.waiting or not self.attempts or bool(self.in_flight()))
        )


@dataclass(slots=True)
class Attempt:
    """One send of a part; ``outcome`` is None while it is out."""

    part: Part
    seq: int
    endpoint: Server
    sent_at_us: int
    call_id: int
    outcome: str | None = None


@dataclass(slots=True)
class Server:
    """What this aggregator knows of one server from the list and from its own traffic."""

    node: str
    replica_group: int
    zone: int
    rating: float
    started_at_us: int | None
    live: bool = True
    gone_at_us: int | None = None
    deprioritized_for: set[int] = field(default_factory=set)
    excluded_for: set[int] = field(default_factory=set)
    in_flight: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    in_flight_by_call: dict[int, int] = field(default_factory=dict)
    last_call_at_us: int = -1
    last_call_id: int = -1
    last_call_capacity: int = 0
    penalty: DecayingSum = field(default_factory=DecayingSum)
    relative_latency: DecayingAverage = field(default_factory=lambda: DecayingAverage(1.0))
    last_answer_at_us: int = -1
    last_answered_send_at_us: int = -1
    consecutive_errors: dict[int, int] = field(default_factory=dict)
    ejections: dict[int, Bar] = field(default_factory=dict)
    slow_start_from_us: int | None = None
    slow_start_credit: float | None = None
    slow_start_credit_at_us: int = 0


@dataclass(slots=True)
class Bar:
    """An ejection, of a server or of one class at it; half open once ``trial`` is set."""

    ejected_at_us: int
    duration_us: int
    half_open: bool = False
    disconnect_reason: str = ""


class Due(NamedTuple):
    """What a timer is set for."""

    kind: str
    subject: object
