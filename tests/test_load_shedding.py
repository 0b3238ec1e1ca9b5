"""Load shedding: which queries are rejected, by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type, entry, warm_up


def answer_shard_0_slowly(driver, slow=("s0", "s1", "s2")):
    """Answer queries at a rate too low to show in in-flight counts; shard 0 takes 1.5 objectives."""
    for shards in ((3, 3, 3), *[(0, 3, 3)] * 4):
        for shard in shards:
            for send in actions_of_type(driver.query(1, [shard]), policy.Send):
                driver.end(send, after_us=120_000, latency_us=1_500_000 if send.node in slow else 50_000)


def test_where_clients_mark_retries_only_a_marked_query_is_taken_for_one(make_driver):
    """A short deadline alone must not mark a query as a retry if clients mark their retries."""
    for marks_retries, is_retry, objective_us in (
        (True, False, OBJECTIVE_US),
        (True, True, OBJECTIVE_US // 2),
        (False, False, OBJECTIVE_US // 2),
    ):
        driver = make_driver(clients_mark_retries=marks_retries)
        driver.query(1, [0])
        driver.query(1, [0], timeout_us=OBJECTIVE_US * 3 // 2, is_retry=is_retry)
        assert driver.aggregator.queries["q2"].objective_at_us == driver.now_us + objective_us


def test_the_expected_latency_of_a_query_grows_with_its_number_of_parts(make_driver):
    """The slowest of many parts is slower than that of few, which a percentile of all latencies hides."""
    for parts, is_rejected in ((4, False), (60, True)):
        driver = make_driver(overload_multiple=0.0)
        for _ in range(15):
            for send in actions_of_type(driver.query(1, [0]), policy.Send):
                driver.end(send, after_us=90_000, latency_us=300_000)
        assert (
            bool(actions_of_type(driver.query(1, [number % 6 for number in range(parts)]), policy.Reject))
            == is_rejected
        )


def test_a_query_that_needs_a_slow_shard_is_rejected_and_others_are_admitted(make_driver):
    """The latencies of the shard decide, and not a percentile of those of all shards."""
    driver = make_driver()
    answer_shard_0_slowly(driver)
    assert len(actions_of_type(driver.query(1, [0, 3]), policy.Reject)) == 1
    assert (
        actions_of_type(driver.query(1, [3]), policy.Reject) == []
        and actions_of_type(driver.query(0, [0, 3, 3, 3]), policy.Reject) == []
    )


def test_an_endpoint_that_responds_seldom_is_judged_by_its_latest_responses(make_driver):
    """At this rate, an average over a fixed number of responses would span 25 s."""
    driver = make_driver(replica_groups=3, shards=3)
    warm_up(driver, shards=range(3), rounds=4)
    for latency_us in (20_000, 20_000, 400_000):
        driver.wait(2 * OBJECTIVE_US)
        send = actions_of_type(driver.query(1, [0]), policy.Send)[0]
        driver.end(send, after_us=latency_us, latency_us=latency_us)
    assert all(actions_of_type(driver.query(1, [0]), policy.Send)[0].node != send.node for _ in range(2))


def test_responses_delayed_by_a_hang_do_not_cause_rejections_after_it(make_driver):
    """The latency of an attempt sent long ago must not count as a recent one."""
    driver = make_driver(overload_multiple=0.0)
    for shard in [*range(6)] * 2:
        driver.end(
            actions_of_type(driver.query(0, [shard]), policy.Send)[0], after_us=200_000, latency_us=50_000
        )
    delayed = [
        send
        for number in range(12)
        for send in actions_of_type(driver.query(0, [number % 6], timeout_us=5 * OBJECTIVE_US), policy.Send)
    ]
    driver.wait(3 * OBJECTIVE_US)
    for send in delayed:
        driver.end(send, after_us=0, latency_us=3 * OBJECTIVE_US)
    assert actions_of_type(driver.query(0, [0, 1, 2, 3]), policy.Reject) == []


def test_retry_after_is_spread_by_jitter_up_to_a_small_maximum(make_driver):
    """If the maximum were applied after the jitter, all clients would retry at the same instant."""
    retry_after_us = set()
    for seed in range(6):
        driver = make_driver(seed=seed, retry_advice_allowed=True, max_retry_after_us=300_000)
        driver.query(1, [0], timeout_us=OBJECTIVE_US // 2)
        retry_after_us |= {
            reject.retry_after_us for reject in actions_of_type(driver.wait(OBJECTIVE_US // 2), policy.Reject)
        }
    assert len(retry_after_us) == 6 and max(retry_after_us) <= 300_000


def test_a_second_step_is_not_expected_to_take_as_long_as_a_first_step_of_many_parts(make_driver):
    """Otherwise a query that could meet its objective would be rejected for its second step."""
    driver = make_driver(overload_multiple=0.0)
    for _ in range(15):
        for send in actions_of_type(driver.query(2, [0]), policy.Send):
            driver.end(send, after_us=90_000, latency_us=150_000)
    assert actions_of_type(driver.query(2, [number % 6 for number in range(20)]), policy.Reject) == []


def test_overload_sheds_the_class_of_least_priority_weight_first(make_driver):
    classes = (
        policy.QueryClass("high", OBJECTIVE_US, 2 * OBJECTIVE_US, priority_weight=4.0),
        policy.QueryClass("low", OBJECTIVE_US, 2 * OBJECTIVE_US, priority_weight=1.0),
    )
    driver = make_driver(classes=classes, priority_scales_with_work=True)
    rejected = {0: 0, 1: 0}
    in_flight = []
    for turn in range(600):
        query_class = turn % 2
        actions = driver.query(query_class, [turn % 6], after_us=5000)
        rejected[query_class] += len(actions_of_type(actions, policy.Reject))
        in_flight += actions_of_type(actions, policy.Send)
        if turn % 4 == 3 and in_flight:
            driver.end(in_flight.pop(0), latency_us=400_000)
    assert rejected[1] > 1.5 * rejected[0]
    assert rejected[1] > 20


def test_a_tenant_over_its_quota_is_shed_first(make_driver):
    driver = make_driver(
        tenants=(policy.Tenant("within", 1000.0), policy.Tenant("over", 1.0)),
        over_quota_weight=0.1,
        priority_scales_with_work=True,
    )
    rejected = {0: 0, 1: 0}
    in_flight = []
    for turn in range(400):
        actions = driver.query(0, [turn % 6], tenant=turn % 2)
        rejected[turn % 2] += len(actions_of_type(actions, policy.Reject))
        in_flight += actions_of_type(actions, policy.Send)
        if turn % 4 == 3 and in_flight:
            driver.end(in_flight.pop(0), latency_us=400_000)
    assert rejected[1] > 2 * rejected[0]


def test_a_retry_with_a_shortened_timeout_has_its_objective_from_the_first_attempt_of_its_client(make_driver):
    driver = make_driver()
    driver.query(1, [0], timeout_us=2 * OBJECTIVE_US)
    driver.query(1, [1], timeout_us=OBJECTIVE_US + OBJECTIVE_US // 2)
    driver.query(1, [2], timeout_us=OBJECTIVE_US // 2)
    objectives_us = [
        query.objective_at_us - query.admitted_at_us for query in driver.aggregator.queries.values()
    ]
    assert objectives_us == [OBJECTIVE_US, OBJECTIVE_US // 2, -OBJECTIVE_US // 2]


def test_an_aggregator_with_few_parts_in_flight_sheds_by_recent_latencies(make_driver):
    """Few but slow parts at each endpoint are overload that in-flight counts don't show."""
    rejected = {}
    for latency_us in (40_000, 900_000):
        driver = make_driver(seed=3, replica_groups=60, shards=60)
        in_flight = []
        count = 0
        for turn in range(200):
            actions = driver.query(1, [turn % 6, (turn + 3) % 6], after_us=100_000)
            count += len(actions_of_type(actions, policy.Reject))
            in_flight += [(send, driver.now_us) for send in actions_of_type(actions, policy.Send)]
            while in_flight and driver.now_us >= in_flight[0][1] + latency_us:
                driver.end(in_flight.pop(0)[0], latency_us=latency_us)
        rejected[latency_us] = count
    assert rejected[40_000] == 0 and rejected[900_000] > 20


