"""Client requests and node connections of the platform's broker, on virtual time against stand-ins."""

from __future__ import annotations

import contextlib
import gc
import json
import weakref
from typing import Final

from heathwell import policy
from heathwell.eventloop import StreamBrokenError, sleep
from heathwell.gateway.node_pool import SINGLE_PART_AFTER_CLOSES
from heathwell.gateway.trace import Trace
from heathwell.testing.standins.platform_frames import encode_answer, generate_result

from .conftest import AggregatorDriver, actions_of_type, make_settings
from .platform import UNIX_US, Platform, node_request

FOUR_SHARDS: Final = [0, 1, 2, 3]


def query(world, *args, **more):
    """Send a query to its end; return its status, and its body, decoded where the status is 200."""
    response = world.query(*args, **more)
    return response.status, json.loads(response.body) if response.status == 200 else response.body


def start_query(world, name, client=None, **more):
    """Start a price search over four shards and return its task."""
    client = client or world.client()
    return world.loop.spawn(client.send_query(name, "price-search", FOUR_SHARDS, **more), "q")


def test_a_query_is_answered_from_the_results_of_the_nodes():
    """The parts go to replicas of their shards, with the query's text and at most its remaining time."""
    world = Platform()
    status, body = query(world, "q1", "price-search", FOUR_SHARDS)
    assert status == 200 and body["exact"] and len(body["rows"]) == 3  # any three of four make it complete
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


def test_a_second_step_goes_to_the_highest_scores_and_names_the_parts_of_the_first():
    """Each of its parts states which shards answered the first step, and whether those were all."""
    world = Platform()
    status, body = query(world, "q2", "day-report", [4, 5, 6, 7])
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


def test_a_part_of_a_keyed_class_carries_its_idempotency_key():
    """The key reaches the node unchanged."""
    world = Platform()
    status, _ = query(world, "q3", "sale-record", [3], key="5c0f6e1a2b3d4c59")
    assert status == 200
    (part,) = [part for node in world.nodes for part in node.parts]
    assert part.fields["k"] == "5c0f6e1a2b3d4c59" and part.id == "q3.3"


def test_a_lost_connection_does_not_eject_its_node():
    """A node that accepts a new connection is alive; only the parts in flight are lost, and may have run."""
    world = Platform()

    def abort_once(node, stream, _part):
        node.responder = None
        stream.abort()

    world.respond_with(abort_once)
    status, _ = query(world, "q1", "price-search", FOUR_SHARDS)
    assert status == 200
    assert world.broker.counters["attempt", "price-search", policy.Outcome.CONNECTION_LOST] >= 3
    assert not world.broker.counters["attempt", "price-search", policy.Outcome.BROKEN]
    assert all(
        endpoint.slow_start_from_us is None
        and "no connection" not in [ejection.disconnect_reason for ejection in endpoint.ejections.values()]
        for endpoint in world.broker.aggregator.endpoints.values()
    )


def test_a_terminated_node_breaks_its_attempts_and_is_ejected():
    """A terminated process ends its connections, and new ones are refused."""
    world = Platform()
    terminated = []

    def terminate(node, _stream, _part):
        terminated.append(node.uid)
        node.kill()
        world.respond_with(None)

    world.respond_with(terminate)
    status, _ = query(world, "q1", "price-search", FOUR_SHARDS)
    assert status == 200 and world.broker.counters["attempt", "price-search", policy.Outcome.BROKEN] >= 1
    assert world.broker.aggregator.endpoints[terminated[0]].ejections


def test_a_part_that_was_not_sent_is_reported_as_unreachable_not_as_broken():
    """It is certain that an unsent part has not run, which is not so after a broken attempt."""
    world = Platform()
    for node in world.nodes:
        node.kill()  # new connections are refused
    status, _ = query(world, "q1", "sale-record", [3], key="k1")
    assert status == 503
    assert set(world.broker.counters) & {("attempt", "sale-record", policy.Outcome.UNREACHABLE)}
    assert not world.broker.counters["attempt", "sale-record", policy.Outcome.BROKEN]


def send_pairs(world, count):
    """Send two queries at a time, ``count`` times."""
    for number in range(count):
        first = start_query(world, f"a{number}")
        second = start_query(world, f"b{number}")
        yield from first.join()
        yield from second.join()


def send_together(world, count):
    """Send ``count`` queries at the same time and wait for their ends."""
    tasks = [start_query(world, f"c{number}") for number in range(count)]
    for task in tasks:
        yield from task.join()


