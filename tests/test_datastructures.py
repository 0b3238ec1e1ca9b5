"""Property tests of heathwell/datastructures: each structure against a simple model of its contract."""

from __future__ import annotations

import random
from math import exp, isclose

from hypothesis import given
from hypothesis import strategies as st

from heathwell.datastructures import (
    DecayingAverage,
    DecayingSum,
    GroupRank,
    RateLimitedTopics,
    RecentRank,
    RunningMean,
    SlidingWindowCounter,
    SlidingWindowSamples,
    TimerQueue,
    TokenBucket,
    drain_by_rank,
)

PAUSES_US = st.integers(0, 50)
VALUES = st.floats(-1e3, 1e3)
TIME_CONSTANTS_US = st.floats(1.0, 1e3)


def is_close(left: float, right: float) -> bool:
    """Return whether two floats differ by rounding alone."""
    return isclose(left, right, rel_tol=1e-9, abs_tol=1e-6)


@given(st.lists(st.tuples(PAUSES_US, VALUES)), PAUSES_US, TIME_CONSTANTS_US)
def test_a_decaying_sum_is_the_sum_of_its_amounts_each_decayed_by_its_age(steps, pause_us, time_constant_us):
    decaying = DecayingSum()
    now_us = 0
    amounts = []
    for step_us, amount in steps:
        now_us += step_us
        decaying.add(now_us, amount, time_constant_us)
        amounts.append((now_us, amount))
    end_us = now_us + pause_us
    decayed = sum(amount * exp((at_us - end_us) / time_constant_us) for at_us, amount in amounts)
    assert is_close(decaying.at(end_us, time_constant_us), decayed)


@given(
    VALUES,
    st.lists(st.tuples(PAUSES_US, VALUES, st.floats(0.0, 1.0))),
    st.integers(0, 1000),
    TIME_CONSTANTS_US,
)
def test_a_decaying_average_stays_between_its_baseline_and_its_samples(
    baseline, steps, pause_us, time_constant_us
):
    average = DecayingAverage(baseline)
    now_us = 0
    samples = [baseline]
    for step_us, sample, gain in steps:
        now_us += step_us
        average.add(now_us, sample, gain, time_constant_us)
        samples.append(sample)
        assert min(samples) - 1e-6 <= average.value <= max(samples) + 1e-6
        assert average.updated_at_us == now_us
    distance = abs(average.value - baseline)
    later = average.at(now_us + pause_us, time_constant_us)
    assert is_close(abs(later - baseline), distance * exp(-pause_us / time_constant_us))
    average.reset()
    assert average.at(now_us + pause_us, time_constant_us) == baseline
    assert average.updated_at_us == now_us


@given(VALUES, VALUES, PAUSES_US, TIME_CONSTANTS_US)
def test_a_gain_of_one_takes_the_sample_and_a_gain_of_zero_only_decays(
    baseline, sample, pause_us, time_constant_us
):
    average = DecayingAverage(baseline)
    average.add(0, sample, 1.0, time_constant_us)
    assert average.value == sample
    decayed = average.at(pause_us, time_constant_us)
    average.add(pause_us, -sample, 0.0, time_constant_us)
    assert is_close(average.value, decayed)


@given(st.lists(VALUES, min_size=1, max_size=40), st.integers(1, 50))
def test_a_running_mean_is_the_mean_until_its_minimum_gain_applies(samples, plain_count):
    mean = RunningMean()
    expected = 0.0
    for number, sample in enumerate(samples, 1):
        mean.add(sample, 1 / plain_count)
        if number <= plain_count:
            expected = sum(samples[:number]) / number
        else:
            expected += (sample - expected) / plain_count
        assert mean.count == number
        assert is_close(mean.value, expected)


@given(st.integers(0, 60), st.booleans(), st.lists(st.tuples(PAUSES_US, st.booleans())))
def test_a_sliding_window_counts_the_events_that_lie_in_it(window_us, includes_edge, steps):
    counter = SlidingWindowCounter(window_us, includes_edge=includes_edge)
    now_us = 0
    events = []
    for step_us, is_event in steps:
        now_us += step_us
        if is_event:
            counter.add(now_us)
            events.append(now_us)
        ages_us = [now_us - at_us for at_us in events]
        inside = [
            age_us for age_us in ages_us if age_us < window_us or (includes_edge and age_us == window_us)
        ]
        assert counter.count(now_us) == (len(inside) if window_us else 0)


