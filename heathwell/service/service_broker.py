"""The service broker: the driver on the inner protocol, with the components that its settings enable."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping

from heathwell import policy
from heathwell.broker.driver import Driver
from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.endpoint_entries import to_endpoint_entry
from heathwell.broker.query_state import Handle, HintedPart
from heathwell.broker.replies import OnReply, Reply, ReplyKind, rejection
from heathwell.codec import frames
from heathwell.eventloop import Listener, Loop, Net
from heathwell.observability.event_log import EventLog
from heathwell.policy.records import Endpoint
from heathwell.service import key_spaces
from heathwell.service.admission import FairQueue
from heathwell.service.broker_components import build_components, build_discovery_client
from heathwell.service.broker_options import BrokerOptions
from heathwell.service.host_link import HostLink
from heathwell.service.host_pool import HostPool
from heathwell.service.module_settings import module_settings
from heathwell.service.query_admission import RejectionReason
from heathwell.service.query_cost import part_work_us
from heathwell.service.query_explanations import QueryExplanation
from heathwell.service.records import Plan
from heathwell.service.regions import RegionLinks
from heathwell.service.replica_lookup import live_replicas
from heathwell.service.reply_merging import UnmergeablePartsError, merge_reply
from heathwell.service.retry_storms import StormController
from heathwell.service.service_records import ServicePart, ServiceQuery
from heathwell.service.settings_change import ServiceSnapshot, check_settings_change
from heathwell.settings import ServiceSettings

BROKER_SEED_MASK = 0x5EED
VERSION_SEED_BITS = 48


class ServiceBroker(Driver[ServiceQuery, ServicePart, frames.Result, frames.PartRequest, ServiceSnapshot]):
    """One aggregator with its connections and components.

    It owns the versions of the settings; each other concern is a component
    (:class:`~heathwell.service.broker_components.BrokerComponents`), to which the methods delegate.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        options: BrokerOptions,
        *,
        events: EventLog | None = None,
        log: Callable[..., None] | None = None,
    ) -> None:
        settings = module_settings(service_settings, options.zone, options.aggregator_count)
        snapshot = ServiceSnapshot.from_settings(service_settings)
        super().__init__(loop, settings, snapshot, options.seed, name=options.name, events=events, log=log)
        self._options = options
        self.service_statistics = options.statistics
        self._draw = random.Random(options.seed ^ BROKER_SEED_MASK)
        components = build_components(self, net, options, self._draw)
        self.quota_gate = components.quota_gate
        self.zone_observer = components.zone_observer
        self.freshness = components.freshness
        self.source_clock_client = components.source_clock_client
        self.explanations = components.explanations
        self.reachability = components.reachability
        self.costs = components.costs
        self.search_answers = components.search_answers
        self.client_drain = components.client_drain
        self._connections = components.connections
        self._restrictions = components.restrictions
        self._fair_admission = components.fair_admission
        self._storm_control = components.storm_control
        self._admission = components.admission
        self._intake = components.intake
        self._planner = components.planner
        self._recorder = components.recorder
        self.begin_service(build_discovery_client(self, net, options), options.known_endpoints)

    def close(self) -> None:
        """Close the connections."""
        super().close()
        if self.source_clock_client is not None:
            self.source_clock_client.close()

    # Versions of the settings.

    @property
    def service_settings(self) -> ServiceSettings:
        """The settings for queries that are admitted now."""
        return self.current_version.extension.service_settings

    @property
    def keys(self) -> key_spaces.KeySpaces:
        """The key spaces for queries that are admitted now."""
        return self.current_version.extension.keys

    @property
    def class_names(self) -> list[str]:
        """The names of the query classes, in their order."""
        return [spec.name for spec in self.settings.classes]

    def snapshot_of(self, query: ServiceQuery) -> ServiceSnapshot:
        """Return what is derived from the settings that a query is decided under."""
        return query.settings_version.extension

    def query_class_of(self, query: ServiceQuery) -> policy.QueryClass:
        """Return a query's class, by the settings that it is decided under."""
        return self._query_class(query)

    def apply_settings(self, service_settings: ServiceSettings, version: str) -> None:
        """Apply other settings to all queries that are admitted from now on; open queries keep theirs.

        Raise :class:`SettingsChangeError`, with nothing changed, where the settings need a restart.
        """
        check_settings_change(self.service_settings, service_settings)
        self.begin_version(
            module_settings(service_settings, self._options.zone, self._options.aggregator_count),
            self._draw.getrandbits(VERSION_SEED_BITS),
            version,
            ServiceSnapshot.from_settings(service_settings),
        )
        if self.service_statistics is not None:
            self.service_statistics.classes = {spec.name: spec for spec in self.settings.classes}
        self.events("settings", version=version)
        self.log("info", "settings", version=version, eras=len(self.versions))

    # Queries: called by the servers of client protocols, and by the components.

    def ask(self, key: str, on_reply: OnReply, request: str = "", client: str = "") -> Handle | None:
        """Start the query of a key; its one reply is given to ``on_reply``, never before this returns.

        Return ``None`` where it never reaches the decision module, as :class:`QueryIntake` states. ``client``
        is the client's address.
        """
        return self._intake.ask(key, on_reply, request, client)

    def begin(self, plan: Plan, on_reply: OnReply, request: str = "", client: str = "") -> Handle | None:
        """Start the query of a plan; as :meth:`ask`."""
        return self._intake.begin(plan, on_reply, request, client)

    def enter_query(self, query: ServiceQuery) -> None:
        """Pass a query to the decision module."""
        parts = query.plan.parts
        work_us = part_work_us(query.plan, query.settings_version)
        self.enter(
            query,
            self._planner.first_step(query),
            len(parts),
            work_us * len(parts),
            retry=self._may_be_retry(query.plan),
        )

    def _may_be_retry(self, plan: Plan) -> bool:
        """Return whether a query with less time than usual may be a retry with its client's remaining time.

        Not if its client chose the timeout itself: its latency objective counts from now on.
        """
        has_own_timeout = plan.search is not None and plan.search.timeout_us > 0
        return not self.service_settings.limits.marks_retry and not has_own_timeout

    def reject_crowded_query(self, query: ServiceQuery, retry_after_us: int) -> None:
        """Reject a query that would be queued for too long."""
        retry_after_us = self.retry_after_us(query, retry_after_us)
        class_name = self._query_class(query).name
        self._reply(query, rejection(class_name, retry_after_us, RejectionReason.QUEUE_FULL.value, query.id))

    def mean_part_latency_us(self, query_class: int) -> float:
        """Return the mean latency of a class's parts."""
        return self.aggregator.mean_latency_us[query_class].value

    def supersede_attempt(self, query: ServiceQuery, part_id: str, attempt: int) -> None:
        """Report to the decision module that an attempt can't change its query's answer any more."""
        self._push(policy.AttemptSuperseded(part_id, attempt), query.settings_version)

    def explain(self, query_id: str) -> QueryExplanation | None:
        """Return what a recent query rested on; ``None`` where it is not cached."""
        return self.explanations.explain(query_id)

    # Components that the servers of client protocols read or use.

    @property
    def gate(self) -> FairQueue | None:
        """The queues of the servers, where settings enable them."""
        return self._fair_admission.queue if self._fair_admission is not None else None

    @property
    def storms(self) -> StormController | None:
        """The decider on retry storms, where settings enable it."""
        return self._storm_control.decider if self._storm_control is not None else None

    @property
    def regions(self) -> RegionLinks | None:
        """The decider on links between regions, where settings enable it."""
        return self._restrictions.regions

    def pace(self, listener: Listener) -> None:
        """Limit the rate at which a listener accepts connections, while clients retry."""
        if self._storm_control is not None:
            self._storm_control.pace(listener)

    @property
    def sends_away(self) -> bool:
        """Whether idle clients should connect elsewhere: the broker is cut off, or its zone is evacuated."""
        return (
            self.zone_observer is not None
            and self.zone_observer.is_evacuated()
            or bool(self.service_settings.across.client_drain_duration_us)
            and self.cut_off
        )

    @property
    def cut_off(self) -> bool:
        """Whether links that are down keep most shards out of reach."""
        return self.reachability.is_cut_off

    # Endpoints: called by the components.

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All endpoints that the decision module lists, by node."""
        return self.aggregator.endpoints

    @property
    def slow_start_capacity(self) -> float:
        """The fraction of its capacity that an endpoint starts with."""
        return self.settings.slow_start_capacity

    def slow_start_fraction(self, node: str) -> float:
        """Return the fraction of its capacity that an endpoint has by now."""
        return self.aggregator.slow_start_fraction(self.aggregator.endpoints[node])

    def live_replicas(self, shard: int) -> list[str]:
        """Return the endpoints listed as live that hold a shard."""
        return live_replicas(shard, self.service_settings.fleet, self.aggregator.endpoints_by_group)

    def restrict_zones(self, query_class: int | None, nodes: frozenset[str]) -> None:
        """Deprioritize endpoints of evacuated zones, for one query class or (None) for all."""
        self._restrictions.restrict_zones(query_class, nodes)

    def restrict_endpoints(self, restrictions: policy.HolderRestrictions) -> None:
        """Pass restrictions to the decision module."""
        self._push(restrictions)

    def probe_endpoint(self, node: str) -> None:
        """Send a probe to an endpoint."""
        self._link(node).probe()

    def probe(self, node: str) -> None:
        """Send a probe to an endpoint of an evacuated zone."""
        self.counters["zone probe",] += 1
        self.probe_endpoint(node)

    # Events of discovery and of the connections.

    def on_endpoint_update(self, update: policy.EndpointUpdate) -> None:
        """Handle an update of the endpoint list."""
        self._restrictions.on_endpoint_update(update)
        super().on_endpoint_update(update)
        self.reachability.schedule_update()
        self._restrictions.restrict_remote_nodes()

    def on_endpoint_draining(self, node: str) -> None:
        """Handle an endpoint's notice on its connection that it drains; discovery may list it later."""
        endpoint = self.aggregator.endpoints.get(node)
        if endpoint is None:
            return
        entry = to_endpoint_entry(endpoint, policy.EndpointState.DRAINING)
        self.on_endpoint_update(policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, (entry,)))

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Handle the outcome of a probe."""
        self._restrictions.on_probe_result(node, outcome)
        if self.zone_observer is not None:
            self.zone_observer.on_probe_result(node, outcome)
        super().on_probe_result(node, outcome)

    def on_late_answer(self, node: str) -> None:
        """Record an answer that is not used: it shows that the link to its endpoint is up."""
        self._restrictions.on_late_answer(node)

    def on_score_bound(self, node: str, key: AttemptKey, best: list[float]) -> None:
        """Handle an endpoint's bounds on the scores of an attempt's rows."""
        query = self.parts.get(key[0])
        if query is not None:
            self.search_answers.on_score_bound(query, node, key, best)

    def parts_to_send(self, node: str, parts: list[frames.PartRequest]) -> list[frames.PartRequest]:
        """Return those attempts whose quota has not expired while they waited for their connection.

        The others end as never sent.
        """
        if self.quota_gate is None:
            return parts
        expired = [part for part in parts if not self.quota_gate.may_still_send((part.id, part.seq))]
        for part in expired:
            key = part.id, part.seq
            query = self.parts.get(part.id)
            self._link(node).abandon(key)
            if query is not None and query.in_flight.pop(key, None) is not None:
                self._ended(query, key, node, policy.Outcome.NEVER_SENT, None)
        return [part for part in parts if part not in expired]

    # Hooks of the driver.

    def new_link(self, node: str) -> HostLink | HostPool:
        """Return a connection to an endpoint, or a pool of several."""
        return self._connections.connect(node)

    def attempt_request(
        self, query: ServiceQuery, part: ServicePart, seq: int, remaining_us: int
    ) -> frames.PartRequest:
        """Return the request of an attempt, in the inner protocol."""
        return self._planner.attempt_request(query, part, seq, remaining_us)

    def second_step(self, query: ServiceQuery, *, complete: bool) -> Iterator[HintedPart[ServicePart]]:  # noqa: ARG002  # part of a hook
        """Return the parts for item detail, at shards that answered."""
        return self._planner.second_step(query)

    def merge(self, query: ServiceQuery, *, complete: bool) -> Reply:
        """Return the reply by the key space's shape, or a search's rows."""
        spec = self._query_class(query)
        answered = [part for part in query.parts.values() if part.data is not None]
        age = self.freshness.age_of(query, answered) if self.freshness is not None else None
        try:
            return merge_reply(query, spec, complete=complete, age=age)
        except UnmergeablePartsError as error:
            self.log("error", "parts that can't be merged", query=query.id, why=error.reason)
            self.counters["unmergeable",] += 1
            return Reply(ReplyKind.FAILED, query.id, spec.name)

    def is_usable(
        self, query: ServiceQuery, part: ServicePart, node: str, key: AttemptKey, result: frames.Result
    ) -> bool:
        """Whether an answer is fresh enough and, of a search, has well-formed rows."""
        is_fresh = self.freshness is None or self.freshness.is_acceptable(
            query, part, node, key, result, self._sent_at_us[key]
        )
        return is_fresh and self.search_answers.merge_hits(query, part, node, key, result)

    def subject(self, query: ServiceQuery) -> int | None:
        """Return the number of the query's trader or term."""
        return query.plan.subject

    def retry_after_us(self, query: ServiceQuery, after_us: int) -> int:
        """Return after how long (us) the client may retry; ``after_us`` is the decision module's advice."""
        return self._admission.retry_after_us(query.plan, query.who, query.settings_version, after_us)

    def on_attempt_sent(self, node: str, key: AttemptKey) -> None:
        """Record an attempt as evidence on its link."""
        self._restrictions.on_attempt_sent(node, key)

    def on_attempt_ended(self, node: str, key: AttemptKey, outcome: policy.Outcome, took_us: int) -> None:
        """Record the outcome as evidence on its link and zone, and drop the attempt's quota."""
        self._restrictions.on_attempt_ended(node, key, outcome, took_us)
        if self.quota_gate is not None:
            self.quota_gate.forget_attempt(key)
        if self.zone_observer is not None:
            spec = self._query_class(self.parts[key[0]])
            self.zone_observer.on_attempt_ended(node, spec.name, outcome, took_us, spec.latency_objective_us)

    def on_part_answered(
        self, query: ServiceQuery, part: ServicePart, key: AttemptKey, result: frames.Result
    ) -> None:
        """Record the source position and the work of a part's answer."""
        part.position = result.position
        part.source_us = result.source_us
        if self._fair_admission is not None:
            self._fair_admission.on_part_answered(self._sent_at_us.get(key), result.work_us)
        self.search_answers.on_part_answered(query, result)

    def on_reply_made(self, query: ServiceQuery, reply: Reply, took_us: int) -> None:
        """Record a reply before it is given to the client."""
        self._recorder.record(query, reply, took_us)

    def on_query_closed(self, query: ServiceQuery) -> None:
        """Free the query's place in the queues of the servers."""
        if self._fair_admission is not None:
            self._fair_admission.on_query_closed(query)

    # Hooks of the driver for the quotas of the fleet, where settings enable them.

    def quota_update(self) -> policy.QuotaUpdate | None:
        """Return what the fleet's quotas leave this broker now."""
        return self.quota_gate.quota_update() if self.quota_gate is not None else None

    def acquire_quota(self, send: policy.Send, key: AttemptKey) -> bool:
        """Acquire a unit of quota for an attempt; false if none is left."""
        return self.quota_gate is None or self.quota_gate.acquire(send, key)

    def on_quota_exhausted(self) -> None:
        """Record unmet demand for quota."""
        if self.quota_gate is not None:
            self.quota_gate.record_exhausted()
