"""The memory that clients share: its division, who may read, who is refused, and what gives it back."""

from __future__ import annotations

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.eventloop import sleep, virtual
from heathwell.gateway.client_memory import (
    BYTES_PER_MB,
    CLIENT_FRACTION,
    CONNECTION_BYTES,
    MIN_CONNECTIONS,
    MIN_SHARED_BYTES,
    PLACE_BYTES,
    QUERY_BYTES,
    READ_FRACTION,
    ConnectionMemory,
    MemoryBudget,
    client_limits,
)

from .platform import Platform
from .test_client_limits import read_all
from .test_gateway_front import RAW_HEAD, raw_request

SECOND_US = 1_000_000
BODY_BYTES = 65_536
SENT_BYTES = 65_000
SMALL_LIMITS = {"sockets": 1024, "memory_mb": 28, "cores": 0.4}


@pytest.mark.parametrize("memory_mb", [24, 32, 48, 64, 96, 192])
@pytest.mark.parametrize("sockets", [256, 1024])
def test_the_places_and_the_shared_bytes_of_clients_fit_in_the_memory_that_is_left(memory_mb, sockets):
    """A third of the descriptors, which usual clients may hold, has places from 32 MB on."""
    process_bytes = 20 * BYTES_PER_MB
    descriptors = sockets * 3 // 4 - 24
    limits = client_limits(memory_mb * BYTES_PER_MB, process_bytes, descriptors)
    used_bytes = limits.connections * (CONNECTION_BYTES + PLACE_BYTES) + limits.shared_bytes
    assert used_bytes <= (memory_mb * BYTES_PER_MB - process_bytes) * CLIENT_FRACTION
    assert limits.shared_bytes >= MIN_SHARED_BYTES and MIN_CONNECTIONS <= limits.connections <= descriptors
    if memory_mb >= 32:
        assert limits.connections >= sockets // 3


def test_a_limit_below_the_size_of_the_process_leaves_the_least_for_clients():
    limits = client_limits(16 * BYTES_PER_MB, 20 * BYTES_PER_MB, 744)
    assert (limits.connections, limits.shared_bytes) == (MIN_CONNECTIONS, MIN_SHARED_BYTES)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 200_000)), max_size=200))
def test_the_budget_is_charged_what_connections_hold_beyond_their_places(sizes):
    budget = MemoryBudget(1_000_000)
    connections = [ConnectionMemory(budget) for _ in range(10)]
    for number, size in sizes:
        connections[number].resize(size)
        expected = sum(max(0, connection.held_bytes - PLACE_BYTES) for connection in connections)
        assert budget.used_bytes == expected
    for connection in connections:
        connection.resize(0)
    assert budget.used_bytes == 0


@given(st.lists(st.integers(0, 9), max_size=30))
def test_requests_reserve_within_the_shared_bytes_and_the_others_go_on_in_the_order_of_their_waits(numbers):
    """One reservation may pass the limit; whoever waits is woken, one after the other, once there is room."""
    budget = MemoryBudget(400_000)
    connections = [ConnectionMemory(budget) for _ in range(10)]
    waiting = []
    woken = []

    def wake(number):
        woken.append(number)
        budget.stop_waiting(wakes[number])
        connections[number].reserve(80_000)

    wakes = [partial(wake, number) for number in range(10)]
    for number in numbers:
        if number in waiting or connections[number].reserved_bytes:
            connections[number].release()
            continue
        if not connections[number].reserve(80_000):
            waiting.append(number)
            budget.wait(wakes[number])
        assert budget.used_bytes <= budget.limit_bytes * READ_FRACTION + 80_000
    for connection in connections * 2:
        connection.release()
    assert woken == waiting
    for connection in connections:
        connection.release()
    assert budget.used_bytes == 0


def half_request(number):
    """Return most of a request with the longest body."""
    head = RAW_HEAD % b"h%d" % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    return head + b"a" * SENT_BYTES


