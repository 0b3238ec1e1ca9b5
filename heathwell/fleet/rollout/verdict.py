"""Verdicts of the canary analysis, and its limits.

Owns only these types. Imports no other package of heathwell.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class VerdictKind(StrEnum):
    """Conclusion on the new version. The values are part of the reasons in a rollout's record."""

    CONTINUE = "going on"
    WORSE = "worse"
    NOT_WORSE = "fine"
    INSUFFICIENT_DATA = "too little"
    FAULT = "troubled"  # the baseline is worse than before, so that no conclusion is possible


@dataclass(frozen=True, slots=True)
class Verdict:
    """A conclusion with its reason for operators (class and measured values).

    ``undecided_classes`` had too few queries for a conclusion.
    """

    kind: VerdictKind
    reason: str = ""
    undecided_classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnalysisLimits:
    """Thresholds of the analysis. Goodput is per query, 0 to 1."""

    false_alarm_rate: float = 0.01  # probability of stopping a version that is not worse
    tolerance: float = 0.02  # maximum loss of goodput of any class for a proof that a version is not worse
    min_queries: int = 60  # minimum queries of a class, on each side, for a conclusion on it
    planned_looks: int = 12  # interim analyses until a stage's maximum duration
    max_cpu_time_ratio: float = 1.3  # canary to baseline, of the CPU time per query
    max_memory_growth: float = 0.3  # canary memory beyond the baseline's, as a fraction of the latter
    unexpected_exit_limit: int = 2
    silent_window_limit: int = 3  # consecutive windows
    fault_loss: float = 0.1  # loss of the baseline's usual goodput that a rollout does not explain
    collapse_ratio: float = 0.5  # ratio to the baseline's goodput, in several consecutive windows
