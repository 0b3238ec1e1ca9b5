"""Coverage, ages and tokens: the algebra, the bounds, the rulings, and answers held against the truth."""

from __future__ import annotations

import base64
import copy
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec import frames
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

from .fleet import DEMO_SETTINGS, World

ON = DEMO_SETTINGS + "(freshness (on yes))"


def policy(text, words):
    return text.replace("(need 75%)", f"(need 75%) {words}").replace("(fetch 5)", f"(fetch 5) {words}")


parts = st.sets(st.integers(0, 520), max_size=60)
stamps = st.none() | st.integers(0, 1 << 50)


@st.composite
def covers(draw):
    asked = draw(parts)
    return Cover.of(asked, [n for n in asked if draw(st.booleans())], draw(stamps))


@given(covers(), covers(), covers())
def test_merging_is_associative_commutative_and_idempotent(a, b, c):
    assert (a | b) | c == a | (b | c) and a | b == b | a and a | a == a
    assert (a | b).count().answered <= a.count().answered + b.count().answered
    assert not (a | b).answered & ~(a | b).requested and 0 <= (a | b).weight() <= 1


@given(covers())
def test_what_is_encoded_is_decoded(cover):
    assert decode_cover(encode_cover(cover)) == cover


@given(st.sets(st.integers(0, 499)), stamps)
def test_500_parts_take_150_bytes_at_most(got, stamp):
    assert len(encode_cover(Cover.of(range(500), got, stamp))) <= 150


@given(st.binary(max_size=40))
def test_junk_is_no_cover_or_a_sound_one(data):
    try:
        cover = decode_cover(b"\xc1" + data)
    except CoverError:
        return
    assert not cover.answered & ~cover.requested


def test_a_cover_can_not_claim_more_than_was_asked():
    with pytest.raises(CoverError, match="not asked for"):
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
def test_bounds_hold_whatever_the_clocks_offset_and_drift(waits, later, drift, offset):
    clock, own, rate = SourceClock(), 1_000_000, 1 + drift * MAXIMUM_DRIFT / 4

    def source(at):
        return int(at * rate) + offset

    for pause, out, back in waits:
        own += pause
        assert clock.add(own, own + out + back, source(own + out))
        own += out + back
    at = own + later
    assert clock.lower(at) <= source(at) <= clock.upper(at)
    assert clock.age(at, source(at) - 5_000) >= 5_000


def test_a_source_whose_clock_was_set_is_believed_once_it_insists():
    clock = SourceClock()
    clock.add(1000, 1200, 50_000)
    assert [clock.add(n, n + 100, 9_000_000 + n) for n in range(2000, 2020)].count(True) >= 10
    assert clock.lower(3000) > 9_000_000


def decider():
    clock = SourceClock()
    clock.add(0, 100, 10_000_000_000)
    return FreshnessDecider(clock, lambda _shard: ["a", "b", "c"])


