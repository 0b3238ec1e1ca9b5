"""The driver: what happens on sockets goes to the module in batches, what it decides is carried out.

One batch is all that came in during one turn of the loop. The driver never drops, reorders or makes up
an outcome: each ``Send`` gets exactly one ``AttemptEnded``. Its only own time-out is the client's
deadline, at which what is still out for a query ends as timed out.

What differs between the inner wire and the platform stands behind :class:`Link`, :class:`Membership` and the
methods that a subclass gives: how parts are asked for and merged.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

from heathwell import policy
from heathwell.broker.replies import FAILED, REFUSED, OnReply, Reply
from heathwell.kernel import Event, Loop, Timer
from heathwell.observability.event_log import EventLog, NoEvents
from heathwell.policy.aggregator import Aggregator

Key = tuple[str, int]


class Ask(Protocol):
    """What a link is handed for one attempt."""

    @property
    def id(self) -> str:
        """The part."""

    @property
    def seq(self) -> int:
        """The attempt's number."""


class Result(Protocol):
    """What a host answered to an attempt."""

    @property
    def inflight(self) -> float | None:
        """What it says to be at work on, if it says so."""

    @property
    def data(self) -> bytes:
        """The part's value."""


class Link(Protocol):
    """The way to one host: one outcome an attempt, one a probe."""

    @property
    def late_answers(self) -> int:
        """Answers told to nobody."""

    @property
    def up(self) -> bool:
        """Whether a connection stands."""

    def send(self, parts: list[Any]) -> None:
        """Send attempts in one call; each will end once."""

    def abandon(self, key: Key) -> bool:
        """Stop waiting for an attempt whose end the owner has told by itself; true if it was out."""

    def withdraw(self, key: Key) -> bool:
        """Take back an attempt of which nothing has left yet; true if it was, and nothing of it
        will leave.
        """

    def probe(self) -> None:
        """Ask for a sign of life; ends once."""

    def close(self) -> None:
        """Let go; what is out ends as broken."""


class Membership(Protocol):
    """Where the list of hosts comes from; each ask is answered by one piece of news at least."""

    def start(self) -> None:
        """Begin where the list is pushed."""

    def ask(self) -> None:
        """Subscribe to the list."""

    def close(self) -> None:
        """Ask no more."""


@dataclass(slots=True)
class SettingsVersion:
    """One version of the settings, and the decisions under it. A query belongs to one from its start to its
    answer; one that is over lives on until its last query has ended. ``more`` is what a way in and out keeps
    by version.
    """

    settings: policy.Settings
    aggregator: Aggregator
    version: str = ""
    extension: Any = None
    inbox: list[policy.Event] = field(default_factory=list)
    timers: dict[str, Timer] = field(default_factory=dict)
    open_queries: int = 0


@dataclass(slots=True)
class PartState:
    """A part of an open query: its ``plan`` has ``shard`` and ``weight``; ``data`` once its answer is in."""

    id: str
    plan: Any
    step: int
    attempt_count: int = 0
    data: bytes | None = None
    node: str = ""
    seq: int = -1
    status: str = "not sent"
    attempted_nodes: list[str] = field(default_factory=list)


P = TypeVar("P", bound=PartState)


@dataclass(slots=True)
class QueryState(Generic[P]):
    """A query from its arrival until its last attempt has ended."""

    id: str
    job: int
    query_class: int
    started_at_us: int
    deadline_us: int
    on_reply: OnReply | None
    parts: dict[str, P] = field(default_factory=dict)
    in_flight: dict[Key, str] = field(default_factory=dict)
    step: int = 1
    timer: Timer | None = None
    queued: bool = False
    woken: bool = False
    admitted_under: SettingsVersion | None = None

    @property
    def settings_version(self) -> SettingsVersion:
        """The version that it is decided under, from its admission on."""
        assert self.admitted_under is not None
        return self.admitted_under


Q = TypeVar("Q", bound=QueryState[Any])
Calls = dict[str, list[list[Any]]]


