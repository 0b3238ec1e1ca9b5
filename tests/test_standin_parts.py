"""Unit tests of the stand-ins' components and of fault scripts: commands, frames, records and names."""

from __future__ import annotations

import json
import random

import msgspec
import pytest

from heathwell.codec import frames
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import virtual_loop
from heathwell.settings import SettingsError, loads
from heathwell.settings.check import loads_as
from heathwell.testing.simulation.bench_day import BenchDayError, load_bench_day
from heathwell.testing.simulation.client_population import Outcome
from heathwell.testing.simulation.fault_script import Script, matching_names
from heathwell.testing.simulation.platform_config import platform_settings
from heathwell.testing.simulation.scenario_report import ScenarioSummary, service_table
from heathwell.testing.simulation.scripted_faults import (
    HOST_FAULTS,
    PROCESS_LINK_FAULTS,
    REGION_LINK_FAULTS,
    ScriptedFault,
)
from heathwell.testing.standins.data import MissingRecord, UnknownOperationError, generate_result
from heathwell.testing.standins.discovery import Discovery
from heathwell.testing.standins.errors import StandInError, UnknownFaultError
from heathwell.testing.standins.fault_commands import parse_fault_kind, reply_to_fault_command
from heathwell.testing.standins.leaf_context import LeafContext
from heathwell.testing.standins.leaf_data import ReceivedAttempt
from heathwell.testing.standins.leaf_faults import LeafFault
from heathwell.testing.standins.leaf_replies import LeafReplies
from heathwell.testing.standins.leaf_result_cache import RESULT_CACHE_SIZE, ResultCache
from heathwell.testing.standins.link_condition import (
    Direction,
    LinkCondition,
    LinkFault,
    LinkFaultCommand,
)
from heathwell.testing.standins.log_follower import LogFollower
from heathwell.testing.standins.part_outcomes import PartOutcome
from heathwell.testing.standins.platform_discovery import EntryList, WatchRequest
from heathwell.testing.standins.platform_frames import ReceivedFrame, decode_call, take_frames
from heathwell.testing.standins.relay import Relay
from heathwell.testing.standins.source import SourceLog

from .fleet import DEMO_SETTINGS

SECOND_US = 1_000_000


@pytest.mark.parametrize("kinds", [LeafFault, LinkFault])
def test_an_unknown_fault_names_the_known_ones(kinds):
    with pytest.raises(UnknownFaultError, match="unknown trouble 'nonsense'") as caught:
        parse_fault_kind(kinds, "nonsense")
    assert caught.value.kind == "nonsense" and caught.value.known_kinds == tuple(kinds)
    assert isinstance(caught.value, StandInError)
    assert all(parse_fault_kind(kinds, kind.value) is kind for kind in kinds)


@pytest.mark.parametrize("name", ["relay", "discovery"])
def test_a_stand_in_replies_with_the_error_of_a_fault_command(name):
    loop, net = virtual_loop(1)
    stand_in = (
        Relay(loop, net.at(name), [])
        if name == "relay"
        else Discovery(loop, net.at(name), loads(DEMO_SETTINGS))
    )
    unknown = reply_to_fault_command(stand_in.inject_fault, frames.FaultCommand("nonsense"))
    assert unknown.text.startswith("unknown trouble 'nonsense'; known: ") and unknown.text.endswith(", heal")
    assert reply_to_fault_command(stand_in.inject_fault, frames.FaultCommand("heal")).text == ""


def test_a_link_command_has_its_direction_end_and_unit():
    command = LinkFaultCommand.from_frame(frames.FaultCommand("oneway", 0.0, 5, "out"), now_us=7)
    assert command.direction is Direction.TO_TARGET and command.ends_at_us == 12
    other = LinkFaultCommand.from_frame(frames.FaultCommand("delay", 0.25, 5, "elsewhere"), now_us=7)
    assert other.direction is Direction.FROM_TARGET and other.delay_us == 250_000
    shortest = LinkFaultCommand.from_frame(frames.FaultCommand("flap"), now_us=0)
    assert shortest.flap_interval_us == 100_000


