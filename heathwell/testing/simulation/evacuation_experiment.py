"""Days on which a zone fails, on virtual time, by who decides to leave it. Real broker and keeper code,
stand-in hosts.

``nobody``: the module alone, host by host. ``itself``: each broker judges the links to the other zones
(`docs/regions.md`). ``fixed``: a health check of the whole fleet: half of all attempts lost for two seconds
leaves a zone whole, five seconds without brings it back at once. ``fleet``: evidence, one decision, steps
(`docs/evacuation.md`), and each broker's own judgement of links beside it. Hosts have one slot each, and are
about half at work.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from heathwell.codec import frames
from heathwell.eventloop import Coro, sleep
from heathwell.fleet.control.evacuation_coordinator import (
    EvacuationCoordinator,
    evacuation_coordinator_from_settings,
)
from heathwell.fleet.evacuation import EvacuationController, ZoneState, ZoneTransition
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.quota_experiment import REGIONAL_SETTINGS
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario
from heathwell.testing.standins.leaf import Leaf

VARIANTS = ("nobody", "itself", "fixed", "fleet")
KEPT = ("fixed", "fleet")  # those with keepers
ZONES = ("za", "zb", "zc")
SICK = 1  # the zone that fails, by its number
KINDS = (
    "killed",
    "cut off",
    "one way",
    "slow",
    "class",
    "lossy",
    "a fifth",
    "one broker",
    "two zones",
    "flapping",
    "peak",
    "clients moved",
)
CALM = ("healthy", "busy")
SETTLE, BEFORE, TROUBLE, AFTER = 9.0, 6.0, 12.0, 33.0  # seconds; keepers decide from the third on
WINDOW = 5.0
LOST, FOR_US, WELL_US = 0.5, 2_000_000, 5_000_000  # of the fixed check
HOSTS = "(leaf (slots 1) (queue 12))\n"


class FixedCheck(EvacuationController):
    """The baseline: thresholds of its own, no steps, everybody's word alike."""

    def reconcile(self, now_us: int) -> list[ZoneTransition]:
        """Leave or come back, all at once."""
        transitions = []
        for name, zone in self.zones.items():
            seen = [
                some
                for report in self.health.reports()
                for (of, _), some in report.counts.items()
                if of == name
            ]
            total = sum(some.total for some in seen)
            lost = (
                total >= self.parameters.minimum_attempts and sum(some.bad for some in seen) >= LOST * total
            )
            if lost == (zone.state == ZoneState.SERVING):
                if now_us - zone.state_since_us >= (FOR_US if zone.state == ZoneState.SERVING else WELL_US):
                    before = zone.state
                    zone.state = ZoneState.EVACUATED if lost else ZoneState.SERVING
                    zone.traffic_share = 0.0 if lost else 1.0
                    zone.state_since_us = now_us
                    transitions.append(ZoneTransition(name, before, zone.state, "fixed check"))
            else:
                zone.state_since_us = now_us
        if transitions:
            self._publish()
        return transitions


def _fixed_desk(service_settings: ServiceSettings) -> EvacuationCoordinator:
    return EvacuationCoordinator(service_settings.fleet.zones, controller_type=FixedCheck)


def service_settings_of(variant: str, brokers: int, hosts: int) -> ServiceSettings:
    """The settings of a variant: each shard has a holder in each zone."""
    fleet = (
        f"(shards {2 * hosts}) (cells {hosts}) (width 3) (zones {' '.join(ZONES)}) (leaves {hosts})"
        f" (brokers {brokers})"
    )
    if variant in KEPT:
        fleet += f' (keepers "k0:7100" "k1:7101" "k2:7102") (most {brokers}) (evacuate yes)'
    across = (
        "".join(f"(region r{zone} (zones {zone}))" for zone in ZONES)
        if variant in ("itself", "fleet")
        else ""
    )
    return loads(REGIONAL_SETTINGS + HOSTS + f"(fleet {fleet})" + (f"(across {across})" if across else ""))


