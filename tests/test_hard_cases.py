"""Faults of hosts, clients and discovery, injected into a deployment on virtual time."""

from __future__ import annotations

import json

import pytest

from heathwell.codec import frames
from heathwell.eventloop import StreamBrokenError, sleep

from .fleet import DEMO_SETTINGS, World, inject_fault


def fail_price_searches(leaf):
    """Let a leaf fail price searches for a minute."""
    inject_fault(leaf, "failclass", 60.0, text="price-search")


def replicas_of(world, shard):
    """Return the leaves that hold a shard."""
    return [leaf for leaf in world.fleet.leaves if (leaf.replica_group - shard) % 6 < 3]


def shards_of(world, key):
    """Return the shards that a key's query needs, in the order of its parts."""
    return [part.shard for part in world.fleet.brokers[0].broker.keys.plan(key).parts]


def finish(world):
    """Let four seconds pass, close the deployment and check all rules."""
    world.run(sleep(world.loop, 4_000_000))
    world.close()
    verdict = world.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))


def test_a_query_is_answered_without_hosts_that_stall_in_the_middle_of_a_reply():
    world = World(2)

    def main():
        client = yield from world.client()
        inject_fault(world.fleet.leaves[0], "midreply", 5.0)
        inject_fault(world.fleet.leaves[1], "midreply", 5.0)
        values, end = yield from client.get("price:tea", "sale:anna:17")
        assert "price:tea" in values and end == "END"
        assert json.loads(values["price:tea"][1])["coverage"]["parts"][0] >= 6
        # The rest of the stalled replies arrives after the answer and must change nothing.
        yield from sleep(world.loop, 6_000_000)
        assert sum(link.late_answers for link in world.fleet.brokers[0].broker.links.values()) > 0
        again, end = yield from client.get("price:tea")
        assert end == "END" and json.loads(again["price:tea"][1])["whole"]

    world.run(main())
    finish(world)


def test_an_answer_of_exactly_the_required_fraction_is_complete_and_states_its_coverage():
    world = World(3)

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        flags, data = values["price:tea"]
        body = json.loads(data)
        assert flags == 0 and body["whole"] and body["coverage"]["parts"] == [6, 8]
        assert body["coverage"]["weight"] == 0.75 and len(body["coverage"]["missing"]) == 2

    world.run(main())
    finish(world)


@pytest.mark.parametrize("floor", [0.75, 0.5])
def test_an_answer_below_the_required_fraction_is_never_marked_complete(floor):
    text = DEMO_SETTINGS.replace("(need 75%)", f"(need 75%) (floor {floor})") + "; no"
    world = World(4, text.replace("(shape search) (parts 8)", "(shape search) (parts 4)"))

    def main():
        client = yield from world.client()
        shards = shards_of(world, "price:tea")
        failing = {leaf.name for shard in shards[:1] + shards[-1:] for leaf in replicas_of(world, shard)}
        for leaf in world.fleet.leaves:
            if leaf.name in failing:
                fail_price_searches(leaf)
        values, end = yield from client.get("price:tea")
        if values:
            flags, data = values["price:tea"]
            body = json.loads(data)
            assert flags == 1 << 16 and not body["whole"] and body["coverage"]["weight"] >= floor
        else:
            assert client.unanswered["price:tea"]["refused"] and end == "END"

    world.run(main())
    finish(world)


def test_a_partial_answer_is_flagged_and_states_its_coverage():
    text = DEMO_SETTINGS.replace("(need 75%)", "(need 75%) (floor 50%) (partial-worth 80%)")
    world = World(5, text)
    answers = []

    def main():
        client = yield from world.client()
        # All replicas of shards 0, 1, 6 and 7 fail price searches; those of the other shards answer.
        for leaf in world.fleet.leaves:
            if leaf.replica_group in (0, 1, 2, 3):
                fail_price_searches(leaf)
        for word in "abcdefghijkl":
            values, end = yield from client.get(f"price:{word}")
            for flags, data in values.values():
                answers.append((flags, json.loads(data)))
            assert values or client.unanswered[f"price:{word}"]["refused"]

    world.run(main())
    partial = [(flags, body) for flags, body in answers if not body["whole"]]
    assert partial and all(
        flags == 1 << 16 and 0.5 <= body["coverage"]["weight"] < 0.75 for flags, body in partial
    )
    finish(world)


