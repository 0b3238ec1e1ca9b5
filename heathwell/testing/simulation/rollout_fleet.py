"""Rollouts over processes: machines' agents with their brokers, hosts, keepers, clients, and versions planted
bad.

A bad version is a copy of this program with one place altered.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from heathwell.codec import frames, inner_protocol
from heathwell.fleet.control.broker_process import process_start_ticks
from heathwell.settings import ServiceSettings, load
from heathwell.testing.simulation.client_population import Clients, arrivals
from heathwell.testing.simulation.fault_links import FaultLinks
from heathwell.testing.simulation.fault_script import Load, Mix
from heathwell.testing.simulation.process_fleet import FleetError, ProcessFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record

PACKAGE = Path(__file__).resolve().parents[2]
# The example of a fleet with budgets, for agents' brokers: none of its own, and room for those of two
# versions.
SWAPS = (
    ("(leaves 6) (brokers 6)", "(leaves 6) (brokers 0)"),
    ("(most 8)", "(most 20)"),
    ("(whole 14)", "(whole 40)"),
    ("(aside 40%) (burst 2s)", "(aside 40%) (burst 5s)"),
    ("(level info)", "(level error)"),
)
BROKER_MAIN = "    def _run_broker() -> Coro[None]:\n        options = BrokerOptions("
FINAL = "    def on_reply_made(self, query: ServiceQuery, reply: Reply, took_us: int) -> None:\n"
ADMISSION = "        self._check_storm(plan, client)\n"
# By name: file, what stands there, what stands there instead.
DEFECTS: dict[str, tuple[str, str, str]] = {
    "does not start": ("cli/serve.py", BROKER_MAIN, "    raise SystemExit(9)\n\n" + BROKER_MAIN),
    "dies after 5 s": (
        "cli/serve.py",
        BROKER_MAIN,
        "    import os\n    process.loop.call_at(process.loop.now() + 5_000_000, lambda: os._exit(3))\n\n"
        + BROKER_MAIN,
    ),
    "dies on SIGTERM": ("cli/process.py", "        self._signals += 1\n", "        os._exit(1)\n"),
    "a class worse": (
        "service/query_admission.py",
        ADMISSION,
        ADMISSION + "        spec = self._broker.settings.classes[plan.query_class]\n"
        "        if sum(plan.key.encode()) % 8 == 0 and spec.name == 'price-search':\n"
        "            raise AdmissionRejectedError(RejectionReason.FULL, 0)\n",
    ),
    "twice the processor": (
        "service/service_broker.py",
        FINAL,
        FINAL + "        import time\n        end = time.process_time() + 0.02\n"
        "        while time.process_time() < end:\n            pass\n",
    ),
    "leaks": (
        "service/service_broker.py",
        FINAL,
        FINAL + "        self.__dict__.setdefault('leak', []).append(bytearray(3_000_000))\n",
    ),
    "stalls after a while": (
        "cli/serve.py",
        BROKER_MAIN,
        "    process.loop.call_at(process.loop.now() + 6_000_000, lambda: time.sleep(1000))\n\n"
        + BROKER_MAIN,
    ),
    "an older wire": ("codec/frames/framing.py", "VERSION = 1\n", "VERSION = 0\n"),
    "a false digest": ("cli/serve.py", '"program": program_digest(PACKAGE)', '"program": "0123456789abcdef"'),
}


def write_service_settings(example: Path, into: Path) -> Path:
    """The settings of a fleet whose brokers agents run, from the example's."""
    text = example.read_text(encoding="utf-8")
    for old, new in SWAPS:
        if old not in text:
            raise FleetError(f"{example}: no {old} to alter")
        text = text.replace(old, new)
    into.write_text(text, encoding="utf-8")
    return into


def plant(folder: Path, name: str, defect: str = "") -> Path:
    """A program tree of another version: a copy, good but for its digest, or with a defect."""
    tree = folder / name.replace(" ", "-")
    shutil.copytree(PACKAGE, tree / "heathwell", ignore=shutil.ignore_patterns("__pycache__"))
    (tree / "heathwell/_version.py").write_text(f'"""Planted."""\n\nNAME = "{name}"\n')
    if defect:
        path, before, after = DEFECTS[defect]
        text = (tree / "heathwell" / path).read_text()
        if before not in text:
            raise FleetError(f"defect '{defect}': {path} has changed, there is nothing to alter")
        (tree / "heathwell" / path).write_text(text.replace(before, after, 1))
    return tree


@dataclass(slots=True)
class Change:
    """How a rollout ended."""

    code: int
    record: dict[str, Any]
    seconds: float
    output: str


