"""A broker's part in leaving zones: what it saw of each, and going by what the fleet has decided.

Hosts of a zone that is left are to be avoided (`Held`): they serve only where no other holder does, so the last holder
of a shard is never lost. A share that stays or comes back is that of the brokers: each has one draw for a zone, so that
those of one step are among those of the next.
"""

from __future__ import annotations

import hashlib
import random
from typing import TYPE_CHECKING

from heathwell import interface as hw
from heathwell.evacuation import LEAVING, LEFT, PROBE, Decision, Evidence, Summary
from heathwell.evacuation.evidence import BAD, GOOD, LATE

if TYPE_CHECKING:
    from heathwell.broker.market import Broker

LOOK_US = 500_000
PROBED = 0.3  # chance of a broker to probe one host of a zone that is left, each look
HOWS = {hw.OK: GOOD, hw.CANCELLED: LATE, hw.TIMED_OUT: BAD, hw.FULL_UP: BAD, hw.ERROR: BAD, hw.BROKEN: BAD,
        hw.UNREACHABLE: BAD}


class ZoneSight:
    """One broker's. ``zone`` is its own."""

    def __init__(self, broker: Broker, zone: str, names: list[str], seed: int) -> None:
        self.broker, self.names = broker, names
        self.zone = zone
        self.evidence = Evidence(broker.name.partition("r")[0], zone)
        self.random = random.Random(seed)
        self.decision = Decision(0, 0)
        self._held: dict[int, frozenset[str]] = {}
        broker.loop.call_at(broker.loop.now() + LOOK_US, self._look)

    def ended(self, node: str, klass: str, outcome: str, took_us: int, aim_us: int) -> None:
        """An attempt at a host has ended."""
        how = HOWS.get(outcome)
        server = self.broker.module.servers.get(node)
        if how is not None and server is not None:
            how = LATE if how == GOOD and took_us > aim_us else how
            self.evidence.ended(self.broker.loop.now(), self.names[server.zone], klass, how,
                                took_us if outcome == hw.OK else 0)

    def probed(self, node: str, outcome: str) -> None:
        """A probe has ended."""
        server = self.broker.module.servers.get(node)
        if server is not None:
            self.evidence.ended(self.broker.loop.now(), self.names[server.zone], PROBE,
                                GOOD if outcome == hw.OK else BAD)

    def summary(self, now: int) -> Summary:
        """What it says to keepers."""
        return self.evidence.summary(now)

    def decided(self, decision: Decision) -> None:
        """Go by a decision from now on."""
        self.decision = decision
        self.broker.events("zones", term=decision.term, number=decision.number, states={
            name: [word.state, word.share] for name, word in decision.zones.items()})
        self.broker.log("warning", "zones", decision=f"({decision.term}, {decision.number})", states={
            name: f"{word.state} at {word.share:.0%}" for name, word in decision.zones.items()})
        self.apply()

    def apply(self) -> None:
        """Tell the module whose hosts are to be avoided, by class where only one leaves."""
        held: dict[int, set[str]] = {-1: set()}
        for name, word in self.decision.zones.items():
            if name == self.zone and not word.only:
                continue  # its own clients are served by what is here
            klasses = [-1] if not word.only else [n for n, spec in enumerate(self.broker.settings.classes)
                                                  if spec.name in word.only]
            if self._draw(name) < word.share:
                continue
            for klass in klasses:
                held.setdefault(klass, set()).update(self._hosts(name))
        wanted = {klass: frozenset(nodes) for klass, nodes in held.items()}
        for klass in sorted(wanted.keys() | self._held.keys()):
            if wanted.get(klass, frozenset()) != self._held.get(klass, frozenset()):
                self.broker.hold_zones(klass, wanted.get(klass, frozenset()))
        self._held = wanted

    def _hosts(self, name: str) -> list[str]:
        """The live hosts of a zone; none of one that is not known here."""
        number = self.names.index(name) if name in self.names else None
        return [node for node, server in self.broker.module.servers.items() if server.live and server.zone == number]

    def _draw(self, name: str) -> float:
        """This broker's own, for a zone: the same in each step."""
        whole = hashlib.blake2b(f"{self.evidence.broker}|{name}".encode(), digest_size=8).digest()
        return int.from_bytes(whole, "big") / 2 ** 64

    def left(self) -> bool:
        """Whether the fleet leaves the zone that this broker stands in."""
        word = self.decision.zones.get(self.zone)
        return word is not None and word.state in (LEAVING, LEFT) and not word.only

    def _look(self) -> None:
        broker = self.broker
        if broker.dead:
            return
        broker.loop.call_at(broker.loop.now() + LOOK_US, self._look)
        self.apply()  # hosts come and go
        for name, word in self.decision.zones.items():
            if word.state in (LEAVING, LEFT) and self.random.random() < PROBED:
                here = self._hosts(name)
                if here:
                    broker.probe(self.random.choice(here))
