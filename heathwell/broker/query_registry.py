"""The open queries of a broker, the settings versions they belong to, and the events for each version."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, Counters, Link, RequestT
from heathwell.broker.driver_hooks import DriverHooks, ResultT
from heathwell.broker.endpoint_entries import to_endpoint_entry
from heathwell.broker.query_state import ExtensionT, Handle, HintedPart, PartT, QueryT, SettingsVersion
from heathwell.broker.replies import OnReply, Reply
from heathwell.eventloop import Event, Loop
from heathwell.observability.event_log import EventLog, NullEventLog
from heathwell.policy.aggregator import Aggregator


class QueryRegistry(
    DriverHooks[QueryT, PartT, ResultT, RequestT], Generic[QueryT, PartT, ResultT, RequestT, ExtensionT]
):
    """Holds queries from admission to their last outcome, and queues the events about them.

    ``open_count`` is the number of open queries and parts, ``decision_time_ns`` the CPU time spent in the
    aggregator. ``on_final`` is called with each query, its reply and its duration (us).
    """

    def __init__(
        self,
        loop: Loop,
        settings: policy.Settings,
        extension: ExtensionT,
        seed: int,
        *,
        name: str,
        events: EventLog | None = None,
        log: Callable[..., None] | None = None,
    ) -> None:
        self.loop = loop
        self.name = name
        self.events: EventLog = events or NullEventLog()
        self.log = log or (lambda *_args, **_fields: None)
        self.current_version = SettingsVersion(settings, Aggregator(settings, seed), extension)
        self.versions = [self.current_version]
        self.queries: dict[str, QueryT] = {}
        self.parts: dict[str, QueryT] = {}
        self.links: dict[str, Link[RequestT]] = {}
        self.open_count = 0
        self.last_job = 0
        self.stopping = False
        self.dead = False
        self.shutdown_at_us: int | None = None  # time by which all replies are given, once a shutdown began
        self.idle = Event()
        self.counters: Counters = Counters()
        self.on_final: Callable[[QueryT, Reply, int], None] | None = None
        self.decision_time_ns = 0
        self._replies: list[tuple[OnReply, Reply]] = []
        self._disconnected: list[QueryT] = []
        self._handling_batches = True  # until the first turn ends
        self._sent_at_us: dict[AttemptKey, int] = {}

    @property
    def aggregator(self) -> Aggregator:
        """The aggregator of the current settings version."""
        return self.current_version.aggregator

    @property
    def settings(self) -> policy.Settings:
        """The settings of the current version."""
        return self.current_version.settings

    def begin_version(
        self,
        settings: policy.Settings,
        seed: int,
        version: str,
        extension: ExtensionT,
    ) -> SettingsVersion[ExtensionT]:
        """Apply new settings to queries that are admitted from now on; open queries keep theirs.

        To be called between two batches. The new aggregator starts with the list of live endpoints and
        without the statistics of the old one. ``extension`` is stored in the version.
        """
        live_endpoints = tuple(
            to_endpoint_entry(endpoint, policy.EndpointState.LIVE)
            for endpoint in self.aggregator.endpoints.values()
            if endpoint.live
        )
        self.current_version = SettingsVersion(settings, Aggregator(settings, seed), extension, version)
        self.versions.append(self.current_version)
        self._push(
            policy.EndpointUpdate(policy.UpdateKind.FULL, live_endpoints, requested=False),
            self.current_version,
        )
        return self.current_version

    def next_job(self) -> int:
        """Return the number of a new query; numbers increase by 1."""
        self.last_job += 1
        return self.last_job

    def admit(self, query: QueryT) -> Handle:
        """Register a query, which is held until its last attempt has ended, and start its deadline timer."""
        self.queries[query.id] = query
        if self.shutdown_at_us is not None:
            query.deadline_us = min(query.deadline_us, self.shutdown_at_us)
        query.admitted_under = self.current_version
        self.current_version.open_queries += 1
        query.timer = self.loop.call_at(query.deadline_us, self._deadline, query)
        self.open_count += 1
        return Handle(self, query.id)

    def queue_arrival(
        self,
        query: QueryT,
        parts: Iterable[HintedPart[PartT]],
        count: int,
        hint_us: int | None,
        *,
        retry: bool = False,
        tenant: int = 0,
    ) -> None:
        """Queue the arrival of a query with ``count`` parts; ``hint_us`` is their total expected work."""
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

    def add_parts(self, query: QueryT, parts: Iterable[HintedPart[PartT]]) -> None:
        """Register the parts of a step and queue their arrival."""
        for hinted in parts:
            part = hinted.part
            self.hold_part(query, part)
            self._push(
                policy.PartArrived(
                    part.id,
                    query.job,
                    part.plan.shard,
                    part.plan.weight,
                    hinted.work_hint_us,
                    self.subject(query),
                ),
                query.settings_version,
            )

    def hold_part(self, query: QueryT, part: PartT) -> None:
        """Register a part; it counts towards ``open_count`` until its query is closed."""
        query.parts[part.id] = part
        self.parts[part.id] = query
        self.open_count += 1

    def is_full(self, parts: int) -> bool:
        """Whether a query with this number of parts would exceed the setting ``max_open`` (0: no limit)."""
        limit = self.settings.max_open
        return bool(limit) and self.open_count + 1 + parts > limit

    def drain(self) -> None:
        """Begin to drain; :attr:`idle` is set once no query waits for a reply."""
        self.stopping = True
        self._check_idle()

    def _push(self, event: policy.Event, version: SettingsVersion[ExtensionT] | None = None) -> None:
        """Queue an event for the next batch of one settings version, or of all if ``version`` is ``None``."""
        if self._handling_batches and not any(known.inbox for known in self.versions):
            # An event that a batch causes while it is handled belongs to the next turn, which this requests.
            self.loop.call_soon(_no_op)
        for recipient in self.versions if version is None else (version,):
            recipient.inbox.append(event)

    def _set_timer(self, version: SettingsVersion[ExtensionT], at_us: int, label: str) -> None:
        """Keep only the earliest timer of each label: the aggregator sets it again whenever it fires."""
        pending = version.timers.get(label)
        if pending is not None and pending.call is not None:
            if pending.at_us <= at_us:
                return
            pending.cancel()
        version.timers[label] = self.loop.call_at(at_us, self._push, policy.TimerFired(label), version)

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
            self.on_query_released(query)
            self._check_idle()

    def _check_idle(self) -> None:
        if self.stopping and not any(q.on_reply is not None for q in self.queries.values()):
            self.idle.set()

    def _deadline(self, query: QueryT) -> None:
        """Called at the deadline of a query."""
        raise NotImplementedError

    def on_client_disconnected(self, query_id: str) -> None:
        """Called when the client of a query has disconnected."""
        raise NotImplementedError


def _no_op() -> None:
    """Do nothing; scheduled so that the loop makes another turn."""
