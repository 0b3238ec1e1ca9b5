"""Within reach or cut off: which queries can be answered, clients let go, crossing's cost, losses of the
link.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec.http import Request
from heathwell.eventloop import sleep
from heathwell.service.regions import ClientDrain, IdleClient, LinkState, RegionRoute, answerable_fraction
from heathwell.settings import loads
from heathwell.testing.simulation.client_population import Outcome
from heathwell.testing.simulation.experiment_phases import Phase
from heathwell.testing.simulation.region_experiment import ServiceKey
from heathwell.testing.simulation.region_process_experiment import (
    ProcessFault,
    region_process_settings,
    services_by_fault,
)
from heathwell.testing.simulation.scripted_faults import ScriptedFault
from heathwell.testing.standins.link_condition import (
    RETRANSMISSION_TIMEOUT_US,
    retransmission_delay_us,
)

from .fleet import DEMO_SETTINGS, World
from .test_regions import FAR, Bench
from .test_settings import problems

SPLIT = DEMO_SETTINGS.replace("(width 3)", "(width 1)") + (
    "(across (let-go 2s) (region small (zones a)) (region large (zones b c)))"
)


@given(st.lists(st.booleans(), min_size=1, max_size=12), st.integers(1, 14), st.floats(0.01, 1))
def test_answerable_is_the_share_of_first_shards_that_meet_the_floor(within, span, floor):
    shards, wide = len(within), min(span, len(within))
    met = sum(
        sum(within[(first + n) % shards] for n in range(wide)) / wide >= floor - 1e-6
        for first in range(shards)
    )
    assert answerable_fraction(within, span, floor) == met / shards


def test_clients_are_let_go_spread_out_once_a_cut_and_never_on_a_blip():
    drain, idle = ClientDrain(2_000_000, 5), [(n, 0) for n in range(400)]
    left: dict[int, int] = {}

    def wait(now, until, cut, clients):
        for at in range(now, until, 250_000):
            drain.tick(at, is_cut_off=cut)
            for client in drain.take_due(at, [IdleClient(*c) for c in clients if c[0] not in left]):
                left[client] = at

    wait(0, 750_000, True, idle)
    wait(750_000, 6_000_000, False, idle)
    assert not left
    wait(6_000_000, 6_750_000, True, idle)
    wait(6_750_000, 7_000_000, False, idle)  # a half-open step that came to nothing: the same cut
    wait(7_000_000, 7_500_000, True, idle)
    came_back = [(1000 + n, 7_400_000) for n in range(50)]
    wait(7_500_000, 12_000_000, True, idle + came_back)
    assert sorted(left) == list(range(400)) and drain.closed_count == 400
    assert max(sum(at == when for at in left.values()) for when in left.values()) < 90  # no herd
    wait(12_000_000, 16_000_000, False, came_back)
    wait(16_000_000, 20_000_000, True, came_back)  # a new cut: they have not heard of it
    assert drain.closed_count == 450
    assert not ClientDrain(0, 1).take_due(9, [IdleClient(*c) for c in idle])


def test_a_broker_cut_off_says_so_by_class_and_lets_idle_clients_go():
    world = World(text=SPLIT)
    broker = world.fleet.brokers[0]

    def far():
        return [leaf.name for leaf in world.fleet.leaves if leaf.zone != 0]

    def page(path, query=""):
        return broker.admin_server.answer(Request("GET", path, query, {}, b""))

    def waits(client, ended, name):
        data = yield from client.stream.read()
        ended[name] = data

    def main():
        idle, ended = [], {}
        for number in range(12):
            idle.append((yield from world.client()))
            world.loop.spawn(waits(idle[-1], ended, number), "idle")
        asking = yield from world.client()
        assert page("/healthz").status == 200 and page("/healthz", "class=sale-record").status == 200
        for name in far():
            world.net.cut("b0", name)
            world.net.cut(name, "b0")
        for number in range(40):
            if not broker.broker.cut_off:
                yield from asking.get(f"price:t{number}")
                yield from sleep(world.loop, 40_000)
        yield from sleep(world.loop, 3_500_000)
        assert set(ended) == set(range(12)) and set(ended.values()) == {b""}
        assert page("/healthz").body == b"cut off from most shards\n"
        health = page("/healthz", "class=sale-record")
        assert health.status == 503 and health.body == b"33% of sale-record queries can be answered\n"
        assert page("/healthz", "class=no").status == 404
        assert b"heathwell_clients_let_go_total 13" in page("/metrics").body
        back = yield from world.client()  # nobody better was found: it is kept, and told at once
        began = world.loop.now()
        yield from back.get("report:t1,t2:2026-11-28")
        assert (
            back.unanswered["report:t1,t2:2026-11-28"]["why"] == "cut off"
            and world.loop.now() - began < 5_000
        )
        yield from sleep(world.loop, 3_000_000)
        yield from back.get("report:t1,t2:2026-11-28")
        for name in far():
            world.net.heal("b0", name)
            world.net.heal(name, "b0")
        yield from sleep(world.loop, 6_000_000)
        assert page("/healthz").status == 200
        for _ in range(20):  # hosts that the module ejected in the cut come back by its own trials
            values, _ = yield from back.get("report:t1,t2:2026-11-28")
            if not values:
                yield from sleep(world.loop, 500_000)
        assert values and "cut off" not in str(back.unanswered)

    world.run(main())
    assert world.verdict().kept


def test_an_expected_delay_is_not_slowness_and_crossing_has_a_budget():
    for way, slow in ((RegionRoute(), True), (RegionRoute(round_trip_us=200_000), False)):
        bench = Bench(routes={"espoo": way})
        for _ in range(80):
            bench.wait(25)
            asked = [bench.ask(node) for node in FAR]
            bench.wait(25)
            for one in asked:
                bench.end(one, took=240)
        assert (bench.link.state == LinkState.SLOW) is slow
    bench = Bench(routes={"espoo": RegionRoute(cost=2.0)}, crossing_cost_budget=10.0)
    for node in FAR[:4]:
        bench.end(bench.ask(node))
    assert not bench.regions.restrictions(bench.now).deprioritized
    bench.end(bench.ask(FAR[4]))
    assert bench.regions.restrictions(bench.now).deprioritized == set(FAR)  # spent: only what home has not
    bench.wait(1_100)
    assert (
        not bench.regions.restrictions(bench.now).deprioritized
        and abs(bench.regions.crossing_budget.spent_cost) < 1e-9
    )


def test_links_are_checked():
    assert (
        "across.link[0].between: no region 'mars'" in problems(SPLIT[:-1] + "(link (between small mars)))")[0]
    )
    assert "names two regions" in problems(SPLIT[:-1] + "(link (between small)))")[0]
    assert (
        "the link is given twice"
        in problems(SPLIT[:-1] + "(link (between small large)) (link (between large small)))")[0]
    )


def test_losses_show_as_resends_in_steps_that_double():
    draws = random.Random(3)
    waits = [retransmission_delay_us(100, 0.3, draws) for _ in range(4000)]
    assert set(waits) <= {RETRANSMISSION_TIMEOUT_US * (2**n - 1) for n in range(12)}
    assert 0.27 < sum(wait > 0 for wait in waits) / 4000 < 0.33
    assert (
        sum(retransmission_delay_us(14_480, 0.05, draws) > 0 for _ in range(2000)) > 600
    )  # ten packets: any of them
    assert retransmission_delay_us(100, 0.0, draws) == 0


def test_the_service_around_a_trouble_is_counted_by_class_span_and_home():
    service_settings = loads(region_process_settings("decider"))
    faults = (ProcessFault("cut", ScriptedFault.REGION_LINK_CUT),)
    rows = [
        Outcome(
            at / 10,
            "sale-record",
            "refused" if 80 <= at < 160 and n % 2 else "on time",
            0.01,
            f"sale:t{at + n}:1",
            f"b{n}",
        )
        for at in range(40, 280)
        for n in range(8)
    ]
    service = services_by_fault(rows, service_settings, faults)["cut"]
    during = ServiceKey("sale-record", Phase.DURING)
    before = ServiceKey("sale-record", Phase.BEFORE)
    assert service.fraction(during, "refused") == 0.5
    assert service.fraction(before, "refused") == 0 and service.recovery_seconds == 0
    at_home = service.count(ServiceKey("sale-record", Phase.DURING, is_local=True))
    assert 0.2 * 640 < at_home < 0.3 * 640  # a quarter of the shards lies all at home
    assert len(service.refused_after_objectives) == 320
