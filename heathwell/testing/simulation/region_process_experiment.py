"""An experiment on two regions with processes on sockets: one run a variant, with all faults in turn.

Real clients, brokers and stand-in hosts are connected by relays, which inject the faults of the link. Queries
are counted around each fault; the rules are audited over all of the run.
"""

from __future__ import annotations

import tempfile
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from heathwell.service.key_spaces import KeySpaces
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.audit import Verdict
from heathwell.testing.simulation import demo_settings
from heathwell.testing.simulation.client_population import Outcome, OutcomeKind
from heathwell.testing.simulation.experiment_phases import Phase
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import Load, Mix, Script, Step
from heathwell.testing.simulation.region_experiment import SecondCounts, ServiceKey
from heathwell.testing.simulation.region_settings import (
    ZONE_NAMES,
    RegionName,
    Variant,
    across_section,
    region_of_number,
)
from heathwell.testing.simulation.scripted_faults import ScriptedFault
from heathwell.testing.standins.units import US_PER_SECOND

FIRST_FAULT_AT_SECONDS: Final = 8.0
FAULT_SECONDS: Final = 8.0
AFTER_SECONDS: Final = 12.0
"""From a fault's end to the next one's begin."""
BEFORE_SECONDS: Final = 4.0
"""The end of the time between two faults, when the service has recovered from the first."""
RECOVERY_WINDOW_SECONDS: Final = 3
RECOVERY_TOLERANCE: Final = 0.1
"""The service has recovered when the fraction on time is at most so much below that before the fault."""
CLIENT_DRAIN_SECONDS: Final = 2
CLIENT_COUNT: Final = 120
SETTINGS_FILE_NAME: Final = "market.sx"

_SETTINGS: Final = demo_settings.settings_text(
    demo_settings.price_search_class(work_ms=20, minimum_percent=50),
    demo_settings.day_report_class(work_ms=15, second_step_parts=3),
    demo_settings.sale_record_class(work_ms=15),
    demo_settings.SALE_KEYS,
    demo_settings.PRICE_KEYS,
    demo_settings.report_keys(parts=2),
    demo_settings.fleet_section(
        shards=32, replica_groups=32, replicas=2, zones=ZONE_NAMES, leaves=32, brokers=8
    ),
    demo_settings.RULES,
    demo_settings.limits_section(max_in_flight=600),
    demo_settings.discovery_section(notice_ms=500, silent_notice_ms=3_000),
    "(log (level error))",
)


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """A fault by the name that reports use, with its kind, value and targets in a fault script."""

    name: str
    kind: ScriptedFault
    value: float = 0.0
    targets: tuple[str, ...] = ()


PROCESS_FAULTS: Final = (
    ProcessFault("100 ms", ScriptedFault.REGION_LINK_DELAY, value=0.1),
    ProcessFault("400 ms", ScriptedFault.REGION_LINK_DELAY, value=0.4),
    ProcessFault("loss 5 %", ScriptedFault.REGION_LINK_LOSS, value=0.05),
    ProcessFault("one way", ScriptedFault.REGION_LINK_CUT_ONE_DIRECTION, targets=("hki",)),
    ProcessFault("cut", ScriptedFault.REGION_LINK_CUT),
    ProcessFault("flap 2 s", ScriptedFault.REGION_LINK_FLAP, value=2.0),
    ProcessFault("region lost", ScriptedFault.ZONE_LOSS, targets=("espoo-1", "espoo-2")),
)


