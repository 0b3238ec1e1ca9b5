"""Rolling change over processes: agents, their brokers, a controller, hosts, keepers and clients, with faults
between.

The short cases run in `make test`, the others by `make test-fleet`; many releases by
`benchmarks/rollouts.py`.
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
fleet_only = pytest.mark.fleet


@pytest.fixture
def fleet(tmp_path):
    settings = write_service_settings(ROOT / "examples/market-fleet.sx", tmp_path / "market.sx")
    with RolloutFleet(tmp_path / "run", settings, machine_count=2).running() as running:
        yield running


def rules(fleet):
    fleet.end_load()
    return judge(read_logs([fleet.events]))


def wait_changed(fleet, brokers):
    """Until so many run the new version, or for a minute: what follows shows which."""
    until = time.monotonic() + 60
    while (
        time.monotonic() < until
        and sum(run.version == "v2" for run in fleet.broker_statuses().values()) < brokers
    ):
        time.sleep(0.1)


def states(change):
    return [after for _, after, *_ in change.record["history"]]


def test_a_good_change_goes_to_all_and_no_query_is_lost(fleet):
    fleet.begin_load()
    change = fleet.start_controller(
        RolloutPlan("v2", program=plant_version(fleet.folder, "v2"), **SHORT)
    ).finish()
    assert change.exit_code == 0, change.output
    assert {running.version.rstrip("~") for running in fleet.broker_statuses().values()} == {"v2"}
    assert all(running.deaths == 0 for running in fleet.broker_statuses().values())
    verdict = rules(fleet)
    assert verdict.kept, verdict.breaches[:5]
    kinds = {outcome.kind for outcome in fleet.clients.outcomes}
    assert not kinds & {"broken", "lost", "no broker", "failed"}, kinds  # no connect refused, no query lost


def test_a_version_that_lies_is_never_served_and_one_that_dies_is_undone(fleet):
    fleet.begin_load()
    lies = fleet.start_controller(
        RolloutPlan("v2", program=plant_version(fleet.folder, "v2", Defect.FALSE_DIGEST), **SHORT)
    ).finish()
    assert lies.exit_code == 1 and states(lies)[-2:] == ["undoing", "undone"]
    dies = fleet.start_controller(
        RolloutPlan(
            "v3",
            program=plant_version(fleet.folder, "v3", Defect.DIES_AFTER_A_WHILE),
            name="second",
            stages="1,50%,100%",
            min_stage_duration="14s",
            max_stage_duration="20s",
            proof_stage="none",
        )
    ).finish()
    assert dies.exit_code == 1 and "died" in " ".join(why for _, _, why, *_ in dies.record["history"])
    assert fleet.wait_for_version("v1")


def test_settings_go_in_under_load_without_a_restart_and_no_query_sees_two_versions(fleet):
    fleet.begin_load()
    time.sleep(2)
    (fleet.folder / "new.sx").write_text(fleet.config.read_text().replace("(attempts 4)", "(attempts 3)"))
    change = fleet.start_controller(RolloutPlan("s2", settings=fleet.folder / "new.sx", **SHORT)).finish()
    assert change.exit_code == 0 and fleet.wait_for_version("s2"), change.output
    assert all(
        running.run <= 2 for running in fleet.broker_statuses().values()
    )  # one was started again to see how it ends
    fleet.end_load()
    events = read_logs([fleet.events])
    taken = {event["q"]: event["ver"] for event in events if event.ev == "take"}
    finals = [event for event in events if event.ev == "final"]
    assert all(taken[event["q"]] == event["ver"] for event in finals) and len(set(taken.values())) == 2
    assert [event for event in events if event.ev == "settings"]
    verdict = judge(events)
    assert verdict.kept, verdict.breaches[:5]


POINTS = (
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
    [("after judging 0", "wish b1"), *(pytest.param((point,), marks=fleet_only) for point in POINTS)],
)
def test_a_controller_killed_at_a_step_goes_on_and_repeats_nothing(fleet, points):
    fleet.begin_load()
    new = plant_version(fleet.folder, "v2")
    for point in points:
        killed = fleet.start_controller(
            RolloutPlan("v2", program=new, extra_arguments=("--crash-at", point), **SHORT)
        ).finish()
        assert killed.exit_code == -signal.SIGKILL, killed.output
    change = fleet.start_controller(RolloutPlan("v2", program=new, **SHORT)).finish()
    assert change.exit_code == 0 and change.record["state"] == "done", change.output
    numbers = [number for *_, number in change.record["history"]]
    assert numbers == sorted(set(numbers))  # each step once
    runs = fleet.broker_statuses().values()
    assert {running.version.rstrip("~") for running in runs} == {"v2"} and max(
        running.run for running in runs
    ) <= 4
    assert rules(fleet).kept


@fleet_only
@pytest.mark.parametrize("point", ["before undoing 0", "after undoing 0", "wish b0"])
def test_a_controller_killed_as_it_undoes_ends_undone(fleet, point):
    fleet.begin_load()
    new = plant_version(fleet.folder, "v2", Defect.DOES_NOT_START)
    fleet.start_controller(
        RolloutPlan("v2", program=new, extra_arguments=("--crash-at", point), **SHORT)
    ).finish()
    change = fleet.start_controller(RolloutPlan("v2", program=new, **SHORT)).finish()
    assert change.exit_code == 1 and change.record["state"] == "undone" and fleet.wait_for_version("v1")


@fleet_only
def test_a_machine_that_is_cut_off_comes_to_the_fleets_version(fleet):
    """Cut off while all others are undone, it goes on with the new one, and is undone as it is back."""
    fleet.begin_load()
    controller = fleet.start_controller(
        RolloutPlan(
            "v2",
            program=plant_version(fleet.folder, "v2"),
            stages="50%,100%",
            min_stage_duration="30s",
            max_stage_duration="40s",
            proof_stage="none",
        )
    )
    wait_changed(fleet, 2)
    cut = [
        name
        for name, machine in fleet.machines.items()
        if any(fleet.broker_statuses()[broker].version == "v2" for broker in machine.brokers)
    ][0]
    fleet.links.inject_fault(["controller"], [cut], "cut", 8_000_000)
    time.sleep(3)
    said = subprocess.run(
        [
            sys.executable,
            "-m",
            "heathwell",
            "rollout",
            "undo",
            "--why",
            "a drill",
            "--state",
            str(fleet.folder / "change"),
        ],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert said.returncode == 0 and "undoing" in said.stdout, said
    change = controller.finish()
    assert change.exit_code == 1 and fleet.wait_for_version("v1"), change.output


@fleet_only
def test_a_controller_cut_off_from_half_of_the_machines_in_a_stage_waits_for_them(fleet):
    """Nothing is repeated and nothing is forced: the stage is whole only when all have said so."""
    fleet.begin_load()
    controller = fleet.start_controller(
        RolloutPlan(
            "v2",
            program=plant_version(fleet.folder, "v2"),
            stages="1,50%,100%",
            min_stage_duration="3s",
            max_stage_duration="20s",
            proof_stage="none",
        )
    )
    wait_changed(fleet, 1)
    far = [
        name
        for name, machine in fleet.machines.items()
        if not any(fleet.broker_statuses()[broker].version == "v2" for broker in machine.brokers)
    ]
    assert len(far) == 1 and fleet.links.inject_fault(["controller"], far, "cut", 12_000_000) == 1
    time.sleep(10)
    assert not any(
        fleet.broker_statuses()[broker].version == "v2" for broker in fleet.machines[far[0]].brokers
    )
    change = controller.finish()
    assert change.exit_code == 0 and fleet.wait_for_version("v2"), change.output
    verdict = rules(fleet)
    assert verdict.kept, verdict.breaches[:5]


@fleet_only
def test_two_operators_at_once_are_told_apart_and_one_word_counts(fleet):
    fleet.begin_load()
    controller = fleet.start_controller(
        RolloutPlan(
            "v2",
            program=plant_version(fleet.folder, "v2"),
            stages="50%,100%",
            min_stage_duration="20s",
            max_stage_duration="30s",
            proof_stage="none",
        )
    )
    wait_changed(fleet, 2)
    words = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "heathwell",
                "rollout",
                word,
                "--why",
                f"{word} it",
                "--state",
                str(fleet.folder / "change"),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for word in ("undo", "hold", "undo")
    ]
    codes = [word.wait(30) for word in words]
    for word in words:
        word.communicate()
    change = controller.finish()
    assert (
        change.exit_code == 1 and fleet.wait_for_version("v1") and sorted(codes)[0] == 0 and max(codes) == 1
    )
    whys = [why for _, after, why, *_ in change.record["history"] if after in ("undoing", "held")]
    assert sum("undo by" in why for why in whys) == 1  # the second undo was told that it is undoing


@fleet_only
def test_a_second_controller_is_refused_and_takes_over_when_the_first_is_dead(fleet):
    new = plant_version(fleet.folder, "v2")
    first = fleet.start_controller(
        RolloutPlan(
            "v2",
            program=new,
            stages="1,100%",
            min_stage_duration="60s",
            max_stage_duration="60s",
            proof_stage="none",
        )
    )
    time.sleep(8)
    same = fleet.start_controller(RolloutPlan("v2", program=new, **SHORT)).finish()
    assert same.exit_code == 2 and "lives here already" in same.output
    other = fleet.start_controller(
        RolloutPlan("v3", program=plant_version(fleet.folder, "v3"), name="other", **SHORT)
    )
    time.sleep(8)  # it has another folder, but not the fleet's lease
    assert not (fleet.folder / "other/rollout.json").exists()
    first.kill()
    change = other.finish()
    assert change.exit_code == 0 and fleet.wait_for_version("v3"), change.output


@fleet_only
def test_an_agent_killed_with_a_half_replaced_broker_adopts_what_runs(fleet):
    fleet.begin_load()
    controller = fleet.start_controller(RolloutPlan("v2", program=plant_version(fleet.folder, "v2"), **SHORT))
    until = time.monotonic() + 30
    while time.monotonic() < until and not any(
        r.state in ("replacing", "draining") for r in fleet.broker_statuses().values()
    ):
        time.sleep(0.02)
    at_work, runs = ("replacing", "draining"), fleet.broker_statuses()
    victim = next(
        (
            name
            for name, machine in fleet.machines.items()
            if any(runs[broker].state in at_work for broker in machine.brokers)
        ),
        "m0",
    )
    fleet.restart_agent(victim)
    change = controller.finish()
    assert change.record["state"] in ("done", "undone"), change.output
    assert fleet.wait_for_version("v2" if change.exit_code == 0 else "v1")


@fleet_only
def test_a_zone_lost_in_a_stage_holds_the_change_and_blames_nobody(fleet):
    fleet.begin_load()
    controller = fleet.start_controller(
        RolloutPlan(
            "v2",
            program=plant_version(fleet.folder, "v2"),
            stages="50%,100%",
            min_stage_duration="12s",
            max_stage_duration="30s",
            proof_stage="none",
        )
    )
    wait_changed(fleet, 2)
    time.sleep(6)
    for leaf in fleet.processes.leaves[:4]:
        fleet.processes.kill(leaf.name, 6.0)
    change = controller.finish()
    whys = " ".join(why for _, _, why, *_ in change.record["history"])
    assert change.exit_code == 0 and "died" not in whys, (change.output, whys)


@fleet_only
def test_a_disk_that_is_full_stops_the_change_where_it_is(fleet):
    folder = fleet.folder / "change"
    controller = fleet.start_controller(RolloutPlan("v2", program=plant_version(fleet.folder, "v2"), **SHORT))
    until = time.monotonic() + 30
    while time.monotonic() < until and not (folder / "rollout.json").exists():
        time.sleep(0.05)
    (folder / "rollout.json.part").unlink(missing_ok=True)
    (folder / "rollout.json.part").mkdir()  # no record can be written any more
    time.sleep(6)
    stage = json.loads((folder / "rollout.json").read_text())["stage"]
    assert sum(r.version != "v1" for r in fleet.broker_statuses().values()) <= 1 and stage == 0
    (folder / "rollout.json.part").rmdir()
    change = controller.finish()
    assert change.exit_code == 0 and fleet.wait_for_version("v2"), change.output


@fleet_only
@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ("(keys report (class day-report)   (shape report) (report-parts 4))", "", "no key space"),
        ("(shards 24)", "(shards 48)", "would not agree"),
        ("(limit 2s)", "(limit 20s)", "--far"),
        ("(repeat keyed) (dedup 750ms)", "(repeat unsafe)", "--change-repeat"),
    ],
)
def test_settings_that_are_well_formed_and_would_do_harm_are_refused(fleet, old, new, word):
    text = fleet.config.read_text()
    assert old in text
    (fleet.folder / "new.sx").write_text(text.replace(old, new))
    change = fleet.start_controller(RolloutPlan("s2", settings=fleet.folder / "new.sx", **SHORT)).finish()
    assert change.exit_code == 1 and word in change.record["why"] and states(change) == ["checking", "undone"]


def test_every_planted_defect_finds_its_place():
    for edit in DEFECTS.values():
        assert edit.old in (ROOT / "heathwell" / edit.path).read_text(), edit.path
    assert set(DEFECTS) == set(Defect)
    assert len(DEFECTS) == 9
