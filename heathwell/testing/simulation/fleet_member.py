"""One process of a fleet: its command line, its ready line, its signals and the faults injected into it."""

from __future__ import annotations

import signal
import subprocess
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import msgspec

from heathwell.codec import frames, inner_protocol
from heathwell.testing.simulation.command_process import read_ready_line, start_command, wait_or_kill
from heathwell.testing.simulation.errors import (
    MemberClosedError,
    MemberFaultError,
    MemberNotReadyError,
)

FAULT_TIMEOUT_SECONDS: Final = 5
FAULT_SENDER: Final = "script"


class Role(StrEnum):
    """What a process of the fleet runs; the values are names of commands."""

    BROKER = "broker"
    COORDINATOR = "keeper"
    RELAY = "relay"
    LEAF = "leaf"
    DISCOVERY = "discovery"
    SOURCE = "source"


# Each run of these has a name and an event log of its own.
ROLES_WITH_NAMED_RUNS: Final = frozenset({Role.BROKER, Role.COORDINATOR})


class ReadyRecord(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"replica_group": "cell", "admin_address": "admin", "vector_address": "vector"},
):
    """What a process reports once it serves. The fleet adds the role, and the zone where none is reported."""

    role: str = ""
    zone: str | int | None = None
    name: str
    pid: int
    address: str
    replica_group: int | None = None
    admin_address: str = ""
    vector_address: str = ""
    number: int | None = None
    run: str = ""
    routes: dict[str, str] | None = None


@dataclass(frozen=True, slots=True)
class MemberSpec:
    """A process of the fleet by its name, and the arguments of its command."""

    role: Role
    name: str
    number: int
    zone: int
    arguments: tuple[str, ...] = ()

    def run_name(self, run: int) -> str:
        """Return the name of a run, counted from 0."""
        return f"{self.name}r{run}" if self.role in ROLES_WITH_NAMED_RUNS else self.name


@dataclass(slots=True)
class FleetMember:
    """One run of a process. ``end_expected`` is set before the fleet itself ends the process."""

    spec: MemberSpec
    process: subprocess.Popen[str]
    run: int = 0
    ready: ReadyRecord | None = None
    end_expected: bool = False

    @property
    def name(self) -> str:
        """The member's name in the fleet, the same for all its runs."""
        return self.spec.name

    @property
    def role(self) -> Role:
        """The member's role."""
        return self.spec.role

    @property
    def zone(self) -> int:
        """The index of the member's zone in the settings."""
        return self.spec.zone

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def address(self) -> str:
        """The address at which the process serves; empty before it does."""
        return self.ready.address if self.ready is not None else ""

    @property
    def admin_address(self) -> str:
        """The address of the admin pages; empty before the process serves or where it has none."""
        return self.ready.admin_address if self.ready is not None else ""

    @property
    def vector_address(self) -> str:
        """The address for vector searches; empty before the process serves or where it has none."""
        return self.ready.vector_address if self.ready is not None else ""

    @property
    def routes(self) -> dict[str, str]:
        """The relay's own addresses, by the addresses of the targets behind them."""
        return (self.ready.routes or {}) if self.ready is not None else {}

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def wait_until_ready(self) -> None:
        """Read the ready line; raise :class:`MemberStartError` where the process ends without one."""
        line = read_ready_line(self.process, self.name)
        self.ready = msgspec.json.decode(line, type=ReadyRecord)

    def table_row(self, zone_name: str) -> ReadyRecord:
        """Return the ready record with the member's role and zone; of a member that serves."""
        if self.ready is None:
            raise MemberNotReadyError(self.name)
        zone = self.ready.zone if self.ready.zone is not None else zone_name
        return msgspec.structs.replace(self.ready, role=self.role, zone=zone)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.end_expected = True
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM where the process still runs."""
        self.end_expected = True
        if self.is_running:
            self.process.send_signal(signal.SIGTERM)

    def pause(self, duration_seconds: float) -> None:
        """Send SIGSTOP, and SIGCONT after a while."""
        self.process.send_signal(signal.SIGSTOP)
        threading.Timer(duration_seconds, self.resume).start()

    def resume(self) -> None:
        """Send SIGCONT where the process still runs."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)

    def wait(self, timeout_seconds: float) -> int:
        """Return the exit code; a process that does not end in time is killed."""
        return wait_or_kill(self.process, timeout_seconds)

    def inject_fault(self, command: frames.FaultCommand) -> None:
        """Inject a fault into a stand-in.

        Raise :class:`MemberNotReadyError` before it serves, :class:`MemberClosedError` where it closes the
        connection without a reply and :class:`MemberFaultError` where it rejects the fault.
        """
        if not self.address:
            raise MemberNotReadyError(self.name)
        try:
            reply = inner_protocol.request(
                self.address,
                FAULT_SENDER,
                FAULT_SENDER,
                command,
                frames.FaultCommandReply,
                FAULT_TIMEOUT_SECONDS,
            )
        except ValueError:
            raise MemberClosedError(self.name) from None
        if reply.text:
            raise MemberFaultError(self.name, reply.text)


@dataclass(frozen=True, slots=True)
class MemberLauncher:
    """Starts processes of one fleet; clock rates are by member name.

    Without a folder for events the processes write no event logs.
    """

    settings_path: str
    events_folder: str | None
    clock_rates: dict[str, float]

    def launch(self, spec: MemberSpec, run: int = 0, run_arguments: Sequence[str] = ()) -> FleetMember:
        """Start a run of a member, with arguments of this run beside the member's own."""
        arguments = [spec.role, "--config", self.settings_path, "--name", spec.run_name(run)]
        arguments += spec.arguments
        arguments += run_arguments
        if self.events_folder:
            arguments += ["--events", self.events_folder]
        if spec.name in self.clock_rates:
            arguments += ["--clock-rate", str(self.clock_rates[spec.name])]
        return FleetMember(spec, start_command(arguments), run)
