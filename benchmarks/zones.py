"""Leaving a zone as a fleet against three other ways: `benchmarks/zones.py [SEEDS [SIZE [JOBS [KINDS
[VARIANTS]]]]]`.

Days of each kind on virtual time, simulated hosts; SIZE is `tiny` (6 brokers, 9 hosts), `small` (18 and 18)
or `large` (89 and 82); KINDS, with commas, are all where none are named; VARIANTS likewise. Prints a row a
kind and variant, over the seeds: service of all classes, that of the worst five seconds, seconds to leave and
to come back, how far apart brokers went by a decision, leavings of other zones, falls and rules. Exit 1 where
a rule is broken, a cold host is pushed over, or a healthy or busy day leaves a zone.
"""

from __future__ import annotations

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product
from statistics import mean
from typing import Any

from heathwell.testing.simulation.evacuation_experiment import CALM, KINDS, VARIANTS, play

SIZES: dict[str, dict[str, Any]] = {
    "tiny": {"brokers": 6, "hosts": 9, "rate": 20.0},
    "small": {"brokers": 18, "hosts": 18, "rate": 40.0},
    "large": {"brokers": 89, "hosts": 82, "rate": 180.0},
}


def seconds(rows: list[dict[str, Any]], name: str) -> str:
    """Least and most of a time that some rows have."""
    times = [row[name] for row in rows if row[name] is not None]
    return f"{min(times):g} to {max(times):g} ({len(times)})" if times else "-"


def main(seeds: int, size: str, jobs: int, kinds: tuple[str, ...], variants: tuple[str, ...]) -> int:
    """The table, and each day's figures as JSON lines on standard error."""
    cases = list(product(kinds, variants, range(1, seeds + 1)))
    days: dict[tuple[str, str], list[dict[str, Any]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        futures = {
            pool.submit(play, variant, kind, seed, **SIZES[size]): (kind, variant)
            for kind, variant, seed in cases
        }
        for future in as_completed(futures):
            row = future.result()
            days.setdefault(futures[future], []).append(row)
            print(json.dumps(row), file=sys.stderr, flush=True)
    bad = 0
    print(
        "| kind | variant | all | worst 5 s | left after s (days) | back after s (days) | apart s | "
        "other zones left"
        " | times left | fell | rules |\n|" + " --- |" * 11
    )
    for kind, variant in product(kinds, variants):
        rows = days[kind, variant]
        others = sum(bool(row["others_left"]) for row in rows)
        fell, broken = sum(row["fell"] for row in rows), sum(row["broken"] for row in rows)
        false = kind in CALM and any(row["leaves"] or row["others_left"] for row in rows)
        bad += fell + broken + false if variant == "fleet" else 0
        print(
            f"| {kind} | {variant} | {mean(row['all'] for row in rows):.3f} | "
            f"{min(row['worst'] for row in rows):.3f} | "
            f"{seconds(rows, 'left_after_s')} | {seconds(rows, 'back_after_s')} | "
            f"{max(row['apart_s'] for row in rows):g} | {others} | {sum(row['leaves'] for row in rows)} | "
            f"{fell} | {broken} |"
        )
    return 1 if bad else 0


if __name__ == "__main__":
    words = [*sys.argv[1:], *("", "", "", "", "")][:5]
    sys.exit(
        main(
            int(words[0] or 1),
            words[1] or "small",
            int(words[2] or max(1, (os.cpu_count() or 2) - 1)),
            tuple(words[3].split(",")) if words[3] else (*KINDS, *CALM),
            tuple(words[4].split(",")) if words[4] else VARIANTS,
        )
    )
