"""A statistical model of a fleet's brokers during a release: their reports are drawn from a seed.

Each broker has arrivals, a usual goodput of each class, CPU time and memory; faults are shared by the brokers
of a zone. The new version has one defect or none.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import numpy as np

from heathwell.fleet.rollout import RESTART_SUFFIX, BrokerWindow, QueryStatistics

OLD_VERSION: Final = "old"
NEW_VERSION: Final = "new"

WINDOW_US: Final = 2_000_000
WINDOW_SECONDS: Final = WINDOW_US / 1e6
REPLACEMENT_DURATION_US: Final = 4_000_000
INITIAL_VERSION_SINCE_US: Final = -10_000_000_000
"""The brokers have been running for long when the release begins."""

TRAFFIC_SHAPE: Final = 3.0
"""The shape of the gamma distribution of traffic: some brokers receive several times the mean."""

ZONE_LOSS_DECAY: Final = 0.8
ZONE_LOSS_DEVIATION: Final = 0.004
FAULT_PROBABILITY: Final = 0.3
FAULT_EARLIEST_SECONDS: Final = 30
FAULT_LATEST_SECONDS: Final = 400
FAULT_DURATION_US: Final = 30_000_000
FAULTY_ZONE_LOSS: Final = 0.5
OTHER_ZONES_LOSS: Final = 0.05

STALL_AFTER_SECONDS: Final = 20
EXIT_INTERVAL_SECONDS: Final = 5
INTERRUPTED_GOODPUT_FACTOR: Final = 0.5
WORSE_CLASS_LOSS: Final = 0.03

CPU_US_PER_QUERY: Final = 900
CPU_DEFECT_FACTOR: Final = 2.0
CPU_DEVIATION: Final = 0.1
MEMORY_BYTES: Final = 60e6
MEMORY_DEVIATION_BYTES: Final = 1e6
LEAKED_BYTES_PER_SECOND: Final = 0.4e6


class Defect(enum.StrEnum):
    """The defects of a new version; the order of the members is that of reports."""

    NO_START = "no start"
    EXITS = "dies"
    DROPS_QUERIES = "drops held"
    """Queries that are held at its shutdown get no answer."""
    WORSE_CLASS = "worse class"
    CPU = "processor"
    MEMORY_LEAK = "leak"
    STALL = "stall"
    OLD_PROTOCOL = "old wire"
    """It can't decode the requests of the others."""
    FALSE_DIGEST = "false digest"


DEFECTS: Final = tuple(Defect)
START_DEFECTS: Final = frozenset({Defect.NO_START, Defect.FALSE_DIGEST})
"""The supervisor finds these before it shuts the running version down."""


@dataclass(frozen=True, slots=True)
class QueryClassModel:
    """A query class: its part of the traffic and its usual goodput, both between 0 and 1."""

    name: str
    traffic_fraction: float
    usual_goodput: float


CLASSES: Final = (
    QueryClassModel("price-search", 0.45, 0.985),
    QueryClassModel("day-report", 0.2, 0.95),
    QueryClassModel("sale-record", 0.35, 0.99),
)


@dataclass(slots=True)
class SimulatedBroker:
    """One broker and its replacement, if one is in progress.

    ``desired_version`` is that of its latest replacement, None where there was none.
    """

    name: str
    zone: str
    queries_per_second: float
    version: str = OLD_VERSION
    version_since_us: int = INITIAL_VERSION_SINCE_US
    desired_version: str | None = None
    replaced_at_us: int | None = None

    @property
    def is_being_replaced(self) -> bool:
        """Whether a replacement is in progress."""
        return self.replaced_at_us is not None

    @property
    def is_canary(self) -> bool:
        """Whether it runs the new version."""
        return self.version != OLD_VERSION


@dataclass(frozen=True, slots=True)
class BrokerCondition:
    """What affects a broker during one window.

    ``zone_loss`` is the loss of goodput by its zone's faults, ``goodput_factor`` what its defect leaves of
    the rest. ``defect`` is None for the old version and for a new one without a defect.
    """

    defect: Defect | None
    age_seconds: float
    zone_loss: float
    goodput_factor: float
    unexpected_exits: int
    is_silent: bool

    def expected_goodput(self, usual_goodput: float) -> float:
        """Return the goodput of a class if the broker had no defect."""
        return max(0.0, usual_goodput - self.zone_loss)


