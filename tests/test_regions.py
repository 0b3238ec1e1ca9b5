"""Links between regions: fault detection, excluded endpoints, recovery, and scenarios on virtual time."""

from __future__ import annotations

import pytest

from heathwell import policy
from heathwell.codec import frames
from heathwell.eventloop import sleep
from heathwell.service.regions import LinkState, RegionLinks
from heathwell.testing.simulation.experiment_phases import PHASES, Phase
from heathwell.testing.simulation.region_experiment import (
    REGION_SETTINGS,
    RegionFault,
    RegionScenario,
    ServiceKey,
)
from heathwell.testing.simulation.region_settings import RegionName

from .conftest import AggregatorDriver, actions_of_type, make_settings

LOCAL_NODES = [f"h{number}" for number in range(6)]
REMOTE_NODES = [f"f{number}" for number in range(6)]


class RegionLinksDriver:
    """Drive the links of region ``hki``, which has six local nodes and six remote ones in ``espoo``."""

    def __init__(self, **parameters) -> None:
        self.regions = RegionLinks("hki", ["hki", "espoo"], 1_000_000, 7, prefers_home=False, **parameters)
        self.regions.set_endpoints(
            {**dict.fromkeys(LOCAL_NODES, "hki"), **dict.fromkeys(REMOTE_NODES, "espoo")}
        )
        self.now_us = 1_000_000
        self.attempt_count = 0

    @property
    def link(self):
        """Return the link to the remote region."""
        return self.regions.links["espoo"]

    def send(self, node, sequence=0):
        """Send an attempt of a new part and return it for :meth:`end`."""
        self.attempt_count += 1
        key = (f"q{self.attempt_count}/0", sequence)
        self.regions.on_attempt_sent(self.now_us, node, key)
        return node, key

    def end(self, attempt, outcome="ok", duration_ms=40):
        """End an attempt with an outcome."""
        node, key = attempt
        self.regions.on_attempt_ended(self.now_us, node, key, outcome, duration_ms * 1000)

    def wait(self, milliseconds, *, local_nodes_answer=True):
        """Pass time in ticks of 25 ms, each with an answer of a local node; return the nodes to probe."""
        probed = []
        for _ in range(milliseconds // 25):
            self.now_us += 25_000
            if local_nodes_answer:
                self.end(self.send(LOCAL_NODES[self.attempt_count % 6]))
            probed += self.regions.tick(self.now_us)
        return probed

    def excluded(self):
        """Return the endpoints that get no attempts."""
        return self.regions.restrictions(self.now_us).excluded


def test_one_silent_host_is_no_fault_of_the_link():
    driver = RegionLinksDriver()
    driver.send(REMOTE_NODES[0])
    for _ in range(8):
        driver.wait(100)
        for node in REMOTE_NODES[1:]:
            driver.end(driver.send(node))
    assert driver.link.state == LinkState.OPEN and not driver.excluded()


def test_silence_of_most_remote_hosts_while_local_ones_answer_is_a_link_fault():
    driver = RegionLinksDriver()
    driver.wait(200)
    for node in REMOTE_NODES[:4]:
        driver.send(node)
    driver.wait(400)
    # The link may only be slow: its hosts are deprioritized first.
    assert driver.link.state == LinkState.SLOW and not driver.excluded()
    driver.wait(1300)
    assert driver.link.state == LinkState.DOWN and driver.excluded() == frozenset(REMOTE_NODES)
    assert "silent" in driver.link.evidence


def test_earlier_low_latency_does_not_reopen_a_silent_link():
    driver = RegionLinksDriver()
    for _ in range(20):
        driver.wait(50)
        for node in REMOTE_NODES:
            driver.end(driver.send(node))
    driver.wait(25)
    for node in REMOTE_NODES[:4]:
        driver.send(node)
    states = set()
    for _ in range(70):
        driver.wait(25)
        states.add(driver.link.state)
        if LinkState.SLOW in states:
            assert driver.link.state != LinkState.OPEN
    assert driver.link.state == LinkState.DOWN


def test_silence_of_local_and_remote_hosts_is_no_link_fault():
    driver = RegionLinksDriver()
    for node in REMOTE_NODES[:4] + LOCAL_NODES[:4]:
        driver.send(node)
    driver.wait(1500, local_nodes_answer=False)
    assert driver.link.state == LinkState.OPEN


def test_unreachable_remote_hosts_take_the_link_down():
    driver = RegionLinksDriver()
    driver.wait(100)
    for node in REMOTE_NODES[:4]:
        driver.end(driver.send(node), "unreachable")
    driver.wait(50)
    assert driver.link.state == LinkState.DOWN


def make_driver_with_link_down():
    """Return a driver whose link is down."""
    driver = RegionLinksDriver()
    driver.wait(200)
    for node in REMOTE_NODES[:4]:
        driver.end(driver.send(node), "unreachable")
    driver.wait(50)
    return driver


def test_a_link_that_is_down_is_probed_and_reopened_in_steps():
    driver = make_driver_with_link_down()
    probed = driver.wait(3000)
    assert 2 <= len(probed) <= 14 and set(probed) <= set(REMOTE_NODES)
    driver.regions.on_probe_ended(driver.now_us, probed[0], "ok")
    assert driver.link.state == LinkState.HALF_OPEN
    sizes = []
    while driver.link.state == LinkState.HALF_OPEN:
        sizes.append(6 - len(driver.excluded()))
        for node in REMOTE_NODES:
            if node not in driver.excluded():
                driver.end(driver.send(node))
        driver.wait(100)
    assert (
        driver.link.state == LinkState.OPEN
        and not driver.excluded()
        and sizes == sorted(sizes)
        and sizes[0] < 6
    )


def test_a_half_open_link_goes_down_again_by_new_evidence_alone():
    driver = make_driver_with_link_down()
    driver.regions.on_probe_ended(driver.now_us, REMOTE_NODES[0], "ok")
    driver.wait(300)
    # Failures from before the change of state are ignored.
    assert driver.link.state == LinkState.HALF_OPEN
    for node in REMOTE_NODES[:4]:
        driver.end(driver.send(node), "unreachable")
    driver.wait(50)
    assert driver.link.state == LinkState.DOWN


def test_late_answers_make_a_link_slow_whose_hosts_are_deprioritized_but_not_excluded():
    driver = make_driver_with_link_down()
    driver.wait(100)
    driver.regions.on_late_answer(driver.now_us, REMOTE_NODES[0])
    assert driver.link.state == LinkState.DOWN
    driver.regions.on_late_answer(driver.now_us, REMOTE_NODES[1])
    restrictions = driver.regions.restrictions(driver.now_us)
    deprioritized = restrictions.deprioritized
    excluded = restrictions.excluded
    assert driver.link.state == LinkState.SLOW and not excluded and deprioritized == frozenset(REMOTE_NODES)


def test_a_link_is_slow_while_its_fastest_answers_are_slow():
    driver = RegionLinksDriver()
    for additional_ms, state in ((400, LinkState.SLOW), (0, LinkState.OPEN)):
        for _ in range(40):
            driver.wait(25)
            driver.end(driver.send(REMOTE_NODES[driver.attempt_count % 6]), duration_ms=40 + additional_ms)
        assert driver.link.state == state


def test_a_flapping_link_is_slow_rather_than_down_until_a_longer_cut():
    driver = RegionLinksDriver()
    driver.wait(200)
    for failure_number, state in ((1, LinkState.DOWN), (2, LinkState.SLOW)):
        for node in REMOTE_NODES[:4]:
            driver.end(driver.send(node), "unreachable")
        driver.wait(50)
        assert driver.link.state == state, failure_number
        if state == LinkState.DOWN:
            driver.regions.on_probe_ended(driver.now_us, REMOTE_NODES[0], "ok")
            driver.wait(3000)
            assert driver.link.state == LinkState.OPEN
    assert "flaps" in driver.link.evidence and not driver.excluded()
    for node in REMOTE_NODES[:4]:
        driver.send(node)
    driver.wait(2000)
    assert driver.link.state == LinkState.SLOW
    driver.wait(1500)
    assert driver.link.state == LinkState.DOWN


def test_probes_reopen_a_slow_link_without_traffic():
    driver = make_driver_with_link_down()
    for node in REMOTE_NODES[:2]:
        driver.now_us += 1000
        driver.regions.on_late_answer(driver.now_us, node)
    assert driver.link.state == LinkState.SLOW
    for _ in range(400):
        for node in driver.wait(25):
            driver.now_us += 2_000
            driver.regions.on_probe_ended(driver.now_us, node, "ok")
    assert driver.link.state == LinkState.OPEN and "probes" in driver.link.evidence


def test_additional_attempts_that_cross_regions_are_counted_and_bounded():
    driver = RegionLinksDriver(maximum_additional_crossings=3)
    for node in REMOTE_NODES[:3]:
        driver.end(driver.send(node, sequence=1))
    assert driver.link.additional_crossed_count == 3 and driver.regions.restrictions(
        driver.now_us
    ).deprioritized == frozenset(REMOTE_NODES)
    driver.wait(1100)
    assert not driver.regions.restrictions(driver.now_us).deprioritized


def test_jittered_intervals_differ_between_brokers_of_different_seeds():
    assert (
        len(
            {
                tuple(RegionLinks("a", ["a", "b"], 10**6, seed)._jittered_us(1000) for _ in range(3))
                for seed in range(20)
            }
        )
        > 15
    )


def test_the_module_follows_restrictions_on_endpoints():
    driver = AggregatorDriver(make_settings(), 3)
    driver.step(5000, policy.RestrictionUpdate(frozenset({"s0", "s1"}), frozenset({"s2"})))
    for _ in range(20):
        [send] = actions_of_type(driver.query(3, [0]), policy.Send)  # shard 0 is on s0, s1 and s2
        assert send.node in ("s0", "s1")
        driver.end(send)
    driver.step(5000, policy.RestrictionUpdate(frozenset({"s0"}), frozenset()))
    for _ in range(20):
        [send] = actions_of_type(driver.query(3, [0]), policy.Send)
        assert send.node in ("s1", "s2")
        driver.end(send)


def test_restrictions_may_apply_to_one_class_alone():
    driver = AggregatorDriver(make_settings(), 4)
    driver.step(5000, policy.RestrictionUpdate(frozenset(), frozenset({"s0", "s1"}), query_class=3))
    unrestricted_nodes = set()
    for _ in range(30):
        [send] = actions_of_type(driver.query(3, [0]), policy.Send)
        assert send.node == "s2"
        driver.end(send)
        [send] = actions_of_type(driver.query(4, [0]), policy.Send)
        unrestricted_nodes.add(send.node)
        driver.end(send)
    assert unrestricted_nodes == {"s0", "s1", "s2"}


def region_of_nodes(scenario):
    """Return the number of each node's region."""
    return {event["node"]: event["zone"] // 2 for event in scenario.events if event["ev"] == "up"}


def crossings(scenario, query_class):
    """Return the arrivals of a class at nodes of another region than their broker's."""
    node_regions = region_of_nodes(scenario)
    broker_regions = {f"b{number}": number % 4 // 2 for number in range(8)}
    return [
        event
        for event in scenario.events
        if event["ev"] == "arrive"
        and event["klass"] == query_class
        and node_regions[event["node"]] != broker_regions[event["broker"].partition("r")[0]]
    ]


def test_a_class_that_may_never_cross_regions_stays_local():
    text = REGION_SETTINGS.replace("(work 40ms)", "(across never) (work 40ms)")
    scenario = RegionScenario("decider", "100 ms", seed=3, rate=20.0, text=text)
    scenario.run()
    assert (
        scenario.verdict().kept
        and not crossings(scenario, "price-search")
        and crossings(scenario, "sale-record")
    )
    counts = [scenario.counts[ServiceKey("price-search", phase)] for phase in PHASES]
    assert sum(count.on_time for count in counts) > 0.5 * sum(count.queries for count in counts)


def test_a_class_that_prefers_its_region_crosses_for_shards_without_a_local_replica():
    scenario = RegionScenario(
        "decider",
        "cut",
        seed=3,
        rate=20.0,
        text=REGION_SETTINGS.replace("(work 30ms))\n(keys", "(across prefer-home) (work 30ms))\n(keys"),
    )
    scenario.run()
    assert scenario.verdict().kept
    crossed = crossings(scenario, "sale-record")
    node_regions = region_of_nodes(scenario)
    remote_only = [
        event
        for event in crossed
        if len({(event["shard"] + step) % 32 % 4 // 2 for step in range(2)}) == 1
        and node_regions[event["node"]] == event["shard"] % 32 % 4 // 2
    ]
    assert crossed and len(remote_only) >= 0.9 * len(crossed)


class CombinedFaultScenario(RegionScenario):
    """A region cut that also cuts off discovery, or a slow link together with slow local hosts."""

    def _inject_region_fault(self):
        yield from sleep(self.loop, 9_000_000)
        if self.fault is RegionFault.CUT:
            for host in self._hosts_in(RegionName.HKI):
                self.net.cut(host, "discovery")
                self.net.cut("discovery", host)
        else:
            for leaf in self.fleet.leaves[:8:2]:
                leaf.inject_fault(frames.FaultCommand("slow", 6.0, 12_000_000))
        yield from super()._inject_region_fault()
        for host in self._hosts_in(RegionName.HKI):
            self.net.heal(host, "discovery")
            self.net.heal("discovery", host)


@pytest.mark.parametrize("fault", ["cut", "400 ms"])
def test_service_goes_on_and_recovers_without_discovery_or_with_slow_local_hosts(fault):
    scenario = CombinedFaultScenario("decider", fault, seed=4, rate=25.0)
    scenario.run()
    verdict = scenario.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    during = scenario.counts[ServiceKey("price-search", Phase.DURING)]
    after = scenario.counts[ServiceKey("price-search", Phase.AFTER)]
    assert during.on_time + during.late + during.partial > 0.8 * during.queries
    assert after.on_time > 0.9 * after.queries


@pytest.mark.parametrize("fault", ["cut", "one way", "region lost"])
def test_service_goes_on_during_a_region_fault_and_every_rule_is_kept(fault):
    scenario = RegionScenario("decider", fault, seed=2, rate=30.0)
    scenario.run()
    verdict = scenario.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    before = scenario.counts[ServiceKey("price-search", Phase.BEFORE)]
    during = scenario.counts[ServiceKey("price-search", Phase.DURING)]
    assert before.on_time > 0.95 * before.queries
    assert during.on_time + during.partial + during.late > 0.9 * during.queries
    assert any(event["ev"] == "door" and event["why"] == "cut off" for event in scenario.events)
    assert any(event["ev"] == "link" and event["state"] == "down" for event in scenario.events)
    links = [link for broker in scenario.fleet.brokers for link in broker.broker.region_links.links.values()]
    assert all(link.state == LinkState.OPEN for link in links)
    if fault != "region lost":
        local = scenario.counts[ServiceKey("sale-record", Phase.DURING, is_local=True)]
        assert local.on_time >= 0.95 * local.queries