def test_a_node_that_closes_after_each_response_gets_one_part_per_connection():
    """Each close would lose all other parts on its connection. The rule ends once connections stay open."""
    world = Platform()

    def respond_and_close(node, stream, part):
        node.log_end(part)
        stream.write(encode_answer(part))
        stream.close()

    world.respond_with(respond_and_close)
    world.run(send_pairs(world, 30))
    links = [link for link in world.broker.links.values() if link.connects > SINGLE_PART_AFTER_CLOSES]
    assert links and all(link.is_single_part for link in links)
    before = sum(link.breaks for link in links)
    world.run(send_together(world, 12))
    assert sum(link.breaks for link in links) == before  # no close broke the attempt of another part

    def send_to_open_connections():
        world.respond_with(None)
        for number in range(8):
            yield from world.client().send_query(f"d{number}", "price-search", FOUR_SHARDS)
            yield from sleep(world.loop, 100_000)

    world.run(send_to_open_connections())
    assert not any(link.is_single_part for link in links if link.up)


def test_a_response_to_a_cancelled_attempt_is_not_taken_for_that_of_a_later_one():
    """The wire names the part and not the attempt, so attempts of one part use different connections."""
    world = Platform()
    world.wait(0.1)
    node = world.nodes[3]
    ended = []
    link = world.broker._link("s3")
    world.broker.on_attempt_result = lambda _node, key, outcome, _result: ended.append((key, outcome))
    held = []
    node.responder = lambda _node, stream, part: held.append((stream, part))
    link.send([node_request("q1.3", 0, 3, b"x")])
    world.wait(0.05)
    assert link.abandon(("q1.3", 0))
    link.send([node_request("q1.3", 1, 3, b"x")])
    world.wait(0.05)
    assert len(held) == 2 and held[0][0] is not held[1][0]
    stream, part = held[0]
    stream.write(encode_answer(part, 503))  # to the cancelled attempt
    world.wait(0.01)
    assert not ended and link.late_answers == 1
    stream, part = held[1]
    stream.write(encode_answer(part))
    world.wait(0.01)
    assert ended == [(("q1.3", 1), policy.Outcome.OK)]
    assert node.cancelled_ids == ["q1.3"]


def test_a_probe_uses_a_new_connection_after_a_silent_one():
    """A probe on a dead connection would time out although the node is healthy."""
    world = Platform()
    query(world, "q1", "price-search", FOUR_SHARDS)
    uid, link = next((uid, link) for uid, link in world.broker.links.items() if link.up)
    node = next(node for node in world.nodes if node.uid == uid)
    world.net.cut(uid, "broker")
    link.probe()
    world.wait(2.0)
    assert world.broker.counters["probe", policy.Outcome.TIMED_OUT] == 1
    world.net.heal(uid, "broker")
    node.silent = False
    old_streams = list(node.streams)
    link.probe()
    world.wait(0.2)
    assert world.broker.counters["probe", policy.Outcome.OK] == 1
    assert any(stream not in old_streams for stream in node.streams)


def test_a_connection_that_becomes_silent_does_not_count_against_its_node():
    """Queries are served over new connections, and no node is put into slow start."""
    world = Platform()
    query(world, "q0", "price-search", list(range(12)))
    silent_streams = {stream for node in world.nodes for stream in node.streams}

    def respond_on_new_connections(node, stream, part):
        if stream not in silent_streams:
            node.log_end(part)
            stream.write(encode_answer(part))

    world.respond_with(respond_on_new_connections)

    def main():
        statuses = []
        for number in range(60):
            response = yield from world.client().send_query(f"q{number + 1}", "price-search", FOUR_SHARDS)
            statuses.append(response.status)
            yield from sleep(world.loop, 20_000)
        return statuses

    statuses = world.run(main())
    aggregator = world.broker.aggregator
    assert statuses.count(200) >= 58 and statuses[20:] == [200] * 40
    assert all(aggregator.slow_start_fraction(endpoint) == 1.0 for endpoint in aggregator.endpoints.values())
    assert world.broker.counters["attempt", "price-search", policy.Outcome.TIMED_OUT] >= 1
    assert not world.broker.counters["probe", policy.Outcome.TIMED_OUT]
    assert world.verdict().kept


