"""Shared settings and a driver for one aggregator; endpoints are not modelled."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import pytest
from hypothesis import settings as hypothesis_settings

from heathwell import Aggregator, Settings, policy

hypothesis_settings.register_profile(
    "deterministic", derandomize=True, deadline=None, max_examples=150, database=None
)
hypothesis_settings.load_profile("deterministic")

pytest_plugins = ["tests.known_red"]

OBJECTIVE_US = 1_000_000
"""Latency objective of all query classes, in microseconds; their timeout is twice as long."""
TICK_US: Final = 5_000
START_US: Final = 10_000_000
QUERY_CLASSES: Final = (
    policy.QueryClass(
        "sample",
        OBJECTIVE_US,
        2 * OBJECTIVE_US,
        required_fraction=0.75,
        minimum_fraction=0.75,
        late_weight=0.3,
    ),
    policy.QueryClass("all", OBJECTIVE_US, 2 * OBJECTIVE_US, late_weight=0.3),
    policy.QueryClass("two", OBJECTIVE_US, 2 * OBJECTIVE_US, second_step_parts=2),
    policy.QueryClass(
        "keyed",
        OBJECTIVE_US,
        2 * OBJECTIVE_US,
        idempotency=policy.Idempotency.KEYED,
        idempotency_window_us=700_000,
    ),
    policy.QueryClass(
        "unsafe", OBJECTIVE_US, 2 * OBJECTIVE_US, idempotency=policy.Idempotency.NON_IDEMPOTENT
    ),
    policy.QueryClass(
        "partial",
        OBJECTIVE_US,
        2 * OBJECTIVE_US,
        required_fraction=1.0,
        minimum_fraction=0.5,
        partial_weight=0.9,
    ),
    policy.QueryClass(
        "both",
        OBJECTIVE_US,
        2 * OBJECTIVE_US,
        required_fraction=0.8,
        minimum_fraction=0.4,
        second_step_parts=2,
        partial_weight=0.9,
    ),
)
"""Query classes of `make_settings`; tests refer to them by index.

Class 0 requires three quarters of its parts, class 1 all of them. Class 2 has a second step of two parts.
Class 3 is keyed, class 4 not idempotent. Classes 5 and 6 allow partial answers; class 6 has a second step.
"""


def make_settings(**changes: object) -> Settings:
    """Return settings with six shards, each on three of six replica groups, with `changes` applied."""
    values: dict[str, Any] = {
        "classes": QUERY_CLASSES,
        "shards": 6,
        "replica_groups": 6,
        "groups_per_shard": 3,
        "tick_us": TICK_US,
        "max_attempts": 3,
        "overload_multiple": 2.0,
        "overload_after_us": 1_000_000,
        "slow_start_capacity": 0.2,
        "slow_start_duration_us": 10_000_000,
        "drain_grace_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)


def entry(
    index: int,
    state: policy.EndpointState = policy.EndpointState.LIVE,
    started_at_us: int | None = None,
) -> policy.EndpointEntry:
    """Return the entry of endpoint `s<index>` in replica group `index` of the endpoint list."""
    return policy.EndpointEntry(f"s{index}", index, state, started_at_us)


class AggregatorDriver:
    """Passes events to one aggregator, on its own clock, and returns the actions.

    The constructor passes a full list of `endpoint_count` endpoints, one in each replica group;
    `initial_actions` are the actions that this caused.
    """

    def __init__(self, config: Settings, seed: int = 1, endpoint_count: int | None = None) -> None:
        self.aggregator = Aggregator(config, seed)
        self.config = config
        self.now_us = START_US
        self.query_count = 0
        count = config.replica_groups if endpoint_count is None else endpoint_count
        self.initial_actions = self.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.FULL, tuple(entry(index) for index in range(count)), requested=False
            ),
        )

    def step(self, after_us: int, *events: policy.Event) -> list[policy.Action]:
        """Handle one batch of events, `after_us` microseconds later."""
        self.now_us += after_us
        return self.aggregator.handle(self.now_us, list(events))

    def query(
        self,
        query_class: int,
        shards: list[int],
        timeout_us: int = 2 * OBJECTIVE_US,
        after_us: int = TICK_US,
        *,
        tenant: int = 0,
        is_retry: bool = False,
    ) -> list[policy.Action]:
        """Send a query with one part for each shard; the ids are `q<job>` and `q<job>/<index>`."""
        self.query_count += 1
        name = f"q{self.query_count}"
        self.now_us += after_us
        deadline_us = self.now_us + timeout_us
        events: list[policy.Event] = [
            policy.QueryArrived(
                name,
                self.query_count,
                query_class,
                deadline_us,
                len(shards),
                tenant=tenant,
                is_retry=is_retry,
            )
        ]
        events += [
            policy.PartArrived(f"{name}/{number}", self.query_count, shard, 1 / len(shards))
            for number, shard in enumerate(shards)
        ]
        return self.step(0, *events)

    def end(
        self,
        send: policy.Send,
        outcome: str = policy.Outcome.OK,
        after_us: int = TICK_US,
        seq: int = 0,
        latency_us: int = 80_000,
    ) -> list[policy.Action]:
        """End one attempt `after_us` later with an outcome and a reported latency of `latency_us`."""
        return self.step(after_us, policy.AttemptEnded(send.id, seq, send.node, outcome, latency_us))

    def wait(self, duration_us: int) -> list[policy.Action]:
        """Advance the clock tick by tick with a due timer at each; return the actions of all ticks."""
        actions: list[policy.Action] = []
        for _ in range(duration_us // TICK_US):
            actions += self.step(TICK_US, policy.TimerFired("due"))
        return actions


def actions_of_type(actions: list[policy.Action], kind: type) -> list[Any]:
    """Return the actions of one type, in order."""
    return [action for action in actions if isinstance(action, kind)]


def warm_up(driver, shards=range(6), rounds=20):
    """Answer `rounds` queries for each shard, so that mean latencies and completion rates have samples."""
    for _ in range(rounds):
        for shard in shards:
            for send in actions_of_type(driver.query(1, [shard]), policy.Send):
                driver.end(send, after_us=20_000, latency_us=20_000)


@pytest.fixture
def make_driver() -> Callable[..., AggregatorDriver]:
    """Return a function that builds a driver on the settings of `make_settings` with changes."""

    def build(seed: int = 1, endpoint_count: int | None = None, **changes: object) -> AggregatorDriver:
        """Return a driver at the start of its clock, with `endpoint_count` endpoints listed."""
        return AggregatorDriver(make_settings(**changes), seed, endpoint_count)

    return build
