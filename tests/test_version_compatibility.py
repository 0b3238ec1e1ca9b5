"""Compatibility with the version before the rename.

Its frames, files and settings are read as before, and the same seeds give the same events.

The files in ``tests/files/before_rename`` come from commit ba17013, the last one before the rename. They were
made by running that commit's own code, imported from a checkout of it:

- ``frames.hex``: one line for each type of its ``codec.frames.Any_``, built from the type's fields with a
  value unlike the default in each of them (also in nested records), and encoded by its ``encode``;
- ``rollout.json``: ``Course.record()`` after six events, which end in a hold for a fault on both sides;
- ``agent.json``: the state file of a node agent with two brokers, one of which replaces its process;
  ``agent_restored.json``: what a second agent of that commit restored from it, with both processes alive by a
  stubbed ``start_of``: its encoded view, the processes that it ended, and the state file that it wrote;
- ``day.sx``, ``day.jsonl.gz``: the settings and all events of ``SimulatedScenario(settings, 11,
  duration_seconds=6.0, use_tokens=True)``, one sorted JSON object a line; ``fleet_day.sx``,
  ``fleet_day.jsonl.xz``: those of a scenario with coordinators, budgets, zone evacuation and ages of answers,
  run as in ``SCENARIOS`` below;
- ``day_verdicts.json``, ``fleet_day_verdicts.json``: its auditors' verdicts on these events, and on the same
  ones without every 97th line; ``day_metrics.txt``, ``fleet_day_metrics.txt``: type, name and label names of
  each sample on the admin pages of the scenario's brokers at its end;
- ``schema.txt``: ``schema_page()``; ``examples.json``: each file of ``examples``, loaded and turned into
  built-in types by ``msgspec.to_builtins``, which uses the encoded names;
- ``platform_config.json``: a platform's configuration with three known targets; ``platform_settings.json``:
  what ``gateway.config.read`` made of it, each record as the list of its fields' values in their order.
"""

from __future__ import annotations

import dataclasses
import gzip
import json
import lzma
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import groupby
from pathlib import Path
from typing import Any

import msgspec
import pytest
from prometheus_client import generate_latest
from prometheus_client.parser import text_string_to_metric_families

from heathwell import policy
from heathwell.codec import frames
from heathwell.eventloop import virtual_loop
from heathwell.fleet.control import broker_process, node_agent
from heathwell.fleet.control.rollout_file import ROLLOUT_FILE_NAME
from heathwell.fleet.control.state_file import STATE_FILE_NAME
from heathwell.fleet.rollout import RolloutController, RolloutState
from heathwell.gateway import config as platform_config
from heathwell.settings import load, loads, schema_page
from heathwell.settings.check import loads_as
from heathwell.testing.audit import Event, Verdict, judge, judge_ages, judge_budgets
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.fault_script import Script
from heathwell.testing.simulation.host_faults import HOST_FAULTS, LAG_FAULTS, HostFault
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario

FILES = Path(__file__).parent / "files" / "before_rename"
EXAMPLES = Path(__file__).parent.parent / "examples"
FRAMES = [bytes.fromhex(line) for line in (FILES / "frames.hex").read_text().split()]
LENGTH_BYTES = 4
SCENARIO_SECONDS = 6.0
DAMAGED_EVERY = 97  # events whose index is a multiple of it are missing in a damaged log
OLD_REASON = "attempts tell too little"
PRESENT_REASON = "attempts are too few to judge"
LIVE_PROCESSES = {999999991: 4242, 999999992: 4343}  # start times by process id, as in agent.json


def read_json(name: str) -> Any:
    """Return the content of a JSON file of the old version."""
    return json.loads((FILES / name).read_text())


def tag_of(frame: bytes) -> str:
    """Return the tag of a frame's message type."""
    return msgspec.msgpack.decode(frame[LENGTH_BYTES:])["type"]


# The inner protocol.


def test_the_old_frames_cover_every_message_type() -> None:
    tags = {kind.__struct_config__.tag for kind in frames.AnyMessage.__args__}
    assert {tag_of(frame) for frame in FRAMES} == tags
    assert len(FRAMES) == len(tags)


@pytest.mark.parametrize("frame", FRAMES, ids=tag_of)
def test_an_old_frame_is_decoded_and_encoded_to_the_same_bytes(frame: bytes) -> None:
    (message,) = frames.FrameDecoder().feed(frame)
    assert type(message).__struct_config__.tag == tag_of(frame)
    assert frames.encode(message) == frame


