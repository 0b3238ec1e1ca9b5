"""Records that the components of the decision module share; they contain no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from heathwell.datastructures import DecayingAverage, DecayingSum
from heathwell.policy.events import (
    NOT_EXECUTED,
    EndpointEntry,
    EndpointState,
    Outcome,
    PartArrived,
    QueryArrived,
)
from heathwell.policy.operator_events import EjectionReason
from heathwell.policy.settings import QueryClass

ALL_CLASSES = -1  # key for all query classes where other keys are the index of one class
NEVER_US = -1  # an instant before any other
WEIGHT_TOLERANCE = 1e-6  # tolerance of sums of part weights


@dataclass(slots=True)
class Query:
    """A query without a final answer.

    ``step`` is the present step (1 or 2), ``has_response`` whether any part has a response,
    ``first_step_cut_off`` whether the first step was ended early to leave time for the second one, and
    ``offered_weight`` the weight of the first step's parts that are available. ``complete`` is false once a
    step was answered from less than the complete weight.
    """

    id: str
    job: int
    query_class: int
    spec: QueryClass
    tenant: int
    admitted_at_us: int
    objective_at_us: int
    deadline_us: int
    work: float
    parts: list[Part] = field(default_factory=list)
    step: int = 1
    complete: bool = True
    has_response: bool = False
    first_step_cut_off: bool = False
    received_weight: float = 0.0
    offered_weight: float = 0.0
    broken_connections: int = 0

    @classmethod
    def from_arrival(cls, event: QueryArrived, spec: QueryClass, now_us: int, objective_at_us: int) -> Query:
        """Return the record of a new query; its work is the number of parts that a complete answer needs."""
        return cls(
            id=event.id,
            job=event.job,
            query_class=event.query_class,
            spec=spec,
            tenant=event.tenant,
            admitted_at_us=now_us,
            objective_at_us=objective_at_us,
            deadline_us=event.deadline_us,
            work=spec.required_fraction * event.part_count + spec.second_step_parts,
        )

    def is_last_step(self) -> bool:
        """Return whether the present step is the last one."""
        return self.step > 1 or not self.spec.second_step_parts

    def complete_weight(self) -> float:
        """Return the weight at which the present step is complete."""
        return self.spec.required_fraction if self.step == 1 else 1.0

    def minimum_weight(self) -> float:
        """Return the minimum weight from which the present step may be answered."""
        return self.spec.effective_minimum_fraction if self.step == 1 or self.spec.allows_partial else 1.0

    def add_part(self, event: PartArrived) -> None:
        """Add a part of the present step."""
        self.parts.append(Part(event.id, self, event.shard, event.weight, event.work_hint_us, self.step))
        self.offered_weight += event.weight if self.step == 1 else 0.0

    def exclude(self, parts: list[Part]) -> None:
        """Stop waiting for parts of the present step."""
        for part in parts:
            part.excluded = True
            self.offered_weight -= part.weight if self.step == 1 else 0.0

    def attempts(self) -> list[Attempt]:
        """Return all attempts of all parts."""
        return [attempt for part in self.parts for attempt in part.attempts]

    def in_flight(self) -> list[Attempt]:
        """Return the attempts of all parts that have no outcome."""
        return [attempt for part in self.parts for attempt in part.in_flight()]

    def step_parts(self) -> list[Part]:
        """Return the parts of the present step."""
        return [part for part in self.parts if part.step == self.step]

    def unsent_parts(self) -> list[Part]:
        """Return the present step's parts without an attempt."""
        return [part for part in self.step_parts() if not part.attempts]

    def pending_parts(self) -> list[Part]:
        """Return the present step's parts that have neither a response nor are excluded."""
        return [part for part in self.step_parts() if not (part.done or part.excluded)]

    def sent_weight(self) -> float:
        """Return the weight of the present step's parts that have an attempt."""
        return sum(part.weight for part in self.step_parts() if part.attempts)

    def reachable_weight(self) -> float:
        """Return the weight of the present step's parts that are received or may still be."""
        return sum(part.weight for part in self.step_parts() if part.can_contribute())


