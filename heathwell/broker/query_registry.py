"""The open queries of a broker, the settings versions they belong to, and the events for each version."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, Link
from heathwell.broker.driver_hooks import DriverHooks, ResultT
from heathwell.broker.query_state import Handle, PartT, QueryT, SettingsVersion
from heathwell.broker.replies import OnReply, Reply
from heathwell.kernel import Event, Loop
from heathwell.observability.event_log import EventLog, NoEvents
from heathwell.policy.aggregator import Aggregator


class QueryRegistry(DriverHooks[QueryT, PartT, ResultT]):
    """Holds queries from admission to their last outcome and queues the events about them.

    ``open_count`` is the number of queries and parts held; ``decision_time_ns`` is CPU time spent in the
    aggregator; ``on_final`` is called with each query, its reply and its duration (us).
    """

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
        self.queries: dict[str, QueryT] = {}
        self.parts: dict[str, QueryT] = {}
        self.links: dict[str, Link] = {}
        self.open_count = self.last_job = 0
        self.stopping = self.dead = False
        self.shutdown_at_us: int | None = None  # when the process ends, once that is known (clock time, us)
        self.idle = Event()
        self.counters: Counter[tuple[str, ...]] = Counter()
        self.on_final: Callable[[QueryT, Reply, int], None] | None = None
        self.decision_time_ns = 0
        self._replies: list[tuple[OnReply, Reply]] = []
        self._leaving: list[QueryT] = []
        self._handling = True  # until the first turn ends
        self._sent_at_us: dict[AttemptKey, int] = {}

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

    def admit(self, query: QueryT) -> Handle:
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
        query: QueryT,
        parts: Iterable[tuple[PartT, int | None]],
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

    def add_parts(self, query: QueryT, parts: Iterable[tuple[PartT, int | None]]) -> None:
        """Tell the module of a step's parts."""
        for part, hint in parts:
            self.hold_part(query, part)
            self._push(
                policy.PartArrived(
                    part.id, query.job, part.plan.shard, part.plan.weight, hint, self.subject(query)
                ),
                query.settings_version,
            )

    def hold_part(self, query: QueryT, part: PartT) -> None:
        """Count a part towards the query's place."""
        query.parts[part.id] = part
        self.parts[part.id] = query
        self.open_count += 1

    def is_full(self, parts: int) -> bool:
        """Whether a query of so many parts finds no room."""
        cap = self.settings.max_open
        return bool(cap) and self.open_count + 1 + parts > cap

    def drain(self) -> None:
        """Note the end; :attr:`idle` is set once nothing is held."""
        self.stopping = True
        self._check_idle()

    def _push(self, event: policy.Event, era: SettingsVersion | None = None) -> None:
        """To the version whose query it is about; what is about servers to all."""
        if self._handling and not any(one.inbox for one in self.versions):
            self.loop.call_soon(_nothing)  # what comes of handling a batch is the next turn's
        for one in self.versions if era is None else (era,):
            one.inbox.append(event)

    def _set_timer(self, era: SettingsVersion, at: int, label: str) -> None:
        """One timer a label, the earliest: the module sets it anew whenever it fires."""
        pending = era.timers.get(label)
        if pending is not None and pending.call is not None:
            if pending.at <= at:
                return
            pending.cancel()
        era.timers[label] = self.loop.call_at(at, self._push, policy.TimerFired(label), era)

    def _query_class(self, query: QueryT) -> policy.QueryClass:
        return query.settings_version.settings.classes[query.query_class]

    def _release(self, query: QueryT) -> None:
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

    def _deadline(self, query: QueryT) -> None:
        """Called at the deadline of a query."""
        raise NotImplementedError

    def on_client_disconnected(self, query_id: str) -> None:
        """The client of a query has disconnected."""
        raise NotImplementedError


def _nothing() -> None:
    """A call that only makes the loop turn."""