@pytest.mark.parametrize("frame", FRAMES, ids=tag_of)
def test_an_old_frame_sets_every_field_of_its_message(frame: bytes) -> None:
    (message,) = frames.FrameDecoder().feed(frame)
    assert_no_defaults(message)


def assert_no_defaults(record: msgspec.Struct) -> None:
    """Check that each field was set: one whose encoded name was changed would have its default."""
    for info in msgspec.structs.fields(record):
        value = getattr(record, info.name)
        assert value not in (info.default, None, [], {}), info.name
        for nested in value if isinstance(value, list) else [value]:
            if isinstance(nested, msgspec.Struct):
                assert_no_defaults(nested)


# Stored files.


def test_the_old_rollout_record_is_restored_and_written_the_same() -> None:
    text = (FILES / ROLLOUT_FILE_NAME).read_text()
    rollout = RolloutController("change-7", "v1", "v2", {})
    rollout.restore(json.loads(text), term=4)
    assert rollout.state is RolloutState.HELD
    assert rollout.held_for_fault
    assert (rollout.stage, rollout.term, rollout.number) == (1, 4, 6)
    assert rollout.reason == "trouble: both sides"
    assert len(rollout.history) == 6
    assert json.dumps(rollout.to_record()) == text


def test_the_old_state_file_of_a_node_agent_is_restored_and_written_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    signals: list[list[int]] = []
    for module in (broker_process, node_agent):
        monkeypatch.setattr(module, "process_start_ticks", lambda pid: LIVE_PROCESSES.get(pid, 0))
        monkeypatch.setattr(module, "send_signal", lambda pid, number: signals.append([pid, int(number)]))
    state_file = tmp_path / STATE_FILE_NAME
    state_file.write_text((FILES / STATE_FILE_NAME).read_text())
    brokers = [
        broker_process.create_supervised_broker("b0", 0, "127.0.0.1:1", ["--x"]),
        broker_process.create_supervised_broker("b1", 2, "127.0.0.1:2", []),
    ]
    loop, net = virtual_loop(1)

    agent = node_agent.NodeAgent(
        loop, net, "m1", tmp_path, brokers, ["a", "b", "c"], log=lambda *_args, **_fields: None
    )
    agent._save_state()

    expected = read_json("agent_restored.json")
    assert signals == expected["killed"]
    assert frames.encode(agent.view()).hex() == expected["view"]
    assert state_file.read_text() == expected["written"]


# Event logs and metrics.


@dataclass(frozen=True)
class SeededScenario:
    """How a scenario of the fixtures was run and audited; its files begin with its name."""

    name: str
    log_suffix: str
    decompress: Callable[[bytes], bytes]
    seed: int
    rate: float
    faults: tuple[HostFault, ...]
    auditors: dict[str, Callable[[list[Event]], Any]]


def judge_rules(events: list[Event]) -> Verdict:
    """Return the verdict on the six rules, with 20 ms of tolerance."""
    return judge(events, slack=20_000)


SCENARIOS = [
    SeededScenario("day", "gz", gzip.decompress, 11, 30.0, HOST_FAULTS, {"rules": judge_rules}),
    SeededScenario(
        "fleet_day",
        "xz",
        lzma.decompress,
        7,
        15.0,
        HOST_FAULTS + LAG_FAULTS * 3,
        {"rules": judge_rules, "ages": judge_ages, "budgets": judge_budgets},
    ),
]


