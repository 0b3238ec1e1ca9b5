"""An experiment on two regions in virtual time: a fault of the link between them, or the loss of one.

Queries are counted by class in three phases: before, during and after the fault.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import msgspec

from heathwell.eventloop import Coro, sleep
from heathwell.service.query_plans import QueryPlan
from heathwell.settings import loads
from heathwell.testing.simulation import demo_settings
from heathwell.testing.simulation.experiment_phases import Phase, phase_order
from heathwell.testing.simulation.process_links import Link
from heathwell.testing.simulation.region_settings import (
    ZONE_NAMES,
    RegionName,
    Variant,
    across_section,
    region_of_number,
)
from heathwell.testing.simulation.simulated_scenario import (
    LOOP_START_US,
    SETTLE_US,
    CompletedQuery,
    CompletedRequest,
    QueryOutcome,
    SimulatedScenario,
)
from heathwell.testing.standins.link_condition import retransmission_delay_us
from heathwell.testing.standins.units import US_PER_SECOND

BEFORE_SECONDS: Final = 10.0
FAULT_SECONDS: Final = 15.0
AFTER_SECONDS: Final = 20.0
FAULT_DURATION_US: Final = int(FAULT_SECONDS * US_PER_SECOND)
LOAD_START_US: Final = LOOP_START_US + SETTLE_US

LOCAL_DELAY_US: Final = 300
CROSS_REGION_DELAY_US: Final = 3_000
PACKET_LOSS_FRACTION: Final = 0.05
SMALL_MESSAGE_BYTES: Final = 1
FLAP_INTERVAL_SECONDS: Final = 2

RECOVERY_WINDOW_SECONDS: Final = 3
RECOVERY_TOLERANCE: Final = 0.05
"""The service has recovered when the fraction on time is at most so much below that before the fault."""
WARM_UP_SECONDS: Final = 2
"""Seconds at the start that don't count for the usual service."""


class RegionFault(StrEnum):
    """The fault that is injected."""

    DELAY_100_MS = "100 ms"
    DELAY_400_MS = "400 ms"
    PACKET_LOSS = "loss"
    ONE_WAY = "one way"
    """Requests from hki arrive, their replies don't."""
    CUT = "cut"
    FLAPPING = "flap"
    REGION_LOST = "region lost"


REGION_FAULTS: Final = tuple(RegionFault)


def region_settings_text(
    *, shards: int, replica_groups: int, replicas: int, leaves: int, brokers: int
) -> str:
    """Return the settings of a fleet of this size over both regions, without its variant."""
    return demo_settings.settings_text(
        demo_settings.price_search_class(minimum_percent=50),
        demo_settings.day_report_class(),
        demo_settings.sale_record_class(),
        demo_settings.SALE_KEYS,
        demo_settings.PRICE_KEYS,
        demo_settings.report_keys(),
        demo_settings.fleet_section(
            shards=shards,
            replica_groups=replica_groups,
            replicas=replicas,
            zones=ZONE_NAMES,
            leaves=leaves,
            brokers=brokers,
        ),
        demo_settings.RULES,
        demo_settings.limits_section(max_in_flight=800),
        demo_settings.discovery_section(),
    )


REGION_SETTINGS: Final = region_settings_text(shards=64, replica_groups=32, replicas=2, leaves=32, brokers=8)
LARGE_REGION_SETTINGS: Final = region_settings_text(
    shards=164, replica_groups=82, replicas=3, leaves=82, brokers=89
)


class QueryCounts(msgspec.Struct, rename={"queries": "asked"}):
    """The number of queries by how they ended, of a class in a phase; encoded by the report's names."""

    queries: int = 0
    on_time: int = 0
    late: int = 0
    partial: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0

    def record(self, outcome: QueryOutcome) -> None:
        """Count a query."""
        self.queries += 1
        match outcome:
            case QueryOutcome.ON_TIME:
                self.on_time += 1
            case QueryOutcome.LATE:
                self.late += 1
            case QueryOutcome.PARTIAL:
                self.partial += 1
            case QueryOutcome.REFUSED:
                self.refused += 1
            case QueryOutcome.FAILED:
                self.failed += 1


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """Which queries are counted: of a class in a phase; all, or those with replicas in their region alone."""

    query_class: str
    phase: Phase
    is_local: bool = False