@pytest.mark.parametrize(("kind", "value"), [("delay", 0.2), ("rate", 1_000.0), ("loss", 0.5)])
def test_a_condition_is_as_before_once_it_is_reset(kind, value):
    condition = LinkCondition()
    command = LinkFaultCommand.from_frame(frames.FaultCommand(kind, value, SECOND_US), now_us=0)
    condition.apply(command)
    assert condition != LinkCondition()
    condition.reset(command.fault)
    assert condition == LinkCondition()


def test_a_restored_follower_catches_up_at_ten_times_real_time():
    follower = LogFollower(SourceLog(100.0), 0, random.Random(1))
    applied_us = follower.advance(SECOND_US)
    follower.inject_fault(LeafFault.RESTORE_OLD_COPY, SECOND_US, 9 * SECOND_US, 0)
    assert follower.reported_us(SECOND_US) == applied_us - 9 * SECOND_US
    # Ten seconds of the log are applied in one.
    assert follower.advance(2 * SECOND_US) == applied_us + SECOND_US


def test_an_overstated_position_ends_with_its_fault():
    follower = LogFollower(SourceLog(100.0), 0, random.Random(1))
    applied_us = follower.advance(SECOND_US)
    follower.inject_fault(LeafFault.OVERSTATE_POSITION, SECOND_US, 3 * SECOND_US, SECOND_US)
    assert follower.reported_us(2 * SECOND_US - 1) == applied_us + 3 * SECOND_US
    assert follower.reported_us(2 * SECOND_US) == applied_us


def test_a_result_is_cached_for_its_window_and_the_oldest_goes_first():
    loop, _net = virtual_loop(1)
    cache = ResultCache(loop)
    for number in range(RESULT_CACHE_SIZE + 1):
        cache.add(f"p{number}", b"r")
    assert cache.find("p0", SECOND_US) is None and cache.find("p1", SECOND_US) == b"r"
    loop.clock.advance(loop.now() + SECOND_US)
    assert cache.find("p1", SECOND_US) == b"r" and cache.find("p1", SECOND_US - 1) is None


def test_an_unknown_operation_is_an_error_and_an_unknown_record_is_a_result():
    assert generate_result("record", 0, "anna:10000", 0, 3) == MissingRecord()
    with pytest.raises(UnknownOperationError, match="'nonsense'"):
        generate_result("nonsense", 0, "anna:1", 0, 3)


def test_only_complete_frames_are_taken_and_a_truncated_call_is_an_error():
    call = nf.encode_call([nf.encode_part("q.1", 1, 240, b"text")])
    buffer = bytearray(call + nf.encode_frame(nf.PROBE) + call[:7])
    taken = list(take_frames(buffer))
    assert [frame.letter for frame in taken] == [nf.CALL, nf.PROBE] and buffer == call[:7]
    assert taken[1] == ReceivedFrame(nf.PROBE, b"")
    assert [part.id for part in decode_call(taken[0].body)] == ["q.1"]
    with pytest.raises(ValueError, match=r"part q\.1: expected a text of 4 bytes, got 3$"):
        list(decode_call(taken[0].body[:-1]))
    with pytest.raises(ValueError, match="expected 4 items, got 3 items"):
        list(decode_call(b"q.1 1 d=240\n"))


def test_the_list_of_discovery_has_the_names_of_the_wire():
    assert msgspec.json.decode(msgspec.json.encode(EntryList(3, True, []))) == {
        "rev": 3,
        "all": True,
        "targets": [],
    }
    assert WatchRequest.from_query("", 5).is_complete
    assert WatchRequest.from_query("from=7&hold_ms=2", 5) == WatchRequest(7, 2_005)


def test_settings_objects_are_independent():
    first = platform_settings()
    first["classes"][0]["worth"] = 9
    first["specifics"]["shards"] = 9
    assert platform_settings()["classes"][0]["worth"] == 2.0
    assert platform_settings(replica_groups=4, shards=8)["specifics"]["shards"] == 8


def test_targets_match_by_name_or_for_all_numbers():
    names = ["b0", "b1", "b12", "leaf1", "discovery"]
    assert matching_names("b*", names) == ["b0", "b1", "b12"]
    assert matching_names("b1", names) == ["b1"] and not matching_names("b", names)
    assert matching_names("discovery*", names) == ["discovery"]


