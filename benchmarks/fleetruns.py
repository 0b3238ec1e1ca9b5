"""Seeded runs of processes with faults between: `.venv/bin/python benchmarks/fleetruns.py [RUNS] [FIRST]
[AT_ONCE]`.

Three keepers, six brokers, six hosts and their clients a run; budgets and the six rules are judged from logs
alone. Exit code 1 if a budget was overshot, a rule broken, or a fault not made; such a run's logs and script
are kept.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from heathwell.settings import load
from heathwell.testing.audit import judge_budgets
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import load_script
from heathwell.testing.simulation.random_fault_scripts import generate_fault_script

MARKET = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"


def run(seed: int) -> tuple[int, list[str], int, int, dict[str, float], str]:
    """One run: what was wrong, changes of shares and uses judged, the most that was held, and where its logs
    are.
    """
    folder = tempfile.mkdtemp(prefix=f"heathwell-{seed}-")
    (Path(folder) / "market.sx").write_text(MARKET.read_text().replace("(level info)", "(level error)"))
    script = Path(folder) / "day.sx"
    script.write_text(generate_fault_script(seed, load(MARKET)))
    day = FaultScenario(*load_script(str(script)), folder=Path(folder) / "out", report=lambda _text: None)
    try:
        verdict = day.run()
        found = judge_budgets(day.logged)
    except Exception as problem:  # a run that could not be judged has shown nothing
        return seed, [f"not judged: {problem!r}"], 0, 0, {}, folder
    wrong = [
        *(f"budget: {text}" for text in found.breaches),
        *map(str, verdict.breaches),
        *(f"not made: {text}" for text in day.injection_errors),
    ]
    if not found.uses:
        wrong.append("nothing was used")
    if not wrong:
        shutil.rmtree(folder)
    return seed, wrong, found.lines, found.uses, found.nearest, folder


def main(runs: int, first: int, at_once: int) -> int:
    """A line for each run that went wrong, and a sum."""
    began = time.monotonic()
    bad = lines = uses = 0
    nearest: dict[str, float] = {}
    with ProcessPoolExecutor(at_once, max_tasks_per_child=1) as pool:
        for seed, wrong, seen, used, most, folder in pool.map(run, range(first, first + runs)):
            lines, uses = lines + seen, uses + used
            for name, share in most.items():
                nearest[name] = max(nearest.get(name, 0.0), share)
            if wrong:
                bad += 1
                print(f"seed {seed}: {wrong[0]} (and {len(wrong) - 1} more); {folder}", flush=True)
    held = ", ".join(f"{name} {share:.2f}" for name, share in sorted(nearest.items()))
    print(
        f"{runs} runs from seed {first}: {bad} with anything wrong; {lines} changes of shares and "
        f"{uses} uses "
        f"judged; most held of what may be: {held}" + f"; {time.monotonic() - began:.0f} s"
    )
    return 1 if bad else 0


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(numbers + [50, 1, 3][len(numbers) :])))
