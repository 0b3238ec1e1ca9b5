"""Coverage sets, data ages and consistency tokens, and a comparison of reported ages with true ones."""

from __future__ import annotations

import base64
import copy
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.eventloop import sleep
from heathwell.servers.memcached_replies import ValueFlag
from heathwell.service.coverage import Cover, CoverError, decode_cover, encode_cover
from heathwell.service.freshness import (
    FreshnessDecider,
    FreshnessPolicy,
    SourceClock,
    StaleAction,
    StaleReason,
    TokenError,
    TokenPositions,
    Watermark,
    make_token,
    read_token,
)
from heathwell.service.freshness.source_clock import MAXIMUM_DRIFT
from heathwell.service.service_broker import ServiceBroker
from heathwell.settings import loads
from heathwell.testing.audit import judge, judge_ages
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.host_faults import HOST_FAULTS, LAG_FAULTS
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario
from heathwell.testing.standins.source import SOURCE_CLOCK_OFFSET_US

from .fleet import DEMO_SETTINGS, World, inject_fault

FRESHNESS_SETTINGS = DEMO_SETTINGS + "(freshness (on yes))"


def with_age_policy(text, policy):
    """Return the settings with an age policy for the classes of searches and reports."""
    return text.replace("(need 75%)", f"(need 75%) {policy}").replace("(fetch 5)", f"(fetch 5) {policy}")


PARTS = st.sets(st.integers(0, 520), max_size=60)
SOURCE_TIMES_US = st.none() | st.integers(0, 1 << 50)


@st.composite
def covers(draw):
    """Draw a cover of up to 60 requested parts."""
    requested = draw(PARTS)
    answered = [part for part in requested if draw(st.booleans())]
    return Cover.of(requested, answered, draw(SOURCE_TIMES_US))


@given(covers(), covers(), covers())
def test_merging_covers_is_associative_commutative_and_idempotent(first, second, third):
    assert (
        (first | second) | third == first | (second | third)
        and first | second == second | first
        and first | first == first
    )
    assert (first | second).count().answered <= first.count().answered + second.count().answered
    assert not (first | second).answered & ~(first | second).requested and 0 <= (first | second).weight() <= 1


@given(covers())
def test_a_cover_is_decoded_as_it_was_encoded(cover):
    assert decode_cover(encode_cover(cover)) == cover


@given(st.sets(st.integers(0, 499)), SOURCE_TIMES_US)
def test_a_cover_of_500_parts_takes_150_bytes_at_most(answered, source_us):
    assert len(encode_cover(Cover.of(range(500), answered, source_us))) <= 150


@given(st.binary(max_size=40))
def test_random_bytes_are_rejected_or_decode_to_a_valid_cover(data):
    try:
        cover = decode_cover(b"\xc1" + data)
    except CoverError:
        return
    assert not cover.answered & ~cover.requested


def test_a_cover_cannot_answer_parts_that_were_not_requested():
    with pytest.raises(CoverError, match=r"answered parts \[2\] were not requested"):
        Cover.of([1], [1, 2])
    assert Cover.of([3, 4, 9], [4]).missing() == [3, 9]
    assert Cover.of([1, 2], [2]).weight({1: 0.25, 2: 0.75}) == 0.75


@given(
    st.lists(
        st.tuples(st.integers(1, 5000), st.integers(0, 1_000_000), st.integers(0, 1_000_000)),
        min_size=1,
        max_size=20,
    ),
    st.integers(0, 60_000_000),
    st.floats(-1, 1),
    st.integers(-10_000_000, 10**12),
)
def test_bounds_of_the_source_clock_hold_for_any_offset_and_drift(exchanges, elapsed_us, drift, offset_us):
    clock = SourceClock()
    now_us = 1_000_000
    rate = 1 + drift * MAXIMUM_DRIFT / 4

    def source_time(at_us):
        return int(at_us * rate) + offset_us

    for pause_us, request_us, response_us in exchanges:
        now_us += pause_us
        assert clock.add(now_us, now_us + request_us + response_us, source_time(now_us + request_us))
        now_us += request_us + response_us
    at_us = now_us + elapsed_us
    assert clock.lower_bound_us(at_us) <= source_time(at_us) <= clock.upper_bound_us(at_us)
    assert clock.maximum_age_us(at_us, source_time(at_us) - 5_000) >= 5_000