class EvacuationScenario(SimulatedScenario):
    """One day of a kind under a variant; ``ends`` counts how queries ended by class and window of five
    seconds.
    """

    def __init__(
        self,
        variant: str,
        kind: str,
        seed: int = 1,
        *,
        brokers: int = 89,
        hosts: int = 82,
        rate: float = 130.0,
    ) -> None:
        self.variant, self.kind = variant, kind
        self.ends: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
        desk: Callable[[ServiceSettings], EvacuationCoordinator] = (
            _fixed_desk if variant == "fixed" else evacuation_coordinator_from_settings
        )
        busy = {"busy": 1.5, "peak": 1.6}.get(kind, 1.0)
        super().__init__(
            service_settings_of(variant, brokers, hosts),
            seed,
            seconds=BEFORE + TROUBLE + AFTER,
            rate=rate * busy,
            trouble_rate=0.0,
            poison=0.0,
            desk=desk,
        )
        self.cuts: list[tuple[str, str]] = []

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, int(SETTLE * 1e6))
        self.loop.spawn(self._harm(), self.kind)
        yield from super()._main()

    def _harm(self) -> Coro[None]:
        """The trouble: its figures are drawn by the seed, so that no two days are alike."""
        draw = random.Random(self.seed * 7 + 3)
        yield from sleep(self.loop, 1_500_000 + int(BEFORE * 1e6))
        span = int(TROUBLE * 1e6 * draw.uniform(0.7, 1.0))
        there = [leaf for leaf in self.fleet.leaves if leaf.zone == SICK]
        match self.kind:
            case "killed" | "peak":
                yield from self._killed(there, span)
            case "two zones":
                yield from self._killed([leaf for leaf in self.fleet.leaves if leaf.zone != 0], span)
            case "flapping":
                for _ in range(3):
                    yield from self._killed(there, 4_000_000)
                    yield from sleep(self.loop, 4_000_000)
            case "cut off":
                yield from self._cut(lambda broker, leaf: (broker == SICK) != (leaf == SICK), span)
            case "one way":
                yield from self._cut(lambda broker, leaf: broker == 0 and leaf == SICK, span)
            case "one broker":
                yield from self._cut(lambda _broker, _leaf: True, span, {draw.choice(["b0", "b1", "b2"])})
            case "slow":
                self._order(there, "slow", 10.0, span)
            case "class":
                self._order(there, "failclass", 0.0, span, draw.choice(self.service_settings.classes).name)
            case "lossy":
                self._order(there, "lose", 0.05, span)
            case "a fifth":
                self._order(draw.sample(there, max(1, len(there) // 5)), "lose", 0.9, span)

    def _killed(self, leaves: list[Leaf], span: int) -> Coro[None]:
        for leaf in leaves:
            leaf.on_terminated = None
            leaf.crash()
        yield from sleep(self.loop, span)
        for leaf in leaves:
            leaf.start()

    def _cut(self, of: Callable[[int, int], bool], span: int, only: set[str] | None = None) -> Coro[None]:
        ways = []
        for number, broker in enumerate(self.fleet.brokers):
            name = f"b{number}"
            if only is not None and name not in only:
                continue
            ways += [(name, leaf.name) for leaf in self.fleet.leaves if of(broker.zone, leaf.zone)]
        for name, leaf in ways:
            self.net.cut(name, leaf)
            self.net.cut(leaf, name)
        yield from sleep(self.loop, span)
        for name, leaf in ways:
            self.net.heal(name, leaf)
            self.net.heal(leaf, name)

    @staticmethod
    def _order(leaves: list[Leaf], what: str, value: float, span: int, query_class: str = "") -> None:
        for leaf in leaves:
            leaf.order(frames.FaultCommand(what, value, span, query_class))

    def _clients(self, draws: random.Random) -> Coro[None]:
        """As ever, but on the day on which all clients come to one zone's brokers."""
        if self.kind == "clients moved":
            plain, moved = draws.randrange, self.loop.now() + int(BEFORE * 1e6)
            here = [n for n, broker in enumerate(self.fleet.brokers) if broker.zone == 0]

            def chosen(upto: int, *more: int) -> int:
                number, of_brokers = plain(upto, *more), upto == len(self.fleet.brokers)
                return here[number % len(here)] if of_brokers and self.loop.now() > moved else number

            draws.randrange = chosen  # type: ignore[method-assign,assignment]
        yield from super()._clients(draws)

    def _count(
        self, keys: list[str], classes: list[Any], bodies: dict[str, dict[str, Any]], took: int, broker: int
    ) -> None:
        window = int(((self.loop.now() - took - self._zero) / 1e6) // WINDOW)
        before = {name: Counter(counts) for name, counts in self.outcomes.items()}
        super()._count(keys, classes, bodies, took, broker)
        for name, counts in self.outcomes.items():
            self.ends[name, window].update(Counter(counts) - before.get(name, Counter()))

    @property
    def _zero(self) -> int:
        """When the trouble begins (clock, us)."""
        return 1_000_000 + 1_500_000 + int((SETTLE + BEFORE) * 1e6)

    def figures(self) -> dict[str, Any]:
        """Service by class and five seconds from the trouble's beginning on, decisions, falls and rules."""
        verdict = self.verdict()
        service: dict[str, dict[int, float]] = defaultdict(dict)
        windows: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        for (query_class, window), counts in sorted(self.ends.items()):
            asked, good = sum(counts.values()), counts.get("on time", 0)
            service[query_class][window] = round(good / asked, 3) if asked else 1.0
            windows[window][0] += good
            windows[window][1] += asked
        inside = [
            good / asked
            for window, (good, asked) in windows.items()
            if asked >= 20 and -1 <= window <= int((TROUBLE + AFTER) / WINDOW) - 1
        ]
        worst = min(inside, default=1.0)
        total = [sum(column) for column in zip(*windows.values(), strict=True)] or [0, 1]
        by_keepers = [
            event for event in self.events if event["ev"] == "zones" and event["who"].startswith("k")
        ]
        leaving = [
            event["t"]
            for event in by_keepers
            for name, (state, _) in event["states"].items()
            if state in (ZoneState.EVACUATING, ZoneState.EVACUATED) and name == ZONES[SICK]
        ]
        empty = [event["t"] for event in by_keepers if not event["states"]]
        left_at = next((at for at in leaving if at >= self._zero), None)
        told: dict[tuple[int, int], list[int]] = defaultdict(list)
        for event in self.events:
            if event["ev"] == "zones" and event["who"].startswith("b"):
                told[event["term"], event["number"]].append(event["t"])
        states = [event["states"].get(ZONES[SICK], [ZoneState.SERVING])[0] for event in by_keepers]
        return {
            "kind": self.kind,
            "variant": self.variant,
            "seed": self.seed,
            "service": {query_class: dict(row) for query_class, row in service.items()},
            "worst": round(worst, 3),
            "all": round(total[0] / max(total[1], 1), 4),
            "left_after_s": round((left_at - self._zero) / 1e6, 1) if left_at is not None else None,
            "back_after_s": round((max(empty) - self._zero) / 1e6, 1)
            if empty and left_at is not None
            else None,
            "others_left": sorted(
                {name for event in by_keepers for name in event["states"] if name != ZONES[SICK]}
            ),
            "leaves": sum(
                after in (ZoneState.EVACUATING, ZoneState.EVACUATED) and before == ZoneState.SERVING
                for before, after in zip([ZoneState.SERVING, *states], states, strict=False)
            ),
            "apart_s": round(max((max(ats) - min(ats) for ats in told.values()), default=0) / 1e6, 2),
            "fell": verdict.counts["falls"],
            "coldest": round(verdict.coldest, 2),
            "broken": len(verdict.breaches),
            "rules": [str(breach) for breach in verdict.breaches[:3]],
        }


def play(variant: str, kind: str, seed: int = 1, **size: Any) -> dict[str, Any]:
    """One day under one variant."""
    return EvacuationScenario(variant, kind, seed, **size).run().figures()  # type: ignore[attr-defined, no-any-return]
