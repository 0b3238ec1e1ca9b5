"""The agent of a machine: starts, replaces and restarts the broker processes that it is told to run.

It opens each broker's listening socket itself and hands it on, so that connections wait in the kernel while
one process ends and another begins. What runs is noted on disk before it is started: an agent that begins
again adopts processes of the one before it, which go on serving meanwhile.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from heathwell import inner_protocol
from heathwell.codec import frames
from heathwell.codec.http import ClientSide, HttpError
from heathwell.fleet.control.messages import MAX_MESSAGE_BYTES
from heathwell.fleet.rollout import RESTART_SUFFIX, StaleDecisionError
from heathwell.fleet.rollout.broker_supervisor import (
    ApplySettings,
    BrokerSupervisor,
    LogMessage,
    StartProcess,
    StopProcess,
    SupervisorAction,
    SupervisorLimits,
)
from heathwell.kernel import ConnectFailed, Coro, Listener, Loop, Net, Stream, StreamBroken, sleep
from heathwell.kernel.net import split_address
from heathwell.observability.digests import program_digest, settings_digest

LOOK_US = 100_000
ASK_US = 500_000  # how often brokers are asked what they did
ANSWER_US = 1_500_000  # after which one that has not answered is silent
LISTEN_BACKLOG = 4_096
STATE = "agent.json"


@dataclass(slots=True)
class Version:
    """Where a version's files lie, and what its processes must say that they run."""

    program: str
    settings: str
    digests: tuple[str, str] = ("", "")


@dataclass(slots=True)
class Run:
    """A process of a broker."""

    pid: int
    version: str
    started: int  # by the kernel, in its ticks: a pid is used again, this is not
    ready_file: str
    popen: subprocess.Popen[bytes] | None = None
    admin: str = ""
    told: dict[str, Any] = field(default_factory=dict)
    told_us: int = 0


@dataclass(slots=True)
class ServiceBroker:
    """One broker of this machine: its supervisor, its socket, its processes."""

    name: str
    zone: int
    args: list[str]
    address: str
    supervisor: BrokerSupervisor
    sock: socket.socket | None = None
    runs: dict[int, Run] = field(default_factory=dict)
    kept_cpu: int = 0


