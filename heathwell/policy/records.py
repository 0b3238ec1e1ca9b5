"""Plain records that :mod:`heathwell.policy.aggregator` keeps; they decide nothing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from heathwell.datastructures import DecayingAverage, DecayingSum
from heathwell.policy.events import NOT_EXECUTED, EndpointEntry, EndpointState, PartArrived, QueryArrived
from heathwell.policy.settings import QueryClass


@dataclass(slots=True)
class Query:
    """A query that still owes its client a final answer."""

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
    answered: bool = False
    truncated: bool = False
    received_weight: float = 0.0
    offered_weight: float = 0.0
    broken_connections: int = 0

    @classmethod
    def from_arrival(cls, event: QueryArrived, spec: QueryClass, now_us: int, objective_at_us: int) -> Query:
        """A query as it arrives; its work is the number of parts that a complete answer needs."""
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
        """Whether no other step follows the present one."""
        return self.step > 1 or not self.spec.second_step_parts

    def complete_weight(self) -> float:
        """The weight of the present step's parts that makes a complete answer."""
        return self.spec.required_fraction if self.step == 1 else 1.0

    def least_weight(self) -> float:
        """The least weight of the present step's parts that may be answered."""
        return self.spec.least_fraction if self.step == 1 or self.spec.allows_partial else 1.0

    def add_part(self, event: PartArrived) -> None:
        """Add a part of the present step."""
        self.parts.append(Part(event.id, self, event.shard, event.weight, event.work_hint_us, self.step))
        self.offered_weight += event.weight if self.step == 1 else 0.0

    def exclude(self, parts: list[Part]) -> None:
        """Parts of the present step are not waited for any more."""
        for part in parts:
            part.excluded = True
            self.offered_weight -= part.weight if self.step == 1 else 0.0

    def attempts(self) -> list[Attempt]:
        """All attempts of all parts."""
        return [attempt for part in self.parts for attempt in part.attempts]

    def in_flight(self) -> list[Attempt]:
        """Attempts of any part that have had no outcome."""
        return [attempt for part in self.parts for attempt in part.in_flight()]

    def step_parts(self) -> list[Part]:
        """Parts of the present step."""
        return [part for part in self.parts if part.step == self.step]

    def unsent_parts(self) -> list[Part]:
        """Parts of the present step without an attempt."""
        return [part for part in self.step_parts() if not part.attempts]

    def pending_parts(self) -> list[Part]:
        """Parts of the present step that are neither in nor excluded."""
        return [part for part in self.step_parts() if not (part.done or part.excluded)]

    def sent_weight(self) -> float:
        """Weight of the present step's parts that have an attempt."""
        return sum(part.weight for part in self.step_parts() if part.attempts)

    def reachable_weight(self) -> float:
        """Weight of the present step's parts whose answer is in or may still come."""
        return sum(part.weight for part in self.step_parts() if part.can_contribute())


@dataclass(slots=True)
class Part:
    """One part; ``waiting`` while no replica may be sent to, ``excluded`` once every replica is excluded,
    ``is_hedge`` where it is sent beside or in place of others."""

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
    endpoint: Endpoint
    sent_at_us: int
    call_id: int
    outcome: str | None = None

    def may_have_run(self) -> bool:
        """Whether nothing proves that the endpoint never ran the part."""
        return self.outcome not in NOT_EXECUTED


