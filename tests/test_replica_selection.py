"""Replica selection and hedging: the required parts are sent, late ones hedged, and queries answered."""

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type


def test_only_the_required_parts_are_sent_and_the_query_is_answered_once_they_are_received(make_driver):
    driver = make_driver()
    sends = actions_of_type(driver.query(0, [0, 1, 2, 3]), policy.Send)
    assert len(sends) == 3
    assert actions_of_type(driver.end(sends[0]), policy.Answer) == []
    assert actions_of_type(driver.end(sends[1]), policy.Answer) == []
    assert actions_of_type(driver.end(sends[2]), policy.Answer) == [policy.Answer("q1", True)]


def test_a_part_in_flight_adds_to_the_load_before_the_next_part_of_the_batch_is_placed(make_driver):
    driver = make_driver()
    sends = actions_of_type(driver.query(1, [0, 0, 0]), policy.Send)
    assert len({send.node for send in sends}) == 3
    assert {send.node for send in sends} == {"s0", "s1", "s2"}


def test_a_late_part_is_hedged_by_an_unsent_part_and_stays_in_flight(make_driver):
    driver = make_driver()
    sends = actions_of_type(driver.query(0, [0, 1, 2, 3]), policy.Send)
    for send in sends[:2]:
        driver.end(send)
    actions = driver.wait(OBJECTIVE_US // 2 + 10_000)
    hedges = actions_of_type(actions, policy.Send)
    assert len(hedges) == 1
    assert hedges[0].id not in {send.id for send in sends}
    assert actions_of_type(actions, policy.Cancel) == []
    assert actions_of_type(driver.end(hedges[0]), policy.Answer) == [policy.Answer("q1", True)]


def test_a_failed_part_is_retried_at_another_replica(make_driver):
    driver = make_driver()
    send = actions_of_type(driver.query(1, [0]), policy.Send)[0]
    retries = actions_of_type(driver.end(send, policy.Outcome.ERROR), policy.Send)
    assert len(retries) == 1 and retries[0].node != send.node


def attempt_reasons(actions):
    """Return the reason of each attempt and whether it counts as an additional attempt."""
    return [(send.reason, send.is_additional) for send in actions_of_type(actions, policy.Send)]


def test_each_attempt_states_its_reason(make_driver):
    first = policy.AttemptReason.FIRST
    substitute = policy.AttemptReason.SUBSTITUTE
    hedge = policy.AttemptReason.HEDGE
    cancelled = policy.AttemptReason.CANCELLED
    retry = policy.AttemptReason.RETRY

    unsent_part = make_driver()
    actions = unsent_part.query(0, [0, 1, 2, 3])
    assert attempt_reasons(actions) == [(first, False)] * 3
    assert attempt_reasons(unsent_part.wait(OBJECTIVE_US // 2 + 10_000)) == [(substitute, True)]

    hedged = make_driver(hedging_allowed=True)
    assert attempt_reasons(hedged.query(1, [0])) == [(first, False)]
    assert attempt_reasons(hedged.wait(OBJECTIVE_US // 2 + 10_000)) == [(hedge, True)]

    moved = make_driver(cancellation_allowed=True)
    moved.query(1, [0])
    assert attempt_reasons(moved.wait(OBJECTIVE_US // 2 + 10_000)) == [(cancelled, True)]

    failed = make_driver()
    (send,) = actions_of_type(failed.query(1, [0]), policy.Send)
    assert attempt_reasons(failed.end(send, policy.Outcome.ERROR)) == [(retry, True)]
