"""An experiment on a fleet's quotas: scenarios in which all brokers together overload hosts.

It compares four ways to bound attempts, see :class:`Variant`, in virtual time with the brokers' code and
stand-in hosts.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import Final, NamedTuple, TypedDict, Unpack

import msgspec

from heathwell.eventloop import Coro, sleep
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.audit import judge_budgets
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.demo_settings import (
    PRICE_KEYS,
    RULES,
    SALE_KEYS,
    day_report_class,
    discovery_section,
    limits_section,
    price_search_class,
    report_keys,
    sale_record_class,
    settings_text,
)
from heathwell.testing.simulation.experiment_phases import PHASES, Phase
from heathwell.testing.simulation.host_faults import HostFault
from heathwell.testing.simulation.outcomes_by_period import OutcomesByPeriod
from heathwell.testing.simulation.simulated_scenario import (
    LOOP_START_US,
    SETTLE_US,
    CompletedRequest,
    SimulatedScenario,
)
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.leaf_faults import LeafFault
from heathwell.testing.standins.units import US_PER_SECOND


class Variant(enum.StrEnum):
    """How attempts are bounded."""

    LOCAL = "lone"
    """Each broker by its own estimate, without coordinators."""
    SPLIT = "split"
    """Each broker has an equal fixed part of each budget."""
    GRANTED = "lent"
    """Coordinators grant quotas by demand, except for a reserved fifth of the budget ``further``."""
    HALF_RESERVED = "half"
    """Coordinators grant one half of each budget, the other half is reserved."""


class Scenario(enum.StrEnum):
    """The fault that is injected."""

    SLOW_HOSTS = "slow hosts"
    COLD_RESTART = "cold return"
    RELEASE = "release"


VARIANTS: Final = tuple(Variant)
COORDINATED_VARIANTS: Final = (Variant.GRANTED, Variant.HALF_RESERVED)
SCENARIOS: Final = tuple(Scenario)
OUTCOMES: Final = ("on time", "late", "partial", "refused", "failed", "no reply")

COORDINATOR_SETTLE_SECONDS: Final = 8.0
"""Coordinators grant no quota in their first six seconds."""
BEFORE_SECONDS: Final = 8.0
FAULT_SECONDS: Final = 15.0
AFTER_SECONDS: Final = 12.0
FAULT_AT_US: Final = LOOP_START_US + SETTLE_US + int((COORDINATOR_SETTLE_SECONDS + BEFORE_SECONDS) * 1e6)
RELEASE_STEPS: Final = 8
RESTART_DELAY_US: Final = 500_000
SLOW_HOST_STRIDE: Final = 6
SLOW_FACTOR: Final = 10.0

REGIONAL_SETTINGS: Final = settings_text(
    price_search_class(),
    day_report_class(second_step_work_percent=50),
    sale_record_class(),
    SALE_KEYS,
    PRICE_KEYS,
    report_keys(),
    RULES,
    limits_section(max_in_flight=800),
    discovery_section(),
)
ZONES: Final = "a-1 a-2 a-3 b-1 b-2 b-3 c-1 c-2 c-3"
ZONE_COUNT: Final = len(ZONES.split())
ZONES_PER_REGION: Final = 3
RESTARTED_REGION: Final = 2
CROSS_REGION_DELAY_US: Final = 3_000
LOCAL_DELAY_US: Final = 300

MAX_REPORTED_BREACHES: Final = 5
MAX_REPORTED_OVERSHOOTS: Final = 3


class ExperimentSize(TypedDict, total=False):
    """The size of an experiment, see :class:`QuotaExperiment`."""

    brokers: int
    hosts: int
    rate: float
    additional_attempt_budget: float
    cold_host_budget: float


class AttemptRate(NamedTuple):
    """Attempts a second."""

    mean: float
    maximum: int


class QuotaExperimentResult(
    msgspec.Struct,
    frozen=True,
    rename={
        "scenario": "day",
        "additional_attempts_per_second": "further a second",
        "arrived_attempts": "arrived",
        "nearest_to_overload": "coldest",
        "overloads": "fell",
        "breaches": "rules",
        "breach_count": "broken",
        "max_granted_fractions": "most held",
    },
):
    """The result of one run; its encoded names are those of the results printed by earlier versions."""

    scenario: Scenario
    variant: Variant
    service: dict[str, dict[str, int]]
    """Number of queries by outcome, for each ``class/phase``."""
    additional_attempts_per_second: AttemptRate
    """Those of the fleet during the fault."""
    arrived_attempts: int
    """Attempts that arrived at hosts during the fault."""
    nearest_to_overload: float
    """The largest load of a warming host, as a fraction of the load that overloads it."""
    overloads: int
    breaches: list[str]
    breach_count: int
    overshoots: list[str]
    max_granted_fractions: dict[str, float]
    """The largest fraction of each budget that was granted at a time."""


def _budget_settings(
    variant: Variant, brokers: int, additional_attempt_budget: float, cold_host_budget: float
) -> str:
    """Return the settings of the coordinators and of both budgets, in units a second."""
    reserved = {Variant.SPLIT: "100%", Variant.GRANTED: "20%", Variant.HALF_RESERVED: "50%"}[variant]
    burst = "8s" if variant is Variant.GRANTED else "4s"
    cold_reserved = {Variant.SPLIT: 1.0, Variant.GRANTED: 0.0, Variant.HALF_RESERVED: 0.5}[variant]
    cold_burst_seconds = brokers / cold_host_budget / (cold_reserved or 1) + 0.1
    return (
        f' (keepers "k0:7100" "k1:7101" "k2:7102") (most {brokers})'
        f" (budget further (whole {additional_attempt_budget:g}) (aside {reserved}) (burst {burst}))"
        f" (budget cold (whole {cold_host_budget:g}) (aside {cold_reserved:.0%})"
        f" (burst {cold_burst_seconds:.1f}s))"
    )


def quota_experiment_settings(
    variant: Variant,
    brokers: int,
    hosts: int,
    additional_attempt_budget: float,
    cold_host_budget: float,
) -> ServiceSettings:
    """Return the settings of a variant; both budgets are in units a second."""
    fleet = (
        f"(shards {2 * hosts}) (cells {hosts}) (width 3) (zones {ZONES}) (leaves {hosts}) (brokers {brokers})"
    )
    if variant is not Variant.LOCAL:
        fleet += _budget_settings(variant, brokers, additional_attempt_budget, cold_host_budget)
    return loads(REGIONAL_SETTINGS + f"(fleet {fleet})")


class QuotaExperiment(SimulatedScenario):
    """One run of a scenario under one variant.

    ``outcomes`` counts how queries ended by class and phase. ``rate`` is in requests a second, both budgets
    are in units a second.
    """

    def __init__(
        self,
        variant: str,
        scenario: str,
        seed: int = 1,
        *,
        brokers: int = 89,
        hosts: int = 82,
        rate: float = 130.0,
        additional_attempt_budget: float = 120.0,
        cold_host_budget: float = 20.0,
    ) -> None:
        self.variant = Variant(variant)
        self.scenario = Scenario(scenario)
        self.outcomes: OutcomesByPeriod[Phase] = OutcomesByPeriod()
        super().__init__(
            quota_experiment_settings(
                self.variant, brokers, hosts, additional_attempt_budget, cold_host_budget
            ),
            seed,
            duration_seconds=BEFORE_SECONDS + FAULT_SECONDS + AFTER_SECONDS,
            arrival_rate=rate,
            fault_rate=0.0,
            poison_fraction=0.0,
            run_coordinators=self.variant in COORDINATED_VARIANTS,
        )
        self.net.delay = self._link_delay_us

    @staticmethod
    def _region(name: str) -> int | None:
        """Return the region of a broker or leaf by its name or address, None for another process."""
        if name[:1] not in ("b", "l"):
            return None
        digits = "".join(character for character in name.partition(":")[0] if character.isdigit())
        return int(digits or 0) % ZONE_COUNT // ZONES_PER_REGION

    def _link_delay_us(self, source: str, target: str) -> int:
        source_region = self._region(source)
        target_region = self._region(target)
        if source_region is None or target_region is None or source_region == target_region:
            return LOCAL_DELAY_US
        return CROSS_REGION_DELAY_US

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, int(COORDINATOR_SETTLE_SECONDS * 1e6))
        self.loop.spawn(self._inject_fault(), self.scenario)
        yield from super()._main()

    def _inject_fault(self) -> Coro[None]:
        yield from sleep(self.loop, SETTLE_US + int(BEFORE_SECONDS * 1e6))
        fault_duration_us = int(FAULT_SECONDS * 1e6)
        if self.scenario is Scenario.SLOW_HOSTS:
            slowdown = HostFault(LeafFault.SLOW, SLOW_FACTOR, fault_duration_us)
            for leaf in self.fleet.leaves[::SLOW_HOST_STRIDE]:
                leaf.inject_fault(slowdown.to_command())
        elif self.scenario is Scenario.COLD_RESTART:
            yield from self._restart_region(fault_duration_us // 3)
        else:
            for step in range(RELEASE_STEPS):
                leaves = self.fleet.leaves[step::RELEASE_STEPS]
                self.loop.spawn(self._replace(leaves), f"release {step}")
                yield from sleep(self.loop, fault_duration_us // RELEASE_STEPS)

    def _restart_region(self, outage_us: int) -> Coro[None]:
        """Crash all leaves of one region and start them again at the same time."""
        leaves = [leaf for leaf in self.fleet.leaves if self._region(leaf.name) == RESTARTED_REGION]
        for leaf in leaves:
            leaf.crash()
        yield from sleep(self.loop, outage_us)
        for leaf in leaves:
            leaf.start()

    def _replace(self, leaves: list[Leaf]) -> Coro[None]:
        """Drain some leaves and start them again with cold caches: one step of a release."""
        for leaf in leaves:
            leaf.on_terminated = None
            leaf.drain()
        yield from sleep(self.loop, self.service_settings.leaf.drain_for + RESTART_DELAY_US)
        for leaf in leaves:
            if leaf.listener is None:
                leaf.start()

    @staticmethod
    def _phase(at_us: int) -> Phase:
        """Return the phase of a time of the loop."""
        since_fault_seconds = (at_us - FAULT_AT_US) / 1e6
        if since_fault_seconds < 0:
            return Phase.BEFORE
        return Phase.DURING if since_fault_seconds < FAULT_SECONDS else Phase.AFTER

    def _on_request_completed(self, request: CompletedRequest) -> None:
        super()._on_request_completed(request)
        self.outcomes.record(self._phase(request.started_at_us), request)

    def _service(self) -> dict[str, dict[str, int]]:
        """Return the number of queries by outcome for each class and phase, in order of both."""
        return {
            f"{query_class}/{phase}": dict(by_phase[phase])
            for query_class, by_phase in sorted(self.outcomes.counts.items())
            for phase in PHASES
            if phase in by_phase
        }

    def _additional_attempt_rate(self) -> AttemptRate:
        """Return the additional attempts a second during the fault."""
        attempts = Counter(
            (event["t"] - FAULT_AT_US) // US_PER_SECOND
            for event in self.events
            if event["ev"] == "send" and event.get("further")
        )
        during = [attempts[second] for second in range(int(FAULT_SECONDS))]
        return AttemptRate(mean=round(sum(during) / len(during), 1), maximum=max(during))

    def _arrived_attempts(self) -> int:
        """Return the number of attempts that arrived at hosts during the fault."""
        fault_ended_at_us = FAULT_AT_US + FAULT_SECONDS * 1e6
        return sum(
            event["ev"] == "arrive" and FAULT_AT_US <= event["t"] < fault_ended_at_us for event in self.events
        )

    def result(self) -> QuotaExperimentResult:
        """Return the result of a run that has ended, with the audit of its rules and budgets."""
        verdict = self.verdict()
        overshoots: list[str] = []
        max_granted_fractions: dict[str, float] = {}
        if self.variant in COORDINATED_VARIANTS:
            budgets = judge_budgets(from_lines(self.events))
            overshoots = budgets.breaches[:MAX_REPORTED_OVERSHOOTS]
            max_granted_fractions = {name: round(share, 2) for name, share in budgets.nearest.items()}
        return QuotaExperimentResult(
            scenario=self.scenario,
            variant=self.variant,
            service=self._service(),
            additional_attempts_per_second=self._additional_attempt_rate(),
            arrived_attempts=self._arrived_attempts(),
            nearest_to_overload=round(verdict.coldest, 2),
            overloads=verdict.counts["falls"],
            breaches=[str(breach) for breach in verdict.breaches[:MAX_REPORTED_BREACHES]],
            breach_count=len(verdict.breaches),
            overshoots=overshoots,
            max_granted_fractions=max_granted_fractions,
        )


def run_quota_experiment(
    variant: str, scenario: str, seed: int = 1, **size: Unpack[ExperimentSize]
) -> QuotaExperimentResult:
    """Run one scenario under one variant and return its result."""
    experiment = QuotaExperiment(variant, scenario, seed, **size)
    experiment.run()
    return experiment.result()