@dataclass(slots=True)
class Machine:
    """An agent's process."""

    name: str
    command: list[str]
    process: subprocess.Popen[str]
    address: str = ""
    brokers: dict[str, str] = field(default_factory=dict)


class RolloutFleet:
    """``machines`` agents of two brokers each, zones in turn. ``wires``: controllers reach agents
    by relays.
    """

    def __init__(
        self, folder: Path, config: Path, *, machines: int = 3, rate: float = 40.0, seed: int = 1
    ) -> None:
        self.folder, self.config, self.seed, self.rate = folder, config, seed, rate
        folder.mkdir(parents=True, exist_ok=True)
        self.events = folder / "events"
        self.events.mkdir()
        self.service_settings: ServiceSettings = load(config)
        self.wires = FaultLinks(seed)
        self.fleet = ProcessFleet(
            str(config), self.service_settings, str(self.events), seed, wires=self.wires
        )
        self.count = machines
        self.machines: dict[str, Machine] = {}
        self.clients: Clients | None = None
        self._stop = threading.Event()
        self._offering: threading.Thread | None = None
        self.old, self.began = plant(folder, "v1"), "v1"

    # The fleet.

    @contextmanager
    def up(self) -> Iterator[RolloutFleet]:
        """All of it, until the end of the block."""
        (self.events / "run.jsonl").write_text(
            json.dumps(
                {
                    "t": time.monotonic_ns() // 1000,
                    "who": "run",
                    "ev": "run",
                    "figures": run_parameters_record(self.service_settings),
                }
            )
            + "\n"
        )
        try:
            self.fleet.up()
            for number in range(self.count):
                self._launch(number)
            for machine in self.machines.values():
                self._ready(machine)
            yield self
        finally:
            self.down()

    def _launch(self, number: int) -> None:
        zones = len(self.service_settings.fleet.zones)
        names = [f"b{2 * number + n}" for n in range(2)]
        keepers = ",".join(member.address for member in self.fleet.of("keeper"))
        more = {
            name: [
                "--discovery",
                self.fleet.members["discovery"].address,
                "--seed",
                str(100 + int(name[1:])),
                *(["--keepers", keepers] if keepers else []),
            ]
            for name in names
        }
        command = [
            sys.executable,
            "-m",
            "heathwell",
            "agent",
            "--config",
            str(self.config),
            "--name",
            f"m{number}",
            "--state",
            str(self.folder / f"m{number}"),
            "--version",
            "v1",
            "--program",
            str(self.old),
            "--settings",
            str(self.config),
            "--args",
            json.dumps(more),
            "--broker-events",
            str(self.events),
        ]
        for name in names:
            command += ["--broker", f"{name}:{int(name[1:]) % zones}:127.0.0.1:0"]
        self.machines[f"m{number}"] = Machine(f"m{number}", command, self._spawn(command))

    def _spawn(self, command: list[str]) -> subprocess.Popen[str]:
        return subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            text=True,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    def _ready(self, machine: Machine) -> None:
        assert machine.process.stdout is not None
        line = machine.process.stdout.readline()
        if not line:
            raise FleetError(f"agent {machine.name} did not start: {machine.process.wait(30)}")
        ready = json.loads(line)
        machine.address, machine.brokers = ready["address"], ready["brokers"]
        self.wires.point(machine.name, machine.address)

    def restart_agent(self, name: str) -> None:
        """SIGKILL an agent, and start the next at the same address: its brokers run on."""
        machine = self.machines[name]
        machine.process.kill()
        machine.process.wait()
        old = machine.address
        machine.process = self._spawn([*machine.command, "--listen", old])
        self._ready(machine)

    def down(self) -> None:
        """End all."""
        self.end_load()
        for machine in self.machines.values():
            if machine.process.poll() is None:
                machine.process.send_signal(signal.SIGTERM)
        for machine in self.machines.values():
            try:
                machine.process.wait(15)
            except subprocess.TimeoutExpired:
                machine.process.kill()
                machine.process.wait()
        self._sweep()
        self.fleet.down()

    def _sweep(self) -> None:
        """Brokers that an agent left behind: by their pids in its notes, which are ours."""
        for name in self.machines:
            notes = self.folder / name / "agent.json"
            if not notes.exists():
                continue
            for row in json.loads(notes.read_text())["brokers"].values():
                for pid, _, started, _ in row["processes"].values():
                    if process_start_ticks(pid) == started:
                        os.kill(pid, signal.SIGKILL)

    def addresses(self) -> list[tuple[str, str, str]]:
        """Brokers, as clients find them."""
        return [
            (name, address, "")
            for machine in self.machines.values()
            for name, address in machine.brokers.items()
        ]

    # Load.

    def begin_load(self, seconds: float = 600.0) -> None:
        """Clients ask until :meth:`end_load`."""
        spaces = [
            Mix(space.prefix, 3.0 if space.shape == "search" else 1.0) for space in self.service_settings.keys
        ]
        spec = Load(rate=self.rate, clients=48, mix=spaces)
        clients = self.clients = Clients(
            spec, self.service_settings, self.addresses, self.events / "clients.jsonl"
        )
        zero = clients.start()

        def offer() -> None:
            for arrival in arrivals(spec, self.service_settings, self.seed, 0.0, seconds, lambda _at: 1.0):
                if self._stop.wait(max(0.0, zero + arrival.at - time.monotonic())):
                    return
                clients.offer(arrival)

        self._offering = threading.Thread(target=offer, daemon=True)
        self._offering.start()

    def end_load(self) -> None:
        """No more; what is out is waited for."""
        self._stop.set()
        if self._offering is not None:
            self._offering.join(10)
            self._offering = None
            assert self.clients is not None
            self.clients.finish()

    # Changes.

    def controller(
        self,
        to: str,
        *,
        program: Path | None = None,
        settings: Path | None = None,
        state: str = "change",
        stages: str = "1,50%,100%",
        bake: str = "10s",
        most: str = "30s",
        prove: str = "50%",
        more: tuple[str, ...] = (),
        old: str = "",
        old_program: Path | None = None,
        old_settings: Path | None = None,
    ) -> subprocess.Popen[str]:
        """Start a controller, from the version that began or another."""
        old = old or self.began
        keepers = ",".join(member.address for member in self.fleet.of("keeper"))
        ways = ",".join(self.wires.door("controller", name) for name in self.machines)
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "heathwell",
                "rollout",
                "start",
                "--config",
                str(self.config),
                "--name",
                f"rollout-{state}",
                "--state",
                str(self.folder / state),
                "--machines",
                ways,
                "--from",
                old,
                "--from-program",
                str(old_program or self.old),
                "--from-settings",
                str(old_settings or self.config),
                "--to",
                to,
                "--program",
                str(program or self.old),
                "--settings",
                str(settings or self.config),
                "--stages",
                stages,
                "--bake",
                bake,
                "--most",
                most,
                "--prove",
                prove,
                "--zone-share",
                "0.5",
                "--window",
                "1s",
                "--tolerance",
                "0.12",
                *(["--keepers", keepers] if keepers else []),
                *more,
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            text=True,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    def finish(
        self,
        controller: subprocess.Popen[str],
        state: str = "change",
        seconds: float = 150.0,
        undo_held: bool = False,
    ) -> Change:
        """Wait for its end; ``undo_held``: as an operator, undo what is held for want of evidence."""
        began = time.monotonic()
        while undo_held and controller.poll() is None and time.monotonic() - began < seconds:
            time.sleep(0.5)
            path = self.folder / state / "rollout.json"
            record = json.loads(path.read_text()) if path.exists() else {}
            if record.get("state") == "held" and not record["by_trouble"]:
                subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "heathwell",
                        "rollout",
                        "undo",
                        "--why",
                        "not shown to be sound",
                        "--state",
                        str(self.folder / state),
                    ],
                    capture_output=True,
                    timeout=30,
                    check=False,
                )
        try:
            output, _ = controller.communicate(timeout=seconds)
        except subprocess.TimeoutExpired:
            controller.kill()
            output, _ = controller.communicate()
        path = self.folder / state / "rollout.json"
        record = json.loads(path.read_text()) if path.exists() else {}
        return Change(controller.returncode, record, time.monotonic() - began, output)

    def change(self, to: str, *, seconds: float = 150.0, undo_held: bool = False, **more: Any) -> Change:
        """A change from its start to its end."""
        return self.finish(self.controller(to, **more), more.get("state", "change"), seconds, undo_held)

    def runs(self) -> dict[str, frames.BrokerStatus]:
        """What each broker runs, by its machine's agent."""
        out = {}
        for machine in self.machines.values():
            for running in inner_protocol.request(
                machine.address, "lab", "lab", frames.MachineRequest(), frames.MachineView, 5
            ).running:
                out[running.broker] = running
        return out

    def wait_for(self, version: str, seconds: float = 30.0) -> bool:
        """Whether all brokers come to run a version."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(
                running.version.rstrip("~") == version and running.state == "running"
                for running in self.runs().values()
            ):
                return True
            time.sleep(0.2)
        return False