@pytest.mark.parametrize(("reset_after_us", "is_retried"), [(100_000, True), (900_000, False)])
def test_a_keyed_part_is_retried_after_a_reset_only_within_its_idempotency_window(reset_after_us, is_retried):
    """A part sent again after its idempotency window could have its effect twice.

    Within the window it is retried after a reset; afterwards it is not.
    """
    text = DEMO_SETTINGS.replace(
        "(repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms)",
        "(repeat keyed) (dedup 750ms) (late-worth 10%) (work 1400ms)",
    )
    world = World(6, text.replace("(limit 1500ms)", "(limit 4s)").replace("(aim 750ms)", "(aim 4s)"))

    def main():
        client = yield from world.client()
        client.stream.write(b"get sale:anna:17\r\n")
        yield from sleep(world.loop, reset_after_us)
        [arrive] = world.events_of("arrive")
        inject_fault(next(leaf for leaf in world.fleet.leaves if leaf.address == arrive["node"]), "reset")
        values, end = yield from client.read_reply()
        sent = world.events_of("send")
        assert len(sent) == (2 if is_retried else 1)
        assert bool(values) is is_retried and bool(client.unanswered) is not is_retried

    world.run(main())
    finish(world)


def test_no_part_reaches_a_draining_host_after_the_drain_grace():
    world = World(7)

    def main():
        client = yield from world.client()
        for number in range(12):
            world.loop.call_at(world.loop.now() + 40_000, world.fleet.leaves[number % 2].drain)
            values, end = yield from client.get(f"price:w{number}", f"sale:anna:{number}")
            assert end == "END" and len(values) == 2
            yield from sleep(world.loop, 150_000)

    world.run(main())
    drained_at_us = {
        leaf.address: event["t"]
        for leaf in world.fleet.leaves
        for event in world.events_of("drain", node=leaf.address)
    }
    late = [
        arrival
        for arrival in world.events_of("arrive")
        if arrival["node"] in drained_at_us and arrival["t"] > drained_at_us[arrival["node"]] + 1_000_000
    ]
    assert len(drained_at_us) == 2 and not late
    finish(world)


def test_a_query_without_live_replicas_is_rejected_at_once_with_a_retry_after():
    world = World(8)

    def main():
        client = yield from world.client()
        for leaf in replicas_of(world, shards_of(world, "sale:anna:17")[0]):
            leaf.crash()
        yield from client.get("sale:anna:17")
        yield from sleep(world.loop, 5_000_000)
        requested_at_us = world.loop.now()
        values, end = yield from client.get("sale:anna:17", "price:tea")
        assert not set(values) & {"sale:anna:17"}
        assert (
            client.unanswered["sale:anna:17"]["refused"]
            and client.unanswered["sale:anna:17"]["retry_after_ms"] > 0
        )
        assert world.loop.now() - requested_at_us < 2_000_000

    world.run(main())
    finish(world)


def test_a_client_that_disconnects_with_40_pipelined_queries_leaves_no_state():
    world = World(9)

    def main():
        client = yield from world.client()
        client.stream.write(b"".join(b"get price:v%d\r\n" % n for n in range(40)))
        yield from sleep(world.loop, 5_000)
        assert len(world.events_of("take")) == 40
        client.stream.abort()
        yield from sleep(world.loop, 3_000_000)
        broker = world.fleet.brokers[0].broker
        assert not broker.queries and not broker.parts and broker.open_count == 0
        assert not broker.aggregator.queries and not broker.aggregator.attempts_in_flight

    world.run(main())
    assert (
        len(world.events_of("left")) + len(world.events_of("final")) == 40
        and len(world.events_of("left")) > 20
    )
    finish(world)


def test_a_request_in_single_bytes_on_a_half_closed_connection_is_answered():
    world = World(10)

    def main():
        client = yield from world.client()
        for byte in b"get sale:anna:17\r\nmn\r\nmg sale:anna:17 v k O9 f s\r\n":
            client.stream.write(bytes([byte]))
            yield from sleep(world.loop, 500)
        client.stream.end()
        values, end = yield from client.read_reply()
        assert list(values) == ["sale:anna:17"] and end == "END"
        assert (yield from client.read_line()) == b"MN"
        head = yield from client.read_line()
        assert head.startswith(b"VA ") and b"O9" in head and b"ksale:anna:17" in head
        yield from client.read_block(int(head.split()[1]))
        with pytest.raises(StreamBrokenError):
            yield from client.read_line()

    world.run(main())
    finish(world)


