"""Settings and a small driver for the tests; no model of servers."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings

from heathwell import Aggregator, Settings
from heathwell import interface as hw

hypothesis_settings.register_profile("same", derandomize=True, deadline=None, max_examples=150, database=None)
hypothesis_settings.load_profile("same")

pytest_plugins = ["tests.known_red"]

AIM = 1_000_000


def make_settings(**changes: Any) -> Settings:
    """Six cells of one server each, every shard on three of them."""
    values: dict[str, Any] = {
        "classes": (
            hw.ClassSpec("sample", AIM, 2 * AIM, need=0.75, min_share=0.75, late_worth=0.3),
            hw.ClassSpec("all", AIM, 2 * AIM, late_worth=0.3),
            hw.ClassSpec("two", AIM, 2 * AIM, fetch=2),
            hw.ClassSpec("keyed", AIM, 2 * AIM, repeat=hw.KEYED, dedup_us=700_000),
            hw.ClassSpec("unsafe", AIM, 2 * AIM, repeat=hw.UNSAFE),
            hw.ClassSpec("partial", AIM, 2 * AIM, need=1.0, min_share=0.5, partial_worth=0.9),
            hw.ClassSpec("both", AIM, 2 * AIM, need=0.8, min_share=0.4, fetch=2, partial_worth=0.9),
        ),
        "shards": 6,
        "cells": 6,
        "width": 3,
        "tick_us": 5000,
        "max_attempts": 3,
        "fall_multiple": 2.0,
        "tip_after_us": 1_000_000,
        "start_capacity": 0.2,
        "warm_within_us": 10_000_000,
        "drain_grace_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)


def entry(index: int, **changes: Any) -> hw.ServerEntry:
    """The list line of server `s<index>` in cell `index`."""
    return hw.ServerEntry(f"s{index}", index, **changes)


class Driver:
    """Feeds one aggregator and remembers what it did."""

    def __init__(self, config: Settings, seed: int = 1, servers: int | None = None) -> None:
        self.agg = Aggregator(config, seed)
        self.config = config
        self.now = 10_000_000
        self.jobs = 0
        count = config.cells if servers is None else servers
        self.first = self.step(0, hw.FleetNews(hw.FULL, tuple(entry(i) for i in range(count)), asked=False))

    def step(self, after: int, *events: hw.Event) -> list[hw.Action]:
        """One batch, `after` microseconds later."""
        self.now += after
        return self.agg.handle(self.now, list(events))

    def query(
        self, klass: int, shards: list[int], limit: int = 2 * AIM, after: int = 5000, **more: Any
    ) -> list[hw.Action]:
        """A query with one part for each shard, ids `q<job>` and `q<job>/<n>`."""
        self.jobs += 1
        name = f"q{self.jobs}"
        self.now += after
        events: list[hw.Event] = [
            hw.QueryArrived(name, self.jobs, klass, self.now + limit, len(shards), **more)
        ]
        events += [
            hw.PartArrived(f"{name}/{n}", self.jobs, shard, 1 / len(shards)) for n, shard in enumerate(shards)
        ]
        return self.step(0, *events)

    def end(
        self, send: hw.Send, outcome: str = hw.OK, after: int = 5000, seq: int = 0, took: int = 80_000
    ) -> list[hw.Action]:
        """One outcome."""
        return self.step(after, hw.AttemptEnded(send.id, seq, send.node, outcome, took))

    def wait(self, span: int) -> list[hw.Action]:
        """Let time pass tick by tick, timers firing."""
        seen: list[hw.Action] = []
        for _ in range(span // 5000):
            seen += self.step(5000, hw.TimerFired("due"))
        return seen


def of(actions: list[hw.Action], kind: type) -> list[Any]:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def drive() -> Any:
    """A driver on the usual settings, with changes."""

    def build(seed: int = 1, servers: int | None = None, **changes: Any) -> Driver:
        return Driver(make_settings(**changes), seed, servers)

    return build
