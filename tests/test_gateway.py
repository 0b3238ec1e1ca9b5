"""The platform's way in and out, on virtual time against the stand-ins."""

from __future__ import annotations

import contextlib
import gc
import json
import weakref

from heathwell import policy
from heathwell.eventloop import StreamBrokenError, sleep
from heathwell.gateway.node_pool import SINGLE_PART_AFTER_CLOSES
from heathwell.gateway.trace import Trace
from heathwell.testing.standins.platform_frames import encode_answer, generate_result

from .conftest import Driver, make_settings, of
from .platform import UNIX_US, Platform, node_request


def ask(world, *args, **more):
    def main():
        response = yield from world.client().send_query(*args, **more)
        return response

    response = world.run(main())
    return response.status, json.loads(response.body) if response.status == 200 else response.body


def test_a_query_is_answered_from_the_nodes_values():
    world = Platform()
    status, body = ask(world, "q1", "price-search", [0, 1, 2, 3])
    assert status == 200 and body["exact"] and len(body["rows"]) == 3  # any three of four make it whole
    assert {row["id"]: row["data"] for row in body["rows"]} == {
        row["id"]: generate_result(row["id"], b"c41e77d0").decode() for row in body["rows"]
    }
    parts = [part for node in world.nodes for part in node.parts]
    assert len(parts) == 3 and all(
        part.text == b"c41e77d0" and int(part.fields["d"]) <= 600 for part in parts
    )
    assert all(
        part.shard % 6 in {(node.replica_group - n) % 6 for n in range(3)}
        for node in world.nodes
        for part in node.parts
    )
    assert world.verdict().kept


def test_a_second_step_goes_to_the_highest_scores_and_names_what_was_in():
    world = Platform()
    status, body = ask(world, "q2", "day-report", [4, 5, 6, 7])
    scores = {shard: int(generate_result(shard, b"c41e77d0"), 16) % 1000 for shard in (4, 5, 6, 7)}
    best = sorted(scores, key=lambda shard: -scores[shard])[:2]
    assert status == 200 and body["exact"] and sorted(row["id"] for row in body["rows"]) == sorted(best)
    assert all(
        row["data"].encode() == generate_result(row["id"], b"c41e77d0", ".fetch") for row in body["rows"]
    )
    seconds = [part for node in world.nodes for part in node.parts if part.id.endswith(".fetch")]
    assert [part.fields["from"] for part in seconds] == ["4+5+6+7"] * 2
    assert {part.fields["whole"] for part in seconds} == {"1"}
    assert world.verdict().kept


def test_a_keyed_part_carries_its_key():
    world = Platform()
    status, _ = ask(world, "q3", "sale-record", [3], key="5c0f6e1a2b3d4c59")
    assert status == 200
    (part,) = [part for node in world.nodes for part in node.parts]
    assert part.fields["k"] == "5c0f6e1a2b3d4c59" and part.id == "q3.3"


def test_a_connection_that_breaks_does_not_eject_its_node():
    world = Platform()

    def breaks(node, stream, part):
        node.responder = None
        stream.abort()

    for node in world.nodes:
        node.responder = breaks
    status, _ = ask(world, "q1", "price-search", [0, 1, 2, 3])
    assert status == 200
    assert (
        world.broker.counters["attempt", "price-search", policy.Outcome.CONNECTION_LOST] >= 3
    )  # it may have run; the node is there
    assert not world.broker.counters["attempt", "price-search", policy.Outcome.BROKEN]
    assert all(
        server.slow_start_from_us is None
        and "no connection" not in [ejection.disconnect_reason for ejection in server.ejections.values()]
        for server in world.broker.aggregator.endpoints.values()
    )


def test_a_node_that_dies_is_told_as_lost():
    world = Platform()
    victims = []

    def dies(node, stream, part):
        victims.append(node.uid)
        node.kill()
        for other in world.nodes:
            other.responder = None

    for node in world.nodes:
        node.responder = dies
    status, _ = ask(world, "q1", "price-search", [0, 1, 2, 3])
    assert status == 200 and world.broker.counters["attempt", "price-search", policy.Outcome.BROKEN] >= 1
    assert world.broker.aggregator.endpoints[victims[0]].ejections


