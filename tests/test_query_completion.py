"""Final replies: complete, partial, rejected and failed, tested by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type, warm_up


def test_an_unanswered_query_is_rejected_with_a_retry_after_before_its_deadline(make_driver):
    driver = make_driver(retry_advice_allowed=True, max_retry_after_us=400_000)
    driver.query(1, [0, 1])
    actions = driver.wait(2 * OBJECTIVE_US - 5_000)
    rejections = actions_of_type(actions, policy.Reject)
    assert len(rejections) == 1 and 0 < rejections[0].retry_after_us <= 400_000


def test_a_query_of_a_class_without_late_weight_is_rejected_at_its_latency_objective(make_driver):
    driver = make_driver()
    driver.query(2, [0])
    assert len(actions_of_type(driver.wait(OBJECTIVE_US + 20_000), policy.Reject)) == 1


def test_a_query_with_some_parts_missing_is_answered_as_partial(make_driver):
    driver = make_driver()
    sends = actions_of_type(driver.query(5, [0, 1, 2]), policy.Send)
    assert len(sends) == 3
    driver.end(sends[0])
    driver.end(sends[1])
    answers = actions_of_type(driver.wait(2 * OBJECTIVE_US), policy.Answer)
    assert answers == [policy.Answer("q1", False)]


def test_a_query_under_its_minimum_fraction_is_rejected_and_never_answered(make_driver):
    driver = make_driver()
    sends = actions_of_type(driver.query(5, [0, 1, 2]), policy.Send)
    driver.end(sends[0])
    actions = driver.wait(2 * OBJECTIVE_US)
    assert actions_of_type(actions, policy.Answer) == [] and len(actions_of_type(actions, policy.Reject)) == 1


def test_a_first_step_is_answered_as_partial_early_enough_for_the_second_step(make_driver):
    """If the first step were answered a tick before the deadline, the query would get no final reply."""
    driver = make_driver()
    sends = actions_of_type(driver.query(6, [0, 1, 2, 3]), policy.Send)
    driver.end(sends[0], latency_us=100_000)
    driver.end(sends[1], latency_us=100_000)
    first_answers = actions_of_type(driver.wait(OBJECTIVE_US - 100_000), policy.Answer)
    assert first_answers == [policy.Answer("q1", False)]
    second = actions_of_type(
        driver.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 0, 0.5)),
        policy.Send,
    )
    driver.end(second[0])
    assert actions_of_type(driver.end(second[1]), policy.Answer) == [policy.Answer("q1", False)]


def test_an_expired_query_and_a_batch_after_a_stall_have_one_final_reply(make_driver):
    """After a stall all pending events arrive in one batch, which may be after the deadline."""
    driver = make_driver()
    warm_up(driver)
    actions = driver.query(1, [0, 1], timeout_us=-5_000)
    assert len(actions_of_type(actions, policy.Reject)) == 1 and actions_of_type(actions, policy.Send) == []
    sends = actions_of_type(driver.query(1, [0, 1]), policy.Send)
    driver.now_us += 3 * OBJECTIVE_US
    late = driver.step(
        0,
        *[policy.AttemptEnded(send.id, 0, send.node, policy.Outcome.OK, 3 * OBJECTIVE_US) for send in sends],
        policy.ClientDisconnected(f"q{driver.query_count}"),
        policy.TimerFired("due"),
    )
    assert len(actions_of_type(late, policy.Answer)) + len(actions_of_type(late, policy.Reject)) <= 1
    assert driver.aggregator.queries == {} and len(actions_of_type(driver.query(1, [0]), policy.Send)) == 1


def test_a_two_step_query_has_one_final_reply_whenever_its_minimum_fraction_is_reached(make_driver):
    """Tested at sixteen instants up to the deadline, for a short and a normal timeout."""
    for timeout_us in (OBJECTIVE_US // 2, 2 * OBJECTIVE_US):
        for pause_us in range(0, timeout_us, timeout_us // 16):
            driver = make_driver()
            sends = actions_of_type(driver.query(6, [0, 1, 2, 3], timeout_us=timeout_us), policy.Send)
            driver.end(sends[0])
            actions = driver.wait(pause_us)
            actions += driver.end(sends[1]) if driver.now_us < 10_000_000 + timeout_us - 10_000 else []
            actions += driver.wait(10_000_000 + timeout_us + 15_000 - driver.now_us)
            assert (
                len(actions_of_type(actions, policy.Reject)) == 1
                and len(actions_of_type(actions, policy.Answer)) <= 1
            )
            assert not isinstance(
                [action for action in actions if isinstance(action, policy.Answer | policy.Reject)][-1],
                policy.Answer,
            )


def test_a_second_step_requires_all_its_parts(make_driver):
    driver = make_driver()
    send = actions_of_type(driver.query(2, [0]), policy.Send)[0]
    assert actions_of_type(driver.end(send), policy.Answer) == [policy.Answer("q1", True)]
    second = actions_of_type(
        driver.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 0, 0.5)),
        policy.Send,
    )
    assert len(second) == 2 and second[0].node != second[1].node
    assert actions_of_type(driver.end(second[0]), policy.Answer) == []
    assert actions_of_type(driver.end(second[1]), policy.Answer) == [policy.Answer("q1", True)]


def test_a_query_with_a_partial_first_step_goes_on_and_is_never_marked_complete(make_driver):
    driver = make_driver()
    sends = actions_of_type(driver.query(6, [0, 1, 2, 3]), policy.Send)
    driver.end(sends[0])
    driver.end(sends[1])
    assert actions_of_type(driver.wait(OBJECTIVE_US * 4 // 5), policy.Answer) == [policy.Answer("q1", False)]
    more = actions_of_type(
        driver.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 1, 0.5)),
        policy.Send,
    )
    driver.end(more[0])
    assert actions_of_type(driver.end(more[1]), policy.Answer) == [policy.Answer("q1", False)]
