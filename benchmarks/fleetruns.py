"""Seeded runs of processes with faults between them, judged from the event logs alone.

`.venv/bin/python benchmarks/fleetruns.py [RUNS] [FIRST] [AT_ONCE]`: RUNS runs from seed FIRST on, AT_ONCE of
them in parallel. Each has three quota coordinators, six brokers, six endpoints and their clients. Exit code 1
where a budget was exceeded, a rule was broken or a fault could not be injected; the logs and the script of
such a run are kept.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from heathwell.settings import load
from heathwell.testing.audit import judge_budgets
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import load_script
from heathwell.testing.simulation.random_fault_scripts import generate_fault_script

SETTINGS: Final = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
DEFAULT_ARGUMENTS: Final = (50, 1, 3)  # runs, first seed, runs at once


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run; ``held_fractions`` are the greatest held fractions of the budgets' limits, by budget."""

    seed: int
    folder: Path
    breaches: list[str]
    quota_change_count: int = 0
    use_count: int = 0
    held_fractions: dict[str, float] = field(default_factory=dict)


def run(seed: int) -> RunResult:
    """Play one random fault script and judge it; the folder of a run without breaches is removed."""
    folder = Path(tempfile.mkdtemp(prefix=f"heathwell-{seed}-"))
    (folder / "market.sx").write_text(SETTINGS.read_text().replace("(level info)", "(level error)"))
    script_path = folder / "day.sx"
    script_path.write_text(generate_fault_script(seed, load(SETTINGS)))
    scenario = FaultScenario(*load_script(str(script_path)), folder=folder / "out", report=lambda _text: None)
    try:
        verdict = scenario.run()
        budget_verdict = judge_budgets(scenario.logged)
    except Exception as error:  # noqa: BLE001  # whatever it is: a run without a verdict is a failed one
        return RunResult(seed, folder, [f"not judged: {error!r}"])
    breaches = [
        *(f"budget: {text}" for text in budget_verdict.breaches),
        *map(str, verdict.breaches),
        *(f"not made: {text}" for text in scenario.injection_errors),
    ]
    if not budget_verdict.uses:
        breaches.append("nothing was used")
    if not breaches:
        shutil.rmtree(folder)
    return RunResult(
        seed,
        folder,
        breaches,
        quota_change_count=budget_verdict.lines,
        use_count=budget_verdict.uses,
        held_fractions=budget_verdict.nearest,
    )


def _run_all(run_count: int, first_seed: int, max_parallel: int) -> list[RunResult]:
    """Run all seeds, and print a line for each run with breaches as soon as it is known."""
    results = []
    seeds = range(first_seed, first_seed + run_count)
    with ProcessPoolExecutor(max_parallel, max_tasks_per_child=1) as pool:
        for result in pool.map(run, seeds):
            results.append(result)
            if result.breaches:
                print(
                    f"seed {result.seed}: {result.breaches[0]} (and {len(result.breaches) - 1} more); "
                    f"{result.folder}",
                    flush=True,
                )
    return results


def _greatest_held_fractions(results: list[RunResult]) -> dict[str, float]:
    greatest: dict[str, float] = {}
    for result in results:
        for budget, fraction in result.held_fractions.items():
            greatest[budget] = max(greatest.get(budget, 0.0), fraction)
    return greatest


def main(run_count: int, first_seed: int, max_parallel: int) -> int:
    """Print a line for each run with breaches and a summary."""
    began_at_seconds = time.monotonic()
    results = _run_all(run_count, first_seed, max_parallel)
    failed_count = sum(bool(result.breaches) for result in results)
    held = ", ".join(
        f"{budget} {fraction:.2f}" for budget, fraction in sorted(_greatest_held_fractions(results).items())
    )
    print(
        f"{run_count} runs from seed {first_seed}: {failed_count} with anything wrong; "
        f"{sum(result.quota_change_count for result in results)} changes of shares and "
        f"{sum(result.use_count for result in results)} uses "
        f"judged; most held of what may be: {held}; {time.monotonic() - began_at_seconds:.0f} s"
    )
    return 1 if failed_count else 0


if __name__ == "__main__":
    arguments = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(*arguments, *DEFAULT_ARGUMENTS[len(arguments) :])))
