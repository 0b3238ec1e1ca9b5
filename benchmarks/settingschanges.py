"""Random changes of settings under load, one in three with a fault.

`.venv/bin/python benchmarks/settingschanges.py [COUNT [SEED]]`: one fleet of four brokers. Exit code 1 where
a faulty change was completed, a sound one was not, a rule was broken, or a query was not decided under one
version from its start to its answer.
"""

from __future__ import annotations

import random
import re
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from heathwell.testing.audit import Event, judge, read_logs
from heathwell.testing.simulation.controller_process import RolloutPlan, RolloutResult
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

SETTINGS: Final = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
DEFAULT_ARGUMENTS: Final = (100, 1)  # changes, seed
LOAD_DURATION_SECONDS: Final = 3_600.0
WARM_UP_SECONDS: Final = 5
FLUSH_SECONDS: Final = 1  # for the brokers to write their logs
QUERIES_PER_SECOND: Final = 30.0
CHANGES_PER_FAULT: Final = 3  # the last of so many is faulty
SOUND: Final = "good"  # the printed name of a change without a fault
PRINTED_VIOLATIONS: Final = 3
PRINTED_OUTPUT_LENGTH: Final = 200


@dataclass(frozen=True, slots=True)
class Replacement:
    """A replacement in the text of a settings file."""

    pattern: str
    text: str

    def apply(self, settings: str) -> str:
        """Return the settings with all matches replaced."""
        return re.sub(self.pattern, self.text, settings)


@dataclass(frozen=True, slots=True)
class NumberRange:
    """A key whose number may change under load, the range it is drawn from, and its unit."""

    key: str
    lowest: int
    highest: int
    unit: str = ""

    def draw(self, settings: str, draws: random.Random) -> str:
        """Return the settings with a drawn number for the key."""
        number = draws.randint(self.lowest, self.highest)
        return re.sub(rf"\({self.key} \d+{self.unit}\)", f"({self.key} {number}{self.unit})", settings)


# Those that are well formed but harmful are detected by their effect.
FAULTS: Final = {
    "not closed": Replacement(r"\(limits", "(limits ("),
    "unknown key": Replacement(r"\(attempts ", "(attemps "),
    "no host holds it": Replacement(r"\(shards 24\)", "(shards 48)"),
    "dropped keys": Replacement(r"\(keys sale .*\)", ""),
    "other nature": Replacement(r"\(repeat keyed\) \(dedup 750ms\)", "(repeat unsafe)"),
    "far": Replacement(r"\(limit 2s\)", "(limit 30s)"),
    "a cap for nobody": Replacement(r"\(open-cap \d+\)", "(open-cap 4)"),
    "harmful": Replacement(r"\(open-cap \d+\)", "(open-cap 10)"),
}
SOUND_CHANGES: Final = (
    NumberRange("open-cap", 500, 900),
    NumberRange("attempts", 3, 5),
    NumberRange("max-advice", 300, 700, "ms"),
    NumberRange("worth", 1, 4),
)


def draw_sound_settings(settings: str, draws: random.Random) -> str:
    """Return another sound settings file: numbers that may change under load."""
    for number_range in SOUND_CHANGES:
        settings = number_range.draw(settings, draws)
    return settings


def version_conflicts(events: list[Event]) -> list[str]:
    """Return a line for each query that was not decided under one version."""
    admitted = {event["q"]: event["ver"] for event in events if event.ev == "take"}
    return [
        f"{event['q']}: taken under {admitted[event['q']]}, answered under {event['ver']}"
        for event in events
        if event.ev == "final" and event["q"] in admitted and admitted[event["q"]] != event["ver"]
    ]


