"""The load of an endpoint: this aggregator's calls in flight, penalties and the charge for slow responses."""

from __future__ import annotations

from heathwell.policy.context import DecisionContext
from heathwell.policy.latency import LatencyModel
from heathwell.policy.records import Endpoint

# Each multiple of this relative latency is charged as one more part.
OUTLIER_LATENCY_RATIO = 2.5
# Time constant of a penalty, in shortest latency objectives.
PENALTY_DECAY_OBJECTIVES = 1.0
ROUND_HALF_UP = 0.5


class LoadModel:
    """Computes the load of endpoints and adds the penalties of cancelled and failed attempts."""

    def __init__(self, context: DecisionContext, latency: LatencyModel) -> None:
        self._context = context
        self._latency = latency

    def load(self, endpoint: Endpoint) -> int:
        """Return the calls in flight, plus the penalties and the charge for outlier latency."""
        charge = self._outlier_charge(endpoint)
        return len(endpoint.in_flight_by_call) + int(self.penalty(endpoint) + ROUND_HALF_UP) + charge

    def queued_parts(self, endpoint: Endpoint) -> float:
        """Return the parts in flight, plus the penalties."""
        return len(endpoint.in_flight) + self.penalty(endpoint)

    def penalty(self, endpoint: Endpoint) -> float:
        """Return the parts that the endpoint may still be working on for cancelled and failed attempts.

        Without it an endpoint would look idle because its attempts were cancelled or have failed.
        """
        return endpoint.penalty.at(self._context.now_us, self._decay_us())

    def add_penalty(self, endpoint: Endpoint) -> None:
        """Charge an endpoint with one part, which decays."""
        endpoint.penalty.add(self._context.now_us, 1.0, self._decay_us())

    def _decay_us(self) -> float:
        return self._latency.memory_us(PENALTY_DECAY_OBJECTIVES)

    def _outlier_charge(self, endpoint: Endpoint) -> int:
        """Return the charge for an endpoint that is so slow that even few parts in flight are many for it."""
        return int(self._latency.relative_latency(endpoint) / OUTLIER_LATENCY_RATIO)