@dataclass(slots=True)
class SecondCounts:
    """The queries of one second, and those of them that were answered in full on time."""

    queries: int = 0
    on_time: int = 0


class RegionScenario(SimulatedScenario):
    """A scenario with one fault between two regions.

    Queries for which each shard has a replica in the region of their broker are counted apart as local.
    ``abandoned_after_permille`` are the durations of the fault's other queries that were not answered in
    full, in thousandths of their latency objective.
    """

    def __init__(
        self,
        variant: str,
        fault: str,
        seed: int = 1,
        rate: float = 60.0,
        text: str = REGION_SETTINGS,
    ) -> None:
        super().__init__(
            loads(text + across_section(Variant(variant))),
            seed,
            duration_seconds=BEFORE_SECONDS + FAULT_SECONDS + AFTER_SECONDS,
            arrival_rate=rate,
            fault_rate=0.0,
            poison_fraction=0.0,
        )
        self.fault = RegionFault(fault)
        self.net.delay = self._delay_us
        self.counts: dict[ServiceKey, QueryCounts] = {}
        self.abandoned_after_permille: list[int] = []
        self._counts_by_second: dict[int, SecondCounts] = {}
        self._cross_region_extra_delay_us: Callable[[], int] = _no_extra_delay

    # Network

    @staticmethod
    def region_of(host: str) -> RegionName:
        """Return the region of a host; all but leaves and brokers are in hki."""
        if not host.startswith(("leaf", "b")):
            return RegionName.HKI
        digits = "".join(character for character in host if character.isdigit())
        return region_of_number(int(digits or 0))

    def _delay_us(self, source: str, target: str) -> int:
        is_crossing = self.region_of(source) is not self.region_of(target)
        if not is_crossing or "client" in (source, target):
            return LOCAL_DELAY_US
        return CROSS_REGION_DELAY_US + self._cross_region_extra_delay_us()

    def _hosts_in(self, region: RegionName) -> list[str]:
        """Return the leaves and brokers of a region."""
        names = [leaf.name for leaf in self.fleet.leaves]
        names += [f"b{number}" for number in range(len(self.fleet.brokers))]
        return [name for name in names if self.region_of(name) is region]

    def _links(self, *, both_ways: bool) -> list[Link]:
        """Return the links from espoo to hki, with ``both_ways`` those from hki to espoo too."""
        links = []
        for hki_host in self._hosts_in(RegionName.HKI):
            for espoo_host in self._hosts_in(RegionName.ESPOO):
                if both_ways:
                    links.append(Link(hki_host, espoo_host))
                links.append(Link(espoo_host, hki_host))
        return links

    def _cut(self, links: Iterable[Link]) -> None:
        for link in links:
            self.net.cut(link.source, link.target)

    def _heal(self, links: Iterable[Link]) -> None:
        for link in links:
            self.net.heal(link.source, link.target)

    # The fault

    def _main(self) -> Coro[None]:
        self.loop.spawn(self._inject_region_fault(), "region fault")
        yield from super()._main()

    def _inject_region_fault(self) -> Coro[None]:
        yield from sleep(self.loop, SETTLE_US + int(BEFORE_SECONDS * US_PER_SECOND))
        match self.fault:
            case RegionFault.DELAY_100_MS:
                yield from self._delay_links(lambda: 100_000)
            case RegionFault.DELAY_400_MS:
                yield from self._delay_links(lambda: 400_000)
            case RegionFault.PACKET_LOSS:
                draws = random.Random(self.seed)
                yield from self._delay_links(
                    lambda: retransmission_delay_us(SMALL_MESSAGE_BYTES, PACKET_LOSS_FRACTION, draws)
                )
            case RegionFault.ONE_WAY:
                yield from self._cut_links(self._links(both_ways=False))
            case RegionFault.CUT:
                yield from self._cut_links(self._links(both_ways=True))
            case RegionFault.FLAPPING:
                yield from self._flap_links(self._links(both_ways=True))
            case RegionFault.REGION_LOST:
                yield from self._lose_region(RegionName.ESPOO)

    def _delay_links(self, extra_delay_us: Callable[[], int]) -> Coro[None]:
        """Delay what crosses regions further, for the fault's duration."""
        self._cross_region_extra_delay_us = extra_delay_us
        yield from sleep(self.loop, FAULT_DURATION_US)
        self._cross_region_extra_delay_us = _no_extra_delay

    def _cut_links(self, links: list[Link]) -> Coro[None]:
        """Cut links for the fault's duration."""
        self._cut(links)
        yield from sleep(self.loop, FAULT_DURATION_US)
        self._heal(links)

    def _flap_links(self, links: list[Link]) -> Coro[None]:
        """Cut links and restore them in turn, for the fault's duration."""
        for interval in range(int(FAULT_SECONDS // FLAP_INTERVAL_SECONDS)):
            if interval % 2 == 0:
                self._cut(links)
            else:
                self._heal(links)
            yield from sleep(self.loop, FLAP_INTERVAL_SECONDS * US_PER_SECOND)
        self._heal(links)

    def _lose_region(self, region: RegionName) -> Coro[None]:
        """Crash all leaves of a region, and start them again at the same time with cold caches."""
        leaves = [leaf for leaf in self.fleet.leaves if self.region_of(leaf.name) is region]
        for leaf in leaves:
            leaf.crash()
        yield from sleep(self.loop, FAULT_DURATION_US)
        for leaf in leaves:
            leaf.start()

    # Statistics

    @staticmethod
    def _phase(load_seconds: float) -> Phase:
        """Return the phase of a time, in seconds from the load's start."""
        if load_seconds < BEFORE_SECONDS:
            return Phase.BEFORE
        return Phase.DURING if load_seconds < BEFORE_SECONDS + FAULT_SECONDS else Phase.AFTER

    def _on_request_completed(self, request: CompletedRequest) -> None:
        broker_region = self.region_of(f"b{request.broker}")
        load_seconds = (request.started_at_us - LOAD_START_US) / US_PER_SECOND
        for query in request.queries:
            self._record_query(query, broker_region, load_seconds)

    def _record_query(self, query: CompletedQuery, broker_region: RegionName, load_seconds: float) -> None:
        phase = self._phase(load_seconds)
        plan = self.fleet.brokers[0].broker.keys.plan(query.key)
        is_local = plan is not None and self._has_local_replicas(plan, broker_region)
        keys = [ServiceKey(query.query_class.name, phase)]
        if is_local:
            keys.append(ServiceKey(query.query_class.name, phase, is_local=True))
        for key in keys:
            self.counts.setdefault(key, QueryCounts()).record(query.outcome)
        second = self._counts_by_second.setdefault(int(load_seconds), SecondCounts())
        second.queries += 1
        second.on_time += query.outcome is QueryOutcome.ON_TIME
        if phase is Phase.DURING and not query.is_complete and not is_local:
            self.abandoned_after_permille.append(
                query.duration_us * 1000 // query.query_class.latency_objective_us
            )

    def _has_local_replicas(self, plan: QueryPlan, region: RegionName) -> bool:
        """Return whether each shard of a plan has a replica in a region."""
        fleet = self.service_settings.fleet
        return all(
            any(
                region_of_number((part.shard + replica) % fleet.cells) is region
                for replica in range(fleet.width)
            )
            for part in plan.parts
        )

    def ordered_counts(self) -> dict[ServiceKey, QueryCounts]:
        """Return the counts in order of class and phase, those of local queries last."""
        ordered_keys = sorted(
            self.counts, key=lambda key: (key.query_class, phase_order(key.phase), key.is_local)
        )
        return {key: self.counts[key] for key in ordered_keys}

    def recovery_seconds(self) -> float | None:
        """Return how long after the fault the service was as before it, None if it never was."""
        fraction_before = self._on_time_fraction(range(WARM_UP_SECONDS, int(BEFORE_SECONDS)))
        fault_end = int(BEFORE_SECONDS + FAULT_SECONDS)
        last_start = fault_end + int(AFTER_SECONDS) - RECOVERY_WINDOW_SECONDS
        for start in range(fault_end, last_start + 1):
            window = range(start, start + RECOVERY_WINDOW_SECONDS)
            if self._on_time_fraction(window) >= fraction_before - RECOVERY_TOLERANCE:
                return float(start - fault_end)
        return None

    def _on_time_fraction(self, seconds: range) -> float:
        """Return the fraction of the queries of these seconds that were answered in full on time."""
        counts = [self._counts_by_second[second] for second in seconds if second in self._counts_by_second]
        queries = sum(count.queries for count in counts)
        return sum(count.on_time for count in counts) / max(1, queries)


def _no_extra_delay() -> int:
    return 0
