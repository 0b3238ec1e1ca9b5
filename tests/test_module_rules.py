"""The decision module, one rule or exception a test, by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import AIM, entry, of


def warm_up(driver, shards=range(6), rounds=20):
    """Answer some queries, so that mean latencies and completion rates have samples."""
    for _ in range(rounds):
        for shard in shards:
            for send in of(driver.query(1, [shard]), policy.Send):
                driver.end(send, after_us=20_000, latency_us=20_000)


def test_an_unanswered_query_is_rejected_with_a_retry_after_before_its_deadline(drive):
    driver = drive(retry_advice_allowed=True, max_retry_after_us=400_000)
    driver.query(1, [0, 1])
    actions = driver.wait(2 * AIM - 5_000)
    rejections = of(actions, policy.Reject)
    assert len(rejections) == 1 and 0 < rejections[0].retry_after_us <= 400_000


def test_a_query_of_a_class_without_late_weight_is_rejected_at_its_latency_objective(drive):
    driver = drive()
    driver.query(2, [0])
    assert len(of(driver.wait(AIM + 20_000), policy.Reject)) == 1


def test_a_non_idempotent_part_that_may_have_run_is_not_retried_and_its_query_fails(drive):
    driver = drive(hedging_allowed=True, cancellation_allowed=True)
    send = of(driver.query(4, [0]), policy.Send)[0]
    actions = driver.end(send, policy.Outcome.ERROR)  # at once: no response is pending
    assert of(actions, policy.Send) == [] and of(actions, policy.Reject) == []
    assert of(actions, policy.Fail) == [policy.Fail("q1")]


def test_a_non_idempotent_part_that_never_ran_is_retried_at_another_replica(drive):
    driver = drive()
    send = of(driver.query(4, [0]), policy.Send)[0]
    retries = of(driver.end(send, policy.Outcome.UNREACHABLE), policy.Send)
    assert len(retries) == 1 and retries[0].node != send.node


def test_a_keyed_part_is_cancelled_and_sent_again_within_its_idempotency_window_only(drive):
    driver = drive(cancellation_allowed=True)
    send = of(driver.query(3, [0]), policy.Send)[0]
    actions = driver.wait(AIM // 2 + 10_000)
    assert of(actions, policy.Cancel) == [policy.Cancel(send.id, 0)]
    retries = of(actions, policy.Send)
    assert len(retries) == 1 and retries[0].node != send.node
    assert of(driver.wait(AIM), policy.Send) == []
    assert of(driver.end(retries[0], policy.Outcome.ERROR, seq=1), policy.Send) == []


def test_a_late_part_without_an_unsent_part_is_hedged_at_another_replica_where_allowed(drive):
    driver = drive(hedging_allowed=True, cancellation_allowed=True)
    send = of(driver.query(1, [0]), policy.Send)[0]
    actions = driver.wait(AIM // 2 + 10_000)
    hedges = of(actions, policy.Send)
    assert [hedge.id for hedge in hedges] == [send.id] and hedges[0].node != send.node
    assert of(actions, policy.Cancel) == []


def test_draining_and_removed_endpoints_receive_no_attempts(drive):
    driver = drive()
    driver.step(
        5000,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL,
            (entry(0, state=policy.EndpointState.DRAINING), entry(1, state=policy.EndpointState.GONE)),
        ),
    )
    for _ in range(9):
        for send in of(driver.query(1, [0]), policy.Send):
            assert send.node == "s2"
            driver.end(send)
    driver.step(
        5000, policy.EndpointUpdate(policy.UpdateKind.FULL, tuple(entry(index) for index in (0, 3, 4, 5)))
    )
    assert {send.node for send in of(driver.query(1, [0]), policy.Send)} == {"s0"}


def test_an_endpoint_in_slow_start_receives_only_this_aggregators_fraction_of_its_ramp(drive):
    driver = drive(aggregator_count=2)
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
        for send in of(driver.query(1, [0]), policy.Send):
            sent_count += send.node == "s0"
            driver.end(send, after_us=20_000, latency_us=20_000)
    # An endpoint answered 6.7 parts a second before; 2 aggregators x 0.2 to 0.27 of that is 2.7 to 3.6,
    # while an even third of this traffic would be 12.
    assert 1 <= sent_count <= 3


def test_removed_endpoints_do_not_raise_the_slow_start_capacity_of_the_others(drive):
    """The capacity of an endpoint in slow start is not measured by how few endpoints are left."""
    attempt_counts = []
    for removed in ((), (2, 3, 4, 5)):
        driver = drive()
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
        sends = [send for _ in range(4) for send in of(driver.query(1, [0] * 3), policy.Send)]
        attempt_counts.append(sum(send.node == "s0" for send in sends))
    assert attempt_counts[1] <= attempt_counts[0] + 1 <= 3


def test_many_small_aggregators_do_not_all_send_a_new_endpoint_its_first_attempt(drive):
    """The credit of each aggregator is far under one attempt, and that of all together is a few."""
    first_attempts = 0
    for seed in range(40):
        driver = drive(seed=seed)
        warm_up(driver, rounds=2)
        driver.wait(2 * AIM)
        driver.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.INCREMENTAL,
                tuple(entry(index, started_at_us=driver.now_us - 10_000) for index in (0, 1)),
            ),
        )
        first_attempts += sum(
            send.node != "s2" for _ in range(3) for send in of(driver.query(1, [0]), policy.Send)
        )
    assert first_attempts <= 30


def test_a_query_with_some_parts_missing_is_answered_as_partial(drive):
    driver = drive()
    sends = of(driver.query(5, [0, 1, 2]), policy.Send)
    assert len(sends) == 3
    driver.end(sends[0])
    driver.end(sends[1])
    answers = of(driver.wait(2 * AIM), policy.Answer)
    assert answers == [policy.Answer("q1", False)]


def test_a_query_under_its_minimum_fraction_is_rejected_and_never_answered(drive):
    driver = drive()
    sends = of(driver.query(5, [0, 1, 2]), policy.Send)
    driver.end(sends[0])
    actions = driver.wait(2 * AIM)
    assert of(actions, policy.Answer) == [] and len(of(actions, policy.Reject)) == 1


def test_a_first_step_is_answered_as_partial_early_enough_for_the_second_step(drive):
    """An answer to the first step a tick before the deadline would leave the query without a final reply."""
    driver = drive()
    sends = of(driver.query(6, [0, 1, 2, 3]), policy.Send)
    driver.end(sends[0], latency_us=100_000)
    driver.end(sends[1], latency_us=100_000)
    first_answers = of(driver.wait(AIM - 100_000), policy.Answer)
    assert first_answers == [policy.Answer("q1", False)]
    second = of(
        driver.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 0, 0.5)),
        policy.Send,
    )
    driver.end(second[0])
    assert of(driver.end(second[1]), policy.Answer) == [policy.Answer("q1", False)]


def test_where_clients_mark_retries_only_a_marked_query_is_taken_for_one(drive):
    """A short deadline alone does not make a query a retry."""
    for marks_retries, is_retry, objective_us in (
        (True, False, AIM),
        (True, True, AIM // 2),
        (False, False, AIM // 2),
    ):
        driver = drive(clients_mark_retries=marks_retries)
        driver.query(1, [0])
        driver.query(1, [0], timeout_us=AIM * 3 // 2, is_retry=is_retry)
        assert driver.aggregator.queries["q2"].objective_at_us == driver.now_us + objective_us


def test_the_expected_latency_of_a_query_grows_with_its_number_of_parts(drive):
    """The slowest of many parts is later than that of few: a percentile over all latencies hides it."""
    for parts, is_rejected in ((4, False), (60, True)):
        driver = drive(overload_multiple=0.0)
        for _ in range(15):
            for send in of(driver.query(1, [0]), policy.Send):
                driver.end(send, after_us=90_000, latency_us=300_000)
        assert (
            bool(of(driver.query(1, [number % 6 for number in range(parts)]), policy.Reject)) == is_rejected
        )


def answer_shard_0_slowly(driver, slow=("s0", "s1", "s2")):
    """Answer queries at a rate too low for in-flight counts; the replicas of shard 0 take 1.5 objectives."""
    for shards in ((3, 3, 3), *[(0, 3, 3)] * 4):
        for shard in shards:
            for send in of(driver.query(1, [shard]), policy.Send):
                driver.end(send, after_us=120_000, latency_us=1_500_000 if send.node in slow else 50_000)


def test_a_query_that_needs_a_slow_shard_is_rejected_and_others_are_admitted(drive):
    """The latencies of the shard decide, not a percentile over those of all shards."""
    driver = drive()
    answer_shard_0_slowly(driver)
    assert len(of(driver.query(1, [0, 3]), policy.Reject)) == 1
    assert (
        of(driver.query(1, [3]), policy.Reject) == []
        and of(driver.query(0, [0, 3, 3, 3]), policy.Reject) == []
    )


def test_an_endpoint_that_responds_seldom_is_judged_by_its_latest_responses(drive):
    """An average over a count of responses would span 25 s at this rate."""
    driver = drive(replica_groups=3, shards=3)
    warm_up(driver, shards=range(3), rounds=4)
    for latency_us in (20_000, 20_000, 400_000):
        driver.wait(2 * AIM)
        send = of(driver.query(1, [0]), policy.Send)[0]
        driver.end(send, after_us=latency_us, latency_us=latency_us)
    assert all(of(driver.query(1, [0]), policy.Send)[0].node != send.node for _ in range(2))


def test_responses_delayed_by_a_hang_do_not_cause_rejections_after_it(drive):
    """The latency of an attempt that was sent long ago is no evidence of the present one."""
    driver = drive(overload_multiple=0.0)
    for shard in [*range(6)] * 2:
        driver.end(of(driver.query(0, [shard]), policy.Send)[0], after_us=200_000, latency_us=50_000)
    delayed = [
        send
        for number in range(12)
        for send in of(driver.query(0, [number % 6], timeout_us=5 * AIM), policy.Send)
    ]
    driver.wait(3 * AIM)
    for send in delayed:
        driver.end(send, after_us=0, latency_us=3 * AIM)
    assert of(driver.query(0, [0, 1, 2, 3]), policy.Reject) == []


def test_retry_after_is_spread_by_jitter_up_to_a_small_maximum(drive):
    """Limited to the maximum only after the jitter, all clients would retry at the same instant."""
    retry_after_us = set()
    for seed in range(6):
        driver = drive(seed=seed, retry_advice_allowed=True, max_retry_after_us=300_000)
        driver.query(1, [0], timeout_us=AIM // 2)
        retry_after_us |= {reject.retry_after_us for reject in of(driver.wait(AIM // 2), policy.Reject)}
    assert len(retry_after_us) == 6 and max(retry_after_us) <= 300_000


def test_a_query_that_broke_a_connection_next_sends_a_part_of_another_shard(drive):
    """A query of death must not break both replicas of a shard that has two."""
    driver = drive(overload_multiple=0.0)
    warm_up(driver, rounds=2)
    # A crash is recent from here on.
    driver.end(of(driver.query(1, [5]), policy.Send)[0], policy.Outcome.BROKEN)
    first = of(driver.query(1, [0, 3]), policy.Send)
    assert len(first) == 1
    second = of(driver.end(first[0], policy.Outcome.BROKEN), policy.Send)
    assert len(second) == 1 and second[0].id != first[0].id
    more = of(driver.end(second[0]), policy.Send)
    assert [send.id for send in more] == [first[0].id]  # cleared by a response, the broken part is sent again


def test_one_fast_response_does_not_clear_the_relative_latency_of_a_slow_endpoint(drive):
    """The relative latency fades with time and is not replaced by a single sample."""
    driver = drive(overload_multiple=0.0)
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
        for candidate in of(driver.query(1, [0], after_us=0), policy.Send)
        if candidate.node == "s0"
    )
    driver.end(send, after_us=20_000, latency_us=20_000)
    assert endpoint.relative_latency.value - 1 > 0.8 * (before - 1) > 1


def test_an_expired_query_and_a_batch_after_a_stall_have_one_final_reply(drive):
    """After a stall all pending events arrive in one batch, some of them after the deadline."""
    driver = drive()
    warm_up(driver)
    actions = driver.query(1, [0, 1], timeout_us=-5_000)
    assert len(of(actions, policy.Reject)) == 1 and of(actions, policy.Send) == []
    sends = of(driver.query(1, [0, 1]), policy.Send)
    driver.now_us += 3 * AIM
    late = driver.step(
        0,
        *[policy.AttemptEnded(send.id, 0, send.node, policy.Outcome.OK, 3 * AIM) for send in sends],
        policy.ClientDisconnected(f"q{driver.query_count}"),
        policy.TimerFired("due"),
    )
    assert len(of(late, policy.Answer)) + len(of(late, policy.Reject)) <= 1
    assert driver.aggregator.queries == {} and len(of(driver.query(1, [0]), policy.Send)) == 1


def test_a_second_step_is_not_expected_to_take_as_long_as_a_first_step_of_many_parts(drive):
    """Large second steps must not cause the next query to be rejected."""
    driver = drive(overload_multiple=0.0)
    for _ in range(15):
        for send in of(driver.query(2, [0]), policy.Send):
            driver.end(send, after_us=90_000, latency_us=150_000)
    assert of(driver.query(2, [number % 6 for number in range(20)]), policy.Reject) == []


def test_a_two_step_query_has_one_final_reply_whenever_its_minimum_fraction_is_reached(drive):
    """Sixteen instants up to the deadline, for a short and a usual timeout."""
    for timeout_us in (AIM // 2, 2 * AIM):
        for pause_us in range(0, timeout_us, timeout_us // 16):
            driver = drive()
            sends = of(driver.query(6, [0, 1, 2, 3], timeout_us=timeout_us), policy.Send)
            driver.end(sends[0])
            actions = driver.wait(pause_us)
            actions += driver.end(sends[1]) if driver.now_us < 10_000_000 + timeout_us - 10_000 else []
            actions += driver.wait(10_000_000 + timeout_us + 15_000 - driver.now_us)
            assert len(of(actions, policy.Reject)) == 1 and len(of(actions, policy.Answer)) <= 1
            assert not isinstance(
                [action for action in actions if isinstance(action, policy.Answer | policy.Reject)][-1],
                policy.Answer,
            )


def test_a_second_step_requires_all_its_parts(drive):
    driver = drive()
    send = of(driver.query(2, [0]), policy.Send)[0]
    assert of(driver.end(send), policy.Answer) == [policy.Answer("q1", True)]
    second = of(
        driver.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 0, 0.5)),
        policy.Send,
    )
    assert len(second) == 2 and second[0].node != second[1].node
    assert of(driver.end(second[0]), policy.Answer) == []
    assert of(driver.end(second[1]), policy.Answer) == [policy.Answer("q1", True)]


def test_additional_attempts_stay_within_the_attempt_budget_of_the_settings(drive):
    driver = drive(
        attempt_budget_window_us=10 * AIM, free_additional_attempts=2, additional_attempt_ratio=0.0
    )
    retries = 0
    for _ in range(6):
        send = of(driver.query(1, [0]), policy.Send)[0]
        retries += len(of(driver.end(send, policy.Outcome.ERROR), policy.Send))
    assert retries == 2


def test_the_retry_budget_limits_retries_where_every_attempt_fails(drive):
    driver = drive()
    retries = 0
    for job in range(60):
        for send in of(driver.query(1, [job % 6]), policy.Send):
            retries += len(of(driver.end(send, policy.Outcome.ERROR), policy.Send))
    assert 0 < retries <= 16


def test_an_endpoint_that_fails_fast_does_not_attract_more_attempts(drive):
    driver = drive()
    warm_up(driver, rounds=3)
    attempt_count = 0
    for _ in range(20):
        for send in of(driver.query(1, [0]), policy.Send):
            attempt_count += send.node == "s0"
            driver.end(
                send, policy.Outcome.ERROR if send.node == "s0" else policy.Outcome.OK, latency_us=20_000
            )
    assert attempt_count <= 4


def test_errors_of_one_query_class_eject_an_endpoint_for_that_class_alone(drive):
    single = drive(endpoint_count=1, replica_groups=1, groups_per_shard=1, shards=1)
    several = drive()
    for driver in (single, several):
        for _ in range(3):
            for send in of(driver.query(1, [0]), policy.Send):
                driver.end(send, policy.Outcome.ERROR)
    # The only replica of a shard serves it even while it is ejected.
    assert [send.node for send in of(single.query(1, [0]), policy.Send)] == ["s0"]
    ejected_classes = {
        endpoint.node: set(endpoint.ejections)
        for endpoint in several.aggregator.endpoints.values()
        if endpoint.ejections
    }
    assert all(classes == {1} for classes in ejected_classes.values())


def test_an_endpoint_without_responses_is_ejected_probed_and_gets_one_half_open_trial(drive):
    driver = drive(probing_allowed=True)
    warm_up(driver)
    actions = []
    attempt_count = 0
    pending = []
    end_us = driver.now_us + 6 * AIM
    while driver.now_us < end_us:
        for attempt, sent_at_us in pending[:]:
            if driver.now_us > sent_at_us + 2 * AIM:
                pending.remove((attempt, sent_at_us))
                actions += driver.end(attempt, policy.Outcome.TIMED_OUT, latency_us=2 * AIM)
        for send in of(driver.query(1, [0]), policy.Send):
            if send.node == "s0":
                attempt_count += 1
                pending.append((send, driver.now_us))
            else:
                actions += driver.end(send, after_us=20_000, latency_us=20_000)
        actions += driver.wait(100_000)
    assert attempt_count <= 4
    assert "s0" in {probe.node for probe in of(actions, policy.Probe)}
    driver.step(5000, policy.ProbeEnded("s0", policy.Outcome.OK))
    nodes = [of(driver.query(1, [0]), policy.Send)[0].node for _ in range(3)]
    assert nodes.count("s0") == 1


def test_overload_sheds_the_class_of_least_priority_weight_first(drive):
    classes = (
        policy.QueryClass("dear", AIM, 2 * AIM, priority_weight=4.0),
        policy.QueryClass("cheap", AIM, 2 * AIM, priority_weight=1.0),
    )
    driver = drive(classes=classes, weight_by_work=True)
    rejected = {0: 0, 1: 0}
    in_flight = []
    for turn in range(600):
        query_class = turn % 2
        actions = driver.query(query_class, [turn % 6], after_us=5000)
        rejected[query_class] += len(of(actions, policy.Reject))
        in_flight += of(actions, policy.Send)
        if turn % 4 == 3 and in_flight:
            driver.end(in_flight.pop(0), latency_us=400_000)
    assert rejected[1] > 1.5 * rejected[0]
    assert rejected[1] > 20


def test_poll_mode_watches_endpoints_and_polls_again_after_each_failure(drive):
    driver = drive(poll_mode=True, poll_within_us=10 * AIM)
    assert len(of(driver.initial_actions, policy.WatchEndpoints)) == 1
    for _ in range(6):
        driver.step(5000, policy.EndpointUpdate(policy.UpdateKind.FAILED))
        assert len(of(driver.wait(5 * AIM), policy.WatchEndpoints)) == 1
    watching = drive()
    assert of(watching.initial_actions, policy.WatchEndpoints) == []


def test_events_of_unknown_parts_queries_and_endpoints_are_ignored(drive):
    driver = drive()
    assert (
        driver.step(
            5000,
            policy.AttemptEnded("none", 0, "s0", policy.Outcome.OK),
            policy.ClientDisconnected("none"),
            policy.ProbeEnded("none", policy.Outcome.OK),
            policy.TimerFired("old"),
            policy.PartArrived("p", 99, 0, 1.0),
        )
        == []
    )


def test_parts_of_one_call_count_as_one_in_the_load_of_an_endpoint(drive):
    driver = drive(endpoint_count=1, replica_groups=1, groups_per_shard=1, shards=1, parts_per_call=4)
    driver.query(1, [0, 0, 0, 0])
    assert driver.aggregator.load.load(driver.aggregator.endpoints["s0"]) == 1


def test_a_query_with_a_partial_first_step_goes_on_and_is_never_marked_complete(drive):
    driver = drive()
    sends = of(driver.query(6, [0, 1, 2, 3]), policy.Send)
    driver.end(sends[0])
    driver.end(sends[1])
    assert of(driver.wait(AIM * 4 // 5), policy.Answer) == [policy.Answer("q1", False)]
    more = of(
        driver.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 1, 0.5)),
        policy.Send,
    )
    driver.end(more[0])
    assert of(driver.end(more[1]), policy.Answer) == [policy.Answer("q1", False)]


def test_a_poll_of_discovery_without_an_update_is_repeated(drive):
    driver = drive(poll_mode=True, poll_within_us=10 * AIM)
    assert len(of(driver.wait(5 * AIM), policy.WatchEndpoints)) == 1
    driver.step(5000, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert of(driver.wait(20 * AIM), policy.WatchEndpoints) == []


def test_a_tenant_over_its_quota_is_shed_first(drive):
    driver = drive(
        tenants=(policy.Tenant("in", 1000.0), policy.Tenant("over", 1.0)),
        over_quota_weight=0.1,
        weight_by_work=True,
    )
    rejected = {0: 0, 1: 0}
    in_flight = []
    for turn in range(400):
        actions = driver.query(0, [turn % 6], tenant=turn % 2)
        rejected[turn % 2] += len(of(actions, policy.Reject))
        in_flight += of(actions, policy.Send)
        if turn % 4 == 3 and in_flight:
            driver.end(in_flight.pop(0), latency_us=400_000)
    assert rejected[1] > 2 * rejected[0]


def test_a_retry_with_a_shortened_timeout_has_its_objective_from_the_first_attempt_of_its_client(drive):
    driver = drive()
    driver.query(1, [0], timeout_us=2 * AIM)
    driver.query(1, [1], timeout_us=AIM + AIM // 2)
    driver.query(1, [2], timeout_us=AIM // 2)
    objectives_us = [
        query.objective_at_us - query.admitted_at_us for query in driver.aggregator.queries.values()
    ]
    assert objectives_us == [AIM, AIM // 2, -AIM // 2]


def test_an_aggregator_with_few_parts_in_flight_sheds_by_recent_latencies(drive):
    """Overload that in-flight counts do not show: few parts at each endpoint, all of them slow."""
    rejected = {}
    for latency_us in (40_000, 900_000):
        driver = drive(seed=3, replica_groups=60, shards=60)
        in_flight = []
        count = 0
        for turn in range(200):
            actions = driver.query(1, [turn % 6, (turn + 3) % 6], after_us=100_000)
            count += len(of(actions, policy.Reject))
            in_flight += [(send, driver.now_us) for send in of(actions, policy.Send)]
            while in_flight and driver.now_us >= in_flight[0][1] + latency_us:
                driver.end(in_flight.pop(0)[0], latency_us=latency_us)
        rejected[latency_us] = count
    assert rejected[40_000] == 0 and rejected[900_000] > 20


def test_one_large_work_hint_does_not_dominate_the_mean_latency(drive):
    """The mean latency is a mean over responses, not a rate for each unit of hinted work."""
    driver = drive()
    for job in range(30):
        work_hint_us = 1_000 if job % 10 == 0 else 100_000
        driver.query_count += 1
        name = f"q{driver.query_count}"
        sends = of(
            driver.step(
                5000,
                policy.QueryArrived(name, driver.query_count, 1, driver.now_us + 2 * AIM, 1),
                policy.PartArrived(name + "/0", driver.query_count, job % 6, 1.0, work_hint_us=work_hint_us),
            ),
            policy.Send,
        )
        driver.end(sends[0], after_us=100_000, latency_us=100_000)
    assert 90_000 <= driver.aggregator.mean_latency_us[1].value <= 110_000


def test_a_query_of_death_is_held_then_abandoned_and_a_response_clears_it(drive):
    """A query whose parts crash the endpoints that run them must not reach all endpoints of the fleet."""
    driver = drive()
    sends = of(driver.query(1, [0, 2, 4]), policy.Send)
    assert len(sends) == 3
    assert of(driver.end(sends[0], policy.Outcome.BROKEN), policy.Send) == []
    assert of(driver.end(sends[1], policy.Outcome.BROKEN), policy.Send) == []
    assert of(driver.end(sends[2], policy.Outcome.BROKEN), policy.Reject) == [
        policy.Reject("q1", reason=policy.EndReason.QUERY_OF_DEATH)
    ]
    cleared = drive()
    sends = of(cleared.query(1, [0, 2, 4]), policy.Send)
    assert of(cleared.end(sends[0], policy.Outcome.BROKEN), policy.Send) == []
    assert [send.id for send in of(cleared.end(sends[1]), policy.Send)] == [sends[0].id]


def test_after_a_crash_one_part_is_sent_as_a_canary_and_the_others_once_it_is_answered(drive):
    """A query of death then breaks one endpoint, not as many as it has parts."""
    driver = drive()
    driver.end(of(driver.query(1, [0]), policy.Send)[0], policy.Outcome.BROKEN)
    first = of(driver.query(0, [1, 2, 3, 4]), policy.Send)
    assert len(first) == 1
    assert len(of(driver.end(first[0]), policy.Send)) == 2
    driver.wait(6 * AIM)
    assert len(of(driver.query(0, [1, 2, 3, 4]), policy.Send)) == 3


def test_a_query_for_a_shard_with_slow_busy_replicas_is_rejected_while_others_are_admitted(drive):
    """The other replicas of the shard are gone, so the last one holds up every query that needs it."""
    driver = drive()
    driver.step(
        0,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL,
            tuple(entry(index, state=policy.EndpointState.GONE) for index in (1, 2)),
        ),
    )
    warm_up(driver, shards=[3], rounds=40)
    for _ in range(15):
        for send in of(driver.query(1, [0]), policy.Send):
            driver.end(send, latency_us=900_000)
    for shard in (3, 3, 3, 3, 0, 0):
        driver.query(1, [shard])
    assert len(of(driver.query(1, [0, 3]), policy.Reject)) == 1
    assert len(of(driver.query(1, [3]), policy.Send)) == 1


def test_attempts_of_a_disconnected_client_are_cancelled(drive):
    """Endpoints must not work for a client that disconnected long before its deadline."""
    driver = drive(cancellation_allowed=True)
    sends = of(driver.query(1, [0, 1]), policy.Send)
    driver.step(200_000)
    actions = driver.step(5000, policy.ClientDisconnected("q1"))
    assert {cancel.id for cancel in of(actions, policy.Cancel)} == {send.id for send in sends}


def test_a_late_part_is_cancelled_only_where_a_later_attempt_at_its_endpoint_was_answered_first(drive):
    """An endpoint that answers in order still has the part in its queue; one that does not has lost it."""
    for overtaken in (False, True):
        driver = drive(cancellation_allowed=True, endpoint_count=6)
        early = of(driver.query(1, [0, 0, 0]), policy.Send)
        sends = of(driver.query(1, [0, 0, 0]), policy.Send)
        later = next(send for send in sends if send.node == early[0].node)
        unanswered = early[0] if overtaken else later
        answered = later if overtaken else early[0]
        actions = driver.wait(AIM // 4)
        actions += driver.end(answered, latency_us=AIM // 4)
        actions += driver.wait(AIM // 4 + 20_000)
        assert (unanswered.id in {cancel.id for cancel in of(actions, policy.Cancel)}) == overtaken
