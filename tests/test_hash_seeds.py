"""Seeded plays have the same outcome in processes whose strings hash differently (PYTHONHASHSEED).

Each process plays all of them and prints a digest of each whole outcome: every event, decision and figure in
its order. Run as a module, this file is such a process.
"""

from __future__ import annotations

import hashlib
import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from subprocess import PIPE
from typing import Any

from heathwell.fleet.quotas import Budget, BudgetKind, FractionLedger, GrantRequest, Lease
from heathwell.fleet.rollout import (
    AnalysisLimits,
    BrokerWindow,
    CanaryAnalysis,
    Plan,
    QueryStatistics,
    Stage,
)
from heathwell.settings import load
from heathwell.testing.simulation.evacuation_experiment import EvacuationScenario
from heathwell.testing.simulation.evacuation_result import Variant as EvacuationVariant
from heathwell.testing.simulation.multi_broker_scenario import MultiBrokerScenario
from heathwell.testing.simulation.quota_experiment import QuotaExperiment
from heathwell.testing.simulation.quota_faults import schedule_random_faults
from heathwell.testing.simulation.quota_scenario import QuotaScenario
from heathwell.testing.simulation.random_fault_scripts import generate_fault_script
from heathwell.testing.simulation.release_experiment import ReleaseExperiment
from heathwell.testing.simulation.release_fleet import Defect
from heathwell.testing.simulation.retry_storm_experiment import (
    RetryStormParameters,
    RetryStormScenario,
    Variant,
)
from heathwell.testing.simulation.zone_faults import Scenario

from .test_event_orderings_random import play as play_crossings

ROOT = Path(__file__).parent.parent
HASH_SEEDS = ("0", "1", "2")
HASHED = "string hash"  # what must differ between the processes, or nothing is tested
SECOND_US = 1_000_000
CLASSES = ("sale-record", "price-search", "day-report")
MEMBERS = [f"b{number}.{'xyz'[number % 3]}" for number in range(24)]


def judged_release() -> Any:
    """A release with a worse class over a few brokers, with all states that its course went through."""
    stages = (
        Stage(0.0, 10 * SECOND_US, 20 * SECOND_US),
        Stage(0.25, 60 * SECOND_US, 120 * SECOND_US, require_proof=True),
        Stage(1.0, 20 * SECOND_US, 20 * SECOND_US),
    )
    release = ReleaseExperiment(
        1, Defect.WORSE_CLASS, brokers=16, zones=5, rate=40.0, plan=Plan(stages, max_concurrent=8)
    )
    return (
        release.run(),
        release.controller.history,
        release.fleet.zone_losses,
        release.fleet.running_versions,
    )


def ruling_on_many_worse_classes() -> Any:
    """What the judge names where several classes are worse at once."""
    analysis = CanaryAnalysis(AnalysisLimits(), 40)
    windows = [
        BrokerWindow(
            f"b{number}",
            f"z{number % 3}",
            number % 2 == 0,
            {name: QueryStatistics(50, 45.0 - (3 + number % 3) * (number % 2 == 0)) for name in CLASSES},
            1,
        )
        for number in range(12)
    ]
    return [analysis.observe(windows) for _ in range(40)]


def budget_day() -> Any:
    """Keepers and brokers under drawn faults."""
    day = QuotaScenario(1, brokers=8)
    faults = schedule_random_faults(day, 6 * SECOND_US, 12 * SECOND_US)
    day.run_until(13 * SECOND_US)
    holders = [
        (broker.name, name, holder.quota(broker.clock_us(day.now_us)), holder.in_use)
        for broker in day.brokers
        if broker.is_running
        for name, holder in broker.program.holders.items()
    ]
    return (
        faults,
        day.auditor.units_used,
        day.overshoots,
        day.message_count,
        day.ended_incarnations,
        sorted(day.cut_links),
        holders,
    )