def test_no_part_is_sent_for_a_query_that_is_answered_while_its_parts_wait_for_a_connection():
    """The connects take longer than the query's timeout, so that its parts are never written."""
    world = Platform()
    for node in world.nodes:
        node.silent = True
    world.delay_nodes(60_000)

    def main():
        response = yield from world.client().send_query("q1", "price-search", FOUR_SHARDS, timeout_ms=120)
        yield from sleep(world.loop, 1_000_000)
        return response.status

    assert world.run(main()) == 503
    assert not any(node.parts for node in world.nodes)
    assert world.broker.counters["attempt", "price-search", policy.Outcome.NEVER_SENT] >= 3
    assert not world.broker.parts and not any(
        endpoint.in_flight for endpoint in world.broker.aggregator.endpoints.values()
    )


def test_after_a_stall_past_the_deadline_the_module_rejects_the_query_before_the_driver_ends_it():
    """The driver ends a query that the module left without a reply. That is logged, and must not occur."""
    world = Platform()
    for node in world.nodes:
        node.silent = True

    def main():
        task = start_query(world, "q1", timeout_ms=300)
        yield from sleep(world.loop, 200_000)
        world.loop.clock.advance(world.loop.now() + 300_000)  # the stall
        return (yield from task.join())

    response = world.run(main())
    assert response.status == 503  # the module's rejection, not the driver's end
    assert not any("overdue" in line for line in world.lines)


