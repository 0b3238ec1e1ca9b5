"""Statistics of a broker's use of each budget, for its metrics page.

Sums the quota holders of a budget over its endpoints. Owns no state. Imports this package's quota holders.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from heathwell.fleet.quotas.budget import MILLIUNITS_PER_UNIT, BudgetKind, BudgetName
from heathwell.fleet.quotas.quota_holder import QuotaHolder


@dataclass(frozen=True, slots=True)
class BudgetStatistics:
    """Use of one budget at one broker.

    ``quota`` is in units, for a rate in units per second; ``in_use`` is the number of units of a count in
    use; ``admitted`` and ``rejected`` count uses since the start.
    """

    quota: float = 0.0
    in_use: int = 0
    admitted: int = 0
    rejected: int = 0

    def __add__(self, other: BudgetStatistics) -> BudgetStatistics:
        """Return the sum over two holders of one budget."""
        return BudgetStatistics(
            self.quota + other.quota,
            self.in_use + other.in_use,
            self.admitted + other.admitted,
            self.rejected + other.rejected,
        )


def statistics_by_budget(holders: Iterable[QuotaHolder], now_us: int) -> dict[str, BudgetStatistics]:
    """Return the statistics at ``now_us`` by budget name, summed over a budget's endpoints."""
    statistics: dict[str, BudgetStatistics] = {}
    for holder in holders:
        base = BudgetName.parse(holder.budget.name).base
        statistics[base] = statistics.get(base, BudgetStatistics()) + _statistics_of(holder, now_us)
    return statistics


def _statistics_of(holder: QuotaHolder, now_us: int) -> BudgetStatistics:
    units = 1 if holder.budget.kind == BudgetKind.COUNT else MILLIUNITS_PER_UNIT
    return BudgetStatistics(holder.quota(now_us) / units, holder.in_use, holder.admitted, holder.rejected)
