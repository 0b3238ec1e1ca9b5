"""Tests whether brokers on the new version (canary) perform worse than those on the old one (baseline).

Each window yields, by query class and zone, the difference in mean goodput per query between canary and
baseline; effects on both sides cancel out. Over the windows a weighted t-test decides whether the mean
difference is below zero. The test is repeated during the stage; its error is divided over these interim
analyses (:mod:`sequential_analysis`) and over the classes (Bonferroni).

Owns the measurements of one stage; does no I/O. Imports modules of this package, except the controller.
"""

from __future__ import annotations

import math
from collections import defaultdict

from heathwell.fleet.rollout.fault_detector import FaultDetector
from heathwell.fleet.rollout.immediate_checks import CollapseCheck, LivenessCheck, MemoryGrowthCheck
from heathwell.fleet.rollout.observations import (
    ALL_CLASSES,
    BrokerWindow,
    QueryStatistics,
    WindowGroups,
    split_by_version,
    statistics_by_class,
)
from heathwell.fleet.rollout.sequential_analysis import (
    DifferenceSeries,
    ErrorSpending,
    WeightedValue,
    student_cdf,
    student_quantile,
)
from heathwell.fleet.rollout.verdict import AnalysisLimits, Verdict, VerdictKind

PROOF_CONFIDENCE = 0.9  # confidence required to show that a class is within the tolerance
CPU_TIME_CONFIDENCE = 0.9995  # confidence required to show that the CPU time per query has grown
CPU_TIME_MIN_QUERIES = 3  # minimum queries in a zone and window, on each side


