"""The processes of one broker on its node: their listening socket, their start and their status.

The agent opens the socket and passes it to each process, so that connections wait in the kernel while one
process exits and another starts. Owns sockets and child processes; the :class:`BrokerSupervisor` decides what
is started or stopped. Imports the state file's records, the supervisor and address parsing.
"""

from __future__ import annotations

import contextlib
import os
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from heathwell.eventloop.net import split_address
from heathwell.fleet.control.service_report import ServiceReport
from heathwell.fleet.control.state_file import (
    BrokerState,
    ProcessState,
    VersionFiles,
    write_atomically,
)
from heathwell.fleet.rollout.broker_supervisor import BrokerSupervisor, SupervisorLimits

LISTEN_BACKLOG = 4_096
STAT_STATE_FIELD = 0  # index in /proc/PID/stat after the command's name
STAT_START_TIME_FIELD = 19
ZOMBIE = "Z"


@dataclass(slots=True)
class RunningProcess:
    """A process of a broker; ``child`` is None for one that an earlier agent started.

    ``admin_address`` is empty until the process has reported that it serves.
    """

    pid: int
    version: str  # current version: settings may be applied without a restart
    start_ticks: int
    ready_file: Path
    child: subprocess.Popen[bytes] | None = None
    admin_address: str = ""
    report: ServiceReport = field(default_factory=ServiceReport)
    reported_at_us: int = 0

    def exit_code(self) -> int | None:
        """Return the exit code: None while the process runs, 0 for an adopted one, as its code is unknown."""
        if self.child is not None:
            return self.child.poll()
        return None if process_start_ticks(self.pid) == self.start_ticks else 0

    def to_state(self) -> ProcessState:
        """Return the process's record for the state file."""
        return ProcessState(self.pid, self.version, self.start_ticks, str(self.ready_file))


@dataclass(slots=True)
class SupervisedBroker:
    """One broker of a machine: its supervisor, its socket, and its processes by run number."""

    name: str
    zone_number: int
    arguments: list[str]  # additional arguments of `heathwell broker`
    address: str  # HOST:PORT; if the kernel chooses the port, it is 0 until the socket is open
    supervisor: BrokerSupervisor
    listening_socket: socket.socket | None = None
    processes: dict[int, RunningProcess] = field(default_factory=dict)

    def serving_process(self) -> RunningProcess | None:
        """Return the serving process, if there is one."""
        serving = self.supervisor.serving
        return self.processes.get(serving.run) if serving is not None else None

    def open_socket(self) -> socket.socket:
        """Return the listening socket, opened on first use; raises :class:`OSError`.

        SO_REUSEPORT allows another socket on the same port, which an earlier agent opened.
        """
        if self.listening_socket is None:
            host, port = split_address(self.address)
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setblocking(False)  # noqa: FBT003  # the library's own signature
            sock.bind((host, port))
            sock.listen(LISTEN_BACKLOG)
            self.listening_socket = sock
            self.address = f"{host}:{sock.getsockname()[1]}"
        return self.listening_socket

    def to_state(self) -> BrokerState:
        """Return the broker's record for the state file."""
        supervisor = self.supervisor
        return BrokerState(
            address=self.address,
            desired_version=supervisor.desired_version,
            previous_version=supervisor.previous_version,
            term=supervisor.term,
            number=supervisor.number,
            last_run=supervisor.last_run,
            serving_run=supervisor.serving.run if supervisor.serving is not None else 0,
            processes={run: process.to_state() for run, process in self.processes.items()},
        )


@dataclass(frozen=True, slots=True)
class ProcessLauncher:
    """Starts broker processes with files in ``folder`` and event logs in ``events`` (empty: none)."""

    folder: Path
    events: str = ""

    def settings_path(self, broker: SupervisedBroker) -> Path:
        """Return the path of a broker's settings file, which is the agent's copy of the version's file."""
        return self.folder / f"{broker.name}.sx"

    def write_settings(self, broker: SupervisedBroker, files: VersionFiles) -> None:
        """Copy a version's settings to the broker's settings file; raises :class:`OSError`."""
        write_atomically(self.settings_path(broker), Path(files.settings).read_text(encoding="utf-8"))

    def launch(self, broker: SupervisedBroker, run: int, version: str, files: VersionFiles) -> RunningProcess:
        """Start a process that listens on the broker's socket; raises :class:`OSError`."""
        sock = broker.open_socket()
        self.write_settings(broker, files)
        ready_file = self.ready_file(broker, run)
        command = self._command(broker, run, ready_file, sock.fileno())
        with (self.folder / f"{broker.name}-{run}.log").open("wb") as log:
            child = subprocess.Popen(
                command,
                cwd=files.program,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(sock.fileno(),),
                start_new_session=True,
                env={**os.environ, "PYTHONPATH": files.program, "PYTHONUNBUFFERED": "1"},
            )
        return RunningProcess(child.pid, version, process_start_ticks(child.pid), ready_file, child)

    def ready_file(self, broker: SupervisedBroker, run: int) -> Path:
        """Return the path of the file that a process writes when it starts to serve."""
        return self.folder / f"{broker.name}-{run}.ready"

    def _command(self, broker: SupervisedBroker, run: int, ready_file: Path, socket_fd: int) -> list[str]:
        command = [
            sys.executable,
            "-m",
            "heathwell",
            "broker",
            "--config",
            str(self.settings_path(broker)),
            "--name",
            f"{broker.name}r{run}",
            "--zone",
            str(broker.zone_number),
            "--ready-file",
            str(ready_file),
            "--report",
            "--listen",
            f"fd:{socket_fd}",
            *broker.arguments,
        ]
        if self.events:
            command += ["--events", self.events]
        return command


def create_supervised_broker(
    name: str,
    zone_number: int,
    address: str,
    arguments: list[str],
    limits: SupervisorLimits | None = None,
) -> SupervisedBroker:
    """Return a broker with a new supervisor and without processes."""
    supervisor = BrokerSupervisor(name, limits or SupervisorLimits())
    return SupervisedBroker(name, zone_number, arguments, address, supervisor)


def send_signal(pid: int, number: int) -> None:
    """Send a signal to a process unless it has ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def process_start_ticks(pid: int) -> int:
    """Return a process's start time in the kernel's ticks; 0 if it does not exist or is a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if fields[STAT_STATE_FIELD] == ZOMBIE else int(fields[STAT_START_TIME_FIELD])
