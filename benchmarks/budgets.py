"""Seeded runs of coordinators and brokers under random faults, in virtual time:
`python benchmarks/budgets.py [RUNS] [FIRST_SEED]`.

Exit code 1 if more than the total of a budget was held or used at any instant of any run.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final

from heathwell.testing.simulation.quota_auditor import Overshoot
from heathwell.testing.simulation.quota_faults import schedule_random_faults
from heathwell.testing.simulation.quota_scenario import QuotaScenario

FAULTS_FROM_US: Final = 7_000_000
FAULTS_UNTIL_US: Final = 18_000_000
END_US: Final = 20_000_000
DEFAULT_RUNS: Final = 1_000
SEEDS_PER_TASK: Final = 8


@dataclass(frozen=True, slots=True)
class RunResult:
    """What one run has found."""

    seed: int
    overshoots: list[Overshoot]
    message_count: int
    ended_incarnations: int


def run_scenario(seed: int) -> RunResult:
    """Run one scenario with random faults and return its result."""
    scenario = QuotaScenario(seed)
    schedule_random_faults(scenario, FAULTS_FROM_US, FAULTS_UNTIL_US)
    scenario.run_until(END_US)
    return RunResult(seed, scenario.overshoots, scenario.message_count, scenario.ended_incarnations)


def main(runs: int, first_seed: int) -> int:
    """Run all seeds, as many at a time as there are processors; return the exit code."""
    runs_with_overshoot = 0
    message_count = 0
    ended_incarnations = 0
    seeds = range(first_seed, first_seed + runs)
    with ProcessPoolExecutor() as pool:
        for result in pool.map(run_scenario, seeds, chunksize=SEEDS_PER_TASK):
            message_count += result.message_count
            ended_incarnations += result.ended_incarnations
            if result.overshoots:
                runs_with_overshoot += 1
                others = len(result.overshoots) - 1
                print(f"seed {result.seed}: {result.overshoots[0]} (and {others} more)")
    print(
        f"{runs} days from seed {first_seed}: {runs_with_overshoot} with an overshoot; "
        f"{message_count} messages, {ended_incarnations} brokers found themselves dead"
    )
    return 1 if runs_with_overshoot else 0


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:]]
    runs_argument = arguments[0] if arguments else DEFAULT_RUNS
    first_seed_argument = arguments[1] if len(arguments) > 1 else 0
    sys.exit(main(runs_argument, first_seed_argument))
