"""Memcached and vector servers on one broker: fault scenarios on virtual time, and overload by searches.

The overload test guards against costly searches that delay memcached queries: both use the same hosts, and
without fair queueing the searches fill the hosts' queues.
"""

from __future__ import annotations

import pytest

from heathwell.settings import loads
from heathwell.testing.simulation import demo_settings
from heathwell.testing.simulation.search_scenario import SearchScenario
from heathwell.testing.standins.vectors import shard_from_settings

SETTINGS = demo_settings.settings_text(
    demo_settings.price_search_class(),
    demo_settings.day_report_class(),
    demo_settings.sale_record_class(),
    "(class alike (aim 800ms) (limit 2s) (need 75%) (floor 50%))",
    "(class bulk (aim 4s) (limit 8s) (worth 0.2) (need 100%))",
    demo_settings.SALE_KEYS,
    demo_settings.PRICE_KEYS,
    demo_settings.report_keys(),
    "(collection goods (class alike) (batch-class bulk) (size 8) (points 40) (overlap 20%) (spread 40%)",
    "(work 25ms))",
    "(vector (listen 127.0.0.1:0))",
    "(fronts (queue-target 30ms) (memcached 2) (vector 1))",
    demo_settings.fleet_section(
        shards=12, replica_groups=6, replicas=3, zones=("a", "b", "c"), leaves=6, brokers=2
    ),
    demo_settings.RULES,
    demo_settings.limits_section(max_in_flight=600),
    demo_settings.discovery_section(),
)


@pytest.mark.parametrize("seed", [1, 2])
def test_fault_scenarios_with_both_servers_keep_every_rule(seed):
    scenario = SearchScenario(
        loads(SETTINGS), seed, search_rate=12.0, arrival_rate=20.0, poison_fraction=0.002, fault_rate=0.6
    ).run()
    verdict = scenario.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    assert scenario.status_counts[200] > 100 and set(scenario.status_counts) <= {200, 503}
    vectors = {}
    for shard in range(12):
        shard_data = shard_from_settings(scenario.service_settings.collections[0], shard, 12)
        vectors |= dict(zip(shard_data.ids, shard_data.vectors, strict=True))
    checked_count = 0
    for answer in scenario.answers[:80]:
        for search, result in zip(answer.request.searches, answer.results, strict=True):
            assert len(result.points) <= search.limit
            scores = [(-point.score, point.id) for point in result.points]
            assert scores == sorted(scores) and len({point.id for point in result.points}) == len(scores)
            assert all(point.id in vectors for point in result.points)
            checked_count += len(scores)
    assert checked_count > 200


def on_time_fraction(scenario, query_class):
    """Return the fraction of a class's queries that were answered on time."""
    counts = scenario.outcome_counts.get(query_class, {})
    return counts.get("on time", 0) / max(1, sum(counts.values()))


def test_memcached_queries_meet_their_objective_while_searches_are_three_times_the_capacity():
    no_faults = {"fault_rate": 0.0, "poison_fraction": 0.0, "arrival_rate": 20.0, "duration_seconds": 8.0}
    # The capacity of the fleet is 27 of these searches per second; 80 arrive.
    heavy = SETTINGS.replace("(work 25ms)", "(work 100ms)")
    alone = SearchScenario(loads(heavy), 5, search_rate=0.0, **no_faults).run()
    overloaded = SearchScenario(loads(heavy), 5, search_rate=80.0, batch_fraction=0.0, **no_faults).run()
    assert overloaded.verdict().kept and overloaded.status_counts[503] > overloaded.status_counts[200] / 2
    for query_class in ("sale-record", "price-search"):
        assert on_time_fraction(alone, query_class) > 0.95
        assert on_time_fraction(overloaded, query_class) > 0.9, (query_class, overloaded.outcome_counts)
    without_fair_queue = SearchScenario(
        loads(heavy.replace("(fronts (queue-target 30ms) (memcached 2) (vector 1))", "")),
        5,
        search_rate=80.0,
        batch_fraction=0.0,
        **no_faults,
    ).run()
    assert (
        on_time_fraction(without_fair_queue, "sale-record")
        < on_time_fraction(overloaded, "sale-record") - 0.2
    )
