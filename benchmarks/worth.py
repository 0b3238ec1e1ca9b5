"""Quotas granted by coordinators against brokers on their own and an equal fixed split.

`.venv/bin/python benchmarks/worth.py [SEED [VARIANT ...]]`: 89 brokers, 82 endpoints and three regions on
virtual time, simulated endpoints; only the variants that are named. Exit code 1 where a rule is broken or a
budget exceeded.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any, Final

import msgspec

from heathwell.testing.simulation.experiment_phases import PHASES
from heathwell.testing.simulation.quota_experiment import (
    OUTCOMES,
    SCENARIOS,
    VARIANTS,
    QuotaExperimentResult,
    run_quota_experiment,
)

DEFAULT_SEED: Final = 1
QUERY_CLASSES: Final = ("price-search", "day-report", "sale-record")
PRINTED_FIELDS: Final = ("further a second", "arrived", "coldest", "fell", "broken", "most held")
ResultsByCase = dict[tuple[str, str], QuotaExperimentResult]  # by variant and scenario


def _run_all(seed: int, variants: Sequence[str]) -> ResultsByCase:
    """Run all variants under all scenarios, in parallel."""
    cases = list(product(variants, SCENARIOS))
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        futures = [pool.submit(run_quota_experiment, variant, scenario, seed) for variant, scenario in cases]
        results = [future.result() for future in futures]
    return dict(zip(cases, results, strict=True))


def _service_cell(counts: dict[str, int]) -> str:
    """Return the shares of outcomes, of which the first is printed even where it is zero."""
    total = sum(counts.values()) or 1
    first, *others = OUTCOMES
    shares = [f"{counts.get(first, 0) / total:.1%}"]
    shares += [f"{kind} {counts[kind] / total:.1%}" for kind in others if counts.get(kind)]
    return ", ".join(shares)


def _print_scenario(scenario: str, results: dict[str, QuotaExperimentResult]) -> None:
    """Print the table of a scenario from its results by variant."""
    print(f"\n{scenario} | class | span | " + " | ".join(results))
    for query_class, phase in product(QUERY_CLASSES, PHASES):
        cells = [
            _service_cell(result.service.get(f"{query_class}/{phase}", {})) for result in results.values()
        ]
        print(f"{scenario} | {query_class} | {phase} | " + " | ".join(cells))
    records = [_to_record(result) for result in results.values()]
    for name in PRINTED_FIELDS:
        print(f"{scenario} | {name} | | " + " | ".join(str(record[name]) for record in records))
    for variant, result in results.items():
        for text in [*result.breaches, *result.overshoots]:
            print("   ", variant, text)


def _to_record(result: QuotaExperimentResult) -> dict[str, Any]:
    """Return a result under its printed names."""
    record: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(result))
    return record


def main(seed: int, variants: Sequence[str]) -> int:
    """Print a table for each scenario, and the results of all runs as JSON."""
    results = _run_all(seed, variants)
    for scenario in SCENARIOS:
        _print_scenario(scenario, {variant: results[variant, scenario] for variant in variants})
    print(json.dumps([_to_record(result) for result in results.values()]))
    violation_count = sum(result.breach_count + len(result.overshoots) for result in results.values())
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEED, tuple(sys.argv[2:]) or VARIANTS))