def test_a_host_fault_of_a_script_is_a_fault_of_leaves():
    assert {kind.value for kind in HOST_FAULTS} == {kind.value for kind in LeafFault} - {"die", "heal"}
    links = {kind.value.removeprefix("link-") for kind in REGION_LINK_FAULTS}
    assert links == {kind.value for kind in LinkFault} - {"heal"}
    assert not HOST_FAULTS & REGION_LINK_FAULTS and not PROCESS_LINK_FAULTS & REGION_LINK_FAULTS


def test_a_scripts_kind_is_read_as_an_enum_and_a_wrong_one_lists_them():
    text = '(market "m.sx") (seconds 5) (load (rate 20) (mix price))\n(at 1s {} (to leaf1) (span 2s))\n'
    script = loads_as(Script, (), text.format("silent"), "day.sx")
    assert script.steps[0].kind is ScriptedFault.SILENT
    with pytest.raises(SettingsError, match=r"day.sx:2:\d+: at\[0\].kind: one of back, burst, crash, cut, "):
        loads_as(Script, (), text.format("sailent"), "day.sx")


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "not JSON"),
        ("[]", "'troubles' is missing"),
        ('{"troubles": [], "length": 1, "servers": []}', "'classes' is missing"),
        ('{"troubles": [{"kind": "slow"}], "length": 1, "servers": [], "classes": []}', "missing required"),
    ],
)
def test_a_file_that_is_no_bench_day_is_an_error_with_its_path(tmp_path, text, reason):
    path = tmp_path / "day.json"
    path.write_text(text)
    with pytest.raises(BenchDayError, match=reason) as caught:
        load_bench_day(str(path))
    assert caught.value.path == str(path) and str(caught.value).startswith(f"{path}: ")


def test_a_summary_has_the_names_of_its_readers():
    summary = ScenarioSummary({"a": {"late": 2}}, 1, 3, {"queries": 3}, 0.5, ["x"], 4)
    assert json.loads(summary.to_json()) == {
        "service": {"a": {"late": 2}},
        "off_schedule": 1,
        "asked": 3,
        "judged": {"queries": 3},
        "coldest": 0.5,
        "breaches": ["x"],
        "deaths": 4,
    }


def test_a_table_of_service_has_a_row_for_each_window_with_requests():
    outcomes = [Outcome(0.5, "a", "on time", 0.1), Outcome(11.0, "a", "late", 0.9)]
    heading, first, third, run = service_table(outcomes, 12.0)
    assert heading.split()[:2] == ["a", "asked"]
    assert first.split()[:4] == ["0-5", "s", "1", "100.0%"] and third.split()[0] == "10-15"
    assert run.split()[:5] == ["whole", "run", "2", "50.0%", "50.0%"]


class StepRecorder:
    """An event log and an output that record the order of their calls."""

    is_enabled = True

    def __init__(self):
        self.steps = []

    def __call__(self, event, **_fields):
        """Record the event."""
        self.steps.append(event)

    def flush(self):
        """Record that the log was flushed."""
        self.steps.append("flush")

    def send(self, _stream, _frame):
        """Record that a frame was sent."""
        self.steps.append("send")


@pytest.mark.parametrize("reply", ["result", "score bounds"])
def test_a_reply_is_in_the_log_file_before_it_is_sent(reply):
    """A leaf that is killed right after it sent a reply would otherwise lose the log record of it."""
    loop, _net = virtual_loop(1)
    recorder = StepRecorder()
    context = LeafContext.create(loop, loads(DEMO_SETTINGS), recorder, seed=1, speed=None, address="leaf0:1")
    replies = LeafReplies(context, recorder, log_follower=None)
    request = frames.PartRequest("q1/0", 0, "sale-record", "record", "t1:1", 0, 1_000_000)
    attempt = ReceivedAttempt(request, stream=None, received_at_us=0, broker="b0")
    if reply == "result":
        replies.send_result(attempt, PartOutcome.OK, load=1)
        assert recorder.steps == ["done", "flush", "send"]
    else:
        replies.send_score_bounds(attempt, [1.0])
        assert recorder.steps == ["bound", "flush", "send"]
