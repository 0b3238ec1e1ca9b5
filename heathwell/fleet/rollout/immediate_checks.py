"""Checks for a worse version without statistical tests: exits, missing reports, goodput collapse, memory
growth.

Owns the counters of these checks; does no I/O. Imports the records of this package.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from heathwell.fleet.rollout.observations import BrokerWindow, WindowGroups, total_statistics
from heathwell.fleet.rollout.verdict import AnalysisLimits, Verdict, VerdictKind

COLLAPSE_MIN_QUERIES = 5  # minimum queries per window on each side
COLLAPSE_WINDOWS = 3  # consecutive windows
MEMORY_MIN_WINDOWS = 9


class LivenessCheck:
    """Checks for unexpected exits and missing reports on the canary side only."""

    def __init__(self, limits: AnalysisLimits) -> None:
        self.limits = limits
        self._canary_exits = 0
        self._baseline_exits = 0
        self._silent_windows = Counter[str]()

    def observe(self, groups: WindowGroups) -> Verdict | None:
        """Add one window; return a verdict if the new version is worse."""
        self._canary_exits += sum(window.unexpected_exits for window in groups.canary)
        self._baseline_exits += sum(window.unexpected_exits for window in groups.baseline)
        for window in (*groups.canary, *groups.baseline):
            count = self._silent_windows[window.broker]
            self._silent_windows[window.broker] = count + 1 if window.silent else 0
        if self._canary_exits >= self.limits.unexpected_exit_limit and not self._baseline_exits:
            reason = f"{self._canary_exits} changed brokers died, no unchanged one"
            return Verdict(VerdictKind.WORSE, reason)
        silent = self._silent_brokers(groups.canary)
        if silent and not self._silent_brokers(groups.baseline):
            return Verdict(VerdictKind.WORSE, f"no reports from {', '.join(silent)} any more")
        return None

    def _silent_brokers(self, windows: Iterable[BrokerWindow]) -> list[str]:
        limit = self.limits.silent_window_limit
        return [window.broker for window in windows if self._silent_windows[window.broker] >= limit]


class CollapseCheck:
    """Checks for a goodput of the canary far below the baseline's in several consecutive windows."""

    def __init__(self, limits: AnalysisLimits) -> None:
        self.limits = limits
        self._collapsed_windows = 0

    def observe(self, groups: WindowGroups) -> Verdict | None:
        """Add one window; return a verdict if the new version is worse."""
        canary = total_statistics(groups.canary)
        baseline = total_statistics(groups.baseline)
        if canary.queries < COLLAPSE_MIN_QUERIES or baseline.queries < COLLAPSE_MIN_QUERIES:
            return None
        # The order of operations matters: another one rounds differently.
        threshold = self.limits.collapse_ratio * baseline.goodput / baseline.queries
        collapsed = canary.mean_goodput < threshold
        self._collapsed_windows = self._collapsed_windows + 1 if collapsed else 0
        if self._collapsed_windows < COLLAPSE_WINDOWS:
            return None
        return Verdict(
            VerdictKind.WORSE,
            f"goodput {canary.mean_goodput:.0%} for {baseline.mean_goodput:.0%}, three windows",
        )


class MemoryGrowthCheck:
    """Checks for memory of the canary that has grown beyond the baseline's and is still growing."""

    def __init__(self, limits: AnalysisLimits) -> None:
        self.limits = limits
        self._canary_bytes: list[float] = []  # mean over brokers, one value per window
        self._baseline_bytes: list[float] = []

    def observe(self, groups: WindowGroups) -> None:
        """Add one window; brokers that report no memory are ignored."""
        _append_mean_memory(self._canary_bytes, groups.canary)
        _append_mean_memory(self._baseline_bytes, groups.baseline)

    def verdict(self) -> Verdict | None:
        """Return a verdict if memory grew in each third of the windows, and beyond the limit."""
        if len(self._canary_bytes) < MEMORY_MIN_WINDOWS or not self._baseline_bytes:
            return None
        third = len(self._canary_bytes) // 3
        first, second, last = (
            sum(self._canary_bytes[index * third : (index + 1) * third]) / third for index in range(3)
        )
        baseline = sum(self._baseline_bytes) / len(self._baseline_bytes)
        growth_limit = self.limits.max_memory_growth * baseline
        least_step = growth_limit / 6
        still_growing = last - second > least_step and second - first > least_step
        if last - baseline <= growth_limit or not still_growing:
            return None
        reason = f"memory grew to {last / 1e6:.0f} MB beside {baseline / 1e6:.0f}, and goes on"
        return Verdict(VerdictKind.WORSE, reason)


def _append_mean_memory(series: list[float], windows: Iterable[BrokerWindow]) -> None:
    sizes = [window.memory_bytes for window in windows if window.memory_bytes]
    if sizes:
        series.append(sum(sizes) / len(sizes))
