"""Indexes the events of a run by query, part and attempt, for the checks of the rules.

Fields of events have their names and values in the event log.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from heathwell.testing.audit.reader import Event, JsonObject

NOT_STARTED_OUTCOMES = ("full_up", "unreachable", "never_sent")
ATTEMPT_EVENTS = ("send", "ended", "arrive", "begin", "done", "cancel")
UNIQUE_ATTEMPT_EVENTS = ("arrive", "send", "ended")


@dataclass(slots=True)
class AttemptRecord:
    """The events of one attempt, under the names of their kinds in the event log."""

    part: str
    seq: int
    send: Event | None = None
    ended: Event | None = None
    arrive: Event | None = None
    begin: Event | None = None
    done: Event | None = None
    cancel: Event | None = None

    @property
    def started(self) -> Event | None:
        """The attempt's first event: at the broker, or at the host where the broker logged none."""
        return self.send or self.arrive

    def may_have_run(self) -> bool:
        """Return whether the host may have run the attempt: no event shows that it never began."""
        if self.begin is not None:
            return True
        if self.arrive is None:
            return self.ended is None or self.ended["outcome"] not in NOT_STARTED_OUTCOMES
        return self.done is None or self.done["outcome"] != "full"


@dataclass(frozen=True, slots=True)
class DuplicateEvent:
    """Two events of a kind that an attempt may have only one of."""

    attempt: AttemptRecord
    name: str
    first: Event
    second: Event


@dataclass(slots=True)
class QueryRecord:
    """The events of one query, and its attempts by part."""

    id: str
    take: Event
    finals: list[Event] = field(default_factory=list)
    first_step_answers: list[Event] = field(default_factory=list)
    left: Event | None = None
    parts: dict[str, list[AttemptRecord]] = field(default_factory=dict)

    def attempts(self) -> Iterator[AttemptRecord]:
        """Yield the query's attempts, part by part."""
        for attempts in self.parts.values():
            yield from attempts


class RunRecords:
    """The indexed events of one run. Raise :class:`ValueError` without a ``run`` event.

    ``slack_us`` allows for the delay between a decision and its arrival on a busy machine.
    """

    def __init__(self, events: list[Event], slack_us: int) -> None:
        runs = [event for event in events if event.ev == "run"]
        if not runs:
            raise ValueError("no 'run' event: the log lacks the parameters of the run")
        self.events = events
        self.slack_us = slack_us
        self.parameters: JsonObject = runs[0].fields["figures"]
        self.by_kind: dict[str, list[Event]] = defaultdict(list)
        self.queries: dict[str, QueryRecord] = {}
        self.attempts: dict[tuple[str, int], AttemptRecord] = {}
        self.duplicates: list[DuplicateEvent] = []
        self.bounds: dict[str, list[Event]] = defaultdict(list)
        self.last_event_at_us: dict[str, int] = {}
        self._closed: set[str] = set()
        self._queries_by_key: dict[tuple[str, str], list[QueryRecord]] = defaultdict(list)
        self._index_processes()
        self._index_queries()
        self._index_attempts()

    def _index_processes(self) -> None:
        for event in self.events:
            self.by_kind[event.ev].append(event)
            self.last_event_at_us[event.who] = event.t
            if event.ev == "closed":
                self._closed.add(event.who)

    def _index_queries(self) -> None:
        for event in self.by_kind["take"]:
            query = QueryRecord(event["q"], event)
            self.queries[query.id] = query
            self._queries_by_key[event["req"], event["key"]].append(query)
        for event in self.by_kind["final"]:
            if event["q"] in self.queries:
                self.queries[event["q"]].finals.append(event)
        for event in self.by_kind["first"]:
            if event["q"] in self.queries:
                self.queries[event["q"]].first_step_answers.append(event)
        for event in self.by_kind["left"]:
            if event["q"] in self.queries:
                self.queries[event["q"]].left = event

    def _index_attempts(self) -> None:
        for event in self.by_kind["bound"]:
            self.bounds[event["p"]].append(event)
        for name in ATTEMPT_EVENTS:
            for event in self.by_kind[name]:
                attempt = self._attempt_of(event["p"], event["seq"])
                first = getattr(attempt, name)
                if first is None:
                    setattr(attempt, name, event)
                elif name in UNIQUE_ATTEMPT_EVENTS:
                    self.duplicates.append(DuplicateEvent(attempt, name, first, event))
        for query in self.queries.values():
            for attempts in query.parts.values():
                attempts.sort(key=lambda attempt: attempt.seq)

    def _attempt_of(self, part: str, seq: int) -> AttemptRecord:
        attempt = self.attempts.get((part, seq))
        if attempt is None:
            attempt = AttemptRecord(part, seq)
            self.attempts[part, seq] = attempt
            query = self.query_of(part)
            if query is not None:
                query.parts.setdefault(part, []).append(attempt)
        return attempt

    def query_of(self, part: str) -> QueryRecord | None:
        """Return the query that a part belongs to."""
        return self.queries.get(part.rpartition("/")[0])

    def class_of(self, query: QueryRecord) -> JsonObject:
        """Return the parameters of a query's class."""
        parameters: JsonObject = self.parameters["classes"][query.take["klass"]]
        return parameters

    def was_killed_before(self, who: str, instant_us: int) -> bool:
        """Return whether a process was killed before an instant: its log ends without a ``closed`` event."""
        return who not in self._closed and self.last_event_at_us[who] <= instant_us

    def clock_rate(self, who: str) -> float:
        """Return the rate of a process's clock, where the run changed it."""
        return next((float(event["rate"]) for event in self.by_kind["clock"] if event.who == who), 1.0)

    def paused_us(self, name: str, begin_us: int, end_us: int) -> int:
        """Return for how long the test harness paused a process that had to answer between two instants."""
        return sum(
            pause["span"] + self.slack_us
            for pause in self.by_kind["paused"]
            if pause["name"] == name
            and pause.t <= end_us
            and pause.t + pause["span"] + self.slack_us >= begin_us
        )

    def queries_of(self, ask: Event, key: str, until_us: int) -> list[QueryRecord]:
        """Return the queries for a key of a client's request: several where the request repeats the key.

        Request names contain a port, which may be reused; broker and time tell such requests apart.
        """
        return [
            query
            for query in self._queries_by_key.get((ask["req"], key), [])
            if broker_name(query.take.who) == ask["broker"]
            and ask.t - self.slack_us <= query.take.t <= until_us
        ]


def broker_name(who: str) -> str:
    """Return a broker's name without the number of its run: ``b0`` for the writer ``b0r1``."""
    return who.rpartition("r")[0]


def request_id(event: Event) -> str:
    """Return the id that a client logged for a request and its reply: its own count, else the name."""
    return str(event.fields.get("no") or event["req"])
