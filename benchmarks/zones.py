"""Evacuation of a zone by the fleet against three other ways:
`benchmarks/zones.py [SEEDS [SIZE [JOBS [SCENARIOS [VARIANTS]]]]]`.

Runs of each scenario on virtual time, simulated hosts; SIZE is `tiny` (6 brokers, 9 hosts), `small` (18 and
18) or `large` (89 and 82); SCENARIOS, with commas, are all where none are named; VARIANTS likewise. Prints a
row a scenario and variant, over the seeds: service of all classes, that of the worst five seconds, seconds to
evacuate and to restore, how far apart brokers received a decision, evacuations of other zones, overloads and
rules. Exit 1 where a rule is broken, a cold host is overloaded, or a zone is evacuated without a fault.
"""

from __future__ import annotations

import json
import os
import sys
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from itertools import product
from statistics import mean
from typing import Final

import msgspec

from heathwell.testing.simulation.evacuation_experiment import ExperimentSize, run_evacuation_experiment
from heathwell.testing.simulation.evacuation_result import VARIANTS, EvacuationResult, Variant
from heathwell.testing.simulation.zone_faults import FAULT_SCENARIOS, FAULTLESS_SCENARIOS, Scenario

SIZES: Final[dict[str, ExperimentSize]] = {
    "tiny": {"brokers": 6, "hosts": 9, "rate": 20.0},
    "small": {"brokers": 18, "hosts": 18, "rate": 40.0},
    "large": {"brokers": 89, "hosts": 82, "rate": 180.0},
}
DEFAULT_SEEDS: Final = 1
DEFAULT_SIZE: Final = "small"
ARGUMENT_COUNT: Final = 5
COLUMNS: Final = (
    "kind",
    "variant",
    "all",
    "worst 5 s",
    "left after s (days)",
    "back after s (days)",
    "apart s",
    "other zones left",
    "times left",
    "fell",
    "rules",
)


@dataclass(frozen=True, slots=True)
class Case:
    """One row of the table."""

    scenario: Scenario
    variant: Variant


@dataclass(frozen=True, slots=True)
class Options:
    """What to run; each case is run with the seeds from 1 to ``seeds``."""

    seeds: int
    size: str
    jobs: int
    scenarios: tuple[Scenario, ...]
    variants: tuple[Variant, ...]

    @property
    def cases(self) -> list[Case]:
        """All pairs of a scenario and a variant, in order."""
        return [Case(scenario, variant) for scenario, variant in product(self.scenarios, self.variants)]


def main(options: Options) -> int:
    """Print the table, and each run's result as a JSON line on standard error; return the exit code."""
    results = run_cases(options)
    print_row(COLUMNS)
    print("|" + " --- |" * len(COLUMNS))
    failures = 0
    for case in options.cases:
        print_case(case, results[case])
        if case.variant is Variant.FLEET:
            failures += count_failures(case, results[case])
    return 1 if failures else 0


def run_cases(options: Options) -> dict[Case, list[EvacuationResult]]:
    """Run all cases with all seeds, in processes, and print each result when it is there."""
    results: dict[Case, list[EvacuationResult]] = defaultdict(list)
    size = SIZES[options.size]
    with ProcessPoolExecutor(options.jobs) as pool:
        case_by_future = {
            pool.submit(run_evacuation_experiment, case.variant, case.scenario, seed, **size): case
            for case in options.cases
            for seed in range(1, options.seeds + 1)
        }
        for future in as_completed(case_by_future):
            result = future.result()
            results[case_by_future[future]].append(result)
            print(json.dumps(msgspec.to_builtins(result)), file=sys.stderr, flush=True)
    return results


def count_failures(case: Case, results: list[EvacuationResult]) -> int:
    """Return the number of overloads and breaches, and one more if a zone was evacuated without a fault."""
    is_false_alarm = case.scenario in FAULTLESS_SCENARIOS and any(
        result.evacuations or result.other_evacuated_zones for result in results
    )
    return sum(result.overloads + result.breach_count for result in results) + is_false_alarm


def print_case(case: Case, results: list[EvacuationResult]) -> None:
    """Print the row of a case over its seeds."""
    print_row(
        (
            case.scenario,
            case.variant,
            f"{mean(result.on_time_fraction for result in results):.3f}",
            f"{min(result.worst_on_time_fraction for result in results):.3f}",
            range_of_seconds(result.evacuated_after_seconds for result in results),
            range_of_seconds(result.restored_after_seconds for result in results),
            f"{max(result.max_propagation_seconds for result in results):g}",
            str(sum(bool(result.other_evacuated_zones) for result in results)),
            str(sum(result.evacuations for result in results)),
            str(sum(result.overloads for result in results)),
            str(sum(result.breach_count for result in results)),
        )
    )


def range_of_seconds(times: Iterable[float | None]) -> str:
    """Return the least and the most of the times that are there, and their number, as text."""
    present = [seconds for seconds in times if seconds is not None]
    return f"{min(present):g} to {max(present):g} ({len(present)})" if present else "-"


def print_row(cells: Iterable[str]) -> None:
    """Print a row of the table."""
    print(f"| {' | '.join(cells)} |")


def parse_arguments(arguments: list[str]) -> Options:
    """Return the options of the command line; an argument that is empty or absent has its default."""
    seeds, size, jobs, scenarios, variants = [*arguments, *[""] * ARGUMENT_COUNT][:ARGUMENT_COUNT]
    return Options(
        seeds=int(seeds or DEFAULT_SEEDS),
        size=size or DEFAULT_SIZE,
        jobs=int(jobs or max(1, (os.cpu_count() or 2) - 1)),
        scenarios=(
            tuple(map(Scenario, scenarios.split(","))) if scenarios else FAULT_SCENARIOS + FAULTLESS_SCENARIOS
        ),
        variants=tuple(map(Variant, variants.split(","))) if variants else VARIANTS,
    )


if __name__ == "__main__":
    sys.exit(main(parse_arguments(sys.argv[1:])))