def test_a_multi_get_of_100_keys_of_three_classes_is_answered_in_order():
    world = World(
        11, DEMO_SETTINGS.replace("(open-cap 600)", "(open-cap 0)").replace("(leaves 6)", "(leaves 36)")
    )

    def main():
        client = yield from world.client()
        keys = (
            [f"price:w{n}" for n in range(20)]
            + [f"sale:t{n}:3" for n in range(60)]
            + [f"report:t{n}:2026-11-02" for n in range(20)]
        )
        keys = keys[::3] + keys[1::3] + keys[2::3]
        values, end = yield from client.get(*keys)
        assert [key for key in keys if key in values] == list(values)
        assert end == "END" and len(values) + len(client.unanswered) == 100 and len(values) > 60

    world.run(main())
    finish(world)


def test_a_query_over_the_in_flight_limit_is_rejected_at_admission_with_a_retry_after():
    world = World(12, DEMO_SETTINGS.replace("(open-cap 600)", "(open-cap 30)"))

    def main():
        client = yield from world.client()
        values, end = yield from client.get(*[f"price:w{n}" for n in range(5)])
        assert len(values) == 3 and list(client.unanswered) == ["price:w3", "price:w4"] and end == "END"
        assert all(0 < lost["retry_after_ms"] <= 500 for lost in client.unanswered.values())

    world.run(main())
    assert len(world.events_of("door", why="full")) == 2
    finish(world)


def test_a_graceful_shutdown_finishes_queries_in_flight_and_rejects_new_ones():
    world = World(13)

    def main():
        client = yield from world.client()
        broker = world.fleet.brokers[0].broker
        client.stream.write(b"get price:tea\r\n")
        yield from sleep(world.loop, 5_000)
        broker.drain()
        assert not broker.idle.is_set
        client.stream.write(b"get price:bread\r\n")
        values, _ = yield from client.read_reply()
        assert list(values) == ["price:tea"] and broker.idle.is_set
        yield from client.read_reply()
        assert client.unanswered["price:bread"]["refused"]
        client.stream.write(b"mg price:bread v\r\n")
        assert (yield from client.read_line()).startswith(b"SERVER_ERROR heathwell refused=1 retry-after-ms=")

    world.run(main())
    finish(world)


def test_a_broker_that_is_killed_and_restarted_answers_again():
    world = World(14)

    def main():
        client = yield from world.client()
        client.stream.write(b"get price:tea\r\n")
        yield from sleep(world.loop, 5_000)
        world.fleet.restart_broker(0)
        with pytest.raises(StreamBrokenError):
            yield from client.read_reply()
        yield from sleep(world.loop, 1_500_000)
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        assert values

    world.run(main())
    finish(world)


def test_unsent_bytes_for_a_slow_reader_are_bounded_while_others_are_answered():
    world = World(
        15,
        DEMO_SETTINGS.replace("(limits ", "(limits (unread 100kb) (pipelined 64) ").replace(
            "(open-cap 600)", "(open-cap 0)"
        )
        + "(leaf (rows 400) (slots 64) (queue 500))",
    )

    def main():
        client = yield from world.client()
        other = yield from world.client()
        for number in range(300):
            client.stream.write(b"get sale:anna:%d sale:bo:%d\r\n" % (number, number))
        yield from sleep(world.loop, 30_000_000)
        server = world.fleet.brokers[0].memcached_server
        assert max(connection.stream.unsent for connection in server.connections) <= 100 * 1024
        values, _ = yield from other.get("sale:anna:1")
        assert values

    world.run(main())


def frames_until_end(stream):
    """Return the frames that a stream delivers until it ends."""
    received = []
    decoder = frames.FrameDecoder()
    try:
        while data := (yield from stream.read()):
            received += decoder.feed(data)
    except StreamBrokenError:
        pass
    return received


def test_a_leaf_rejects_an_unknown_version_and_malformed_frames():
    world = World(16)

    def main():
        leaf = world.fleet.leaves[0]
        for data, error in ((frames.encode(frames.Hello(9, "new")), "mismatch"), (b"\xff" * 8, "")):
            stream = yield from world.net.connect(leaf.address, 1_000_000)
            stream.write(data)
            received = yield from frames_until_end(stream)
            assert isinstance(received[0], frames.Hello)
            assert not error or "version 9" in received[-1].text

    world.run(main())
    assert world.events_of("garbled")


