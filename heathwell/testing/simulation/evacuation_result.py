"""The result of an evacuation experiment: service by time, and the decisions as the event log has them."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from heathwell.fleet.evacuation import ZoneState
from heathwell.testing.simulation.outcomes_by_period import OutcomesByPeriod
from heathwell.testing.simulation.simulated_scenario import QueryOutcome
from heathwell.testing.simulation.zone_faults import FAULTY_ZONE, Scenario

EVACUATED_STATES: Final = frozenset({ZoneState.EVACUATING, ZoneState.EVACUATED})
MIN_WINDOW_QUERIES: Final = 20
"""A window with fewer queries does not count as the worst."""
FIRST_COUNTED_WINDOW: Final = -1


class Variant(enum.StrEnum):
    """Who decides to evacuate a zone."""

    DECISION_MODULE = "nobody"
    """Nobody: each broker's decision module takes hosts one by one."""
    EACH_BROKER = "itself"
    """Each broker by its own links to the other zones (``docs/regions.md``)."""
    FIXED_THRESHOLDS = "fixed"
    """The quota coordinators, by fixed thresholds and without steps."""
    FLEET = "fleet"
    """The quota coordinators (``docs/evacuation.md``), and each broker by its own links."""


VARIANTS: Final = tuple(Variant)


class EvacuationResult(
    msgspec.Struct,
    frozen=True,
    rename={
        "scenario": "kind",
        "worst_on_time_fraction": "worst",
        "on_time_fraction": "all",
        "evacuated_after_seconds": "left_after_s",
        "restored_after_seconds": "back_after_s",
        "other_evacuated_zones": "others_left",
        "evacuations": "leaves",
        "max_propagation_seconds": "apart_s",
        "overloads": "fell",
        "nearest_to_overload": "coldest",
        "breach_count": "broken",
        "breaches": "rules",
    },
):
    """The result of one run; its encoded names are those of the results printed by earlier versions.

    Times are in seconds from the fault's beginning, fractions between 0 and 1.
    """

    scenario: Scenario
    variant: Variant
    seed: int
    service: dict[str, dict[int, float]]
    """The fraction of queries on time by class and window."""
    worst_on_time_fraction: float
    """The least of a window with enough queries, from shortly before the fault on."""
    on_time_fraction: float
    """That of all queries."""
    evacuated_after_seconds: float | None
    restored_after_seconds: float | None
    other_evacuated_zones: list[str]
    """The zones without a fault that a decision named."""
    evacuations: int
    """How often the zone with the fault was evacuated."""
    max_propagation_seconds: float
    """The longest time from the first broker's to the last one's receipt of a decision."""
    overloads: int
    nearest_to_overload: float
    """The largest load of a warming host, as a fraction of the load that overloads it."""
    breach_count: int
    breaches: list[str]


@dataclass(slots=True)
class ServiceCount:
    """Queries of all classes in one window."""

    on_time: int = 0
    total: int = 0

    @property
    def on_time_fraction(self) -> float:
        """The fraction of queries on time."""
        return self.on_time / self.total


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """The service of a run, see the fields of the same names of :class:`EvacuationResult`."""

    service: dict[str, dict[int, float]]
    worst_on_time_fraction: float
    on_time_fraction: float


@dataclass(frozen=True, slots=True)
class DecisionEvent:
    """A decision on zones as a coordinator made it or a broker received it; zones that it omits serve."""

    at_us: int
    process: str
    term: int
    number: int
    states: dict[str, ZoneState]

    @property
    def is_of_coordinator(self) -> bool:
        """Whether a coordinator made the decision."""
        return self.process.startswith("k")

    @property
    def is_of_broker(self) -> bool:
        """Whether a broker received the decision."""
        return self.process.startswith("b")

    def evacuates(self, zone: str) -> bool:
        """Return whether the decision evacuates a zone."""
        return self.states.get(zone) in EVACUATED_STATES


