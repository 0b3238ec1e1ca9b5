"""A fleet for rollouts: machines with agents that run brokers, hosts, coordinators, clients, a controller."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from heathwell.codec import frames
from heathwell.fleet.control.state_file import base_version
from heathwell.fleet.rollout.broker_supervisor import SupervisorState
from heathwell.settings import ServiceSettings, load
from heathwell.testing.simulation.agent_process import AgentProcess
from heathwell.testing.simulation.client_attempt import BrokerAddress
from heathwell.testing.simulation.client_population import ClientPopulation
from heathwell.testing.simulation.controller_process import ControllerProcess, RolloutPlan
from heathwell.testing.simulation.fault_links import FaultLinks
from heathwell.testing.simulation.fault_script import Load, Mix
from heathwell.testing.simulation.load_thread import LoadThread
from heathwell.testing.simulation.planted_versions import EditError, plant_version
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.simulation.scheduled_requests import poisson_requests

BROKERS_PER_MACHINE: Final = 2
BROKER_SEED: Final = 100
CONTROLLER: Final = "controller"
OLD_VERSION: Final = "v1"
LOAD_SECONDS: Final = 600.0
LOAD_CLIENTS: Final = 48
SEARCH_SHARE: Final = 3.0
RECORD_SHARE: Final = 1.0
VERSION_TIMEOUT_SECONDS: Final = 30.0
VERSION_POLL_INTERVAL_SECONDS: Final = 0.2
ROLLOUT_ANALYSIS: Final = ("--zone-share", "0.5", "--window", "1s", "--tolerance", "0.12")


@dataclass(frozen=True, slots=True)
class SettingsEdit:
    """A text of the settings file and its replacement."""

    old: str
    new: str


# From the example fleet with budgets: no brokers of its own, and budgets for the brokers of two versions.
SETTINGS_EDITS: Final = (
    SettingsEdit("(leaves 6) (brokers 6)", "(leaves 6) (brokers 0)"),
    SettingsEdit("(most 8)", "(most 20)"),
    SettingsEdit("(whole 14)", "(whole 40)"),
    SettingsEdit("(aside 40%) (burst 2s)", "(aside 40%) (burst 5s)"),
    SettingsEdit("(level info)", "(level error)"),
)


def write_service_settings(example: Path, into: Path) -> Path:
    """Write the settings of a fleet whose brokers agents run, from those of the example; return ``into``.

    Raise :class:`EditError` where the example lacks a text that is to be replaced.
    """
    text = example.read_text(encoding="utf-8")
    for edit in SETTINGS_EDITS:
        if edit.old not in text:
            raise EditError(str(example), edit.old)
        text = text.replace(edit.old, edit.new)
    into.write_text(text, encoding="utf-8")
    return into


class RolloutFleet:
    """Machines with an agent and two brokers each, zones in turn, and all else that the brokers need.

    The controller reaches the agents through ``links``. ``arrival_rate`` is in requests a second. All files
    are in ``folder``; rollouts begin from ``old_version``, whose program is ``old_program``.
    """

    def __init__(
        self,
        folder: Path,
        config: Path,
        *,
        machine_count: int = 3,
        arrival_rate: float = 40.0,
        seed: int = 1,
    ) -> None:
        self.folder = folder
        self.config = config
        self.seed = seed
        self.arrival_rate = arrival_rate
        self.machine_count = machine_count
        self.events = folder / "events"
        self.events.mkdir(parents=True)
        self.service_settings: ServiceSettings = load(config)
        self.links = FaultLinks(seed)
        self.processes = ProcessFleet(
            str(config), self.service_settings, str(self.events), seed, links=self.links
        )
        self.machines: dict[str, AgentProcess] = {}
        self.clients: ClientPopulation | None = None
        self._load: LoadThread | None = None
        self.old_program = plant_version(folder, OLD_VERSION)
        self.old_version = OLD_VERSION

    @contextmanager
    def running(self) -> Iterator[RolloutFleet]:
        """Run all processes until the end of the block; raise :class:`FleetError` where one cannot start."""
        self._record_run()
        try:
            self.processes.start()
            for number in range(self.machine_count):
                machine = self._start_agent(number)
                self.machines[machine.name] = machine
            for machine in self.machines.values():
                self._wait_until_ready(machine)
            yield self
        finally:
            self._stop()

    def _record_run(self) -> None:
        record = {
            "t": time.monotonic_ns() // 1000,
            "who": "run",
            "ev": "run",
            "figures": run_parameters_record(self.service_settings),
        }
        (self.events / "run.jsonl").write_text(json.dumps(record) + "\n")

    def _start_agent(self, number: int) -> AgentProcess:
        name = f"m{number}"
        first_broker = BROKERS_PER_MACHINE * number
        brokers = range(first_broker, first_broker + BROKERS_PER_MACHINE)
        state_folder = self.folder / name
        arguments = [
            "agent",
            *("--config", str(self.config)),
            *("--name", name),
            *("--state", str(state_folder)),
            *("--version", OLD_VERSION),
            *("--program", str(self.old_program)),
            *("--settings", str(self.config)),
            *("--args", json.dumps({f"b{broker}": self._broker_arguments(broker) for broker in brokers})),
            *("--broker-events", str(self.events)),
        ]
        zone_count = len(self.service_settings.fleet.zones)
        for broker in brokers:
            arguments += ["--broker", f"b{broker}:{broker % zone_count}:127.0.0.1:0"]
        return AgentProcess(name, state_folder, arguments)

    def _broker_arguments(self, number: int) -> list[str]:
        discovery = self.processes.members["discovery"].address
        return ["--discovery", discovery, "--seed", str(BROKER_SEED + number), *self._coordinator_arguments()]

    def _coordinator_arguments(self) -> list[str]:
        addresses = [coordinator.address for coordinator in self.processes.coordinators]
        return ["--keepers", ",".join(addresses)] if addresses else []

    def _wait_until_ready(self, machine: AgentProcess) -> None:
        machine.wait_until_ready()
        self.links.set_target(machine.name, machine.address)

    def restart_agent(self, name: str) -> None:
        """Kill an agent and start its next run at the same address; its brokers go on meanwhile."""
        machine = self.machines[name]
        machine.restart()
        self.links.set_target(name, machine.address)

    def _stop(self) -> None:
        self.end_load()
        for machine in self.machines.values():
            machine.terminate()
        for machine in self.machines.values():
            machine.wait()
        for machine in self.machines.values():
            machine.kill_orphaned_brokers()
        self.processes.stop()

    def broker_addresses(self) -> list[BrokerAddress]:
        """Return the brokers as clients find them."""
        return [
            BrokerAddress(name, address)
            for machine in self.machines.values()
            for name, address in machine.brokers.items()
        ]

    def begin_load(self, seconds: float = LOAD_SECONDS) -> None:
        """Send requests until :meth:`end_load`, or for so long."""
        mix = [
            Mix(space.prefix, SEARCH_SHARE if space.shape == "search" else RECORD_SHARE)
            for space in self.service_settings.keys
        ]
        load_spec = Load(rate=self.arrival_rate, clients=LOAD_CLIENTS, mix=mix)
        self.clients = ClientPopulation(
            load_spec, self.service_settings, self.broker_addresses, self.events / "clients.jsonl"
        )
        requests = poisson_requests(
            load_spec, self.service_settings, self.seed, 0.0, seconds, lambda _at: 1.0
        )
        self._load = LoadThread(self.clients, requests)

    def end_load(self) -> None:
        """Send no more requests, and wait for the replies to those that were sent."""
        if self._load is not None:
            self._load.stop()
            self._load = None

    def start_controller(self, plan: RolloutPlan) -> ControllerProcess:
        """Start a controller that rolls out a version."""
        folder = self.folder / plan.name
        agents = [self.links.open_link(CONTROLLER, name) for name in self.machines]
        arguments = [
            *("rollout", "start"),
            *("--config", str(self.config)),
            *("--name", f"rollout-{plan.name}"),
            *("--state", str(folder)),
            *("--machines", ",".join(agents)),
            *("--from", plan.old_version or self.old_version),
            *("--from-program", str(plan.old_program or self.old_program)),
            *("--from-settings", str(plan.old_settings or self.config)),
            *("--to", plan.new_version),
            *("--program", str(plan.program or self.old_program)),
            *("--settings", str(plan.settings or self.config)),
            *("--stages", plan.stages),
            *("--bake", plan.min_stage_duration),
            *("--most", plan.max_stage_duration),
            *("--prove", plan.proof_stage),
            *ROLLOUT_ANALYSIS,
            *self._coordinator_arguments(),
            *plan.extra_arguments,
        ]
        return ControllerProcess(folder, arguments)

    def broker_statuses(self) -> dict[str, frames.BrokerStatus]:
        """Return what each broker runs, by its name, as its agent reports it."""
        statuses = [status for machine in self.machines.values() for status in machine.broker_statuses()]
        return {status.broker: status for status in statuses}

    def wait_for_version(self, version: str, timeout_seconds: float = VERSION_TIMEOUT_SECONDS) -> bool:
        """Return whether all brokers come to run a version in time."""
        until_seconds = time.monotonic() + timeout_seconds
        while time.monotonic() < until_seconds:
            if all(_runs_version(status, version) for status in self.broker_statuses().values()):
                return True
            time.sleep(VERSION_POLL_INTERVAL_SECONDS)
        return False


def _runs_version(status: frames.BrokerStatus, version: str) -> bool:
    return base_version(status.version) == version and status.state == SupervisorState.RUNNING