def test_a_step_of_the_source_clock_is_accepted_after_repeated_samples():
    clock = SourceClock()
    clock.add(1000, 1200, 50_000)
    assert [clock.add(at_us, at_us + 100, 9_000_000 + at_us) for at_us in range(2000, 2020)].count(True) >= 10
    assert clock.lower_bound_us(3000) > 9_000_000


def make_decider():
    """Return a decider with one sample of the source clock and three replicas of each shard."""
    clock = SourceClock()
    clock.add(0, 100, 10_000_000_000)
    return FreshnessDecider(clock, lambda _shard: ["a", "b", "c"])


def make_watermark(now_us, age_us):
    """Return the watermark of data of an age."""
    source_us = 10_000_000_000 + now_us - age_us
    return Watermark(source_us // 1000, source_us)


def decide(decider, now_us, node, age_us, policy, **changed):
    """Return the decision on a part of shard 1 with data of an age; ``changed`` replaces arguments."""
    arguments = {
        "attempted_nodes": [node],
        "rejected_count": 0,
        "time_left_us": 900_000,
        "duration_us": 40_000,
    } | changed
    return decider.decide(now_us, 1, node, make_watermark(now_us, age_us), policy, **arguments)


RETRY_ELSEWHERE = FreshnessPolicy(1_000_000, 0, StaleAction.ASK_ANOTHER)


def test_fresh_data_is_used_and_its_age_is_an_upper_bound():
    decision = decide(make_decider(), 5_000_000, "a", 80_000, RETRY_ELSEWHERE)
    assert decision.is_accepted and 80_000 <= decision.age_us <= 82_000 and decision.reason is None


def test_stale_data_is_rejected_once_if_a_fresher_replica_is_known_and_time_remains():
    decider = make_decider()
    # No fresher replica is known yet.
    assert decide(decider, 5_000_000, "a", 3_000_000, RETRY_ELSEWHERE).is_accepted
    decide(decider, 5_100_000, "b", 80_000, RETRY_ELSEWHERE)
    assert not decide(decider, 5_200_000, "a", 3_000_000, RETRY_ELSEWHERE).is_accepted
    assert decide(decider, 5_300_000, "a", 3_000_000, RETRY_ELSEWHERE, rejected_count=1).is_accepted
    assert decide(decider, 5_400_000, "a", 3_000_000, RETRY_ELSEWHERE, time_left_us=50_000).is_accepted
    assert decide(
        decider, 5_500_000, "a", 3_000_000, RETRY_ELSEWHERE, attempted_nodes=["a", "b", "c"]
    ).is_accepted
    assert (
        decide(decider, 5_600_000, "a", 3_000_000, FreshnessPolicy(1_000_000, 0, StaleAction.USE)).reason
        == StaleReason.OVER_TARGET_AGE
    )


def test_data_over_the_maximum_age_is_rejected_even_without_another_replica():
    policy = FreshnessPolicy(1_000_000, 2_000_000, StaleAction.TREAT_AS_MISSING)
    assert decide(make_decider(), 5_000_000, "a", 1_500_000, policy).is_accepted
    assert not decide(make_decider(), 5_000_000, "a", 2_500_000, policy).is_accepted


def test_a_watermark_ahead_of_the_source_is_rejected_with_unknown_age():
    decider = make_decider()
    decision = decider.decide(
        5_000_000,
        1,
        "a",
        make_watermark(5_000_000, -60_000),
        FreshnessPolicy(1_000_000, 2_000_000, StaleAction.TREAT_AS_MISSING),
        attempted_nodes=["a"],
        rejected_count=0,
        time_left_us=1,
        duration_us=1,
    )
    assert (
        not decision.is_accepted
        and decision.age_us is None
        and decider.lag_tracker.future_watermark_count == 1
    )


def test_a_replica_whose_watermark_stops_while_another_advances_is_stuck_until_it_advances():
    decider = make_decider()
    stopped = make_watermark(1_000_000, 50_000)
    for now_us in range(1_000_000, 6_000_000, 500_000):
        decider.lag_tracker.observe(now_us, 1, "a", stopped)
        decider.lag_tracker.observe(now_us + 1000, 1, "b", make_watermark(now_us + 1000, 60_000))
    assert decider.lag_tracker.stuck == {(1, "a")}
    assert decider.lag_tracker.expected_age_us(6_000_000, 1, "a") >= 5_000_000
    decider.lag_tracker.observe(6_100_000, 1, "a", make_watermark(6_100_000, 70_000))
    assert not decider.lag_tracker.stuck


def test_a_replica_restored_from_old_data_is_not_preferred():
    decider = make_decider()
    decide(decider, 5_000_000, "b", 80_000, RETRY_ELSEWHERE)
    decider.lag_tracker.observe(5_100_000, 1, "b", make_watermark(5_100_000, 30_000_000))
    assert decider.lag_tracker.restored_count == 1
    assert decide(decider, 5_200_000, "a", 3_000_000, RETRY_ELSEWHERE).is_accepted


@given(st.dictionaries(st.integers(0, 4000), st.integers(0, 1 << 48), max_size=12))
def test_a_token_decodes_to_its_positions_or_to_the_least_of_them(positions):
    token = make_token(positions)
    assert len(token) <= 120
    if positions:
        decoded = read_token(token)
        assert decoded in (TokenPositions(positions), TokenPositions({}, min(positions.values())))


@pytest.mark.parametrize("token", ["", "AAAA", "!!!", make_token({1: 5})[:-1] + "A", "A" * 500])
def test_a_malformed_token_is_rejected(token):
    with pytest.raises(TokenError):
        read_token(token)


def test_a_token_of_500_positions_holds_the_least_position_alone():
    assert read_token(make_token({shard: 10**9 + shard for shard in range(500)})) == TokenPositions({}, 10**9)


def test_an_answer_states_the_set_of_its_parts_and_its_oldest_source_time():
    world = World(2, FRESHNESS_SETTINGS)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        coverage = json.loads(values["price:tea"][1])["coverage"]
        cover = decode_cover(base64.b64decode(coverage["set"]))
        assert [cover.count().answered, cover.count().requested] == coverage[
            "parts"
        ] and cover.missing() == coverage["missing"]
        assert cover.oldest_source_us > SOURCE_CLOCK_OFFSET_US

    world.run(main())


def count_stale_reports(world):
    """Let a replica lag by five seconds; return how many of twelve reports are marked stale."""
    client = yield from world.client()
    for word in "abcdefghijkl":
        yield from client.get(f"report:{word}:2026-11-28")
        yield from sleep(world.loop, 120_000)
    inject_fault(world.fleet.leaves[0], "lag", 60, 5.0)
    yield from sleep(world.loop, 5_500_000)
    stale_count = 0
    for word in "abcdefghijkl":
        values, _ = yield from client.get(f"report:{word}:2026-11-28")
        for flags, data in values.values():
            body = json.loads(data)
            assert bool(flags & ValueFlag.STALE) == body["stale"] == (body["age_ms"] > 1000)
            stale_count += body["stale"]
        yield from sleep(world.loop, 150_000)
    return stale_count


def test_data_of_a_lagging_replica_is_marked_stale_or_replaced_by_fresher_data_as_configured():
    for policy, expect_stale in (("(wanted-age 1s)", True), ("(wanted-age 1s) (stale another)", False)):
        world = World(3, with_age_policy(FRESHNESS_SETTINGS, policy))
        stale_count = world.run(count_stale_reports(world))
        assert stale_count > 5 if expect_stale else stale_count <= 2
        world.close()
        assert world.verdict().kept and judge_ages(from_lines(world.events)).kept


def test_an_empty_shard_counts_as_covered_and_an_unanswered_one_as_missing():
    world = World(4, FRESHNESS_SETTINGS + "(leaf (rows 0))")

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        body = json.loads(values["price:tea"][1])
        assert (
            body["rows"] == [] and body["coverage"]["parts"][0] == 6 and len(body["coverage"]["missing"]) == 2
        )

    world.run(main())


def test_a_read_by_token_from_replicas_behind_it_is_marked_stale():
    world = World(5, FRESHNESS_SETTINGS)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("sale:anna:17")
        token = json.loads(values["sale:anna:17"][1])["token"]
        for leaf in world.fleet.leaves:
            inject_fault(leaf, "back", 0, 30.0)
        yield from sleep(world.loop, 10_000)
        values, _ = yield from client.get(f"sale:anna:17@~{token}")
        flags, data = values[f"sale:anna:17@~{token}"]
        body = json.loads(data)
        assert flags & ValueFlag.STALE and body["behind"] == [3]
        yield from sleep(world.loop, 10_000_000)
        values, _ = yield from client.get(f"sale:anna:17@~{token}")
        assert "behind" not in json.loads(values[f"sale:anna:17@~{token}"][1])
        yield from client.get("sale:anna:17@~mangled")
        assert "token" in client.unanswered["sale:anna:17@~mangled"]["why"]

    world.run(main())


def test_a_report_whose_items_are_older_than_its_totals_is_marked_inconsistent():
    world = World(
        6,
        FRESHNESS_SETTINGS.replace("(work 30ms))\n(class sale", "(work 300ms))\n(class sale").replace(
            "(aim 1200ms) (limit 3s)", "(aim 6s) (limit 9s)"
        ),
    )

    def main():
        client = yield from world.client()
        client.stream.write(b"get report:anna:2026-11-28\r\n")
        while not world.events_of("first"):
            yield from sleep(world.loop, 1000)
        for leaf in world.fleet.leaves:
            inject_fault(leaf, "back", 0, 50.0)
        values, _ = yield from client.read_reply()
        [(_, data)] = values.values()
        assert json.loads(data)["consistent"] is False

    world.run(main())


def test_explain_states_host_and_age_of_each_part_or_why_it_is_missing():
    world = World(7, FRESHNESS_SETTINGS)

    def main():
        client = yield from world.client()
        yield from client.get("price:tea")
        broker = world.fleet.brokers[0].broker
        explanation = msgspec.to_builtins(broker.explain(world.events_of("final")[0]["q"]))
        assert len(explanation["parts"]) == 8 and sum(part["in"] for part in explanation["parts"]) == 6
        for part in explanation["parts"]:
            assert (part["age_ms"] > 0 and part["host"]) if part["in"] else part["why_missing"] == "not sent"
        assert broker.explain("nothing") is None

    world.run(main())


def client_of_a_failed_search(world):
    """Request price:tea while all leaves fail price searches; return the client."""
    client = yield from world.client()
    for leaf in world.fleet.leaves:
        inject_fault(leaf, "failclass", 60.0, text="price-search")
    yield from client.get("price:tea")
    return client


def test_the_reason_of_an_additional_attempt_is_logged_and_explained():
    world = World(7, FRESHNESS_SETTINGS)

    def main():
        yield from client_of_a_failed_search(world)
        sends = world.events_of("send")
        assert all(("reason" in send) == send.get("further", False) for send in sends)
        assert {send["reason"] for send in sends if "reason" in send} == {"retry", "substitute"}
        explanation = world.fleet.brokers[0].broker.explain(world.events_of("final")[0]["q"])
        for part in explanation.parts:
            logged = [send.get("reason", "first") for send in sends if send["p"] == part.part]
            assert part.attempt_reasons == logged
            assert len(part.sent_to) == len(logged)

    world.run(main())


def test_the_reason_of_a_rejection_is_logged_and_explained_but_not_sent_to_the_client():
    world = World(7, FRESHNESS_SETTINGS)

    def main():
        client = yield from client_of_a_failed_search(world)
        assert client.unanswered["price:tea"]["refused"]
        assert "too_few_parts" not in json.dumps(client.unanswered["price:tea"])
        (final,) = world.events_of("final")
        assert final["reason"] == "too_few_parts"
        assert world.fleet.brokers[0].broker.explain(final["q"]).reason == "too_few_parts"

    world.run(main())


def test_without_the_source_clock_ages_are_unknown():
    world = World(8, with_age_policy(FRESHNESS_SETTINGS, "(wanted-age 1s)"))
    world.fleet.brokers[0].broker.source_clock_client.close()
    world.fleet.brokers[0].broker.freshness.clock.reset()

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        flags, data = values["price:tea"]
        body = json.loads(data)
        assert body["age_ms"] is None and body["stale"] and flags & ValueFlag.STALE

    world.run(main())


def make_scenario(seed, policy="(wanted-age 1s) (stale another)", **parameters):
    """Return a scenario with lagging replicas under an age policy."""
    text = with_age_policy(FRESHNESS_SETTINGS, policy)
    text = text.replace("(brokers 1)", "(brokers 3)").replace("(leaves 6)", "(leaves 12)")
    faults = HOST_FAULTS + LAG_FAULTS * 3
    return SimulatedScenario(loads(text), seed, faults=faults, use_tokens=True, **parameters)


@pytest.mark.parametrize("policy", ["", "(wanted-age 1s) (stale another)", "(max-age 2s) (stale missing)"])
def test_no_stated_age_is_below_the_true_age_and_every_rule_is_kept(policy):
    scenario = make_scenario(21, policy, duration_seconds=20.0).run()
    verdict = scenario.verdict()
    ages = scenario.age_verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    assert ages.kept and ages.judged > 300, "\n".join(map(str, ages.breaches[:5]))
    assert ages.excess_at(0.99) < 5_000 and max(ages.true_ages) > 2_000_000


def test_the_auditor_finds_a_host_that_overstates_its_watermark():
    scenario = make_scenario(22, duration_seconds=10.0, inject_crashes=False, fault_rate=0.0)
    leaf = scenario.fleet.leaves[1]
    inject_fault(leaf, "lag", 60, 3.0)
    inject_fault(leaf, "lie", 60, 2.5)
    ages = scenario.run().age_verdict()
    assert ages.breaches and "states an age" in ages.breaches[0].text
    assert any(breach.text.startswith("the client was told") for breach in ages.breaches)


def test_the_broker_counts_a_host_whose_watermark_is_ahead_of_the_source():
    scenario = make_scenario(23, duration_seconds=10.0, inject_crashes=False, fault_rate=0.0)
    inject_fault(scenario.fleet.leaves[1], "lie", 60, 60.0)
    ages = scenario.run().age_verdict()
    assert ages.kept and ages.unknown > 0
    assert sum(broker.broker.freshness.future_watermark_count for broker in scenario.fleet.brokers) > 0


def test_the_auditor_finds_a_broker_that_counts_a_part_twice(monkeypatch):
    send_final = ServiceBroker._final

    def count_a_part_twice(self, query, reply, on_reply):
        for name, part in list(query.parts.items())[:1]:
            query.parts[name + "again"] = copy.copy(part)
        send_final(self, query, reply, on_reply)

    monkeypatch.setattr(ServiceBroker, "_final", count_a_part_twice)
    scenario = make_scenario(24, duration_seconds=4.0, inject_crashes=False, fault_rate=0.0).run()
    verdict = judge(from_lines(scenario.events), slack=20_000)
    assert any("twice" in breach.text for breach in verdict.breaches)


def test_ages_do_not_depend_on_the_clocks_of_hosts():
    """Watermarks hold only source times, so the 90 days' offset of the source clock cancels out."""
    assert SOURCE_CLOCK_OFFSET_US > 90 * 86_400_000_000
    world = World(9, FRESHNESS_SETTINGS)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        assert json.loads(values["price:tea"][1])["age_ms"] < 1000

    world.run(main())