def granted_quotas() -> Any:
    """One fraction's grants to members whose demands together are beyond it."""
    ledger = FractionLedger(
        Budget("connections", BudgetKind.COUNT, 1_200, 240, 24, linger_timeout_us=300_000),
        0,
        "k0.1",
        Lease(3_000_000, 0.03),
    )
    return [
        ledger.on_request(
            turn * SECOND_US,
            GrantRequest(member, 5 + 7 * number % 60, turn * SECOND_US, weight=1 + number % 2),
            60 * SECOND_US,
        )
        for turn in range(1, 8)
        for number, member in enumerate(MEMBERS)
    ]


def budgets_in_use() -> Any:
    """Brokers with quotas from keepers, hosts that come back cold, and the event logs of all of them."""
    experiment = QuotaExperiment("lent", "cold return", 1, brokers=3, hosts=9, rate=2.0)
    experiment.run()
    return experiment.events, sorted(experiment.outcomes.counts.items())


def zone_day() -> Any:
    """A zone that is killed, left by the fleet and taken back, with all events."""
    day = EvacuationScenario(EvacuationVariant.FLEET, Scenario.KILLED, 1, brokers=6, hosts=9, rate=16.0)
    day.duration_seconds = 12.0
    day.run()
    result = day.result()
    assert result.evacuated_after_seconds is not None and result.restored_after_seconds is not None
    return day.events, result


def storm_day() -> Any:
    """An outage and the retries after it, with all events."""
    parameters = RetryStormParameters(
        clients=40, think_seconds=8.0, outage_seconds=4.0, before_seconds=4.0, after_seconds=4.0
    )
    day = RetryStormScenario(Variant.STORM_CONTROL, 2, parameters)
    day.run()
    return day.events, day.record.requests, day.state_changes()


def platform_brokers() -> Any:
    """Brokers of the platform, one killed and one node replaced, with what each has counted."""
    world = MultiBrokerScenario(3, 8, 1)
    world.loop.call_at(SECOND_US, world.restart, 1)
    world.loop.call_at(SECOND_US, world.replace, 2)
    world.run(world.load(60.0, 3 * SECOND_US))
    return (
        world.status_counts,
        world.outdated_broker_count(),
        world.loop.turns,
        [sorted(broker.counters.items()) for broker in world.brokers],
    )


def drawn_crossings() -> Any:
    """A drawn schedule of drains, resets and lists, with all events."""
    return play_crossings("asked", 3, span_us=3 * SECOND_US)


def drawn_script() -> Any:
    """The faults of a fleet's day."""
    return generate_fault_script(5, load(str(ROOT / "examples" / "market-fleet.sx")))


PLAYS: tuple[Callable[[], Any], ...] = (
    judged_release,
    ruling_on_many_worse_classes,
    budget_day,
    granted_quotas,
    budgets_in_use,
    zone_day,
    storm_day,
    platform_brokers,
    drawn_crossings,
    drawn_script,
)


def digests() -> dict[str, str]:
    """A digest of each play's whole outcome in this process."""
    found = {play.__name__: hashlib.sha256(repr(play()).encode()).hexdigest() for play in PLAYS}
    return {HASHED: str(hash("za")), **found}


def started(hash_seed: str) -> subprocess.Popen[str]:
    """A process whose strings hash by this seed, at work on its digests."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "tests.test_hash_seeds"]
    return subprocess.Popen(command, cwd=ROOT, env=environment, text=True, stdout=PIPE, stderr=PIPE)


def finished(process: subprocess.Popen[str]) -> dict[str, str]:
    """The digests of a process, once it has them."""
    printed, errors = process.communicate()
    assert process.returncode == 0, errors
    found: dict[str, str] = json.loads(printed)
    return found


def test_seeded_plays_have_the_same_outcome_whatever_strings_hash_to():
    processes = [started(hash_seed) for hash_seed in HASH_SEEDS]
    found = [finished(process) for process in processes]
    assert len({one.pop(HASHED) for one in found}) == len(HASH_SEEDS), "the processes hash strings alike"
    assert all(set(one) == {play.__name__ for play in PLAYS} for one in found)
    differing = [name for name in found[0] if len({one[name] for one in found}) > 1]
    assert not differing, f"outcomes that depend on PYTHONHASHSEED: {', '.join(differing)}"


if __name__ == "__main__":
    print(json.dumps(digests()))
