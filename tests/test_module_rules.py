"""Discovery polls, shared calls and unknown ids, tested by the actions that events cause."""

from __future__ import annotations

from heathwell import policy

from .conftest import OBJECTIVE_US, actions_of_type


def test_poll_mode_watches_endpoints_and_polls_again_after_each_failure(make_driver):
    driver = make_driver(poll_mode=True, max_poll_interval_us=10 * OBJECTIVE_US)
    assert len(actions_of_type(driver.initial_actions, policy.WatchEndpoints)) == 1
    for _ in range(6):
        driver.step(5000, policy.EndpointUpdate(policy.UpdateKind.FAILED))
        assert len(actions_of_type(driver.wait(5 * OBJECTIVE_US), policy.WatchEndpoints)) == 1
    watching = make_driver()
    assert actions_of_type(watching.initial_actions, policy.WatchEndpoints) == []


def test_events_of_unknown_parts_queries_and_endpoints_are_ignored(make_driver):
    driver = make_driver()
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


def test_parts_of_one_call_count_as_one_in_the_load_of_an_endpoint(make_driver):
    driver = make_driver(endpoint_count=1, replica_groups=1, groups_per_shard=1, shards=1, parts_per_call=4)
    driver.query(1, [0, 0, 0, 0])
    assert driver.aggregator.load.load(driver.aggregator.endpoints["s0"]) == 1


def test_a_poll_of_discovery_without_an_update_is_repeated(make_driver):
    driver = make_driver(poll_mode=True, max_poll_interval_us=10 * OBJECTIVE_US)
    assert len(actions_of_type(driver.wait(5 * OBJECTIVE_US), policy.WatchEndpoints)) == 1
    driver.step(5000, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert actions_of_type(driver.wait(20 * OBJECTIVE_US), policy.WatchEndpoints) == []
