"""Load shedding: which queries are rejected at once because they can't meet their objective.

The expected time of a query is compared with the time left to its objective; queries of least priority
density (priority per unit of work) are shed first.
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

# Expected time above which queries of the lowest priority density are shed, as a fraction of the time left.
SHED_FIRST_FRACTION = 0.38
# Expected time above which all queries are shed, as a fraction of the time left.
SHED_ALL_FRACTION = 0.75
# Least rate of responses that is assumed, as a fraction of the best one: a lower rate may be a stall, and
# would cause all queries to be shed.
RATE_FLOOR_FRACTION = 0.5
# Responses per endpoint and objective under which traffic is low: the counts in flight are nearly always 0.
LOW_TRAFFIC_RESPONSES = 2.0
# Highest quantile of recent latencies that is used: those above may be unhealthy endpoints and not overload.
RECENT_QUANTILE = 0.7
# Number of parts of a query up to which that quantile is representative of its slowest part.
RECENT_QUANTILE_PARTS = 10.0
# Load of a shard's best replica from which the replica's latency counts.
BUSY_IN_FLIGHT = 2
# Number of latest queries among which the priority density of a query is ranked.
PRIORITY_DENSITY_SAMPLES = 100
# Least work of a query; avoids a division by zero before any response.
MINIMUM_WORK = 1e-9
# Added before truncation, which rounds the number of required parts up.
ROUND_UP = 0.999
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
        """Return whether the query is not expected to meet its objective at the present rate of responses."""
        steps = 2 if query.spec.second_step_parts else 1
        rank = self._priority_density_rank(query)
        shed_fraction = SHED_FIRST_FRACTION + (SHED_ALL_FRACTION - SHED_FIRST_FRACTION) * rank
        expected_us = self._expected_time_us(query, steps)
        left_us = max(query.objective_at_us - self._context.now_us, 0)
        return expected_us > shed_fraction * min(left_us, self._context.shortest_objective_us * steps)

    def _expected_time_us(self, query: Query, steps: int) -> float:
        """Return the expected time of all steps, by the load or, if that is longer, the slowest shard."""
        low_traffic = self._has_low_traffic()
        step_us = self._recent_latency_us(query) if low_traffic else self._queueing_delay_us(query)
        first_us = step_us
        part_count = len(query.parts)
        if (
            low_traffic
            and query.spec.required_fraction > RECENT_QUANTILE
            and part_count > RECENT_QUANTILE_PARTS
        ):
            # The slowest of many parts takes longer than the slowest of a few, which the quantile stands for.
            first_us = step_us * log(part_count) / log(RECENT_QUANTILE_PARTS)
        slow_shard_us = self._slow_shard_latency_us(query, 0 if low_traffic else BUSY_IN_FLIGHT)
        return max(first_us, slow_shard_us) + (steps - 1) * step_us

    def _has_low_traffic(self) -> bool:
        rate = max(self._latency.completion_rate(), self._latency.best_completion_rate)
        return rate * self._context.shortest_objective_us < LOW_TRAFFIC_RESPONSES * len(self._endpoints)

    # Priority

    def _priority_density_rank(self, query: Query) -> float:
        """Return the fraction of the latest queries that have a lower priority density."""
        density = query.spec.priority_weight * self._quota_weight(query)
        density *= 1.0 if query.objective_at_us > self._context.now_us else query.spec.late_weight
        if not self._context.settings.priority_scales_with_work:
            mean_latency_us = self._latency.mean_latency_us[query.query_class].value
            density /= max(query.work * mean_latency_us, MINIMUM_WORK)
        return self._recent_priority_densities.rank(density)

    def _quota_weight(self, query: Query) -> float:
        """Return the weight of a tenant's query: low for the fraction, drawn at random, over its quota."""
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
        """Return the expected time by Little's law: parts in flight divided by the rate of responses.

        It is 0 where endpoints have fewer than one part of this aggregator each: the counts are too small to
        show a queue.
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
        """Return the latency of the slowest shard, which delays a query that needs all its parts.

        Only replicas that have a minimum load and a current latency count: with an outdated one all queries
        would be shed, and no response would show that the slowness is over.
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
        """Return the expected time of the slowest required part by recent latencies.

        It shows overload to an aggregator that has few parts at each endpoint, and a few unhealthy endpoints
        don't affect it.
        """
        ratios = self._latency.recent_latency_ratios(self._attempts.in_flight())
        part_count = len(query.parts)
        quantile = min(query.spec.required_fraction * part_count / (part_count + 1), RECENT_QUANTILE)
        mean_us = sum(self._latency.expected_latency_us(part) for part in query.parts) / part_count
        return ratios[int(len(ratios) * quantile)] * mean_us
