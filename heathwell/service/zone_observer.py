"""Zone evacuation in a broker: collects evidence on each zone and applies the fleet's decision.

Endpoints of an evacuated zone are deprioritized (:class:`~heathwell.policy.RestrictionUpdate`): they are
used only if no other replica can serve a part, so the last replica of a shard is never lost. The fraction of
a zone's traffic that stays or is restored is implemented as a fraction of the brokers. Each broker has a
fixed hash value for a zone, so that the brokers that use the zone at one step of the recovery ramp also use
it at the next.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import DriverContext
from heathwell.fleet.evacuation import (
    PROBE_CLASS,
    AttemptResult,
    BrokerReport,
    Decision,
    ZoneDirective,
    ZoneObservations,
    ZoneState,
)

TICK_INTERVAL_US = 500_000
PROBE_PROBABILITY = 0.3  # The probability that a broker probes one endpoint of an evacuated zone in a tick.
ZONE_SEED_MASK = 0x20E5
DRAW_BYTES = 8
NO_NODES = frozenset[str]()
EVIDENCE_OF_OUTCOME = {
    policy.Outcome.OK: AttemptResult.GOOD,
    policy.Outcome.CANCELLED: AttemptResult.LATE,
    policy.Outcome.TIMED_OUT: AttemptResult.BAD,
    policy.Outcome.REJECTED: AttemptResult.BAD,
    policy.Outcome.ERROR: AttemptResult.BAD,
    policy.Outcome.BROKEN: AttemptResult.BAD,
    policy.Outcome.UNREACHABLE: AttemptResult.BAD,
}


class ZoneEndpoint(Protocol):
    """What the observer reads of an endpoint."""

    @property
    def live(self) -> bool:
        """Whether it is listed as live."""

    @property
    def zone(self) -> int:
        """The number of its zone."""


class ZoneBroker(DriverContext, Protocol):
    """What the observer uses of its broker."""

    @property
    def endpoints(self) -> Mapping[str, ZoneEndpoint]:
        """All listed endpoints, by node."""

    @property
    def class_names(self) -> Sequence[str]:
        """The names of the query classes, in their order."""

    def restrict_zones(self, query_class: int | None, nodes: frozenset[str]) -> None:
        """Deprioritize endpoints for one query class, or (None) for all."""

    def probe(self, node: str) -> None:
        """Send a probe to an endpoint."""


class ZoneAgent(Protocol):
    """Exchanges evidence and decisions (:class:`heathwell.fleet.control.fleet_agent.FleetAgent`)."""

    def attach_zone_observer(self, zones: ZoneObserver) -> None:
        """Report the observer's evidence, and pass each new decision to it."""


