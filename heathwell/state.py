"""Plain records that :mod:`heathwell.logic` keeps; they decide nothing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from heathwell.datastructures import DecayingAverage, DecayingSum


@dataclass(slots=True)
class Query:
    """A query that still owes its client a final answer."""

    id: str
    job: int
    klass: int
    tenant: int
    start: int
    aim_at: int
    deadline: int
    work: float
    parts: list[Part] = field(default_factory=list)
    step: int = 1
    whole: bool = True
    answered: bool = False
    cut: bool = False
    got: float = 0.0
    given: float = 0.0
    broke: int = 0


@dataclass(slots=True)
class Part:
    """One part; ``waiting`` while no holder may be sent to, ``lost`` once every holder is shut off, ``spare``
    where it is sent beside or in place of others."""

    id: str
    query: Query
    shard: int
    weight: float
    hint: int | None
    step: int
    tries: list[Attempt] = field(default_factory=list)
    done: bool = False
    lost: bool = False
    waiting: bool = False
    spare: bool = False

    def in_flight(self) -> list[Attempt]:
        """Attempts that have had no outcome."""
        return [attempt for attempt in self.tries if attempt.outcome is None]

    def can_contribute(self) -> bool:
        """Whether its answer is in or may still come."""
        return self.done or (not self.lost and (self.waiting or not self.tries or bool(self.in_flight())))


@dataclass(slots=True)
class Attempt:
    """One send of a part; ``outcome`` is None while it is out."""

    part: Part
    seq: int
    server: Server
    sent: int
    call: int
    outcome: str | None = None


@dataclass(slots=True)
class Server:
    """What this aggregator knows of one server from the list and from its own traffic."""

    node: str
    cell: int
    zone: int
    rating: float
    since: int | None
    live: bool = True
    gone: int | None = None
    avoid: set[int] = field(default_factory=set)
    shut: set[int] = field(default_factory=set)
    out: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    calls: dict[int, int] = field(default_factory=dict)
    call_at: int = -1
    call_id: int = -1
    call_room: int = 0
    charge: DecayingSum = field(default_factory=DecayingSum)
    pace: DecayingAverage = field(default_factory=lambda: DecayingAverage(1.0))
    last_ok: int = -1
    last_sent: int = -1
    errors: dict[int, int] = field(default_factory=dict)
    bars: dict[int, Bar] = field(default_factory=dict)
    cold_from: int | None = None
    credit: float | None = None
    credit_at: int = 0


@dataclass(slots=True)
class Bar:
    """An ejection, of a server or of one class at it; half open once ``trial`` is set."""

    since: int
    span: int
    trial: bool = False
    dead: str = ""


class Due(NamedTuple):
    """What a timer is set for."""

    what: str
    subject: object
