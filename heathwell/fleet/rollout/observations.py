"""Statistics of brokers during one observation window: the input of the canary analysis.

Owns the records and their sums; does no I/O. Imports no other package of heathwell.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

ALL_CLASSES = "all classes"


@dataclass(slots=True)
class QueryStatistics:
    """Outcomes of the queries of one class; a client's retries count as part of its first attempt.

    ``goodput`` is the sum over queries of the fraction of a complete answer that was returned within the
    latency objective, 0 to ``queries``.
    """

    queries: int = 0
    goodput: float = 0.0
    within_objective: int = 0
    shed: int = 0
    failed: int = 0
    partial: int = 0

    def add(self, other: QueryStatistics) -> None:
        """Add the counts of ``other`` to these."""
        self.queries += other.queries
        self.goodput += other.goodput
        self.within_objective += other.within_objective
        self.shed += other.shed
        self.failed += other.failed
        self.partial += other.partial

    @property
    def mean_goodput(self) -> float:
        """Mean goodput per query, 0 to 1; requires at least one query."""
        return self.goodput / self.queries


@dataclass(frozen=True, slots=True)
class BrokerWindow:
    """One broker during one observation window.

    ``is_canary``: it runs the new version. ``unexpected_exits`` counts exits of its process that were not
    requested. ``silent``: it did not report, so that its statistics must not be used.
    """

    broker: str
    zone: str
    is_canary: bool
    classes: dict[str, QueryStatistics]
    cpu_us: int = 0
    memory_bytes: int = 0
    unexpected_exits: int = 0
    silent: bool = False


@dataclass(frozen=True, slots=True)
class WindowGroups:
    """The brokers of one window, or of one zone in it, by the version that they run."""

    canary: list[BrokerWindow]
    baseline: list[BrokerWindow]


def split_by_version(windows: Iterable[BrokerWindow]) -> WindowGroups:
    """Split windows into those of brokers on the new version and on the old one."""
    groups = WindowGroups([], [])
    for window in windows:
        (groups.canary if window.is_canary else groups.baseline).append(window)
    return groups


def total_statistics(windows: Iterable[BrokerWindow]) -> QueryStatistics:
    """Return the sum over all brokers and classes."""
    total = QueryStatistics()
    for window in windows:
        for statistics in window.classes.values():
            total.add(statistics)
    return total


def statistics_by_class(windows: Iterable[BrokerWindow]) -> dict[str, QueryStatistics]:
    """Return the sum over brokers by class, and over all classes as ``ALL_CLASSES`` if there is any."""
    by_class: dict[str, QueryStatistics] = {}
    for window in windows:
        for query_class, statistics in window.classes.items():
            by_class.setdefault(query_class, QueryStatistics()).add(statistics)
            by_class.setdefault(ALL_CLASSES, QueryStatistics()).add(statistics)
    return by_class
