"""The program as processes: signals, exit codes, the command line, a short bad day and a replayed one."""

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
SLOW = DEMO_SETTINGS.replace(
    "(aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms)",
    "(aim 4s) (limit 8s) (repeat keyed) (dedup 4s) (work 250ms)",
)
SLOW = SLOW.replace("(notice 300ms)", "(notice 1ms)")


def wait_for(seen, what="", seconds=20.0):
    """Wait until something is seen; a test that waits in vain fails rather than hangs."""
    until = time.monotonic() + seconds
    while not (found := seen()):
        assert time.monotonic() < until, f"never seen: {what}"
        time.sleep(0.01)
    return found


def until_answered(client, key):
    for _ in range(100):
        body = json.loads(client.get(key) or b"{}")
        if "coverage" in body:
            return body
    raise AssertionError(body)


@pytest.fixture
def slow_fleet(tmp_path):
    config = tmp_path / "m.sx"
    config.write_text(SLOW)
    fleet = ProcessFleet(str(config), load(config), str(tmp_path / "events"))
    fleet.start()
    yield fleet
    fleet.stop()


def test_sigterm_finishes_what_is_held_refuses_the_rest_and_exits_0(slow_fleet, tmp_path):
    broker = slow_fleet.brokers[0]
    host, _, port = broker.address.rpartition(":")
    client = pymemcache.Client((host, int(port)), timeout=10)
    until_answered(client, "sale:anna:1")
    client.sock.sendall(b"get sale:anna:2\r\n")
    events = tmp_path / "events" / "b0r0.jsonl"
    wait_for(lambda: events.read_text().count('"ev":"send"') >= 2, "a part in flight")
    broker.process.send_signal(signal.SIGTERM)
    reply = b""
    while not reply.endswith(b"END\r\n"):
        more = client.sock.recv(4096)
        assert more, "the broker closed before its reply"
        reply += more
    assert b'"whole":true' in reply
    assert broker.process.wait(20) == 0
    assert events.read_text().splitlines()[-1].count('"ev":"closed"') == 1
    (tmp_path / "events" / "run.jsonl").write_text(
        json.dumps(
            {"t": 0, "who": "run", "ev": "run", "figures": run_parameters_record(slow_fleet.service_settings)}
        )
        + "\n"
    )
    assert judge(read_logs([tmp_path / "events"])).kept


def test_a_second_sigterm_exits_at_once_and_a_killed_host_comes_back(slow_fleet):
    broker = slow_fleet.brokers[0]
    host, _, port = broker.address.rpartition(":")
    client = pymemcache.Client((host, int(port)), timeout=10)
    until_answered(client, "sale:anna:1")
    slow_fleet.kill("leaf0", 0.0)
    assert until_answered(client, "price:tea")["whole"] in (True, False)
    client.sock.sendall(b"get sale:anna:2\r\n")
    broker.process.send_signal(signal.SIGTERM)
    broker.process.send_signal(signal.SIGTERM)
    assert broker.process.wait(20) in (0, 1)


def test_fleet_up_writes_its_ready_file_and_ends_on_sigterm(tmp_path):
    config, ready = tmp_path / "m.sx", tmp_path / "ready.json"
    config.write_text(DEMO_SETTINGS)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "heathwell",
            "fleet",
            "up",
            "--config",
            str(config),
            "--ready-file",
            str(ready),
            "--seconds",
            "60",
        ],
        stderr=subprocess.DEVNULL,
    )
    wait_for(lambda: ready.exists() or process.poll() is not None, "the ready file")
    table = json.loads(ready.read_text())
    assert len(table) == 8 and table["b0"]["admin"].startswith("127.0.0.1:")
    process.send_signal(signal.SIGTERM)
    assert process.wait(30) == 0
    assert not any(Path(f"/proc/{entry['pid']}").exists() for entry in table.values())


def cli(*args):
    return CliRunner().invoke(main, args)


def test_check_tells_all_errors_and_exits_2(tmp_path):
    bad = tmp_path / "bad.sx"
    bad.write_text(DEMO_SETTINGS.replace("(aim 1s)", "(aim 1)").replace("(width 3)", "(widht 3)"))
    done = cli("check", str(bad))
    assert done.exit_code == 2
    assert "class[0].aim" in done.output and "did you mean 'width'" in done.output
    assert cli("check", str(tmp_path / "none.sx")).exit_code == 3
    assert cli("check", str(ROOT / "examples/market.sx")).exit_code == 0
    assert cli("schema").output == (ROOT / "docs/settings.md").read_text()