def mark(now, age, shift=0):
    at = 10_000_000_000 + now - age
    return Watermark(at // 1000 + shift, at)


def ruled(fresh, now, node, age, wish, **more):
    words = {
        "attempted_nodes": [node],
        "rejected_count": 0,
        "time_left_us": 900_000,
        "duration_us": 40_000,
    } | more
    return fresh.decide(now, 1, node, mark(now, age), wish, **words)


ANOTHER = FreshnessPolicy(1_000_000, 0, StaleAction.ASK_ANOTHER)


def test_fresh_data_is_used_and_its_age_is_an_upper_bound():
    ruling = ruled(decider(), 5_000_000, "a", 80_000, ANOTHER)
    assert ruling.is_accepted and 80_000 <= ruling.age_us <= 82_000 and ruling.reason is None


def test_stale_data_is_turned_down_once_where_a_better_holder_is_known_and_time_allows():
    fresh = decider()
    assert ruled(fresh, 5_000_000, "a", 3_000_000, ANOTHER).is_accepted  # no better one is known
    ruled(fresh, 5_100_000, "b", 80_000, ANOTHER)
    assert not ruled(fresh, 5_200_000, "a", 3_000_000, ANOTHER).is_accepted
    assert ruled(fresh, 5_300_000, "a", 3_000_000, ANOTHER, rejected_count=1).is_accepted
    assert ruled(fresh, 5_400_000, "a", 3_000_000, ANOTHER, time_left_us=50_000).is_accepted
    assert ruled(fresh, 5_500_000, "a", 3_000_000, ANOTHER, attempted_nodes=["a", "b", "c"]).is_accepted
    assert (
        ruled(fresh, 5_600_000, "a", 3_000_000, FreshnessPolicy(1_000_000, 0, StaleAction.USE)).reason
        == StaleReason.OVER_TARGET_AGE
    )


def test_data_over_the_allowed_age_is_missing_whoever_else_there_is():
    wish = FreshnessPolicy(1_000_000, 2_000_000, StaleAction.TREAT_AS_MISSING)
    assert ruled(decider(), 5_000_000, "a", 1_500_000, wish).is_accepted
    assert not ruled(decider(), 5_000_000, "a", 2_500_000, wish).is_accepted


def test_a_watermark_newer_than_the_source_is_a_lie_of_unknown_age():
    fresh = decider()
    ruling = fresh.decide(
        5_000_000,
        1,
        "a",
        mark(5_000_000, -60_000),
        FreshnessPolicy(1_000_000, 2_000_000, StaleAction.TREAT_AS_MISSING),
        attempted_nodes=["a"],
        rejected_count=0,
        time_left_us=1,
        duration_us=1,
    )
    assert not ruling.is_accepted and ruling.age_us is None and fresh.lag_tracker.future_watermark_count == 1


def test_a_replica_that_stands_still_while_a_sibling_moves_is_stuck_and_recovers():
    fresh = decider()
    stands = mark(1_000_000, 50_000)
    for now in range(1_000_000, 6_000_000, 500_000):
        fresh.lag_tracker.observe(now, 1, "a", stands)
        fresh.lag_tracker.observe(now + 1000, 1, "b", mark(now + 1000, 60_000))
    assert fresh.lag_tracker.stuck == {(1, "a")}
    assert fresh.lag_tracker.expected_age_us(6_000_000, 1, "a") >= 5_000_000
    fresh.lag_tracker.observe(6_100_000, 1, "a", mark(6_100_000, 70_000))
    assert not fresh.lag_tracker.stuck


def test_a_restored_replica_is_no_better_holder():
    fresh = decider()
    ruled(fresh, 5_000_000, "b", 80_000, ANOTHER)
    fresh.lag_tracker.observe(5_100_000, 1, "b", mark(5_100_000, 30_000_000))
    assert fresh.lag_tracker.restored_count == 1
    assert ruled(fresh, 5_200_000, "a", 3_000_000, ANOTHER).is_accepted


@given(st.dictionaries(st.integers(0, 4000), st.integers(0, 1 << 48), max_size=12))
def test_tokens_come_back_exactly_or_as_their_least(positions):
    token = make_token(positions)
    assert len(token) <= 120
    if positions:
        read = read_token(token)
        assert read in (TokenPositions(positions), TokenPositions({}, min(positions.values())))


@pytest.mark.parametrize("token", ["", "AAAA", "!!!", make_token({1: 5})[:-1] + "A", "A" * 500])
def test_a_mangled_token_is_told(token):
    with pytest.raises(TokenError):
        read_token(token)


def test_a_wide_answers_token_is_its_least_position():
    assert read_token(make_token({n: 10**9 + n for n in range(500)})) == TokenPositions({}, 10**9)


def order(leaf, kind, seconds, value=0.0):
    leaf.order(frames.FaultCommand(kind, value, int(seconds * 1e6)))


def test_the_set_in_an_answer_is_what_it_rests_on():
    world = World(2, ON)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        cover = json.loads(values["price:tea"][1])["coverage"]
        told = decode_cover(base64.b64decode(cover["set"]))
        assert [told.count().answered, told.count().requested] == cover["parts"] and told.missing() == cover[
            "missing"
        ]
        assert told.oldest_source_us > SOURCE_CLOCK_OFFSET_US

    world.run(main())


def test_a_replica_seconds_behind_is_used_and_said_and_a_fresher_one_asked_where_wished():
    for words, expect_stale in (("(wanted-age 1s)", True), ("(wanted-age 1s) (stale another)", False)):
        world = World(3, policy(ON, words))

        def main(world=world):
            client = yield from world.client()
            for word in "abcdefghijkl":
                yield from client.get(f"report:{word}:2026-11-28")
                yield from sleep(world.loop, 120_000)
            order(world.fleet.leaves[0], "lag", 60, 5.0)
            yield from sleep(world.loop, 5_500_000)
            stale = 0
            for word in "abcdefghijkl":
                values, _ = yield from client.get(f"report:{word}:2026-11-28")
                for flags, data in values.values():
                    body = json.loads(data)
                    assert bool(flags & ValueFlag.STALE) == body["stale"] == (body["age_ms"] > 1000)
                    stale += body["stale"]
                yield from sleep(world.loop, 150_000)
            return stale

        stale = world.run(main())
        assert stale > 5 if expect_stale else stale <= 2
        world.close()
        assert world.verdict().kept and judge_ages(from_lines(world.events)).kept


def test_an_empty_shard_is_covered_and_a_missing_one_is_not():
    world = World(4, ON + "(leaf (rows 0))")

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        body = json.loads(values["price:tea"][1])
        assert (
            body["rows"] == [] and body["coverage"]["parts"][0] == 6 and len(body["coverage"]["missing"]) == 2
        )

    world.run(main())


def test_a_retry_that_meets_staler_replicas_says_so_by_its_token():
    world = World(5, ON)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("sale:anna:17")
        token = json.loads(values["sale:anna:17"][1])["token"]
        for leaf in world.fleet.leaves:
            order(leaf, "back", 0, 30.0)
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


def test_items_older_than_their_totals_are_said_to_be():
    world = World(
        6,
        ON.replace("(work 30ms))\n(class sale", "(work 300ms))\n(class sale").replace(
            "(aim 1200ms) (limit 3s)", "(aim 6s) (limit 9s)"
        ),
    )

    def main():
        client = yield from world.client()
        client.stream.write(b"get report:anna:2026-11-28\r\n")
        while not world.events_of("first"):
            yield from sleep(world.loop, 1000)
        for leaf in world.fleet.leaves:
            order(leaf, "back", 0, 50.0)
        values, _ = yield from client.read_reply()
        [(_, data)] = values.values()
        assert json.loads(data)["consistent"] is False

    world.run(main())


def test_explain_names_each_part_its_host_age_and_why_one_is_missing():
    world = World(7, ON)

    def main():
        client = yield from world.client()
        yield from client.get("price:tea")
        broker = world.fleet.brokers[0].broker
        told = msgspec.to_builtins(broker.explain(world.events_of("final")[0]["q"]))
        assert len(told["parts"]) == 8 and sum(p["in"] for p in told["parts"]) == 6
        for part in told["parts"]:
            assert (part["age_ms"] > 0 and part["host"]) if part["in"] else part["why_missing"] == "not sent"
        assert broker.explain("nothing") is None

    world.run(main())


def test_why_a_part_was_sent_again_is_logged_and_explained():
    world = World(7, ON)

    def main():
        client = yield from world.client()
        for leaf in world.fleet.leaves:
            leaf.order(frames.FaultCommand("failclass", 0, 60_000_000, "price-search"))
        yield from client.get("price:tea")
        sends = world.events_of("send")
        assert all(("reason" in send) == send.get("further", False) for send in sends)
        assert {send["reason"] for send in sends if "reason" in send} == {"retry", "substitute"}
        explanation = world.fleet.brokers[0].broker.explain(world.events_of("final")[0]["q"])
        for part in explanation.parts:
            logged = [send.get("reason", "first") for send in sends if send["p"] == part.part]
            assert part.attempt_reasons == logged
            assert len(part.sent_to) == len(logged)

    world.run(main())


def test_why_the_module_ended_a_query_is_logged_and_explained_but_not_sent_to_the_client():
    world = World(7, ON)

    def main():
        client = yield from world.client()
        for leaf in world.fleet.leaves:
            leaf.order(frames.FaultCommand("failclass", 0, 60_000_000, "price-search"))
        yield from client.get("price:tea")
        assert client.unanswered["price:tea"]["refused"]
        assert "too_few_parts" not in json.dumps(client.unanswered["price:tea"])
        (final,) = world.events_of("final")
        assert final["reason"] == "too_few_parts"
        assert world.fleet.brokers[0].broker.explain(final["q"]).reason == "too_few_parts"

    world.run(main())


def test_without_the_sources_clock_ages_are_unknown_and_never_guessed():
    world = World(8, policy(ON, "(wanted-age 1s)"))
    world.fleet.brokers[0].broker.source_clock_client.close()
    world.fleet.brokers[0].broker.freshness.clock.reset()

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        flags, data = values["price:tea"]
        body = json.loads(data)
        assert body["age_ms"] is None and body["stale"] and flags & ValueFlag.STALE

    world.run(main())


def day(seed, words="(wanted-age 1s) (stale another)", **more):
    text = policy(ON, words).replace("(brokers 1)", "(brokers 3)").replace("(leaves 6)", "(leaves 12)")
    return SimulatedScenario(loads(text), seed, faults=HOST_FAULTS + LAG_FAULTS * 3, use_tokens=True, **more)


@pytest.mark.parametrize("words", ["", "(wanted-age 1s) (stale another)", "(max-age 2s) (stale missing)"])
def test_no_stated_age_is_younger_than_the_truth_and_all_rules_are_kept(words):
    done = day(21, words, duration_seconds=20.0).run()
    verdict, ages = done.verdict(), done.age_verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    assert ages.kept and ages.judged > 300, "\n".join(map(str, ages.breaches[:5]))
    assert ages.excess_at(0.99) < 5_000 and max(ages.true_ages) > 2_000_000


def test_a_host_that_overstates_its_watermark_is_caught():
    lying = day(22, duration_seconds=10.0, inject_crashes=False, fault_rate=0.0)
    liar = lying.fleet.leaves[1]
    order(liar, "lag", 60, 3.0)
    order(liar, "lie", 60, 2.5)
    ages = lying.run().age_verdict()
    assert ages.breaches and "states an age" in ages.breaches[0].text
    assert any(breach.text.startswith("the client was told") for breach in ages.breaches)


def test_a_host_that_claims_the_future_is_caught_by_the_broker_itself():
    lying = day(23, duration_seconds=10.0, inject_crashes=False, fault_rate=0.0)
    order(lying.fleet.leaves[1], "lie", 60, 60.0)
    ages = lying.run().age_verdict()
    assert ages.kept and ages.unknown > 0
    assert sum(b.broker.freshness.liars for b in lying.fleet.brokers) > 0


def test_a_broker_that_counts_a_part_twice_is_caught(monkeypatch):
    final = ServiceBroker._final

    def twice(self, query, reply, on_reply):
        for name, part in list(query.parts.items())[:1]:
            query.parts[name + "again"] = copy.copy(part)
        final(self, query, reply, on_reply)

    monkeypatch.setattr(ServiceBroker, "_final", twice)
    verdict = judge(
        from_lines(day(24, duration_seconds=4.0, inject_crashes=False, fault_rate=0.0).run().events),
        slack=20_000,
    )
    assert any("twice" in breach.text for breach in verdict.breaches)


def test_hosts_clocks_do_not_matter():
    """No host's own clock is in a watermark: the source's offset of 90 days cancels."""
    assert SOURCE_CLOCK_OFFSET_US > 90 * 86_400_000_000
    world = World(9, ON)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        assert json.loads(values["price:tea"][1])["age_ms"] < 1000

    world.run(main())
