"""An experiment on zone evacuation: scenarios in which a zone fails, by who decides to evacuate it.

It runs in virtual time with the code of brokers and coordinators and stand-in hosts. Hosts have one slot
each, and are about half in use.
"""

from __future__ import annotations

import random
from typing import Final, TypedDict, Unpack

from heathwell.eventloop import Coro, sleep
from heathwell.fleet.control.evacuation_coordinator import evacuation_coordinator_from_settings
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.evacuation_result import (
    EvacuationResult,
    Variant,
    read_decisions,
    summarize_decisions,
    summarize_service,
)
from heathwell.testing.simulation.fixed_threshold_controller import fixed_threshold_coordinator
from heathwell.testing.simulation.outcomes_by_period import OutcomesByPeriod
from heathwell.testing.simulation.quota_experiment import REGIONAL_SETTINGS
from heathwell.testing.simulation.simulated_scenario import (
    LOOP_START_US,
    SETTLE_US,
    CompletedRequest,
    SimulatedScenario,
)
from heathwell.testing.simulation.zone_faults import FIRST_ZONE_NUMBER, ZONES, Scenario, ZoneFaultInjector
from heathwell.testing.standins.units import US_PER_SECOND

COORDINATED_VARIANTS: Final = (Variant.FIXED_THRESHOLDS, Variant.FLEET)
LINK_OBSERVING_VARIANTS: Final = (Variant.EACH_BROKER, Variant.FLEET)
LOAD_FACTORS: Final = {Scenario.BUSY: 1.5, Scenario.KILLED_AT_PEAK: 1.6}
LEAF_SECTION: Final = "(leaf (slots 1) (queue 12))\n"

COORDINATOR_SETTLE_SECONDS: Final = 9.0
"""Coordinators decide from the third second on."""
BEFORE_SECONDS: Final = 6.0
FAULT_SECONDS: Final = 12.0
AFTER_SECONDS: Final = 33.0
WINDOW_SECONDS: Final = 5.0
LAST_COUNTED_WINDOW: Final = int((FAULT_SECONDS + AFTER_SECONDS) / WINDOW_SECONDS) - 1
FAULT_AT_US: Final = (
    LOOP_START_US + SETTLE_US + int((COORDINATOR_SETTLE_SECONDS + BEFORE_SECONDS) * US_PER_SECOND)
)

MIN_FAULT_FRACTION: Final = 0.7
MAX_REPORTED_BREACHES: Final = 3


class ExperimentSize(TypedDict, total=False):
    """The size of an experiment; ``rate`` is in requests a second."""

    brokers: int
    hosts: int
    rate: float


def evacuation_settings(variant: Variant, brokers: int, hosts: int) -> ServiceSettings:
    """Return the settings of a variant: each shard has a replica in each zone."""
    fleet = (
        f"(shards {2 * hosts}) (cells {hosts}) (width 3) (zones {' '.join(ZONES)}) (leaves {hosts})"
        f" (brokers {brokers})"
    )
    if variant in COORDINATED_VARIANTS:
        fleet += f' (keepers "k0:7100" "k1:7101" "k2:7102") (most {brokers}) (evacuate yes)'
    text = f"{REGIONAL_SETTINGS}{LEAF_SECTION}(fleet {fleet})"
    if variant in LINK_OBSERVING_VARIANTS:
        regions = "".join(f"(region r{zone} (zones {zone}))" for zone in ZONES)
        text += f"(across {regions})"
    return loads(text)


class EvacuationScenario(SimulatedScenario):
    """One run of a scenario under one variant; ``outcomes`` counts queries by windows of five seconds.

    Windows are numbered from the fault's beginning. ``rate`` is in requests a second.
    """

    def __init__(
        self,
        variant: Variant,
        scenario: Scenario,
        seed: int = 1,
        *,
        brokers: int = 89,
        hosts: int = 82,
        rate: float = 130.0,
    ) -> None:
        self.variant = variant
        self.scenario = scenario
        self.outcomes: OutcomesByPeriod[int] = OutcomesByPeriod()
        super().__init__(
            evacuation_settings(variant, brokers, hosts),
            seed,
            duration_seconds=BEFORE_SECONDS + FAULT_SECONDS + AFTER_SECONDS,
            arrival_rate=rate * LOAD_FACTORS.get(scenario, 1.0),
            fault_rate=0.0,
            poison_fraction=0.0,
            make_evacuation_coordinator=(
                fixed_threshold_coordinator
                if variant is Variant.FIXED_THRESHOLDS
                else evacuation_coordinator_from_settings
            ),
        )

    def result(self) -> EvacuationResult:
        """Return the result of a run that has ended, with the audit of its rules."""
        verdict = self.verdict()
        service = summarize_service(self.outcomes, LAST_COUNTED_WINDOW)
        decisions = summarize_decisions(read_decisions(self.events), FAULT_AT_US)
        return EvacuationResult(
            scenario=self.scenario,
            variant=self.variant,
            seed=self.seed,
            service=service.service,
            worst_on_time_fraction=service.worst_on_time_fraction,
            on_time_fraction=service.on_time_fraction,
            evacuated_after_seconds=decisions.evacuated_after_seconds,
            restored_after_seconds=decisions.restored_after_seconds,
            other_evacuated_zones=decisions.other_evacuated_zones,
            evacuations=decisions.evacuations,
            max_propagation_seconds=decisions.max_propagation_seconds,
            overloads=verdict.counts["falls"],
            nearest_to_overload=round(verdict.coldest, 2),
            breach_count=len(verdict.breaches),
            breaches=[str(breach) for breach in verdict.breaches[:MAX_REPORTED_BREACHES]],
        )

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, int(COORDINATOR_SETTLE_SECONDS * US_PER_SECOND))
        self.loop.spawn(self._inject_fault(), self.scenario)
        yield from super()._main()

    def _request(self, broker: int, keys: list[str]) -> Coro[None]:
        if self.scenario is Scenario.CLIENTS_MOVED and self.loop.now() > FAULT_AT_US:
            near = [
                number for number, other in enumerate(self.fleet.brokers) if other.zone == FIRST_ZONE_NUMBER
            ]
            broker = near[broker % len(near)]
        return super()._request(broker, keys)

    def _on_request_completed(self, request: CompletedRequest) -> None:
        super()._on_request_completed(request)
        since_fault_seconds = (request.started_at_us - FAULT_AT_US) / 1e6
        self.outcomes.record(int(since_fault_seconds // WINDOW_SECONDS), request)

    def _inject_fault(self) -> Coro[None]:
        """Inject the scenario's fault; its duration and places are drawn from the seed."""
        draws = random.Random(self.seed * 7 + 3)
        yield from sleep(self.loop, SETTLE_US + int(BEFORE_SECONDS * US_PER_SECOND))
        max_duration_us = FAULT_SECONDS * US_PER_SECOND
        duration_us = int(max_duration_us * draws.uniform(MIN_FAULT_FRACTION, 1.0))
        injector = ZoneFaultInjector(self.loop, self.net, self.fleet, self.service_settings.classes, draws)
        yield from injector.inject(self.scenario, duration_us)


def run_evacuation_experiment(
    variant: Variant, scenario: Scenario, seed: int = 1, **size: Unpack[ExperimentSize]
) -> EvacuationResult:
    """Run one scenario under one variant and return its result."""
    experiment = EvacuationScenario(variant, scenario, seed, **size)
    experiment.run()
    return experiment.result()
