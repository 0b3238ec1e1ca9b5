"""Two regions on virtual time: a link that slows, loses a way, is cut, flaps, or a region that is lost.

The service is counted by class in three spans: before, while the trouble lasts, and after it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from heathwell.eventloop import Coro, sleep
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario
from heathwell.testing.standins.link_condition import retransmission_delay_us

BEFORE, TROUBLE, AFTER = 10.0, 15.0, 20.0
LOSS = 0.05  # share of packets
HOME_WAY_US, FAR_WAY_US = 300, 3_000
TROUBLES = ("100 ms", "400 ms", "loss", "one way", "cut", "flap", "region lost")
VARIANTS = {
    "decider": "(across (region hki (zones hki-1 hki-2)) (region espoo (zones espoo-1 espoo-2)))",
    "off": "(across (decide no) (region hki (zones hki-1 hki-2)) (region espoo (zones espoo-1 espoo-2)))",
    "nearest first": "(across (decide no) (prefer-home yes) (region hki (zones hki-1 hki-2)) "
    "(region espoo (zones espoo-1 espoo-2)))",
}
MARKET = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (floor 50%) (partial-worth 60%)
  (work 40ms))
(class day-report (aim 1200ms) (limit 3s) (late-worth 10%) (fetch 5) (work 30ms))
(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms))
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(keys report (class day-report) (shape report) (report-parts 4))
(fleet (shards 64) (cells 32) (width 2) (zones hki-1 hki-2 espoo-1 espoo-2) (leaves 32) (brokers 8))
(rules (drain-grace 1s) (fall-multiple 2.5) (fall-after 1s) (start-capacity 18%) (warm-within 17s))
(limits (attempts 4) (open-cap 800) (by-work yes))
(discovery (notice 300ms) (silent-notice 2s))
"""

# The users' size to come: 82 hosts, 89 brokers, 130 queries a second.
LARGE = MARKET.replace("(shards 64) (cells 32) (width 2)", "(shards 164) (cells 82) (width 3)").replace(
    "(leaves 32) (brokers 8)", "(leaves 82) (brokers 89)"
)