@dataclass(slots=True)
class SettingsChanges:
    """Makes changes to a running fleet one after another and counts how they end."""

    fleet: RolloutFleet
    draws: random.Random
    settings: str
    version: str
    ends: Counter[str] = field(default_factory=Counter)  # by kind and final state, as printed
    unexpected_count: int = 0

    def make(self, number: int) -> None:
        """Make one change; raise :class:`ValueError` where it would alter nothing."""
        is_faulty = number % CHANGES_PER_FAULT == CHANGES_PER_FAULT - 1
        kind = self.draws.choice(sorted(FAULTS)) if is_faulty else SOUND
        changed_settings = (
            FAULTS[kind].apply(self.settings) if is_faulty else draw_sound_settings(self.settings, self.draws)
        )
        if changed_settings == self.settings:
            raise ValueError(f"change {number}, {kind}: nothing was changed")
        path = self.fleet.folder / f"s{number}.sx"
        path.write_text(changed_settings)
        result = self._roll_out(number, path)
        state = result.state or "refused"
        self.ends[f"{kind}: {state}"] += 1
        if state == "done":
            self.version = f"s{number}"
            self.settings = changed_settings
            self.fleet.config = path
        if (state == "done") == is_faulty:
            self.unexpected_count += 1
            print(
                f"change {number}, {kind}: {state}: {result.reason} {result.output[-PRINTED_OUTPUT_LENGTH:]}",
                flush=True,
            )

    def _roll_out(self, number: int, path: Path) -> RolloutResult:
        plan = RolloutPlan(
            f"s{number}",
            settings=path,
            name=f"change{number}",
            old_version=self.version,
            old_settings=self.fleet.config,
            stages="50%,100%",
            min_stage_duration="5s",
            max_stage_duration="20s",
            proof_stage="50%",
        )
        return self.fleet.start_controller(plan).finish(undo_held=True)


@dataclass(frozen=True, slots=True)
class ChangesRun:
    """A finished run: how changes ended, and what the fleet came to run."""

    ends: Counter[str]
    unexpected_count: int
    ends_on_last_version: bool
    max_starts: int  # of a broker
    events: list[Event]


def run_changes(count: int, seed: int) -> ChangesRun:
    """Make ``count`` changes on one fleet."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-"))
    config = folder / "market.sx"
    write_service_settings(SETTINGS, config)
    with RolloutFleet(
        folder / "run", config, machine_count=2, arrival_rate=QUERIES_PER_SECOND
    ).running() as fleet:
        fleet.begin_load(LOAD_DURATION_SECONDS)
        time.sleep(WARM_UP_SECONDS)
        changes = SettingsChanges(fleet, random.Random(seed), config.read_text(), fleet.old_version)
        for number in range(count):
            changes.make(number)
        ends_on_last_version = fleet.wait_for_version(changes.version)
        max_starts = max(running.run for running in fleet.broker_statuses().values())
        time.sleep(FLUSH_SECONDS)
        fleet.end_load()
    return ChangesRun(
        changes.ends,
        changes.unexpected_count,
        ends_on_last_version,
        max_starts,
        read_logs([fleet.events]),
    )


def main(count: int, seed: int) -> int:
    """Make all changes, judge the run and print a summary."""
    began_at_seconds = time.monotonic()
    run = run_changes(count, seed)
    verdict = judge(run.events)
    conflicts = version_conflicts(run.events)
    for end, end_count in sorted(run.ends.items()):
        print(f"{end}: {end_count}")
    print(
        f"{count} changes in {time.monotonic() - began_at_seconds:.0f} s: "
        f"{run.unexpected_count} not as they should; ends on the last good one: "
        f"{run.ends_on_last_version}; processes started a broker: {run.max_starts}; "
        f"{verdict.counts['queries']} queries, {len(conflicts)} under two versions, "
        f"{len(verdict.breaches)} rules broken"
    )
    for line in [*conflicts[:PRINTED_VIOLATIONS], *map(str, verdict.breaches[:PRINTED_VIOLATIONS])]:
        print(line)
    is_sound = not (run.unexpected_count or conflicts or verdict.breaches)
    return 0 if is_sound and run.ends_on_last_version else 1


if __name__ == "__main__":
    arguments = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(*arguments, *DEFAULT_ARGUMENTS[len(arguments) :])))
