"""Costs that are learned, the limiter that follows queueing, fair turns between fronts."""

from __future__ import annotations

import random

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


def test_costs_are_learned_followed_and_never_off_by_orders():
    draws, model = random.Random(2), CostModel(1000.0, 4)

    def true(figures, scale=1.0):
        searches, _, rows, filtered = figures
        return scale * (2000 + 3000 * searches + 150 * rows + 900 * filtered)

    def train(count, scale):
        for _ in range(count):
            searches = draws.randrange(1, 20)
            figures = search_features(searches, 10 * searches, draws.randrange(2) * searches)
            model.learn(figures, true(figures, scale) * draws.uniform(0.8, 1.2))

    first = search_features(4, 40, 0)
    assert model.predict(first) == 4000  # as stated, until it knows
    train(200, 1.0)
    for searches in (1, 5, 15):
        figures = search_features(searches, 10 * searches, 0)
        assert 0.85 < model.predict(figures) / true(figures) < 1.15
    train(600, 3.0)  # the hosts became slower
    assert 0.8 < model.predict(first) / true(first, 3.0) < 1.2
    for _ in range(3000):
        model.learn(first, true(first, 3.0))  # figures that never vary
    assert 0.9 < model.predict(first) / true(first, 3.0) < 1.1
    model.learn(first, 1e12)
    assert model.predict(first) < 3 * true(first, 3.0)


@given(st.lists(st.floats(0.1, 50), max_size=60), st.floats(1, 60), st.integers(1, 10))
def test_a_batch_is_cut_in_order_and_within_bounds(costs, most, searches):
    chunks = split_batch(costs, most, searches)
    assert [n for chunk in chunks for n in chunk] == list(range(len(costs)))
    for chunk in chunks:
        assert len(chunk) <= searches and (len(chunk) == 1 or sum(costs[n] for n in chunk) <= most + 1e-9)


def test_the_window_shrinks_by_queueing_and_grows_while_work_waits():
    limiter, now = ConcurrencyLimiter(50_000, 1_000_000.0), 0
    for _ in range(100):
        now += 10_000
        limiter.on_part_answered(now, 10_000 + 200_000, 10_000)
    assert limiter.limit_us < 300_000
    for _ in range(100):
        limiter.on_part_answered(now, 10_000, 10_000)
    small = limiter.limit_us
    for _ in range(300):
        now += 10_000
        limiter.on_part_answered(now, 10_000, 10_000)
        limiter.on_work_ended(10_000, is_more_queued=False)
    assert limiter.limit_us == small  # nobody waits: there is nothing to be learned
    for _ in range(400):
        limiter.on_part_answered(now, 10_000, 10_000)
        limiter.on_work_ended(10_000, is_more_queued=True)
    assert limiter.limit_us > 3 * small
    for _ in range(5000):
        now += 100_000
        limiter.on_part_answered(now, 900_000, 10_000)
    assert limiter.limit_us >= 4 * 10_000 * 0.9


class Hosts:
    """Serves what goes out at a fixed rate, in order; clients ask at theirs."""

    def __init__(self, weights, seed=1):
        self.limiter = ConcurrencyLimiter(10**9, 100_000.0)
        self.queue = FairQueue(weights, self.limiter, seed)
        self.now, self.count, self.room = 0, 0, 0.0
        self.out: list[tuple[str, str, float, int]] = []
        self.served: dict[str, float] = dict.fromkeys(weights, 0.0)
        self.refused: dict[str, int] = dict.fromkeys(weights, 0)
        self.waits: dict[str, list[int]] = {name: [] for name in weights}
        self.asked: dict[str, int] = {}

    def offer(self, front, cost, patience=400_000):
        self.count += 1
        ident = f"{front}{self.count}"
        self.asked[ident] = self.now
        verdict = self.queue.offer(self.now, front, ident, cost, patience)
        if verdict == AdmissionDecision.ADMIT:
            self.go(ident, front, cost)
        self.refused[front] += verdict == AdmissionDecision.REJECT
        return verdict

    def go(self, ident, front, cost):
        self.waits[front].append(self.now - self.asked[ident])
        self.out.append((ident, front, cost, self.now))

    def step(self, us, rate=1.0):
        """Time passes; ``rate`` of work is done a microsecond."""
        self.now += us
        self.room = self.room + us * rate if self.out else 0.0
        while self.out and self.room >= self.out[0][2]:
            ident, front, cost, _ = self.out.pop(0)
            self.room -= cost
            self.served[front] += cost
            self.queue.end(self.now, ident)
        update = self.queue.poll(self.now)
        for ident in update.admitted:
            entry = self.queue.entries[ident]
            self.go(ident, entry.flow, entry.cost_us)
        for ident in update.expired:
            self.refused[ident.rstrip("0123456789")] += 1


def test_a_front_within_its_share_goes_at_once_however_much_another_asks():
    hosts = Hosts({"memcached": 1.0, "vector": 1.0})
    for turn in range(400):
        for _ in range(3):
            hosts.offer("vector", 10_000)
        if turn % 2 == 0:
            hosts.offer("memcached", 2_000)
        hosts.step(10_000)
    assert hosts.refused["memcached"] == 0 and max(hosts.waits["memcached"]) == 0
    assert hosts.refused["vector"] > 400  # three times what can be done: the rest is told at once
    assert hosts.served["vector"] > 0.7 * 400 * 10_000  # and what is left over is used


def test_two_that_ask_for_too_much_share_by_weight():
    hosts = Hosts({"memcached": 3.0, "vector": 1.0})
    for _ in range(600):
        hosts.offer("vector", 5_000)
        hosts.offer("vector", 5_000)
        hosts.offer("memcached", 4_000)
        hosts.offer("memcached", 4_000)
        hosts.offer("memcached", 4_000)
        hosts.step(10_000)
    share = hosts.served["memcached"] / sum(hosts.served.values())
    assert 0.65 < share < 0.85


def test_patience_ends_a_wait_and_clients_may_leave_the_queue():
    hosts = Hosts({"a": 1.0, "b": 1.0})
    assert hosts.offer("a", 60_000) == AdmissionDecision.ADMIT
    assert hosts.offer("a", 60_000) == AdmissionDecision.QUEUE
    assert hosts.offer("a", 60_000, patience=300_000) == AdmissionDecision.QUEUE
    assert hosts.offer("b", 60_000) == AdmissionDecision.ADMIT  # b's own share is free
    assert hosts.queue.next_expiry_at_us() == 300_000
    first, second = (ident for ident, entry in hosts.queue.entries.items() if not entry.is_in_flight)
    assert hosts.queue.poll(300_000) == QueueUpdate(
        [], [second]
    )  # though the first one still waits before it
    hosts.queue.end(hosts.now, first)
    hosts.queue.end(hosts.now, "unknown")
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
def test_nothing_is_lost_or_counted_twice(work):
    hosts, verdicts = Hosts({"a": 1.0, "b": 2.0}), []
    for front, cost, patience, pause in work:
        verdicts.append(hosts.offer(front, cost, patience))
        hosts.step(pause)
    for _ in range(3000):
        hosts.step(10_000)
    went = sum(map(len, hosts.waits.values()))
    assert went + sum(hosts.refused.values()) == len(work)
    assert not hosts.queue.entries and abs(hosts.queue.in_flight_us) < 1e-3
    assert all(
        abs(flow.in_flight_us) < 1e-3 and abs(flow.queued_us) < 1e-3 for flow in hosts.queue.flows.values()
    )