def test_what_had_not_left_when_a_connection_broke_never_ran():
    world = Platform()
    for node in world.nodes:
        node.kill()  # new connections are refused
    status, _ = ask(world, "q1", "sale-record", [3], key="k1")
    assert status == 503
    assert set(world.broker.counters) & {("attempt", "sale-record", policy.Outcome.UNREACHABLE)}
    assert not world.broker.counters["attempt", "sale-record", policy.Outcome.BROKEN]


def test_a_node_that_closes_after_each_answer_gets_one_part_a_connection():
    world = Platform()

    def closes(node, stream, part):
        node.log_end(part)
        stream.write(encode_answer(part))
        stream.close()

    for node in world.nodes:
        node.responder = closes

    def main():
        for n in range(30):
            client = world.client()
            first = world.loop.spawn(client.send_query(f"a{n}", "price-search", [0, 1, 2, 3]), "a")
            second = world.loop.spawn(world.client().send_query(f"b{n}", "price-search", [0, 1, 2, 3]), "b")
            yield from first.join()
            yield from second.join()

    world.run(main())
    links = [link for link in world.broker.links.values() if link.connects > SINGLE_PART_AFTER_CLOSES]
    assert links and all(link.is_single_part for link in links)
    before = sum(link.breaks for link in links)

    def more():
        tasks = [
            world.loop.spawn(world.client().send_query(f"c{n}", "price-search", [0, 1, 2, 3]), "c")
            for n in range(12)
        ]
        for task in tasks:
            yield from task.join()

    world.run(more())
    assert sum(link.breaks for link in links) == before  # no answer's close took another part with it

    def keeps():
        for node in world.nodes:
            node.responder = None
        for n in range(8):
            yield from world.client().send_query(f"d{n}", "price-search", [0, 1, 2, 3])
            yield from sleep(world.loop, 100_000)

    world.run(keeps())
    assert not any(link.is_single_part for link in links if link.up)


def test_an_answer_to_what_was_given_up_is_not_taken_for_a_later_attempt():
    world = Platform()
    link_of = world.broker._link
    world.wait(0.1)
    node = world.nodes[3]
    ended = []
    link = link_of("s3")
    world.broker.on_attempt_result = lambda node, key, outcome, result: ended.append((key, outcome))
    late = []
    node.responder = lambda node, stream, part: late.append((stream, part))
    link.send([node_request("q1.3", 0, 3, b"x")])
    world.wait(0.05)
    assert link.abandon(("q1.3", 0))
    link.send([node_request("q1.3", 1, 3, b"x")])
    world.wait(0.05)
    assert len(late) == 2 and late[0][0] is not late[1][0]  # another connection: an id goes over one once
    stream, part = late[0]
    stream.write(encode_answer(part, 503))  # of the first, which was given up
    world.wait(0.01)
    assert not ended and link.late_answers == 1
    stream, part = late[1]
    stream.write(encode_answer(part))
    world.wait(0.01)
    assert ended == [(("q1.3", 1), policy.Outcome.OK)]
    assert node.cancelled_ids == ["q1.3"]


def test_a_silent_connection_is_not_trusted_with_a_probe():
    world = Platform()
    ask(world, "q1", "price-search", [0, 1, 2, 3])
    uid, link = next((uid, link) for uid, link in world.broker.links.items() if link.up)
    node = next(node for node in world.nodes if node.uid == uid)
    world.net.cut(uid, "broker")
    link.probe()
    world.wait(2.0)
    assert world.broker.counters["probe", policy.Outcome.TIMED_OUT] == 1
    world.net.heal(uid, "broker")
    node.silent = False
    held = list(node.streams)
    link.probe()
    world.wait(0.2)
    assert world.broker.counters["probe", policy.Outcome.OK] == 1
    assert any(stream not in held for stream in node.streams)


def test_a_connection_that_falls_silent_is_told_from_its_node():
    world = Platform()
    ask(world, "q0", "price-search", list(range(12)))
    dead = {stream for node in world.nodes for stream in node.streams}

    def mute(node, stream, part):
        if stream not in dead:
            node.log_end(part)
            stream.write(encode_answer(part))

    for node in world.nodes:
        node.responder = mute

    def main():
        statuses = []
        for n in range(60):
            response = yield from world.client().send_query(f"q{n + 1}", "price-search", [0, 1, 2, 3])
            statuses.append(response.status)
            yield from sleep(world.loop, 20_000)
        return statuses

    statuses = world.run(main())
    module = world.broker.aggregator
    assert statuses.count(200) >= 58 and statuses[20:] == [200] * 40
    assert all(module.slow_start_fraction(server) == 1.0 for server in module.endpoints.values())
    assert world.broker.counters["attempt", "price-search", policy.Outcome.TIMED_OUT] >= 1
    assert not world.broker.counters["probe", policy.Outcome.TIMED_OUT]
    assert world.verdict().kept


