"""A batch of 16 MB at the vector server, with concurrent gets of single keys."""

from __future__ import annotations

import json
import re
import threading

import httpx
import numpy as np
import pytest
from pymemcache.client.base import Client

from heathwell.eventloop import sleep

from .fleet import World
from .vector_fleet import (
    DEMO_SETTINGS,
    brute_force,
    post,
    running,
)

WIDE = DEMO_SETTINGS.replace("(body 1mb) (slow 400ms)", "(body 32mb)").replace(
    "(collection dots",
    "(collection wide (class near) (batch-class bulk) (size 1024) (points 60) (work 1ms))\n(collection dots",
)
WIDE_URL = "/collections/wide/points/query/batch"


@pytest.fixture(scope="module")
def wide_searches():
    """Return 820 searches, which are over 16 MB as JSON."""
    searches = [
        {"query": np.random.default_rng(seed).normal(0, 1, 1024).tolist(), "limit": 3} for seed in range(820)
    ]
    assert len(json.dumps({"searches": searches})) > 16_000_000
    return searches


def check_wide_answers(service_settings, searches, answer):
    """Check the number of results, and compare three of them with brute force."""
    assert len(answer["result"]) == 820
    for number in (0, 400, 819):
        expected = brute_force(service_settings, "wide", searches[number]["query"], 3)
        assert [point["id"] for point in answer["result"][number]["points"]] == [
            point for point, _ in expected
        ]


def test_single_gets_meet_their_objective_beside_a_batch_of_16_megabytes(wide_searches):
    """A large batch must not delay queries of another server beyond their latency objective.

    On virtual time hosts take exactly their work, so the result does not depend on the machine's speed.
    """
    world = World(text=WIDE)
    responses = []

    def batch():
        responses.append((yield from post(world, WIDE_URL, {"searches": wide_searches})))

    def main():
        client = yield from world.client()
        world.loop.spawn(batch(), "batch")
        durations_us = []
        while not (responses or world.errors):
            key = f"sale:t{len(durations_us)}:7"
            started_at_us = world.loop.now()
            values, _ = yield from client.get(key)
            assert key in values, client.unanswered
            assert json.loads(values[key][1])["coverage"]["parts"] == [1, 1]
            durations_us.append(world.loop.now() - started_at_us)
            yield from sleep(world.loop, 20_000)
        assert len(durations_us) > 5
        assert max(durations_us) < 750_000  # the objective of their class

    world.run(main())
    (response,) = responses
    assert response.status == 200, (response.body[:200], dict(world.fleet.brokers[0].broker.counters))
    check_wide_answers(world.service_settings, wide_searches, json.loads(response.body))
    world.close()


def test_a_batch_of_16_megabytes_is_answered_over_sockets_beside_single_gets(wide_searches):
    """Checks correctness only: clients, hosts and broker share a process, so all objectives are very long."""
    text = re.sub(r"\(aim \w+\) \(limit \w+\)", "(aim 60s) (limit 60s)", WIDE)
    with running(text) as fleet:
        host, port = fleet.broker.address.split(":")
        memcached_client = Client((host, int(port)), timeout=60)
        done = threading.Event()
        replies: list = []

        def send_gets():
            while not done.wait(0.02):
                replies.append(json.loads(memcached_client.get(f"sale:t{len(replies)}:7")))

        get_thread = threading.Thread(target=send_gets)
        get_thread.start()
        body = json.dumps({"searches": wide_searches})
        response = httpx.post(f"{fleet.base_url}{WIDE_URL}", content=body, timeout=60)
        done.set()
        get_thread.join()
        assert response.status_code == 200, (response.text[:200], dict(fleet.broker.broker.counters))
        check_wide_answers(fleet.service_settings, wide_searches, response.json())
        assert len(replies) > 5
        assert all(reply["coverage"]["parts"] == [1, 1] for reply in replies)
