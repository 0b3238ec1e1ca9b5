"""Injects the faults of a script into a fleet of processes."""

from __future__ import annotations

import re
import signal
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Final

from heathwell.codec import frames
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.errors import FleetError, SimulationError
from heathwell.testing.simulation.fault_links import FaultLinkError
from heathwell.testing.simulation.fault_script import Step, matching_names
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.run_log import RunLog
from heathwell.testing.simulation.scripted_faults import (
    HOST_FAULTS,
    PROCESS_LINK_FAULTS,
    REGION_LINK_FAULTS,
    ScriptedFault,
)
from heathwell.testing.standins.discovery import DiscoveryFault

JOINED_BROKER_SECONDS: Final = 4.0
"""After which a broker that joined shuts down."""
ALL_BROKERS: Final = "b*"
REGION_LINK_PREFIX: Final = "link-"
PROCESS_LINK_PREFIX: Final = "way-"
DISCOVERY_FAULTS: Final = {
    ScriptedFault.DISCOVERY_OUTAGE: DiscoveryFault.OUTAGE,
    ScriptedFault.DISCOVERY_DELAY: DiscoveryFault.DELAY,
}


class BudgetNotFoundError(SimulationError):
    """The settings file has no budget of this name in the expected form."""

    def __init__(self, path: str, budget: str) -> None:
        super().__init__(f"{path}: no (budget {budget} (whole ...) (aside ...%)")
        self.path = path
        self.budget = budget


