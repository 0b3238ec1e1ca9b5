"""What the canary analysis can conclude, and the limits by which it does.

Owns the types alone; pure. Imports nothing of heathwell.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class VerdictKind(StrEnum):
    """What can be said of the new version. The values are part of the reasons in a rollout's record."""

    CONTINUE = "going on"
    WORSE = "worse"
    NOT_WORSE = "fine"
    INSUFFICIENT_DATA = "too little"
    FAULT = "troubled"  # the baseline does worse than before: nothing can be concluded on the new version


@dataclass(frozen=True, slots=True)
class Verdict:
    """``reason`` names the class and the measured values, for operators; ``undecided_classes`` had too few
    queries.
    """

    kind: VerdictKind
    reason: str = ""
    undecided_classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnalysisLimits:
    """Thresholds of the analysis. Goodput is that of a query, 0 to 1."""

    false_alarm_rate: float = 0.01  # how often a change that is no worse may be stopped
    tolerance: float = 0.02  # loss of goodput that is shown to be exceeded by no class
    min_queries: int = 60  # of a class, on each side, for a conclusion on it
    planned_looks: int = 12  # repetitions of the test until a stage's maximum duration
    max_cpu_time_ratio: float = 1.3  # canary to baseline, of the CPU time per query
    max_memory_growth: float = 0.3  # of the canary beyond the baseline, as a fraction of the baseline
    unexpected_exit_limit: int = 2
    silent_window_limit: int = 3  # in a row
    fault_loss: float = 0.1  # of the baseline's usual goodput: something other than the rollout is wrong
    collapse_ratio: float = 0.5  # of the baseline's goodput, in several windows in a row
