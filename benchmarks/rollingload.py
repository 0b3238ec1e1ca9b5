"""A sound rollout under load, as clients observe it before, during and after it.

`.venv/bin/python benchmarks/rollingload.py`: six brokers on three machines, 40 queries a second. Exit code 1
where a connection was refused, a query was lost or a rule was broken.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from heathwell.testing.audit import judge, read_logs
from heathwell.testing.simulation.client_population import Outcome
from heathwell.testing.simulation.controller_process import RolloutPlan, RolloutResult
from heathwell.testing.simulation.planted_versions import plant_version
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

SETTINGS: Final = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
WARM_UP_SECONDS: Final = 5.0
BEFORE_SECONDS: Final = 25.0
AFTER_SECONDS: Final = 20.0
MACHINES: Final = 3
FAILED_KINDS: Final = ("lost", "broken", "no broker", "failed")
ANSWERED_KINDS: Final = ("on time", "late", "partial")


@dataclass(frozen=True, slots=True)
class Phase:
    """A time span of the run, by the monotonic clock."""

    name: str
    began_at_seconds: float
    ended_at_seconds: float


@dataclass(frozen=True, slots=True)
class RolloutRun:
    """What a run left: the rollout, the phases around it, and each request's outcome."""

    result: RolloutResult
    phases: tuple[Phase, ...]
    outcomes: list[Outcome]
    load_began_at_seconds: float  # to which the times of outcomes are relative
    events: Path

    def outcomes_in(self, phase: Phase) -> list[Outcome]:
        """Return the outcomes of requests that were due in a phase."""
        return [
            outcome
            for outcome in self.outcomes
            if phase.began_at_seconds
            <= self.load_began_at_seconds + outcome.scheduled_at_seconds
            < phase.ended_at_seconds
        ]


def _run_rollout(folder: Path) -> RolloutRun:
    write_service_settings(SETTINGS, folder / "market.sx")
    with RolloutFleet(folder / "run", folder / "market.sx", machine_count=MACHINES).running() as fleet:
        fleet.begin_load()
        time.sleep(WARM_UP_SECONDS)
        began_at_seconds = time.monotonic()
        time.sleep(BEFORE_SECONDS)
        rollout_at_seconds = time.monotonic()
        plan = RolloutPlan("v2", program=plant_version(fleet.folder, "v2"))
        result = fleet.start_controller(plan).finish()
        ended_at_seconds = time.monotonic()
        time.sleep(AFTER_SECONDS)
        fleet.end_load()
        assert fleet.clients is not None
        return RolloutRun(
            result=result,
            phases=(
                Phase("before", began_at_seconds, rollout_at_seconds),
                Phase("during", rollout_at_seconds, ended_at_seconds),
                Phase("after", ended_at_seconds, ended_at_seconds + AFTER_SECONDS),
            ),
            outcomes=fleet.clients.outcomes,
            load_began_at_seconds=fleet.clients.started_at_seconds,
            events=fleet.events,
        )


def _print_phase(phase: Phase, outcomes: list[Outcome]) -> float:
    """Print the row of a phase and return its 99th percentile of latency (seconds)."""
    latencies_seconds = sorted(
        outcome.duration_seconds for outcome in outcomes if outcome.kind in ANSWERED_KINDS
    )
    p50_seconds = latencies_seconds[len(latencies_seconds) // 2]
    p99_seconds = latencies_seconds[int(len(latencies_seconds) * 0.99)]
    kinds = Counter(outcome.kind for outcome in outcomes)
    print(
        f"{phase.name}: {len(outcomes)} requests in "
        f"{phase.ended_at_seconds - phase.began_at_seconds:.0f} s, p50 {p50_seconds * 1e3:.0f} ms, "
        f"p99 {p99_seconds * 1e3:.0f} ms, " + ", ".join(f"{kind} {count}" for kind, count in kinds.items())
    )
    return p99_seconds


def main() -> int:
    """Run one rollout and print a table by phase."""
    run = _run_rollout(Path(tempfile.mkdtemp(prefix="heathwell-")))
    p99_seconds = {phase.name: _print_phase(phase, run.outcomes_in(phase)) for phase in run.phases}
    verdict = judge(read_logs([run.events]))
    failed_count = sum(outcome.kind in FAILED_KINDS for outcome in run.outcomes)
    print(
        f"the change is {run.result.state} after {run.result.duration_seconds:.0f} s; "
        f"p99 during over before {p99_seconds['during'] / p99_seconds['before']:.2f}, "
        f"after over before {p99_seconds['after'] / p99_seconds['before']:.2f}; "
        f"{failed_count} lost or refused a connect; {len(verdict.breaches)} rules broken"
    )
    return 1 if failed_count or verdict.breaches else 0


if __name__ == "__main__":
    sys.exit(main())
