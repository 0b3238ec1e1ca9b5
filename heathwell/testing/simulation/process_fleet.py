"""A fleet of processes on loopback: started, killed, restarted and ordered about by one supervisor."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from heathwell.codec import frames, inner_protocol
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fault_links import FaultLinks

START_SECONDS = 30.0
RUNS = ("broker", "keeper")  # roles whose runs have names of their own, and so logs of their own


class FleetError(Exception):
    """A process that did not start, or an order that was not taken."""


@dataclass(slots=True)
class Member:
    """One process of the fleet and how to start it again."""

    name: str
    role: str
    number: int
    zone: int
    args: list[str]
    process: subprocess.Popen[str]
    ready: dict[str, Any] = field(default_factory=dict)
    runs: int = 0
    stopping: bool = False

    @property
    def address(self) -> str:
        """Where it serves."""
        return str(self.ready.get("address", ""))


class ProcessFleet:
    """Discovery, hosts and brokers of a settings file, each a process of its own."""

    def __init__(
        self,
        config: str,
        service_settings: ServiceSettings,
        events: str | None = None,
        seed: int = 1,
        leaf_host: str = "127.0.0.1",
        wires: FaultLinks | None = None,
        clocks: dict[str, float] | None = None,
    ) -> None:
        # With wires each process reaches the others by a relay of its own; ``clocks`` are rates by name.
        self.wires, self.clocks = wires, clocks or {}
        # With many clients of this machine another loopback address for hosts keeps a killed host's port its
        # own.
        self.leaf_host = leaf_host
        self.config, self.service_settings, self.events, self.seed = config, service_settings, events, seed
        self.members: dict[str, Member] = {}
        self.restart_after = 5.0
        self._lock = threading.Lock()
        self._stopping = False
        self._clock: list[str] = []
        self.deaths: list[tuple[float, str]] = []

    def up(self) -> None:
        """Start everything; raises :class:`FleetError`."""
        zones = len(self.service_settings.fleet.zones)
        self._wait([self._start("discovery", "discovery", 0, 0, [])])
        clock: list[str] = []
        if self.service_settings.freshness.enabled:
            self._wait([self._start("source", "source", 0, 0, [])])
            clock = ["--source", self.members["source"].address]
        names = [f"k{n}" for n in range(len(self.service_settings.fleet.coordinators))]
        self._wait(
            [
                self._start("keeper", name, n, n % zones, ["--number", str(n), *self._keepers(name, names)])
                for n, name in enumerate(names)
            ]
        )
        hosts = [
            self._start(
                "leaf",
                f"leaf{n}",
                n,
                n % zones,
                [
                    "--discovery",
                    self._way(f"leaf{n}", "discovery"),
                    "--cell",
                    str(n % self.service_settings.fleet.cells),
                    "--zone",
                    str(n % zones),
                    "--seed",
                    str(self.seed * 100 + n),
                    "--listen",
                    f"{self.leaf_host}:0",
                ],
            )
            for n in range(self.service_settings.fleet.leaves)
        ]
        self._wait(hosts)
        self._wait(self._relays())
        self._clock = clock
        self._wait([self._broker(n) for n in range(self.service_settings.fleet.brokers)])

    def _broker(self, n: int) -> Member:
        zone, keepers = (
            n % len(self.service_settings.fleet.zones),
            [member.name for member in self.of("keeper")],
        )
        return self._start(
            "broker",
            f"b{n}",
            n,
            zone,
            [
                "--discovery",
                self._way(f"b{n}", "discovery"),
                "--zone",
                str(zone),
                "--seed",
                str(self.seed * 1000 + n),
                *self._clock,
                *self._routes(f"b{n}", zone),
                *self._keepers(f"b{n}", keepers),
            ],
        )

    def join(self, number: int, seconds: float) -> None:
        """One broker more, which is asked to end after so many seconds."""
        with self._lock:
            if self._stopping:
                return
            member = self._broker(number)
        self._wait([member])
        threading.Timer(seconds, self._leave, (member,)).start()

    @staticmethod
    def _leave(member: Member) -> None:
        member.stopping = True
        if member.process.poll() is None:
            member.process.send_signal(signal.SIGTERM)

    def region_of(self, zone: int) -> str:
        """The region that a zone stands in; empty where there are none."""
        name = self.service_settings.fleet.zones[zone]
        return next(
            (region.name for region in self.service_settings.across.regions if name in region.zones), ""
        )

    def _relays(self) -> list[Member]:
        """A link a region: the way of its brokers to the hosts of the others."""
        out = []
        for number, region in enumerate(self.service_settings.across.regions):
            far = [leaf.address for leaf in self.of("leaf") if self.region_of(leaf.zone) != region.name]
            if far:
                out.append(
                    self._start(
                        "relay",
                        f"link-{region.name}",
                        number,
                        0,
                        ["--targets", ",".join(far), "--seed", str(self.seed * 10 + number)],
                    )
                )
        return out

    def _way(self, source: str, target: str) -> str:
        """The address by which one process reaches another."""
        return (
            self.wires.open_link(source, target) if self.wires is not None else self.members[target].address
        )

    def _keepers(self, source: str, names: list[str]) -> list[str]:
        """How a process finds the keepers: with wires by its own ways to them, else as settings say."""
        if not names or self.wires is None:
            return []
        return [
            "--keepers",
            ",".join(self.wires.open_link(source, name) for name in names),
            *(["--listen", "127.0.0.1:0"] if source in names else []),
        ]

    def _routes(self, source: str, zone: int) -> list[str]:
        if self.wires is not None:
            return [
                "--routes",
                json.dumps({leaf.address: self._way(source, leaf.name) for leaf in self.of("leaf")}),
            ]
        link = self.members.get(f"link-{self.region_of(zone)}")
        return ["--routes", json.dumps(link.ready["routes"])] if link is not None else []

    def of(self, role: str) -> list[Member]:
        """The members of a role, in their order."""
        return [member for member in self.members.values() if member.role == role]

    def table(self) -> dict[str, Any]:
        """Names and addresses, for a ready file."""
        return {
            member.name: {
                "role": member.role,
                "zone": self.service_settings.fleet.zones[member.zone],
                **member.ready,
            }
            for member in self.members.values()
        }

    def kill(self, name: str, back_after: float | None) -> None:
        """SIGKILL a member; it comes back at its address after so many seconds (never with None)."""
        member = self.members[name]
        member.stopping = True
        if self.wires is not None:
            self.wires.set_target(name, "")  # its port may be another's meanwhile, of another run even
        member.process.kill()
        member.process.wait()
        self.deaths.append((time.monotonic(), name))
        if back_after is not None:
            threading.Timer(back_after, self._again, (name,)).start()

    def pause(self, name: str, seconds: float) -> None:
        """SIGSTOP a member, and SIGCONT it after so many seconds."""
        process = self.members[name].process
        process.send_signal(signal.SIGSTOP)
        threading.Timer(seconds, self._go_on, (process,)).start()

    @staticmethod
    def _go_on(process: subprocess.Popen[str]) -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def signal(self, name: str, number: int) -> None:
        """Send a member a signal."""
        self.members[name].process.send_signal(number)

    def watch(self) -> list[str]:
        """Members that ended by themselves since the last look; each comes back cold after a while."""
        ended = []
        for member in list(self.members.values()):
            if not member.stopping and member.process.poll() is not None:
                member.stopping = True
                ended.append(member.name)
                self.deaths.append((time.monotonic(), member.name))
                threading.Timer(self.restart_after, self._again, (member.name,)).start()
        return ended

    def order(self, name: str, control: frames.FaultCommand) -> None:
        """Tell a stand-in to make trouble; raises :class:`FleetError` with its complaint."""
        address = self.members[name].address
        if not address:
            raise FleetError(f"{name} is not up")
        try:
            done = inner_protocol.request(address, "script", "script", control, frames.FaultCommandReply, 5)
        except ValueError:
            raise FleetError(f"{name} closed without taking the order") from None
        if done.text:
            raise FleetError(f"{name}: {done.text}")

    def down(self, seconds: float = 10.0) -> dict[str, int]:
        """SIGTERM to all, brokers first, and their exit codes; what does not end in time is killed."""
        with self._lock:
            self._stopping = True
        codes = {}
        for role in ("broker", "keeper", "relay", "leaf", "discovery", "source"):
            group = [m for m in self.of(role) if m.process.poll() is None]
            for member in group:
                member.stopping = True
                self._go_on(member.process)
                member.process.send_signal(signal.SIGTERM)
            until = time.monotonic() + seconds
            for member in group:
                try:
                    codes[member.name] = member.process.wait(max(0.1, until - time.monotonic()))
                except subprocess.TimeoutExpired:
                    member.process.kill()
                    codes[member.name] = member.process.wait()
        if self.wires is not None:
            self.wires.close()
        return codes

    def _again(self, name: str) -> None:
        with self._lock:
            if self._stopping:
                return
            old = self.members[name]
            if old.process.poll() is None:
                return  # killed twice, and back by the first
            # By wires a keeper is met where it was, wherever it listens.
            moved = self.wires is not None and old.role == "keeper"
            extra = ["--listen", "127.0.0.1:0" if moved else old.address] + (
                ["--cold"] if old.role == "leaf" else []
            )
            run_name = f"{name}r{old.runs + 1}" if old.role in RUNS else name
            member = self._spawn(old.role, name, old.number, old.zone, old.args, extra, run_name)
            member.runs = old.runs + 1
        try:
            self._wait([member])
        except FleetError as problem:
            if not member.stopping:  # else it was killed as it started
                print(problem, file=sys.stderr)

    def _start(self, role: str, name: str, number: int, zone: int, args: list[str]) -> Member:
        return self._spawn(role, name, number, zone, args, [], f"{name}r0" if role in RUNS else name)

    def _spawn(
        self, role: str, name: str, number: int, zone: int, args: list[str], extra: list[str], run_name: str
    ) -> Member:
        command = [
            sys.executable,
            "-m",
            "heathwell",
            role,
            "--config",
            self.config,
            "--name",
            run_name,
            *args,
            *extra,
        ]
        if self.events:
            command += ["--events", self.events]
        if name in self.clocks:
            command += ["--clock-rate", str(self.clocks[name])]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        member = Member(name, role, number, zone, args, process)
        self.members[name] = member
        return member

    def _wait(self, members: list[Member]) -> None:
        for member in members:
            assert member.process.stdout is not None
            line = member.process.stdout.readline()
            if not line:
                code = member.process.wait(START_SECONDS)
                raise FleetError(f"{member.name} did not start: exit code {code}")
            member.ready = json.loads(line)
            if self.wires is not None:
                self.wires.set_target(member.name, member.address)
