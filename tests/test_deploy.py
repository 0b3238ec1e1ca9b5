"""The platform's requirements of `build` and `run`: one process, started by exec and linked dynamically, that
makes no forbidden call.
"""

import re
import shlex
import signal
import time
import tomllib
from pathlib import Path

from heathwell.eventloop import sleep
from heathwell.testing.simulation.platform_fleet import PlatformFleet

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
QUERIES = [("price-search", [0, 1, 2, 3]), ("day-report", [4, 5, 6])]
# Program that runs the broker with an audit hook: a call that the platform forbids is logged and raises.
# Fork, sendfile and splice have no audit event of their own, so their functions are replaced.
AUDITED_BROKER = """
import os, socket, sys, threading
def refused(name):
    def call(*_args, **_kwargs):
        sys.stderr.write(f"refused call {name}\\n")
        raise OSError(38, name)
    return call
for name in ("fork", "forkpty", "posix_spawn", "posix_spawnp", "sendfile", "splice", "system"):
    setattr(os, name, refused(name))
socket.socket.sendfile = refused("socket.sendfile")
threading.Thread.start = refused("a thread")
def audit(event, args):
    if event in ("subprocess.Popen", "os.fork", "os.exec", "os.posix_spawn", "os.system"):
        refused(event)()
    allowed_families = (socket.AF_INET, socket.AF_UNSPEC)
    if event in ("socket.bind", "socket.connect") and args[0].family not in allowed_families:
        refused(f"{event} of family {args[0].family}")()
sys.addaudithook(audit)
import runpy
sys.argv[:] = ["heathwell.gateway"]
runpy.run_module("heathwell.gateway", run_name="__main__")
"""


def test_run_replaces_its_shell_by_the_interpreter_and_build_compiles_the_package():
    words = shlex.split(DEPLOY["run"])
    assert words == ["exec", ".venv/bin/python", "-m", "heathwell.gateway"]
    assert re.search(r"\.venv/bin/python -m compileall -q heathwell\b", DEPLOY["build"])
    assert (
        all((ROOT / path).exists() for path in DEPLOY["policy"] + DEPLOY["node"]) and not DEPLOY["packages"]
    )


def test_a_broker_that_serves_queries_is_one_thread_of_one_process_and_makes_no_forbidden_call(tmp_path):
    fleet = PlatformFleet(tmp_path, program=("-c", AUDITED_BROKER))
    try:
        pid = fleet.process.pid

        def main():
            """Send twelve queries of two classes and a SIGHUP."""
            for number in range(12):
                query_class, shards = QUERIES[number % 2]
                response = yield from fleet.client().send_query(f"q{number}", query_class, shards)
                assert response.status == 200
            fleet.process.send_signal(signal.SIGHUP)
            yield from sleep(fleet.loop, 100_000)

        fleet.run(main())
        task = Path(f"/proc/{pid}/task")
        assert [entry.name for entry in task.iterdir()] == [str(pid)]
        assert (task / str(pid) / "children").read_text() == ""
        assert "libc.so" in Path(f"/proc/{pid}/maps").read_text()
        ticks_before = _cpu_ticks(pid)
        time.sleep(1.0)
        assert _cpu_ticks(pid) - ticks_before <= 20  # of 100 clock ticks: an idle broker does not poll
        fleet.process.send_signal(signal.SIGTERM)
        assert fleet.run(fleet.wait_for_exit()) == 0
        assert "refused call" not in fleet.log_path.read_text()
    finally:
        fleet.close()


def _cpu_ticks(pid: int) -> int:
    """Return the clock ticks of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def test_the_audit_hook_finds_a_forbidden_call(tmp_path):
    planted = AUDITED_BROKER.replace(
        "import runpy\n", "import runpy, subprocess\ntry: subprocess.run(['true'])\nexcept OSError: pass\n"
    )
    fleet = PlatformFleet(tmp_path, program=("-c", planted))
    try:
        assert "refused call" in fleet.log_path.read_text()
    finally:
        fleet.close()