class ReleaseFleet:
    """The brokers of one release.

    ``lost_goodput_seconds`` sums the broker-seconds of goodput that the defect has cost. ``worse_class`` is
    the class that :attr:`Defect.WORSE_CLASS` affects. ``fault_at_us`` is None where no zone has a fault.
    """

    def __init__(
        self, seed: int, defect: Defect | None, *, broker_count: int, zone_count: int, rate: float
    ) -> None:
        self.random_windows = np.random.default_rng(seed)
        self.random = random.Random(seed)
        self.defect = defect
        traffic = self.random_windows.gamma(TRAFFIC_SHAPE, 1.0, broker_count)
        rates = rate * traffic / traffic.sum()
        self.brokers = {
            f"b{number}": SimulatedBroker(f"b{number}", f"z{number % zone_count}", float(rates[number]))
            for number in range(broker_count)
        }
        self.zones = {broker.name: broker.zone for broker in self.brokers.values()}
        self.zone_losses = dict.fromkeys(sorted(set(self.zones.values())), 0.0)
        self.worse_class = self.random.choice([query_class.name for query_class in CLASSES])
        self.fault_at_us: int | None = None
        if self.random.random() < FAULT_PROBABILITY:
            fault_at_seconds = self.random.randrange(FAULT_EARLIEST_SECONDS, FAULT_LATEST_SECONDS)
            self.fault_at_us = fault_at_seconds * 1_000_000
        self.faulty_zone = self.random.choice(list(self.zone_losses))
        self.lost_goodput_seconds = 0.0

    # Replacements

    @property
    def running_versions(self) -> dict[str, str]:
        """The version of each broker."""
        return {broker.name: broker.version for broker in self.brokers.values()}

    @property
    def brokers_being_replaced(self) -> set[str]:
        """The names of the brokers with a replacement in progress."""
        return {broker.name for broker in self.brokers.values() if broker.is_being_replaced}

    @property
    def failed_replacements(self) -> list[str]:
        """The names of the brokers that could not be replaced by the new version."""
        return [broker.name for broker in self.brokers.values() if self._has_failed(broker)]

    def finish_replacements(self, now_us: int) -> None:
        """End the replacements whose time is over."""
        for broker in self.brokers.values():
            if broker.replaced_at_us is None or now_us < broker.replaced_at_us:
                continue
            broker.replaced_at_us = None
            desired_version = broker.desired_version
            if desired_version == OLD_VERSION or not self._cannot_start:
                assert desired_version is not None
                broker.version = desired_version
                broker.version_since_us = now_us

    def start_replacements(self, now_us: int, desired_versions: Mapping[str, str]) -> None:
        """Begin to replace brokers by these versions, except for those that failed to start them before."""
        for name, version in desired_versions.items():
            broker = self.brokers[name]
            has_failed = self._cannot_start and broker.desired_version == version
            if not broker.is_being_replaced and not has_failed:
                broker.replaced_at_us = now_us + REPLACEMENT_DURATION_US
                broker.desired_version = version

    @property
    def _cannot_start(self) -> bool:
        return self.defect in START_DEFECTS

    def _has_failed(self, broker: SimulatedBroker) -> bool:
        if broker.desired_version in (None, OLD_VERSION) or broker.is_being_replaced:
            return False
        is_restart = broker.desired_version == NEW_VERSION + RESTART_SUFFIX
        return self._cannot_start or (self.defect is Defect.DROPS_QUERIES and is_restart)

    # Observation windows

    def observe_window(self, now_us: int) -> list[BrokerWindow]:
        """Draw what the brokers report of the window that begins now."""
        for zone, loss in self.zone_losses.items():
            change = float(self.random_windows.normal(0, ZONE_LOSS_DEVIATION))
            self.zone_losses[zone] = ZONE_LOSS_DECAY * loss + change
        return [self._observe_broker(broker, now_us) for broker in self.brokers.values()]

    def _observe_broker(self, broker: SimulatedBroker, now_us: int) -> BrokerWindow:
        condition = self._condition(broker, now_us)
        classes = self._observe_classes(broker, condition)
        queries = sum(statistics.queries for statistics in classes.values())
        cpu_factor = CPU_DEFECT_FACTOR if condition.defect is Defect.CPU else 1.0
        expected_cpu_us = queries * CPU_US_PER_QUERY * cpu_factor
        memory_bytes = MEMORY_BYTES + float(self.random_windows.normal(0, MEMORY_DEVIATION_BYTES))
        if condition.defect is Defect.MEMORY_LEAK:
            memory_bytes += LEAKED_BYTES_PER_SECOND * condition.age_seconds
        return BrokerWindow(
            broker.name,
            broker.zone,
            broker.is_canary,
            classes,
            cpu_us=int(expected_cpu_us * self.random_windows.lognormal(0, CPU_DEVIATION)),
            memory_bytes=int(memory_bytes),
            unexpected_exits=condition.unexpected_exits,
            silent=condition.is_silent,
        )

    def _condition(self, broker: SimulatedBroker, now_us: int) -> BrokerCondition:
        defect = self.defect if broker.is_canary else None
        age_seconds = (now_us - broker.version_since_us) / 1e6
        is_stalled = defect is Defect.STALL and age_seconds > STALL_AFTER_SECONDS
        exits = _exits(age_seconds) if defect is Defect.EXITS else 0
        drops_queries = defect is Defect.DROPS_QUERIES and broker.is_being_replaced
        goodput_factor = 1.0
        if is_stalled or defect is Defect.OLD_PROTOCOL:
            goodput_factor = 0.0
        elif exits or drops_queries:
            goodput_factor = INTERRUPTED_GOODPUT_FACTOR
        zone_loss = abs(self.zone_losses[broker.zone]) + self._fault_loss(broker.zone, now_us)
        return BrokerCondition(defect, age_seconds, zone_loss, goodput_factor, exits, is_stalled)

    def _fault_loss(self, zone: str, now_us: int) -> float:
        """Return the loss of goodput by the fault of a zone."""
        if self.fault_at_us is None or not self.fault_at_us <= now_us < self.fault_at_us + FAULT_DURATION_US:
            return 0.0
        return FAULTY_ZONE_LOSS if zone == self.faulty_zone else OTHER_ZONES_LOSS

    def _observe_classes(
        self, broker: SimulatedBroker, condition: BrokerCondition
    ) -> dict[str, QueryStatistics]:
        expected_queries = broker.queries_per_second * WINDOW_US / 1e6
        fractions = np.array([query_class.traffic_fraction for query_class in CLASSES])
        counts = self.random_windows.poisson(expected_queries * fractions)
        statistics_by_class: dict[str, QueryStatistics] = {}
        lost_goodput = 0.0
        for query_class, count in zip(CLASSES, counts.tolist(), strict=True):
            expected_goodput = condition.expected_goodput(query_class.usual_goodput)
            class_loss = self._class_loss(condition.defect, query_class)
            probability = max(0.0, expected_goodput * condition.goodput_factor - class_loss)
            goodput = int(self.random_windows.binomial(count, probability))
            lost_goodput += expected_goodput * count - probability * count
            if count:
                statistics_by_class[query_class.name] = QueryStatistics(
                    count, goodput=float(goodput), within_objective=goodput, shed=count - goodput
                )
        self.lost_goodput_seconds += lost_goodput / max(expected_queries, 1e-9) * WINDOW_US / 1e6
        return statistics_by_class

    def _class_loss(self, defect: Defect | None, query_class: QueryClassModel) -> float:
        is_worse = defect is Defect.WORSE_CLASS and query_class.name == self.worse_class
        return WORSE_CLASS_LOSS if is_worse else 0.0


def _exits(age_seconds: float) -> int:
    """Return how often a broker that exits periodically does so in the window that ends at an age."""
    if age_seconds <= 0:
        return 0
    exits = int(age_seconds // EXIT_INTERVAL_SECONDS)
    exits_before = int((age_seconds - WINDOW_SECONDS) // EXIT_INTERVAL_SECONDS)
    return int(exits != exits_before)
