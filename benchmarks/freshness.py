"""Stated ages against the truth over at least 20,000 answers, what each policy costs, and the processor's
share.

Virtual time, simulated hosts: `.venv/bin/python benchmarks/freshness.py [ANSWERS]`. Exit 1 when an answer
states an age younger than the truth, or a rule is broken.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import costs

from heathwell.settings import load, loads
from heathwell.testing.simulation.host_faults import HOST_FAULTS, LAG_FAULTS
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario

TEXT = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (work 40ms){wish})
(class day-report (aim 1200ms) (limit 3s) (late-worth 10%) (fetch 5) (work 30ms){wish})
(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms))
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(keys report (class day-report) (shape report) (report-parts 4))
(fleet (shards 12) (cells 6) (width 3) (zones a b c) (leaves 12) (brokers 3))
(rules (drain-grace 1s) (fall-multiple 2.5) (fall-after 1s) (start-capacity 18%) (warm-within 17s))
(limits (attempts 4) (open-cap 600) (by-work yes))
(discovery (notice 300ms) (silent-notice 2s))
(freshness (on {on}))
"""
POLICIES = {
    "off": ("no", ""),
    "use": ("yes", " (wanted-age 1s)"),
    "another": ("yes", " (wanted-age 1s) (stale another)"),
    "missing": ("yes", " (wanted-age 1s) (max-age 2s) (stale missing)"),
}
SECONDS = 25.0


def one(name: str, seed: int) -> dict[str, Any]:
    """A day under a policy."""
    on, wish = POLICIES[name]
    day = SimulatedScenario(
        loads(TEXT.format(on=on, wish=wish)),
        seed,
        duration_seconds=SECONDS,
        use_tokens=True,
        faults=HOST_FAULTS + LAG_FAULTS * 3,
    ).run()
    verdict = day.verdict()
    out: dict[str, Any] = {
        "policy": name,
        "seed": seed,
        "rules": [str(b) for b in verdict.breaches],
        "outcomes": day.outcome_counts,
        "judged": 0,
    }
    if name != "off":
        ages = day.age_verdict()
        out |= {
            "judged": ages.judged,
            "unknown": ages.unknown,
            "excess": ages.excess,
            "young": [str(b) for b in ages.breaches],
            "true": ages.true_ages,
        }
    return out


def quiet_cost(rounds: int) -> list[float]:
    """The broker's processor time a six-part query with freshness on over off, on sockets, in alternation."""
    ratios = []
    with tempfile.TemporaryDirectory() as folder:
        fleets = []
        for on in ("yes", "no"):
            config = f"{folder}/{on}.sx"
            Path(config).write_text(costs.TEXT + f"(freshness (on {on}))\n")
            fleets.append(ProcessFleet(config, load(config)))
        try:
            for fleet in fleets:
                fleet.start()
            time.sleep(1.0)
            for _ in range(rounds):
                with_ages, without = (
                    costs.cost(fleet, "six", 1600)["broker CPU, us a query"] for fleet in fleets
                )
                ratios.append(with_ages / without)
        finally:
            for fleet in fleets:
                fleet.stop()
    return sorted(ratios)


def at(values: list[int], share: float) -> int:
    """A value at a share of the sorted ones."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def main() -> int:
    """Run until enough answers are judged; print a table and a line of JSON."""
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    seeds = max(4, wanted // (3 * 500) + 1)
    jobs = [(name, seed) for seed in range(seeds) for name in POLICIES]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 2)) as pool:
        rows = list(pool.map(one, *zip(*jobs, strict=True)))
    bad = 0
    summary: dict[str, Any] = {"answers judged": sum(row["judged"] for row in rows), "seeds": seeds}
    for name in POLICIES:
        mine = [row for row in rows if row["policy"] == name]
        counts: dict[str, dict[str, int]] = {}
        for row in mine:
            for query_class, outcomes in row["outcomes"].items():
                for kind, count in outcomes.items():
                    counts.setdefault(query_class, {})[kind] = (
                        counts.setdefault(query_class, {}).get(kind, 0) + count
                    )
        shares = {
            query_class: {
                kind: f"{count / sum(outcomes.values()):.1%}" for kind, count in sorted(outcomes.items())
            }
            for query_class, outcomes in sorted(counts.items())
        }
        young = sum(len(row.get("young", ())) for row in mine)
        broken = sum(len(row["rules"]) for row in mine)
        bad += young + broken
        summary[name] = {"service": shares, "rules broken": broken, "stated too young": young}
        if name != "off":
            excess = [value for row in mine for value in row["excess"]]
            true = [value for row in mine for value in row["true"]]
            summary[name] |= {
                "answers": len(true),
                "unknown age": sum(row["unknown"] for row in mine),
                "bound over truth, us": {
                    "p50": at(excess, 0.5),
                    "p99": at(excess, 0.99),
                    "most": max(excess),
                },
                "true age, ms": {"p50": at(true, 0.5) // 1000, "p99": at(true, 0.99) // 1000},
            }
        for row in mine:
            for line in [*row["rules"], *row.get("young", ())][:3]:
                print(f"{name}, seed {row['seed']}: {line}")
    ratios = quiet_cost(7)
    summary["broker CPU a six-part query, on over off"] = {
        "median": round(ratios[len(ratios) // 2], 3),
        "least": round(ratios[0], 3),
        "most": round(ratios[-1], 3),
    }
    for key, value in summary.items():
        print(f"{key}: {value}")
    print(json.dumps(summary))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
