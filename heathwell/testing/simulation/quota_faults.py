"""Random faults of a quota scenario, drawn from the scenario's seed."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import partial
from typing import Final

from heathwell.testing.simulation.process_links import Link
from heathwell.testing.simulation.quota_processes import Process
from heathwell.testing.simulation.quota_scenario import QuotaScenario

MEAN_FAULT_INTERVAL_US: Final = 700_000
MIN_FAULT_DURATION_US: Final = 50_000
MAX_FAULT_DURATION_US: Final = 9_000_000
RESTART_DELAY_DIVISOR: Final = 3
"""A killed process restarts after this part of the fault's duration."""
MASS_KILL_PROBABILITY: Final = 0.6
MASS_KILL_SPREAD_US: Final = 900_000
MAX_MASS_RESTART_DELAY_US: Final = 500_000
HALF_PROBABILITY: Final = 0.5
REPLY_DIRECTION_PROBABILITY: Final = 0.5
COORDINATOR_LINK_CUT_PROBABILITY: Final = 0.4


class FaultKind(enum.StrEnum):
    """The kinds of faults; the order of the members decides which one a seed draws."""

    KILL = "kill"
    PAUSE = "stop"
    CUT = "cut"
    CUT_ONE_WAY = "oneway"
    MASS_KILL = "mass"
    COORDINATOR_KILL = "keeper-kill"
    COORDINATOR_PAUSE = "keeper-stop"
    HALF_PARTITION = "half"


KINDS: Final = tuple(FaultKind)
COORDINATOR_FAULTS: Final = frozenset({FaultKind.COORDINATOR_KILL, FaultKind.COORDINATOR_PAUSE})


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault; ``process`` is the name of the one that was drawn for it."""

    at_us: int
    kind: FaultKind
    process: str
    duration_us: int

    def __str__(self) -> str:
        return f"{self.at_us / 1e6:.3f} {self.kind} {self.process} {self.duration_us / 1e6:.2f}"


def schedule_random_faults(
    scenario: QuotaScenario,
    begin_us: int,
    end_us: int,
    mean_interval_us: int = MEAN_FAULT_INTERVAL_US,
) -> list[ScheduledFault]:
    """Schedule random faults between two times and return them in order; the last may be after the end."""
    faults: list[ScheduledFault] = []
    at_us = begin_us
    while at_us < end_us:
        at_us += int(scenario.random.expovariate(1 / mean_interval_us))
        faults.append(_schedule_fault(scenario, at_us))
    return faults


def _schedule_fault(scenario: QuotaScenario, at_us: int) -> ScheduledFault:
    kind = scenario.random.choice(KINDS)
    process: Process
    if kind in COORDINATOR_FAULTS:
        process = scenario.random.choice(scenario.coordinators)
    else:
        process = scenario.random.choice(scenario.brokers)
    duration_us = scenario.random.randrange(MIN_FAULT_DURATION_US, MAX_FAULT_DURATION_US)
    match kind:
        case FaultKind.KILL | FaultKind.COORDINATOR_KILL:
            scenario.schedule.call_at(
                at_us, partial(scenario.kill, process, duration_us // RESTART_DELAY_DIVISOR)
            )
        case FaultKind.PAUSE | FaultKind.COORDINATOR_PAUSE:
            scenario.schedule.call_at(at_us, partial(scenario.pause, process, duration_us))
        case FaultKind.MASS_KILL:
            _schedule_mass_kill(scenario, at_us)
        case FaultKind.CUT | FaultKind.CUT_ONE_WAY | FaultKind.HALF_PARTITION:
            links = _random_links(scenario, kind, process.name)
            scenario.schedule.call_at(at_us, partial(scenario.cut_links.update, links))
            scenario.schedule.call_at(
                at_us + duration_us, partial(scenario.cut_links.difference_update, links)
            )
    return ScheduledFault(at_us, kind, process.name, duration_us)


def _schedule_mass_kill(scenario: QuotaScenario, at_us: int) -> None:
    for broker in scenario.brokers:
        if scenario.random.random() < MASS_KILL_PROBABILITY:
            killed_at_us = at_us + scenario.random.randrange(MASS_KILL_SPREAD_US)
            restart_after_us = scenario.random.randrange(MAX_MASS_RESTART_DELAY_US)
            scenario.schedule.call_at(killed_at_us, partial(scenario.kill, broker, restart_after_us))


def _random_links(scenario: QuotaScenario, kind: FaultKind, broker: str) -> set[Link]:
    """Return the links that a fault cuts between brokers and one coordinator."""
    brokers = [broker]
    if kind is FaultKind.HALF_PARTITION:
        brokers = [
            candidate.name for candidate in scenario.brokers if scenario.random.random() < HALF_PROBABILITY
        ]
    coordinator = scenario.random.choice(scenario.coordinators).name
    requests = {Link(name, coordinator) for name in brokers}
    replies = {link.reverse() for link in requests}
    if kind is FaultKind.CUT_ONE_WAY:
        return replies if scenario.random.random() < REPLY_DIRECTION_PROBABILITY else requests
    links = requests | replies
    if kind is FaultKind.CUT and scenario.random.random() < COORDINATOR_LINK_CUT_PROBABILITY:
        others = [other.name for other in scenario.coordinators if other.name != coordinator]
        coordinator_link = Link(coordinator, scenario.random.choice(others))
        links |= {coordinator_link, coordinator_link.reverse()}
    return links
