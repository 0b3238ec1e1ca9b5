"""How the queries of a simulated scenario ended, by query class and period."""

from __future__ import annotations

from collections import Counter
from typing import Generic, TypeVar

from heathwell.testing.simulation.simulated_scenario import CompletedRequest

Period = TypeVar("Period")


class OutcomesByPeriod(Generic[Period]):
    """Counts of queries by outcome for each class and period.

    In each period with a completed request, all classes have counts that were requested until then.
    """

    def __init__(self) -> None:
        self.counts: dict[str, dict[Period, Counter[str]]] = {}

    def record(self, period: Period, request: CompletedRequest) -> None:
        """Count the queries of a request in a period."""
        for query in request.queries:
            self.counts.setdefault(query.query_class.name, {})
        for counts_by_period in self.counts.values():
            counts_by_period.setdefault(period, Counter())
        for query in request.queries:
            self.counts[query.query_class.name][period][query.label] += 1