def test_nothing_leaves_for_a_query_that_has_its_answer_while_it_waits_for_its_connection():
    world = Platform()
    for node in world.nodes:
        node.silent = True
    slow = world.net.delay
    world.net.delay = lambda a, b: 60_000 if "broker" in (a, b) and "s" in (a[0], b[0]) else slow(a, b)

    def main():
        response = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3], timeout_ms=120)
        yield from sleep(world.loop, 1_000_000)
        return response.status

    assert world.run(main()) == 503
    assert not any(node.parts for node in world.nodes)
    assert world.broker.counters["attempt", "price-search", policy.Outcome.NEVER_SENT] >= 3
    assert not world.broker.parts and not any(
        server.in_flight for server in world.broker.aggregator.endpoints.values()
    )


def test_a_stall_of_the_loop_past_the_deadline_lets_the_module_answer_first():
    world = Platform()
    for node in world.nodes:
        node.silent = True

    def main():
        task = world.loop.spawn(
            world.client().send_query("q1", "price-search", [0, 1, 2, 3], timeout_ms=300), "q"
        )
        yield from sleep(world.loop, 200_000)
        world.loop.clock.advance(world.loop.now() + 300_000)  # nothing ran for so long
        return (yield from task.join())

    response = world.run(main())
    assert response.status == 503  # the module's refusal, not the driver's own end
    assert not any("overdue" in line for line in world.lines)


def test_starts_of_nodes_are_moved_to_the_brokers_clock():
    world = Platform()
    assert world.registry is not None
    began = world.loop.now()
    world.registry.publish({**world.nodes[2].entry, "boot_ms": UNIX_US // 1000 + 5000})
    world.wait(0.5)
    assert world.broker.aggregator.endpoints["s2"].started_at_us == began + 5_000_000
    assert world.broker.aggregator.endpoints["s1"].started_at_us is None


def test_a_last_try_with_all_the_time_left_does_not_make_first_tries_look_cut():
    d = Driver(make_settings())
    for _ in range(20):
        (send,) = of(d.query(0, [0], limit=1_500_000), policy.Send)
        d.end(send)
    d.query(0, [0], limit=1_990_000)  # a client's last try may have more time than its first
    query = d.agg.queries[f"q{d.jobs + 1 - 1}"]
    assert query.objective_at_us == d.now + 1_000_000
    d.query(0, [1], limit=1_500_000)
    assert d.agg.queries[f"q{d.jobs}"].objective_at_us == d.now + 1_000_000
    d.query(0, [2], limit=700_000)  # a retry that is cut short still tells when its client first asked
    assert d.agg.queries[f"q{d.jobs}"].objective_at_us == d.now - 300_000


def test_a_client_that_closes_has_left():
    world = Platform()

    def main():
        client = world.client()
        task = world.loop.spawn(client.send_query("q1", "price-search", [0, 1, 2, 3]), "q")
        yield from sleep(world.loop, 10_000)
        client.stream.close()
        with contextlib.suppress(StreamBrokenError):
            yield from task.join()
        yield from sleep(world.loop, 50_000)

    world.run(main())
    assert world.broker.counters["left", "price-search"] == 1 and not world.broker.queries


def test_what_is_kept_stands_still_while_thousands_of_nodes_and_clients_come_and_go():
    world = Platform()
    assert world.registry is not None
    sizes = []

    def main():
        nodes = list(world.nodes)
        for n in range(2000):
            old, cell = nodes[n % 6], n % 6
            world.registry.publish({**old.entry, "state": "removed"})
            nodes[cell] = world.node(1000 + n, cell)
            world.registry.publish({**nodes[cell].entry, "boot_ms": 1 + n})
            yield from sleep(world.loop, 100_000)
            old.kill()
            client = world.client(f"c{n}")
            response = yield from client.send_query(f"q{n}", "price-search", [(n + k) % 12 for k in range(4)])
            assert response.status in (200, 503)
            client.stream.close()
            world.events.clear()
            world.lines.clear()
            if n in (500, 1999):
                broker, module = world.broker, world.broker.aggregator
                sizes.append(
                    [
                        len(kept)
                        for kept in (
                            module.endpoints,
                            module.context._topics,
                            module.context.timers,
                            module.attempts_in_flight,
                            broker.links,
                            broker.addresses,
                            broker.queries,
                            broker.parts,
                            broker._sent_at_us,
                            broker.counters,
                            world.front.clients,
                            world.loop.tasks,
                            world.loop._timers,
                        )
                    ]
                )

    world.run(main())
    early, late = sizes
    assert all(after <= before + 20 for before, after in zip(early, late, strict=True)), sizes
    assert late[0] < 120 and late[4] < 30


def test_a_server_that_left_is_forgotten_only_once_it_would_be_warm(drive):
    d = drive()
    d.step(
        0,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL, (policy.EndpointEntry("s1", 1, policy.EndpointState.GONE),)
        ),
    )
    d.step(5_000_000, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, ()))
    assert "s1" in d.agg.endpoints and not d.agg.endpoints["s1"].live
    d.step(16_000_000, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, ()))
    assert "s1" not in d.agg.endpoints
    d.step(
        0,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL, (policy.EndpointEntry("s1", 1, started_at_us=d.now),)
        ),
    )
    assert d.agg.slow_start_fraction(d.agg.endpoints["s1"]) < 1.0


