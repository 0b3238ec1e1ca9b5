"""Admission: learned costs, the adaptive concurrency limit, and fair queueing of servers."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from heathwell.service.admission import (
    AdmissionDecision,
    ConcurrencyLimiter,
    CostModel,
    FairQueue,
    QueueUpdate,
    search_features,
    split_batch,
)


def test_the_cost_model_learns_costs_follows_changes_and_resists_outliers():
    rng = random.Random(2)
    model = CostModel(1000.0, 4)

    def true_cost(features, scale=1.0):
        searches, _, row_count, filtered = features
        return scale * (2000 + 3000 * searches + 150 * row_count + 900 * filtered)

    def train(count, scale):
        for _ in range(count):
            searches = rng.randrange(1, 20)
            features = search_features(searches, 10 * searches, rng.randrange(2) * searches)
            model.learn(features, true_cost(features, scale) * rng.uniform(0.8, 1.2))

    first = search_features(4, 40, 0)
    assert model.predict(first) == 4000  # the configured cost, before the model has learned
    train(200, 1.0)
    for searches in (1, 5, 15):
        features = search_features(searches, 10 * searches, 0)
        assert 0.85 < model.predict(features) / true_cost(features) < 1.15
    train(600, 3.0)  # the hosts are now three times slower
    assert 0.8 < model.predict(first) / true_cost(first, 3.0) < 1.2
    for _ in range(3000):
        model.learn(first, true_cost(first, 3.0))  # features that never vary
    assert 0.9 < model.predict(first) / true_cost(first, 3.0) < 1.1
    model.learn(first, 1e12)
    assert model.predict(first) < 3 * true_cost(first, 3.0)


@given(st.lists(st.floats(0.1, 50), max_size=60), st.floats(1, 60), st.integers(1, 10))
def test_a_batch_is_split_in_order_and_within_bounds(costs, maximum_cost, maximum_searches):
    chunks = split_batch(costs, maximum_cost, maximum_searches)
    assert [search for chunk in chunks for search in chunk] == list(range(len(costs)))
    for chunk in chunks:
        assert len(chunk) <= maximum_searches and (
            len(chunk) == 1 or sum(costs[search] for search in chunk) <= maximum_cost + 1e-9
        )


def test_the_concurrency_limit_falls_by_queueing_and_grows_while_work_is_queued():
    limiter = ConcurrencyLimiter(50_000, 1_000_000.0)
    now_us = 0
    for _ in range(100):
        now_us += 10_000
        limiter.on_part_answered(now_us, 10_000 + 200_000, 10_000)
    assert limiter.limit_us < 300_000
    for _ in range(100):
        limiter.on_part_answered(now_us, 10_000, 10_000)
    low_limit_us = limiter.limit_us
    for _ in range(300):
        now_us += 10_000
        limiter.on_part_answered(now_us, 10_000, 10_000)
        limiter.on_work_ended(10_000, is_more_queued=False)
    assert limiter.limit_us == low_limit_us  # nothing is queued, so the limit is no constraint
    for _ in range(400):
        limiter.on_part_answered(now_us, 10_000, 10_000)
        limiter.on_work_ended(10_000, is_more_queued=True)
    assert limiter.limit_us > 3 * low_limit_us
    for _ in range(5000):
        now_us += 100_000
        limiter.on_part_answered(now_us, 900_000, 10_000)
    assert limiter.limit_us >= 4 * 10_000 * 0.9


@dataclass(frozen=True)
class WorkInFlight:
    """Admitted work that the hosts have not finished."""

    work_id: str
    flow: str
    cost_us: float


class FixedRateHosts:
    """A fair queue in front of hosts that serve admitted work in order and at a fixed rate.

    Args:
        weights: Weight of each server (flow) of the queue.
        seed: Seed of the queue's random rng.
    """

    def __init__(self, weights, seed=1):
        self.limiter = ConcurrencyLimiter(10**9, 100_000.0)
        self.queue = FairQueue(weights, self.limiter, seed)
        self.now_us = 0
        self.offer_count = 0
        self.available_us = 0.0
        self.in_flight: list[WorkInFlight] = []
        self.served_us: dict[str, float] = dict.fromkeys(weights, 0.0)
        self.rejected: dict[str, int] = dict.fromkeys(weights, 0)
        self.waits_us: dict[str, list[int]] = {name: [] for name in weights}
        self.offered_at_us: dict[str, int] = {}

    def offer(self, flow, cost_us, timeout_us=400_000):
        """Offer work of a flow to the queue and return the decision."""
        self.offer_count += 1
        work_id = f"{flow}{self.offer_count}"
        self.offered_at_us[work_id] = self.now_us
        decision = self.queue.offer(self.now_us, flow, work_id, cost_us, timeout_us)
        if decision == AdmissionDecision.ADMIT:
            self.start(work_id, flow, cost_us)
        self.rejected[flow] += decision == AdmissionDecision.REJECT
        return decision

    def start(self, work_id, flow, cost_us):
        """Start admitted work and record how long it was queued."""
        self.waits_us[flow].append(self.now_us - self.offered_at_us[work_id])
        self.in_flight.append(WorkInFlight(work_id, flow, cost_us))

    def step(self, duration_us):
        """Let time pass, in which the hosts do a microsecond of work each microsecond."""
        self.now_us += duration_us
        self.available_us = self.available_us + duration_us if self.in_flight else 0.0
        while self.in_flight and self.available_us >= self.in_flight[0].cost_us:
            work = self.in_flight.pop(0)
            self.available_us -= work.cost_us
            self.served_us[work.flow] += work.cost_us
            self.queue.end(self.now_us, work.work_id)
        update = self.queue.poll(self.now_us)
        for work_id in update.admitted:
            entry = self.queue.entries[work_id]
            self.start(work_id, entry.flow, entry.cost_us)
        for work_id in update.expired:
            self.rejected[work_id.rstrip("0123456789")] += 1


def test_a_flow_within_its_share_is_admitted_at_once_during_overload_by_another():
    hosts = FixedRateHosts({"memcached": 1.0, "vector": 1.0})
    for turn in range(400):
        for _ in range(3):
            hosts.offer("vector", 10_000)
        if turn % 2 == 0:
            hosts.offer("memcached", 2_000)
        hosts.step(10_000)
    assert hosts.rejected["memcached"] == 0 and max(hosts.waits_us["memcached"]) == 0
    assert hosts.rejected["vector"] > 400  # three times the capacity is offered
    assert hosts.served_us["vector"] > 0.7 * 400 * 10_000  # unused capacity is shared


def test_two_overloading_flows_share_capacity_by_weight():
    hosts = FixedRateHosts({"memcached": 3.0, "vector": 1.0})
    for _ in range(600):
        hosts.offer("vector", 5_000)
        hosts.offer("vector", 5_000)
        hosts.offer("memcached", 4_000)
        hosts.offer("memcached", 4_000)
        hosts.offer("memcached", 4_000)
        hosts.step(10_000)
    share = hosts.served_us["memcached"] / sum(hosts.served_us.values())
    assert 0.65 < share < 0.85


def test_queued_work_expires_at_its_timeout_or_ends_when_its_client_disconnects():
    hosts = FixedRateHosts({"a": 1.0, "b": 1.0})
    assert hosts.offer("a", 60_000) == AdmissionDecision.ADMIT
    assert hosts.offer("a", 60_000) == AdmissionDecision.QUEUE
    assert hosts.offer("a", 60_000, timeout_us=300_000) == AdmissionDecision.QUEUE
    assert hosts.offer("b", 60_000) == AdmissionDecision.ADMIT  # the share of b is free
    assert hosts.queue.next_expiry_at_us() == 300_000
    first, second = (work_id for work_id, entry in hosts.queue.entries.items() if not entry.is_in_flight)
    # The second work expires although the first is still queued before it.
    assert hosts.queue.poll(300_000) == QueueUpdate([], [second])
    hosts.queue.end(hosts.now_us, first)
    hosts.queue.end(hosts.now_us, "unknown")
    assert not hosts.queue.is_queueing and hosts.queue.poll(400_000) == QueueUpdate()
    assert hosts.queue.flows["a"].queued_us == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"), st.floats(1, 90_000), st.integers(1, 500_000), st.integers(0, 60_000)
        ),
        max_size=60,
    )
)
def test_all_offered_work_is_started_or_rejected_exactly_once(offers):
    hosts = FixedRateHosts({"a": 1.0, "b": 2.0})
    for flow, cost_us, timeout_us, pause_us in offers:
        hosts.offer(flow, cost_us, timeout_us)
        hosts.step(pause_us)
    for _ in range(3000):
        hosts.step(10_000)
    started = sum(map(len, hosts.waits_us.values()))
    assert started + sum(hosts.rejected.values()) == len(offers)
    assert not hosts.queue.entries and abs(hosts.queue.in_flight_us) < 1e-3
    assert all(
        abs(flow.in_flight_us) < 1e-3 and abs(flow.queued_us) < 1e-3 for flow in hosts.queue.flows.values()
    )
