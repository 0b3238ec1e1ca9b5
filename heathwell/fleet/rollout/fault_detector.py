"""Detects that the baseline does clearly worse than before: a lost zone, a retry storm, not the rollout.

Owns the baseline's recent goodput; pure. Imports the records of this package.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from heathwell.fleet.rollout.observations import BrokerWindow, total_statistics

MIN_QUERIES = 10  # in a window, for a conclusion on it
MIN_HISTORY = 3  # windows for a usual goodput
MAX_HISTORY = 31
SPREAD_FACTOR = 3.0  # standard errors of one window's goodput
MIN_VARIANCE = 0.01  # of a query's goodput: a fleet without any loss so far still has some spread


class FaultDetector:
    """Fed the baseline's windows of one stage, one at a time."""

    def __init__(self, fault_loss: float) -> None:
        self.fault_loss = fault_loss
        self.in_fault = False
        self._goodput_history: list[float] = []  # a value a window, those in a fault left out

    def observe(self, baseline: Iterable[BrokerWindow]) -> bool:
        """Take one window; whether the baseline is in a fault now."""
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
        """The median of the history; the current value until there is one."""
        count = len(self._goodput_history)
        return sorted(self._goodput_history)[count // 2] if count >= MIN_HISTORY else current

    def _loss_limit(self, current: float, queries: int) -> float:
        # Hysteresis: a fault is over once half of the loss has gone.
        if self.in_fault:
            return self.fault_loss / 2
        usual = self._usual_goodput(current)
        standard_error = math.sqrt(max(usual * (1 - usual), MIN_VARIANCE) / queries)
        return max(self.fault_loss, SPREAD_FACTOR * standard_error)
