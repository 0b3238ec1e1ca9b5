"""Rollouts with processes: agents with brokers, a controller, hosts, coordinators and clients, and faults.

The short cases run in `make test`, the others in `make test-fleet`; `benchmarks/rollouts.py` runs many
releases.
"""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from heathwell.testing.audit import judge, read_logs
from heathwell.testing.simulation.controller_process import RolloutPlan
from heathwell.testing.simulation.planted_versions import DEFECTS, Defect, plant_version
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

ROOT = Path(__file__).resolve().parent.parent
SHORT = {
    "stages": "1,50%,100%",
    "min_stage_duration": "3s",
    "max_stage_duration": "4s",
    "proof_stage": "none",
}
ROLLOUT_COMMAND = (sys.executable, "-m", "heathwell", "rollout")
fleet_only = pytest.mark.fleet


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet of two machines with two brokers each."""
    settings = write_service_settings(ROOT / "examples/market-fleet.sx", tmp_path / "market.sx")
    with RolloutFleet(tmp_path / "run", settings, machine_count=2).running() as running:
        yield running


def rules_verdict(fleet):
    """End the load and return the auditor's verdict on the event logs."""
    fleet.end_load()
    return judge(read_logs([fleet.events]))


def plan_with_stages(version, program, stages, min_stage_duration, max_stage_duration, **options):
    """Return a rollout of a version in stages of the given durations, none of which requires proof."""
    return RolloutPlan(
        version,
        program=program,
        stages=stages,
        min_stage_duration=min_stage_duration,
        max_stage_duration=max_stage_duration,
        proof_stage="none",
        **options,
    )


def start_rollout(fleet, stages, min_stage_duration, max_stage_duration):
    """Create version v2 and start a controller that rolls it out in these stages."""
    program = plant_version(fleet.folder, "v2")
    return fleet.start_controller(
        plan_with_stages("v2", program, stages, min_stage_duration, max_stage_duration)
    )


def start_short_rollout(fleet, defect=None):
    """Create version v2, with a defect if one is given, and start its rollout in short stages."""
    return fleet.start_controller(
        RolloutPlan("v2", program=plant_version(fleet.folder, "v2", defect), **SHORT)
    )


def apply_settings(fleet, text):
    """Roll out settings of the given text in short stages and return how the rollout ended."""
    path = fleet.folder / "new.sx"
    path.write_text(text)
    return fleet.start_controller(RolloutPlan("s2", settings=path, **SHORT)).finish()


def operator_command(fleet, action, reason):
    """Return the command line of an operator's command to the rollout's controller."""
    return [*ROLLOUT_COMMAND, action, "--why", reason, "--state", str(fleet.folder / "change")]


