"""Settings and a small driver for the tests; no model of servers."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings

from heathwell import Aggregator, Settings, policy

hypothesis_settings.register_profile("same", derandomize=True, deadline=None, max_examples=150, database=None)
hypothesis_settings.load_profile("same")

pytest_plugins = ["tests.known_red"]

AIM = 1_000_000


def make_settings(**changes: Any) -> Settings:
    """Six cells of one server each, every shard on three of them."""
    values: dict[str, Any] = {
        "classes": (
            policy.QueryClass(
                "sample", AIM, 2 * AIM, required_fraction=0.75, minimum_fraction=0.75, late_weight=0.3
            ),
            policy.QueryClass("all", AIM, 2 * AIM, late_weight=0.3),
            policy.QueryClass("two", AIM, 2 * AIM, second_step_parts=2),
            policy.QueryClass(
                "keyed", AIM, 2 * AIM, idempotency=policy.Idempotency.KEYED, idempotency_window_us=700_000
            ),
            policy.QueryClass("unsafe", AIM, 2 * AIM, idempotency=policy.Idempotency.NON_IDEMPOTENT),
            policy.QueryClass(
                "partial", AIM, 2 * AIM, required_fraction=1.0, minimum_fraction=0.5, partial_weight=0.9
            ),
            policy.QueryClass(
                "both",
                AIM,
                2 * AIM,
                required_fraction=0.8,
                minimum_fraction=0.4,
                second_step_parts=2,
                partial_weight=0.9,
            ),
        ),
        "shards": 6,
        "replica_groups": 6,
        "groups_per_shard": 3,
        "tick_us": 5000,
        "max_attempts": 3,
        "overload_multiple": 2.0,
        "overload_after_us": 1_000_000,
        "slow_start_capacity": 0.2,
        "slow_start_duration_us": 10_000_000,
        "drain_grace_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)


def entry(index: int, **changes: Any) -> policy.EndpointEntry:
    """The list line of server `s<index>` in cell `index`."""
    return policy.EndpointEntry(f"s{index}", index, **changes)


class Driver:
    """Feeds one aggregator and remembers what it did."""

    def __init__(self, config: Settings, seed: int = 1, servers: int | None = None) -> None:
        self.agg = Aggregator(config, seed)
        self.config = config
        self.now = 10_000_000
        self.jobs = 0
        count = config.replica_groups if servers is None else servers
        self.first = self.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.FULL, tuple(entry(i) for i in range(count)), requested=False
            ),
        )

    def step(self, after: int, *events: policy.Event) -> list[policy.Action]:
        """One batch, `after` microseconds later."""
        self.now += after
        return self.agg.handle(self.now, list(events))

    def query(
        self, query_class: int, shards: list[int], limit: int = 2 * AIM, after: int = 5000, **more: Any
    ) -> list[policy.Action]:
        """A query with one part for each shard, ids `q<job>` and `q<job>/<n>`."""
        self.jobs += 1
        name = f"q{self.jobs}"
        self.now += after
        events: list[policy.Event] = [
            policy.QueryArrived(name, self.jobs, query_class, self.now + limit, len(shards), **more)
        ]
        events += [
            policy.PartArrived(f"{name}/{n}", self.jobs, shard, 1 / len(shards))
            for n, shard in enumerate(shards)
        ]
        return self.step(0, *events)

    def end(
        self,
        send: policy.Send,
        outcome: str = policy.Outcome.OK,
        after: int = 5000,
        seq: int = 0,
        took: int = 80_000,
    ) -> list[policy.Action]:
        """One outcome."""
        return self.step(after, policy.AttemptEnded(send.id, seq, send.node, outcome, took))

    def wait(self, span: int) -> list[policy.Action]:
        """Let time pass tick by tick, timers firing."""
        seen: list[policy.Action] = []
        for _ in range(span // 5000):
            seen += self.step(5000, policy.TimerFired("due"))
        return seen


def of(actions: list[policy.Action], kind: type) -> list[Any]:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def drive() -> Any:
    """A driver on the usual settings, with changes."""

    def build(seed: int = 1, servers: int | None = None, **changes: Any) -> Driver:
        return Driver(make_settings(**changes), seed, servers)

    return build
