"""A broker's part in leaving zones: what it saw of each, and going by what the fleet has decided.

Hosts of a zone that is left are to be avoided (`Held`): they serve only where no other holder does, so the
last holder of a shard is never lost. A share that stays or comes back is that of the brokers: each has one
draw for a zone, so that those of one step are among those of the next.
"""

from __future__ import annotations

import hashlib
import random
from typing import TYPE_CHECKING

from heathwell import policy
from heathwell.fleet.evacuation import (
    PROBE_CLASS,
    AttemptResult,
    BrokerReport,
    Decision,
    Evidence,
    ZoneState,
)

if TYPE_CHECKING:
    from heathwell.broker.service_broker import ServiceBroker

LOOK_US = 500_000
PROBED = 0.3  # chance of a broker to probe one host of a zone that is left, each look
HOWS = {
    policy.Outcome.OK: AttemptResult.GOOD,
    policy.Outcome.CANCELLED: AttemptResult.LATE,
    policy.Outcome.TIMED_OUT: AttemptResult.BAD,
    policy.Outcome.REJECTED: AttemptResult.BAD,
    policy.Outcome.ERROR: AttemptResult.BAD,
    policy.Outcome.BROKEN: AttemptResult.BAD,
    policy.Outcome.UNREACHABLE: AttemptResult.BAD,
}


class ZoneObserver:
    """One broker's. ``zone`` is its own."""

    def __init__(self, broker: ServiceBroker, zone: str, names: list[str], seed: int) -> None:
        self.broker, self.names = broker, names
        self.zone = zone
        self.evidence = Evidence(broker.name.partition("r")[0], zone)
        self.random = random.Random(seed)
        self.decision = Decision(0, 0)
        self._held: dict[int, frozenset[str]] = {}
        broker.loop.call_at(broker.loop.now() + LOOK_US, self._look)

    def ended(self, node: str, query_class: str, outcome: policy.Outcome, took_us: int, aim_us: int) -> None:
        """An attempt at a host has ended."""
        how = HOWS.get(outcome)
        server = self.broker.aggregator.endpoints.get(node)
        if how is not None and server is not None:
            how = AttemptResult.LATE if how == AttemptResult.GOOD and took_us > aim_us else how
            self.evidence.record_attempt(
                self.broker.loop.now(),
                self.names[server.zone],
                query_class,
                how,
                took_us if outcome == policy.Outcome.OK else 0,
            )

    def probed(self, node: str, outcome: policy.Outcome) -> None:
        """A probe has ended."""
        server = self.broker.aggregator.endpoints.get(node)
        if server is not None:
            self.evidence.record_attempt(
                self.broker.loop.now(),
                self.names[server.zone],
                PROBE_CLASS,
                AttemptResult.GOOD if outcome == policy.Outcome.OK else AttemptResult.BAD,
            )

    def summary(self, now: int) -> BrokerReport:
        """What it says to keepers."""
        return self.evidence.report(now)

    def decided(self, decision: Decision) -> None:
        """Go by a decision from now on."""
        self.decision = decision
        self.broker.events(
            "zones",
            term=decision.term,
            number=decision.number,
            states={name: [word.state, word.traffic_share] for name, word in decision.zones.items()},
        )
        self.broker.log(
            "warning",
            "zones",
            decision=f"({decision.term}, {decision.number})",
            states={
                name: f"{word.state} at {word.traffic_share:.0%}" for name, word in decision.zones.items()
            },
        )
        self.apply()

    def apply(self) -> None:
        """Tell the module whose hosts are to be avoided, by class where only one leaves."""
        held: dict[int, set[str]] = {-1: set()}
        for name, word in self.decision.zones.items():
            if name == self.zone and not word.query_classes:
                continue  # its own clients are served by what is here
            query_classes = (
                [-1]
                if not word.query_classes
                else [
                    n
                    for n, spec in enumerate(self.broker.settings.classes)
                    if spec.name in word.query_classes
                ]
            )
            if self._draw(name) < word.traffic_share:
                continue
            for query_class in query_classes:
                held.setdefault(query_class, set()).update(self._hosts(name))
        wanted = {query_class: frozenset(nodes) for query_class, nodes in held.items()}
        for query_class in wanted.keys() | self._held.keys():
            if wanted.get(query_class, frozenset()) != self._held.get(query_class, frozenset()):
                self.broker.hold_zones(query_class, wanted.get(query_class, frozenset()))
        self._held = wanted

    def _hosts(self, name: str) -> list[str]:
        """The live hosts of a zone; none of one that is not known here."""
        number = self.names.index(name) if name in self.names else None
        return [
            node
            for node, server in self.broker.aggregator.endpoints.items()
            if server.live and server.zone == number
        ]

    def _draw(self, name: str) -> float:
        """This broker's own, for a zone: the same in each step."""
        whole = hashlib.blake2b(f"{self.evidence.broker}|{name}".encode(), digest_size=8).digest()
        return int.from_bytes(whole, "big") / 2**64

    def left(self) -> bool:
        """Whether the fleet leaves the zone that this broker stands in."""
        word = self.decision.zones.get(self.zone)
        return (
            word is not None
            and word.state in (ZoneState.EVACUATING, ZoneState.EVACUATED)
            and not word.query_classes
        )

    def _look(self) -> None:
        broker = self.broker
        if broker.dead:
            return
        broker.loop.call_at(broker.loop.now() + LOOK_US, self._look)
        self.apply()  # hosts come and go
        for name, word in self.decision.zones.items():
            if word.state in (ZoneState.EVACUATING, ZoneState.EVACUATED) and self.random.random() < PROBED:
                here = self._hosts(name)
                if here:
                    broker.probe(self.random.choice(here))