def test_half_requests_share_the_memory_and_small_requests_are_served_beside_them():
    """Guards against a sum of half requests that has no bound but the number of connections."""
    world = Platform(limits=SMALL_LIMITS)
    memory = world.broker.memory
    used = []
    statuses = []

    def stop_midway(number):
        stream = yield from world.net.connect("broker:7070", SECOND_US, f"half{number}")
        stream.write(half_request(number))
        return (yield from read_all(stream))

    def main():
        tasks = [world.loop.spawn(stop_midway(number), "half") for number in range(330)]
        while not all(task.done for task in tasks):
            used.append(memory.used_bytes)
            client = world.client()
            response = yield from client.send_query(f"q{len(used)}", "price-search", [0, 1, 2, 3])
            statuses.append(response.status)
            client.stream.close()
        yield from sleep(world.loop, 3 * SECOND_US // 2)  # the connections linger behind their errors
        return [task.result for task in tasks]

    received = world.run(main())
    assert max(used) <= memory.limit_bytes
    assert set(statuses) == {200}
    assert all(data[:12] in (b"HTTP/1.1 503", b"HTTP/1.1 408") for data in received)
    assert memory.used_bytes == 0 and not world.front.clients


def test_a_long_request_is_served_while_half_ones_hold_the_shared_memory():
    """Guards against half requests that shut out the whole ones until they time out."""
    world = Platform(limits=SMALL_LIMITS)

    def stop_midway(number):
        stream = yield from world.net.connect("broker:7070", SECOND_US, f"half{number}")
        stream.write(half_request(number))
        return (yield from read_all(stream))

    def main():
        for number in range(60):
            world.loop.spawn(stop_midway(number), "half")
        yield from sleep(world.loop, 20_000)
        assert not world.broker.memory.can_read
        began_us = world.loop.now()
        response = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3], text="x" * 30_000)
        return response.status, world.loop.now() - began_us

    status, duration_us = world.run(main())
    assert status == 200 and duration_us < SECOND_US


def test_long_queries_are_refused_at_once_where_their_texts_would_exceed_the_memory():
    """Guards against texts of open queries that are held without a bound; short queries are served on."""
    world = Platform(limits=SMALL_LIMITS)
    memory = world.broker.memory
    for node in world.nodes:
        node.work_us = 100_000
    used = []

    def main():
        tasks = [
            world.loop.spawn(
                world.client(f"c{number}").send_query(f"q{number}", "price-search", [0], text="x" * 32_000),
                "query",
            )
            for number in range(150)
        ]
        yield from sleep(world.loop, 50_000)
        used.append(memory.used_bytes)
        short = yield from world.client().send_query("short", "price-search", [1])
        for task in tasks:
            yield from task.join()
        return [task.result.status for task in tasks], short.status

    statuses, short_status = world.run(main())
    assert max(used) <= memory.limit_bytes and short_status == 200
    refused = statuses.count(503)
    assert refused and statuses.count(200) >= memory.limit_bytes // 4 // (32_000 + 2 * QUERY_BYTES)
    assert refused + statuses.count(200) == 150
    assert memory.used_bytes == 0


def test_memory_is_given_back_however_a_query_ends():
    """Guards against charges that stay after an answer, a disconnect, a refusal or an error."""
    world = Platform(limits=SMALL_LIMITS)
    body = raw_request(b"q1")

    def main():
        yield from world.client("a").send_query("q1", "price-search", [0, 1, 2, 3], text="x" * 20_000)
        leaving = yield from world.net.connect("broker:7070", SECOND_US, "leaves")
        leaving.write(raw_request(b"q2") + half_request(3))
        yield from sleep(world.loop, 1_000)
        leaving.abort()
        failing = yield from world.net.connect("broker:7070", SECOND_US, "fails")
        failing.write(body.replace(b"price-search", b"nothing-known") + half_request(4))
        yield from sleep(world.loop, 1_000)
        for node in world.nodes:
            node.kill()
        yield from world.client("b").send_query("q5", "price-search", [0, 1, 2, 3], text="x" * 20_000)
        yield from sleep(world.loop, 5 * SECOND_US)

    world.run(main())
    assert world.broker.memory.used_bytes == 0 and not world.broker.queries


def test_the_copies_of_a_text_that_nodes_do_not_read_are_charged(monkeypatch):
    """Guards against texts that are held once more for each part whose node doesn't read."""
    monkeypatch.setattr(virtual, "WINDOW_BYTES", 16_384)
    world = Platform(limits=SMALL_LIMITS)
    memory = world.broker.memory
    used = []
    unsent = []

    def main():
        yield from world.client().send_query("q0", "price-search", list(range(12)))
        for node in world.nodes:
            world.net.cut("broker", node.uid)
        for number in range(60):
            query = world.client(f"c{number}").send_query(
                f"q{number + 1}", "price-search", list(range(12)), text="x" * 32_000
            )
            world.loop.spawn(query, "query")
        for _ in range(100):
            yield from sleep(world.loop, 5_000)
            connections = [link.connections for link in world.broker.links.values()]
            streams = [connection.stream for group in connections for connection in group]
            unsent.append(sum(stream.unsent for stream in streams if stream and not stream.closed))
            of_queries = sum(query.memory_bytes for query in world.broker.queries.values())
            used.append(memory.used_bytes - of_queries)
        for node in world.nodes:
            world.net.heal("broker", node.uid)
        yield from sleep(world.loop, 3 * SECOND_US)

    world.run(main(), errors=True)
    assert max(unsent) > 64_000
    assert all(charged >= held for charged, held in zip(used, unsent, strict=True))
    assert memory.used_bytes == 0
