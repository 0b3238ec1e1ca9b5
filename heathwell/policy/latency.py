"""Expected, relative and recent latencies, and the rate of responses.

The expected latency of a part is the mean of its class, corrected by its work hint. An endpoint's relative
latency compares its responses with the expected ones. Constants that end in ``OBJECTIVES`` are durations in
multiples of the shortest latency objective.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import Protocol

from heathwell.datastructures import DecayingSum, RunningMean, SlidingWindowSamples
from heathwell.policy.context import DecisionContext
from heathwell.policy.records import Attempt, Endpoint, Part

# Weight of one response in an endpoint's average.
LATENCY_GAIN = 0.15
# Weight of a response where earlier ones are too old to be representative.
LATENCY_GAIN_AFTER_PAUSE = 0.8
# Time constant with which the average of an unused endpoint returns to 1.0.
LATENCY_DECAY_OBJECTIVES = 4.0
# Largest relative latency of one response, so that a single one doesn't dominate the average.
MAXIMUM_LATENCY_RATIO = 20.0
# Largest latency of one response in the mean of its class, in multiples of the expected latency.
MEAN_SAMPLE_RATIO = 3
# Relative latency as which a lost connection counts.
CONNECTION_LOST_LATENCIES = 4.0
# Weight of a work hint's relative distance from the mean hint; it is small because hints are rough.
WORK_HINT_WEIGHT = 0.2
# Least weight of one sample in the means over all endpoints.
MEAN_GAIN = 0.02
# Age up to which attempts count as recent.
RECENT_OBJECTIVES = 1.5
# Number of fast responses assumed in addition to the recent ones: a few latencies are no proof of overload.
RECENT_PRIOR_SAMPLES = 10
# Time constant of the rate of responses.
RATE_WINDOW_OBJECTIVES = 2.0
# How long samples of an endpoint count, in mean intervals between two of its responses.
MEMORY_RESPONSE_INTERVALS = 3.0


class EndpointPopulation(Protocol):
    """The part of the endpoint table that the latency model uses."""

    def __len__(self) -> int:
        """Return the number of known endpoints."""

    def live_rating(self) -> float:
        """Return the sum of the live endpoints' capacity ratings."""

    @property
    def maximum_memory_us(self) -> float:
        """Return the longest time for which samples of an endpoint count."""


