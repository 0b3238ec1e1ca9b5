"""Regions: the link told from a host, what is held back, the way back, and a cut on virtual time."""

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

from .conftest import Driver as ModuleDriver
from .conftest import make_settings, of

HOME = [f"h{n}" for n in range(6)]
FAR = [f"f{n}" for n in range(6)]


class Bench:
    """Feeds a decider; times in milliseconds."""

    def __init__(self, **more) -> None:
        self.regions = RegionLinks("hki", ["hki", "espoo"], 1_000_000, 7, prefers_home=False, **more)
        self.regions.set_endpoints({**dict.fromkeys(HOME, "hki"), **dict.fromkeys(FAR, "espoo")})
        self.now, self.number = 1_000_000, 0

    @property
    def link(self):
        return self.regions.links["espoo"]

    def ask(self, node, seq=0):
        self.number += 1
        key = (f"q{self.number}/0", seq)
        self.regions.on_attempt_sent(self.now, node, key)
        return node, key

    def end(self, asked, outcome="ok", took=40):
        self.regions.on_attempt_ended(self.now, asked[0], asked[1], outcome, took * 1000)

    def wait(self, ms, home=True):
        probes = []
        for _ in range(ms // 25):
            self.now += 25_000
            if home:
                self.end(self.ask(HOME[self.number % 6]))
            probes += self.regions.tick(self.now)
        return probes

    def shut(self):
        return self.regions.restrictions(self.now).excluded


def test_one_sick_host_is_the_host_and_no_link():
    bench = Bench()
    bench.ask(FAR[0])
    for _ in range(8):
        bench.wait(100)
        for node in FAR[1:]:
            bench.end(bench.ask(node))
    assert bench.link.state == LinkState.OPEN and not bench.shut()


def test_many_silent_together_while_home_answers_are_the_link():
    bench = Bench()
    bench.wait(200)
    for node in FAR[:4]:
        bench.ask(node)
    bench.wait(400)
    assert bench.link.state == LinkState.SLOW and not bench.shut()  # it may only be slow: avoided first
    bench.wait(1300)
    assert bench.link.state == LinkState.DOWN and bench.shut() == frozenset(FAR)
    assert "silent" in bench.link.evidence


def test_what_was_quick_before_does_not_open_a_link_gone_silent():
    bench = Bench()
    for _ in range(20):
        bench.wait(50)
        for node in FAR:
            bench.end(bench.ask(node))
    bench.wait(25)
    for node in FAR[:4]:
        bench.ask(node)
    states = set()
    for _ in range(70):
        bench.wait(25)
        states.add(bench.link.state)
        if LinkState.SLOW in states:
            assert bench.link.state != LinkState.OPEN
    assert bench.link.state == LinkState.DOWN


def test_everybody_silent_is_no_link():
    bench = Bench()
    for node in FAR[:4] + HOME[:4]:
        bench.ask(node)
    bench.wait(1500, home=False)
    assert bench.link.state == LinkState.OPEN


def test_refused_connects_of_most_far_hosts_are_the_link_or_the_region():
    bench = Bench()
    bench.wait(100)
    for node in FAR[:4]:
        bench.end(bench.ask(node), "unreachable")
    bench.wait(50)
    assert bench.link.state == LinkState.DOWN


def down():
    bench = Bench()
    bench.wait(200)
    for node in FAR[:4]:
        bench.end(bench.ask(node), "unreachable")
    bench.wait(50)
    return bench


def test_the_way_back_is_probed_and_opens_in_drawn_steps():
    bench = down()
    probed = bench.wait(3000)
    assert 2 <= len(probed) <= 14 and set(probed) <= set(FAR)
    bench.regions.on_probe_ended(bench.now, probed[0], "ok")
    assert bench.link.state == LinkState.HALF_OPEN
    sizes = []
    while bench.link.state == LinkState.HALF_OPEN:
        sizes.append(6 - len(bench.shut()))
        for node in FAR:
            if node not in bench.shut():
                bench.end(bench.ask(node))
        bench.wait(100)
    assert bench.link.state == LinkState.OPEN and not bench.shut() and sizes == sorted(sizes) and sizes[0] < 6


def test_a_relapse_while_half_open_shuts_again_by_new_evidence_alone():
    bench = down()
    bench.regions.on_probe_ended(bench.now, FAR[0], "ok")
    bench.wait(300)
    assert bench.link.state == LinkState.HALF_OPEN  # the old failures speak of the old trouble
    for node in FAR[:4]:
        bench.end(bench.ask(node), "unreachable")
    bench.wait(50)
    assert bench.link.state == LinkState.DOWN


def test_late_answers_show_a_slow_link_that_is_avoided_and_not_shut():
    bench = down()
    bench.wait(100)
    bench.regions.on_late_answer(bench.now, FAR[0])
    assert bench.link.state == LinkState.DOWN
    bench.regions.on_late_answer(bench.now, FAR[1])
    restrictions = bench.regions.restrictions(bench.now)
    avoid, shut = restrictions.deprioritized, restrictions.excluded
    assert bench.link.state == LinkState.SLOW and not shut and avoid == frozenset(FAR)


def test_a_slow_way_is_told_by_its_quickest_answers_and_forgiven():
    bench = Bench()
    for extra, state in ((400, LinkState.SLOW), (0, LinkState.OPEN)):
        for _ in range(40):
            bench.wait(25)
            bench.end(bench.ask(FAR[bench.number % 6]), took=40 + extra)
        assert bench.link.state == state


def test_a_flapping_link_is_avoided_rather_than_shut_but_a_cut_after_all_shuts_it():
    bench = Bench()
    bench.wait(200)
    for fall, state in ((1, LinkState.DOWN), (2, LinkState.SLOW)):
        for node in FAR[:4]:
            bench.end(bench.ask(node), "unreachable")
        bench.wait(50)
        assert bench.link.state == state, fall
        if state == LinkState.DOWN:
            bench.regions.on_probe_ended(bench.now, FAR[0], "ok")
            bench.wait(3000)
            assert bench.link.state == LinkState.OPEN
    assert "flaps" in bench.link.evidence and not bench.shut()
    for node in FAR[:4]:
        bench.ask(node)
    bench.wait(2000)
    assert bench.link.state == LinkState.SLOW
    bench.wait(1500)
    assert bench.link.state == LinkState.DOWN


def test_a_slow_link_that_carries_nothing_is_forgiven_by_probes():
    bench = down()
    for node in FAR[:2]:
        bench.now += 1000
        bench.regions.on_late_answer(bench.now, node)
    assert bench.link.state == LinkState.SLOW
    for _ in range(400):
        for node in bench.wait(25):
            bench.now += 2_000
            bench.regions.on_probe_ended(bench.now, node, "ok")
    assert bench.link.state == LinkState.OPEN and "probes" in bench.link.evidence


def test_further_attempts_that_cross_are_counted_and_bounded():
    bench = Bench(maximum_additional_crossings=3)
    for node in FAR[:3]:
        bench.end(bench.ask(node, seq=1))
    assert bench.link.additional_crossed_count == 3 and bench.regions.restrictions(
        bench.now
    ).deprioritized == frozenset(FAR)
    bench.wait(1100)
    assert not bench.regions.restrictions(bench.now).deprioritized


def test_brokers_of_other_seeds_try_at_other_times():
    assert (
        len(
            {
                tuple(RegionLinks("a", ["a", "b"], 10**6, seed)._jittered_us(1000) for _ in range(3))
                for seed in range(20)
            }
        )
        > 15
    )


def test_the_module_avoids_and_shuts_what_it_is_told_to():
    driver = ModuleDriver(make_settings(), 3)
    driver.step(5000, policy.HolderRestrictions(frozenset({"s0", "s1"}), frozenset({"s2"})))
    for _ in range(20):
        [send] = of(driver.query(3, [0]), policy.Send)  # shard 0 is on s0, s1 and s2
        assert send.node in ("s0", "s1")
        driver.end(send)
    driver.step(5000, policy.HolderRestrictions(frozenset({"s0"}), frozenset()))
    for _ in range(20):
        [send] = of(driver.query(3, [0]), policy.Send)
        assert send.node in ("s1", "s2")
        driver.end(send)


def test_holding_back_may_be_for_one_class_alone():
    driver = ModuleDriver(make_settings(), 4)
    driver.step(5000, policy.HolderRestrictions(frozenset(), frozenset({"s0", "s1"}), query_class=3))
    others = set()
    for _ in range(30):
        [send] = of(driver.query(3, [0]), policy.Send)
        assert send.node == "s2"
        driver.end(send)
        [send] = of(driver.query(4, [0]), policy.Send)
        others.add(send.node)
        driver.end(send)
    assert others == {"s0", "s1", "s2"}


def crossings(day, query_class):
    zone = {e["node"]: e["zone"] for e in day.events if e["ev"] == "up"}
    here = {f"b{n}": n % 4 // 2 for n in range(8)}
    return [
        e
        for e in day.events
        if e["ev"] == "arrive"
        and e["klass"] == query_class
        and zone[e["node"]] // 2 != here[e["broker"].partition("r")[0]]
    ]


def test_a_class_that_may_never_cross_does_not_and_says_what_it_lacks():
    text = REGION_SETTINGS.replace("(work 40ms)", "(across never) (work 40ms)")
    day = RegionScenario("decider", "100 ms", seed=3, rate=20.0, text=text)
    day.run()
    assert day.verdict().kept and not crossings(day, "price-search") and crossings(day, "sale-record")
    counts = [day.counts[ServiceKey("price-search", phase)] for phase in PHASES]
    assert sum(count.on_time for count in counts) > 0.5 * sum(count.queries for count in counts)


def test_a_class_that_prefers_home_crosses_only_for_what_home_has_not():
    day = RegionScenario(
        "decider",
        "cut",
        seed=3,
        rate=20.0,
        text=REGION_SETTINGS.replace("(work 30ms))\n(keys", "(across prefer-home) (work 30ms))\n(keys"),
    )
    day.run()
    assert day.verdict().kept
    crossed = crossings(day, "sale-record")
    zone = {e["node"]: e["zone"] for e in day.events if e["ev"] == "up"}
    far_only = [
        e
        for e in crossed
        if len({(e["shard"] + step) % 32 % 4 // 2 for step in range(2)}) == 1
        and zone[e["node"]] // 2 == e["shard"] % 32 % 4 // 2
    ]
    assert crossed and len(far_only) >= 0.9 * len(crossed)


class Worse(RegionScenario):
    """A cut that takes discovery with it, and a slow link with slow hosts at home."""

    def _inject_region_fault(self):
        yield from sleep(self.loop, 9_000_000)
        if self.fault is RegionFault.CUT:
            for home in self._hosts_in(RegionName.HKI):
                self.net.cut(home, "discovery")
                self.net.cut("discovery", home)
        else:
            for leaf in self.fleet.leaves[:8:2]:
                leaf.order(frames.FaultCommand("slow", 6.0, 12_000_000))
        yield from super()._inject_region_fault()
        for home in self._hosts_in(RegionName.HKI):
            self.net.heal(home, "discovery")
            self.net.heal("discovery", home)


@pytest.mark.parametrize("trouble", ["cut", "400 ms"])
def test_discovery_in_the_lost_region_alone_and_a_slow_link_with_slow_hosts(trouble):
    day = Worse("decider", trouble, seed=4, rate=25.0)
    day.run()
    verdict = day.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    during = day.counts[ServiceKey("price-search", Phase.DURING)]
    after = day.counts[ServiceKey("price-search", Phase.AFTER)]
    assert during.on_time + during.late + during.partial > 0.8 * during.queries
    assert after.on_time > 0.9 * after.queries


@pytest.mark.parametrize("trouble", ["cut", "one way", "region lost"])
def test_the_rest_of_the_service_goes_on_and_every_rule_is_kept(trouble):
    day = RegionScenario("decider", trouble, seed=2, rate=30.0)
    day.run()
    verdict = day.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    before = day.counts[ServiceKey("price-search", Phase.BEFORE)]
    during = day.counts[ServiceKey("price-search", Phase.DURING)]
    assert before.on_time > 0.95 * before.queries
    assert during.on_time + during.partial + during.late > 0.9 * during.queries
    assert any(e["ev"] == "door" and e["why"] == "cut off" for e in day.events)
    assert any(e["ev"] == "link" and e["state"] == "down" for e in day.events)
    links = [link for b in day.fleet.brokers for link in b.broker.regions.links.values()]
    assert all(link.state == LinkState.OPEN for link in links)
    if trouble != "region lost":
        home = day.counts[ServiceKey("sale-record", Phase.DURING, is_local=True)]
        assert home.on_time >= 0.95 * home.queries
