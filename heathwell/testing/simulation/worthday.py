"""What budgets of the whole fleet are worth: days on which all brokers together do harm, under three ways of
bounds.

``lone``: each broker by its own guess, as without keepers. ``split``: an equal fixed part of each whole for
each one. ``lent``: keepers lend by demand, but for a fifth of `further` that is set aside. ``half``: keepers
lend one half, the other is set aside. Virtual time, the real broker code, the stand-in hosts.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from heathwell.codec import frames
from heathwell.eventloop import Coro, sleep
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.audit import judge_budgets
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.simulated import SimulatedDay
from heathwell.testing.standins.leaf import Leaf

VARIANTS = ("lone", "split", "lent", "half")
LENT = ("lent", "half")  # those with keepers
DAYS = ("slow hosts", "cold return", "release")
SETTLE, BEFORE, TROUBLE, AFTER = 8.0, 8.0, 15.0, 12.0  # seconds; keepers lend nothing in the first six
KINDS = ("on time", "late", "partial", "refused", "failed", "no reply")
SPANS = ("before", "during", "after")
MARKET = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (work 40ms))
(class day-report (aim 1200ms) (limit 3s) (late-worth 10%) (fetch 5) (fetch-work 50%) (work 30ms))
(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms))
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(keys report (class day-report) (shape report) (report-parts 4))
(rules (drain-grace 1s) (fall-multiple 2.5) (fall-after 1s) (start-capacity 18%) (warm-within 17s))
(limits (attempts 4) (open-cap 800) (by-work yes))
(discovery (notice 300ms) (silent-notice 2s))
"""
ZONES = "a-1 a-2 a-3 b-1 b-2 b-3 c-1 c-2 c-3"  # three regions
FAR_US, NEAR_US = 3_000, 300


def service_settings_of(
    variant: str, brokers: int, hosts: int, further: float, cold: float
) -> ServiceSettings:
    """The settings of a variant; wholes in units a second."""
    fleet = (
        f"(shards {2 * hosts}) (cells {hosts}) (width 3) (zones {ZONES}) (leaves {hosts}) (brokers {brokers})"
    )
    if variant != "lone":
        own = {"split": 1.0, "lent": 0.0, "half": 0.5}[variant]  # of `cold`, set aside
        aside, burst = (
            ("100%", "4s") if variant == "split" else ("50%", "4s") if variant == "half" else ("20%", "8s")
        )
        fleet += (
            f' (keepers "k0:7100" "k1:7101" "k2:7102") (most {brokers})'
            f" (budget further (whole {further:g}) (aside {aside}) (burst {burst}))"
            + f" (budget cold (whole {cold:g}) (aside {own:.0%})"
            f" (burst {brokers / cold / (own or 1) + 0.1:.1f}s))"
        )
    return loads(MARKET + f"(fleet {fleet})")


class WorthDay(SimulatedDay):
    """One day under one variant; ``ends`` counts how queries ended by class and span."""

    def __init__(
        self,
        variant: str,
        day: str,
        seed: int = 1,
        *,
        brokers: int = 89,
        hosts: int = 82,
        rate: float = 130.0,
        further: float = 120.0,
        cold: float = 20.0,
    ) -> None:
        self.variant, self.day = variant, day
        self.ends: dict[tuple[str, int], Counter[str]] = {}
        super().__init__(
            service_settings_of(variant, brokers, hosts, further, cold),
            seed,
            seconds=BEFORE + TROUBLE + AFTER,
            rate=rate,
            trouble_rate=0.0,
            poison=0.0,
            keep=variant in LENT,
        )
        self.net.delay = self._way

    @staticmethod
    def _region(name: str) -> int:
        digits = "".join(c for c in name.partition(":")[0] if c.isdigit())
        return int(digits or 0) % 9 // 3 if name[:1] in "bl" else -1

    def _way(self, a: str, b: str) -> int:
        ones, others = self._region(a), self._region(b)
        return FAR_US if ones >= 0 and others >= 0 and ones != others else NEAR_US

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, int(SETTLE * 1e6))
        self.loop.spawn(self._harm(), self.day)
        yield from super()._main()

    def _harm(self) -> Coro[None]:
        yield from sleep(self.loop, 1_500_000 + int(BEFORE * 1e6))
        leaves, span = self.fleet.leaves, int(TROUBLE * 1e6)
        if self.day == "slow hosts":
            for leaf in leaves[::6]:
                leaf.order(frames.FaultCommand("slow", 10.0, span))
        elif self.day == "cold return":
            lost = [leaf for leaf in leaves if self._region(leaf.name) == 2]
            for leaf in lost:
                leaf.crash()
            yield from sleep(self.loop, span // 3)
            for leaf in lost:  # all at once
                leaf.start()
        else:
            for first in range(8):
                self.loop.spawn(self._replace(leaves[first::8]), f"release {first}")
                yield from sleep(self.loop, span // 8)

    def _replace(self, group: list[Leaf]) -> Coro[None]:
        """A step of a release: drained, gone, and back cold."""
        for leaf in group:
            leaf.on_die = None
            leaf.drain()
        yield from sleep(self.loop, self.service_settings.leaf.drain_for + 500_000)
        for leaf in group:
            if leaf.listener is None:
                leaf.start()

    def _count(
        self, keys: list[str], classes: list[Any], bodies: dict[str, dict[str, Any]], took: int, broker: int
    ) -> None:
        at = (self.loop.now() - took - 1_000_000 - 1_500_000) / 1e6 - SETTLE
        span = 0 if at < BEFORE else 1 if at < BEFORE + TROUBLE else 2
        before = {name: Counter(counts) for name, counts in self.outcomes.items()}
        super()._count(keys, classes, bodies, took, broker)
        for name, counts in self.outcomes.items():
            self.ends.setdefault((name, span), Counter()).update(
                Counter(counts) - before.get(name, Counter())
            )

    def figures(self) -> dict[str, Any]:
        """Service by class and span, further attempts of the fleet, how near a cold host came to its fall,
        the rules and, where keepers lend, the budgets.
        """
        verdict = self.verdict()
        zero = 1_000_000 + 1_500_000 + int((SETTLE + BEFORE) * 1e6)
        further = Counter(
            (event["t"] - zero) // 1_000_000
            for event in self.events
            if event["ev"] == "send" and event.get("further")
        )
        during = [further[second] for second in range(int(TROUBLE))]
        arrived = sum(
            event["ev"] == "arrive" and zero <= event["t"] < zero + TROUBLE * 1e6 for event in self.events
        )
        lent = judge_budgets(from_lines(self.events)) if self.variant in LENT else None
        return {
            "day": self.day,
            "variant": self.variant,
            "service": {
                f"{query_class}/{SPANS[span]}": dict(counts)
                for (query_class, span), counts in sorted(self.ends.items())
            },
            "further a second": [round(sum(during) / len(during), 1), max(during)],
            "arrived": arrived,
            "coldest": round(verdict.coldest, 2),
            "fell": verdict.counts["falls"],
            "rules": [str(breach) for breach in verdict.breaches[:5]],
            "broken": len(verdict.breaches),
            "overshoots": lent.breaches[:3] if lent is not None else [],
            "most held": {name: round(share, 2) for name, share in lent.nearest.items()}
            if lent is not None
            else {},
        }


def play(variant: str, day: str, seed: int = 1, **size: Any) -> dict[str, Any]:
    """One day under one variant."""
    return WorthDay(variant, day, seed, **size).run().figures()  # type: ignore[attr-defined, no-any-return]