@dataclass(frozen=True)
class ScenarioRun:
    """A scenario of the fixtures: its old events, and its run by the present version."""

    spec: SeededScenario
    old_events: list[dict[str, Any]]
    simulated: SimulatedScenario

    def verdicts(self, events: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the verdicts of the scenario's auditors on events, as JSON would hold them."""
        lines = from_lines(events)
        found = {name: dataclasses.asdict(auditor(lines)) for name, auditor in self.spec.auditors.items()}
        return json.loads(json.dumps(found))

    def old_verdicts(self) -> Any:
        """Return the verdicts of the old version's auditors."""
        return read_json(f"{self.spec.name}_verdicts.json")


@pytest.fixture(scope="module", params=SCENARIOS, ids=lambda spec: spec.name)
def scenario_run(request: pytest.FixtureRequest) -> ScenarioRun:
    """Run a scenario of the fixtures and return it with its old events."""
    spec: SeededScenario = request.param
    log = spec.decompress((FILES / f"{spec.name}.jsonl.{spec.log_suffix}").read_bytes())
    settings = loads((FILES / f"{spec.name}.sx").read_text())
    simulated = SimulatedScenario(
        settings,
        spec.seed,
        duration_seconds=SCENARIO_SECONDS,
        arrival_rate=spec.rate,
        faults=spec.faults,
        use_tokens=True,
    )
    return ScenarioRun(spec, [json.loads(line) for line in log.decode().splitlines()], simulated.run())


def test_the_auditors_give_the_old_verdicts_on_the_old_events(scenario_run: ScenarioRun) -> None:
    assert scenario_run.verdicts(scenario_run.old_events) == scenario_run.old_verdicts()["whole"]


def test_the_auditors_find_the_old_breaches_in_damaged_logs(scenario_run: ScenarioRun) -> None:
    damaged = [
        event for index, event in enumerate(scenario_run.old_events) if index == 0 or index % DAMAGED_EVERY
    ]
    expected = scenario_run.old_verdicts()["damaged"]
    assert all(verdict["breaches"] for verdict in expected.values())
    assert scenario_run.verdicts(damaged) == expected


def with_present_reason(event: dict[str, Any]) -> dict[str, Any]:
    """Return an old event with the one reason of ``zones`` events that has another text now."""
    if event["ev"] != "zones" or "why" not in event:
        return event
    return event | {"why": event["why"].replace(OLD_REASON, PRESENT_REASON)}


def without_added_fields(event: dict[str, Any]) -> dict[str, Any]:
    """Return a present event without the field that was added: why a query ended, or an attempt was sent."""
    if event["ev"] not in ("final", "send") or "reason" not in event:
        return event
    if event["ev"] == "final":
        assert event["kind"] in ("refused", "failed")
        assert event["reason"] in set(policy.EndReason)
    else:
        assert event["further"] is True
        assert event["reason"] in set(policy.AttemptReason) - {policy.AttemptReason.FIRST}
    return {name: value for name, value in event.items() if name != "reason"}


def in_stated_order(events: list[dict[str, Any]]) -> list[str]:
    """Return events as text, consecutive ``holds`` events of one broker at one instant sorted.

    The old code recorded these in the order of a set of strings, which differed from process to process.
    """
    lines: list[str] = []
    for (kind, *_), group in groupby(events, key=lambda event: (event["ev"], event["t"], event["who"])):
        rows = [json.dumps(event, sort_keys=True) for event in group]
        lines += sorted(rows) if kind == "holds" else rows
    return lines


def test_the_same_seed_gives_the_old_events(scenario_run: ScenarioRun) -> None:
    present = in_stated_order([without_added_fields(event) for event in scenario_run.simulated.events])
    old = in_stated_order([with_present_reason(event) for event in scenario_run.old_events])
    for event, old_event in zip(present, old, strict=True):
        assert event == old_event


def test_metrics_keep_their_names_and_labels(scenario_run: ScenarioRun) -> None:
    samples = set()
    for broker in scenario_run.simulated.fleet.brokers:
        page = generate_latest(broker.admin_server._metrics.registry).decode()
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                samples.add(" ".join([family.type, sample.name, *sorted(sample.labels)]))
    assert sorted(samples) == (FILES / f"{scenario_run.spec.name}_metrics.txt").read_text().splitlines()


# Settings.


def test_the_schema_page_is_unchanged() -> None:
    assert schema_page() == (FILES / "schema.txt").read_text()


def load_example(path: Path) -> Any:
    """Return an example's settings, or its fault script."""
    if path.name.startswith("market"):
        return load(path)
    return loads_as(Script, (), path.read_text(), path.name)


@pytest.mark.parametrize("name", sorted(read_json("examples.json")))
def test_an_example_is_read_as_the_old_settings(name: str) -> None:
    settings = msgspec.to_builtins(load_example(EXAMPLES / name), str_keys=True)
    assert json.loads(json.dumps(settings)) == read_json("examples.json")[name]


def by_position(value: Any) -> Any:
    """Return records as lists of their values, without the names of the fields."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return [by_position(getattr(value, info.name)) for info in dataclasses.fields(value)]
    if isinstance(value, msgspec.Struct):
        return [by_position(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, list | tuple):
        return [by_position(entry) for entry in value]
    assert value is None or isinstance(value, int | float | str)
    return value


def test_a_platform_configuration_is_read_as_the_old_settings() -> None:
    config = platform_config.read((FILES / "platform_config.json").read_bytes())
    assert len(config.known.targets) == 3
    *old_fields, memory_mb = by_position(config)
    assert old_fields == read_json("platform_settings.json")
    assert memory_mb == 96  # in the old file, too, but not read then