def test_start_times_of_nodes_are_converted_to_the_clock_of_the_broker():
    """Discovery states start times as Unix time."""
    world = Platform()
    assert world.registry is not None
    began_us = world.loop.now()
    world.registry.publish({**world.nodes[2].entry, "boot_ms": UNIX_US // 1000 + 5000})
    world.wait(0.5)
    assert world.broker.aggregator.endpoints["s2"].started_at_us == began_us + 5_000_000
    assert world.broker.aggregator.endpoints["s1"].started_at_us is None


def test_a_last_attempt_with_more_time_does_not_make_first_attempts_look_like_retries():
    """The latency objective of a retry counts from its client's first attempt."""
    driver = AggregatorDriver(make_settings())
    for _ in range(20):
        (send,) = actions_of_type(driver.query(0, [0], timeout_us=1_500_000), policy.Send)
        driver.end(send)
    driver.query(0, [0], timeout_us=1_990_000)  # a client's last attempt may have more time than its first
    arrived = driver.aggregator.queries[f"q{driver.query_count + 1 - 1}"]
    assert arrived.objective_at_us == driver.now_us + 1_000_000
    driver.query(0, [1], timeout_us=1_500_000)
    assert driver.aggregator.queries[f"q{driver.query_count}"].objective_at_us == driver.now_us + 1_000_000
    driver.query(0, [2], timeout_us=700_000)  # a retry with less time: its client sent the query before
    assert driver.aggregator.queries[f"q{driver.query_count}"].objective_at_us == driver.now_us - 300_000


def test_the_query_of_a_client_that_disconnects_is_abandoned():
    """The disconnect is counted, and the query is removed from the broker's table."""
    world = Platform()

    def main():
        client = world.client()
        task = start_query(world, "q1", client)
        yield from sleep(world.loop, 10_000)
        client.stream.close()
        with contextlib.suppress(StreamBrokenError):
            yield from task.join()
        yield from sleep(world.loop, 50_000)

    world.run(main())
    assert world.broker.counters["left", "price-search"] == 1 and not world.broker.queries


def table_sizes(world):
    """Return the sizes of all tables of broker, module, front and loop."""
    broker = world.broker
    aggregator = broker.aggregator
    tables = (
        aggregator.endpoints,
        aggregator.context._topics,
        aggregator.context.timers,
        aggregator.attempts_in_flight,
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
    return [len(table) for table in tables]


def test_tables_do_not_grow_while_thousands_of_nodes_and_clients_are_replaced():
    """Guards against leaks: each of 2,000 rounds replaces a node and connects a new client."""
    world = Platform()
    assert world.registry is not None
    sizes = []

    def main():
        nodes = list(world.nodes)
        for number in range(2000):
            replica_group = number % 6
            old = nodes[replica_group]
            world.registry.publish({**old.entry, "state": "removed"})
            nodes[replica_group] = world.node(1000 + number, replica_group)
            world.registry.publish({**nodes[replica_group].entry, "boot_ms": 1 + number})
            yield from sleep(world.loop, 100_000)
            old.kill()
            client = world.client(f"c{number}")
            shards = [(number + offset) % 12 for offset in range(4)]
            response = yield from client.send_query(f"q{number}", "price-search", shards)
            assert response.status in (200, 503)
            client.stream.close()
            world.events.clear()
            world.lines.clear()
            if number in (500, 1999):
                sizes.append(table_sizes(world))

    world.run(main())
    early, late = sizes
    assert all(after <= before + 20 for before, after in zip(early, late, strict=True)), sizes
    assert late[0] < 120 and late[4] < 30


def incremental_update(*entries):
    """Return a watch event with these changes."""
    return policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, entries)


def test_a_removed_endpoint_is_forgotten_only_after_the_time_of_a_slow_start(make_driver):
    """If it returns after that time, it is in slow start again."""
    driver = make_driver()
    driver.step(0, incremental_update(policy.EndpointEntry("s1", 1, policy.EndpointState.GONE)))
    driver.step(5_000_000, incremental_update())
    assert "s1" in driver.aggregator.endpoints and not driver.aggregator.endpoints["s1"].live
    driver.step(16_000_000, incremental_update())
    assert "s1" not in driver.aggregator.endpoints
    driver.step(0, incremental_update(policy.EndpointEntry("s1", 1, started_at_us=driver.now_us)))
    assert driver.aggregator.slow_start_fraction(driver.aggregator.endpoints["s1"]) < 1.0


def test_lost_connections_neither_shed_queries_nor_eject_endpoints(make_driver):
    """Each lost part is retried once at another replica, and the retry does not use the retry budget."""
    driver = make_driver()
    first = None
    for _ in range(40):
        for send in actions_of_type(driver.query(0, FOUR_SHARDS), policy.Send):
            first = first or send
            retries = actions_of_type(
                driver.end(send, policy.Outcome.CONNECTION_LOST, after_us=1000, latency_us=10_000),
                policy.Send,
            )
            assert len(retries) == 1 and retries[0].node != send.node
            driver.end(retries[0], after_us=1000, seq=1)
    assert not any(
        endpoint.ejections or endpoint.penalty.value for endpoint in driver.aggregator.endpoints.values()
    )
    assert driver.aggregator.retry_budget.bucket.tokens >= 1


def test_a_lost_keyed_part_is_retried_within_its_idempotency_window_only(make_driver):
    """After the window, a repeated key would have a second effect. A lost non-idempotent part is never
    retried, as it may have run.
    """
    driver = make_driver()
    (send,) = actions_of_type(driver.query(3, [0]), policy.Send)
    assert actions_of_type(driver.end(send, policy.Outcome.CONNECTION_LOST, after_us=100_000), policy.Send)
    (send,) = actions_of_type(driver.query(3, [0]), policy.Send)
    assert not actions_of_type(
        driver.end(send, policy.Outcome.CONNECTION_LOST, after_us=750_000), policy.Send
    )
    (send,) = actions_of_type(driver.query(4, [0]), policy.Send)
    assert not actions_of_type(driver.end(send, policy.Outcome.CONNECTION_LOST, after_us=1000), policy.Send)


def test_closed_connections_of_clients_and_nodes_are_freed_without_the_garbage_collector():
    """Guards against reference cycles, which keep memory until the collector runs."""
    world = Platform()
    seen = []

    def main():
        for number in range(20):
            client = world.client(f"c{number}")
            yield from client.send_query(f"q{number}", "price-search", FOUR_SHARDS)
            connections = [
                connection for link in world.broker.links.values() for connection in link.connections
            ]
            seen.extend(weakref.ref(connection) for connection in (*connections, *world.front.clients))
            client.stream.close()
            for node in world.nodes:  # so that each query uses new connections
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


def test_the_trace_prints_endpoint_states_table_sizes_and_changed_counters_once_a_second(capsys):
    """Counters that have not changed since the previous line are left out."""
    world = Platform()
    query(world, "q1", "price-search", FOUR_SHARDS)
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


def test_the_statistics_of_a_link_have_the_names_that_the_trace_prints():
    """Operators' tools read the printed names, so that these must not change."""
    world = Platform()
    query(world, "q1", "price-search", FOUR_SHARDS)
    link = next(link for link in world.broker.links.values() if link.up)
    link.late_answers = 3
    assert link.statistics() == {"connects": 1, "breaks": 0, "late": 3, "spoilt": 0, "ended_soon": 0}