class LatencyModel:
    """Owns the latencies by class, the recent latencies and the rate of responses."""

    def __init__(self, context: DecisionContext, endpoints: EndpointPopulation) -> None:
        self._context = context
        self._endpoints = endpoints
        self.mean_latency_us = [RunningMean() for _ in context.settings.classes]
        self.mean_work_hint_us = [RunningMean() for _ in context.settings.classes]
        self._recent_ratios = SlidingWindowSamples(RECENT_OBJECTIVES * context.shortest_objective_us)
        self.rate_window_us = RATE_WINDOW_OBJECTIVES * context.shortest_objective_us
        self._completions = DecayingSum()
        self.best_completion_rate = 0.0
        self.rating_at_best_rate = 0.0
        self._minimum_memory_us = 0.0

    # Expected latency

    def expected_latency_us(self, part: Part) -> float:
        """Return the mean latency of the part's class, adjusted by its work hint; 0 before any response."""
        mean_hint_us = self.mean_work_hint_us[part.query.query_class].value
        hint_us = part.work_hint_us
        correction = WORK_HINT_WEIGHT * (hint_us / mean_hint_us - 1) if hint_us and mean_hint_us else 0.0
        return self.mean_latency_us[part.query.query_class].value * (1 + correction)

    def record_work_hint(self, query_class: int, work_hint_us: int | None) -> None:
        """Count a part's work hint in its class's mean; a missing one counts as 0."""
        self.mean_work_hint_us[query_class].add(work_hint_us or 0, MEAN_GAIN)

    # Relative latency

    def relative_latency(self, endpoint: Endpoint) -> float:
        """Return the average ratio of latency to expected latency; without responses it returns to 1.0."""
        return endpoint.relative_latency.at(self._context.now_us, self.memory_us(LATENCY_DECAY_OBJECTIVES))

    def has_current_latency(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's relative latency has a sample within the decay time."""
        decay_us = LATENCY_DECAY_OBJECTIVES * self._context.shortest_objective_us
        return endpoint.relative_latency.updated_at_us > self._context.now_us - decay_us

    def memory_us(self, objectives: float) -> float:
        """Return how long samples of an endpoint count: ``objectives``, or longer at low traffic."""
        return max(objectives * self._context.shortest_objective_us, self._minimum_memory_us)

    def record_response(self, attempt: Attempt, latency_us: int) -> None:
        """Count a response in the rate, the recent latencies, its endpoint's average and its class's mean."""
        rate = self._record_completion()
        self.record_latency(attempt, latency_us)
        expected_us = self.expected_latency_us(attempt.part)
        ratio = min(latency_us / expected_us, MAXIMUM_LATENCY_RATIO) if expected_us else 1.0
        self._update_minimum_memory(rate)
        endpoint = attempt.endpoint
        gain = self._gain(endpoint, rate)
        decay_us = self.memory_us(LATENCY_DECAY_OBJECTIVES)
        endpoint.relative_latency.add(self._context.now_us, ratio, gain, decay_us)
        mean_latency_us = self.mean_latency_us[attempt.part.query.query_class]
        mean_latency_us.add(min(latency_us, MEAN_SAMPLE_RATIO * expected_us or latency_us), MEAN_GAIN)

    def record_lost_connection(self, endpoint: Endpoint) -> None:
        """Count a lost connection as a slow response, which only lowers the endpoint's rank at equal load."""
        decay_us = self.memory_us(LATENCY_DECAY_OBJECTIVES)
        endpoint.relative_latency.add(self._context.now_us, CONNECTION_LOST_LATENCIES, LATENCY_GAIN, decay_us)

    def _update_minimum_memory(self, rate: float) -> None:
        """Keep samples for longer where an endpoint responds less than once in the shortest objective.

        One of many brokers has only the last one or two responses of each endpoint. If these decayed within
        an objective, it would send to each unhealthy endpoint again and again.
        """
        response_interval_us = len(self._endpoints) / max(rate, self.best_completion_rate)
        if response_interval_us > self._context.shortest_objective_us:
            memory_us = MEMORY_RESPONSE_INTERVALS * response_interval_us
            self._minimum_memory_us = min(memory_us, self._endpoints.maximum_memory_us)
        else:
            self._minimum_memory_us = 0

    def _gain(self, endpoint: Endpoint, rate: float) -> float:
        """Return the weight of a response, which is larger the longer the endpoint had none."""
        since_last_us = self._context.now_us - endpoint.relative_latency.updated_at_us
        pause_us = min(len(self._endpoints) / rate, since_last_us)
        decay_us = LATENCY_DECAY_OBJECTIVES * self._context.shortest_objective_us
        decayed = 1 - exp(-2 * pause_us / decay_us)
        return max(LATENCY_GAIN, LATENCY_GAIN_AFTER_PAUSE * decayed)

    # Recent latency

    def record_latency(self, attempt: Attempt, latency_us: float) -> None:
        """Keep a latency as a ratio to the expected one while it counts as recent."""
        ratio = self._latency_ratio(attempt, latency_us)
        self._recent_ratios.add(self._context.now_us, attempt.sent_at_us, ratio)

    def recent_latency_ratios(self, in_flight: Iterable[Attempt]) -> list[float]:
        """Return recent latencies as ratios to the expected ones, in ascending order.

        Attempts in flight count by their age so far.
        """
        now_us = self._context.now_us
        edge_us = now_us - RECENT_OBJECTIVES * self._context.shortest_objective_us
        ratios = [0.0] * RECENT_PRIOR_SAMPLES + self._recent_ratios.since(edge_us)
        for attempt in in_flight:
            if attempt.outcome is None and attempt.sent_at_us > edge_us:
                ratios.append(self._latency_ratio(attempt, now_us - attempt.sent_at_us))
        ratios.sort()
        return ratios

    @property
    def recent_sample_count(self) -> int:
        """Return the number of latencies that are kept."""
        return len(self._recent_ratios)

    def _latency_ratio(self, attempt: Attempt, latency_us: float) -> float:
        expected_us = self.expected_latency_us(attempt.part)
        return latency_us / expected_us if expected_us else 1.0

    # Rate of responses

    def completion_rate(self) -> float:
        """Return the recent rate of responses in parts per microsecond; a rejection shows no capacity."""
        window_us = self.rate_window_us
        elapsed_us = max(self._context.elapsed_us, self._context.settings.tick_us)
        windows = elapsed_us / window_us
        return self._completions.at(self._context.now_us, window_us) / (window_us * (1 - exp(-windows)))

    def _record_completion(self) -> float:
        """Count a response and return the rate; keep the best rate with the live rating at that time."""
        self._completions.add(self._context.now_us, 1.0, self.rate_window_us)
        rate = self.completion_rate()
        if self._context.elapsed_us > self.rate_window_us and rate > self.best_completion_rate:
            # Kept, as endpoints that are lost later must not make the others seem to have more capacity.
            self.best_completion_rate = rate
            self.rating_at_best_rate = self._endpoints.live_rating()
        return rate
