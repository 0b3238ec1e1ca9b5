"""Random schedules of concurrent events under three settings variants, checked by the auditor.

They run on virtual time, and the order of tasks within a turn of the loop is random too. The longer run is
part of `make test-fleet`.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any, Final

import pytest

from heathwell import policy
from heathwell.eventloop import ConnectError, StreamBrokenError, sleep
from heathwell.eventloop.errors import CONNECT_TIMED_OUT
from heathwell.testing.standins.platform_node import PlatformNode

from .event_ordering_world import SETTINGS_VARIANTS, settings_variant
from .platform import Platform

SPAN_US: Final = 6_000_000
TRANSIT_US: Final = 2_000  # allowed transit time of bytes, which take 100 us
DISCONNECT_GRACE_US: Final = 300_000  # after this time no part of a disconnected client may reach a node
EVENTS: Final = (
    "drain",
    "remove",
    "return",
    "reset",
    "toggle silence",
    "slow connects",
    "watch silent",
    "watch reset",
    "discovery down",
    "older list",
    "malformed response",
    "shutdown",
)


class SlowConnects:
    """The broker's network with delayed connects to some addresses.

    The transit time of bytes is unchanged, so that arrivals can be assigned to attempts.
    """

    def __init__(self, loop, net):
        self.loop = loop
        self.net = net
        self.delays_us: dict[str, int] = {}

    def connect(self, address, timeout_us):
        """Connect after the delay of that address. Raise ConnectError if that takes ``timeout_us``."""
        delay_us = self.delays_us.get(address, 0)
        yield from sleep(self.loop, min(delay_us, timeout_us))
        if delay_us >= timeout_us:
            raise ConnectError(CONNECT_TIMED_OUT)
        return (yield from self.net.connect(address, timeout_us))


def respond_with_noise(node, stream, _part):
    """Answer one part with bytes that are not a frame."""
    node.responder = None
    stream.write(b"\x00noise" * 9)


class RandomSchedule:
    """One schedule of queries and events between them, drawn from a seed."""

    def __init__(self, name: str, seed: int, span_us: int) -> None:
        self.draw = random.Random(seed)
        self.span_us = span_us
        self.settings = settings_variant(name)
        self.world = Platform(seed=seed, settings=self.settings)
        self.net = SlowConnects(self.world.loop, self.world.broker.net)
        self.world.broker.net = self.net
        self.left: dict[str, int] = {}  # the time at which the client of a query disconnected
        self.answered: set[str] = set()
        self.shutdown_deadlines_us: list[int] = []  # at most one
        self.event_handlers: dict[str, Callable[[PlatformNode], None]] = {
            "drain": lambda node: self.world.registry.publish({**node.entry, "state": "draining"}),
            "remove": lambda node: self.world.registry.publish({**node.entry, "state": "removed"}),
            "return": lambda node: self.world.registry.publish(node.entry),
            "reset": lambda node: abort_all(node.streams),
            "toggle silence": self._toggle_silence,
            "slow connects": self._slow_connects,
            "watch silent": lambda _node: self.world.registry.mute_connections(),
            "watch reset": lambda _node: abort_all(self.world.registry.streams),
            "discovery down": self._toggle_discovery,
            "older list": self._reset_revision,
            "malformed response": self._answer_with_noise,
            "shutdown": self._start_shutdown,
        }

    def run(self) -> None:
        """Play the schedule on virtual time."""
        self.world.run(self._main())

    def _main(self):
        loop = self.world.loop
        began_us = loop.now()
        count = 0
        tasks = []
        while loop.now() < began_us + self.span_us:
            for _ in range(self.draw.choice([0, 1, 1, 3])):
                count += 1
                tasks.append(loop.spawn(self._query(count), "one"))
            if self.draw.random() < 0.25:
                event = self.draw.choice(EVENTS)
                self._inject(event, self.draw.choice(self.world.nodes))
            yield from sleep(loop, self.draw.choice([1, 500, 20_000, 60_000]))
        for task in tasks:
            yield from task.join()

    def _query(self, number):
        """Send a query, whose client may disconnect; raise AssertionError if it gets no reply."""
        query_class = self.draw.choice(self.settings["classes"])
        is_idempotent = query_class["idempotency"] == "read_like"
        shards = self.draw.sample(range(12), self.draw.choice([1, 2, 4]) if is_idempotent else 1)
        key = "k1" if query_class["idempotency"] == "idempotency_key" else ""
        query = f"q{number}"
        client = self.world.client(f"c{number}")
        disconnects = self.draw.random() < 0.3
        timeout_ms = self.draw.choice([80, 300, 60_000])
        request = client.send_query(query, query_class["name"], shards, timeout_ms=timeout_ms, key=key)
        task = self.world.loop.spawn(request, query)
        if disconnects:
            yield from sleep(self.world.loop, self.draw.choice([1, 300, 20_000, 120_000, 350_000]))
            if client.stream is not None and not task.done:
                self.left[query] = self.world.loop.now()
                self.draw.choice([client.stream.close, client.stream.abort, client.stream.end])()
        with contextlib.suppress(StreamBrokenError, ConnectError):
            yield from task.join()
            self.answered.add(query)
        if query not in self.answered and query not in self.left and not self.shutdown_deadlines_us:
            raise AssertionError(f"{query} has no reply")

    def _inject(self, event: str, node: PlatformNode) -> None:
        self.event_handlers[event](node)

    def _toggle_silence(self, node: PlatformNode) -> None:
        node.silent = not node.silent

    def _slow_connects(self, node: PlatformNode) -> None:
        self.net.delays_us[node.address] = self.draw.choice([0, 60_000, 120_000, 240_000, 600_000])
        abort_all(node.streams)  # so that the broker connects again
        at_us = self.world.loop.now() + self.draw.choice([20_000, 100_000, 200_000])
        event = self.draw.choice(["drain", "remove", "return", "return"])
        self.world.loop.call_at(at_us, self._inject, event, node)

    def _toggle_discovery(self, _node: PlatformNode) -> None:
        self.world.registry.down = not self.world.registry.down
        self.world.registry.notify_watches()

    def _reset_revision(self, _node: PlatformNode) -> None:
        self.world.registry.revision = max(1, self.world.registry.revision - 2)

    def _answer_with_noise(self, node: PlatformNode) -> None:
        node.responder = respond_with_noise

    def _start_shutdown(self, _node: PlatformNode) -> None:
        if not self.shutdown_deadlines_us and self.draw.random() < 0.3:
            self.shutdown_deadlines_us.append(self.world.loop.now() + 2_000_000)
            self.world.broker.start_shutdown(self.shutdown_deadlines_us[0])


def abort_all(streams) -> None:
    """Reset all of a peer's connections."""
    for stream in list(streams):
        stream.abort()