class CanaryAnalysis:
    """The analysis of one stage, over at most ``planned_windows``."""

    def __init__(self, limits: AnalysisLimits, planned_windows: int) -> None:
        self.limits = limits
        self.planned_windows = max(planned_windows, 1)
        self.windows = 0
        self.fault_windows = 0
        self._series: dict[str, DifferenceSeries] = defaultdict(DifferenceSeries)
        self._cpu_time_series = DifferenceSeries()  # logarithm of the CPU time per query
        self._error_spending = ErrorSpending(limits.false_alarm_rate, limits.planned_looks)
        self._fault_detector = FaultDetector(limits.fault_loss)
        self._liveness = LivenessCheck(limits)
        self._collapse = CollapseCheck(limits)
        self._memory_growth = MemoryGrowthCheck(limits)

    def observe(self, windows: list[BrokerWindow]) -> Verdict:
        """Add one window of all brokers and return the verdict so far."""
        self.windows += 1
        groups = split_by_version(windows)
        self._memory_growth.observe(groups)
        dead_or_silent = self._liveness.observe(groups)
        if dead_or_silent is not None:
            return dead_or_silent
        if self._fault_detector.observe(groups.baseline):
            self.fault_windows += 1
            reason = "the unchanged brokers do worse than they did: not the change"
            return Verdict(VerdictKind.FAULT, reason)
        self._record_differences(windows)
        return (
            self._collapse.observe(groups)
            or self._cpu_time_verdict()
            or self._memory_growth.verdict()
            or self._repeat_test()
        )

    def final_verdict(self, *, require_proof: bool) -> Verdict:
        """Return the final verdict; with ``require_proof`` every class must be within the tolerance."""
        decided = self._decided_classes()
        undecided = tuple(sorted(set(self._series) - set(decided) - {ALL_CLASSES}))
        total = self._series[ALL_CLASSES]
        if ALL_CLASSES not in decided:
            reason = f"{total.canary_queries} queries met the change"
            return Verdict(VerdictKind.INSUFFICIENT_DATA, reason, undecided)
        unproven = [name for name in decided if not self._is_proven(name)] if require_proof else []
        if unproven:
            reason = f"not shown to be within {self.limits.tolerance:.1%}: {', '.join(unproven)}"
            return Verdict(VerdictKind.INSUFFICIENT_DATA, reason, undecided)
        estimate = total.estimate()
        reason = (
            f"goodput {estimate.mean:+.2%} (error {estimate.standard_error:.2%}) "
            f"over {total.canary_queries} queries"
        )
        return Verdict(VerdictKind.NOT_WORSE, reason, undecided)

    def is_proven(self) -> bool:
        """Whether every class with enough queries is shown to be no worse than the tolerance allows."""
        decided = self._decided_classes()
        return ALL_CLASSES in decided and all(self._is_proven(name) for name in decided)

    def _record_differences(self, windows: list[BrokerWindow]) -> None:
        """Add one window to the series: for each class the mean over zones, weighted by queries."""
        zones: dict[str, list[BrokerWindow]] = defaultdict(list)
        for window in windows:
            if not window.silent:
                zones[window.zone].append(window)
        by_class: dict[str, list[WeightedValue]] = defaultdict(list)
        cpu_times: list[WeightedValue] = []
        for zone_windows in zones.values():
            groups = split_by_version(zone_windows)
            self._compare_zone(groups, by_class)
            cpu_time = _cpu_time_difference(groups)
            if cpu_time is not None:
                cpu_times.append(cpu_time)
        for name, zone_values in by_class.items():
            self._series[name].append_window(zone_values)
        if cpu_times:
            self._cpu_time_series.append_window(cpu_times)

    def _compare_zone(self, groups: WindowGroups, by_class: dict[str, list[WeightedValue]]) -> None:
        """Append a zone's difference in goodput for each class with queries on both sides."""
        canary_classes = statistics_by_class(groups.canary)
        baseline_classes = statistics_by_class(groups.baseline)
        # Sorted, because a verdict names the first class in this order that is worse.
        for name in sorted(canary_classes.keys() | baseline_classes.keys()):
            canary = canary_classes.get(name, QueryStatistics())
            baseline = baseline_classes.get(name, QueryStatistics())
            series = self._series[name]
            if not canary.queries or not baseline.queries:
                continue
            weight = canary.queries * baseline.queries / (canary.queries + baseline.queries)
            difference = canary.mean_goodput - baseline.mean_goodput
            by_class[name].append(WeightedValue(difference, weight))
            series.canary_queries += canary.queries
            series.baseline_queries += baseline.queries

    def _decided_classes(self) -> list[str]:
        """Return the classes with enough queries on both sides, in enough windows, for a verdict."""
        return [
            name
            for name, series in self._series.items()
            if min(series.canary_queries, series.baseline_queries) >= self.limits.min_queries
            and series.has_enough_values()
        ]

    def _is_proven(self, name: str) -> bool:
        """Whether this class is shown to lose no more goodput than the tolerance."""
        series = self._series[name]
        estimate = series.estimate()
        quantile = student_quantile(PROOF_CONFIDENCE, series.degrees_of_freedom)
        return estimate.mean - quantile * estimate.standard_error > -self.limits.tolerance

    def _repeat_test(self) -> Verdict:
        """Repeat the test if an interim analysis is due."""
        allowed = self._error_spending.next_look(self.windows, self.planned_windows)
        if allowed is None:
            return Verdict(VerdictKind.CONTINUE)
        decided = self._decided_classes()
        for name in decided:
            series = self._series[name]
            estimate = series.estimate()
            probability = student_cdf(estimate.mean / estimate.standard_error, series.degrees_of_freedom)
            class_allowed = allowed / (len(decided) + 1)  # + 1 for the CPU time check
            if estimate.mean < 0 and probability < class_allowed:
                return Verdict(
                    VerdictKind.WORSE,
                    f"{name}: goodput {estimate.mean:+.2%} (error {estimate.standard_error:.2%}, "
                    f"chance {probability:.1e} where {class_allowed:.1e} may be spent) "
                    f"over {series.canary_queries} queries",
                )
        return Verdict(VerdictKind.CONTINUE)

    def _cpu_time_verdict(self) -> Verdict | None:
        """Return a verdict if the CPU time per query is shown to have grown beyond the limit."""
        limit = self.limits.max_cpu_time_ratio
        estimate = self._cpu_time_series.estimate()
        if estimate.mean <= math.log(limit):
            return None
        quantile = student_quantile(CPU_TIME_CONFIDENCE, self._cpu_time_series.degrees_of_freedom)
        lower_bound = estimate.mean - quantile * estimate.standard_error
        if lower_bound <= math.log((1 + limit) / 2):
            return None
        return Verdict(VerdictKind.WORSE, f"{math.exp(estimate.mean):.2f} times the processor a query")


def _cpu_time_difference(groups: WindowGroups) -> WeightedValue | None:
    """Return a zone's logarithm of the ratio of CPU time per query; None with too few queries."""
    canary_queries = _total_queries(groups.canary)
    baseline_queries = _total_queries(groups.baseline)
    canary_cpu_us = sum(window.cpu_us for window in groups.canary)
    baseline_cpu_us = sum(window.cpu_us for window in groups.baseline)
    queries = min(canary_queries, baseline_queries)
    if queries < CPU_TIME_MIN_QUERIES or min(canary_cpu_us, baseline_cpu_us) <= 0:
        return None
    ratio = (canary_cpu_us / canary_queries) / (baseline_cpu_us / baseline_queries)
    return WeightedValue(math.log(ratio), queries)


def _total_queries(windows: list[BrokerWindow]) -> int:
    return sum(statistics.queries for window in windows for statistics in window.classes.values())
