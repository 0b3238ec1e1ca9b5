"""Slow start: how much an endpoint that has just started may be sent, over all aggregators together."""

from __future__ import annotations

from collections.abc import Mapping

from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.latency import LatencyModel
from heathwell.policy.records import ALL_CLASSES, NEVER_US, Endpoint

BUDGET_FRACTION = 0.6  # of the overload limit used: the rest is for errors of the estimate
BURST_FRACTION = 0.4  # of a window's budget: the most that may be saved up and sent at once
MINIMUM_RATING = 1e-9  # avoids a division by zero where no endpoint is live


class SlowStart:
    """Owns the ramp of endpoints in slow start: their credit, and the quota of the fleet, if any."""

    def __init__(self, context: DecisionContext, endpoints: EndpointTable, latency: LatencyModel) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._quota: dict[str, int] | None = None

    def set_quota(self, parts_by_node: Mapping[str, int] | None) -> None:
        """Set the parts that the fleet's quota leaves this aggregator by endpoint; None for no quota."""
        self._quota = None if parts_by_node is None else dict(parts_by_node)

    def fraction(self, endpoint: Endpoint) -> float:
        """Return the fraction of its capacity that an endpoint has at least, by the settings' ramp."""
        settings = self._context.settings
        initial = settings.slow_start_capacity
        duration_us = settings.slow_start_duration_us
        if ALL_CLASSES in endpoint.ejections and endpoint.ejections[ALL_CLASSES].disconnect_reason:
            return initial  # it may be starting this moment
        began_at_us = max(endpoint.started_at_us or NEVER_US, endpoint.slow_start_from_us or NEVER_US)
        if began_at_us < 0 or not duration_us:
            return 1.0
        elapsed = max((self._context.now_us - began_at_us) / duration_us, 0.0)
        return min(1.0, initial + (1 - initial) * elapsed)

    def has_capacity(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be sent one more part.

        Outside slow start it may. In slow start its quota decides; without one, credit grows by this
        aggregator's share of the ramp. The first credit is drawn, so that many aggregators that each owe the
        endpoint less than a part don't all send one at once.
        """
        settings = self._context.settings
        fraction = self.fraction(endpoint)
        if fraction >= 1 or not settings.overload_after_us or not settings.overload_multiple:
            endpoint.slow_start_credit = None
            return True
        if self._quota is not None:
            return self._quota.get(endpoint.node, 0) >= 1
        rate = BUDGET_FRACTION * settings.overload_multiple * fraction * self._warm_rate(endpoint)
        now_us = self._context.now_us
        if endpoint.slow_start_credit is None:
            endpoint.start_slow_start_credit(now_us, self._context.random.random())
        limit = max(1.0, BURST_FRACTION * rate * settings.overload_after_us)
        return endpoint.earn_slow_start_credit(now_us, rate, limit) >= 1.0

    def record_send(self, endpoint: Endpoint) -> bool:
        """Count a part sent against the quota; return whether the endpoint is in slow start under one."""
        in_slow_start = self._quota is not None and self.fraction(endpoint) < 1
        if in_slow_start and self._quota:
            self._quota[endpoint.node] -= 1
        return in_slow_start

    def _warm_rate(self, endpoint: Endpoint) -> float:
        """Return this aggregator's rate, in parts a microsecond, at an endpoint of full capacity."""
        latency = self._latency
        live_rating = max(latency.rating_at_best_rate or self._endpoints.live_rating(), MINIMUM_RATING)
        rate = latency.best_completion_rate or latency.completion_rate()
        share = endpoint.rating * rate / live_rating
        return max(share, self._hinted_rate(endpoint))

    def _hinted_rate(self, endpoint: Endpoint) -> float:
        """Return this aggregator's share of what any endpoint does, one part after another by work hints.

        Guards against a standstill: without responses the rate is 0, and without sending there are none.
        """
        hints = [mean.value for mean in self._latency.mean_work_hint_us if mean.value]
        if not hints:
            return 0.0
        return endpoint.rating * len(hints) / (sum(hints) * self._context.settings.aggregator_count)