def test_a_query_for_a_shard_with_slow_busy_replicas_is_rejected_while_others_are_admitted(make_driver):
    """The other replicas of the shard are gone, so the last one delays every query that needs it."""
    driver = make_driver()
    driver.step(
        0,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL,
            tuple(entry(index, state=policy.EndpointState.GONE) for index in (1, 2)),
        ),
    )
    warm_up(driver, shards=[3], rounds=40)
    for _ in range(15):
        for send in actions_of_type(driver.query(1, [0]), policy.Send):
            driver.end(send, latency_us=900_000)
    for shard in (3, 3, 3, 3, 0, 0):
        driver.query(1, [shard])
    assert len(actions_of_type(driver.query(1, [0, 3]), policy.Reject)) == 1
    assert len(actions_of_type(driver.query(1, [3]), policy.Send)) == 1


def test_one_large_work_hint_does_not_dominate_the_mean_latency(make_driver):
    """The mean latency is a mean of responses and not of latencies per unit of hinted work."""
    driver = make_driver()
    for job in range(30):
        work_hint_us = 1_000 if job % 10 == 0 else 100_000
        driver.query_count += 1
        name = f"q{driver.query_count}"
        sends = actions_of_type(
            driver.step(
                5000,
                policy.QueryArrived(name, driver.query_count, 1, driver.now_us + 2 * OBJECTIVE_US, 1),
                policy.PartArrived(name + "/0", driver.query_count, job % 6, 1.0, work_hint_us=work_hint_us),
            ),
            policy.Send,
        )
        driver.end(sends[0], after_us=100_000, latency_us=100_000)
    assert 90_000 <= driver.aggregator.mean_latency_us[1].value <= 110_000
