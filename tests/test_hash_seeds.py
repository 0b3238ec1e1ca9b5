"""Seeded scenarios have the same result in processes whose strings hash differently (PYTHONHASHSEED).

Each process runs all scenarios and prints a digest of each result: every event, decision and counter in its
order. Run as a module, this file is such a process.
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

from .test_event_orderings_random import play as play_event_orderings

ROOT = Path(__file__).parent.parent
HASH_SEEDS = ("0", "1", "2")
STRING_HASH = "string hash"  # key of a value that must differ between the processes, or nothing is tested
SECOND_US = 1_000_000
CLASSES = ("sale-record", "price-search", "day-report")
MEMBERS = [f"b{number}.{'xyz'[number % 3]}" for number in range(24)]


def release_with_a_worse_class() -> object:
    """Return a release whose new version is worse in one class, with every state of its controller."""
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


def canary_verdicts_on_several_worse_classes() -> object:
    """Return the verdicts of the canary analysis where several query classes are worse at once."""
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


def quotas_under_random_faults() -> object:
    """Return the state of quota coordinators and brokers after a random fault script."""
    scenario = QuotaScenario(1, brokers=8)
    faults = schedule_random_faults(scenario, 6 * SECOND_US, 12 * SECOND_US)
    scenario.run_until(13 * SECOND_US)
    holders = [
        (broker.name, name, holder.quota(broker.clock_us(scenario.now_us)), holder.in_use)
        for broker in scenario.brokers
        if broker.is_running
        for name, holder in broker.program.holders.items()
    ]
    return (
        faults,
        scenario.auditor.units_used,
        scenario.overshoots,
        scenario.message_count,
        scenario.ended_incarnations,
        sorted(scenario.cut_links),
        holders,
    )


def quota_grants_under_excess_demand() -> object:
    """Return the grants of one fraction to members whose demands exceed it together."""
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


def brokers_with_quotas() -> object:
    """Return the event logs of brokers with quotas whose hosts restart into slow start."""
    experiment = QuotaExperiment("lent", "cold return", 1, brokers=3, hosts=9, rate=2.0)
    experiment.run()
    return experiment.events, sorted(experiment.outcomes.counts.items())


def zone_evacuation_and_restore() -> object:
    """Return the events of a fleet that evacuates a killed zone and restores it."""
    scenario = EvacuationScenario(EvacuationVariant.FLEET, Scenario.KILLED, 1, brokers=6, hosts=9, rate=16.0)
    scenario.duration_seconds = 12.0
    scenario.run()
    result = scenario.result()
    assert result.evacuated_after_seconds is not None and result.restored_after_seconds is not None
    return scenario.events, result


def retry_storm() -> object:
    """Return the events of an outage and of the retries after it."""
    parameters = RetryStormParameters(
        clients=40, think_seconds=8.0, outage_seconds=4.0, before_seconds=4.0, after_seconds=4.0
    )
    scenario = RetryStormScenario(Variant.STORM_CONTROL, 2, parameters)
    scenario.run()
    return scenario.events, scenario.record.requests, scenario.state_changes()


def platform_brokers() -> object:
    """Return the counters of platform brokers of which one is killed and one node is replaced."""
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


def random_event_orderings() -> object:
    """Return the events of a random schedule of drains, resets and endpoint updates."""
    return play_event_orderings("poll mode", 3, span_us=3 * SECOND_US)


def random_fault_script() -> object:
    """Return a random fault script for the demonstration fleet."""
    return generate_fault_script(5, load(str(ROOT / "examples" / "market-fleet.sx")))


SCENARIOS: tuple[Callable[[], object], ...] = (
    release_with_a_worse_class,
    canary_verdicts_on_several_worse_classes,
    quotas_under_random_faults,
    quota_grants_under_excess_demand,
    brokers_with_quotas,
    zone_evacuation_and_restore,
    retry_storm,
    platform_brokers,
    random_event_orderings,
    random_fault_script,
)


def digests() -> dict[str, str]:
    """Return a digest of the result of each scenario in this process, and the hash of a string."""
    results = {
        scenario.__name__: hashlib.sha256(repr(scenario()).encode()).hexdigest() for scenario in SCENARIOS
    }
    return {STRING_HASH: str(hash("za")), **results}


def start_process(hash_seed: str) -> subprocess.Popen[str]:
    """Start a process whose strings hash by this seed and that prints its digests."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "tests.test_hash_seeds"]
    return subprocess.Popen(command, cwd=ROOT, env=environment, text=True, stdout=PIPE, stderr=PIPE)


def read_digests(process: subprocess.Popen[str]) -> dict[str, str]:
    """Wait for a process and return the digests that it printed."""
    printed, errors = process.communicate()
    assert process.returncode == 0, errors
    digests_by_scenario: dict[str, str] = json.loads(printed)
    return digests_by_scenario


def test_seeded_scenarios_have_the_same_result_whatever_the_hash_seed():
    processes = [start_process(hash_seed) for hash_seed in HASH_SEEDS]
    results = [read_digests(process) for process in processes]
    assert len({result.pop(STRING_HASH) for result in results}) == len(HASH_SEEDS), (
        "the processes hash strings alike"
    )
    assert all(set(result) == {scenario.__name__ for scenario in SCENARIOS} for result in results)
    differing = [name for name in results[0] if len({result[name] for result in results}) > 1]
    assert not differing, f"outcomes that depend on PYTHONHASHSEED: {', '.join(differing)}"


if __name__ == "__main__":
    print(json.dumps(digests()))