def arrivals_after_disconnect(schedule: RandomSchedule) -> list[tuple[str, int]]:
    """Return the parts that reached a node too late after their client's disconnect, with the time since."""
    return [
        (event["p"], event["t"] - schedule.left[query])
        for event in schedule.world.events
        if event["ev"] == "arrive"
        and (query := event["p"].partition(".")[0]) in schedule.left
        and event["t"] > schedule.left[query] + DISCONNECT_GRACE_US
    ]


def check_draining_nodes(events: list[dict[str, Any]], name: str, seed: int) -> None:
    """Check that nothing is sent to a node once the broker knows of its drain.

    This is stricter than the drain grace.
    """
    leaving: dict[str, int] = {}
    for event in events:
        if event["ev"] == "news":
            for node, state in event["hosts"].items():
                if state == policy.EndpointState.LIVE:
                    leaving.pop(node, None)
                else:
                    leaving.setdefault(node, event["t"])
        elif event["ev"] == "arrive":
            assert event["t"] <= leaving.get(event["node"], event["t"]) + TRANSIT_US, (name, seed, event)


def play(name: str, seed: int, span_us: int = SPAN_US) -> list[dict[str, Any]]:
    """Play one schedule and return its events. Raise AssertionError where a rule is broken."""
    schedule = RandomSchedule(name, seed, span_us)
    schedule.run()
    world = schedule.world
    ends = schedule.shutdown_deadlines_us
    verdict = world.verdict()
    assert verdict.kept, (name, seed, verdict)
    late = arrivals_after_disconnect(schedule)
    assert not late, (name, seed, late)
    check_draining_nodes(world.events, name, seed)
    # No reply is sent after the shutdown deadline.
    finals = [event["t"] for event in world.events if event["ev"] == "final"]
    assert not ends or max(finals) <= ends[0] + 1000 or max(finals) < ends[0] + span_us
    return world.events


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_random_concurrent_events_break_no_rule(name, seed):
    """Each query is answered in time, and the auditor finds no breach."""
    play(name, seed)


@pytest.mark.fleet
@pytest.mark.parametrize("part", range(12))
def test_many_random_schedules_break_no_rule(part):
    """The same for 300 seeds, divided into twelve tests."""
    for seed in range(100 + part, 400, 12):
        for name in SETTINGS_VARIANTS:
            play(name, seed)