@dataclass(slots=True)
class Part:
    """One part of a query.

    ``done``: it has been received. ``waiting``: it may not be sent yet. ``excluded``: all its replicas are
    excluded. ``is_substitute``: it is sent in place of, or beside, a late or failed part.
    """

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
    is_substitute: bool = False

    def in_flight(self) -> list[Attempt]:
        """Return the attempts that have no outcome."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def can_contribute(self) -> bool:
        """Return whether the part is received or may still be."""
        return self.done or (
            not self.excluded and (self.waiting or not self.attempts or bool(self.in_flight()))
        )


@dataclass(slots=True)
class Attempt:
    """One attempt to execute a part at an endpoint; ``outcome`` is None while it is in flight."""

    part: Part
    seq: int
    endpoint: Endpoint
    sent_at_us: int
    call_id: int
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Return whether nothing proves that the endpoint never ran the part."""
        return self.outcome not in NOT_EXECUTED


@dataclass(slots=True)
class Endpoint:
    """One endpoint: its entry in the endpoint list, and what this aggregator's own traffic shows about it.

    ``gone_at_us`` is when it left the list, ``deprioritized_for`` and ``excluded_for`` hold class indices or
    :data:`ALL_CLASSES`, as the keys of ``consecutive_errors`` and ``ejections`` do. Parts that share a call
    count once in ``in_flight_by_call``. ``last_response_at_us`` is when the last response
    came, ``last_send_with_response_at_us`` when the latest of the attempts that have a response was sent.
    """

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
    last_call_at_us: int | None = None
    last_call_id: int = 0
    last_call_capacity: int = 0
    penalty: DecayingSum = field(default_factory=DecayingSum)
    relative_latency: DecayingAverage = field(default_factory=lambda: DecayingAverage(1.0))
    last_response_at_us: int = NEVER_US
    last_send_with_response_at_us: int = NEVER_US
    consecutive_errors: dict[int, int] = field(default_factory=dict)
    ejections: dict[int, Ejection] = field(default_factory=dict)
    slow_start_from_us: int | None = None
    slow_start_credit: float | None = None
    slow_start_credit_at_us: int = 0

    @classmethod
    def from_entry(cls, entry: EndpointEntry) -> Endpoint:
        """Return the record of an endpoint that is listed for the first time."""
        return cls(entry.node, entry.replica_group, entry.zone, entry.rating, entry.started_at_us)

    def update(self, entry: EndpointEntry, now_us: int) -> None:
        """Apply an entry of the endpoint list; an unknown state leaves the recorded one unchanged."""
        if entry.state in (EndpointState.LIVE, EndpointState.DRAINING, EndpointState.GONE):
            self.live = entry.state == EndpointState.LIVE
            self.gone_at_us = (self.gone_at_us or now_us) if entry.state == EndpointState.GONE else None
        self.replica_group = entry.replica_group
        self.zone = entry.zone
        self.rating = entry.rating

    def restart(self, started_at_us: int) -> None:
        """Reset what was recorded about the former process of the endpoint."""
        self.started_at_us = started_at_us
        self.slow_start_from_us = None
        self.slow_start_credit = None
        self.consecutive_errors = {}
        self.ejections = {}
        self.penalty.value = 0.0
        self.relative_latency.reset()

    def gone_before(self, edge_us: int) -> bool:
        """Return whether the endpoint left the endpoint list before an instant."""
        return self.gone_at_us is not None and self.gone_at_us < edge_us

    def restrict(self, key: int, deprioritized: frozenset[str], excluded: frozenset[str]) -> None:
        """Set whether a class, or ALL_CLASSES, is deprioritized or excluded at this endpoint."""
        for restricted_keys, nodes in (
            (self.deprioritized_for, deprioritized),
            (self.excluded_for, excluded),
        ):
            if self.node in nodes:
                restricted_keys.add(key)
            else:
                restricted_keys.discard(key)

    def add_attempt(self, part: Part, now_us: int, next_call_id: int, parts_per_call: int) -> Attempt:
        """Add an attempt in flight, to the call of this instant while it has room, otherwise to the next."""
        if self.last_call_at_us != now_us or self.last_call_capacity < 1:
            self.last_call_at_us = now_us
            self.last_call_id = next_call_id
            self.last_call_capacity = parts_per_call
        self.last_call_capacity -= 1
        call_id = self.last_call_id
        self.in_flight_by_call[call_id] = self.in_flight_by_call.get(call_id, 0) + 1
        attempt = Attempt(part, len(part.attempts), self, now_us, call_id)
        part.attempts.append(attempt)
        self.in_flight[part.id, attempt.seq] = attempt
        if self.slow_start_credit is not None:
            self.slow_start_credit -= 1.0
        return attempt

    def release(self, attempt: Attempt) -> None:
        """Stop counting an attempt as in flight; a second call has no effect."""
        if self.in_flight.pop((attempt.part.id, attempt.seq), None) is None:
            return
        self.in_flight_by_call[attempt.call_id] -= 1
        if not self.in_flight_by_call[attempt.call_id]:
            del self.in_flight_by_call[attempt.call_id]

    def start_slow_start_credit(self, now_us: int, credit: float) -> None:
        """Begin to count slow-start credit, the number of parts that may be sent."""
        self.slow_start_credit = credit
        self.slow_start_credit_at_us = now_us

    def earn_slow_start_credit(self, now_us: int, rate: float, limit: float) -> float:
        """Add credit at a rate in parts per microsecond, up to a limit; return the credit."""
        earned = rate * (now_us - self.slow_start_credit_at_us)
        self.slow_start_credit = min((self.slow_start_credit or 0.0) + earned, limit)
        self.slow_start_credit_at_us = now_us
        return self.slow_start_credit

    def all_sent_before(self, edge_us: int) -> bool:
        """Return whether each attempt in flight was sent before an instant."""
        return all(attempt.sent_at_us < edge_us for attempt in self.in_flight.values())

    def record_response(self, now_us: int, sent_at_us: int) -> int:
        """Record a response to an attempt sent at ``sent_at_us``; return the time since the last response."""
        since_last_us = now_us - self.last_response_at_us
        self.last_send_with_response_at_us = max(self.last_send_with_response_at_us, sent_at_us)
        self.last_response_at_us = now_us
        return since_last_us

    def add_error(self, key: int) -> int:
        """Count a consecutive error of a class, or of ALL_CLASSES; return their number."""
        self.consecutive_errors[key] = self.consecutive_errors.get(key, 0) + 1
        return self.consecutive_errors[key]


