"""Ejection, half-open trials and queries of death, tested by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type, warm_up


def test_a_query_that_broke_a_connection_next_sends_a_part_of_another_shard(make_driver):
    """A query of death must not crash both replicas of a shard that has two."""
    driver = make_driver(overload_multiple=0.0)
    warm_up(driver, rounds=2)
    # A crash is recent from here on.
    driver.end(actions_of_type(driver.query(1, [5]), policy.Send)[0], policy.Outcome.BROKEN)
    first = actions_of_type(driver.query(1, [0, 3]), policy.Send)
    assert len(first) == 1
    second = actions_of_type(driver.end(first[0], policy.Outcome.BROKEN), policy.Send)
    assert len(second) == 1 and second[0].id != first[0].id
    more = actions_of_type(driver.end(second[0]), policy.Send)
    assert [send.id for send in more] == [first[0].id]  # after a response the failed part is sent again


def test_one_fast_response_does_not_clear_the_relative_latency_of_a_slow_endpoint(make_driver):
    """The relative latency decays with time and is not replaced by a single sample."""
    driver = make_driver(overload_multiple=0.0)
    warm_up(driver)
    endpoint = driver.aggregator.endpoints["s0"]
    endpoint.relative_latency.value = 8.0  # as after a run of slow responses
    endpoint.relative_latency.updated_at_us = driver.now_us
    warm_up(driver, shards=(3, 4, 5))
    for _ in range(2):  # the other replicas of its shard have attempts in flight from here on
        driver.query(1, [1], after_us=0)
    before = driver.aggregator.latency.relative_latency(endpoint)
    send = next(
        candidate
        for _ in range(9)
        for candidate in actions_of_type(driver.query(1, [0], after_us=0), policy.Send)
        if candidate.node == "s0"
    )
    driver.end(send, after_us=20_000, latency_us=20_000)
    assert endpoint.relative_latency.value - 1 > 0.8 * (before - 1) > 1


def test_errors_of_one_query_class_eject_an_endpoint_for_that_class_alone(make_driver):
    single = make_driver(endpoint_count=1, replica_groups=1, groups_per_shard=1, shards=1)
    several = make_driver()
    for driver in (single, several):
        for _ in range(3):
            for send in actions_of_type(driver.query(1, [0]), policy.Send):
                driver.end(send, policy.Outcome.ERROR)
    # The only replica of a shard serves it even while it is ejected.
    assert [send.node for send in actions_of_type(single.query(1, [0]), policy.Send)] == ["s0"]
    ejected_classes = {
        endpoint.node: set(endpoint.ejections)
        for endpoint in several.aggregator.endpoints.values()
        if endpoint.ejections
    }
    assert all(classes == {1} for classes in ejected_classes.values())


def test_an_endpoint_without_responses_is_ejected_probed_and_gets_one_half_open_trial(make_driver):
    driver = make_driver(probing_allowed=True)
    warm_up(driver)
    actions = []
    attempt_count = 0
    pending = []
    end_us = driver.now_us + 6 * OBJECTIVE_US
    while driver.now_us < end_us:
        for attempt, sent_at_us in pending[:]:
            if driver.now_us > sent_at_us + 2 * OBJECTIVE_US:
                pending.remove((attempt, sent_at_us))
                actions += driver.end(attempt, policy.Outcome.TIMED_OUT, latency_us=2 * OBJECTIVE_US)
        for send in actions_of_type(driver.query(1, [0]), policy.Send):
            if send.node == "s0":
                attempt_count += 1
                pending.append((send, driver.now_us))
            else:
                actions += driver.end(send, after_us=20_000, latency_us=20_000)
        actions += driver.wait(100_000)
    assert attempt_count <= 4
    assert "s0" in {probe.node for probe in actions_of_type(actions, policy.Probe)}
    driver.step(5000, policy.ProbeEnded("s0", policy.Outcome.OK))
    nodes = [actions_of_type(driver.query(1, [0]), policy.Send)[0].node for _ in range(3)]
    assert nodes.count("s0") == 1


def test_a_query_of_death_is_held_then_abandoned_and_a_response_clears_it(make_driver):
    """A query whose parts crash the endpoints that run them must not reach all endpoints of the fleet."""
    driver = make_driver()
    sends = actions_of_type(driver.query(1, [0, 2, 4]), policy.Send)
    assert len(sends) == 3
    assert actions_of_type(driver.end(sends[0], policy.Outcome.BROKEN), policy.Send) == []
    assert actions_of_type(driver.end(sends[1], policy.Outcome.BROKEN), policy.Send) == []
    assert actions_of_type(driver.end(sends[2], policy.Outcome.BROKEN), policy.Reject) == [
        policy.Reject("q1", reason=policy.EndReason.QUERY_OF_DEATH)
    ]
    cleared = make_driver()
    sends = actions_of_type(cleared.query(1, [0, 2, 4]), policy.Send)
    assert actions_of_type(cleared.end(sends[0], policy.Outcome.BROKEN), policy.Send) == []
    assert [send.id for send in actions_of_type(cleared.end(sends[1]), policy.Send)] == [sends[0].id]


def test_after_a_crash_one_part_is_sent_as_a_canary_and_the_others_once_it_is_answered(make_driver):
    """A query of death then crashes one endpoint instead of one for each of its parts."""
    driver = make_driver()
    driver.end(actions_of_type(driver.query(1, [0]), policy.Send)[0], policy.Outcome.BROKEN)
    first = actions_of_type(driver.query(0, [1, 2, 3, 4]), policy.Send)
    assert len(first) == 1
    assert len(actions_of_type(driver.end(first[0]), policy.Send)) == 2
    driver.wait(6 * OBJECTIVE_US)
    assert len(actions_of_type(driver.query(0, [1, 2, 3, 4]), policy.Send)) == 3
