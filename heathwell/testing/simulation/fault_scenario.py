"""Runs a fault script against a fleet of processes under load; the auditor judges the rules from the logs."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from heathwell.settings import ServiceSettings
from heathwell.testing.audit import Event, Verdict, judge, read_logs
from heathwell.testing.simulation.client_attempt import BrokerAddress
from heathwell.testing.simulation.client_population import ClientPopulation
from heathwell.testing.simulation.errors import SimulationError
from heathwell.testing.simulation.fault_injector import FaultInjector
from heathwell.testing.simulation.fault_links import FaultLinks
from heathwell.testing.simulation.fault_script import Script, Step
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.run_log import RunLog
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.simulation.scenario_report import ScenarioSummary, count_outcomes, service_table
from heathwell.testing.simulation.scheduled_requests import ScheduledRequest, poisson_requests
from heathwell.testing.simulation.scripted_faults import ScriptedFault

WARM_UP_SECONDS: Final = 2.0
"""Before the load, for the brokers to receive the endpoint list."""
SETTLE_SECONDS: Final = 2.0
"""After the load, for the last events to be logged."""
CHECK_INTERVAL_SECONDS: Final = 0.2
# The order of actions at the same time: steps, the last one first, then arrivals, then queries of death.
FIRST_STEP_ORDER: Final = -1
FIRST_POISON_ORDER: Final = 10**9
POISON_ORDERS_PER_STEP: Final = 1000


class NoPoisonedSpaceError(SimulationError):
    """The settings have no key space for queries of death."""

    def __init__(self) -> None:
        super().__init__("queries of death need a key space of searches or records")


class NotRunError(SimulationError):
    """The scenario has not run yet."""

    def __init__(self) -> None:
        super().__init__("the scenario has not run")


@dataclass(frozen=True, slots=True, order=True)
class ScheduledAction:
    """A step or a request, and when it is due after the load's start; ``order`` breaks ties."""

    at_seconds: float
    order: int
    action: Step | ScheduledRequest = field(compare=False)


