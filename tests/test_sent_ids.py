"""A request that was sent on doesn't run again under its id, also once its client has left."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.eventloop import sleep
from heathwell.gateway.sent_ids import SentIds
from heathwell.testing.simulation.platform_config import platform_settings

from .platform import Platform

SHARDS = [0, 1, 2, 3]
QUERY_CLASS = "price-search"


def world_of(idempotency):
    """Return a platform whose class of queries has this effect, with nodes that take a while."""
    settings = platform_settings()
    settings["classes"][0]["idempotency"] = idempotency
    world = Platform(settings=settings)
    for node in world.nodes:
        node.work_us = 300_000
    return world


def send(world, name, client, request_id="q1"):
    """Send the query with this id from a client, and return the task."""
    return world.loop.spawn(client.send_query(request_id, QUERY_CLASS, SHARDS, key="k1"), name)


def runs_by_part(world):
    """Return how many times each part ran at a node."""
    parts = [part.id for node in world.nodes for part in node.parts]
    return {part: parts.count(part) for part in parts}


@pytest.mark.parametrize("idempotency", ["non_idempotent", "idempotency_key"])
@pytest.mark.parametrize("pause_us", [0, 100_000, 1_000_000])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_again(idempotency, pause_us):
    """Guards against an effect twice: the attempt of the client that left may have run, or may yet."""
    world = world_of(idempotency)

    def main():
        leaving = world.client("leaves")
        first = send(world, "first", leaving)
        yield from sleep(world.loop, 50_000)
        first.cancel()
        leaving.stream.abort()
        yield from sleep(world.loop, pause_us + 1_000)
        return (yield from send(world, "again", world.client("again")).join()).status

    assert world.run(main()) == 409
    runs = runs_by_part(world)
    assert runs and set(runs.values()) == {1}


def test_an_id_that_was_answered_does_not_run_again():
    world = world_of("non_idempotent")

    def main():
        first = yield from send(world, "first", world.client("a")).join()
        again = yield from send(world, "again", world.client("b")).join()
        return first.status, again.status

    assert world.run(main()) == (200, 409)
    assert set(runs_by_part(world).values()) == {1}


def test_an_id_of_a_safe_class_or_of_a_request_that_was_not_sent_may_come_again():
    """Nobody is shut out whose repeat is harmless."""
    safe = world_of("read_like")

    def ask_twice():
        first = yield from send(safe, "first", safe.client("a")).join()
        yield from sleep(safe.loop, 500_000)  # its attempts have ended, too
        again = yield from send(safe, "again", safe.client("b")).join()
        return first.status, again.status

    assert safe.run(ask_twice()) == (200, 200)
    full = world_of("non_idempotent")
    limit_bytes = full.broker.memory.limit_bytes

    def ask_when_full():
        full.broker.memory.charge(limit_bytes)
        refused = yield from send(full, "first", full.client("a")).join()
        full.broker.memory.charge(-limit_bytes)
        again = yield from send(full, "again", full.client("b")).join()
        return refused.status, again.status

    assert full.run(ask_when_full()) == (503, 200)


@given(st.lists(st.integers(0, 40), max_size=200), st.integers(1, 10))
def test_the_latest_ids_are_kept_and_their_number_is_bounded(numbers, capacity):
    ids = SentIds(capacity)
    latest = []
    for number in numbers:
        ids.add(f"q{number}")
        latest = [kept for kept in latest if kept != number] + [number]
        assert len(ids) <= 2 * capacity
    assert all(f"q{number}" in ids for number in latest[-1:])
    fresh = SentIds(capacity)
    for number in range(5 * capacity):
        fresh.add(f"q{number}")
        assert all(f"q{kept}" in fresh for kept in range(max(0, number - capacity + 1), number + 1))