@pytest.mark.parametrize("seed", range(8))
def test_clients_that_disconnect_while_results_arrive_leave_no_state(seed):
    """The module may decide on an attempt in the turn of the loop in which the client disconnects.

    Such an attempt must not be sent, and must not stay registered.
    """
    world = World(seed, DEMO_SETTINGS.replace("(open-cap 600)", "(open-cap 0)"), shuffle=seed)

    def disconnect_early(number):
        """Send a query and disconnect within 80 ms."""
        client = yield from world.client()
        client.stream.write(b"get price:l%d\r\n" % number)
        # About when results arrive: some disconnects share a turn with them.
        yield from sleep(world.loop, 20_000 + (number * 137) % 60_000)
        client.stream.abort()

    def main():
        for leaf in world.fleet.leaves[::2]:
            inject_fault(leaf, "failclass", 3.0, text="price-search")
        for number in range(80):
            world.loop.spawn(disconnect_early(number), "disconnecting client")
            yield from sleep(world.loop, 7_000)
        yield from sleep(world.loop, 5_000_000)
        broker = world.fleet.brokers[0].broker
        assert not broker.queries and not broker.parts and not broker._sent_at_us and broker.open_count == 0
        assert not broker.aggregator.queries and not broker.aggregator.attempts_in_flight

    world.run(main())
    finish(world)


def test_an_attempt_decided_as_its_client_disconnects_is_reported_as_unsent():
    world = World(17)
    broker = world.fleet.brokers[0].broker

    def main():
        handle = broker.start_query("sale:anna:17", lambda _reply: None)
        yield from sleep(world.loop, 5_000)
        [sent] = world.events_of("send")
        # A result that needs another attempt and the client's disconnect are in one batch.
        broker.on_attempt_result(sent["node"], (sent["p"], 0), "unreachable", None)
        handle.disconnect()
        yield from sleep(world.loop, 3_000_000)
        assert not broker.queries and not broker.aggregator.attempts_in_flight and broker.open_count == 0

    world.run(main())
    assert len(world.events_of("send")) == 1 and len(world.events_of("unsent")) == 1


def test_parts_batched_into_one_call_have_an_outcome_each():
    text = DEMO_SETTINGS.replace("(attempts 4)", "(attempts 4) (parts-a-call 8)")
    world = World(18, text.replace("(width 3)", "(width 1)").replace("(need 75%)", "(need 100%)"))

    def main():
        client = yield from world.client()
        values, _ = yield from client.get("price:tea")
        assert json.loads(values["price:tea"][1])["coverage"]["parts"] == [8, 8]

    world.run(main())
    arrivals = world.events_of("arrive")
    # Eight parts at six hosts: some hosts receive two parts in one call.
    assert len(arrivals) == 8 and len({arrival["node"] for arrival in arrivals}) == 6
    assert len(world.events_of("ended", outcome="ok")) == 8
    finish(world)


def test_idle_connections_to_hosts_are_closed_and_reopened_on_demand():
    world = World(19, DEMO_SETTINGS.replace("(attempts 4)", "(attempts 4) (idle-close 2s)"))

    def main():
        client = yield from world.client()
        yield from client.get("price:tea")
        links = world.fleet.brokers[0].broker.links.values()
        assert any(link.stream for link in links)
        yield from sleep(world.loop, 5_000_000)
        assert not any(link.stream for link in links)
        values, _ = yield from client.get("price:tea")
        assert values

    world.run(main())
    finish(world)


def test_pushed_endpoint_updates_are_followed_after_an_outage_of_discovery():
    world = World(20, DEMO_SETTINGS.replace("(discovery ", "(discovery (ask no) "))

    def main():
        client = yield from world.client()
        assert (yield from client.get("price:tea"))[0]
        assert not world.events_of("watch")
        inject_fault(world.fleet.discovery, "down", 3.0)
        yield from sleep(world.loop, 1_000_000)
        assert world.events_of("news", kind="failed")
        assert (yield from client.get("price:bread"))[0]
        world.fleet.leaves[0].crash()
        yield from sleep(world.loop, 8_000_000)
        endpoint = world.fleet.brokers[0].broker.aggregator.endpoints[world.fleet.leaves[0].address]
        assert not endpoint.live

    world.run(main())
    finish(world)


def test_discovery_is_polled_again_after_an_outage_and_a_restarted_host_is_a_new_incarnation():
    world = World(21)

    def main():
        client = yield from world.client()
        assert (yield from client.get("price:tea"))[0]
        inject_fault(world.fleet.discovery, "down", 6.0)
        leaf = world.fleet.leaves[2]
        leaf.crash()
        yield from sleep(world.loop, 3_000_000)
        leaf.start()
        yield from sleep(world.loop, 9_000_000)
        endpoint = world.fleet.brokers[0].broker.aggregator.endpoints[leaf.address]
        assert endpoint.live and endpoint.started_at_us is not None and endpoint.started_at_us > 3_000_000
        assert len(world.events_of("watch")) > 2
        assert (yield from client.get("price:tea"))[0]

    world.run(main())
    finish(world)
