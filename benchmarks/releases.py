"""A thousand good releases and as many bad ones over simulated brokers.

`.venv/bin/python benchmarks/releases.py [RELEASES]`

89 brokers in nine zones, 130 queries a second, on virtual time: the real rollout controller and canary
analysis; what brokers report is drawn. Four policies over the same seeds. Exit 1 when the canary analysis
stopped over one good release in a hundred.
"""

from __future__ import annotations

import os
import sys
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import Executor, ProcessPoolExecutor
from itertools import repeat
from typing import Final

from heathwell.testing.simulation.release_experiment import POLICIES, Policy, ReleaseOutcome, run_release
from heathwell.testing.simulation.release_fleet import DEFECTS, Defect

DEFAULT_RELEASES: Final = 1_000
MIN_COMPARED_RELEASES: Final = 90
FIRST_BAD_SEED: Final = 100_000
SEEDS_PER_TASK: Final = 8
MAX_STOPPED_GOOD_FRACTION: Final = 0.01
REPORTED_REASONS: Final = 3
REPORTED_REASON_LENGTH: Final = 60


def main(releases: int) -> int:
    """Print a table by policy and defect; return the exit code."""
    stopped_good_fractions: dict[Policy, float] = {}
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        for policy in POLICIES:
            is_analysis = policy is Policy.CANARY_ANALYSIS
            count = releases if is_analysis else max(MIN_COMPARED_RELEASES, releases // 4)
            good = run_good_releases(pool, policy, count)
            bad = run_bad_releases(pool, policy, count)
            stopped_good_fractions[policy] = stopped_count(good) / count
            print_policy(policy, good, bad)
    return 1 if stopped_good_fractions[Policy.CANARY_ANALYSIS] > MAX_STOPPED_GOOD_FRACTION else 0


def run_good_releases(pool: Executor, policy: Policy, count: int) -> list[ReleaseOutcome]:
    """Run releases without a defect."""
    return list(pool.map(run_release, range(count), repeat(None), repeat(policy), chunksize=SEEDS_PER_TASK))


def run_bad_releases(pool: Executor, policy: Policy, count: int) -> list[ReleaseOutcome]:
    """Run releases with each defect in turn."""
    seeds = range(FIRST_BAD_SEED, FIRST_BAD_SEED + count)
    defects: list[Defect | None] = [DEFECTS[number % len(DEFECTS)] for number in range(count)]
    return list(pool.map(run_release, seeds, defects, repeat(policy), chunksize=SEEDS_PER_TASK))


def print_policy(policy: Policy, good: list[ReleaseOutcome], bad: list[ReleaseOutcome]) -> None:
    """Print the results of a policy, and a line for each common reason and each defect."""
    print(
        f"{policy}: {len(good)} good, {stopped_count(good) / len(good):.2%} stopped or held, "
        f"{mean_duration_seconds(good):.0f} s each; "
        f"{len(bad)} bad, {stopped_count(bad) / len(bad):.1%} stopped, {mean_lost_broker_minutes(bad):.2f} "
        "broker-minutes of worth lost each",
        flush=True,
    )
    reasons = Counter(outcome.reason[:REPORTED_REASON_LENGTH] for outcome in good if outcome.stopped)
    for reason, number in reasons.most_common(REPORTED_REASONS):
        print(f"    good, stopped: {number} x {reason}")
    for defect in DEFECTS:
        print_defect(defect, [outcome for outcome in bad if outcome.defect == defect])


def print_defect(defect: Defect, outcomes: list[ReleaseOutcome]) -> None:
    """Print how many releases with a defect were stopped, and at which stage."""
    stages = Counter(outcome.stage for outcome in outcomes if outcome.stopped)
    print(
        f"    {defect}: {stopped_count(outcomes)} of {len(outcomes)} stopped, at stage "
        f"{dict(sorted(stages.items()))}, {mean_lost_broker_minutes(outcomes):.2f} broker-minutes lost",
        flush=True,
    )


def stopped_count(outcomes: Iterable[ReleaseOutcome]) -> int:
    """Return how many releases were stopped."""
    return sum(outcome.stopped for outcome in outcomes)


def mean_duration_seconds(outcomes: list[ReleaseOutcome]) -> float:
    """Return the mean duration of releases, 0 of none."""
    return sum(outcome.duration_seconds for outcome in outcomes) / max(1, len(outcomes))


def mean_lost_broker_minutes(outcomes: list[ReleaseOutcome]) -> float:
    """Return the mean goodput lost by a release, 0 of none."""
    return sum(outcome.lost_broker_minutes for outcome in outcomes) / max(1, len(outcomes))


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_RELEASES))
