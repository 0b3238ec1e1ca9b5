"""Builds the components of a service broker from its settings and options."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from heathwell import policy
from heathwell.eventloop import Net
from heathwell.policy.records import Endpoint
from heathwell.service.admission import CostModels
from heathwell.service.answer_freshness import AnswerFreshness
from heathwell.service.broker_options import BrokerOptions
from heathwell.service.discovery import DiscoveryClient
from heathwell.service.endpoint_connections import EndpointConnections
from heathwell.service.endpoint_restrictions import EndpointRestrictions, RestrictionsBroker
from heathwell.service.fair_admission import FairAdmission, FairAdmissionBroker
from heathwell.service.host_link import AttemptObserver
from heathwell.service.part_planner import PartPlanner, PlanningBroker
from heathwell.service.query_admission import AdmissionBroker, QueryAdmission
from heathwell.service.query_explanations import QueryExplanations
from heathwell.service.query_intake import IntakeBroker, QueryIntake
from heathwell.service.quota_gate import QuotaBroker, QuotaGate
from heathwell.service.regions import ClientDrain
from heathwell.service.reply_recorder import ReplyRecorder
from heathwell.service.search_answers import SearchAnswers, SearchBroker
from heathwell.service.shard_reachability import ShardReachability
from heathwell.service.source_clock import SourceClockClient
from heathwell.service.storm_protection import StormBroker, StormProtection

if TYPE_CHECKING:
    from heathwell.service.zone_observer import ZoneObserver

CLIENT_DRAIN_SEED_MASK = 0xD12A


class ComponentsBroker(
    AdmissionBroker,
    AttemptObserver,
    FairAdmissionBroker,
    IntakeBroker,
    PlanningBroker,
    QuotaBroker,
    RestrictionsBroker,
    SearchBroker,
    StormBroker,
    Protocol,
):
    """What all components together use of their broker."""

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All listed endpoints, by node."""

    @property
    def class_names(self) -> list[str]:
        """The names of the query classes, in their order."""

    def live_replicas(self, shard: int) -> list[str]:
        """Return the live endpoints that hold a shard."""

    def restrict_zones(self, query_class: int | None, nodes: frozenset[str]) -> None:
        """Deprioritize endpoints for one query class, or with None for all classes."""

    def probe(self, node: str) -> None:
        """Send a probe to an endpoint of an evacuated zone."""

    def on_endpoint_update(self, update: policy.EndpointUpdate) -> None:
        """Handle an update to the endpoint list."""


@dataclass(frozen=True, slots=True)
class BrokerComponents:
    """The components of one broker; those that the settings disable are ``None``."""

    quota_gate: QuotaGate | None
    connections: EndpointConnections
    zone_observer: ZoneObserver | None
    freshness: AnswerFreshness | None
    source_clock_client: SourceClockClient | None
    explanations: QueryExplanations
    restrictions: EndpointRestrictions
    reachability: ShardReachability
    costs: CostModels
    search_answers: SearchAnswers
    fair_admission: FairAdmission | None
    storm_protection: StormProtection | None
    admission: QueryAdmission
    client_drain: ClientDrain
    intake: QueryIntake
    planner: PartPlanner
    recorder: ReplyRecorder


def build_components(
    broker: ComponentsBroker, net: Net, options: BrokerOptions, rng: random.Random
) -> BrokerComponents:
    """Build the components in a fixed order, as several of them schedule their first tick here."""
    seed = options.seed
    quota_gate = QuotaGate(broker, options.agent) if options.agent is not None else None
    connections = EndpointConnections(broker, broker, net, quota_gate)
    zone_observer = options.make_zone_observer(broker) if options.make_zone_observer is not None else None
    freshness = _build_freshness(broker)
    source_clock_client = _build_source_clock_client(broker, net, options, freshness)
    explanations = QueryExplanations(freshness)
    restrictions = _build_restrictions(broker, options)
    reachability = ShardReachability(broker, restrictions, broker.live_replicas)
    costs = CostModels()
    fair_admission = _build_fair_admission(broker, options)
    storm_protection = _build_storm_protection(broker, seed)
    admission = QueryAdmission(broker, reachability, storm_protection, rng)
    return BrokerComponents(
        quota_gate=quota_gate,
        connections=connections,
        zone_observer=zone_observer,
        freshness=freshness,
        source_clock_client=source_clock_client,
        explanations=explanations,
        restrictions=restrictions,
        reachability=reachability,
        costs=costs,
        search_answers=SearchAnswers(broker, costs),
        fair_admission=fair_admission,
        storm_protection=storm_protection,
        admission=admission,
        client_drain=_build_client_drain(broker, seed, observes_zones=zone_observer is not None),
        intake=QueryIntake(broker, admission, fair_admission, options.statistics),
        planner=PartPlanner(broker),
        recorder=ReplyRecorder(broker, explanations, options.statistics, storm_protection),
    )


def build_discovery_client(broker: ComponentsBroker, net: Net, options: BrokerOptions) -> DiscoveryClient:
    """Build the discovery client, which reports each endpoint update to the broker."""
    discovery = broker.service_settings.discovery
    return DiscoveryClient(
        broker.loop,
        net,
        options.discovery_address,
        options.name,
        discovery.timeout,
        is_pushed=not discovery.ask,
        on_update=broker.on_endpoint_update,
        log=broker.log,
    )


def _build_freshness(broker: ComponentsBroker) -> AnswerFreshness | None:
    if not broker.service_settings.freshness.enabled:
        return None
    return AnswerFreshness(broker, broker.live_replicas)


def _build_source_clock_client(
    broker: ComponentsBroker, net: Net, options: BrokerOptions, freshness: AnswerFreshness | None
) -> SourceClockClient | None:
    if freshness is None:
        return None
    settings = broker.service_settings.freshness
    address = options.source_address or settings.source
    return SourceClockClient(
        broker.loop, net, address, options.name, settings.sync, freshness.clock, broker.log
    )


def _build_restrictions(broker: ComponentsBroker, options: BrokerOptions) -> EndpointRestrictions:
    shortest_objective_us = min(spec.latency_objective_us for spec in broker.settings.classes)
    return EndpointRestrictions(broker, options.zone, shortest_objective_us, options.seed)


def _build_fair_admission(broker: ComponentsBroker, options: BrokerOptions) -> FairAdmission | None:
    if not broker.service_settings.fronts.queue_target_us:
        return None
    return FairAdmission(broker, broker.service_settings, options.aggregator_count, options.seed)


def _build_storm_protection(broker: ComponentsBroker, seed: int) -> StormProtection | None:
    if not broker.service_settings.storms.enabled:
        return None
    return StormProtection(broker, broker.service_settings, seed)


def _build_client_drain(broker: ComponentsBroker, seed: int, *, observes_zones: bool) -> ClientDrain:
    service_settings = broker.service_settings
    of_evacuation = service_settings.fleet.zone_client_drain_duration_us if observes_zones else 0
    return ClientDrain(
        service_settings.across.client_drain_duration_us or of_evacuation, seed ^ CLIENT_DRAIN_SEED_MASK
    )
