"""Draining, removed and slow-starting endpoints, tested by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type, entry, warm_up


def test_draining_and_removed_endpoints_receive_no_attempts(make_driver):
    driver = make_driver()
    driver.step(
        5000,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL,
            (entry(0, state=policy.EndpointState.DRAINING), entry(1, state=policy.EndpointState.GONE)),
        ),
    )
    for _ in range(9):
        for send in actions_of_type(driver.query(1, [0]), policy.Send):
            assert send.node == "s2"
            driver.end(send)
    driver.step(
        5000, policy.EndpointUpdate(policy.UpdateKind.FULL, tuple(entry(index) for index in (0, 3, 4, 5)))
    )
    assert {send.node for send in actions_of_type(driver.query(1, [0]), policy.Send)} == {"s0"}


def test_an_endpoint_in_slow_start_receives_only_this_aggregators_fraction_of_its_ramp(make_driver):
    driver = make_driver(aggregator_count=2)
    warm_up(driver)
    driver.step(
        0,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL, (entry(0, started_at_us=driver.now_us - 10_000),)
        ),
    )
    sent_count = 0
    start_us = driver.now_us
    while driver.now_us < start_us + 900_000:
        for send in actions_of_type(driver.query(1, [0]), policy.Send):
            sent_count += send.node == "s0"
            driver.end(send, after_us=20_000, latency_us=20_000)
    # An endpoint answered 6.7 parts a second before; 2 aggregators x 0.2 to 0.27 of that is 2.7 to 3.6,
    # while an even third of this traffic would be 12.
    assert 1 <= sent_count <= 3


def test_removed_endpoints_do_not_raise_the_slow_start_capacity_of_the_others(make_driver):
    """The capacity estimate of an endpoint in slow start must not rise as other endpoints are removed."""
    attempt_counts = []
    for removed in ((), (2, 3, 4, 5)):
        driver = make_driver()
        warm_up(driver)
        driver.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.INCREMENTAL,
                tuple(entry(index, state=policy.EndpointState.GONE) for index in removed),
            ),
        )
        driver.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.INCREMENTAL, (entry(0, started_at_us=driver.now_us - 10_000),)
            ),
        )
        sends = [send for _ in range(4) for send in actions_of_type(driver.query(1, [0] * 3), policy.Send)]
        attempt_counts.append(sum(send.node == "s0" for send in sends))
    assert attempt_counts[1] <= attempt_counts[0] + 1 <= 3


def test_many_small_aggregators_do_not_all_send_a_new_endpoint_its_first_attempt(make_driver):
    """Each aggregator has credit for much less than one attempt, and all together for a few."""
    first_attempts = 0
    for seed in range(40):
        driver = make_driver(seed=seed)
        warm_up(driver, rounds=2)
        driver.wait(2 * OBJECTIVE_US)
        driver.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.INCREMENTAL,
                tuple(entry(index, started_at_us=driver.now_us - 10_000) for index in (0, 1)),
            ),
        )
        first_attempts += sum(
            send.node != "s2" for _ in range(3) for send in actions_of_type(driver.query(1, [0]), policy.Send)
        )
    assert first_attempts <= 30
