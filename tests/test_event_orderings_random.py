"""Drawn schedules of crossings on virtual time, under three customers' settings, judged by the auditor.

Virtual time, as hours of seconds are played; the order of tasks within a turn is drawn as well. The longer
run stands behind `make test-fleet`.
"""

from __future__ import annotations

import contextlib
import random
from typing import Any

import pytest

from heathwell import policy
from heathwell.eventloop import ConnectError, StreamBrokenError, sleep

from .event_ordering_world import SETTINGS_VARIANTS, settings_variant
from .platform import Platform

SPAN_US = 6_000_000
WAY_US = 2_000  # bytes take 100 us, a turn of the broker's nothing
LEFT_US = 300_000  # the users' bar: nothing is sent on later for a client that has left
KINDS = (
    "drain",
    "remove",
    "return",
    "reset",
    "mute",
    "slow connects",
    "watch silent",
    "watch reset",
    "discovery down",
    "older list",
    "spoil",
    "end",
)


class SlowConnects:
    """The broker's net: connects to a node take so long more; bytes don't, so that arrivals are told from
    attempts.
    """

    def __init__(self, loop, net):
        self.loop, self.net, self.more = loop, net, {}

    def connect(self, address, timeout_us):
        """As the net's."""
        more = self.more.get(address, 0)
        yield from sleep(self.loop, min(more, timeout_us))
        if more >= timeout_us:
            raise ConnectError("no connection in time")
        return (yield from self.net.connect(address, timeout_us))


def noise(node, stream, part):
    node.responder = None
    stream.write(b"\x00noise" * 9)


def play(name: str, seed: int, span_us: int = SPAN_US) -> list[dict[str, Any]]:
    """One schedule and its events; raises where a rule is broken or a request has no answer."""
    draw = random.Random(seed)
    settings = settings_variant(name)
    world = Platform(seed=seed, settings=settings)
    registry = world.registry
    net = world.broker.net = SlowConnects(world.loop, world.broker.net)
    left: dict[str, int] = {}
    answered: set[str] = set()
    ends: list[int] = []

    def one(n):
        kind = draw.choice(settings["classes"])
        safe = kind["idempotency"] == "read_like"
        shards = draw.sample(range(12), draw.choice([1, 2, 4]) if safe else 1)
        key = "k1" if kind["idempotency"] == "idempotency_key" else ""
        query, client = f"q{n}", world.client(f"c{n}")
        leaves = draw.random() < 0.3
        asks = client.send_query(
            query, kind["name"], shards, timeout_ms=draw.choice([80, 300, 60_000]), key=key
        )
        task = world.loop.spawn(asks, query)
        if leaves:
            yield from sleep(world.loop, draw.choice([1, 300, 20_000, 120_000, 350_000]))
            if client.stream is not None and not task.done:
                left[query] = world.loop.now()
                draw.choice([client.stream.close, client.stream.abort, client.stream.end])()
        with contextlib.suppress(StreamBrokenError, ConnectError):
            yield from task.join()
            answered.add(query)
        if query not in answered and query not in left and not ends:
            raise AssertionError(f"{query} has no answer")

    def crosses(what, node):
        if what == "drain":
            registry.publish({**node.entry, "state": "draining"})
        elif what == "remove":
            registry.publish({**node.entry, "state": "removed"})
        elif what == "return":
            registry.publish(node.entry)
        elif what == "reset":
            for stream in list(node.streams):
                stream.abort()
        elif what == "mute":
            node.silent = not node.silent
        elif what == "slow connects":
            net.more[node.address] = draw.choice([0, 60_000, 120_000, 240_000, 600_000])
            crosses("reset", node)  # so that there is something to connect for
            world.loop.call_at(
                world.loop.now() + draw.choice([20_000, 100_000, 200_000]),
                crosses,
                draw.choice(["drain", "remove", "return", "return"]),
                node,
            )
        elif what == "watch silent":
            registry.mute_connections()
        elif what == "watch reset":
            for stream in list(registry.streams):
                stream.abort()
        elif what == "discovery down":
            registry.down = not registry.down
            registry.notify_watches()
        elif what == "older list":
            registry.revision = max(1, registry.revision - 2)
        elif what == "spoil":
            node.responder = noise
        elif what == "end" and not ends and draw.random() < 0.3:
            ends.append(world.loop.now() + 2_000_000)
            world.broker.start_shutdown(ends[0])

    def main():
        began, n, tasks = world.loop.now(), 0, []
        while world.loop.now() < began + span_us:
            for _ in range(draw.choice([0, 1, 1, 3])):
                n += 1
                tasks.append(world.loop.spawn(one(n), "one"))
            if draw.random() < 0.25:
                crosses(draw.choice(KINDS), draw.choice(world.nodes))
            yield from sleep(world.loop, draw.choice([1, 500, 20_000, 60_000]))
        for task in tasks:
            yield from task.join()

    world.run(main())
    verdict = world.verdict()
    assert verdict.kept, (name, seed, verdict)
    late = [
        (event["p"], event["t"] - left[query])
        for event in world.events
        if event["ev"] == "arrive"
        and (query := event["p"].partition(".")[0]) in left
        and event["t"] > left[query] + LEFT_US
    ]
    assert not late, (name, seed, late)
    # What has not left when the broker learns of a leaving node never does: stricter than the grace.
    leaving: dict[str, int] = {}
    for event in world.events:
        if event["ev"] == "news":
            for node, state in event["hosts"].items():
                if state == policy.EndpointState.LIVE:
                    leaving.pop(node, None)
                else:
                    leaving.setdefault(node, event["t"])
        elif event["ev"] == "arrive":
            assert event["t"] <= leaving.get(event["node"], event["t"]) + WAY_US, (name, seed, event)
    # In time at the end: nothing is answered after the process said that it ends.
    finals = [event["t"] for event in world.events if event["ev"] == "final"]
    assert not ends or max(finals) <= ends[0] + 1000 or max(finals) < ends[0] + span_us
    return world.events


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_drawn_crossings_break_no_rule(name, seed):
    play(name, seed)


@pytest.mark.fleet
@pytest.mark.parametrize("part", range(12))
def test_many_drawn_crossings_break_no_rule(part):
    for seed in range(100 + part, 400, 12):
        for name in SETTINGS_VARIANTS:
            play(name, seed)