class FaultInjector:
    """Carries out the steps of a script.

    ``errors`` are the faults that could not be injected, by which a run proves nothing; faults of hosts that
    do not run at the time are no errors.
    """

    def __init__(
        self,
        fleet: ProcessFleet,
        service_settings: ServiceSettings,
        settings_path: str,
        run_log: RunLog,
        report: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._service_settings = service_settings
        self._settings_path = Path(settings_path)
        self._run_log = run_log
        self._report = report
        self._is_stopped = False
        self.errors: list[str] = []
        self._handlers: dict[ScriptedFault, Callable[[Step], None]] = {
            **dict.fromkeys(HOST_FAULTS, self._inject_into_hosts),
            **dict.fromkeys(DISCOVERY_FAULTS, self._inject_into_discovery),
            **dict.fromkeys(REGION_LINK_FAULTS, self._inject_into_region_links),
            **dict.fromkeys(PROCESS_LINK_FAULTS, self._inject_into_process_links),
            ScriptedFault.CRASH_HOST: self._kill,
            ScriptedFault.KILL_BROKER: self._kill,
            ScriptedFault.KILL_PROCESS: self._kill,
            ScriptedFault.PAUSE_PROCESS: self._pause,
            ScriptedFault.RESTART_ALL_BROKERS: self._restart_all_brokers,
            ScriptedFault.ZONE_LOSS: self._kill_zones,
            ScriptedFault.RESIZE_BUDGET: self._resize_budget,
            ScriptedFault.JOIN_BROKERS: self._join_brokers,
        }

    def inject(self, step: Step) -> None:
        """Report and carry out a step. Those that only change the load have no handler."""
        self._report(_step_line(step))
        handler = self._handlers.get(step.kind)
        if handler is None:
            return
        try:
            handler(step)
        except (OSError, FleetError, FaultLinkError, BudgetNotFoundError) as error:
            if step.kind not in HOST_FAULTS:
                self.errors.append(f"{step.at_seconds:.1f} s {step.kind}: {error}")
            self._report(f"  {step.kind} could not be carried out: {error}")

    def stop(self) -> None:
        """Let no more brokers join."""
        self._is_stopped = True

    def _names(self, patterns: list[str]) -> list[str]:
        return [name for pattern in patterns for name in matching_names(pattern, self._fleet.members)]

    # Faults that stand-ins inject into themselves

    def _inject_into_hosts(self, step: Step) -> None:
        command = frames.FaultCommand(step.kind.value, step.value, step.duration_us, step.query_class)
        for name in step.targets:
            self._fleet.inject_fault(name, command)

    def _inject_into_discovery(self, step: Step) -> None:
        fault = DISCOVERY_FAULTS[step.kind]
        self._fleet.inject_fault("discovery", frames.FaultCommand(fault.value, step.value, step.duration_us))

    def _inject_into_region_links(self, step: Step) -> None:
        """Inject a fault into the links of the regions named, or of all."""
        fault = step.kind.value.removeprefix(REGION_LINK_PREFIX)
        command = frames.FaultCommand(fault, step.value, step.duration_us)
        for link in self._fleet.relays:
            if not step.targets or link.name.removeprefix(REGION_LINK_PREFIX) in step.targets:
                self._fleet.inject_fault(link.name, command)

    def _inject_into_process_links(self, step: Step) -> None:
        if self._fleet.links is None:
            return
        fault = step.kind.value.removeprefix(PROCESS_LINK_PREFIX)
        self._fleet.links.inject_fault(
            self._names(step.sources), self._names(step.targets), fault, step.duration_us, step.value
        )

    # Faults of processes

    def _kill(self, step: Step) -> None:
        for name in self._names(step.targets):
            self._fleet.kill(name, step.duration_seconds)

    def _pause(self, step: Step) -> None:
        """Pause processes, and log it: the auditor excuses what they could not answer meanwhile."""
        for name in self._names(step.targets):
            self._run_log.write("paused", name=name, span=step.duration_us)
            self._fleet.pause(name, step.duration_seconds)

    def _restart_all_brokers(self, step: Step) -> None:
        """Kill all brokers; they restart one after another within the duration."""
        names = self._names([ALL_BROKERS])
        for number, name in enumerate(names):
            self._fleet.kill(name, step.duration_seconds * (number + 1) / len(names))

    def _kill_zones(self, step: Step) -> None:
        zones = {self._service_settings.fleet.zones.index(name) for name in step.targets}
        for member in list(self._fleet.members.values()):
            if member.role in ("leaf", "broker") and member.zone in zones:
                self._fleet.kill(member.name, step.duration_seconds)

    def _join_brokers(self, step: Step) -> None:
        """Start a broker each ``value`` seconds for the duration; each shuts down after a while."""
        first = len(self._fleet.brokers)
        count = int(step.duration_seconds / step.value)
        for number in range(count):
            timer = threading.Timer(number * step.value, self._join_broker, (first + number,))
            timer.daemon = True
            timer.start()

    def _join_broker(self, number: int) -> None:
        if self._is_stopped:
            return
        try:
            self._fleet.add_broker(number, JOINED_BROKER_SECONDS)
        except (OSError, FleetError) as error:
            self.errors.append(f"join of b{number}: {error}")

    def _resize_budget(self, step: Step) -> None:
        """Change a budget's total in the settings file, and let the coordinators read it again."""
        text = self._settings_path.read_text(encoding="utf-8")
        pattern = rf"\(budget {step.budget}\s+\(whole ([0-9.]+)\) \(aside ([0-9.]+)%\)"
        match = re.search(pattern, text)
        if match is None:
            raise BudgetNotFoundError(str(self._settings_path), step.budget)
        # The brokers' own minima stay as they are.
        reserved_percent = float(match[1]) * float(match[2]) / step.value
        budget = f"(budget {step.budget} (whole {step.value:g}) (aside {reserved_percent:g}%)"
        new_text = text[: match.start()] + budget + text[match.end() :]
        self._settings_path.write_text(new_text, encoding="utf-8")
        for coordinator in self._fleet.coordinators:
            self._fleet.send_signal(coordinator.name, signal.SIGHUP)


def _step_line(step: Step) -> str:
    line = f"  {step.at_seconds:5.1f} s {step.kind} {' '.join(step.targets)}"
    if step.value:
        line += f" x{step.value:g}"
    if step.duration_us:
        line += f" for {step.duration_seconds:g} s"
    return line
