"""Two regions on sockets: one run a variant, every trouble of the link after another, the service counted
around each.

A fleet of processes, real clients, the relay as the link; the rules are judged from the logs of the whole
run.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from heathwell.service.key_spaces import KeySpaces
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.client_population import Outcome
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import Load, Mix, Script, Step
from heathwell.testing.simulation.scripted_faults import ScriptedFault

VARIANTS = {"decider": "(let-go 2s)", "off": "(decide no)", "nearest first": "(decide no) (prefer-home yes)"}
FIRST, TROUBLE, BETWEEN = 8.0, 8.0, 12.0  # seconds: before the first, of each, and from one's end to the next
TROUBLES: tuple[tuple[str, str, float, tuple[str, ...]], ...] = (
    ("100 ms", "link-delay", 0.1, ()),
    ("400 ms", "link-delay", 0.4, ()),
    ("loss 5 %", "link-loss", 0.05, ()),
    ("one way", "link-oneway", 0.0, ("hki",)),
    ("cut", "link-cut", 0.0, ()),
    ("flap 2 s", "link-flap", 2.0, ()),
    ("region lost", "zone-loss", 0.0, ("espoo-1", "espoo-2")),
)
MARKET = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (floor 50%) (partial-worth 60%)
  (work 20ms))
(class day-report (aim 1200ms) (limit 3s) (late-worth 10%) (fetch 3) (work 15ms))
(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 15ms))
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(keys report (class day-report) (shape report) (report-parts 2))
(fleet (shards 32) (cells 32) (width 2) (zones hki-1 hki-2 espoo-1 espoo-2) (leaves 32) (brokers 8))
(rules (drain-grace 1s) (fall-multiple 2.5) (fall-after 1s) (start-capacity 18%) (warm-within 17s))
(limits (attempts 4) (open-cap 600) (by-work yes))
(discovery (notice 500ms) (silent-notice 3s))
(log (level error))
"""
REGIONS = "(region hki (zones hki-1 hki-2)) (region espoo (zones espoo-1 espoo-2))"
SPANS = ("before", "during", "after")


@dataclass(slots=True)
class Service:
    """How requests of a class ended around one trouble, by span; ``home``: all holders on their broker's
    side.
    """

    counts: dict[tuple[str, str, bool], dict[str, int]] = field(default_factory=dict)
    steady_after: float | None = None
    refused_after: list[float] = field(default_factory=list)

    def share(self, query_class: str, span: str, kind: str, home: bool = False) -> float:
        """The share of a class that ended so; 0 where nothing was asked."""
        counts = self.counts.get((query_class, span, home), {})
        return counts.get(kind, 0) / max(1, sum(counts.values()))


def settings(variant: str) -> str:
    """The settings text of a variant."""
    return MARKET + f"(across {VARIANTS[variant]} {REGIONS})\n"


def script_of(
    rate: float, troubles: tuple[tuple[str, str, float, tuple[str, ...]], ...], seed: int = 3
) -> Script:
    """Every trouble after another."""
    steps = [
        Step(
            int((FIRST + n * (TROUBLE + BETWEEN)) * 1e6),
            ScriptedFault(kind),
            list(to),
            int(TROUBLE * 1e6),
            value,
        )
        for n, (_, kind, value, to) in enumerate(troubles)
    ]
    load = Load(
        rate,
        clients=120,
        multi=0.0,
        retries=0,
        mix=[Mix("price", 0.35), Mix("report", 0.3), Mix("sale", 0.35)],
    )
    return Script("market.sx", FIRST + len(troubles) * (TROUBLE + BETWEEN), load, seed, steps)


def all_home(keys: KeySpaces, service_settings: ServiceSettings, key: str, broker: str) -> bool:
    """Whether all holders of all shards that a key asks for stand in the broker's region."""
    plan = keys.plan(key)
    if plan is None or not broker:
        return False
    fleet = service_settings.fleet
    region = {name: r.name for r in service_settings.across.regions for name in r.zones}
    home = region[fleet.zones[int(broker[1:]) % len(fleet.zones)]]
    cells = {(part.shard + step) % fleet.cells for part in plan.parts for step in range(fleet.width)}
    return all(
        region[fleet.zones[leaf % len(fleet.zones)]] == home
        for leaf in range(fleet.leaves)
        if leaf % fleet.cells in cells
    )


def services(
    outcomes: list[Outcome],
    service_settings: ServiceSettings,
    troubles: tuple[tuple[str, str, float, tuple[str, ...]], ...],
) -> dict[str, Service]:
    """The service around each trouble."""
    keys = KeySpaces(service_settings)
    aims = {spec.name: spec.latency_objective_us / 1e6 for spec in service_settings.classes}
    out: dict[str, Service] = {}
    for number, (name, *_) in enumerate(troubles):
        begin = FIRST + number * (TROUBLE + BETWEEN)
        end = begin + TROUBLE
        service = out[name] = Service()
        per_second: dict[int, list[int]] = {}
        for outcome in outcomes:
            # The last seconds before are the recovered ones; the first minute of all is the start's.
            span = (
                "before"
                if begin - 4 <= outcome.at < begin
                else "during"
                if begin <= outcome.at < end
                else "after"
                if end <= outcome.at < end + BETWEEN
                else ""
            )
            if not span:
                continue
            home = all_home(keys, service_settings, outcome.key, outcome.broker)
            for mine in {False, home}:
                counts = service.counts.setdefault((outcome.query_class, span, mine), {})
                counts[outcome.kind] = counts.get(outcome.kind, 0) + 1
            if span == "during" and outcome.kind == "refused":
                service.refused_after.append(outcome.took / aims[outcome.query_class])
            second = per_second.setdefault(int(outcome.at - end) if outcome.at >= end else -1, [0, 0])
            second[0] += 1
            second[1] += outcome.kind == "on time"
        service.steady_after = _steady(per_second, service)
    return out


def _steady(per_second: dict[int, list[int]], service: Service) -> float | None:
    """Seconds from the trouble's end until three in a row are within 10 points of the time before it."""
    before = [counts for (_, span, home), counts in service.counts.items() if span == "before" and not home]
    asked = sum(sum(counts.values()) for counts in before)
    usual = sum(counts.get("on time", 0) for counts in before) / max(1, asked)
    for second in range(int(BETWEEN) - 2):
        rows = [per_second.get(second + n, [0, 0]) for n in range(3)]
        if sum(row[1] for row in rows) >= (usual - 0.1) * sum(row[0] for row in rows):
            return float(second)
    return None


def play(
    variant: str,
    rate: float = 30.0,
    say: Callable[[str], None] = lambda _text: None,
    troubles: tuple[tuple[str, str, float, tuple[str, ...]], ...] = TROUBLES,
) -> dict[str, Any]:
    """One variant's run: service by trouble, the verdict, and what started off its schedule."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-regions-"))
    config = folder / "market.sx"
    config.write_text(settings(variant))
    service_settings = loads(settings(variant))
    day = FaultScenario(script_of(rate, troubles), service_settings, str(config), folder, say)
    verdict = day.run()
    return {
        "variant": variant,
        "services": services(day.clients.outcomes, service_settings, troubles),
        "verdict": verdict,
        "off_schedule": day.clients.off_schedule,
        "asked": day.clients.asked,
        "folder": str(folder),
    }