@dataclass(frozen=True, slots=True)
class DecisionSummary:
    """The decisions of a run, see the fields of the same names of :class:`EvacuationResult`."""

    evacuated_after_seconds: float | None
    restored_after_seconds: float | None
    other_evacuated_zones: list[str]
    evacuations: int
    max_propagation_seconds: float


def summarize_service(outcomes: OutcomesByPeriod[int], last_counted_window: int) -> ServiceSummary:
    """Return the service by windows of time."""
    service: dict[str, dict[int, float]] = {}
    counts_by_window: dict[int, ServiceCount] = defaultdict(ServiceCount)
    for query_class, counts in sorted(outcomes.counts.items()):
        service[query_class] = {}
        for window, by_outcome in sorted(counts.items()):
            total = by_outcome.total()
            on_time = by_outcome[QueryOutcome.ON_TIME]
            service[query_class][window] = round(on_time / total, 3) if total else 1.0
            counts_by_window[window].on_time += on_time
            counts_by_window[window].total += total
    counted_fractions = [
        count.on_time_fraction
        for window, count in counts_by_window.items()
        if count.total >= MIN_WINDOW_QUERIES and FIRST_COUNTED_WINDOW <= window <= last_counted_window
    ]
    on_time = sum(count.on_time for count in counts_by_window.values())
    total = sum(count.total for count in counts_by_window.values())
    return ServiceSummary(
        service=service,
        worst_on_time_fraction=round(min(counted_fractions, default=1.0), 3),
        on_time_fraction=round(on_time / max(total, 1), 4),
    )


def read_decisions(events: Iterable[dict[str, Any]]) -> list[DecisionEvent]:
    """Return the decisions on zones of an event log."""
    return [
        DecisionEvent(
            at_us=event["t"],
            process=event["who"],
            term=event["term"],
            number=event["number"],
            states={zone: ZoneState(state) for zone, (state, _) in event["states"].items()},
        )
        for event in events
        if event["ev"] == "zones"
    ]


def summarize_decisions(decisions: list[DecisionEvent], fault_at_us: int) -> DecisionSummary:
    """Return how the fault was decided on and how the decisions were propagated."""
    made = [decision for decision in decisions if decision.is_of_coordinator]
    evacuated_at_us = next(
        (
            decision.at_us
            for decision in made
            if decision.evacuates(FAULTY_ZONE) and decision.at_us >= fault_at_us
        ),
        None,
    )
    restored_at_us = max((decision.at_us for decision in made if not decision.states), default=None)
    if evacuated_at_us is None:
        restored_at_us = None
    other_zones = {zone for decision in made for zone in decision.states if zone != FAULTY_ZONE}
    return DecisionSummary(
        evacuated_after_seconds=_seconds_after(fault_at_us, evacuated_at_us),
        restored_after_seconds=_seconds_after(fault_at_us, restored_at_us),
        other_evacuated_zones=sorted(other_zones),
        evacuations=_count_evacuations(made),
        max_propagation_seconds=round(_max_propagation_us(decisions) / 1e6, 2),
    )


def _seconds_after(since_us: int, at_us: int | None) -> float | None:
    return None if at_us is None else round((at_us - since_us) / 1e6, 1)


def _count_evacuations(made: list[DecisionEvent]) -> int:
    """Return how often the zone with the fault went from serving to evacuated."""
    evacuations = 0
    before = ZoneState.SERVING
    for decision in made:
        state = decision.states.get(FAULTY_ZONE, ZoneState.SERVING)
        evacuations += before is ZoneState.SERVING and state in EVACUATED_STATES
        before = state
    return evacuations


def _max_propagation_us(decisions: list[DecisionEvent]) -> int:
    received_at_us: dict[tuple[int, int], list[int]] = defaultdict(list)
    for decision in decisions:
        if decision.is_of_broker:
            received_at_us[decision.term, decision.number].append(decision.at_us)
    return max((max(times_us) - min(times_us) for times_us in received_at_us.values()), default=0)
