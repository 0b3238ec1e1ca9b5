"""A fleet of processes on loopback, which this process starts, restarts, stops and injects faults into."""

from __future__ import annotations

import sys
import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from heathwell.codec import frames
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.errors import FleetError
from heathwell.testing.simulation.fault_links import FaultLinks
from heathwell.testing.simulation.fleet_member import (
    FleetMember,
    MemberLauncher,
    MemberSpec,
    ReadyRecord,
    Role,
)
from heathwell.testing.simulation.fleet_member_specs import ANY_LOOPBACK_PORT, MemberSpecs

RESTART_DELAY_SECONDS: Final = 5.0
STOP_TIMEOUT_SECONDS: Final = 10.0
MIN_STOP_TIMEOUT_SECONDS: Final = 0.1
# Brokers first: they finish what they hold while all else still serves.
STOP_ORDER: Final = (
    Role.BROKER,
    Role.COORDINATOR,
    Role.RELAY,
    Role.LEAF,
    Role.DISCOVERY,
    Role.SOURCE,
)


@dataclass(frozen=True, slots=True)
class MemberDeath:
    """A process that was killed or ended by itself, in seconds of the monotonic clock."""

    name: str
    at_seconds: float


class ProcessFleet:
    """Discovery, coordinators, hosts and brokers of a settings file, each a process of its own.

    With ``links`` each process reaches the others through a link of its own; ``clock_rates`` are by member
    name. ``leaf_host`` is the loopback address of the hosts: with many clients on this machine, another one
    than the clients' keeps the port of a killed host free for its restart.
    """

    def __init__(
        self,
        config: str,
        service_settings: ServiceSettings,
        events: str | None = None,
        seed: int = 1,
        leaf_host: str = "127.0.0.1",
        links: FaultLinks | None = None,
        clock_rates: dict[str, float] | None = None,
    ) -> None:
        self.service_settings = service_settings
        self.links = links
        self.members: dict[str, FleetMember] = {}
        self.deaths: list[MemberDeath] = []
        self.restart_delay_seconds = RESTART_DELAY_SECONDS
        self._launcher = MemberLauncher(config, events, clock_rates or {})
        self._specs = MemberSpecs(service_settings, self.members, seed=seed, leaf_host=leaf_host, links=links)
        self._lock = threading.Lock()
        self._stopping = False

    def members_of(self, role: Role) -> list[FleetMember]:
        """Return the members of a role, in the order of their first start."""
        return [member for member in self.members.values() if member.role is role]

    @property
    def brokers(self) -> list[FleetMember]:
        """The brokers."""
        return self.members_of(Role.BROKER)

    @property
    def coordinators(self) -> list[FleetMember]:
        """The quota coordinators."""
        return self.members_of(Role.COORDINATOR)

    @property
    def leaves(self) -> list[FleetMember]:
        """The hosts."""
        return self.members_of(Role.LEAF)

    @property
    def relays(self) -> list[FleetMember]:
        """The relays between regions."""
        return self.members_of(Role.RELAY)

    def ready_table(self) -> dict[str, ReadyRecord]:
        """Return what each member reported, with its role and zone, by its name."""
        zones = self.service_settings.fleet.zones
        return {member.name: member.table_row(zones[member.zone]) for member in self.members.values()}

    def start(self) -> None:
        """Start all processes; raise :class:`FleetError` where one does not serve."""
        fleet = self.service_settings.fleet
        self._start_and_wait([self._specs.discovery()])
        if self.service_settings.freshness.enabled:
            [source] = self._start_and_wait([self._specs.source()])
            self._specs.source_address = source.address
        self._start_and_wait(self._specs.coordinator(n) for n in range(len(fleet.coordinators)))
        self._start_and_wait(self._specs.leaf(n) for n in range(fleet.leaves))
        self._start_and_wait(self._specs.region_relays())
        self._start_and_wait(self._specs.broker(n) for n in range(fleet.brokers))

    def stop(self, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> dict[str, int]:
        """Send SIGTERM to all processes, one role after the other, and return their exit codes by name.

        What does not end in ``timeout_seconds`` (of its role) is killed.
        """
        with self._lock:
            self._stopping = True
        exit_codes: dict[str, int] = {}
        for role in STOP_ORDER:
            exit_codes.update(self._stop_role(role, timeout_seconds))
        if self.links is not None:
            self.links.close()
        return exit_codes

    def _stop_role(self, role: Role, timeout_seconds: float) -> dict[str, int]:
        running = [member for member in self.members_of(role) if member.is_running]
        for member in running:
            member.resume()
            member.terminate()
        stop_at_seconds = time.monotonic() + timeout_seconds
        return {
            member.name: member.wait(max(MIN_STOP_TIMEOUT_SECONDS, stop_at_seconds - time.monotonic()))
            for member in running
        }

    def add_broker(self, number: int, lifetime_seconds: float) -> None:
        """Start one more broker, and send it SIGTERM after ``lifetime_seconds``."""
        with self._lock:
            if self._stopping:
                return
            member = self._launch(self._specs.broker(number))
        self._wait_until_ready(member)
        threading.Timer(lifetime_seconds, member.terminate).start()

    def kill(self, name: str, restart_after_seconds: float | None) -> None:
        """Send SIGKILL to a member; restart it at its address after a while, or never with None."""
        member = self.members[name]
        if self.links is not None:
            self.links.set_target(
                name, ""
            )  # another process, even of another run, may get its port meanwhile
        member.kill()
        self.deaths.append(MemberDeath(name, time.monotonic()))
        if restart_after_seconds is not None:
            threading.Timer(restart_after_seconds, self._restart, (name,)).start()

    def pause(self, name: str, duration_seconds: float) -> None:
        """Stop a member by SIGSTOP for a while."""
        self.members[name].pause(duration_seconds)

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a member."""
        self.members[name].process.send_signal(signal_number)

    def inject_fault(self, name: str, command: frames.FaultCommand) -> None:
        """Inject a fault into a stand-in; raise :class:`FleetError` where it is not accepted."""
        self.members[name].inject_fault(command)

    def restart_ended_members(self) -> list[str]:
        """Schedule a restart of each member that ended by itself since the last call; return their names."""
        members = list(self.members.values())  # restarts and new brokers change the map meanwhile
        ended = [member for member in members if not member.end_expected and not member.is_running]
        for member in ended:
            member.end_expected = True
            self.deaths.append(MemberDeath(member.name, time.monotonic()))
            threading.Timer(self.restart_delay_seconds, self._restart, (member.name,)).start()
        return [member.name for member in ended]

    def _restart(self, name: str) -> None:
        with self._lock:
            old = self.members[name]
            if self._stopping or old.is_running:  # a member that was killed twice is restarted once
                return
            member = self._launch(old.spec, old.run + 1, self._restart_arguments(old))
        try:
            self._wait_until_ready(member)
        except FleetError as error:
            if not member.end_expected:  # else it was killed while it started
                print(error, file=sys.stderr)

    def _restart_arguments(self, old: FleetMember) -> Sequence[str]:
        # With links the others reach a coordinator through the same addresses wherever it listens.
        keeps_address = self.links is None or old.role is not Role.COORDINATOR
        listen = ("--listen", old.address if keeps_address else ANY_LOOPBACK_PORT)
        return (*listen, "--cold") if old.role is Role.LEAF else listen

    def _start_and_wait(self, specs: Iterable[MemberSpec]) -> list[FleetMember]:
        """Start members side by side and wait until all of them serve."""
        started = [self._launch(spec) for spec in specs]
        for member in started:
            self._wait_until_ready(member)
        return started

    def _launch(self, spec: MemberSpec, run: int = 0, run_arguments: Sequence[str] = ()) -> FleetMember:
        member = self._launcher.launch(spec, run, run_arguments)
        self.members[spec.name] = member
        return member

    def _wait_until_ready(self, member: FleetMember) -> None:
        member.wait_until_ready()
        if self.links is not None:
            self.links.set_target(member.name, member.address)
