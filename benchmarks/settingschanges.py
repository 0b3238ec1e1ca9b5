"""Random changes of settings under load, a third faulty: `.venv/bin/python benchmarks/settingschanges.py
[COUNT]`.

One fleet of four brokers. Exit 1 when a faulty one got through, a good one did not, a rule was broken, or a
query was not decided under one version from its start to its answer.
"""

from __future__ import annotations

import random
import re
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from heathwell.testing.audit import Event, judge, read_logs
from heathwell.testing.simulation.controller_process import RolloutPlan
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

MARKET = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
# Faults of settings: what is replaced by what. Those that are well formed and harmful are judged by what they
# do.
FAULTS = {
    "not closed": (r"\(limits", "(limits ("),
    "unknown key": (r"\(attempts ", "(attemps "),
    "no host holds it": (r"\(shards 24\)", "(shards 48)"),
    "dropped keys": (r"\(keys sale .*\)", ""),
    "other nature": (r"\(repeat keyed\) \(dedup 750ms\)", "(repeat unsafe)"),
    "far": (r"\(limit 2s\)", "(limit 30s)"),
    "a cap for nobody": (r"\(open-cap \d+\)", "(open-cap 4)"),
    "harmful": (r"\(open-cap \d+\)", "(open-cap 10)"),
}


def good(text: str, draws: random.Random) -> str:
    """Another sound file: figures that may change under load."""
    for pattern, low, high, unit in (
        (r"\(open-cap \d+\)", 500, 900, ""),
        (r"\(attempts \d+\)", 3, 5, ""),
        (r"\(max-advice \d+ms\)", 300, 700, "ms"),
        (r"\(worth \d+\)", 1, 4, ""),
    ):
        key = pattern[2 : pattern.index(" ")]
        text = re.sub(pattern, f"({key} {draws.randint(low, high)}{unit})", text)
    return text


def mixed(events: list[Event]) -> list[str]:
    """Queries that were not decided under one version."""
    taken = {event["q"]: event["ver"] for event in events if event.ev == "take"}
    return [
        f"{event['q']}: taken under {taken[event['q']]}, answered under {event['ver']}"
        for event in events
        if event.ev == "final" and event["q"] in taken and taken[event["q"]] != event["ver"]
    ]


def main(count: int, seed: int) -> int:
    """Make them one after another, and judge the whole run."""
    draws, folder = random.Random(seed), Path(tempfile.mkdtemp(prefix="heathwell-"))
    write_service_settings(MARKET, folder / "market.sx")
    began, wrong, ends = time.monotonic(), 0, Counter[str]()
    with RolloutFleet(
        folder / "run", folder / "market.sx", machine_count=2, arrival_rate=30.0
    ).running() as fleet:
        fleet.begin_load(3600.0)
        time.sleep(5)
        last, current = fleet.old_version, (folder / "market.sx").read_text()
        for number in range(count):
            faulty = number % 3 == 2
            kind = draws.choice(sorted(FAULTS)) if faulty else "good"
            wanted = re.sub(*FAULTS[kind], current) if faulty else good(current, draws)
            if wanted == current:
                raise ValueError(f"change {number}, {kind}: nothing was changed")
            path = fleet.folder / f"s{number}.sx"
            path.write_text(wanted)
            change = fleet.start_controller(
                RolloutPlan(
                    f"s{number}",
                    settings=path,
                    name=f"change{number}",
                    old_version=last,
                    old_settings=fleet.config,
                    stages="50%,100%",
                    min_stage_duration="5s",
                    max_stage_duration="20s",
                    proof_stage="50%",
                )
            ).finish(undo_held=True)
            state = change.state or "refused"
            ends[f"{kind}: {state}"] += 1
            if state == "done":
                last, current, fleet.config = f"s{number}", wanted, path
            if (state == "done") == faulty:
                wrong += 1
                print(
                    f"change {number}, {kind}: {state}: {change.reason} {change.output[-200:]}",
                    flush=True,
                )
        same = fleet.wait_for_version(last)
        runs = max(running.run for running in fleet.broker_statuses().values())
        time.sleep(1)
        fleet.end_load()
    events = read_logs([fleet.events])
    verdict, torn = judge(events), mixed(events)
    for name, number in sorted(ends.items()):
        print(f"{name}: {number}")
    print(
        f"{count} changes in {time.monotonic() - began:.0f} s: {wrong} not as they should; ends on "
        f"the last good "
        f"one: {same}; processes started a broker: {runs}; {verdict.counts['queries']} queries, "
        f"{len(torn)} under "
        f"two versions, {len(verdict.breaches)} rules broken"
    )
    for line in [*torn[:3], *map(str, verdict.breaches[:3])]:
        print(line)
    return 1 if wrong or torn or verdict.breaches or not same else 0


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(numbers + [100, 1][len(numbers) :])))
