"""Detects faults outside the rollout, such as a lost zone or a retry storm, by a drop of the baseline.

Owns the baseline's recent goodput; does no I/O. Imports the records of this package.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from heathwell.fleet.rollout.observations import BrokerWindow, total_statistics

MIN_QUERIES = 10  # minimum queries in a window for it to be assessed
MIN_HISTORY = 3  # minimum windows for a usual goodput
MAX_HISTORY = 31  # maximum windows for a usual goodput
SPREAD_FACTOR = 3.0  # standard errors of one window's goodput that count as random variation
MIN_VARIANCE = 0.01  # minimum variance of a query's goodput, also for a fleet without any loss so far


class FaultDetector:
    """Detects a fault from the baseline's windows of one stage."""

    def __init__(self, fault_loss: float) -> None:
        self.fault_loss = fault_loss
        self.in_fault = False
        self._goodput_history: list[float] = []  # one value per window, without those in a fault

    def observe(self, baseline: Iterable[BrokerWindow]) -> bool:
        """Add one window; return whether the baseline is in a fault now."""
        total = total_statistics(baseline)
        if total.queries < MIN_QUERIES:
            self.in_fault = False
            return False
        goodput = total.mean_goodput
        self.in_fault = self._usual_goodput(goodput) - goodput > self._loss_limit(goodput, total.queries)
        if not self.in_fault:
            self._goodput_history = [*self._goodput_history[1 - MAX_HISTORY :], goodput]
        return self.in_fault

    def _usual_goodput(self, current: float) -> float:
        """Return the median of the history, or the current value while the history is too short."""
        count = len(self._goodput_history)
        return sorted(self._goodput_history)[count // 2] if count >= MIN_HISTORY else current

    def _loss_limit(self, current: float, queries: int) -> float:
        # Hysteresis: a fault ends when the loss falls below half of ``fault_loss``.
        if self.in_fault:
            return self.fault_loss / 2
        usual = self._usual_goodput(current)
        standard_error = math.sqrt(max(usual * (1 - usual), MIN_VARIANCE) / queries)
        return max(self.fault_loss, SPREAD_FACTOR * standard_error)
