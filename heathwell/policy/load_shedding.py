"""Load shedding: which queries are rejected at once because they can't meet their objective.

A query's expected time is compared with the time left to its objective; the queries of least priority for
their work are shed first.
"""

from __future__ import annotations

from math import log

from heathwell.datastructures import DecayingSum, RecentRank
from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.latency import LatencyModel
from heathwell.policy.load import LoadModel
from heathwell.policy.records import ALL_CLASSES, Query
from heathwell.policy.replica_selection import ReplicaSelector

SHED_FIRST_FRACTION = 0.38  # of the time left: expected time from which the lowest priority is shed
SHED_ALL_FRACTION = 0.75  # of the time left: expected time from which all are shed
RATE_FLOOR_FRACTION = 0.5  # of the best rate of responses: a lower one may be a stall, and would shed all
LOW_TRAFFIC_RESPONSES = 2.0  # an endpoint and objective, under which own counts are nearly always 0
RECENT_QUANTILE = 0.7  # of recent latencies at most: the rest may be unhealthy endpoints, not overload
RECENT_QUANTILE_PARTS = 10.0  # of a query, up to which that quantile is representative
BUSY_IN_FLIGHT = 2  # load at a shard's best replica from which its latency counts
PRIORITY_DENSITY_SAMPLES = 100  # latest queries among which a query's priority for its work is ranked
MINIMUM_WORK = 1e-9  # avoids a division by zero before any response
ROUND_UP = 0.999  # added before truncation: the required parts are counted in full
MICROSECONDS_PER_SECOND = 1e6


class LoadShedder:
    """Owns the query rates of tenants and the recent priority densities."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        latency: LatencyModel,
        load: LoadModel,
        selector: ReplicaSelector,
        attempts: AttemptTable,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._load = load
        self._selector = selector
        self._attempts = attempts
        self._tenant_rates = [DecayingSum() for _ in context.settings.tenants]
        self._recent_priority_densities = RecentRank(PRIORITY_DENSITY_SAMPLES)

    def should_shed(self, query: Query) -> bool:
        """Return whether the query can't meet its objective at the present rate of responses."""
        steps = 2 if query.spec.second_step_parts else 1
        rank = self._priority_density_rank(query)
        shed_fraction = SHED_FIRST_FRACTION + (SHED_ALL_FRACTION - SHED_FIRST_FRACTION) * rank
        expected_us = self._expected_time_us(query, steps)
        left_us = max(query.objective_at_us - self._context.now_us, 0)
        return expected_us > shed_fraction * min(left_us, self._context.shortest_objective_us * steps)

    def _expected_time_us(self, query: Query, steps: int) -> float:
        """Return the expected time of all steps: of the slowest shard, or of a step by the present load."""
        low_traffic = self._has_low_traffic()
        step_us = self._recent_latency_us(query) if low_traffic else self._queueing_delay_us(query)
        first_us = step_us
        part_count = len(query.parts)
        if (
            low_traffic
            and query.spec.required_fraction > RECENT_QUANTILE
            and part_count > RECENT_QUANTILE_PARTS
        ):
            # The slowest of many parts lies further from the quantile than that of a few.
            first_us = step_us * log(part_count) / log(RECENT_QUANTILE_PARTS)
        slow_shard_us = self._slow_shard_latency_us(query, 0 if low_traffic else BUSY_IN_FLIGHT)
        return max(first_us, slow_shard_us) + (steps - 1) * step_us

    def _has_low_traffic(self) -> bool:
        rate = max(self._latency.completion_rate(), self._latency.best_completion_rate)
        return rate * self._context.shortest_objective_us < LOW_TRAFFIC_RESPONSES * len(self._endpoints)

    # Priority

    def _priority_density_rank(self, query: Query) -> float:
        """Return the fraction of the latest queries that have less priority for their work."""
        density = query.spec.priority_weight * self._quota_weight(query)
        density *= 1.0 if query.objective_at_us > self._context.now_us else query.spec.late_weight
        if not self._context.settings.priority_scales_with_work:
            mean_latency_us = self._latency.mean_latency_us[query.query_class].value
            density /= max(query.work * mean_latency_us, MINIMUM_WORK)
        return self._recent_priority_densities.rank(density)

    def _quota_weight(self, query: Query) -> float:
        """Return the weight of a tenant's query: low for the drawn fraction that lies over its quota."""
        settings = self._context.settings
        if query.tenant >= len(self._tenant_rates) or not settings.tenants[query.tenant].quota_rps:
            return 1.0
        count = self._tenant_rates[query.tenant]
        window_us = self._latency.rate_window_us
        count.add(self._context.now_us, 1.0, window_us)
        quota_rps = settings.tenants[query.tenant].quota_rps
        quota_per_us = quota_rps / MICROSECONDS_PER_SECOND / settings.aggregator_count
        quota = quota_per_us * window_us
        return settings.over_quota_weight if self._context.random.random() * count.value > quota else 1.0

    # Expected time

    def _queueing_delay_us(self, query: Query) -> float:
        """Return the expected time by Little's law, parts in flight over the rate of responses.

        It is 0 where endpoints hold less than one of our parts each: then the counts say nothing.
        """
        usable = [endpoint for endpoint in self._endpoints.live() if ALL_CLASSES not in endpoint.ejections]
        best_rate = self._latency.best_completion_rate
        rate = max(self._latency.completion_rate(), RATE_FLOOR_FRACTION * best_rate)
        if not rate or sum(self._load.queued_parts(endpoint) for endpoint in usable) < len(self._endpoints):
            return 0.0
        replicas = [self._selector.select(part) for part in query.parts]
        loads = sorted(self._load.queued_parts(replica) if replica else len(usable) for replica in replicas)
        needed = max(1, int(len(loads) * query.spec.required_fraction + ROUND_UP))
        loads = loads[:needed]
        return sum(loads) / len(loads) * len(usable) / rate

    def _slow_shard_latency_us(self, query: Query, minimum_load: int) -> float:
        """Return the latency of the slowest shard, which holds up a query that needs all parts.

        Only replicas of some load and with a current latency count: by an older one all queries would be
        shed and the end of a jam would go unseen.
        """
        if query.spec.required_fraction < 1:
            return 0.0
        latencies_us = [0.0]
        for part in query.parts:
            replica = self._selector.select(part)
            if replica is None or self._load.load(replica) < minimum_load:
                continue
            if self._latency.has_current_latency(replica):
                expected_us = self._latency.expected_latency_us(part)
                latencies_us.append(self._latency.relative_latency(replica) * expected_us)
        return max(latencies_us)

    def _recent_latency_us(self, query: Query) -> float:
        """Return the slowest needed part's time by recent latencies.

        It shows overload to an aggregator that has few parts at each endpoint, and a few unhealthy endpoints
        don't move it.
        """
        ratios = self._latency.recent_latency_ratios(self._attempts.in_flight())
        part_count = len(query.parts)
        quantile = min(query.spec.required_fraction * part_count / (part_count + 1), RECENT_QUANTILE)
        mean_us = sum(self._latency.expected_latency_us(part) for part in query.parts) / part_count
        return ratios[int(len(ratios) * quantile)] * mean_us
