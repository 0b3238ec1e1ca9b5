"""Commands as processes: signals, exit codes, the command line, a fault scenario and a converted one."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pymemcache
import pytest
from click.testing import CliRunner

from heathwell.cli import main
from heathwell.settings import SettingsError, load, loads
from heathwell.testing.audit import judge, read_logs
from heathwell.testing.simulation.bench_day import BenchDayError
from heathwell.testing.simulation.bench_day_replay import fault_script_from_bench_day
from heathwell.testing.simulation.fault_script import Script, load_script
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record

from .fleet import DEMO_SETTINGS

ROOT = Path(__file__).parent.parent
# Queries take so long that a signal arrives while their parts are in flight.
SLOW_SETTINGS = DEMO_SETTINGS.replace(
    "(aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms)",
    "(aim 4s) (limit 8s) (repeat keyed) (dedup 4s) (work 250ms)",
)
SLOW_SETTINGS = SLOW_SETTINGS.replace("(notice 300ms)", "(notice 1ms)")


COMMAND = (sys.executable, "-m", "heathwell")
POLL_INTERVAL_SECONDS = 0.01


def wait_for(condition, description="", seconds=20.0):
    """Wait until the condition holds and return its value; fail after the timeout."""
    deadline = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < deadline, f"never seen: {description}"
        time.sleep(POLL_INTERVAL_SECONDS)
    return value


def query_until_answered(client, key):
    """Repeat a query until a reply has an answer, and return the answer."""
    for _ in range(100):
        body = json.loads(client.get(key) or b"{}")
        if "coverage" in body:
            return body
    raise AssertionError(body)


def connect(broker):
    """Return a client of a broker."""
    host, _, port = broker.address.rpartition(":")
    return pymemcache.Client((host, int(port)), timeout=10)


def write_run_parameters(folder, service_settings):
    """Write the record of the run, which the auditor reads with the event logs."""
    record = {"t": 0, "who": "run", "ev": "run", "figures": run_parameters_record(service_settings)}
    (folder / "run.jsonl").write_text(json.dumps(record) + "\n")


@pytest.fixture
def slow_fleet(tmp_path):
    """Run a fleet whose queries are slow."""
    config = tmp_path / "m.sx"
    config.write_text(SLOW_SETTINGS)
    fleet = ProcessFleet(str(config), load(config), str(tmp_path / "events"))
    fleet.start()
    yield fleet
    fleet.stop()


def test_sigterm_completes_queries_in_flight_and_exits_0(slow_fleet, tmp_path):
    broker = slow_fleet.brokers[0]
    client = connect(broker)
    query_until_answered(client, "sale:anna:1")
    client.sock.sendall(b"get sale:anna:2\r\n")
    events = tmp_path / "events" / "b0r0.jsonl"
    wait_for(lambda: events.read_text().count('"ev":"send"') >= 2, "a part in flight")
    broker.process.send_signal(signal.SIGTERM)
    reply = b""
    while not reply.endswith(b"END\r\n"):
        received = client.sock.recv(4096)
        assert received, "the broker closed before its reply"
        reply += received
    assert b'"whole":true' in reply
    assert broker.process.wait(20) == 0
    assert events.read_text().splitlines()[-1].count('"ev":"closed"') == 1
    write_run_parameters(tmp_path / "events", slow_fleet.service_settings)
    assert judge(read_logs([tmp_path / "events"])).kept


def test_a_second_sigterm_exits_at_once_also_after_a_host_was_restarted(slow_fleet):
    broker = slow_fleet.brokers[0]
    client = connect(broker)
    query_until_answered(client, "sale:anna:1")
    slow_fleet.kill("leaf0", 0.0)
    assert query_until_answered(client, "price:tea")["whole"] in (True, False)
    client.sock.sendall(b"get sale:anna:2\r\n")
    broker.process.send_signal(signal.SIGTERM)
    broker.process.send_signal(signal.SIGTERM)
    assert broker.process.wait(20) in (0, 1)


def test_fleet_up_writes_its_ready_file_and_exits_on_sigterm(tmp_path):
    config = tmp_path / "m.sx"
    ready_file = tmp_path / "ready.json"
    config.write_text(DEMO_SETTINGS)
    process = subprocess.Popen(
        [
            *COMMAND,
            *("fleet", "up"),
            *("--config", str(config)),
            *("--ready-file", str(ready_file)),
            *("--seconds", "60"),
        ],
        stderr=subprocess.DEVNULL,
    )
    wait_for(lambda: ready_file.exists() or process.poll() is not None, "the ready file")
    table = json.loads(ready_file.read_text())
    assert len(table) == 8 and table["b0"]["admin"].startswith("127.0.0.1:")
    process.send_signal(signal.SIGTERM)
    assert process.wait(30) == 0
    assert not any(Path(f"/proc/{entry['pid']}").exists() for entry in table.values())


def invoke_command(*arguments):
    """Run a command in this process and return its result."""
    return CliRunner().invoke(main, arguments)


def test_check_reports_all_errors_and_exits_2(tmp_path):
    bad = tmp_path / "bad.sx"
    bad.write_text(DEMO_SETTINGS.replace("(aim 1s)", "(aim 1)").replace("(width 3)", "(widht 3)"))
    result = invoke_command("check", str(bad))
    assert result.exit_code == 2
    assert "class[0].aim" in result.output and "did you mean 'width'" in result.output
    assert invoke_command("check", str(tmp_path / "none.sx")).exit_code == 3
    assert invoke_command("check", str(ROOT / "examples/market.sx")).exit_code == 0
    assert invoke_command("schema").output == (ROOT / "docs/settings.md").read_text()


def test_an_address_in_use_is_exit_code_3(tmp_path):
    config = tmp_path / "m.sx"
    config.write_text(DEMO_SETTINGS)
    first = subprocess.Popen(
        [*COMMAND, "discovery", "--config", str(config), "--name", "d"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = json.loads(first.stdout.readline())["address"]
        second = subprocess.run(
            [*COMMAND, "discovery", "--config", str(config), "--name", "e", "--listen", address],
            capture_output=True,
            text=True,
            check=False,
        )
        assert second.returncode == 3 and "Address already in use" in second.stderr
    finally:
        first.terminate()
        assert first.wait(20) == 0


def test_audit_names_an_invalid_line_and_skips_an_incomplete_last_one(tmp_path):
    log = tmp_path / "x.jsonl"
    log.write_text('{"t": 1, "who": "a", "ev": "opened"}\n{"t": 2, "who"')
    result = invoke_command("audit", str(log))
    assert result.exit_code == 2 and "no 'run' event" in result.output
    log.write_text('{"t": 1}\n')
    assert "x.jsonl:1: field 'who'" in invoke_command("audit", str(log)).output
    log.write_text('nonsense\n{"t": 1, "who": "a", "ev": "opened"}\n')
    assert "x.jsonl:1: not JSON" in invoke_command("audit", str(log)).output


def test_a_short_fault_scenario_over_sockets_breaks_no_rule(tmp_path):
    (tmp_path / "m.sx").write_text(DEMO_SETTINGS)
    script = tmp_path / "day.sx"
    script.write_text("""