class MachineAgent:
    """``brokers`` are rows of name, zone number, address and arguments; ``zones`` the names of zones."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        name: str,
        folder: Path,
        brokers: list[ServiceBroker],
        zones: list[str],
        *,
        log: Callable[..., None],
        events: str = "",
    ) -> None:
        self.loop, self.net, self.name, self.folder, self.zones = loop, net, name, folder, zones
        self.log, self.events = log, events
        self.brokers = {broker.name: broker for broker in brokers}
        self.versions: dict[str, Version] = {}
        self.listener: Listener | None = None
        self.stopping = False
        self.folder.mkdir(parents=True, exist_ok=True)
        self._restore()

    def start(self, listen: str) -> str:
        """Open the door for controllers; returns its address."""
        self.listener = self.net.listen(listen, self._serve, f"agent {self.name}", 64)
        self.loop.call_soon(self._look)
        for broker in self.brokers.values():
            self.loop.spawn(self._ask(broker), f"asks {broker.name}")
        return self.listener.address

    def want(
        self, name: str, version: str, program: str, settings: str, term: int = 0, number: int = 0
    ) -> str:
        """A wish; returns why it is not taken, or nothing."""
        broker, base = self.brokers.get(name), version.rstrip(RESTART_SUFFIX)
        if broker is None:
            return f"no broker {name} on this machine; there are {', '.join(sorted(self.brokers))}"
        try:
            digests = program_digest(Path(program) / "heathwell"), settings_digest(settings)
        except OSError as problem:
            return f"{problem.filename}: {problem.strerror}"
        known = self.versions.get(base)
        if known is not None and known.digests != digests:
            return f"version {base} is known here with other files: give the new ones another name"
        self.versions[base] = Version(program, settings, digests)
        serving = self.versions.get(broker.supervisor.version.rstrip(RESTART_SUFFIX))
        in_place = (
            serving is not None and serving.digests[0] == digests[0] and serving.digests[1] != digests[1]
        )
        try:
            actions = broker.supervisor.set_desired_version(
                self.loop.now(), version, term, number, in_place=in_place
            )
        except StaleDecisionError as error:
            return str(error)
        self._note()
        self._carry_out(broker, actions)
        return ""

    def stop(self) -> None:
        """Ask all brokers to end, and start none any more."""
        self.stopping = True
        for broker in self.brokers.values():
            for run in broker.runs.values():
                _signal(run.pid, signal.SIGTERM)

    @property
    def alive(self) -> int:
        """Processes that have not ended."""
        return sum(len(broker.runs) for broker in self.brokers.values())

    # What decisions ask for.

    def _carry_out(self, broker: ServiceBroker, actions: list[SupervisorAction]) -> None:
        for action in actions:
            match action:
                case StartProcess(run=run, version=version):
                    self._launch(broker, run, version)
                case StopProcess(run=run, force=force):
                    if run in broker.runs:
                        _signal(broker.runs[run].pid, signal.SIGKILL if force else signal.SIGTERM)
                case ApplySettings(run=run, version=version):
                    self._apply(broker, run, version)
                case LogMessage(level=level, text=text):
                    self.log(level, text)

    def _apply(self, broker: ServiceBroker, number: int, version: str) -> None:
        """Put a version's settings where the process reads its own, and ask it to read them anew."""
        files = self.versions[version.rstrip(RESTART_SUFFIX)]
        try:
            write_whole(self._settings(broker), Path(files.settings).read_text(encoding="utf-8"))
        except OSError as problem:
            self.log("error", "settings could not be put in place", broker=broker.name, why=str(problem))
            return  # the process is replaced after a while
        if number in broker.runs:
            _signal(broker.runs[number].pid, signal.SIGHUP)

    def _settings(self, broker: ServiceBroker) -> Path:
        """The file that a broker's processes read, which is the agent's."""
        return self.folder / f"{broker.name}.sx"

    def _launch(self, broker: ServiceBroker, number: int, version: str) -> None:
        if self.stopping:
            return
        files = self.versions[version.rstrip(RESTART_SUFFIX)]
        ready = self.folder / f"{broker.name}-{number}.ready"
        ready.unlink(missing_ok=True)
        try:
            sock = self._socket(broker)
            write_whole(self._settings(broker), Path(files.settings).read_text(encoding="utf-8"))
            command = [
                sys.executable,
                "-m",
                "heathwell",
                "broker",
                "--config",
                str(self._settings(broker)),
                "--name",
                f"{broker.name}r{number}",
                "--zone",
                str(broker.zone),
                "--ready-file",
                str(ready),
                "--report",
                "--listen",
                f"fd:{sock.fileno()}",
                *broker.args,
            ]
            if self.events:
                command += ["--events", self.events]
            with (self.folder / f"{broker.name}-{number}.log").open("wb") as log:
                popen = subprocess.Popen(
                    command,
                    cwd=files.program,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    pass_fds=(sock.fileno(),),
                    start_new_session=True,
                    env={**os.environ, "PYTHONPATH": files.program, "PYTHONUNBUFFERED": "1"},
                )
        except OSError as problem:
            self.log("error", "could not start a process", broker=broker.name, why=str(problem))
            self.loop.call_soon(self._over, broker, number, 127)
            return
        broker.runs[number] = Run(popen.pid, version, start_of(popen.pid), str(ready), popen)
        self._note()

    def _socket(self, broker: ServiceBroker) -> socket.socket:
        """The broker's listening socket. Its port may be shared with one that an agent before this one had
        opened.
        """
        if broker.sock is None:
            host, port = split_address(broker.address)
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setblocking(False)
            sock.bind((host, port))
            sock.listen(LISTEN_BACKLOG)
            broker.sock = sock
            broker.address = f"{host}:{sock.getsockname()[1]}"
        return broker.sock

    # What is seen.

    def _look(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + LOOK_US, self._look)
        for broker in self.brokers.values():
            for number, run in list(broker.runs.items()):
                code = self._code(run)
                if code is not None:
                    self._over(broker, number, code)
                elif not run.admin and Path(run.ready_file).exists():
                    self._served(broker, number, run)
            self._carry_out(broker, broker.supervisor.tick(now))

    @staticmethod
    def _code(run: Run) -> int | None:
        """How a process ended; of an adopted one only that it did."""
        if run.popen is not None:
            return run.popen.poll()
        return None if start_of(run.pid) == run.started else 0

    def _over(self, broker: ServiceBroker, number: int, code: int) -> None:
        run = broker.runs.pop(number, None)
        held = int(run.told.get("held", 0)) if run is not None else 0
        if run is not None:
            broker.kept_cpu += int(run.told.get("cpu_us", 0))
        if self.stopping:
            return
        self._carry_out(broker, broker.supervisor.on_process_exited(self.loop.now(), number, code, held))
        self._note()

    def _served(self, broker: ServiceBroker, number: int, run: Run) -> None:
        """A process says that it serves, and what it runs: that must be what its files are."""
        try:
            ready = json.loads(Path(run.ready_file).read_text())
            run.admin = str(ready["admin"])
        except (ValueError, KeyError, OSError) as problem:
            self._carry_out(
                broker,
                broker.supervisor.on_process_rejected(self.loop.now(), number, f"its ready file: {problem}"),
            )
            return
        expected = self.versions[run.version.rstrip(RESTART_SUFFIX)].digests
        told = str(ready.get("program")), str(ready.get("settings"))
        run.told_us = self.loop.now()
        if told == expected:
            actions = broker.supervisor.on_process_ready(self.loop.now(), number)
        else:
            reason = f"it says that it runs {told}, its files are {expected}"
            actions = broker.supervisor.on_process_rejected(self.loop.now(), number, reason)
        self._carry_out(broker, actions)
        self._note()

    def _ask(self, broker: ServiceBroker) -> Coro[None]:
        """Ask what serves for its sums, now and then."""
        while True:
            yield from sleep(self.loop, ASK_US)
            serving = broker.supervisor.serving
            run = broker.runs.get(serving.run) if serving is not None else None
            if run is None or not run.admin:
                continue
            task = self.loop.spawn(self._get(run), f"asks {broker.name}")
            timer = self.loop.call_at(self.loop.now() + ANSWER_US, task.cancel)
            yield from task.join()
            timer.cancel()
            supervisor = broker.supervisor
            wanted = self.versions.get(supervisor.applying_version.rstrip(RESTART_SUFFIX))
            if serving is not None and wanted is not None and run.told.get("settings") == wanted.digests[1]:
                self._carry_out(
                    broker,
                    supervisor.on_settings_applied(self.loop.now(), serving.run, supervisor.applying_version),
                )
                run.version = supervisor.version
                self._note()

    def _get(self, run: Run) -> Coro[None]:
        stream: Stream | None = None
        try:
            stream = yield from self.net.connect(run.admin, ANSWER_US)
            side = ClientSide(run.admin)
            stream.write(side.request("GET", "/service"))
            response = None
            while response is None:
                data = yield from stream.read()
                response = side.feed(data)
            if response.status == 200:
                run.told, run.told_us = json.loads(response.body), self.loop.now()
        except (ConnectFailed, StreamBroken, HttpError, ValueError):
            pass  # it counts as silent after a while
        finally:
            if stream is not None:
                stream.abort()

    # Controllers.

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream, self.name, "agent", lambda message: self._heard(stream, message), MAX_MESSAGE_BYTES
            )
        except frames.FrameError as problem:
            self.log("warning", "control: not our wire", peer=stream.peer, why=str(problem))

    def _heard(self, stream: Stream, message: frames.AnyMessage) -> None:
        match message:
            case frames.DesiredVersion():
                why = self.want(
                    message.broker,
                    message.version,
                    message.program,
                    message.settings,
                    message.term,
                    message.number,
                )
                stream.offer(frames.encode(frames.DesiredVersionReply(message.broker, message.version, why)))
            case frames.MachineRequest():
                stream.offer(frames.encode(self.view()))

    def view(self) -> frames.MachineView:
        """What runs here, and what it did."""
        now, rows = self.loop.now(), []
        for broker in self.brokers.values():
            supervisor = broker.supervisor
            serving = supervisor.serving
            run = broker.runs.get(serving.run) if serving is not None else None
            told = run.told if run is not None else {}
            rows.append(
                frames.BrokerStatus(
                    broker.name,
                    self.zones[broker.zone],
                    supervisor.state,
                    supervisor.version,
                    supervisor.desired_version,
                    supervisor.failures.get(supervisor.desired_version, ""),
                    serving.run if serving is not None else 0,
                    supervisor.unexpected_exits,
                    broker.address,
                    run is not None and now - run.told_us > ASK_US + ANSWER_US,
                    told.get("classes", {}),
                    told.get("cpu_us", 0),
                    told.get("memory", 0),
                )
            )
        return frames.MachineView(self.name, rows)

    # Its notes.

    def _note(self) -> None:
        """Write what runs and what is wished; a disk that is full costs the note, and says so, not the
        brokers.
        """
        state = {
            "versions": {name: [v.program, v.settings, list(v.digests)] for name, v in self.versions.items()},
            "brokers": {
                broker.name: {
                    "address": broker.address,
                    "wanted": broker.supervisor.desired_version,
                    "kept": broker.supervisor.previous_version,
                    "term": broker.supervisor.term,
                    "number": broker.supervisor.number,
                    "runs": broker.supervisor.last_run,
                    "serving": broker.supervisor.serving.run if broker.supervisor.serving is not None else 0,
                    "processes": {
                        str(number): [run.pid, run.version, run.started, run.ready_file]
                        for number, run in broker.runs.items()
                    },
                }
                for broker in self.brokers.values()
            },
        }
        try:
            write_whole(self.folder / STATE, json.dumps(state))
        except OSError as problem:
            self.log("error", "the agent's notes could not be written", why=str(problem))

    def _restore(self) -> None:
        """Go on from the notes: processes that serve are adopted, half-started ones are ended."""
        path = self.folder / STATE
        if not path.exists():
            return
        state = json.loads(path.read_text())
        self.versions = {
            name: Version(row[0], row[1], (row[2][0], row[2][1])) for name, row in state["versions"].items()
        }
        for name, row in state["brokers"].items():
            broker = self.brokers.get(name)
            if broker is None:
                continue
            supervisor = broker.supervisor
            broker.address = row["address"]
            supervisor.desired_version = row["wanted"]
            supervisor.previous_version = row["kept"]
            supervisor.last_run = row["runs"]
            supervisor.term = row["term"]
            supervisor.number = row["number"]
            for number, (pid, version, started, ready_file) in row["processes"].items():
                if start_of(pid) != started:
                    continue
                if int(number) == row["serving"]:
                    broker.runs[int(number)] = Run(pid, version, started, ready_file)
                    supervisor.adopt_process(self.loop.now(), int(number), version)
                    self.log("info", "adopted", broker=name, version=version, pid=pid)
                else:
                    _signal(pid, signal.SIGTERM)


def write_whole(path: Path, text: str) -> None:
    """A file that is there whole or as it was, also after a loss of power; raises :class:`OSError`."""
    partial = path.with_suffix(path.suffix + ".part")
    with partial.open("w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    partial.rename(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def make_broker(
    name: str, zone: int, address: str, args: list[str], limits: SupervisorLimits | None = None
) -> ServiceBroker:
    """A broker of a machine."""
    return ServiceBroker(name, zone, args, address, BrokerSupervisor(name, limits or SupervisorLimits()))


def _signal(pid: int, number: int) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def start_of(pid: int) -> int:
    """When a process was started (kernel ticks); 0 where there is none, or but one that has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if fields[0] == "Z" else int(fields[19])