class FaultScenario:
    """One run of a script. Logs are written to ``folder``, the progress to ``report``."""

    def __init__(
        self,
        script: Script,
        service_settings: ServiceSettings,
        settings_path: str,
        folder: str | Path,
        report: Callable[[str], None],
    ) -> None:
        self.script = script
        self.service_settings = service_settings
        self._report = report
        self._events_folder = Path(folder) / "events"
        self._events_folder.mkdir(parents=True, exist_ok=True)
        self._run_log = RunLog(self._events_folder)
        self.fleet = ProcessFleet(
            settings_path,
            service_settings,
            str(self._events_folder),
            script.seed,
            links=FaultLinks(script.seed) if script.has_process_links else None,
            clock_rates={clock.process: clock.rate for clock in script.clocks},
        )
        self._injector = FaultInjector(self.fleet, service_settings, settings_path, self._run_log, report)
        self._clients: ClientPopulation | None = None
        self.logged: list[Event] = []
        """All events, after the run."""

    @property
    def clients(self) -> ClientPopulation:
        """The clients of the run. Raise :class:`NotRunError` before it."""
        if self._clients is None:
            raise NotRunError
        return self._clients

    @property
    def injection_errors(self) -> list[str]:
        """The faults that could not be injected, by which the run proves nothing."""
        return self._injector.errors

    def run(self) -> Verdict:
        """Run the scenario and return the auditor's verdict. Raise :class:`FleetError`."""
        for path in list(self._events_folder.glob("*.jsonl")):
            path.unlink()
        self._run_log.write("run", figures=run_parameters_record(self.service_settings))
        try:
            self._start_fleet()
            time.sleep(WARM_UP_SECONDS)
            self._run_load()
        finally:
            self._injector.stop()
            self.fleet.stop()
        self.logged = read_logs([self._events_folder])
        return judge(self.logged)

    def service_table(self) -> list[str]:
        """Return the lines of a table of how requests ended. Raise :class:`NotRunError`."""
        return service_table(self.clients.outcomes, self.script.seconds)

    def summarize(self, verdict: Verdict) -> ScenarioSummary:
        """Return the summary of the run. Raise :class:`NotRunError`."""
        return ScenarioSummary(
            outcomes_by_class=count_outcomes(self.clients.outcomes),
            late_starts=self.clients.late_start_count,
            requests=self.clients.request_count,
            audited=verdict.counts,
            max_slow_start_load=verdict.coldest,
            breaches=[str(breach) for breach in verdict.breaches],
            restarts=len(self.fleet.deaths),
        )

    def wait_until(self, at_seconds: float) -> None:
        """Wait until a time of the monotonic clock; restart the processes that end by themselves."""
        while (remaining_seconds := at_seconds - time.monotonic()) > 0:
            time.sleep(min(remaining_seconds, CHECK_INTERVAL_SECONDS))
            for name in self.fleet.restart_ended_members():
                self._report(f"  {name} died; back, cold, in {self.fleet.restart_delay_seconds:g} s")

    def _start_fleet(self) -> None:
        started_at_seconds = time.monotonic()
        self.fleet.start()
        fleet = self.service_settings.fleet
        duration_seconds = time.monotonic() - started_at_seconds
        self._report(f"{fleet.leaves} hosts and {fleet.brokers} brokers up after {duration_seconds:.1f} s")

    def _run_load(self) -> None:
        """Send the requests and inject the faults, each at its time."""
        clients = ClientPopulation(
            self.script.load,
            self.service_settings,
            self._broker_addresses,
            self._events_folder / "clients.jsonl",
        )
        self._clients = clients
        actions = sorted(self._schedule())
        started_at_seconds = clients.start()
        for scheduled in actions:
            self.wait_until(started_at_seconds + scheduled.at_seconds)
            if isinstance(scheduled.action, ScheduledRequest):
                clients.offer(scheduled.action)
            else:
                self._injector.inject(scheduled.action)
        self.wait_until(started_at_seconds + self.script.seconds)
        clients.finish()
        time.sleep(SETTLE_SECONDS)

    def _broker_addresses(self) -> list[BrokerAddress]:
        """Return the addresses of each broker that is requested."""
        requested = self.script.load.brokers
        return [
            BrokerAddress(broker.name, broker.address, broker.vector_address)
            for broker in self.fleet.brokers
            if broker.address and (not requested or broker.name in requested)
        ]

    # The schedule

    def _schedule(self) -> Iterator[ScheduledAction]:
        script = self.script
        requests = poisson_requests(
            script.load, self.service_settings, script.seed, 0.0, script.seconds, self._load_factor
        )
        for number, request in enumerate(requests):
            yield ScheduledAction(request.at_seconds, number, request)
        for number, step in enumerate(script.steps):
            yield ScheduledAction(step.at_seconds, FIRST_STEP_ORDER - number, step)
            if step.kind is ScriptedFault.QUERIES_OF_DEATH:
                yield from self._schedule_queries_of_death(step, number)

    def _load_factor(self, at_seconds: float) -> float:
        """Return by what the load's rate is multiplied at a time."""
        factor = 1.0
        for step in self.script.steps:
            is_burst = step.kind is ScriptedFault.LOAD_BURST
            if is_burst and step.at_seconds <= at_seconds < step.ends_at_seconds:
                factor *= step.value
        return factor

    def _schedule_queries_of_death(self, step: Step, step_number: int) -> Iterator[ScheduledAction]:
        """Yield queries, evenly over the step, each of which terminates all hosts that begin it."""
        first_order = FIRST_POISON_ORDER + step_number * POISON_ORDERS_PER_STEP
        for number in range(int(step.value)):
            at_seconds = step.at_seconds + number * step.duration_seconds / step.value
            request = self._query_of_death(step, number, at_seconds)
            yield ScheduledAction(at_seconds, first_order + number, request)

    def _query_of_death(self, step: Step, number: int, at_seconds: float) -> ScheduledRequest:
        key_spaces = self.service_settings.keys
        searches = [space for space in key_spaces if space.shape == "search"]
        records = [space for space in key_spaces if space.shape == "record"]
        name = f"poison{step.at_us // 1000}x{number}"
        if searches:
            space = searches[-1]
            key = f"{space.prefix}:{name}"
        elif records:
            space = records[0]
            key = f"{space.prefix}:{name}:1"
        else:
            raise NoPoisonedSpaceError
        return ScheduledRequest(at_seconds, (key,), space.query_class)
