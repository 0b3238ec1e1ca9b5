"""How often the canary analysis finds a regression in one class:
`benchmarks/class_regression.py [RELEASES] [FIRST_SEED] [JOBS]`.

So many releases with one class three points worse, and as many good ones of the same seeds, over the
simulated brokers of `heathwell/testing/simulation/release_experiment.py`. A test runs a few fixed seeds; this
is the rate over many, and no check: it exits with 0.
"""

from __future__ import annotations

import enum
import sys
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import repeat
from typing import Final

from heathwell.fleet.rollout import RolloutState
from heathwell.testing.simulation.release_experiment import Policy, ReleaseExperiment
from heathwell.testing.simulation.release_fleet import Defect

COMPARED_POLICIES: Final = (Policy.CANARY_ANALYSIS, Policy.THRESHOLDS)
DEFAULT_ARGUMENTS: Final = (200, 0, 2)


class ReleaseEnd(enum.StrEnum):
    """How a release ended."""

    ROLLED_BACK = "undone"
    HELD = "held"
    DONE = "done"
    NOT_ENDED = "not over"


FOUND: Final = (ReleaseEnd.ROLLED_BACK, ReleaseEnd.HELD)


@dataclass(frozen=True, slots=True)
class ReleaseResult:
    """One release; ``worse_class`` is the class that its seed draws to regress."""

    seed: int
    worse_class: str
    end: ReleaseEnd


def run_once(seed: int, defect: Defect | None, policy: Policy) -> ReleaseResult:
    """Run one release and return its result."""
    release = ReleaseExperiment(seed, defect, policy=policy)
    outcome = release.run()
    state = release.controller.state
    if state is RolloutState.DONE:
        end = ReleaseEnd.DONE
    elif state is RolloutState.HELD:
        end = ReleaseEnd.HELD
    else:
        end = ReleaseEnd.ROLLED_BACK if outcome.stopped else ReleaseEnd.NOT_ENDED
    return ReleaseResult(seed, release.fleet.worse_class, end)


def main(releases: int, first_seed: int, jobs: int) -> None:
    """Print a line for each policy, and one for each class that regressed."""
    seeds = range(first_seed, first_seed + releases)
    with ProcessPoolExecutor(jobs) as pool:
        for policy in COMPARED_POLICIES:
            worse = list(pool.map(run_once, seeds, repeat(Defect.WORSE_CLASS), repeat(policy)))
            good = list(pool.map(run_once, seeds, repeat(None), repeat(policy)))
            print_policy(policy, worse, good)


def print_policy(policy: Policy, worse: list[ReleaseResult], good: list[ReleaseResult]) -> None:
    """Print the results of the releases with and without the regression."""
    first_seed = worse[0].seed
    last_seed = worse[-1].seed
    print(
        f"{policy}, seeds {first_seed} to {last_seed}: worse class {counts_by_end(worse)}; "
        f"good {counts_by_end(good)}"
    )
    for name in sorted({result.worse_class for result in worse}):
        of_class = [result for result in worse if result.worse_class == name]
        print(f"    {name} worse: {counts_by_end(of_class)}")
    missed_seeds = [result.seed for result in worse if result.end not in FOUND]
    print(f"    not found, seeds: {missed_seeds}", flush=True)


def counts_by_end(results: Iterable[ReleaseResult]) -> str:
    """Return how many releases ended in which way, as text."""
    counts = Counter(result.end for result in results)
    by_end = ", ".join(f"{count} {end}" for end, count in sorted(counts.items()))
    return f"{by_end} of {counts.total()}"


if __name__ == "__main__":
    given_arguments = [int(text) for text in sys.argv[1:]]
    main(*given_arguments, *DEFAULT_ARGUMENTS[len(given_arguments) :])
