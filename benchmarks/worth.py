"""Budgets lent by keepers against lone brokers and an equal fixed split: `.venv/bin/python
benchmarks/worth.py [SEED]`.

89 brokers, 82 hosts, three regions on virtual time, simulated hosts; with more words only those variants.
Exit 1 when a rule is broken or a budget overshot.
"""

from __future__ import annotations

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

import msgspec

from heathwell.testing.simulation.experiment_phases import PHASES
from heathwell.testing.simulation.quota_experiment import (
    OUTCOMES,
    SCENARIOS,
    VARIANTS,
    run_quota_experiment,
)


def main(seed: int, variants: tuple[str, ...]) -> int:
    """A table a day, and each run's figures as JSON."""
    cases = list(product(variants, SCENARIOS))
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        futures = [pool.submit(run_quota_experiment, variant, day, seed) for variant, day in cases]
        results = [msgspec.json.decode(msgspec.json.encode(future.result())) for future in futures]
    rows = dict(zip(cases, results, strict=True))
    bad = 0
    for day in SCENARIOS:
        print(f"\n{day} | class | span | " + " | ".join(variants))
        for query_class, span in product(("price-search", "day-report", "sale-record"), PHASES):
            cells = []
            for variant in variants:
                counts = rows[variant, day]["service"].get(f"{query_class}/{span}", {})
                asked = sum(counts.values()) or 1
                cells.append(
                    f"{counts.get('on time', 0) / asked:.1%}"
                    + "".join(
                        f", {kind} {counts[kind] / asked:.1%}" for kind in OUTCOMES[1:] if counts.get(kind)
                    )
                )
            print(f"{day} | {query_class} | {span} | " + " | ".join(cells))
        for name in ("further a second", "arrived", "coldest", "fell", "broken", "most held"):
            print(f"{day} | {name} | | " + " | ".join(str(rows[variant, day][name]) for variant in variants))
        for variant in variants:
            row = rows[variant, day]
            bad += row["broken"] + len(row["overshoots"])
            for text in [*row["rules"], *row["overshoots"]]:
                print("   ", variant, text)
    print(json.dumps(list(rows.values())))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 1, tuple(sys.argv[2:]) or VARIANTS))