def test_parts_lost_with_their_connections_shed_nothing_and_eject_nobody(drive):
    d = drive()
    first = None
    for _ in range(40):
        for send in of(d.query(0, [0, 1, 2, 3]), policy.Send):
            first = first or send
            again = of(d.end(send, policy.Outcome.CONNECTION_LOST, after=1000, took=10_000), policy.Send)
            assert (
                len(again) == 1 and again[0].node != send.node
            )  # outside of the own budget, at another holder
            d.end(again[0], after=1000, seq=1)
    assert not any(server.ejections or server.penalty.value for server in d.agg.endpoints.values())
    assert d.agg.retry_budget.bucket.tokens >= 1


def test_a_keyed_part_that_was_lost_is_sent_again_within_its_window_only(drive):
    d = drive()
    (send,) = of(d.query(3, [0]), policy.Send)
    assert of(d.end(send, policy.Outcome.CONNECTION_LOST, after=100_000), policy.Send)
    (send,) = of(d.query(3, [0]), policy.Send)
    assert not of(d.end(send, policy.Outcome.CONNECTION_LOST, after=750_000), policy.Send)
    (send,) = of(d.query(4, [0]), policy.Send)
    assert not of(
        d.end(send, policy.Outcome.CONNECTION_LOST, after=1000), policy.Send
    )  # an unsafe one may have run


def test_connections_of_both_sides_go_without_the_collector():
    world, seen = Platform(), []

    def main():
        for n in range(20):
            client = world.client(f"c{n}")
            yield from client.send_query(f"q{n}", "price-search", [0, 1, 2, 3])
            connections = [c for link in world.broker.links.values() for c in link.connections]
            seen.extend(weakref.ref(thing) for thing in (*connections, *world.front.clients))
            client.stream.close()
            for node in world.nodes:  # each query meets new connections
                for stream in list(node.streams):
                    stream.abort()
            yield from sleep(world.loop, 20_000)

    gc.disable()
    try:
        world.run(main())
        alive = [ref() for ref in seen if ref() is not None]
    finally:
        gc.enable()
    assert len(seen) >= 60 and not alive


def test_the_trace_prints_beliefs_state_and_changed_counters_once_a_second(capsys):
    world = Platform()
    ask(world, "q1", "price-search", [0, 1, 2, 3])
    Trace(world.broker, world.front)
    world.wait(1.0)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    for line in lines:
        assert line.startswith("trace ") and " believes: known=6 live=6 ejected=0 " in line
        assert " holds: queries=0 links=" in line and " single=0 clients=" in line
    connects = sum(link.connects for link in world.broker.links.values())
    assert f" connects={connects} " in lines[0] and " requests=1 " in lines[0]
    assert " connects=" not in lines[1] and " lag_us=0 " in lines[1]


def test_a_link_counts_by_the_names_that_the_trace_prints():
    world = Platform()
    ask(world, "q1", "price-search", [0, 1, 2, 3])
    link = next(link for link in world.broker.links.values() if link.up)
    link.late_answers = 3
    assert link.statistics() == {"connects": 1, "breaks": 0, "late": 3, "spoilt": 0, "ended_soon": 0}
