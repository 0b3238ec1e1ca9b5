"""Both fronts on one broker: bad days on virtual time by the six rules, and overload of one beside
the other.
"""

from __future__ import annotations

import pytest

from heathwell.settings import loads
from heathwell.testing.simulation import demo_settings
from heathwell.testing.simulation.search_scenario import SearchScenario
from heathwell.testing.standins.vectors import shard_of

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
def test_bad_days_of_both_fronts_keep_every_rule(seed):
    day = SearchScenario(
        loads(SETTINGS), seed, search_rate=12.0, arrival_rate=20.0, poison_fraction=0.002, fault_rate=0.6
    ).run()
    verdict = day.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    assert day.status_counts[200] > 100 and set(day.status_counts) <= {200, 503}
    truth = {}
    for shard in range(12):
        held = shard_of(day.service_settings.collections[0], shard, 12)
        truth |= dict(zip(held.ids, held.vectors, strict=True))
    checked = 0
    for one in day.answers[:80]:
        for search, result in zip(one.request.searches, one.results, strict=True):
            assert len(result.points) <= search.limit
            scores = [(-point.score, point.id) for point in result.points]
            assert scores == sorted(scores) and len({point.id for point in result.points}) == len(scores)
            assert all(point.id in truth for point in result.points)
            checked += len(scores)
    assert checked > 200


def served(day, name):
    counts = day.outcome_counts.get(name, {})
    return counts.get("on time", 0) / max(1, sum(counts.values()))


def test_memcached_keeps_its_aim_while_searches_are_three_times_too_many():
    quiet = {"fault_rate": 0.0, "poison_fraction": 0.0, "arrival_rate": 20.0, "duration_seconds": 8.0}
    heavy = SETTINGS.replace("(work 25ms)", "(work 100ms)")  # the hosts can do 27 such searches a second
    alone = SearchScenario(loads(heavy), 5, search_rate=0.0, **quiet).run()
    crowded = SearchScenario(loads(heavy), 5, search_rate=80.0, batch_fraction=0.0, **quiet).run()
    assert crowded.verdict().kept and crowded.status_counts[503] > crowded.status_counts[200] / 2
    for name in ("sale-record", "price-search"):
        assert served(alone, name) > 0.95
        assert served(crowded, name) > 0.9, (name, crowded.outcome_counts)
    open_door = SearchScenario(
        loads(heavy.replace("(fronts (queue-target 30ms) (memcached 2) (vector 1))", "")),
        5,
        search_rate=80.0,
        batch_fraction=0.0,
        **quiet,
    ).run()
    assert served(open_door, "sale-record") < served(crowded, "sale-record") - 0.2
