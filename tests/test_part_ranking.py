"""The ranking of parts: the same choices as ranking anew before each pick, at a cost linear in parts."""

from __future__ import annotations

import random

import pytest

from heathwell import Aggregator, Settings, policy

from .conftest import AIM, of


def servers_listed(count: int) -> tuple[policy.EndpointEntry, ...]:
    return tuple(policy.EndpointEntry(f"s{i}", i) for i in range(count))


class Naive(Aggregator):
    """Ranks all parts not yet picked anew before each pick, as the design page words it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.rankings = 0
        self.selector.in_rank_order = self.rank_anew

    def rank_anew(self, parts):
        self.rankings += 1
        left = list(parts)
        while left:
            best = min(left, key=self.selector.part_rank)
            left.remove(best)
            yield best


def fleet(kind: type[Aggregator], seed: int, call: int = 1, servers: int = 24) -> Aggregator:
    """An aggregator whose servers differ in latency and load."""
    spec = policy.QueryClass("s", AIM, 2 * AIM, required_fraction=0.75, minimum_fraction=0.75)
    agg = kind(
        Settings(
            classes=(spec,), shards=servers, replica_groups=servers, groups_per_shard=3, parts_per_call=call
        ),
        seed,
    )
    agg.handle(1000, [policy.EndpointUpdate(policy.UpdateKind.FULL, servers_listed(servers), False)])
    draws = random.Random(seed)
    for server in agg.endpoints.values():
        server.relative_latency.value, server.relative_latency.updated_at_us = draws.uniform(0.4, 2.4), 2000
        server.penalty.value, server.penalty.updated_at_us = draws.choice((0.0, 0.0, 1.0, 2.0)), 2000
    return agg


def sends(agg: Aggregator, now: int, parts: int, shards: int) -> list[tuple[str, str]]:
    batch: list[policy.Event] = [policy.QueryArrived("q", 1, 0, now + 2 * AIM, parts)]
    batch += [policy.PartArrived(f"q/{i}", 1, i % shards, 1 / parts) for i in range(parts)]
    return [(s.id, s.node) for s in of(agg.handle(now, batch), policy.Send)]


@pytest.mark.parametrize("seed", range(60))
@pytest.mark.parametrize("call", [1, 4])
def test_the_same_parts_at_the_same_servers_as_ranking_anew(seed, call):
    """Any two parts with one pick tie, so ties go by shard here: every choice must then agree."""
    chosen = []
    for kind in (Aggregator, Naive):
        agg = fleet(kind, seed, call)
        agg.random.random = lambda: 0.5
        chosen.append(sends(agg, 2000, 24, 24))
    assert agg.rankings == 1  # else the ranking would be compared with itself
    assert len(chosen[0]) == 18 and chosen[0] == chosen[1]


def test_parts_that_tie_are_drawn_alike():
    first: dict[str, int] = {}
    for seed in range(600):
        agg = Aggregator(
            Settings(
                classes=(policy.QueryClass("s", AIM, 2 * AIM, required_fraction=0.2, minimum_fraction=0.2),),
                shards=6,
                replica_groups=6,
                groups_per_shard=2,
            ),
            seed,
        )
        agg.handle(
            1000,
            [
                policy.EndpointUpdate(
                    policy.UpdateKind.FULL, tuple(policy.EndpointEntry(f"s{i}", i) for i in range(6)), False
                )
            ],
        )
        part, _ = sends(agg, 2000, 5, 6)[0]
        first[part] = first.get(part, 0) + 1
    assert len(first) == 5 and min(first.values()) > 80  # 120 each, sd 10


@pytest.mark.parametrize("parts", [40, 400])
def test_looks_at_holders_grow_no_faster_than_the_parts(parts):
    looks = 0
    agg = fleet(Aggregator, 3, servers=240)
    select = agg.selector.select

    def counting_select(part):
        nonlocal looks
        looks += 1
        return select(part)

    agg.selector.select = counting_select
    sends(agg, 2000, parts, 240)
    assert parts <= looks < 12 * parts  # under one a part the count would no longer be taken


def test_latencies_are_not_kept_longer_than_they_count():
    """A broker that gets many parts sheds by counts and never looked at them: the list grew for ever."""
    agg, now = fleet(Aggregator, 5, servers=3), 10_000
    for job in range(3000):
        now += 10_000
        sent = of(
            agg.handle(
                now,
                [
                    policy.QueryArrived(f"q{job}", job, 0, now + 2 * AIM, 1),
                    policy.PartArrived(f"q{job}/0", job, job % 3, 1.0),
                ],
            ),
            policy.Send,
        )
        for send in sent:
            agg.handle(now + 1000, [policy.AttemptEnded(send.id, 0, send.node, policy.Outcome.OK, 1000)])
    assert agg.latency.recent_sample_count < 300