@dataclass(slots=True)
class Ejection:
    """An ejection of an endpoint for one class or all; once it is half-open, a trial attempt may be sent.

    ``disconnect_reason`` is set if the endpoint may have been unreachable and thus may have restarted.
    """

    ejected_at_us: int
    duration_us: int
    half_open: bool = False
    disconnect_reason: EjectionReason | None = None

    @property
    def ends_at_us(self) -> int:
        """The instant from which a trial may begin."""
        return self.ejected_at_us + self.duration_us


class TimerKind(StrEnum):
    """What is due; each comment begins with the timer's subject."""

    DEADLINE = "deadline"  # a query: the last instant at which it can be answered
    OBJECTIVE = "aim"  # a query: the instant of its latency objective
    FIRST_STEP_CUTOFF = "cut"  # a query: the end of its first step, as the second one needs the time left
    RETRY_WAIT = "wait"  # a part: it could not be sent and is tried again
    LATE = "late"  # an attempt: it is late, and a hedge may be sent
    UNRESPONSIVE = "silent"  # an attempt: its endpoint is ejected if it has not responded since
    TRIAL = "trial"  # an endpoint: an ejection ends, and a trial is due
    POLL = "ask"  # no subject: discovery is called again
    POLL_TIMEOUT = "answer?"  # no subject: discovery is called again if it has not replied


TimerSubject = Query | Part | Attempt | Endpoint | None


class Timer(NamedTuple):
    """A timer: what is due, and the record that it concerns."""

    kind: TimerKind
    subject: TimerSubject
