"""The process of a machine's node agent, which runs the brokers of that machine."""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import msgspec

from heathwell.codec import frames, inner_protocol
from heathwell.fleet.control.broker_process import process_start_ticks
from heathwell.fleet.control.state_file import load_agent_state
from heathwell.testing.simulation.command_process import read_ready_line, start_command, wait_or_kill

STOP_TIMEOUT_SECONDS: Final = 15
REQUEST_TIMEOUT_SECONDS: Final = 5
REQUEST_SENDER: Final = "lab"


class AgentReadyRecord(msgspec.Struct, frozen=True):
    """What an agent reports once its brokers serve: its address, and theirs by name."""

    address: str
    brokers: dict[str, str]


class AgentProcess:
    """A node agent. ``state_folder`` is where it keeps its state; ``brokers`` are addresses by name."""

    def __init__(self, name: str, state_folder: Path, arguments: Sequence[str]) -> None:
        self.name = name
        self.state_folder = state_folder
        self.address = ""
        self.brokers: dict[str, str] = {}
        self._arguments = arguments
        self.process = self._start()

    def _start(self, *run_arguments: str) -> subprocess.Popen[str]:
        return start_command([*self._arguments, *run_arguments], stderr=subprocess.DEVNULL)

    def wait_until_ready(self) -> None:
        """Read the ready line; raise :class:`MemberStartError` where the process ends without one."""
        line = read_ready_line(self.process, f"agent {self.name}")
        ready = msgspec.json.decode(line, type=AgentReadyRecord)
        self.address = ready.address
        self.brokers = ready.brokers

    def restart(self) -> None:
        """Send SIGKILL and start the next run at the same address; its brokers go on meanwhile."""
        self.process.kill()
        self.process.wait()
        self.process = self._start("--listen", self.address)
        self.wait_until_ready()

    def terminate(self) -> None:
        """Send SIGTERM where the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    def wait(self) -> None:
        """Wait for the end of the process; it is killed where it does not end in time."""
        wait_or_kill(self.process, STOP_TIMEOUT_SECONDS)

    def kill_orphaned_brokers(self) -> None:
        """Kill the brokers that the agent left behind, by the process ids in its state file."""
        state = load_agent_state(self.state_folder)
        if state is None:
            return
        for broker in state.brokers.values():
            for process in broker.processes.values():
                if process_start_ticks(process.pid) == process.start_ticks:
                    os.kill(process.pid, signal.SIGKILL)

    def broker_statuses(self) -> list[frames.BrokerStatus]:
        """Return what each broker of the machine runs, as the agent reports it."""
        view = inner_protocol.request(
            self.address,
            REQUEST_SENDER,
            REQUEST_SENDER,
            frames.MachineRequest(),
            frames.MachineView,
            REQUEST_TIMEOUT_SECONDS,
        )
        return view.running