(market "m.sx") (seconds 5) (load (rate 20) (clients 24) (mix price) (mix sale) (mix report))
(at 500ms silent (to leaf1) (span 2s)) (at 1s crash (to leaf2) (span 1s)) (at 1500ms drain (to leaf3))
(at 2s midreply (to leaf4) (span 1s)) (at 2500ms discovery-down (span 1s)) (at 3s kill-broker (to b0)
(span 200ms))
""")
    process = subprocess.run(
        [*COMMAND, "badday", str(script), "--out", str(tmp_path / "out")],
        capture_output=True,
        text=True,
        check=False,
        env=os.environ,
    )
    assert process.returncode == 0, process.stdout + process.stderr
    assert "all rules kept" in process.stdout
    assert invoke_command("audit", str(tmp_path / "out" / "events")).exit_code == 0


@pytest.mark.parametrize(
    ("edit", "message"),
    [
        (("(to leaf1)", "(to leaf99)"), "no 'leaf99' for silent"),
        (("(span 2s)", ""), "silent needs a span"),
        (("silent", "silentt"), "one of"),
        (("(mix price)", "(mix prices)"), "no key space 'prices'"),
        (("(at 1s", "(at 100s"), "lies after the end"),
    ],
)
def test_an_error_in_a_fault_script_names_its_place(tmp_path, edit, message):
    (tmp_path / "m.sx").write_text(DEMO_SETTINGS)
    text = '(market "m.sx") (seconds 5) (load (rate 20) (mix price))\n(at 1s silent (to leaf1) (span 2s))\n'
    script = tmp_path / "day.sx"
    script.write_text(text.replace(*edit))
    with pytest.raises(SettingsError, match="day.sx:") as caught:
        load_script(str(script))
    assert message in str(caught.value)


BENCH_FAULT_KINDS = (
    "slow",
    "hang",
    "vanish",
    "crash",
    "zone_loss",
    "pauses",
    "class_fail",
    "answer_lost",
    "poison",
    "burst",
    "discovery_down",
    "discovery_stale",
    "balancer_crash",
    "neighbour",
    "slow_link",
)
PREEMPTION = {
    "kind": "preempt",
    "at": 9_000_000,
    "len": 5_000_000,
    "size": 1,
    "steps": [{"at": 9_000_000, "stop": [3]}],
}
UNKNOWN_FAULT = {"kind": "unheard_of", "at": 1, "len": 1}


def bench_fault(number, kind):
    """Return a fault of a bench day that starts at second ``number``, on two of twelve servers."""
    return {
        "kind": kind,
        "at": 1_000_000 * number,
        "len": 5_000_000,
        "size": 0.5,
        "extra": 2.0,
        "on": [number % 12, (number + 5) % 12],
        "which": 1,
    }


def write_bench_day(path):
    """Write a bench day with a fault of each kind, and one of an unknown kind."""
    faults = [bench_fault(number, kind) for number, kind in enumerate(BENCH_FAULT_KINDS)]
    record = {
        "length": 40_000_000,
        "servers": [{}] * 12,
        "classes": [{"share": 0.5}] * 3,
        "troubles": [*faults, PREEMPTION, UNKNOWN_FAULT],
    }
    path.write_text(json.dumps(record))


def test_a_bench_day_is_converted_to_a_fault_script_of_this_fleet(tmp_path):
    day = tmp_path / "day.json"
    write_bench_day(day)
    script, skipped = fault_script_from_bench_day(str(day), loads(DEMO_SETTINGS), "m.sx", 20.0, 10.0)
    assert isinstance(script, Script) and script.seconds == 20.0
    assert skipped == ["unheard_of: no counterpart on loopback"]
    kinds = {step.kind for step in script.steps}
    assert kinds >= {
        "slow",
        "silent",
        "crash",
        "stall",
        "failclass",
        "lose",
        "poison",
        "burst",
        "discovery-down",
        "discovery-late",
        "kill-broker",
        "drain",
    }
    assert all(step.at_us <= 20_000_000 for step in script.steps)


def test_an_incomplete_bench_day_is_rejected(tmp_path):
    day = tmp_path / "day.json"
    day.write_text("{}")
    with pytest.raises(BenchDayError, match="'troubles' is missing"):
        fault_script_from_bench_day(str(day), loads(DEMO_SETTINGS), "m.sx", 20.0, 10.0)