@dataclass(slots=True)
class Endpoint:
    """What this aggregator knows of one endpoint from the list and from its own traffic."""

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
    last_answer_at_us: int = -1
    last_answered_send_at_us: int = -1
    consecutive_errors: dict[int, int] = field(default_factory=dict)
    ejections: dict[int, Ejection] = field(default_factory=dict)
    slow_start_from_us: int | None = None
    slow_start_credit: float | None = None
    slow_start_credit_at_us: int = 0

    @classmethod
    def from_entry(cls, entry: EndpointEntry) -> Endpoint:
        """An endpoint as the endpoint list first names it."""
        return cls(entry.node, entry.replica_group, entry.zone, entry.rating, entry.started_at_us)

    def update(self, entry: EndpointEntry, now_us: int) -> None:
        """Take what the endpoint list says; an unknown state leaves the present one as it is."""
        if entry.state in (EndpointState.LIVE, EndpointState.DRAINING, EndpointState.GONE):
            self.live = entry.state == EndpointState.LIVE
            self.gone_at_us = (self.gone_at_us or now_us) if entry.state == EndpointState.GONE else None
        self.replica_group, self.zone, self.rating = entry.replica_group, entry.zone, entry.rating

    def restart(self, started_at_us: int) -> None:
        """A new process: what was known of the old one is void."""
        self.started_at_us = started_at_us
        self.slow_start_from_us = self.slow_start_credit = None
        self.consecutive_errors, self.ejections, self.penalty.value = {}, {}, 0.0
        self.relative_latency.reset()

    def left_before(self, edge_us: int) -> bool:
        """Whether it left the endpoint list before an instant."""
        return self.gone_at_us is not None and self.gone_at_us < edge_us

    def restrict(self, key: int, deprioritized: frozenset[str], excluded: frozenset[str]) -> None:
        """Replace the restrictions that hold for a key by those that name this endpoint."""
        for restricted, nodes in (
            (self.deprioritized_for, deprioritized),
            (self.excluded_for, excluded),
        ):
            (restricted.add if self.node in nodes else restricted.discard)(key)

    def add_attempt(self, part: Part, now_us: int, next_call_id: int, parts_per_call: int) -> Attempt:
        """Count an attempt in flight, in the call of this instant while that has room, else in the next."""
        if self.last_call_at_us != now_us or self.last_call_capacity < 1:
            self.last_call_at_us, self.last_call_id = now_us, next_call_id
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
        """The attempt is not in flight any more; a second time has no effect."""
        if self.in_flight.pop((attempt.part.id, attempt.seq), None) is None:
            return
        self.in_flight_by_call[attempt.call_id] -= 1
        if not self.in_flight_by_call[attempt.call_id]:
            del self.in_flight_by_call[attempt.call_id]

    def start_slow_start_credit(self, now_us: int, credit: float) -> None:
        """Begin to count the parts that may be sent in slow start."""
        self.slow_start_credit, self.slow_start_credit_at_us = credit, now_us

    def earn_slow_start_credit(self, now_us: int, rate: float, most: float) -> float:
        """Let the credit grow by parts a microsecond up to a limit; returns what it is now."""
        earned = rate * (now_us - self.slow_start_credit_at_us)
        self.slow_start_credit = min((self.slow_start_credit or 0.0) + earned, most)
        self.slow_start_credit_at_us = now_us
        return self.slow_start_credit

    def all_sent_before(self, edge_us: int) -> bool:
        """Whether each attempt in flight was sent before an instant."""
        return all(attempt.sent_at_us < edge_us for attempt in self.in_flight.values())

    def record_response(self, now_us: int, sent_at_us: int) -> int:
        """Note a response to an attempt sent at an instant; returns the time since the one before."""
        silence_us = now_us - self.last_answer_at_us
        self.last_answered_send_at_us = max(self.last_answered_send_at_us, sent_at_us)
        self.last_answer_at_us = now_us
        return silence_us

    def add_error(self, key: int) -> int:
        """Count one more error in a row for a key; returns how many these are."""
        self.consecutive_errors[key] = self.consecutive_errors.get(key, 0) + 1
        return self.consecutive_errors[key]


@dataclass(slots=True)
class Ejection:
    """An ejection, of an endpoint or of one class at it; once half open, trial attempts are let through."""

    ejected_at_us: int
    duration_us: int
    half_open: bool = False
    disconnect_reason: str = ""

    @property
    def ends_at_us(self) -> int:
        """When a trial may begin."""
        return self.ejected_at_us + self.duration_us


class Timer(NamedTuple):
    """What a timer is set for."""

    kind: str
    subject: object
