"""Faults of zones in a simulated fleet, as evacuation experiments inject them."""

from __future__ import annotations

import enum
import random
from typing import Final

from heathwell.eventloop import Coro, Loop, VirtualNet, sleep
from heathwell.settings.records.queries import QueryClass
from heathwell.testing.simulation.host_faults import HostFault
from heathwell.testing.simulation.local_fleet import LocalFleet
from heathwell.testing.simulation.process_links import Link
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.leaf_faults import LeafFault

ZONES: Final = ("za", "zb", "zc")
FAULTY_ZONE_NUMBER: Final = 1
FAULTY_ZONE: Final = ZONES[FAULTY_ZONE_NUMBER]
FIRST_ZONE_NUMBER: Final = 0

FLAP_COUNT: Final = 3
FLAP_US: Final = 4_000_000
SLOW_FACTOR: Final = 10.0
LOSSY_PROBABILITY: Final = 0.05
VERY_LOSSY_PROBABILITY: Final = 0.9
LOSSY_HOSTS_DIVISOR: Final = 5
CUT_BROKERS: Final = ("b0", "b1", "b2")


class Scenario(enum.StrEnum):
    """The fault that is injected; the order of the members is that of reports."""

    KILLED = "killed"
    PARTITIONED = "cut off"
    ONE_ZONE_PAIR_CUT = "one way"
    """The links are cut between the first zone's brokers and the hosts of the zone with the fault."""
    SLOW = "slow"
    FAILING_CLASS = "class"
    LOSSY = "lossy"
    LOSSY_FIFTH = "a fifth"
    """A fifth of the zone's hosts loses most attempts."""
    ONE_BROKER_CUT = "one broker"
    TWO_ZONES_KILLED = "two zones"
    FLAPPING = "flapping"
    KILLED_AT_PEAK = "peak"
    CLIENTS_MOVED = "clients moved"
    """All clients send their requests to the brokers of the first zone."""
    HEALTHY = "healthy"
    BUSY = "busy"


FAULTLESS_SCENARIOS: Final = (Scenario.HEALTHY, Scenario.BUSY)
FAULT_SCENARIOS: Final = tuple(scenario for scenario in Scenario if scenario not in FAULTLESS_SCENARIOS)


class ZoneFaultInjector:
    """Injects the faults of one run; what is not given by the scenario comes from ``draws``."""

    def __init__(
        self,
        loop: Loop,
        net: VirtualNet,
        fleet: LocalFleet,
        query_classes: list[QueryClass],
        draws: random.Random,
    ) -> None:
        self._loop = loop
        self._net = net
        self._fleet = fleet
        self._query_classes = query_classes
        self._draws = draws

    def inject(self, scenario: Scenario, duration_us: int) -> Coro[None]:
        """Inject a scenario's fault; return when it has ended, or was handed to the hosts."""
        match scenario:
            case Scenario.KILLED | Scenario.KILLED_AT_PEAK:
                yield from self._kill(self._faulty_leaves(), duration_us)
            case Scenario.TWO_ZONES_KILLED:
                leaves = [leaf for leaf in self._fleet.leaves if leaf.zone != FIRST_ZONE_NUMBER]
                yield from self._kill(leaves, duration_us)
            case Scenario.FLAPPING:
                yield from self._flap(self._faulty_leaves())
            case Scenario.PARTITIONED | Scenario.ONE_ZONE_PAIR_CUT | Scenario.ONE_BROKER_CUT:
                yield from self._cut(self._links(scenario), duration_us)
            case _:
                self._inject_into_hosts(scenario, duration_us)

    def _faulty_leaves(self) -> list[Leaf]:
        return [leaf for leaf in self._fleet.leaves if leaf.zone == FAULTY_ZONE_NUMBER]

    def _kill(self, leaves: list[Leaf], duration_us: int) -> Coro[None]:
        """Kill leaves, and start them again at the same time."""
        for leaf in leaves:
            leaf.on_terminated = None
            leaf.crash()
        yield from sleep(self._loop, duration_us)
        for leaf in leaves:
            leaf.start()

    def _flap(self, leaves: list[Leaf]) -> Coro[None]:
        """Kill leaves for a while, several times."""
        for _ in range(FLAP_COUNT):
            yield from self._kill(leaves, FLAP_US)
            yield from sleep(self._loop, FLAP_US)

    def _links(self, scenario: Scenario) -> list[Link]:
        """Return the links from brokers to leaves that a scenario cuts."""
        if scenario is Scenario.ONE_BROKER_CUT:
            broker_name = self._draws.choice(CUT_BROKERS)
            return [Link(broker_name, leaf.name) for leaf in self._fleet.leaves]
        is_cut = _is_first_to_faulty if scenario is Scenario.ONE_ZONE_PAIR_CUT else _is_across_partition
        return [
            Link(f"b{number}", leaf.name)
            for number, broker in enumerate(self._fleet.brokers)
            for leaf in self._fleet.leaves
            if is_cut(broker.zone, leaf.zone)
        ]

    def _cut(self, links: list[Link], duration_us: int) -> Coro[None]:
        """Cut links in both directions for a while."""
        both_directions = [direction for link in links for direction in (link, link.reverse())]
        for link in both_directions:
            self._net.cut(link.source, link.target)
        yield from sleep(self._loop, duration_us)
        for link in both_directions:
            self._net.heal(link.source, link.target)

    def _inject_into_hosts(self, scenario: Scenario, duration_us: int) -> None:
        """Inject a fault into hosts of the zone; do nothing for a scenario without one."""
        leaves = self._faulty_leaves()
        query_class = ""
        match scenario:
            case Scenario.SLOW:
                fault = HostFault(LeafFault.SLOW, SLOW_FACTOR, duration_us)
            case Scenario.FAILING_CLASS:
                query_class = self._draws.choice(self._query_classes).name
                fault = HostFault(LeafFault.FAIL_QUERY_CLASS, duration_us=duration_us)
            case Scenario.LOSSY:
                fault = HostFault(LeafFault.LOST_REPLIES, LOSSY_PROBABILITY, duration_us)
            case Scenario.LOSSY_FIFTH:
                leaves = self._draws.sample(leaves, max(1, len(leaves) // LOSSY_HOSTS_DIVISOR))
                fault = HostFault(LeafFault.LOST_REPLIES, VERY_LOSSY_PROBABILITY, duration_us)
            case _:
                return
        for leaf in leaves:
            leaf.inject_fault(fault.to_command(query_class))


def _is_across_partition(broker_zone: int, leaf_zone: int) -> bool:
    """Whether exactly one end of a link is in the zone with the fault."""
    return (broker_zone == FAULTY_ZONE_NUMBER) != (leaf_zone == FAULTY_ZONE_NUMBER)


def _is_first_to_faulty(broker_zone: int, leaf_zone: int) -> bool:
    """Whether a link is from the first zone's brokers to the zone with the fault."""
    return broker_zone == FIRST_ZONE_NUMBER and leaf_zone == FAULTY_ZONE_NUMBER
