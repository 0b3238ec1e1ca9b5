"""A broker cut off from shards: answerable queries, drained clients, crossing costs, and packet losses."""

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
from .test_regions import REMOTE_NODES, RegionLinksDriver
from .test_settings import problems

TWO_REGION_SETTINGS = DEMO_SETTINGS.replace("(width 3)", "(width 1)") + (
    "(across (let-go 2s) (region small (zones a)) (region large (zones b c)))"
)


@given(st.lists(st.booleans(), min_size=1, max_size=12), st.integers(1, 14), st.floats(0.01, 1))
def test_answerable_fraction_counts_first_shards_whose_span_meets_the_minimum(reachable, span, minimum):
    shards = len(reachable)
    parts = min(span, shards)
    answerable = sum(
        sum(reachable[(first + offset) % shards] for offset in range(parts)) / parts >= minimum - 1e-6
        for first in range(shards)
    )
    assert answerable_fraction(reachable, span, minimum) == answerable / shards


def test_idle_clients_are_closed_spread_out_once_a_cut_and_never_on_a_short_one():
    drain = ClientDrain(2_000_000, 5)
    idle = [(number, 0) for number in range(400)]
    closed_at_us: dict[int, int] = {}

    def wait(now_us, until_us, clients, *, is_cut_off):
        for at_us in range(now_us, until_us, 250_000):
            drain.tick(at_us, should_drain=is_cut_off)
            open_clients = [IdleClient(*client) for client in clients if client[0] not in closed_at_us]
            for client in drain.take_due(at_us, open_clients):
                closed_at_us[client] = at_us

    wait(0, 750_000, idle, is_cut_off=True)
    wait(750_000, 6_000_000, idle, is_cut_off=False)
    assert not closed_at_us
    wait(6_000_000, 6_750_000, idle, is_cut_off=True)
    wait(6_750_000, 7_000_000, idle, is_cut_off=False)  # a half-open step that failed: the same cut
    wait(7_000_000, 7_500_000, idle, is_cut_off=True)
    reconnected = [(1000 + number, 7_400_000) for number in range(50)]
    wait(7_500_000, 12_000_000, idle + reconnected, is_cut_off=True)
    assert sorted(closed_at_us) == list(range(400)) and drain.closed_count == 400
    assert max(sum(at == when for at in closed_at_us.values()) for when in closed_at_us.values()) < 90
    wait(12_000_000, 16_000_000, reconnected, is_cut_off=False)
    # The broker is cut off again: the reconnected clients have not yet been disconnected for that.
    wait(16_000_000, 20_000_000, reconnected, is_cut_off=True)
    assert drain.closed_count == 450
    assert not ClientDrain(0, 1).take_due(9, [IdleClient(*client) for client in idle])


def cut_off(world, nodes):
    """Cut the network between the broker and these nodes, both ways."""
    for node in nodes:
        world.net.cut("b0", node)
        world.net.cut(node, "b0")


def reconnect(world, nodes):
    """Heal the network between the broker and these nodes, both ways."""
    for node in nodes:
        world.net.heal("b0", node)
        world.net.heal(node, "b0")


def test_a_broker_that_is_cut_off_reports_it_by_class_and_closes_idle_clients():
    world = World(text=TWO_REGION_SETTINGS)
    broker = world.fleet.brokers[0]
    remote_nodes = [leaf.name for leaf in world.fleet.leaves if leaf.zone != 0]

    def page(path, query=""):
        return broker.admin_server.answer(Request("GET", path, query, {}, b""))

    def wait_for_data(client, received, number):
        received[number] = yield from client.stream.read()

    def main():
        received = {}
        for number in range(12):
            idle_client = yield from world.client()
            world.loop.spawn(wait_for_data(idle_client, received, number), "idle")
        active_client = yield from world.client()
        assert page("/healthz").status == 200 and page("/healthz", "class=sale-record").status == 200
        cut_off(world, remote_nodes)
        for number in range(40):
            if not broker.broker.is_cut_off:
                yield from active_client.get(f"price:t{number}")
                yield from sleep(world.loop, 40_000)
        yield from sleep(world.loop, 3_500_000)
        assert set(received) == set(range(12)) and set(received.values()) == {b""}
        assert page("/healthz").body == b"cut off from most shards\n"
        health = page("/healthz", "class=sale-record")
        assert health.status == 503 and health.body == b"33% of sale-record queries can be answered\n"
        assert page("/healthz", "class=no").status == 404
        assert b"heathwell_clients_let_go_total 13" in page("/metrics").body
        # A client that connects again is kept and gets an immediate rejection.
        client = yield from world.client()
        started_at_us = world.loop.now()
        yield from client.get("report:t1,t2:2026-11-28")
        assert (
            client.unanswered["report:t1,t2:2026-11-28"]["why"] == "cut off"
            and world.loop.now() - started_at_us < 5_000
        )
        yield from sleep(world.loop, 3_000_000)
        yield from client.get("report:t1,t2:2026-11-28")
        reconnect(world, remote_nodes)
        yield from sleep(world.loop, 6_000_000)
        assert page("/healthz").status == 200
        for _ in range(20):  # hosts ejected during the cut are reinstated by half-open attempts
            values, _ = yield from client.get("report:t1,t2:2026-11-28")
            if not values:
                yield from sleep(world.loop, 500_000)
        assert values and "cut off" not in str(client.unanswered)

    world.run(main())
    assert world.verdict().kept


