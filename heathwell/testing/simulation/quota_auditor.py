"""An auditor of a simulated fleet's quotas that observes all processes from outside, in true time.

It sums what the brokers may hold, hold and use of each budget. It reads no state of the coordinators.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from heathwell.fleet.quotas import Budget, BudgetKind
from heathwell.fleet.quotas.budget import MILLIUNITS_PER_UNIT
from heathwell.testing.simulation.quota_processes import BrokerProcess
from heathwell.testing.standins.units import US_PER_SECOND

ROUNDING_TOLERANCE_MILLIUNITS: Final = 1e-6


class OvershootKind(enum.StrEnum):
    """What exceeded the total of a budget."""

    GRANTED = "may be held"
    IN_USE = "are held"
    RATE = "was used"


@dataclass(frozen=True, slots=True)
class Overshoot:
    """More than the total of a budget at an instant of true time.

    ``amount`` and ``total`` are in the budget's own amounts: units of a count, milliunits a second of a rate;
    ``amount`` is None for a rate that was exceeded.
    """

    at_us: int
    kind: OvershootKind
    budget: str
    amount: int | None
    total: int

    def __str__(self) -> str:
        at_seconds = f"{self.at_us / 1e6:.3f} s"
        if self.kind is OvershootKind.RATE:
            units_per_second = self.total / MILLIUNITS_PER_UNIT
            return f"{at_seconds}: more of {self.budget} was used than {units_per_second} a second"
        return f"{at_seconds}: {self.amount} of {self.budget} {self.kind}, of {self.total}"


@dataclass(frozen=True, slots=True)
class LingeringUnits:
    """Units of counts that hosts still hold for a broker that was killed."""

    units: int
    until_us: int


def max_linger_timeout_us(budgets: Iterable[Budget]) -> int:
    """Return the longest time that hosts hold units for a broker that is silent."""
    return max((budget.linger_timeout_us for budget in budgets), default=0)


def _burst_milliunits(budget: Budget) -> float:
    return budget.total * budget.burst_window_us / 1e6


class QuotaAuditor:
    """The auditor of one run.

    ``overshoots`` are the findings in order of time. ``units_used`` counts, for each budget and second of
    true time, the units of a rate that were used and the most units of a count that were in use.
    """

    def __init__(self, budgets: Sequence[Budget]) -> None:
        self.budgets = {budget.name: budget for budget in budgets}
        self.linger_timeout_us = max_linger_timeout_us(budgets)
        self.overshoots: list[Overshoot] = []
        self.units_used: dict[str, Counter[int]] = {budget.name: Counter() for budget in budgets}
        self.lingering: list[LingeringUnits] = []
        self.bucket_milliunits = {
            budget.name: _burst_milliunits(budget) for budget in budgets if budget.kind is BudgetKind.RATE
        }
        self._refilled_at_us = 0

    def record_use(self, now_us: int, budget_name: str) -> None:
        """Record that a broker used one unit of a rate."""
        self.units_used[budget_name][now_us // US_PER_SECOND] += 1
        self._refill(now_us)
        self.bucket_milliunits[budget_name] -= MILLIUNITS_PER_UNIT
        if self.bucket_milliunits[budget_name] < -ROUNDING_TOLERANCE_MILLIUNITS:
            total = self.budgets[budget_name].total
            self.overshoots.append(Overshoot(now_us, OvershootKind.RATE, budget_name, None, total))

    def record_kill(self, now_us: int, broker: BrokerProcess) -> None:
        """Record that a running broker is killed: hosts hold its units until they time out."""
        units = sum(holder.in_use for holder in broker.count_holders())
        if units:
            self.lingering.append(LingeringUnits(units, now_us + self.linger_timeout_us))

    def observe(self, now_us: int, brokers: Iterable[BrokerProcess]) -> None:
        """Check what the running brokers, paused ones included, may hold and hold at this instant."""
        running = [broker for broker in brokers if broker.is_running]
        self.lingering = [units for units in self.lingering if units.until_us > now_us]
        for budget in self.budgets.values():
            granted = sum(broker.holder(budget).quota(broker.clock_us(now_us)) for broker in running)
            self._check_total(now_us, OvershootKind.GRANTED, budget, granted)
            if budget.kind is BudgetKind.COUNT:
                in_use = sum(broker.holder(budget).in_use for broker in running)
                in_use += sum(lingering.units for lingering in self.lingering)
                self._record_in_use(now_us, budget, in_use)

    def _record_in_use(self, now_us: int, budget: Budget, in_use: int) -> None:
        by_second = self.units_used[budget.name]
        second = now_us // US_PER_SECOND
        by_second[second] = max(by_second[second], in_use)
        self._check_total(now_us, OvershootKind.IN_USE, budget, in_use)

    def _check_total(self, now_us: int, kind: OvershootKind, budget: Budget, amount: int) -> None:
        if amount > budget.total:
            self.overshoots.append(Overshoot(now_us, kind, budget.name, amount, budget.total))

    def _refill(self, now_us: int) -> None:
        """Add to each rate's bucket what accrued since the last use, up to its burst."""
        elapsed_us = now_us - self._refilled_at_us
        for name, milliunits in self.bucket_milliunits.items():
            budget = self.budgets[name]
            accrued = milliunits + budget.total * elapsed_us / 1e6
            self.bucket_milliunits[name] = min(accrued, _burst_milliunits(budget))
        self._refilled_at_us = now_us
