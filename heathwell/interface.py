"""What goes in and out of :class:`heathwell.logic.Aggregator`.

Settings, events and actions are frozen records in the library's own terms.
Every time and duration is an integer number of microseconds on the caller's
clock. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass

# Repeat kinds of a class of query.
SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"

# States of a listed server.
LIVE, DRAINING, GONE = "live", "draining", "gone"

# Kinds of news from discovery.
UPDATE, FULL, FAILED = "update", "full", "failed"

# How an attempt or a probe ended.
OK, ERROR, FULL_UP, TIMED_OUT = "ok", "error", "full_up", "timed_out"
UNREACHABLE, BROKEN, CANCELLED, NEVER_SENT = "unreachable", "broken", "cancelled", "never_sent"
LOST = "lost"  # its connection broke and its server is there: it may have run, and says little of the server

# Ends that prove that the server never ran the part.
NEVER_RAN = (FULL_UP, UNREACHABLE, NEVER_SENT)


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of query.

    ``need`` is the share of the first step's weight that makes a whole
    answer, ``min_share`` the least share that may be answered at all, and
    ``fetch`` the number of parts of a second step (0: none).
    """

    name: str
    aim_us: int
    limit_us: int
    repeat: str = SAFE
    dedup_us: int = 0
    worth: float = 1.0
    late_worth: float = 0.0
    partial_worth: float = 1.0
    need: float = 1.0
    min_share: float = 1.0
    fetch: int = 0
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        if self.aim_us <= 0 or self.limit_us < self.aim_us:
            raise ValueError(f"class {self.name}: needs 0 < aim_us <= limit_us")
        if self.repeat not in (SAFE, KEYED, UNSAFE):
            raise ValueError(f"class {self.name}: repeat {self.repeat!r} is not known")
        if not 0 < self.need <= 1:
            raise ValueError(f"class {self.name}: need {self.need} is not a share in (0, 1]")
        if not 0 < self.min_share <= 1:
            raise ValueError(f"class {self.name}: min_share {self.min_share} is not a share in (0, 1]")
        if self.fetch < 0:
            raise ValueError(f"class {self.name}: fetch is negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the query rate, over all aggregators, within its share."""

    name: str
    quota_rps: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What one aggregator is told at its start."""

    classes: tuple[ClassSpec, ...]
    shards: int
    cells: int
    width: int
    siblings: int = 1
    zone: int = 0
    tick_us: int = 1000
    max_attempts: int = 3
    open_cap: int = 0
    second_copies: bool = False
    cancelling: bool = False
    probing: bool = False
    advise: bool = False
    max_advice_us: int = 0
    ask_mode: bool = False
    must_ask_us: int = 0
    parts_a_call: int = 1
    marks_retry: bool = False
    drain_grace_us: int = 0
    fall_multiple: float = 0.0
    tip_after_us: int = 0
    start_capacity: float = 1.0
    warm_within_us: int = 0
    free_resends: int = 0
    further_ratio: float = 0.0
    counted_over_us: int = 0
    warm_keys: bool = False
    by_work: bool = False
    over_share_worth: float = 1.0
    tenants: tuple[Tenant, ...] = ()

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for name in ("shards", "cells", "width", "siblings", "tick_us", "max_attempts", "parts_a_call"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        if self.width > self.cells:
            raise ValueError("width: more than the number of cells")
        if not 0 < self.start_capacity <= 1:
            raise ValueError(f"start_capacity: {self.start_capacity} is not a share in (0, 1]")
        if self.further_ratio < 0 or self.free_resends < 0 or self.counted_over_us < 0:
            raise ValueError("attempt budget: negative figure")


# Events


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of discovery's list; ``since_us`` is the latest start, None for long ago."""

    node: str
    cell: int
    state: str = LIVE
    since_us: int | None = None
    rating: float = 1.0
    zone: int = 0


@dataclass(frozen=True, slots=True)
class FleetNews:
    """Discovery's word: ``asked`` is false for the list handed over at the start."""

    kind: str
    servers: tuple[ServerEntry, ...] = ()
    asked: bool = True


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query; its parts follow in the same batch."""

    id: str
    job: int
    klass: int
    deadline_us: int
    parts: int
    tenant: int = 0
    hint_us: int | None = None
    retry: bool = False


@dataclass(frozen=True, slots=True)
class PartArrived:
    """A part of the query with the same ``job``; weights of a step sum to 1."""

    id: str
    job: int
    shard: int
    weight: float
    hint_us: int | None = None
    key: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt."""

    id: str
    seq: int
    node: str
    outcome: str
    elapsed_us: int = 0
    active: float | None = None
    busy: float | None = None


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    node: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Held:
    """Holders held back from now on, for one class or all (-1): ``avoid`` serve only where no other does,
    ``shut`` not at all."""

    avoid: frozenset[str]
    shut: frozenset[str]
    klass: int = -1


@dataclass(frozen=True, slots=True)
class Room:
    """What a budget of all aggregators together leaves this one until it is told anew: attempts beyond the
    first that are needed (``further``), parts by cold server (``cold``, none where it is not named). None: no
    such budget."""

    further: int | None = None
    cold: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class Moot:
    """An attempt that is out can't change its query's answer any more: its part counts as in."""

    id: str
    seq: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier is due."""

    label: str


@dataclass(frozen=True, slots=True)
class QueryExpired:
    """The client of a query has left."""

    id: str


@dataclass(frozen=True, slots=True)
class Ending:
    """This aggregator's process ends then (clock time, us): queries with more time have only that."""

    until_us: int


Event = (
    FleetNews
    | QueryArrived
    | PartArrived
    | AttemptEnded
    | ProbeEnded
    | Held
    | Room
    | Moot
    | TimerFired
    | QueryExpired
    | Ending
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send a part to a server; attempts of a part are numbered from 0 in this order. ``further``: beyond the
    first that are needed; ``cold``: to a server on its ramp. ``until_us`` (clock time): what waits for its
    connection is not to leave later, as its class allows a repeat up to then alone."""

    id: str
    node: str
    further: bool = False
    cold: bool = False
    until_us: int | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    seq: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer from the parts that are in (the first of two, in a class with a second step)."""

    id: str
    whole: bool


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a query: a repeat is harmless, and welcome after ``after_us`` (0: no advice)."""

    id: str
    after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a query without a promise about its effect."""

    id: str


@dataclass(frozen=True, slots=True)
class Lacked:
    """A further attempt was wanted and had no :class:`Room`."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a server."""

    node: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a :class:`TimerFired` at a clock time."""

    at_us: int
    label: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Cancel | Answer | Refuse | Fail | Lacked | Probe | Watch | SetTimer | Log