def wait_until(is_reached, seconds, poll_seconds):
    """Wait until the predicate holds or ``seconds`` have passed; the caller asserts which."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and not is_reached():
        time.sleep(poll_seconds)


def wait_until_updated(fleet, broker_count):
    """Wait until ``broker_count`` brokers run version v2, for at most a minute."""

    def is_updated():
        return sum(status.version == "v2" for status in fleet.broker_statuses().values()) >= broker_count

    wait_until(is_updated, seconds=60, poll_seconds=0.1)


def has_updated_broker(fleet, machine):
    """Return whether a broker of the machine runs version v2."""
    return any(fleet.broker_statuses()[broker].version == "v2" for broker in machine.brokers)


def states_of(result):
    """Return the states that the rollout entered, in order."""
    return [after for _, after, *_ in result.record["history"]]


def test_a_good_version_is_rolled_out_to_all_brokers_and_no_query_is_lost(fleet):
    fleet.begin_load()
    result = start_short_rollout(fleet).finish()
    assert result.exit_code == 0, result.output
    assert {status.version.rstrip("~") for status in fleet.broker_statuses().values()} == {"v2"}
    assert all(status.deaths == 0 for status in fleet.broker_statuses().values())
    verdict = rules_verdict(fleet)
    assert verdict.kept, verdict.breaches[:5]
    kinds = {outcome.kind for outcome in fleet.clients.outcomes}
    assert not kinds & {"broken", "lost", "no broker", "failed"}, kinds  # no connect refused, no query lost


def test_a_version_with_a_false_digest_never_serves_and_one_that_crashes_is_rolled_back(fleet):
    fleet.begin_load()
    false_digest = start_short_rollout(fleet, Defect.FALSE_DIGEST).finish()
    assert false_digest.exit_code == 1 and states_of(false_digest)[-2:] == ["undoing", "undone"]
    crashing = fleet.start_controller(
        plan_with_stages(
            "v3",
            plant_version(fleet.folder, "v3", Defect.DIES_AFTER_A_WHILE),
            "1,50%,100%",
            "14s",
            "20s",
            name="second",
        )
    ).finish()
    assert crashing.exit_code == 1 and "died" in " ".join(why for _, _, why, *_ in crashing.record["history"])
    assert fleet.wait_for_version("v1")


def test_settings_are_applied_under_load_without_a_restart_and_each_query_has_one_version(fleet):
    fleet.begin_load()
    time.sleep(2)
    result = apply_settings(fleet, fleet.config.read_text().replace("(attempts 4)", "(attempts 3)"))
    assert result.exit_code == 0 and fleet.wait_for_version("s2"), result.output
    # One broker is restarted, to observe the shutdown of its process.
    assert all(status.run <= 2 for status in fleet.broker_statuses().values())
    fleet.end_load()
    events = read_logs([fleet.events])
    admitted = {event["q"]: event["ver"] for event in events if event.ev == "take"}
    finals = [event for event in events if event.ev == "final"]
    assert all(admitted[event["q"]] == event["ver"] for event in finals) and len(set(admitted.values())) == 2
    assert [event for event in events if event.ev == "settings"]
    verdict = judge(events)
    assert verdict.kept, verdict.breaches[:5]


CRASH_POINTS = (
    "after checking 0",
    "after staging 0",
    "wish b0",
    "after judging 0",
    "after staging 1",
    "wish b1",
    "after judging 1",
    "after staging 2",
    "before done 2",
    "after done 2",
)


@pytest.mark.parametrize(
    "points",
    [("after judging 0", "wish b1"), *(pytest.param((point,), marks=fleet_only) for point in CRASH_POINTS)],
)
def test_a_controller_killed_at_a_step_resumes_and_repeats_no_step(fleet, points):
    fleet.begin_load()
    program = plant_version(fleet.folder, "v2")
    for point in points:
        killed = fleet.start_controller(
            RolloutPlan("v2", program=program, extra_arguments=("--crash-at", point), **SHORT)
        ).finish()
        assert killed.exit_code == -signal.SIGKILL, killed.output
    result = fleet.start_controller(RolloutPlan("v2", program=program, **SHORT)).finish()
    assert result.exit_code == 0 and result.record["state"] == "done", result.output
    numbers = [number for *_, number in result.record["history"]]
    assert numbers == sorted(set(numbers))  # each transition once
    statuses = fleet.broker_statuses().values()
    assert {status.version.rstrip("~") for status in statuses} == {"v2"} and max(
        status.run for status in statuses
    ) <= 4
    assert rules_verdict(fleet).kept


@fleet_only
@pytest.mark.parametrize("point", ["before undoing 0", "after undoing 0", "wish b0"])
def test_a_controller_killed_during_a_rollback_completes_the_rollback(fleet, point):
    fleet.begin_load()
    program = plant_version(fleet.folder, "v2", Defect.DOES_NOT_START)
    fleet.start_controller(
        RolloutPlan("v2", program=program, extra_arguments=("--crash-at", point), **SHORT)
    ).finish()
    result = fleet.start_controller(RolloutPlan("v2", program=program, **SHORT)).finish()
    assert result.exit_code == 1 and result.record["state"] == "undone" and fleet.wait_for_version("v1")


@fleet_only
def test_a_partitioned_machine_is_rolled_back_once_it_is_reachable(fleet):
    """It keeps the new version while all others are rolled back, and follows when it is reachable again."""
    fleet.begin_load()
    controller = start_rollout(fleet, "50%,100%", "30s", "40s")
    wait_until_updated(fleet, 2)
    partitioned = [name for name, machine in fleet.machines.items() if has_updated_broker(fleet, machine)][0]
    fleet.links.inject_fault(["controller"], [partitioned], "cut", 8_000_000)
    time.sleep(3)
    undo = subprocess.run(
        operator_command(fleet, "undo", "a drill"), capture_output=True, text=True, timeout=30, check=False
    )
    assert undo.returncode == 0 and "undoing" in undo.stdout, undo
    result = controller.finish()
    assert result.exit_code == 1 and fleet.wait_for_version("v1"), result.output


@fleet_only
def test_a_stage_waits_for_its_machines_that_are_partitioned_from_the_controller(fleet):
    """No update is repeated or forced: the stage is complete only if all its brokers report the version."""
    fleet.begin_load()
    controller = start_rollout(fleet, "1,50%,100%", "3s", "20s")
    wait_until_updated(fleet, 1)
    partitioned = [name for name, machine in fleet.machines.items() if not has_updated_broker(fleet, machine)]
    assert (
        len(partitioned) == 1
        and fleet.links.inject_fault(["controller"], partitioned, "cut", 12_000_000) == 1
    )
    time.sleep(10)
    assert not any(
        fleet.broker_statuses()[broker].version == "v2" for broker in fleet.machines[partitioned[0]].brokers
    )
    result = controller.finish()
    assert result.exit_code == 0 and fleet.wait_for_version("v2"), result.output
    verdict = rules_verdict(fleet)
    assert verdict.kept, verdict.breaches[:5]


@fleet_only
def test_of_concurrent_operator_commands_one_undo_takes_effect_and_another_is_rejected(fleet):
    fleet.begin_load()
    controller = start_rollout(fleet, "50%,100%", "20s", "30s")
    wait_until_updated(fleet, 2)
    commands = [
        subprocess.Popen(
            operator_command(fleet, action, f"{action} it"),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for action in ("undo", "hold", "undo")
    ]
    codes = [command.wait(30) for command in commands]
    for command in commands:
        command.communicate()
    result = controller.finish()
    assert (
        result.exit_code == 1 and fleet.wait_for_version("v1") and sorted(codes)[0] == 0 and max(codes) == 1
    )
    reasons = [why for _, after, why, *_ in result.record["history"] if after in ("undoing", "held")]
    assert sum("undo by" in why for why in reasons) == 1  # the second undo was rejected


@fleet_only
def test_a_second_controller_is_rejected_and_takes_over_once_the_first_is_killed(fleet):
    program = plant_version(fleet.folder, "v2")
    first = fleet.start_controller(plan_with_stages("v2", program, "1,100%", "60s", "60s"))
    time.sleep(8)
    same_folder = fleet.start_controller(RolloutPlan("v2", program=program, **SHORT)).finish()
    assert same_folder.exit_code == 2 and "lives here already" in same_folder.output
    other = fleet.start_controller(
        RolloutPlan("v3", program=plant_version(fleet.folder, "v3"), name="other", **SHORT)
    )
    time.sleep(8)  # it has another folder, but not the fleet's lease
    assert not (fleet.folder / "other/rollout.json").exists()
    first.kill()
    result = other.finish()
    assert result.exit_code == 0 and fleet.wait_for_version("v3"), result.output


@fleet_only
def test_an_agent_killed_while_it_replaces_a_broker_adopts_the_running_processes(fleet):
    fleet.begin_load()
    controller = start_short_rollout(fleet)
    replacement_states = ("replacing", "draining")

    def is_replacing():
        return any(status.state in replacement_states for status in fleet.broker_statuses().values())

    wait_until(is_replacing, seconds=30, poll_seconds=0.02)
    statuses = fleet.broker_statuses()
    restarted = next(
        (
            name
            for name, machine in fleet.machines.items()
            if any(statuses[broker].state in replacement_states for broker in machine.brokers)
        ),
        "m0",
    )
    fleet.restart_agent(restarted)
    result = controller.finish()
    assert result.record["state"] in ("done", "undone"), result.output
    assert fleet.wait_for_version("v2" if result.exit_code == 0 else "v1")


@fleet_only
def test_a_zone_lost_in_a_stage_is_not_attributed_to_the_new_version(fleet):
    fleet.begin_load()
    controller = start_rollout(fleet, "50%,100%", "12s", "30s")
    wait_until_updated(fleet, 2)
    time.sleep(6)
    for leaf in fleet.processes.leaves[:4]:
        fleet.processes.kill(leaf.name, 6.0)
    result = controller.finish()
    reasons = " ".join(why for _, _, why, *_ in result.record["history"])
    assert result.exit_code == 0 and "died" not in reasons, (result.output, reasons)


@fleet_only
def test_a_rollout_whose_record_cannot_be_written_stops_until_it_can(fleet):
    folder = fleet.folder / "change"
    controller = start_short_rollout(fleet)
    wait_until((folder / "rollout.json").exists, seconds=30, poll_seconds=0.05)
    (folder / "rollout.json.part").unlink(missing_ok=True)
    (folder / "rollout.json.part").mkdir()  # prevents writing the record
    time.sleep(6)
    stage = json.loads((folder / "rollout.json").read_text())["stage"]
    assert sum(status.version != "v1" for status in fleet.broker_statuses().values()) <= 1 and stage == 0
    (folder / "rollout.json.part").rmdir()
    result = controller.finish()
    assert result.exit_code == 0 and fleet.wait_for_version("v2"), result.output


@fleet_only
@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("(keys report (class day-report)   (shape report) (report-parts 4))", "", "no key space"),
        ("(shards 24)", "(shards 48)", "would not agree"),
        ("(limit 2s)", "(limit 20s)", "--far"),
        ("(repeat keyed) (dedup 750ms)", "(repeat unsafe)", "--change-repeat"),
    ],
)
def test_well_formed_settings_that_fail_the_preflight_checks_are_rejected(fleet, old, new, message):
    text = fleet.config.read_text()
    assert old in text
    result = apply_settings(fleet, text.replace(old, new))
    assert (
        result.exit_code == 1
        and message in result.record["why"]
        and states_of(result) == ["checking", "undone"]
    )


def test_each_planted_defect_finds_the_source_text_that_it_replaces():
    for edit in DEFECTS.values():
        assert edit.old in (ROOT / "heathwell" / edit.path).read_text(), edit.path
    assert set(DEFECTS) == set(Defect)
    assert len(DEFECTS) == 9
