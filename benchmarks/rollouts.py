"""Releases good and planted bad over fleets of processes: `.venv/bin/python benchmarks/rollouts.py [EACH]
[AT_ONCE]`.

EACH good and EACH bad ones, defects in turn, a fleet of four brokers a row of releases. Exit 1 when a bad one
got through or a good one was stopped or held.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from heathwell.testing.simulation.controller_process import RolloutPlan
from heathwell.testing.simulation.planted_versions import DEFECTS, Defect, plant_version
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

SETTINGS = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
RELEASES_PER_FLEET = 6  # releases of one fleet, after which it is put up anew
Row = tuple[str, str, int, float, str]


def row(defects: list[str]) -> list[Row]:
    """Releases of one fleet, one after another: what each was, how it ended, at which stage, after how long,
    why.
    """
    folder = Path(tempfile.mkdtemp(prefix="heathwell-"))
    write_service_settings(SETTINGS, folder / "market.sx")
    out: list[Row] = []
    try:
        with RolloutFleet(
            folder / "run", folder / "market.sx", machine_count=2, arrival_rate=40.0
        ).running() as fleet:
            fleet.begin_load(3600.0)
            time.sleep(6)
            for number, defect in enumerate(defects):
                tree = plant_version(fleet.folder, f"v{number + 2}", Defect(defect) if defect else None)
                state = f"change{number}"
                change = fleet.start_controller(
                    RolloutPlan(f"v{number + 2}", program=tree, name=state)
                ).finish(timeout_seconds=240.0)
                stage = max((row[3] for row in change.history), default=0)
                why = [row[2] for row in change.history if row[1] in ("undoing", "held")]
                out.append((defect, change.state or "?", stage, change.duration_seconds, "; ".join(why)))
                if change.state == "done":  # the next one begins from the old version again
                    back = fleet.start_controller(
                        RolloutPlan(
                            f"back{number}",
                            program=fleet.old_program,
                            name=f"back{number}",
                            old_version=f"v{number + 2}",
                            old_program=tree,
                            stages="100%",
                            min_stage_duration="1s",
                            max_stage_duration="2s",
                            proof_stage="none",
                        )
                    ).finish()
                    if back.exit_code:
                        raise RuntimeError(f"the way back failed: {back.output[-300:]}")
                    fleet.old_version = f"back{number}"
                elif change.state != "undone":
                    raise RuntimeError(f"neither done nor undone: {change.state} {why}")
    except Exception as problem:
        out.append(("harness", "?", 0, 0.0, repr(problem)[:300]))
    shutil.rmtree(folder, ignore_errors=True)
    return out


def main(each: int, at_once: int) -> int:
    """Play them, and print a table by defect."""
    names = list(DEFECTS)
    defects = ["" if n % 2 else names[n // 2 % len(names)] for n in range(2 * each)]
    fleets = [defects[n : n + RELEASES_PER_FLEET] for n in range(0, len(defects), RELEASES_PER_FLEET)]
    started_at = time.monotonic()
    seen: list[Row] = []
    with ProcessPoolExecutor(at_once, max_tasks_per_child=1) as pool:
        for part in pool.map(row, fleets):
            seen += part
            for defect, state, stage, seconds, why in part:
                print(
                    f"{defect or 'good'}: {state} at stage {stage} after {seconds:.0f} s: {why[:140]}",
                    flush=True,
                )
    by: dict[str, list[Row]] = defaultdict(list)
    for one in seen:
        by[one[0] or "good"].append(one)
    bad = 0
    for name, some in by.items():
        ended = [one[1] for one in some]
        wrong = sum(state != ("done" if name == "good" else "undone") for state in ended)
        bad += wrong
        stages = sorted({one[2] for one in some})
        print(
            f"{name}: {len(some)}, {ended.count('done')} done, {ended.count('undone')} undone; "
            f"stages {stages}; "
            f"{sum(one[3] for one in some) / len(some):.0f} s each; {wrong} wrong"
        )
    print(f"{len(seen)} releases in {time.monotonic() - started_at:.0f} s, {bad} not as they should")
    return 1 if bad else 0


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(numbers + [60, 4][len(numbers) :])))
