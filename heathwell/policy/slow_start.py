"""Slow start: limits what all aggregators together send to an endpoint that has just started."""

from __future__ import annotations

from collections.abc import Mapping

from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.latency import LatencyModel
from heathwell.policy.records import ALL_CLASSES, NEVER_US, Endpoint

# Fraction of the overload limit that is used; the rest allows for errors of the estimated rate.
BUDGET_FRACTION = 0.6
# Largest burst, as a fraction of the budget of an overload window.
BURST_FRACTION = 0.4
# Least sum of ratings; avoids a division by zero when no endpoint is live.
MINIMUM_RATING = 1e-9


class SlowStart:
    """Owns the slow-start ramp of endpoints: their credit and the fleet's quota, if any."""

    def __init__(self, context: DecisionContext, endpoints: EndpointTable, latency: LatencyModel) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._quota: dict[str, int] | None = None

    def set_quota(self, parts_by_node: Mapping[str, int] | None) -> None:
        """Set the parts left in the fleet's quota for this aggregator, by endpoint; None for no quota."""
        self._quota = None if parts_by_node is None else dict(parts_by_node)

    def fraction(self, endpoint: Endpoint) -> float:
        """Return the fraction of its capacity that an endpoint has, by the ramp of the settings."""
        settings = self._context.settings
        initial = settings.slow_start_capacity
        duration_us = settings.slow_start_duration_us
        if ALL_CLASSES in endpoint.ejections and endpoint.ejections[ALL_CLASSES].disconnect_reason:
            return initial  # it may be starting at this moment
        began_at_us = max(endpoint.started_at_us or NEVER_US, endpoint.slow_start_from_us or NEVER_US)
        if began_at_us < 0 or not duration_us:
            return 1.0
        elapsed = max((self._context.now_us - began_at_us) / duration_us, 0.0)
        return min(1.0, initial + (1 - initial) * elapsed)

    def has_capacity(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be sent one more part.

        Outside slow start it always may. In slow start its quota decides; without a quota, credit grows by
        this aggregator's share of the ramp. The initial credit is random, so that many aggregators with less
        than one part of capacity each don't all send one at once.
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
        """Count a part against the quota; return whether the endpoint is in slow start and has a quota."""
        in_slow_start = self._quota is not None and self.fraction(endpoint) < 1
        if in_slow_start and self._quota:
            self._quota[endpoint.node] -= 1
        return in_slow_start

    def _warm_rate(self, endpoint: Endpoint) -> float:
        """Return this aggregator's rate of parts per microsecond at an endpoint with its full capacity."""
        latency = self._latency
        live_rating = max(latency.rating_at_best_rate or self._endpoints.live_rating(), MINIMUM_RATING)
        rate = latency.best_completion_rate or latency.completion_rate()
        share = endpoint.rating * rate / live_rating
        return max(share, self._hinted_rate(endpoint))

    def _hinted_rate(self, endpoint: Endpoint) -> float:
        """Return this aggregator's share of an endpoint's rate, one part at a time, by work hints.

        Guards against a deadlock: without responses the measured rate is 0, so that nothing would be sent,
        and without attempts there are no responses.
        """
        hints = [mean.value for mean in self._latency.mean_work_hint_us if mean.value]
        if not hints:
            return 0.0
        return endpoint.rating * len(hints) / (sum(hints) * self._context.settings.aggregator_count)