class Handle:
    """A front's hold on a query that it asked for."""

    __slots__ = ("_driver", "query")

    def __init__(self, driver: Driver[Any], query: str) -> None:
        self._driver, self.query = driver, query

    def disconnect(self) -> None:
        """The client has left: no reply will be given."""
        self._driver.on_client_disconnected(self.query)


class Driver(Generic[Q]):
    """One aggregator with its queries, links and list of hosts. Subclasses are the ways in and out: they say
    how a part is asked for, what a usable answer is, what a second step asks, and how parts become a reply.
    """

    discovery: Membership

    def __init__(
        self,
        loop: Loop,
        settings: policy.Settings,
        seed: int,
        *,
        name: str,
        events: EventLog | None = None,
        log: Callable[..., None] | None = None,
    ) -> None:
        self.loop, self.name = loop, name
        self.events: EventLog = events or NoEvents()
        self.log = log or (lambda *_args, **_fields: None)
        self.current_version = SettingsVersion(settings, Aggregator(settings, seed))
        self.versions = [self.current_version]
        self.queries: dict[str, Q] = {}
        self.parts: dict[str, Q] = {}
        self.links: dict[str, Link] = {}
        self.open_count = self.last_job = 0
        self.stopping = self.dead = False
        self.shutdown_at_us: int | None = None  # when the process ends, once that is known (clock time, us)
        self.idle = Event()
        self.counters: Counter[tuple[str, ...]] = Counter()
        self.on_final: Callable[[Q, Reply, int], None] | None = None
        self.decision_time_ns = 0
        self._replies: list[tuple[OnReply, Reply]] = []
        self._leaving: list[Q] = []
        self._handling = True  # until the first turn ends
        self._sent_at_us: dict[Key, int] = {}

    @property
    def aggregator(self) -> Aggregator:
        """The decisions for queries that come now."""
        return self.current_version.aggregator

    @property
    def settings(self) -> policy.Settings:
        """The settings that they are made by."""
        return self.current_version.settings

    def begin_version(
        self, settings: policy.Settings, seed: int, version: str, more: Any = None
    ) -> SettingsVersion:
        """Other settings for all queries that come from now on; those that are here go on under theirs. To be
        called between two batches. What is known of servers, but for the list, is learned anew.
        """
        roster = tuple(
            policy.EndpointEntry(
                s.node, s.replica_group, policy.EndpointState.LIVE, s.started_at_us, s.rating, s.zone
            )
            for s in self.aggregator.endpoints.values()
            if s.live
        )
        self.current_version = SettingsVersion(settings, Aggregator(settings, seed), version, more)
        self.versions.append(self.current_version)
        self._push(
            policy.EndpointUpdate(policy.UpdateKind.FULL, roster, requested=False), self.current_version
        )
        return self.current_version

    def begin_service(self, discovery: Membership, roster: tuple[policy.EndpointEntry, ...]) -> None:
        """Hand the module the list as it was last known, and ask for the list of now."""
        self.discovery = discovery
        self.loop.at_turn_end(self._turn_end)
        self._push(policy.EndpointUpdate(policy.UpdateKind.FULL, roster, requested=False))
        self.discovery.start()

    # What a way in and out provides.

    def new_link(self, node: str) -> Link:
        """The link to a host that is sent to for the first time."""
        raise NotImplementedError

    def attempt_request(self, query: Q, part: Any, seq: int, left_us: int) -> Ask:
        """What the link is handed for an attempt that has so long (us)."""
        raise NotImplementedError

    def second_step(self, query: Q, whole: bool) -> Iterable[tuple[Any, int | None]]:
        """The second step's parts (states, not yet known to the driver) with their hints (us)."""
        raise NotImplementedError

    def merge(self, query: Q, whole: bool) -> Reply:
        """One reply from the parts that are in."""
        raise NotImplementedError

    def is_usable(self, query: Q, part: Any, node: str, key: Key, result: Any) -> bool:
        """Whether an answer can be used; one that can't is told to the module as an error of its host."""
        return True

    def on_part_answered(self, query: Q, part: Any, key: Key, result: Any) -> None:
        """An answer was taken."""

    def on_attempt_sent(self, node: str, key: Key) -> None:
        """An attempt is handed to its link."""

    def on_attempt_ended(self, node: str, key: Key, outcome: policy.Outcome, took_us: int) -> None:
        """An attempt has ended."""

    def retry_after_us(self, query: Q, after_us: int) -> int:
        """When a client that the module refuses may come back (us), from the module's own word."""
        return after_us

    def quota_update(self) -> policy.QuotaUpdate | None:
        """What budgets of the whole fleet leave this broker now, for the module; None where there
        are none.
        """
        return None

    def acquire_quota(self, send: policy.Send, key: Key) -> bool:
        """Whether such a budget has a unit for an attempt at this moment; it is used."""
        return True

    def on_quota_exhausted(self) -> None:
        """The module wanted a further attempt and had no room."""

    def on_reply_made(self, query: Q, reply: Reply, took_us: int) -> None:
        """A reply is on its way."""

    def on_query_closed(self, query: Q) -> None:
        """A query has had its reply or lost its client."""

    # Queries.

    def admit(self, query: Q) -> Handle:
        """Take a query: it holds its place from now until its last attempt has ended."""
        self.queries[query.id] = query
        if self.shutdown_at_us is not None:
            query.deadline_us = min(query.deadline_us, self.shutdown_at_us)
        query.admitted_under = self.current_version
        self.current_version.open_queries += 1
        query.timer = self.loop.call_at(query.deadline_us, self._deadline, query)
        self.open_count += 1
        return Handle(self, query.id)

    def enter(
        self,
        query: Q,
        parts: Iterable[tuple[Any, int | None]],
        count: int,
        hint_us: int | None,
        retry: bool = False,
        tenant: int = 0,
    ) -> None:
        """Tell the module of a query and of its parts, each with its hint."""
        query.queued = False
        self._push(
            policy.QueryArrived(
                query.id,
                query.job,
                query.query_class,
                query.deadline_us,
                count,
                work_hint_us=hint_us,
                is_retry=retry,
                tenant=tenant,
            ),
            query.settings_version,
        )
        self.add_parts(query, parts)

    def add_parts(self, query: Q, parts: Iterable[tuple[Any, int | None]]) -> None:
        """Tell the module of a step's parts."""
        for part, hint in parts:
            self.hold_part(query, part)
            self._push(
                policy.PartArrived(
                    part.id, query.job, part.plan.shard, part.plan.weight, hint, self.subject(query)
                ),
                query.settings_version,
            )

    def subject(self, query: Q) -> int | None:
        """What the query is about, where that is known as a number."""
        return None

    def hold_part(self, query: Q, part: Any) -> None:
        """Count a part towards the query's place."""
        query.parts[part.id] = part
        self.parts[part.id] = query
        self.open_count += 1

    def is_full(self, parts: int) -> bool:
        """Whether a query of so many parts finds no room."""
        cap = self.settings.max_open
        return bool(cap) and self.open_count + 1 + parts > cap

    def on_client_disconnected(self, query_id: str) -> None:
        """A client went away."""
        query = self.queries.get(query_id)
        if query is not None and query.on_reply is not None:
            query.on_reply = None
            self.counters["left", self._query_class(query).name] += 1
            self.events("left", q=query.id)
            if query.queued:
                query.queued = False
                self._closed(query)
                return
            self._push(policy.ClientDisconnected(query.id), query.settings_version)
            self._leaving.append(query)  # the module may still name its parts until it has heard

    def drain(self) -> None:
        """Note the end; :attr:`idle` is set once nothing is held."""
        self.stopping = True
        self._check_idle()

    def start_shutdown(self, until_us: int) -> None:
        """The process will be ended then: what is held, and what still comes, has its final answer before."""
        self.shutdown_at_us = until_us
        for query in self.queries.values():
            if query.deadline_us > until_us:
                query.deadline_us = until_us
                if query.timer is not None:
                    query.timer.cancel()
                    query.timer = self.loop.call_at(until_us, self._deadline, query)
        self._push(policy.ShutdownStarted(until_us))

    def kill(self) -> None:
        """What a SIGKILL leaves: nothing more is decided or sent (for fleets within one process)."""
        self.dead = True
        for query in self.queries.values():
            if query.timer is not None:
                query.timer.cancel()
        self.queries.clear()
        self.parts.clear()
        self.close()

    def close(self) -> None:
        """Let go of connections."""
        self.discovery.close()
        for link in self.links.values():
            link.close()

    # Towards the module.

    def _push(self, event: policy.Event, era: SettingsVersion | None = None) -> None:
        """To the version whose query it is about; what is about servers to all."""
        if self._handling and not any(one.inbox for one in self.versions):
            self.loop.call_soon(_nothing)  # what comes of handling a batch is the next turn's
        for one in self.versions if era is None else (era,):
            one.inbox.append(event)

    def on_endpoint_update(self, news: policy.EndpointUpdate) -> None:
        """Discovery's word."""
        self.events("news", kind=news.kind, hosts={s.node: s.state for s in news.endpoints})
        self.counters["news", news.kind] += 1
        self._push(news)

    def on_attempt_result(self, node: str, key: Key, outcome: policy.Outcome, result: Any) -> None:
        """A link's word on an attempt."""
        query = self.parts.get(key[0])
        if query is None or query.in_flight.pop(key, None) is None:
            return
        part = query.parts[key[0]]
        part.status = outcome
        wanted = part.data is None and query.on_reply is not None
        if outcome == policy.Outcome.OK and result is not None and wanted:
            if self.is_usable(query, part, node, key, result):
                part.data, part.node, part.seq = result.data, node, key[1]
                self.on_part_answered(query, part, key, result)
                if (
                    part.attempt_count > 1
                ):  # a further attempt that still waits for its connection is of no use now
                    self._withdraw(query, key[0])
            else:
                # Told to the module as an error of that host: it asks elsewhere where its own rules allow.
                outcome = policy.Outcome.ERROR
        self._ended(query, key, node, outcome, result)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """A link's word on a probe."""
        self.counters["probe", outcome] += 1
        self.events("probed", node=node, outcome=outcome)
        self._push(policy.ProbeEnded(node, outcome))

    def on_late_answer(self, node: str) -> None:
        """An answer to an attempt whose end was told already: it counts for nothing."""

    def _ended(self, query: Q, key: Key, node: str, outcome: policy.Outcome, result: Result | None) -> None:
        self.counters["attempt", self._query_class(query).name, outcome] += 1
        sent_at = self._sent_at_us.pop(key, self.loop.now())
        took = self.loop.now() - sent_at
        self.events("ended", p=key[0], seq=key[1], node=node, outcome=outcome, took=took)
        self.on_attempt_ended(node, key, outcome, took)
        active = result.inflight if result is not None else None
        self._push(
            policy.AttemptEnded(
                key[0], key[1], node, outcome, took, None if active is None else float(active)
            ),
            query.settings_version,
        )
        self._release(query)

    def _deadline(self, query: Q) -> None:
        """The client's time is up: what is still out for its query ends here."""
        query.timer = None
        if query.on_reply is not None and not query.queued and not query.woken:
            # After a stall of the loop the module's own timer, a tick earlier, comes in the same turn: it
            # goes first. By a timer of the next turn: what is called soon would still run in this one, before
            # its batch is handled.
            query.woken = True
            self._push(policy.TimerFired("due"), query.settings_version)
            query.timer = self.loop.call_at(self.loop.now() + 1, self._deadline, query)
            return
        for key, node in list(query.in_flight.items()):
            del query.in_flight[key]
            self._link(node).abandon(key)
            self._ended(query, key, node, policy.Outcome.TIMED_OUT, None)
        if query.on_reply is not None:
            # The module owes a final answer a tick earlier; reaching this is a fault of ours, and says so.
            self.log("error", "query overdue", query=query.id)
            self.counters["overdue",] += 1
            on_reply, query.on_reply = query.on_reply, None
            self._push(policy.ClientDisconnected(query.id), query.settings_version)
            self._final(query, Reply(FAILED, query.id, self._query_class(query).name), on_reply)
        self._release(query)

    def _turn_end(self) -> None:
        self._handling = True
        if not self.dead:
            for era in tuple(self.versions):
                if era.inbox:
                    self._handle_batch(era)
            for over in [era for era in self.versions[:-1] if not (era.open_queries or era.inbox)]:
                self.versions.remove(over)
                for timer in over.timers.values():
                    timer.cancel()
        self._handling = False

    def _handle_batch(self, era: SettingsVersion) -> None:
        batch, era.inbox = era.inbox, []
        room = self.quota_update()
        if room is not None:
            batch.insert(0, room)
        calls: Calls = {}
        began = time.thread_time_ns()
        actions = era.aggregator.handle(self.loop.now(), batch)
        self.decision_time_ns += time.thread_time_ns() - began
        for action in actions:
            try:
                self._execute(action, calls, era)
            except Exception as problem:  # one that can't be carried out must not cost the others
                self.loop.report(f"carrying out {action}", problem)
        leaving, self._leaving = self._leaving, []
        for query in leaving:
            self._closed(query)
        if self.events.on:
            self.events.flush()  # type: ignore[attr-defined]  # what is about to leave is on record first
        for node, batches in calls.items():
            for parts in batches:
                wanted = [ask for ask in parts if self._is_still_needed(node, (ask.id, ask.seq))]
                if wanted:
                    self._link(node).send(wanted)
        replies, self._replies = self._replies, []
        for on_reply, reply in replies:
            try:
                on_reply(reply)
            except Exception as problem:
                self.loop.report(f"reply to {reply.query}", problem)

    def _is_still_needed(self, node: str, key: Key) -> bool:
        """Whether a send's query is not over by what was decided after it, in the same batch."""
        query = self.parts.get(key[0])
        if query is not None and query.on_reply is not None:
            return True
        if query is not None and query.in_flight.pop(key, None) is not None:
            self._ended(query, key, node, policy.Outcome.NEVER_SENT, None)
        return False

    # What the module decided.

    def _execute(self, action: policy.Action, calls: Calls, era: SettingsVersion) -> None:
        match action:
            case policy.Send():
                self._send(action, calls)
            case policy.Cancel(id=part_id, seq=seq):
                query = self.parts.get(part_id)
                if query is not None and (part_id, seq) in query.in_flight:
                    node = query.in_flight.pop((part_id, seq))
                    self._abandon(calls, node, (part_id, seq))
                    self._ended(query, (part_id, seq), node, policy.Outcome.CANCELLED, None)
            case policy.Answer(id=query_id, complete=whole):
                self._answer(query_id, whole)
            case policy.Reject(id=query_id, retry_after_us=after):
                self._reply_without_answer(query_id, REFUSED, after)
            case policy.Fail(id=query_id):
                self._reply_without_answer(query_id, FAILED, 0)
            case policy.Probe(node=node):
                self.events("probe", node=node)
                self._link(node).probe()
            case policy.WatchEndpoints():
                self.events("watch")
                self.discovery.ask()
            case policy.SetTimer(at_us=at, label=label):
                self._set_timer(era, at, label)
            case policy.Log(text=text):
                self.log("info", text)
            case policy.QuotaExhausted():
                self.on_quota_exhausted()

    def _set_timer(self, era: SettingsVersion, at: int, label: str) -> None:
        """One timer a label, the earliest: the module sets it anew whenever it fires."""
        pending = era.timers.get(label)
        if pending is not None and pending.call is not None:
            if pending.at <= at:
                return
            pending.cancel()
        era.timers[label] = self.loop.call_at(at, self._push, policy.TimerFired(label), era)

    def _send(self, action: policy.Send, calls: Calls) -> None:
        part_id, node = action.id, action.node
        query = self.parts[part_id]
        part = query.parts[part_id]
        key = (part_id, part.attempt_count)
        part.attempt_count += 1
        now = self.loop.now()
        if query.on_reply is None or now >= query.deadline_us or not self.acquire_quota(action, key):
            # Its client left, or its time or the fleet's budget ran out while this was decided: told as what
            # it is.
            self.events("unsent", p=part_id, seq=key[1], node=node)
            self._push(
                policy.AttemptEnded(part_id, key[1], node, policy.Outcome.NEVER_SENT), query.settings_version
            )
            return
        query.in_flight[key] = node
        part.status = "out"
        part.attempted_nodes.append(node)
        self._sent_at_us[key] = now
        if action.send_by_us is not None and action.send_by_us < query.deadline_us:
            self.loop.call_at(action.send_by_us, self._withdraw, query, key)
        self.on_attempt_sent(node, key)
        self.events(
            "send",
            p=part_id,
            seq=key[1],
            node=node,
            shard=part.plan.shard,
            **({"further": True} if action.additional else {}),
        )
        batches = calls.setdefault(node, [])
        if not batches or len(batches[-1]) >= self.settings.parts_per_call:
            batches.append([])
        batches[-1].append(self.attempt_request(query, part, key[1], query.deadline_us - now))

    def _abandon(self, calls: Calls, node: str, key: Key) -> None:
        """Cancel an attempt, which may have been decided in this very batch and not have left yet."""
        for parts in calls.get(node, []):
            for ask in parts:
                if (ask.id, ask.seq) == key:
                    parts.remove(ask)
                    return
        self._link(node).abandon(key)

    def _reply_without_answer(self, query_id: str, kind: str, after: int) -> None:
        query = self.queries.get(query_id)
        if query is not None:
            if kind == REFUSED and after:
                after = self.retry_after_us(query, after)
            self._reply(query, Reply(kind, query_id, self._query_class(query).name, retry_after_us=after))

    def _query_class(self, query: Q) -> policy.QueryClass:
        return query.settings_version.settings.classes[query.query_class]

    def _answer(self, query_id: str, whole: bool) -> None:
        query = self.queries.get(query_id)
        if query is None or query.on_reply is None:
            return  # its client left within this very batch
        if query.step == 1 and self._query_class(query).second_step_parts:
            query.step = 2
            self.events("first", q=query.id, whole=whole)
            self.add_parts(query, self.second_step(query, whole))
            return
        self._reply(query, self.merge(query, whole))

    def _reply(self, query: Q, reply: Reply) -> None:
        on_reply, query.on_reply = query.on_reply, None
        if on_reply is not None:
            self._final(query, reply, on_reply)

    def _final(self, query: Q, reply: Reply, on_reply: OnReply) -> None:
        took = self.loop.now() - query.started_at_us
        spec = self._query_class(query)
        aim = "in aim" if took <= spec.latency_objective_us else "late"
        kind = "partial" if reply.kind == "answered" and not reply.complete else reply.kind
        self.counters["final", spec.name, kind, aim] += 1
        self.on_reply_made(query, reply, took)
        if self.on_final is not None:
            self.on_final(query, reply, took)
        self._closed(query)
        if self._handling:
            self._replies.append((on_reply, reply))
        else:
            self.loop.call_soon(on_reply, reply)

    def _closed(self, query: Q) -> None:
        """The query holds no place any more; its attempts may still be out."""
        self.open_count -= 1 + len(query.parts)
        self.on_query_closed(query)
        self._withdraw(query)  # nothing leaves for a query that has its final answer, or lost its client
        self._release(query)

    def _withdraw(self, query: Q, of: Key | str | None = None) -> None:
        """Take back what still waits for its connection: of an attempt, of a part, or all."""
        for key, node in list(query.in_flight.items()):
            if of in (None, key, key[0]) and self._link(node).withdraw(key):
                del query.in_flight[key]
                self._ended(query, key, node, policy.Outcome.NEVER_SENT, None)

    def _release(self, query: Q) -> None:
        if query.on_reply is None and not query.in_flight and query.id in self.queries:
            if query.timer is not None:
                query.timer.cancel()
            del self.queries[query.id]
            query.settings_version.open_queries -= 1
            for part in query.parts:
                self.parts.pop(part, None)
            self._check_idle()

    def _check_idle(self) -> None:
        if self.stopping and not any(q.on_reply is not None for q in self.queries.values()):
            self.idle.set()

    def _link(self, node: str) -> Link:
        link = self.links.get(node)
        if link is None:
            link = self.links[node] = self.new_link(node)
        return link


def _nothing() -> None:
    """A call that only makes the loop turn."""
