"""Releases with and without planted defects, over fleets of processes.

`.venv/bin/python benchmarks/rollouts.py [EACH] [AT_ONCE]`: EACH sound and EACH defective releases, defects in
turn, on fleets of four brokers, AT_ONCE fleets in parallel. Exit code 1 where a defective release was
completed, or a sound one was stopped or held.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Final, NamedTuple

from heathwell.testing.simulation.controller_process import RolloutPlan
from heathwell.testing.simulation.planted_versions import DEFECTS, Defect, plant_version
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

SETTINGS: Final = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
RELEASES_PER_FLEET: Final = 6  # after which a new fleet is started
DEFAULT_ARGUMENTS: Final = (60, 4)  # releases of each kind, fleets at once
WARM_UP_SECONDS: Final = 6
LOAD_DURATION_SECONDS: Final = 3_600.0
RELEASE_TIMEOUT_SECONDS: Final = 240.0
QUERIES_PER_SECOND: Final = 40.0
SOUND: Final = "good"  # the printed name of a release without a defect
HARNESS: Final = "harness"  # the printed name of a fault of the benchmark itself
PRINTED_REASON_LENGTH: Final = 140
KEPT_ERROR_LENGTH: Final = 300


class HistoryRow(NamedTuple):
    """A change of state in the stored record of a rollout."""

    before: str
    after: str
    reason: str
    stage: int
    number: int


@dataclass(frozen=True, slots=True)
class Release:
    """How one release ended, and the last stage that it reached."""

    name: str  # of the defect, SOUND or HARNESS
    state: str
    stage: int
    duration_seconds: float
    reason: str

    @property
    def is_as_expected(self) -> bool:
        """Whether a sound release was completed, or a defective one rolled back."""
        return self.state == ("done" if self.name == SOUND else "undone")


class UnexpectedEndError(Exception):
    """A release, or the return to the old version after it, did not end in a final state."""


class ReleaseFleet:
    """A fleet of processes under load, to which releases are made one after another."""

    def __init__(self, fleet: RolloutFleet) -> None:
        self._fleet = fleet

    def release(self, number: int, defect: str) -> Release:
        """Make one release; a completed one is reverted, so that the next starts from the old version.

        Raise :class:`UnexpectedEndError` where it ends neither completed nor rolled back.
        """
        version = f"v{number + 2}"
        program = plant_version(self._fleet.folder, version, Defect(defect) if defect else None)
        plan = RolloutPlan(version, program=program, name=f"change{number}")
        result = self._fleet.start_controller(plan).finish(timeout_seconds=RELEASE_TIMEOUT_SECONDS)
        history = [HistoryRow(*row) for row in result.history]
        return Release(
            name=defect or SOUND,
            state=result.state or "?",
            stage=max((row.stage for row in history), default=0),
            duration_seconds=result.duration_seconds,
            reason="; ".join(row.reason for row in history if row.after in ("undoing", "held")),
        )

    def restore(self, number: int, release: Release) -> None:
        """Return to the old version; raise :class:`UnexpectedEndError` where that is not possible."""
        if release.state == "done":
            self._revert(number)
        elif release.state != "undone":
            raise UnexpectedEndError(f"neither done nor undone: {release.state} {release.reason}")

    def _revert(self, number: int) -> None:
        version = f"v{number + 2}"
        plan = RolloutPlan(
            f"back{number}",
            program=self._fleet.old_program,
            name=f"back{number}",
            old_version=version,
            old_program=self._fleet.folder / version,
            stages="100%",
            min_stage_duration="1s",
            max_stage_duration="2s",
            proof_stage="none",
        )
        result = self._fleet.start_controller(plan).finish()
        if result.exit_code:
            raise UnexpectedEndError(f"the way back failed: {result.output[-KEPT_ERROR_LENGTH:]}")
        self._fleet.old_version = f"back{number}"


def run_releases(defects: list[str]) -> list[Release]:
    """Return the releases of one fleet, one after another; an empty defect is a sound release.

    An error of the benchmark itself is returned as a last release of that name.
    """
    folder = Path(tempfile.mkdtemp(prefix="heathwell-"))
    write_service_settings(SETTINGS, folder / "market.sx")
    releases: list[Release] = []
    try:
        with RolloutFleet(
            folder / "run", folder / "market.sx", machine_count=2, arrival_rate=QUERIES_PER_SECOND
        ).running() as running:
            running.begin_load(LOAD_DURATION_SECONDS)
            time.sleep(WARM_UP_SECONDS)
            fleet = ReleaseFleet(running)
            for number, defect in enumerate(defects):
                releases.append(fleet.release(number, defect))
                fleet.restore(number, releases[-1])
    except Exception as error:  # noqa: BLE001  # whatever it is: it is counted as a wrong end
        releases.append(Release(HARNESS, "?", 0, 0.0, repr(error)[:KEPT_ERROR_LENGTH]))
    shutil.rmtree(folder, ignore_errors=True)
    return releases


def _run_all(each: int, max_parallel: int) -> list[Release]:
    """Run all fleets, and print a line for each release."""
    names = list(DEFECTS)
    defects = ["" if number % 2 else names[number // 2 % len(names)] for number in range(2 * each)]
    batches = [
        defects[first : first + RELEASES_PER_FLEET] for first in range(0, len(defects), RELEASES_PER_FLEET)
    ]
    releases = []
    with ProcessPoolExecutor(max_parallel, max_tasks_per_child=1) as pool:
        for batch in pool.map(run_releases, batches):
            for release in batch:
                releases.append(release)
                print(
                    f"{release.name}: {release.state} at stage {release.stage} after "
                    f"{release.duration_seconds:.0f} s: {release.reason[:PRINTED_REASON_LENGTH]}",
                    flush=True,
                )
    return releases


def _print_row(name: str, releases: list[Release]) -> None:
    states = [release.state for release in releases]
    stages = sorted({release.stage for release in releases})
    mean_seconds = sum(release.duration_seconds for release in releases) / len(releases)
    wrong_count = sum(not release.is_as_expected for release in releases)
    print(
        f"{name}: {len(releases)}, {states.count('done')} done, {states.count('undone')} undone; "
        f"stages {stages}; {mean_seconds:.0f} s each; {wrong_count} wrong"
    )


def main(each: int, max_parallel: int) -> int:
    """Make all releases and print a table by defect."""
    started_at_seconds = time.monotonic()
    releases = _run_all(each, max_parallel)
    releases_by_name: dict[str, list[Release]] = defaultdict(list)
    for release in releases:
        releases_by_name[release.name].append(release)
    for name, some_releases in releases_by_name.items():
        _print_row(name, some_releases)
    wrong_count = sum(not release.is_as_expected for release in releases)
    print(
        f"{len(releases)} releases in {time.monotonic() - started_at_seconds:.0f} s, "
        f"{wrong_count} not as they should"
    )
    return 1 if wrong_count else 0


if __name__ == "__main__":
    arguments = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(*arguments, *DEFAULT_ARGUMENTS[len(arguments) :])))
