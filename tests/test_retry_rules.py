"""Retries, hedges and their budget, tested by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type, warm_up


def test_a_non_idempotent_part_that_may_have_run_is_not_retried_and_its_query_fails(make_driver):
    driver = make_driver(hedging_allowed=True, cancellation_allowed=True)
    send = actions_of_type(driver.query(4, [0]), policy.Send)[0]
    actions = driver.end(send, policy.Outcome.ERROR)  # the query ends at once, as nothing is in flight
    assert actions_of_type(actions, policy.Send) == [] and actions_of_type(actions, policy.Reject) == []
    assert actions_of_type(actions, policy.Fail) == [policy.Fail("q1")]


def test_a_non_idempotent_part_that_never_ran_is_retried_at_another_replica(make_driver):
    driver = make_driver()
    send = actions_of_type(driver.query(4, [0]), policy.Send)[0]
    retries = actions_of_type(driver.end(send, policy.Outcome.UNREACHABLE), policy.Send)
    assert len(retries) == 1 and retries[0].node != send.node


def test_a_keyed_part_is_cancelled_and_sent_again_within_its_idempotency_window_only(make_driver):
    driver = make_driver(cancellation_allowed=True)
    send = actions_of_type(driver.query(3, [0]), policy.Send)[0]
    actions = driver.wait(OBJECTIVE_US // 2 + 10_000)
    assert actions_of_type(actions, policy.Cancel) == [policy.Cancel(send.id, 0)]
    retries = actions_of_type(actions, policy.Send)
    assert len(retries) == 1 and retries[0].node != send.node
    assert actions_of_type(driver.wait(OBJECTIVE_US), policy.Send) == []
    assert actions_of_type(driver.end(retries[0], policy.Outcome.ERROR, seq=1), policy.Send) == []


def test_a_late_part_without_an_unsent_part_is_hedged_at_another_replica_where_allowed(make_driver):
    driver = make_driver(hedging_allowed=True, cancellation_allowed=True)
    send = actions_of_type(driver.query(1, [0]), policy.Send)[0]
    actions = driver.wait(OBJECTIVE_US // 2 + 10_000)
    hedges = actions_of_type(actions, policy.Send)
    assert [hedge.id for hedge in hedges] == [send.id] and hedges[0].node != send.node
    assert actions_of_type(actions, policy.Cancel) == []


def test_additional_attempts_stay_within_the_attempt_budget_of_the_settings(make_driver):
    driver = make_driver(
        attempt_budget_window_us=10 * OBJECTIVE_US, free_additional_attempts=2, additional_attempt_ratio=0.0
    )
    retries = 0
    for _ in range(6):
        send = actions_of_type(driver.query(1, [0]), policy.Send)[0]
        retries += len(actions_of_type(driver.end(send, policy.Outcome.ERROR), policy.Send))
    assert retries == 2


def test_the_retry_budget_limits_retries_where_every_attempt_fails(make_driver):
    driver = make_driver()
    retries = 0
    for job in range(60):
        for send in actions_of_type(driver.query(1, [job % 6]), policy.Send):
            retries += len(actions_of_type(driver.end(send, policy.Outcome.ERROR), policy.Send))
    assert 0 < retries <= 16


def test_an_endpoint_that_fails_fast_does_not_attract_more_attempts(make_driver):
    driver = make_driver()
    warm_up(driver, rounds=3)
    attempt_count = 0
    for _ in range(20):
        for send in actions_of_type(driver.query(1, [0]), policy.Send):
            attempt_count += send.node == "s0"
            driver.end(
                send, policy.Outcome.ERROR if send.node == "s0" else policy.Outcome.OK, latency_us=20_000
            )
    assert attempt_count <= 4


def test_attempts_of_a_disconnected_client_are_cancelled(make_driver):
    """Endpoints must not go on working for a client that has disconnected."""
    driver = make_driver(cancellation_allowed=True)
    sends = actions_of_type(driver.query(1, [0, 1]), policy.Send)
    driver.step(200_000)
    actions = driver.step(5000, policy.ClientDisconnected("q1"))
    assert {cancel.id for cancel in actions_of_type(actions, policy.Cancel)} == {send.id for send in sends}


def test_a_late_part_is_cancelled_only_where_a_later_attempt_at_its_endpoint_was_answered_first(make_driver):
    """An endpoint that responds in order still has the part in its queue, unless it answered a later one."""
    for overtaken in (False, True):
        driver = make_driver(cancellation_allowed=True, endpoint_count=6)
        early = actions_of_type(driver.query(1, [0, 0, 0]), policy.Send)
        sends = actions_of_type(driver.query(1, [0, 0, 0]), policy.Send)
        later = next(send for send in sends if send.node == early[0].node)
        unanswered = early[0] if overtaken else later
        answered = later if overtaken else early[0]
        actions = driver.wait(OBJECTIVE_US // 4)
        actions += driver.end(answered, latency_us=OBJECTIVE_US // 4)
        actions += driver.wait(OBJECTIVE_US // 4 + 20_000)
        assert (
            unanswered.id in {cancel.id for cancel in actions_of_type(actions, policy.Cancel)}
        ) == overtaken
