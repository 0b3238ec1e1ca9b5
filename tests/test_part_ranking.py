"""Part ranking: the same choices as a full ranking before each choice, at a cost linear in the parts."""

from __future__ import annotations

import random

import pytest

from heathwell import Aggregator, Settings, policy

from .conftest import OBJECTIVE_US, actions_of_type


def list_endpoints(count: int) -> policy.EndpointUpdate:
    """Return a complete list of `count` endpoints, one in each replica group."""
    entries = tuple(policy.EndpointEntry(f"s{index}", index) for index in range(count))
    return policy.EndpointUpdate(policy.UpdateKind.FULL, entries, requested=False)


class NaiveAggregator(Aggregator):
    """Ranks all remaining parts before each choice, as `docs/design.md` states the rule."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.rankings = 0
        self.selector.in_rank_order = self.rank_all_before_each

    def rank_all_before_each(self, parts):
        """Yield the parts by rank; rank all remaining parts before each choice."""
        self.rankings += 1
        remaining = list(parts)
        while remaining:
            best = min(remaining, key=self.selector.part_rank)
            remaining.remove(best)
            yield best


def build_aggregator(
    aggregator_type: type[Aggregator], seed: int, parts_per_call: int = 1, endpoint_count: int = 24
) -> Aggregator:
    """Return an aggregator whose endpoints have random latencies and loads."""
    query_class = policy.QueryClass(
        "s", OBJECTIVE_US, 2 * OBJECTIVE_US, required_fraction=0.75, minimum_fraction=0.75
    )
    aggregator = aggregator_type(
        Settings(
            classes=(query_class,),
            shards=endpoint_count,
            replica_groups=endpoint_count,
            groups_per_shard=3,
            parts_per_call=parts_per_call,
        ),
        seed,
    )
    aggregator.handle(1000, [list_endpoints(endpoint_count)])
    draws = random.Random(seed)
    for endpoint in aggregator.endpoints.values():
        endpoint.relative_latency.value = draws.uniform(0.4, 2.4)
        endpoint.relative_latency.updated_at_us = 2000
        endpoint.penalty.value = draws.choice((0.0, 0.0, 1.0, 2.0))
        endpoint.penalty.updated_at_us = 2000
    return aggregator


def send_query(aggregator: Aggregator, now_us: int, part_count: int, shards: int) -> list[tuple[str, str]]:
    """Send one query; return the part and the endpoint of each attempt, in order."""
    batch: list[policy.Event] = [policy.QueryArrived("q", 1, 0, now_us + 2 * OBJECTIVE_US, part_count)]
    batch += [
        policy.PartArrived(f"q/{number}", 1, number % shards, 1 / part_count) for number in range(part_count)
    ]
    return [(send.id, send.node) for send in actions_of_type(aggregator.handle(now_us, batch), policy.Send)]


@pytest.mark.parametrize("seed", range(60))
@pytest.mark.parametrize("parts_per_call", [1, 4])
def test_the_same_parts_are_sent_to_the_same_endpoints_as_by_ranking_anew(seed, parts_per_call):
    """All random numbers are equal, so ties are broken by shard and all choices must agree."""
    chosen = []
    for aggregator_type in (Aggregator, NaiveAggregator):
        aggregator = build_aggregator(aggregator_type, seed, parts_per_call)
        aggregator.random.random = lambda: 0.5
        chosen.append(send_query(aggregator, 2000, 24, 24))
    assert aggregator.rankings == 1  # else the ranking would be compared with itself
    assert len(chosen[0]) == 18 and chosen[0] == chosen[1]


def test_parts_of_equal_rank_are_chosen_with_equal_probability():
    settings = Settings(
        classes=(
            policy.QueryClass(
                "s", OBJECTIVE_US, 2 * OBJECTIVE_US, required_fraction=0.2, minimum_fraction=0.2
            ),
        ),
        shards=6,
        replica_groups=6,
        groups_per_shard=2,
    )
    first_counts: dict[str, int] = {}
    for seed in range(600):
        aggregator = Aggregator(settings, seed)
        aggregator.handle(1000, [list_endpoints(6)])
        part, _ = send_query(aggregator, 2000, 5, 6)[0]
        first_counts[part] = first_counts.get(part, 0) + 1
    assert len(first_counts) == 5 and min(first_counts.values()) > 80  # 120 each, standard deviation 10


@pytest.mark.parametrize("parts", [40, 400])
def test_replica_selections_grow_no_faster_than_the_parts(parts):
    selection_count = 0
    aggregator = build_aggregator(Aggregator, 3, endpoint_count=240)
    select = aggregator.selector.select

    def counting_select(part):
        """Count the call and select a replica."""
        nonlocal selection_count
        selection_count += 1
        return select(part)

    aggregator.selector.select = counting_select
    send_query(aggregator, 2000, parts, 240)
    assert parts <= selection_count < 12 * parts  # below one per part, calls would go uncounted


def test_latency_samples_are_dropped_once_they_count_no_more():
    """Samples are dropped even by an aggregator that sheds by in-flight counts and never reads them."""
    aggregator = build_aggregator(Aggregator, 5, endpoint_count=3)
    now_us = 10_000
    for job in range(3000):
        now_us += 10_000
        batch = [
            policy.QueryArrived(f"q{job}", job, 0, now_us + 2 * OBJECTIVE_US, 1),
            policy.PartArrived(f"q{job}/0", job, job % 3, 1.0),
        ]
        for send in actions_of_type(aggregator.handle(now_us, batch), policy.Send):
            response = policy.AttemptEnded(send.id, 0, send.node, policy.Outcome.OK, 1000)
            aggregator.handle(now_us + 1000, [response])
    assert aggregator.latency.recent_sample_count < 300
