"""A broker's part in zone evacuation: evidence collected on each zone, and the fleet's decision applied.

Endpoints of an evacuated zone are deprioritized (:class:`~heathwell.policy.HolderRestrictions`): they serve
only where no other replica does, so the last replica of a shard is never lost. The fraction of a zone's work
that stays or is restored is a fraction of the brokers: each has one draw for a zone, so that those that serve
it at one step of the recovery ramp also serve it at the next.
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
PROBE_PROBABILITY = 0.3  # of a broker to probe one endpoint of an evacuated zone, each tick
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
    """What exchanges evidence and decisions (:class:`heathwell.fleet.control.fleet_agent.FleetAgent`)."""

    def attach_zone_observer(self, zones: ZoneObserver) -> None:
        """Report the observer's summaries, and hand it each new decision."""


class ZoneObserver:
    """The observer of one broker. ``zone`` is the broker's own, ``zone_names`` are all by number."""

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
        """Record an attempt; one that was answered after its objective counts as late."""
        endpoint = self._broker.endpoints.get(node)
        evidence = EVIDENCE_OF_OUTCOME.get(outcome)
        if evidence is None or endpoint is None:
            return
        if evidence == AttemptResult.GOOD and duration_us > latency_objective_us:
            evidence = AttemptResult.LATE
        answered_in_us = duration_us if outcome == policy.Outcome.OK else 0
        self._record(endpoint, query_class, evidence, answered_in_us)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Record a probe."""
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
        """Apply a decision from now on."""
        self.decision = decision
        self._broker.events(
            "zones",
            term=decision.term,
            number=decision.number,
            states={name: [word.state, word.traffic_share] for name, word in decision.zones.items()},
        )
        self._broker.log(
            "warning",
            "zones",
            decision=f"({decision.term}, {decision.number})",
            states={
                name: f"{word.state} at {word.traffic_share:.0%}" for name, word in decision.zones.items()
            },
        )
        self._apply_decision()

    def is_evacuated(self) -> bool:
        """Whether the fleet evacuates, or has evacuated, all work from the broker's own zone."""
        zone_decision = self.decision.zones.get(self.zone)
        return zone_decision is not None and _is_evacuated(zone_decision) and not zone_decision.query_classes

    def _apply_decision(self) -> None:
        """Send the broker the restrictions that have changed."""
        restrictions = self._restrictions()
        for query_class in sorted(restrictions.keys() | self._restricted.keys(), key=_all_classes_last):
            nodes = restrictions.get(query_class, NO_NODES)
            if nodes != self._restricted.get(query_class, NO_NODES):
                self._broker.restrict_zones(query_class, nodes)
        self._restricted = restrictions

    def _restrictions(self) -> dict[int | None, frozenset[str]]:
        """The endpoints to deprioritize, by query class and (None) for all."""
        restrictions: dict[int | None, frozenset[str]] = {None: NO_NODES}
        for name, zone_decision in self.decision.zones.items():
            if name == self.zone and not zone_decision.query_classes:
                continue  # the clients in its own zone are served by the endpoints there
            if self._draw(name) < zone_decision.traffic_share:
                continue
            nodes = frozenset(self._live_nodes(name))
            for query_class in self._evacuated_classes(zone_decision):
                restrictions[query_class] = restrictions.get(query_class, NO_NODES) | nodes
        return restrictions

    def _evacuated_classes(self, zone_decision: ZoneDirective) -> Iterable[int | None]:
        """The query classes that a decision on a zone concerns; None for all."""
        if not zone_decision.query_classes:
            return [None]
        names = self._broker.class_names
        return [index for index, name in enumerate(names) if name in zone_decision.query_classes]

    def _live_nodes(self, zone_name: str) -> list[str]:
        """The live endpoints of a zone; none of a zone that is not known here."""
        if zone_name not in self._zone_names:
            return []
        number = self._zone_names.index(zone_name)
        return [
            node
            for node, endpoint in self._broker.endpoints.items()
            if endpoint.live and endpoint.zone == number
        ]

    def _draw(self, zone_name: str) -> float:
        """This broker's draw for a zone, from 0 to 1: the same at each step."""
        text = f"{self._evidence.broker}|{zone_name}".encode()
        digest = hashlib.blake2b(text, digest_size=DRAW_BYTES).digest()
        return int.from_bytes(digest, "big") / (1 << 8 * DRAW_BYTES)

    # Periodic work.

    def _tick(self) -> None:
        """Restrict endpoints that are new on the list, and probe some of the evacuated zones."""
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
    """The observer of a broker in a zone (by number), made known to the broker's agent."""
    observer = ZoneObserver(broker, zone_names[zone], zone_names, seed ^ ZONE_SEED_MASK)
    agent.attach_zone_observer(observer)
    return observer


def _is_evacuated(zone_decision: ZoneDirective) -> bool:
    return zone_decision.state in (ZoneState.EVACUATING, ZoneState.EVACUATED)


def _all_classes_last(query_class: int | None) -> tuple[bool, int]:
    return query_class is None, query_class or 0
