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
from heathwell.testing.simulation.demo_settings import (
    PRICE_KEYS,
    RULES,
    SALE_KEYS,
    day_report_class,
    discovery_section,
    fleet_section,
    limits_section,
    price_search_class,
    report_keys,
    sale_record_class,
    settings_text,
)
from heathwell.testing.simulation.simulated_scenario import CompletedRequest, QueryOutcome, SimulatedScenario
from heathwell.testing.standins.relay import lost_wait

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


def region_settings_text(
    *, shards: int, replica_groups: int, replicas: int, leaves: int, brokers: int
) -> str:
    """Return the settings of a fleet of this size over both regions, without its variant."""
    return settings_text(
        price_search_class(minimum_percent=50),
        day_report_class(),
        sale_record_class(),
        SALE_KEYS,
        PRICE_KEYS,
        report_keys(),
        fleet_section(
            shards=shards,
            replica_groups=replica_groups,
            replicas=replicas,
            zones=("hki-1", "hki-2", "espoo-1", "espoo-2"),
            leaves=leaves,
            brokers=brokers,
        ),
        RULES,
        limits_section(max_in_flight=800),
        discovery_section(),
    )


REGION_SETTINGS = region_settings_text(shards=64, replica_groups=32, replicas=2, leaves=32, brokers=8)
LARGE_REGION_SETTINGS = region_settings_text(shards=164, replica_groups=82, replicas=3, leaves=82, brokers=89)


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
        self, variant: str, trouble: str, seed: int = 1, rate: float = 60.0, text: str = REGION_SETTINGS
    ) -> None:
        service_settings: ServiceSettings = loads(text + VARIANTS[variant])
        self.ways: Callable[[str, str], int] = self._plain_way
        super().__init__(
            service_settings,
            seed,
            duration_seconds=BEFORE + TROUBLE + AFTER,
            arrival_rate=rate,
            fault_rate=0.0,
            poison_fraction=0.0,
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
                (way := self._plain_way(a, b)) + (lost_wait(1, LOSS, draws) if way == FAR_WAY_US else 0)
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

    def _on_request_completed(self, request: CompletedRequest) -> None:
        far_broker = self.far(f"b{request.broker}")
        at = (request.started_at_us - 1_000_000 - 1_500_000) / 1e6
        where = 0 if at < BEFORE else 1 if at < BEFORE + TROUBLE else 2
        for query in request.queries:
            plan = self.fleet.brokers[0].broker.keys.plan(query.key)
            home = plan is not None and self._all_home(plan, far_broker)
            for part in (home, None):
                if part is None or part:
                    span = self.spans.setdefault((query.query_class.name, where, bool(part)), Span())
                    span.asked += 1
                    match query.outcome:
                        case QueryOutcome.ON_TIME:
                            span.on_time += 1
                        case QueryOutcome.LATE:
                            span.late += 1
                        case QueryOutcome.PARTIAL:
                            span.partial += 1
                        case QueryOutcome.REFUSED:
                            span.refused += 1
                        case QueryOutcome.FAILED:
                            span.failed += 1
            second = self.by_second.setdefault(int(at), [0, 0])
            second[0] += 1
            second[1] += query.outcome == QueryOutcome.ON_TIME
            if where == 1 and not query.is_complete and not home:
                self.give_up_us.append(query.duration_us * 1000 // query.query_class.latency_objective_us)

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