@given(st.integers(0, 60), st.lists(st.tuples(PAUSES_US, VALUES)))
def test_sliding_window_samples_are_held_within_the_window_and_dropped_after_it(window_us, steps):
    samples = SlidingWindowSamples(window_us)
    now_us = 0
    added = []
    for step_us, value in steps:
        now_us += step_us
        samples.add(now_us, now_us, value)
        added.append((now_us, value))
        edge_us = now_us - window_us
        assert samples.since(edge_us) == [value for at_us, value in added if at_us > edge_us]
        assert len(samples) == sum(at_us >= edge_us for at_us, _ in added)


@given(st.integers(1, 8), st.lists(st.integers(-5, 5)))
def test_a_recent_rank_is_the_fraction_of_the_latest_values_below(capacity, values):
    ranks = RecentRank(capacity)
    for number, value in enumerate(values):
        latest = values[max(0, number - capacity) : number]
        below = sum(earlier < value for earlier in latest)
        assert ranks.rank(value) == (below / len(latest) if latest else 0.0)


@given(st.integers(1, 60), st.integers(1, 4), st.lists(st.tuples(PAUSES_US, st.sampled_from("abcdefgh"))))
def test_a_topic_is_admitted_once_an_interval_in_bounded_memory(interval_us, prune_above, steps):
    topics = RateLimitedTopics(interval_us, prune_above)
    now_us = 0
    admitted_at_us = {}
    for step_us, topic in steps:
        now_us += step_us
        due = topic not in admitted_at_us or now_us - admitted_at_us[topic] >= interval_us
        remembered = len(topics)
        assert topics.admit(topic, now_us) is due
        if not due:
            assert len(topics) == remembered
            continue
        admitted_at_us[topic] = now_us
        recent = sum(now_us - at_us < interval_us for at_us in admitted_at_us.values())
        assert recent <= len(topics) <= max(prune_above, recent)


@given(
    st.lists(st.one_of(st.tuples(st.just("set"), st.integers(0, 20)), st.tuples(st.just("pop"), PAUSES_US)))
)
def test_timers_are_due_by_instant_and_among_equals_in_the_order_scheduled(steps):
    queue = TimerQueue()
    pending = []
    for serial, (kind, at_us) in enumerate(steps):
        if kind == "set":
            queue.schedule(at_us, serial)
            pending.append((at_us, serial))
        else:
            due = min(pending, default=None)
            if due is None or due[0] > at_us:
                assert queue.pop_due(at_us) is None
            else:
                pending.remove(due)
                assert queue.pop_due(at_us) == due[1]
        assert len(queue) == len(pending)
        assert queue.next_at_us == (min(pending)[0] if pending else None)


@given(st.integers(1, 5), st.lists(st.one_of(st.none(), st.floats(0.0, 2.0))))
def test_a_token_bucket_never_holds_more_than_its_capacity(capacity, steps):
    bucket = TokenBucket(capacity)
    tokens = float(capacity)
    for earned in steps:
        if earned is None:
            bucket.spend()
            tokens -= 1
        else:
            bucket.earn(earned)
            tokens = min(capacity, tokens + earned)
        assert bucket.tokens == tokens <= capacity
        assert bucket.has_token() is (tokens >= 1)


@given(
    st.dictionaries(st.integers(0, 9), st.lists(st.integers(0, 4), min_size=1, max_size=5), max_size=6),
    st.integers(0, 1000),
)
def test_draining_by_rank_takes_each_item_once_from_a_group_of_lowest_rank(shards, seed):
    """As in replica selection, taking an item adds to the load of an endpoint that groups share."""
    load = dict.fromkeys(range(3), 0)
    groups = {key: [(key, number) for number in range(len(items))] for key, items in shards.items()}
    remaining = {key: list(items) for key, items in groups.items()}
    expected = sorted(item for items in groups.values() for item in items)

    def rank(items):
        """Return the rank of a group by the load of its endpoint, and the load that it is based on."""
        endpoint = items[0][0] % 3
        return GroupRank((load[endpoint],), (endpoint, load[endpoint]))

    def is_current(basis):
        """Return whether the load of the endpoint is still the one that a rank is based on."""
        endpoint, counted = basis
        return load[endpoint] == counted

    taken = []
    for key, number in drain_by_rank(groups, rank, is_current, random.Random(seed)):
        assert load[key % 3] == min(load[other % 3] for other, items in remaining.items() if items)
        remaining[key].remove((key, number))
        load[key % 3] += 1
        taken.append((key, number))
    assert sorted(taken) == expected
    assert not any(groups.values())