@dataclass(slots=True)
class Span:
    """How queries of a class ended within a span."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    partial: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0


class RegionScenario(SimulatedScenario):
    """A day with one trouble between two regions; ``cells`` lie so that a quarter of the shards is all at
    home.
    """

    def __init__(
        self, variant: str, trouble: str, seed: int = 1, rate: float = 60.0, text: str = MARKET
    ) -> None:
        service_settings: ServiceSettings = loads(text + VARIANTS[variant])
        self.ways: Callable[[str, str], int] = self._plain_way
        super().__init__(
            service_settings, seed, seconds=BEFORE + TROUBLE + AFTER, rate=rate, trouble_rate=0.0, poison=0.0
        )
        self.net.delay = self._way
        self.trouble_name = trouble
        self.spans: dict[tuple[str, int, bool], Span] = {}
        self.give_up_us: list[int] = []
        self.by_second: dict[int, list[int]] = {}

    def far(self, host: str) -> bool:
        """Whether a host stands in espoo."""
        number = int("".join(c for c in host if c.isdigit()) or 0)
        return host.startswith(("leaf", "b")) and number % 4 >= 2

    def _plain_way(self, a: str, b: str) -> int:
        return FAR_WAY_US if self.far(a) != self.far(b) and "client" not in (a, b) else HOME_WAY_US

    def _way(self, a: str, b: str) -> int:
        return self.ways(a, b)

    def _main(self) -> Coro[None]:
        self.loop.spawn(self._link_trouble(), "link")
        yield from super()._main()

    def _hosts(self, far: bool) -> list[str]:
        names = [leaf.name for leaf in self.fleet.leaves] + [f"b{n}" for n in range(len(self.fleet.brokers))]
        return [name for name in names if self.far(name) == far]

    def _cut(self, away: bool = True, back: bool = True, heal: bool = False) -> None:
        act = self.net.heal if heal else self.net.cut
        for home in self._hosts(False):
            for far in self._hosts(True):
                if away:
                    act(home, far)
                if back:
                    act(far, home)

    def _link_trouble(self) -> Coro[None]:
        yield from sleep(self.loop, 1_500_000 + int(BEFORE * 1e6))
        span = int(TROUBLE * 1e6)
        if self.trouble_name in ("100 ms", "400 ms"):
            extra = int(self.trouble_name.split()[0]) * 1000
            self.ways = lambda a, b: (
                self._plain_way(a, b) + (extra if self._plain_way(a, b) == FAR_WAY_US else 0)
            )
            yield from sleep(self.loop, span)
            self.ways = self._plain_way
        elif self.trouble_name == "loss":
            draws = random.Random(self.seed)
            self.ways = lambda a, b: (
                (way := self._plain_way(a, b))
                + (retransmission_delay_us(1, LOSS, draws) if way == FAR_WAY_US else 0)
            )
            yield from sleep(self.loop, span)
            self.ways = self._plain_way
        elif self.trouble_name == "one way":
            self._cut(away=False)  # what hki asks arrives, the answers don't
            yield from sleep(self.loop, span)
            self._cut(away=False, heal=True)
        elif self.trouble_name == "cut":
            self._cut()
            yield from sleep(self.loop, span)
            self._cut(heal=True)
        elif self.trouble_name == "flap":
            for turn in range(int(TROUBLE // 2)):
                self._cut(heal=turn % 2 == 1)
                yield from sleep(self.loop, 2_000_000)
            self._cut(heal=True)
        elif self.trouble_name == "region lost":
            lost = [leaf for leaf in self.fleet.leaves if self.far(leaf.name)]
            for leaf in lost:
                leaf.crash()
            yield from sleep(self.loop, span)
            for leaf in lost:  # back cold all at once
                leaf.start()

    def _count(
        self, keys: list[str], classes: list[Any], bodies: dict[str, dict[str, Any]], took: int, broker: int
    ) -> None:
        far_broker = self.far(f"b{broker}")
        at = (self.loop.now() - took - 1_000_000 - 1_500_000) / 1e6
        where = 0 if at < BEFORE else 1 if at < BEFORE + TROUBLE else 2
        for key, spec in zip(keys, classes, strict=True):
            body = bodies.get(key)
            plan = self.fleet.brokers[0].broker.keys.plan(key)
            home = plan is not None and self._all_home(plan, far_broker)
            for part in (home, None):
                if part is None or part:
                    span = self.spans.setdefault((spec.name, where, bool(part)), Span())
                    span.asked += 1
                    if body is not None and "coverage" not in body:
                        span.refused += bool(body.get("refused"))
                        span.failed += bool(body.get("failed"))
                    elif body is not None and not body["whole"]:
                        span.partial += 1
                    elif took <= spec.latency_objective_us:
                        span.on_time += 1
                    else:
                        span.late += 1
            second = self.by_second.setdefault(int(at), [0, 0])
            second[0] += 1
            second[1] += took <= spec.latency_objective_us and (body is None or bool(body.get("whole")))
            if where == 1 and body is not None and not body.get("whole") and not home:
                self.give_up_us.append(took * 1000 // spec.latency_objective_us)

    def steady_after(self) -> float | None:
        """Seconds from the trouble's end until three seconds in a row are within 5 points of the
        time before.
        """

        def share(seconds: range) -> float:
            rows = [self.by_second[s] for s in seconds if s in self.by_second]
            return sum(row[1] for row in rows) / max(1, sum(row[0] for row in rows))

        usual, end = share(range(2, int(BEFORE))), int(BEFORE + TROUBLE)
        for start in range(end, end + int(AFTER) - 2):
            if share(range(start, start + 3)) >= usual - 0.05:
                return float(start - end)
        return None

    def _all_home(self, plan: Any, far: bool) -> bool:
        """Whether every shard of a plan has a holder in the region of the broker that was asked."""
        cells = self.service_settings.fleet.cells
        return all(
            any(
                ((part.shard + step) % cells % 4 >= 2) == far
                for step in range(self.service_settings.fleet.width)
            )
            for part in plan.parts
        )


def sent_by_second(day: RegionScenario) -> list[dict[str, float]]:
    """What hosts were sent each second: the surviving region's mean and most, the lost one's most, in parts,
    and connections that hosts accepted.
    """
    zero = 1_000_000 + 1_500_000
    counts: dict[int, dict[str, int]] = {}
    opened: dict[int, int] = {}
    names = {e["node"]: e["who"] for e in day.events if e["ev"] == "up"}
    for event in day.events:
        second = (event["t"] - zero) // 1_000_000
        if event["ev"] == "arrive":
            row = counts.setdefault(second, {})
            row[names[event["node"]]] = row.get(names[event["node"]], 0) + 1
        elif event["ev"] == "met":
            opened[second] = opened.get(second, 0) + 1
    out = []
    for second in sorted(counts):
        home = [count for name, count in counts[second].items() if not day.far(name)]
        far = [count for name, count in counts[second].items() if day.far(name)]
        out.append(
            {
                "second": second,
                "home mean": round(sum(home) / max(1, len(home)), 1),
                "home most": max(home, default=0),
                "far most": max(far, default=0),
                "connections": opened.get(second, 0),
            }
        )
    return out


def compare(trouble: str, seed: int = 1, rate: float = 60.0) -> dict[str, Any]:
    """One trouble under every variant: service by class and span, rules, and how far a cold host
    was pushed.
    """
    out: dict[str, Any] = {"trouble": trouble}
    for variant in VARIANTS:
        day = RegionScenario(variant, trouble, seed, rate)
        day.run()
        verdict = day.verdict()
        out[variant] = {
            "rules": [str(breach) for breach in verdict.breaches[:5]],
            "broken": len(verdict.breaches),
            "coldest": round(verdict.coldest, 2),
            "service": {
                f"{query_class}/{('before', 'during', 'after')[where]}{'/home' if home else ''}": {
                    name: getattr(span, name) for name in Span.__slots__
                }
                for (query_class, where, home), span in sorted(day.spans.items())
            },
            "steady after, s": day.steady_after(),
            "gave up after, of the aim in 1000": sorted(day.give_up_us)[len(day.give_up_us) // 2 :][:1],
            "links": [
                (e["t"], e["who"], e["region"], e["state"], e["why"]) for e in day.events if e["ev"] == "link"
            ][:6],
        }
    return out
