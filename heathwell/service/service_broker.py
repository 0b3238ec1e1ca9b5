"""The broker of the market: the driver on the inner wire, with the deciders that its settings turn on."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

from heathwell import policy
from heathwell.broker.driver import Driver
from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.query_state import Handle
from heathwell.broker.replies import ANSWERED, FAILED, MISS, REFUSED, OnReply, Reply
from heathwell.codec import frames
from heathwell.eventloop import Listener, Loop, Net
from heathwell.observability.event_log import EventLog
from heathwell.policy.records import Endpoint
from heathwell.service import key_spaces
from heathwell.service.admission import Costs, FairGate
from heathwell.service.answer_freshness import AnswerFreshness
from heathwell.service.discovery import DiscoveryClient
from heathwell.service.endpoint_connections import EndpointConnections
from heathwell.service.endpoint_restrictions import EndpointRestrictions
from heathwell.service.fair_admission import FairAdmission
from heathwell.service.host_link import HostLink
from heathwell.service.host_pool import HostPool
from heathwell.service.query_admission import Admission, AdmissionRejectedError, QueryAdmission
from heathwell.service.query_cost import part_work_us, query_cost_us
from heathwell.service.query_explanations import ExplainedQuery, QueryExplanations
from heathwell.service.quota_gate import Agent, QuotaGate
from heathwell.service.records import PartPlan, Plan, module_settings
from heathwell.service.regions import ClientDrain, Regions
from heathwell.service.reply_merging import UnmergeablePartsError, merge_reply
from heathwell.service.retry_storms import Storms
from heathwell.service.search_answers import SearchAnswers
from heathwell.service.service_records import ServicePart, ServiceQuery
from heathwell.service.service_statistics import ServiceStatistics
from heathwell.service.settings_change import ServiceSnapshot, check_settings_change
from heathwell.service.shard_reachability import ShardReachability
from heathwell.service.source_clock import SourceClockClient
from heathwell.service.storm_control import StormControl
from heathwell.settings import ServiceSettings

if TYPE_CHECKING:
    from heathwell.service.zone_observer import ZoneObserver


class ServiceBroker(Driver[ServiceQuery, ServicePart, frames.Result]):
    """One aggregator with its connections. ``name`` must be unique among the incarnations of all brokers.

    ``observe_zones`` makes its zone observer where zones may be evacuated. It is handed in because no other
    broker shall import what an observer needs.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        *,
        name: str,
        zone: int,
        seed: int,
        discovery: str,
        source: str = "",
        siblings: int = 1,
        events: EventLog | None = None,
        log: Callable[..., None] | None = None,
        roster: tuple[policy.EndpointEntry, ...] = (),
        agent: Agent | None = None,
        observe_zones: Callable[[ServiceBroker], ZoneObserver] | None = None,
        service: ServiceStatistics | None = None,
    ) -> None:
        super().__init__(
            loop, module_settings(service_settings, zone, siblings), seed, name=name, events=events, log=log
        )
        self.net = net
        self.service_statistics = service
        self.zone = zone
        self.aggregator_count = siblings
        self.current_version.extension = ServiceSnapshot.from_settings(service_settings)
        self.quota_gate = QuotaGate(self, agent) if agent is not None else None
        self.connections = EndpointConnections(self, self, net, self.quota_gate)
        self.zone_observer = observe_zones(self) if observe_zones is not None else None
        self.random = random.Random(seed ^ 0x5EED)
        fresh = service_settings.freshness
        self.freshness: AnswerFreshness | None = None
        self.source_clock_client: SourceClockClient | None = None
        if fresh.enabled:
            self.freshness = AnswerFreshness(self, self.live_replicas)
            self.source_clock_client = SourceClockClient(
                loop, net, source or fresh.source, name, fresh.sync, self.freshness.clock, self.log
            )
        self.explanations = QueryExplanations(self.freshness)
        self.restrictions = EndpointRestrictions(
            self, zone, min(spec.latency_objective_us for spec in self.settings.classes), seed
        )
        self.reachability = ShardReachability(self, self.restrictions, self.live_replicas)
        self.costs = Costs()
        self.search_answers = SearchAnswers(self, self.costs)
        self.fair_admission = self._make_fair_admission(seed)
        self.storm_control = self._make_storm_control(seed)
        self.admission = QueryAdmission(self, self.reachability, self.storm_control, self.random)
        leaving = (
            service_settings.fleet.zone_client_drain_duration_us if self.zone_observer is not None else 0
        )
        self.client_drain = ClientDrain(
            service_settings.across.client_drain_duration_us or leaving, seed ^ 0xD12A
        )
        self.begin_service(
            DiscoveryClient(
                loop,
                net,
                discovery,
                name,
                service_settings.discovery.timeout,
                push=not service_settings.discovery.ask,
                news=self.on_endpoint_update,
                log=self.log,
            ),
            roster,
        )

    def _make_fair_admission(self, seed: int) -> FairAdmission | None:
        if not self.service_settings.fronts.queue_target:
            return None
        return FairAdmission(self, self.service_settings, self.aggregator_count, seed)

    def _make_storm_control(self, seed: int) -> StormControl | None:
        if not self.service_settings.storms.enabled:
            return None
        return StormControl(self, self.service_settings, seed)

    # Versions of the settings

    @property
    def service_settings(self) -> ServiceSettings:
        """The settings for what comes now."""
        snapshot: ServiceSnapshot = self.current_version.extension
        return snapshot.service_settings

    @property
    def keys(self) -> key_spaces.KeySpaces:
        """The key spaces for what comes now."""
        snapshot: ServiceSnapshot = self.current_version.extension
        return snapshot.keys

    def snapshot_of(self, query: ServiceQuery) -> ServiceSnapshot:
        """The version that a query is decided under."""
        snapshot: ServiceSnapshot = query.settings_version.extension
        return snapshot

    def apply_settings(self, service_settings: ServiceSettings, version: str) -> None:
        """Apply other settings at once to all queries that come from now on; those that are here go on under
        theirs. Raises :class:`SettingsChangeError`, with nothing changed, where they need a restart.
        """
        check_settings_change(self.service_settings, service_settings)
        self.begin_version(
            module_settings(service_settings, self.zone, self.aggregator_count),
            self.random.getrandbits(48),
            version,
            ServiceSnapshot.from_settings(service_settings),
        )
        if self.service_statistics is not None:
            self.service_statistics.classes = {spec.name: spec for spec in self.settings.classes}
        self.events("settings", version=version)
        self.log("info", "settings", version=version, eras=len(self.versions))

    # The front's side

    def ask(self, key: str, on_reply: OnReply, request: str = "", client: str = "") -> Handle | None:
        """Take a query; its one reply comes by ``on_reply``, never before this returns.

        A key that asks for nothing is a miss, and what can't be held is refused at the door with advice;
        neither reaches the module. Returns None in those cases. ``client`` is the client's address.
        """
        plan = self.keys.plan(key)
        if plan is None:
            self.loop.call_soon(on_reply, Reply(MISS, reason="no such key space"))
            return None
        if plan.wrong:
            self.loop.call_soon(on_reply, Reply(FAILED, reason=plan.wrong))
            return None
        return self.begin(plan, on_reply, request, client)

    def begin(self, plan: Plan, on_reply: OnReply, request: str = "", client: str = "") -> Handle | None:
        """Take a query by its plan; as :meth:`ask`."""
        spec = self.settings.classes[plan.query_class]
        who = f"{client}|{plan.subject}"
        if self.service_statistics is not None:
            self.service_statistics.asked(self.loop.now(), who, plan.key, spec.name)
        try:
            admission = self.admission.admit(plan, who)
        except AdmissionRejectedError as rejection:
            self._reject_at_admission(plan, who, request, on_reply, rejection)
            return None
        query = self._make_query(plan, who, on_reply, admission)
        self._log_admission(query, request)
        handle = self.admit(query)
        if self.fair_admission is not None:
            self.fair_admission.offer(query)
        else:
            self.enter_query(query)
        return handle

    def _make_query(self, plan: Plan, who: str, on_reply: OnReply, admission: Admission) -> ServiceQuery:
        now = self.loop.now()
        self.last_job += 1
        limits = self.service_settings.limits
        time_left_us = max(admission.timeout_us - limits.transit, limits.tick)
        return ServiceQuery(
            f"{self.name}.{self.last_job}",
            self.last_job,
            plan.query_class,
            now,
            now + time_left_us,
            on_reply,
            plan=plan,
            cut_off=admission.cut_off_parts,
            who=who,
        )

    def _log_admission(self, query: ServiceQuery, request: str) -> None:
        plan = query.plan
        search_fields: dict[str, Any] = {}
        if plan.search is not None:
            search_fields = {"wanted": plan.search.top.wanted, "least": plan.search.top.thresholds}
        self.events(
            "take",
            q=query.id,
            ver=self.current_version.version,
            req=request,
            key=plan.key,
            klass=self.settings.classes[plan.query_class].name,
            parts=len(plan.parts),
            deadline=query.deadline_us - query.started_at_us,
            shards=[part.shard for part in plan.parts],
            **search_fields,
        )

    def _reject_at_admission(
        self, plan: Plan, who: str, request: str, on_reply: OnReply, rejection: AdmissionRejectedError
    ) -> None:
        """Reply to a query that never reaches the module."""
        class_name = self.settings.classes[plan.query_class].name
        reason = rejection.reason.value
        self.counters["door", class_name, reason] += 1
        self.events("door", req=request, key=plan.key, klass=class_name, why=reason)
        reply = Reply(REFUSED, query_class=class_name, retry_after_us=rejection.retry_after_us, reason=reason)
        if self.service_statistics is not None:
            self.service_statistics.ended(self.loop.now(), who, plan.key, reply)
        self.loop.call_soon(on_reply, reply)

    def mean_part_latency_us(self, query_class: int) -> float:
        """The mean latency of a class's parts."""
        return self.aggregator.mean_latency_us[query_class].value

    def reject_crowded_query(self, query: ServiceQuery, retry_after_us: int) -> None:
        """Reject a query that would wait too long for its turn."""
        retry_after_us = self.retry_after_us(query, retry_after_us)
        class_name = self._query_class(query).name
        self._reply(
            query, Reply(REFUSED, query.id, class_name, retry_after_us=retry_after_us, reason="crowded")
        )

    def enter_query(self, query: ServiceQuery) -> None:
        """Hand a query to the module."""
        parts = query.plan.parts
        work_us = part_work_us(query.plan, query.settings_version)
        self.enter(query, self._planned(query, parts, work_us), len(parts), work_us * len(parts))

    def _planned(
        self, query: ServiceQuery, plans: tuple[PartPlan, ...], work: int
    ) -> Iterator[tuple[ServicePart, int | None]]:
        """A step's parts with their hints, but for those that nobody within reach holds."""
        for plan in plans:
            part = ServicePart(f"{query.id}/{len(query.parts)}", plan, query.step)
            if query.step == 1 and plan in query.cut_off:
                part.status = "no live host holds it, or all lie behind a link that is down"
                self.hold_part(query, part)
                continue
            yield part, work

    def subject(self, query: ServiceQuery) -> int | None:
        """The trader or term."""
        return query.plan.subject

    def on_query_closed(self, query: ServiceQuery) -> None:
        """Free its place in the queues."""
        if self.fair_admission is not None:
            self.fair_admission.on_query_closed(query)

    @property
    def gate(self) -> FairGate | None:
        """The queues of the servers, where settings turn them on."""
        return self.fair_admission.gate if self.fair_admission is not None else None

    @property
    def storms(self) -> Storms | None:
        """The storm decider, where settings turn it on."""
        return self.storm_control.decider if self.storm_control is not None else None

    def pace(self, listener: Listener) -> None:
        """Limit the rate at which a listener accepts connections, while clients retry."""
        if self.storm_control is not None:
            self.storm_control.pace(listener)

    def close(self) -> None:
        """Let go of connections."""
        super().close()
        if self.source_clock_client is not None:
            self.source_clock_client.close()

    # Endpoints

    @property
    def regions(self) -> Regions | None:
        """The decider on links between regions, where settings turn it on."""
        return self.restrictions.regions

    def restrict_zones(self, query_class: int | None, nodes: frozenset[str]) -> None:
        """Deprioritize endpoints of evacuated zones, for one query class or (None) for all."""
        self.restrictions.restrict_zones(query_class, nodes)

    def restrict_endpoints(self, restrictions: policy.HolderRestrictions) -> None:
        """Hand restrictions to the module."""
        self._push(restrictions)

    def probe_endpoint(self, node: str) -> None:
        """Send a probe to an endpoint."""
        self._link(node).probe()

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All endpoints that the module knows, by node."""
        return self.aggregator.endpoints

    @property
    def class_names(self) -> list[str]:
        """The names of the query classes, in their order."""
        return [spec.name for spec in self.settings.classes]

    @property
    def slow_start_capacity(self) -> float:
        """The fraction of its capacity that an endpoint starts with."""
        return self.settings.slow_start_capacity

    def slow_start_fraction(self, node: str) -> float:
        """The fraction of its capacity that an endpoint has by now."""
        return self.aggregator.slow_start_fraction(self.aggregator.endpoints[node])

    def probe(self, node: str) -> None:
        """Send a probe to an endpoint of an evacuated zone."""
        self.counters["zone probe",] += 1
        self.probe_endpoint(node)

    @property
    def sends_away(self) -> bool:
        """Whether idle clients had better find another broker: this one is cut off, or the fleet leaves its
        zone.
        """
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

    def on_endpoint_update(self, news: policy.EndpointUpdate) -> None:
        """Take in what discovery sent."""
        self.restrictions.on_endpoint_update(news)
        super().on_endpoint_update(news)
        self.reachability.schedule_update()
        self.restrictions.restrict_remote_nodes()

    def is_usable(
        self, query: ServiceQuery, part: ServicePart, node: str, key: AttemptKey, result: frames.Result
    ) -> bool:
        """Fresh enough, and rows that a sound host gives."""
        is_fresh = self.freshness is None or self.freshness.is_acceptable(
            query, part, node, key, result, self._sent_at_us[key]
        )
        return is_fresh and self.search_answers.merge_rows(query, part, node, key, result)

    def on_part_answered(
        self, query: ServiceQuery, part: ServicePart, key: AttemptKey, result: frames.Result
    ) -> None:
        """Note what the answer's data is of."""
        part.position = result.position
        part.source_us = result.source_us
        if self.fair_admission is not None:
            self.fair_admission.on_part_answered(self._sent_at_us.get(key), result.work_us)
        self.search_answers.on_part_answered(query, result)

    def on_score_bound(self, node: str, key: AttemptKey, best: list[float]) -> None:
        """Take in how good an attempt's rows can be at best, as its endpoint says."""
        query = self.parts.get(key[0])
        if query is not None:
            self.search_answers.on_score_bound(query, node, key, best)

    def supersede_attempt(self, query: ServiceQuery, part_id: str, attempt: int) -> None:
        """Tell the module that an attempt can't change its query's answer any more."""
        self._push(policy.AttemptSuperseded(part_id, attempt), query.settings_version)

    def live_replicas(self, shard: int) -> list[str]:
        """The endpoints listed as live that hold a shard."""
        groups = self.aggregator.endpoints_by_group
        fleet = self.service_settings.fleet
        return [
            server.node
            for step in range(fleet.width)
            for server in groups.get((shard + step) % fleet.cells, [])
            if server.live
        ]

    def explain(self, query_id: str) -> dict[str, Any] | None:
        """What a recent query rested on; None where it is not kept."""
        return self.explanations.explain(query_id)

    def query_class_of(self, query: ServiceQuery) -> policy.QueryClass:
        """A query's class, by the settings that it is decided under."""
        return self._query_class(query)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """A connection's word on a probe."""
        self.restrictions.on_probe_result(node, outcome)
        if self.zone_observer is not None:
            self.zone_observer.on_probe_result(node, outcome)
        super().on_probe_result(node, outcome)

    def on_late_answer(self, node: str) -> None:
        """Counts for nothing but as a sign that the way to the host is open."""
        self.restrictions.on_late_answer(node)

    def on_endpoint_draining(self, node: str) -> None:
        """A host tells its drain on the connection, before discovery does."""
        known = self.aggregator.endpoints.get(node)
        if known is not None:
            self.on_endpoint_update(
                policy.EndpointUpdate(
                    policy.UpdateKind.INCREMENTAL,
                    (
                        policy.EndpointEntry(
                            node,
                            known.replica_group,
                            policy.EndpointState.DRAINING,
                            known.started_at_us,
                            known.rating,
                            known.zone,
                        ),
                    ),
                )
            )

    def on_attempt_sent(self, node: str, key: AttemptKey) -> None:
        """The region decider hears of it."""
        self.restrictions.on_attempt_sent(node, key)

    def on_attempt_ended(self, node: str, key: AttemptKey, outcome: policy.Outcome, took_us: int) -> None:
        """The region decider hears of it."""
        self.restrictions.on_attempt_ended(node, key, outcome, took_us)
        if self.quota_gate is not None:
            self.quota_gate.forget_attempt(key)
        if self.zone_observer is not None:
            query = self.parts[key[0]]
            spec = self._query_class(query)
            self.zone_observer.on_attempt_ended(node, spec.name, outcome, took_us, spec.latency_objective_us)

    # What the module decided

    def attempt_request(
        self, query: ServiceQuery, part: ServicePart, seq: int, remaining_us: int
    ) -> frames.PartRequest:
        """An attempt on the inner wire."""
        plan: PartPlan = part.plan
        return frames.PartRequest(
            part.id,
            seq,
            self._query_class(query).name,
            plan.op,
            plan.key,
            plan.shard,
            remaining_us,
            plan.item,
            query.plan.search.body if query.plan.search is not None else b"",
        )

    def retry_after_us(self, query: ServiceQuery, after_us: int) -> int:
        """After how long the client of a rejected query may retry; ``after_us`` is the module's advice."""
        return self.admission.retry_after_us(query.plan, query.who, query.settings_version, after_us)

    def second_step(self, query: ServiceQuery, *, complete: bool) -> Iterator[tuple[ServicePart, int | None]]:  # noqa: ARG002  # part of a hook
        """Item detail at shards that answered."""
        answered = [part.plan for part in query.parts.values() if part.data is not None]
        usual = self.snapshot_of(query).service_settings.classes[query.query_class]
        return self._planned(
            query,
            key_spaces.second_step(answered, self._query_class(query).second_step_parts),
            int(usual.work * usual.fetch_work),
        )

    def merge(self, query: ServiceQuery, *, complete: bool) -> Reply:
        """By the key space's shape, or a search's rows."""
        spec = self._query_class(query)
        answered = [part for part in query.parts.values() if part.data is not None]
        age = self.freshness.age_of(query, answered) if self.freshness is not None else None
        try:
            return merge_reply(query, spec, complete=complete, age=age)
        except UnmergeablePartsError as error:
            self.log("error", "parts that can't be merged", query=query.id, why=error.reason)
            self.counters["unmergeable",] += 1
            return Reply(FAILED, query.id, spec.name)

    def on_reply_made(self, query: ServiceQuery, reply: Reply, took_us: int) -> None:
        """The storm decider, the sums of service, the event log and the explanations hear of it."""
        if self.service_statistics is not None:
            self.service_statistics.ended(self.loop.now(), query.who, query.plan.key, reply)
        if self.storm_control is not None:
            self.storm_control.record_reply(
                query_cost_us(query.plan, query.settings_version),
                is_answer=reply.kind in (ANSWERED, MISS),
                within_objective=took_us <= self._query_class(query).latency_objective_us,
            )
        if self.events.on:  # the lists are a cost that only a log pays for
            self.events(
                "final",
                q=query.id,
                ver=query.settings_version.version,
                kind=reply.kind,
                whole=reply.complete,
                got=reply.coverage.answered_parts,
                asked=reply.coverage.requested_parts,
                weight=reply.coverage.weight,
                after=reply.retry_after_us,
                took=took_us,
                parts=[p.id for p in query.parts.values() if p.data is not None],
                moot=[
                    p.id
                    for p in query.parts.values()
                    if p.data is None
                    and query.plan.search is not None
                    and p.id in query.plan.search.superseded
                ],
                used={p.id: p.seq for p in query.parts.values() if p.data is not None},
                age=reply.age.bound_us if reply.age is not None else None,
                age_at=reply.age.at_us - self.loop.now() if reply.age is not None else None,
            )
        self.explanations.record(
            ExplainedQuery(query, self._query_class(query).name, reply, took_us, self.loop.now()),
            self.service_settings.freshness.explain,
        )

    def new_link(self, node: str) -> HostLink | HostPool:
        """A connection to an endpoint, or a pool of some."""
        return self.connections.connect(node)

    # Budgets of the whole fleet, where settings turn them on.

    def quota_update(self) -> policy.QuotaUpdate | None:
        """What they leave this broker now."""
        return self.quota_gate.quota_update() if self.quota_gate is not None else None

    def acquire_quota(self, send: policy.Send, key: AttemptKey) -> bool:
        """Whether they have a unit for this attempt, which is used."""
        return self.quota_gate is None or self.quota_gate.acquire(send, key)

    def parts_to_send(self, node: str, parts: list[frames.PartRequest]) -> list[frames.PartRequest]:
        """What waited for its connection may leave while the share that it was taken from has not run out."""
        if self.quota_gate is None:
            return parts
        over = [ask for ask in parts if not self.quota_gate.may_still_send((ask.id, ask.seq))]
        for ask in over:
            key = ask.id, ask.seq
            query = self.parts.get(ask.id)
            self._link(node).abandon(key)
            if query is not None and query.in_flight.pop(key, None) is not None:
                self._ended(query, key, node, policy.Outcome.NEVER_SENT, None)
        return [ask for ask in parts if ask not in over]

    def on_quota_exhausted(self) -> None:
        """It counts as demand."""
        if self.quota_gate is not None:
            self.quota_gate.record_exhausted()