def test_an_expected_round_trip_is_not_slow_and_crossings_have_a_cost_budget():
    for route, is_slow in ((RegionRoute(), True), (RegionRoute(round_trip_us=200_000), False)):
        driver = RegionLinksDriver(routes={"espoo": route})
        for _ in range(80):
            driver.wait(25)
            attempts = [driver.send(node) for node in REMOTE_NODES]
            driver.wait(25)
            for attempt in attempts:
                driver.end(attempt, duration_ms=240)
        assert (driver.link.state == LinkState.SLOW) is is_slow
    driver = RegionLinksDriver(routes={"espoo": RegionRoute(cost=2.0)}, crossing_cost_budget=10.0)
    for node in REMOTE_NODES[:4]:
        driver.end(driver.send(node))
    assert not driver.regions.restrictions(driver.now_us).deprioritized
    driver.end(driver.send(REMOTE_NODES[4]))
    # The budget is spent: remote hosts serve only shards without a local replica.
    assert driver.regions.restrictions(driver.now_us).deprioritized == set(REMOTE_NODES)
    driver.wait(1_100)
    assert (
        not driver.regions.restrictions(driver.now_us).deprioritized
        and abs(driver.regions.crossing_budget.spent_cost) < 1e-9
    )


def test_invalid_link_settings_are_reported():
    assert (
        "across.link[0].between: no region 'mars'"
        in problems(TWO_REGION_SETTINGS[:-1] + "(link (between small mars)))")[0]
    )
    assert "names two regions" in problems(TWO_REGION_SETTINGS[:-1] + "(link (between small)))")[0]
    assert (
        "the link is given twice"
        in problems(TWO_REGION_SETTINGS[:-1] + "(link (between small large)) (link (between large small)))")[
            0
        ]
    )


def test_packet_losses_delay_by_retransmission_timeouts_that_double():
    rng = random.Random(3)
    delays_us = [retransmission_delay_us(100, 0.3, rng) for _ in range(4000)]
    assert set(delays_us) <= {RETRANSMISSION_TIMEOUT_US * (2**losses - 1) for losses in range(12)}
    assert 0.27 < sum(delay_us > 0 for delay_us in delays_us) / 4000 < 0.33
    # A message of ten packets is delayed by the loss of any of them.
    assert sum(retransmission_delay_us(14_480, 0.05, rng) > 0 for _ in range(2000)) > 600
    assert retransmission_delay_us(100, 0.0, rng) == 0


def test_service_around_a_fault_is_counted_by_class_phase_and_locality():
    service_settings = loads(region_process_settings("decider"))
    faults = (ProcessFault("cut", ScriptedFault.REGION_LINK_CUT),)
    outcomes = [
        Outcome(
            tenth / 10,
            "sale-record",
            "refused" if 80 <= tenth < 160 and number % 2 else "on time",
            0.01,
            f"sale:t{tenth + number}:1",
            f"b{number}",
        )
        for tenth in range(40, 280)
        for number in range(8)
    ]
    service = services_by_fault(outcomes, service_settings, faults)["cut"]
    during = ServiceKey("sale-record", Phase.DURING)
    before = ServiceKey("sale-record", Phase.BEFORE)
    assert service.fraction(during, "refused") == 0.5
    assert service.fraction(before, "refused") == 0 and service.recovery_seconds == 0
    local_count = service.count(ServiceKey("sale-record", Phase.DURING, is_local=True))
    assert 0.2 * 640 < local_count < 0.3 * 640  # a quarter of the shards has local replicas only
    assert len(service.refused_after_objectives) == 320