def test_a_taken_address_is_exit_code_3(tmp_path):
    config = tmp_path / "m.sx"
    config.write_text(DEMO_SETTINGS)
    first = subprocess.Popen(
        [sys.executable, "-m", "heathwell", "discovery", "--config", str(config), "--name", "d"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = json.loads(first.stdout.readline())["address"]
        second = subprocess.run(
            [
                sys.executable,
                "-m",
                "heathwell",
                "discovery",
                "--config",
                str(config),
                "--name",
                "e",
                "--listen",
                address,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        assert second.returncode == 3 and "Address already in use" in second.stderr
    finally:
        first.terminate()
        assert first.wait(20) == 0


def test_audit_names_a_bad_line_and_skips_a_torn_last_one(tmp_path):
    log = tmp_path / "x.jsonl"
    log.write_text('{"t": 1, "who": "a", "ev": "opened"}\n{"t": 2, "who"')
    done = cli("audit", str(log))
    assert done.exit_code == 2 and "no 'run' event" in done.output
    log.write_text('{"t": 1}\n')
    assert "x.jsonl:1: field 'who'" in cli("audit", str(log)).output
    log.write_text('nonsense\n{"t": 1, "who": "a", "ev": "opened"}\n')
    assert "x.jsonl:1: not JSON" in cli("audit", str(log)).output


def test_a_short_bad_day_over_sockets(tmp_path):
    (tmp_path / "m.sx").write_text(DEMO_SETTINGS)
    script = tmp_path / "day.sx"
    script.write_text("""
(market "m.sx") (seconds 5) (load (rate 20) (clients 24) (mix price) (mix sale) (mix report))
(at 500ms silent (to leaf1) (span 2s)) (at 1s crash (to leaf2) (span 1s)) (at 1500ms drain (to leaf3))
(at 2s midreply (to leaf4) (span 1s)) (at 2500ms discovery-down (span 1s)) (at 3s kill-broker (to b0)
(span 200ms))
""")
    done = subprocess.run(
        [sys.executable, "-m", "heathwell", "badday", str(script), "--out", str(tmp_path / "out")],
        capture_output=True,
        text=True,
        check=False,
        env=os.environ,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "all rules kept" in done.stdout
    assert cli("audit", str(tmp_path / "out" / "events")).exit_code == 0


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (("(to leaf1)", "(to leaf99)"), "no 'leaf99' for silent"),
        (("(span 2s)", ""), "silent needs a span"),
        (("silent", "silentt"), "one of"),
        (("(mix price)", "(mix prices)"), "no key space 'prices'"),
        (("(at 1s", "(at 100s"), "lies after the end"),
    ],
)
def test_a_bad_script_names_the_place(tmp_path, change, said):
    (tmp_path / "m.sx").write_text(DEMO_SETTINGS)
    text = '(market "m.sx") (seconds 5) (load (rate 20) (mix price))\n(at 1s silent (to leaf1) (span 2s))\n'
    script = tmp_path / "day.sx"
    script.write_text(text.replace(*change))
    with pytest.raises(SettingsError, match="day.sx:") as caught:
        load_script(str(script))
    assert said in str(caught.value)


def test_a_bench_day_becomes_a_script_of_this_fleet(tmp_path):
    day = tmp_path / "day.json"
    kinds = [
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
    ]
    day.write_text(
        json.dumps(
            {
                "length": 40_000_000,
                "servers": [{}] * 12,
                "classes": [{"share": 0.5}] * 3,
                "troubles": [
                    {
                        "kind": kind,
                        "at": 1_000_000 * n,
                        "len": 5_000_000,
                        "size": 0.5,
                        "extra": 2.0,
                        "on": [n % 12, (n + 5) % 12],
                        "which": 1,
                    }
                    for n, kind in enumerate(kinds)
                ]
                + [
                    {
                        "kind": "preempt",
                        "at": 9_000_000,
                        "len": 5_000_000,
                        "size": 1,
                        "steps": [{"at": 9_000_000, "stop": [3]}],
                    },
                    {"kind": "unheard_of", "at": 1, "len": 1},
                ],
            }
        )
    )
    script, skipped = fault_script_from_bench_day(str(day), loads(DEMO_SETTINGS), "m.sx", 20.0, 10.0)
    assert isinstance(script, Script) and script.seconds == 20.0
    assert skipped == ["unheard_of: no counterpart on loopback"]
    made = {step.kind for step in script.steps}
    assert made >= {
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
    day.write_text("{}")
    with pytest.raises(BenchDayError, match="'troubles' is missing"):
        fault_script_from_bench_day(str(day), loads(DEMO_SETTINGS), "m.sx", 20.0, 10.0)
