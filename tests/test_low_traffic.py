"""Aggregators that rarely send to each endpoint: a sample must count until the next one."""

from heathwell import benchlink, policy

from .conftest import OBJECTIVE_US, AggregatorDriver, actions_of_type, make_settings

ENDPOINT_COUNT = 60


def low_traffic_driver() -> AggregatorDriver:
    """Return a driver with 60 healthy endpoints and four responses in total per latency objective."""
    driver = AggregatorDriver(
        make_settings(shards=ENDPOINT_COUNT, replica_groups=ENDPOINT_COUNT, slow_start_duration_us=60_000_000)
    )
    for number in range(40):
        for send in actions_of_type(
            driver.query(1, [number % ENDPOINT_COUNT], after_us=OBJECTIVE_US // 4), policy.Send
        ):
            driver.end(send)
    return driver


def endpoint_serving(driver: AggregatorDriver, shard: int, after: int) -> str:
    """Send a query for one shard; return the endpoint that its part is sent to, which responds at once."""
    (send,) = actions_of_type(driver.query(1, [shard], after_us=after), policy.Send)
    driver.end(send)
    return send.node


def reject_parts(driver: AggregatorDriver, node: str, times: int) -> list[str]:
    """Reject `times` parts at one endpoint and answer all others; return the operator log lines."""
    lines: list[str] = []
    while times:
        for send in actions_of_type(driver.query(1, [int(node[1:])], after_us=10_000), policy.Send):
            is_rejected = send.node == node
            times -= is_rejected
            actions = driver.end(send, policy.Outcome.REJECTED if is_rejected else policy.Outcome.OK)
            lines += [
                benchlink.journal_text(event) for event in actions_of_type(actions, policy.OperatorEvent)
            ]
            for retry in actions_of_type(actions, policy.Send):
                driver.end(retry, seq=1)
    return lines


def test_an_endpoint_that_rejects_everything_is_ejected_until_its_next_attempt_would_be_due():
    driver = low_traffic_driver()
    assert reject_parts(driver, "s7", 2) == ["server s7 ejected: turns away all that comes"]
    for after in (
        10_000,
        OBJECTIVE_US,
        OBJECTIVE_US,
        OBJECTIVE_US,
        OBJECTIVE_US,
    ):  # longer than one latency objective
        assert endpoint_serving(driver, 7, after) != "s7"


def test_an_endpoint_that_rejects_once_between_responses_is_not_ejected():
    driver = low_traffic_driver()
    for _ in range(3):
        reject_parts(driver, "s7", 1)
        driver.aggregator.endpoints["s7"].penalty.value = 0.0
        while endpoint_serving(driver, 7, OBJECTIVE_US) != "s7":
            pass
    assert not driver.aggregator.endpoints["s7"].ejections


def test_where_most_endpoints_reject_no_more_than_the_maximum_fraction_is_ejected():
    driver = low_traffic_driver()
    for number in range(0, ENDPOINT_COUNT, 2):
        reject_parts(driver, f"s{number}", 2)
    ejected = [endpoint for endpoint in driver.aggregator.endpoints.values() if endpoint.ejections]
    assert len(ejected) == 0.4 * ENDPOINT_COUNT


def test_a_slow_response_still_counts_at_the_next_attempt():
    driver = low_traffic_driver()
    while (send := actions_of_type(driver.query(1, [7], after_us=10_000), policy.Send)[0]).node != "s7":
        driver.end(send)
    driver.end(send, latency_us=8 * OBJECTIVE_US // 10)
    driver.wait(16 * OBJECTIVE_US)  # such an aggregator sends to it about every 15 objectives
    assert driver.aggregator.latency.relative_latency(driver.aggregator.endpoints["s7"]) > 2
    assert "s7" not in {endpoint_serving(driver, 7, 5_000) for _ in range(6)}


def test_an_aggregator_with_frequent_samples_has_a_memory_of_one_latency_objective():
    driver = AggregatorDriver(make_settings())
    for number in range(400):
        for send in actions_of_type(driver.query(1, [number % 6], after_us=5_000), policy.Send):
            driver.end(send)
    assert driver.aggregator.latency.memory_us(1.0) == OBJECTIVE_US


def exhaust_retry_budget(driver: AggregatorDriver) -> None:
    """Spend all tokens of the local retry budget."""
    driver.aggregator.retry_budget.bucket.tokens = 0.0


def test_a_part_that_reached_no_endpoint_is_retried_without_retry_budget():
    driver = low_traffic_driver()
    exhaust_retry_budget(driver)
    (send,) = actions_of_type(driver.query(1, [7]), policy.Send)
    (retry,) = actions_of_type(driver.end(send, policy.Outcome.UNREACHABLE), policy.Send)
    assert retry.node != send.node and driver.aggregator.retry_budget.bucket.tokens >= 0


def test_a_part_without_retry_budget_waits_for_it_while_its_query_can_meet_its_objective():
    """If the query were abandoned at once, the client would retry all its parts."""
    driver = low_traffic_driver()
    exhaust_retry_budget(driver)
    sends = actions_of_type(driver.query(1, [7, 17, 27]), policy.Send)
    actions = driver.end(sends[0], policy.Outcome.REJECTED)
    assert not actions_of_type(actions, policy.Reject) and not actions_of_type(actions, policy.Send)
    driver.aggregator.retry_budget.bucket.tokens = 1.0  # earned by first attempts of other queries
    retries = actions_of_type(driver.wait(OBJECTIVE_US // 10), policy.Send)
    assert [retry.id for retry in retries] == [sends[0].id]


def test_a_part_without_retry_budget_is_abandoned_where_its_objective_is_out_of_reach():
    driver = low_traffic_driver()
    exhaust_retry_budget(driver)
    sends = actions_of_type(driver.query(1, [7, 17, 27]), policy.Send)
    driver.wait(int(0.92 * OBJECTIVE_US))
    exhaust_retry_budget(driver)
    assert actions_of_type(driver.end(sends[0], policy.Outcome.REJECTED), policy.Reject)


def test_a_penalty_decays_by_the_objective_where_each_endpoint_responds_within_one():
    """If the penalty decayed over three intervals between attempts, as samples do at low traffic, healthy
    endpoints would be avoided for three objectives after a cancelled attempt.
    """
    driver = AggregatorDriver(make_settings(shards=6, replica_groups=6, slow_start_duration_us=60_000_000))
    for number in range(60):
        for send in actions_of_type(driver.query(1, [number % 6], after_us=OBJECTIVE_US // 8), policy.Send):
            driver.end(send)
    endpoint = driver.aggregator.endpoints["s1"]
    driver.aggregator.load.add_penalty(endpoint)
    initial_penalty = driver.aggregator.load.penalty(endpoint)
    driver.aggregator.context.now_us += OBJECTIVE_US
    assert driver.aggregator.load.penalty(endpoint) <= 0.37 * initial_penalty