class ZoneObserver:
    """The observer of one broker. ``zone`` is the broker's zone, ``zone_names`` are all zones by number."""

    def __init__(self, broker: ZoneBroker, zone: str, zone_names: Sequence[str], seed: int) -> None:
        self.zone = zone
        self.decision = Decision(0, 0)
        self._broker = broker
        self._zone_names = zone_names
        self._evidence = ZoneObservations(broker.name.partition("r")[0], zone)
        self._random = random.Random(seed)
        self._restricted: dict[int | None, frozenset[str]] = {}
        broker.loop.call_at(broker.loop.now() + TICK_INTERVAL_US, self._tick)

    # Evidence.

    def on_attempt_ended(
        self,
        node: str,
        query_class: str,
        outcome: policy.Outcome,
        duration_us: int,
        latency_objective_us: int,
    ) -> None:
        """Record the end of an attempt; an answer after the latency objective counts as late."""
        endpoint = self._broker.endpoints.get(node)
        evidence = EVIDENCE_OF_OUTCOME.get(outcome)
        if evidence is None or endpoint is None:
            return
        if evidence == AttemptResult.GOOD and duration_us > latency_objective_us:
            evidence = AttemptResult.LATE
        answered_in_us = duration_us if outcome == policy.Outcome.OK else 0
        self._record(endpoint, query_class, evidence, answered_in_us)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Record the outcome of a probe."""
        endpoint = self._broker.endpoints.get(node)
        if endpoint is not None:
            self._record(
                endpoint,
                PROBE_CLASS,
                AttemptResult.GOOD if outcome == policy.Outcome.OK else AttemptResult.BAD,
            )

    def _record(
        self, endpoint: ZoneEndpoint, subject: str, evidence: AttemptResult, answered_in_us: int = 0
    ) -> None:
        zone = self._zone_names[endpoint.zone]
        self._evidence.record_attempt(self._broker.loop.now(), zone, subject, evidence, answered_in_us)

    def report(self, now: int) -> BrokerReport:
        """Return this broker's evidence for the quota coordinators."""
        return self._evidence.report(now)

    # Decisions.

    def on_decision(self, decision: Decision) -> None:
        """Apply a new decision."""
        self.decision = decision
        self._broker.events(
            "zones",
            term=decision.term,
            number=decision.number,
            states={
                name: [directive.state, directive.traffic_share] for name, directive in decision.zones.items()
            },
        )
        self._broker.log(
            "warning",
            "zone decision applied",
            decision=f"({decision.term}, {decision.number})",
            states={
                name: f"{directive.state} at {directive.traffic_share:.0%}"
                for name, directive in decision.zones.items()
            },
        )
        self._apply_decision()

    def is_evacuated(self) -> bool:
        """Return whether all traffic of the broker's own zone is being evacuated or has been."""
        zone_decision = self.decision.zones.get(self.zone)
        return zone_decision is not None and _is_evacuated(zone_decision) and not zone_decision.query_classes

    def _apply_decision(self) -> None:
        """Pass the restrictions that have changed to the broker."""
        restrictions = self._restrictions()
        for query_class in sorted(restrictions.keys() | self._restricted.keys(), key=_all_classes_last):
            nodes = restrictions.get(query_class, NO_NODES)
            if nodes != self._restricted.get(query_class, NO_NODES):
                self._broker.restrict_zones(query_class, nodes)
        self._restricted = restrictions

    def _restrictions(self) -> dict[int | None, frozenset[str]]:
        """Return the endpoints to deprioritize by query class; the key None is for all classes."""
        restrictions: dict[int | None, frozenset[str]] = {None: NO_NODES}
        for name, zone_decision in self.decision.zones.items():
            if name == self.zone and not zone_decision.query_classes:
                continue  # Clients in the broker's own zone are served by its endpoints.
            if self._hash_fraction(name) < zone_decision.traffic_share:
                continue
            nodes = frozenset(self._live_nodes(name))
            for query_class in self._evacuated_classes(zone_decision):
                restrictions[query_class] = restrictions.get(query_class, NO_NODES) | nodes
        return restrictions

    def _evacuated_classes(self, zone_decision: ZoneDirective) -> Iterable[int | None]:
        """Return the query classes that a decision on a zone applies to; None stands for all."""
        if not zone_decision.query_classes:
            return [None]
        names = self._broker.class_names
        return [index for index, name in enumerate(names) if name in zone_decision.query_classes]

    def _live_nodes(self, zone_name: str) -> list[str]:
        """Return the live endpoints of a zone; none if the zone is unknown."""
        if zone_name not in self._zone_names:
            return []
        number = self._zone_names.index(zone_name)
        return [
            node
            for node, endpoint in self._broker.endpoints.items()
            if endpoint.live and endpoint.zone == number
        ]

    def _hash_fraction(self, zone_name: str) -> float:
        """Return this broker's hash value for a zone, from 0 to 1; it never changes."""
        text = f"{self._evidence.broker}|{zone_name}".encode()
        digest = hashlib.blake2b(text, digest_size=DRAW_BYTES).digest()
        return int.from_bytes(digest, "big") / (1 << 8 * DRAW_BYTES)

    # Periodic work.

    def _tick(self) -> None:
        """Apply the decision to newly listed endpoints, and probe some of the evacuated zones."""
        if self._broker.dead:
            return
        self._broker.loop.call_at(self._broker.loop.now() + TICK_INTERVAL_US, self._tick)
        self._apply_decision()
        for name, zone_decision in self.decision.zones.items():
            if not _is_evacuated(zone_decision) or self._random.random() >= PROBE_PROBABILITY:
                continue
            nodes = self._live_nodes(name)
            if nodes:
                self._broker.probe(self._random.choice(nodes))


def observe_zones(
    broker: ZoneBroker, agent: ZoneAgent, zone: int, zone_names: Sequence[str], seed: int
) -> ZoneObserver:
    """Return an observer for a broker in the zone of a number, attached to the broker's agent."""
    observer = ZoneObserver(broker, zone_names[zone], zone_names, seed ^ ZONE_SEED_MASK)
    agent.attach_zone_observer(observer)
    return observer


def _is_evacuated(zone_decision: ZoneDirective) -> bool:
    return zone_decision.state in (ZoneState.EVACUATING, ZoneState.EVACUATED)


def _all_classes_last(query_class: int | None) -> tuple[bool, int]:
    return query_class is None, query_class or 0