@dataclass(slots=True)
class FaultService:
    """How requests ended around one fault, by class and phase.

    Those whose replicas are all in the region of their broker are counted apart as local.
    ``refused_after_objectives`` are the durations of the requests that were refused during the fault, in
    latency objectives.
    """

    counts: dict[ServiceKey, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    recovery_seconds: float | None = None
    refused_after_objectives: list[float] = field(default_factory=list)

    def count(self, key: ServiceKey) -> int:
        """Return the number of requests."""
        return self.counts[key].total() if key in self.counts else 0

    def fraction(self, key: ServiceKey, outcome: str) -> float:
        """Return the fraction of requests that ended so; 0 where there were none."""
        counts = self.counts.get(key, Counter[str]())
        return counts[outcome] / max(1, counts.total())


@dataclass(frozen=True, slots=True)
class RegionProcessResult:
    """The result of one run under a variant; logs are in ``folder``."""

    variant: Variant
    services: dict[str, FaultService]
    """By the fault's name."""
    verdict: Verdict
    off_schedule_count: int
    """Requests that the clients sent later than scheduled."""
    request_count: int
    folder: Path


def region_process_settings(variant: str) -> str:
    """Return the text of a variant's settings."""
    across = across_section(Variant(variant), client_drain_seconds=CLIENT_DRAIN_SECONDS)
    return f"{_SETTINGS}{across}\n"


def fault_script(rate: float, faults: Sequence[ProcessFault], seed: int = 3) -> Script:
    """Return the script of all faults in turn, under a load of ``rate`` requests a second."""
    steps = [
        Step(
            at_us=int(_fault_at_seconds(number) * US_PER_SECOND),
            kind=fault.kind,
            targets=list(fault.targets),
            duration_us=int(FAULT_SECONDS * US_PER_SECOND),
            value=fault.value,
        )
        for number, fault in enumerate(faults)
    ]
    load = Load(
        rate,
        clients=CLIENT_COUNT,
        multi=0.0,
        retries=0,
        mix=[Mix("price", 0.35), Mix("report", 0.3), Mix("sale", 0.35)],
    )
    return Script(SETTINGS_FILE_NAME, _fault_at_seconds(len(faults)), load, seed, steps)


def _fault_at_seconds(number: int) -> float:
    """Return when the fault of this number begins, from the load's start."""
    return FIRST_FAULT_AT_SECONDS + number * (FAULT_SECONDS + AFTER_SECONDS)


class _ReplicaRegions:
    """Where the replicas of keys are."""

    def __init__(self, service_settings: ServiceSettings) -> None:
        self._keys = KeySpaces(service_settings)
        self._fleet = service_settings.fleet

    def is_local(self, outcome: Outcome) -> bool:
        """Return whether all replicas of all shards of a request are in its broker's region."""
        plan = self._keys.plan(outcome.key)
        if plan is None or not outcome.broker:
            return False
        broker_region = region_of_number(int(outcome.broker.removeprefix("b")))
        groups = {
            (part.shard + replica) % self._fleet.cells
            for part in plan.parts
            for replica in range(self._fleet.width)
        }
        return self._regions_of(groups) <= {broker_region}

    def _regions_of(self, replica_groups: set[int]) -> set[RegionName]:
        """Return the regions of the leaves that hold these replica groups."""
        return {
            region_of_number(leaf)
            for leaf in range(self._fleet.leaves)
            if leaf % self._fleet.cells in replica_groups
        }


def services_by_fault(
    outcomes: Sequence[Outcome], service_settings: ServiceSettings, faults: Sequence[ProcessFault]
) -> dict[str, FaultService]:
    """Return the service around each fault, by its name."""
    regions = _ReplicaRegions(service_settings)
    objectives_us = {spec.name: spec.latency_objective_us for spec in service_settings.classes}
    return {
        fault.name: _service_around(_fault_at_seconds(number), outcomes, regions, objectives_us)
        for number, fault in enumerate(faults)
    }


def _service_around(
    fault_at_seconds: float,
    outcomes: Sequence[Outcome],
    regions: _ReplicaRegions,
    objectives_us: dict[str, int],
) -> FaultService:
    """Return the service before, during and after the fault that begins at this time."""
    service = FaultService()
    fault_ended_at_seconds = fault_at_seconds + FAULT_SECONDS
    counts_by_second: dict[int, SecondCounts] = defaultdict(SecondCounts)
    for outcome in outcomes:
        phase = _phase(outcome.scheduled_at_seconds - fault_at_seconds)
        if phase is None:
            continue
        service.counts[ServiceKey(outcome.query_class, phase)][outcome.kind] += 1
        if regions.is_local(outcome):
            service.counts[ServiceKey(outcome.query_class, phase, is_local=True)][outcome.kind] += 1
        if phase is Phase.DURING and outcome.kind == OutcomeKind.REFUSED:
            objective_seconds = objectives_us[outcome.query_class] / US_PER_SECOND
            service.refused_after_objectives.append(outcome.duration_seconds / objective_seconds)
        if phase is Phase.AFTER:
            second = counts_by_second[int(outcome.scheduled_at_seconds - fault_ended_at_seconds)]
            second.queries += 1
            second.on_time += outcome.kind == OutcomeKind.ON_TIME
    service.recovery_seconds = _recovery_seconds(service, counts_by_second)
    return service


def _phase(since_fault_seconds: float) -> Phase | None:
    """Return the phase of a time relative to a fault, None if it is of another fault or of none."""
    if -BEFORE_SECONDS <= since_fault_seconds < 0:
        return Phase.BEFORE
    if 0 <= since_fault_seconds < FAULT_SECONDS:
        return Phase.DURING
    if FAULT_SECONDS <= since_fault_seconds < FAULT_SECONDS + AFTER_SECONDS:
        return Phase.AFTER
    return None


def _recovery_seconds(service: FaultService, counts_by_second: dict[int, SecondCounts]) -> float | None:
    """Return how long after the fault the service was as before it, None if it never was."""
    before = [
        counts for key, counts in service.counts.items() if key.phase is Phase.BEFORE and not key.is_local
    ]
    query_count = sum(counts.total() for counts in before)
    fraction_before = sum(counts[OutcomeKind.ON_TIME] for counts in before) / max(1, query_count)
    for start in range(int(AFTER_SECONDS) - RECOVERY_WINDOW_SECONDS + 1):
        window = [
            counts_by_second.get(second, SecondCounts())
            for second in range(start, start + RECOVERY_WINDOW_SECONDS)
        ]
        on_time = sum(second.on_time for second in window)
        if on_time >= (fraction_before - RECOVERY_TOLERANCE) * sum(second.queries for second in window):
            return float(start)
    return None


def run_region_processes(
    variant: str,
    rate: float = 30.0,
    log: Callable[[str], None] = lambda _text: None,
    faults: Sequence[ProcessFault] = PROCESS_FAULTS,
) -> RegionProcessResult:
    """Run all faults under one variant and return the result; ``log`` receives lines on the progress."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-regions-"))
    text = region_process_settings(variant)
    config = folder / SETTINGS_FILE_NAME
    config.write_text(text)
    service_settings = loads(text)
    scenario = FaultScenario(fault_script(rate, faults), service_settings, str(config), folder, log)
    verdict = scenario.run()
    return RegionProcessResult(
        variant=Variant(variant),
        services=services_by_fault(scenario.clients.outcomes, service_settings, faults),
        verdict=verdict,
        off_schedule_count=scenario.clients.late_start_count,
        request_count=scenario.clients.request_count,
        folder=folder,
    )
