"""The endpoint list in a forced order of events: lost, silent and rejected watches, moves of discovery."""

from __future__ import annotations

import json
from typing import Final

import pytest

from heathwell.gateway.discovery_timing import longest_wait
from heathwell.testing.standins.platform_discovery import PublishedEntry

from .event_ordering_world import SETTINGS_VARIANTS, World, settings_variant
from .platform import Platform

MAX_STALL_US: Final = 150_000  # for which the broker may be held up, and which the grace has to cover
SHARD: Final = 3  # node 3 is its only replica where the width is one


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_the_endpoint_list_is_watched_from_the_start_and_after_a_lost_connection_in_each_mode(name):
    """A broker to which lists are pushed must not keep the list of its start either."""
    world = World(name)

    def main():
        world.publish_change(world.nodes[0], "draining")
        yield from world.wait_until(world.has_change(world.nodes[0], "draining"))
        for stream in list(world.registry.streams):
            stream.abort()
        world.publish_change(world.nodes[1], "gone")
        yield from world.wait_until(world.has_change(world.nodes[1], "gone"))

    world.run(main())
    module = world.broker.aggregator
    is_polled = world.settings["registry-mode"] == "ask"
    freshness_us = world.settings["invariants"]["must-ask-in-us" if is_polled else "drain-grace-us"]
    assert (
        module.endpoint_table._backoff_first_us == freshness_us // 10
        and module.endpoint_table._backoff_maximum_us <= freshness_us // 2
    )


def test_a_rejecting_discovery_is_polled_with_backoff_where_no_poll_interval_is_set():
    """With a backoff of zero the broker would call discovery in each turn of its loop."""
    world = Platform(settings={"registry-mode": "push", "invariants": {"drain-grace-us": 0}})
    world.registry.down = True
    world.wait(1.0)
    assert 3 <= len(world.registry.queries) <= 500


@pytest.mark.parametrize("grace_us", [0, 250_000, 400_000, 999_999, 1_000_000, 3_000_000])
def test_a_watch_call_is_short_enough_to_recover_from_silence_before_a_drain_is_binding(grace_us):
    """The worst case by the platform's times: discovery stops responding as the call begins. That is noticed
    half a second after the hold time; then the connect takes 0.35 s, the response the two seconds that
    discovery has for it, and the broker is held up for 0.15 s before it sends. A drain counts as announced
    after six seconds, or two seconds after the hold time, and binds a grace later.
    """
    for wait in (longest_wait(grace_us), longest_wait(grace_us) // 2):
        recovered_us = wait + 500_000 + 350_000 + 2_000_000 + 150_000
        assert recovered_us <= max(6_000_000, wait + 2_000_000) + grace_us
    assert longest_wait(grace_us) >= 3_000_000


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_watch_silent_from_its_first_byte_recovers_before_a_drain_is_binding(name):
    """Discovery takes 1.95 s of the allowed 2 s to answer the reopened watch. Runs on virtual time."""
    settings = settings_variant(name)
    world = Platform(settings=settings)
    registry = world.registry
    grace = settings["invariants"]["drain-grace-us"]
    world.wait(0.01)
    wait_us = int(registry.queries[-1].partition("hold_ms=")[2]) * 1000
    silent_at = world.loop.now()
    registry.mute_connections()
    registry.entry_work_us = 975_000  # for the call and for its entry
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    announced_at = max(silent_at + 6_000_000, registry.last_request_at_us + wait_us + 2_000_000)
    world.wait((announced_at + grace - MAX_STALL_US - world.loop.now()) / 1e6)
    assert not world.broker.aggregator.endpoints["s4"].live


@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("failing", ["refused", "503"])
def test_a_failed_reopened_watch_recovers_before_a_drain_is_binding(failing, draw):
    """Discovery recovers just after the drain counts as announced. The decision module's backoff, a random
    one to two seconds and then two to four, would in the short and the middle case end only after the grace.
    """
    world = Platform()
    world.broker.aggregator.random.uniform = lambda low, high: low + draw * (high - low)
    registry = world.registry
    world.wait(0.01)
    wait_us = int(registry.queries[-1].partition("hold_ms=")[2]) * 1000
    silent_at = world.loop.now()
    called_at = registry.last_request_at_us
    registry.mute_connections()
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    if failing == "503":
        registry.down = True
    else:
        listener = world.net.listeners.pop("registry:8500")
    announced_at = max(silent_at + 6_000_000, called_at + wait_us + 2_000_000)
    world.wait((announced_at + 50_000 - world.loop.now()) / 1e6)
    registry.down = False
    if failing == "refused":
        world.net.listeners["registry:8500"] = listener
    world.wait(0.85)  # within the grace of one second; calls are at most 0.8 s apart
    assert not world.broker.aggregator.endpoints["s4"].live


def test_discovery_at_a_new_address_is_polled_without_the_backoff_of_the_old_one():
    """The backoff reaches 4.5 s while the old address fails; changes at the new one are binding after 4 s."""
    world = Platform()
    registry = world.registry
    registry.down = True
    world.wait(30.0)
    calls = len(registry.queries)
    world.broker.watch.move("registry:8500")
    world.wait(2.0)
    assert len(registry.queries) >= calls + 3
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    registry.down = False
    world.wait(1.0)
    assert not world.broker.aggregator.endpoints["s4"].live


@pytest.mark.parametrize("revision", [1, 2, 50])
def test_a_restarted_discovery_is_followed_at_an_older_an_equal_or_a_newer_revision(revision):
    """An older revision is noticed only after the hold time of the first call, so this uses virtual time."""
    world = Platform(known=False)
    registry = world.registry
    world.wait(0.1)
    registry.publish({**world.nodes[5].entry, "state": "draining"})
    registry.publish({**world.nodes[5].entry, "state": "up"})
    world.wait(0.1)
    registry.down = True
    registry.notify_watches()
    world.wait(0.5)
    registry.revision = revision
    registry.entries["s2"] = PublishedEntry(revision, {**world.nodes[2].entry, "state": "draining"})
    if revision == 2:  # the broker has 3: the complete list is sent once more
        registry.entries = {
            uid: PublishedEntry(min(published.revision, revision), published.entry)
            for uid, published in registry.entries.items()
        }
    registry.down = False
    world.wait(12.0)
    assert not world.broker.aggregator.endpoints["s2"].live and world.broker.aggregator.endpoints["s5"].live
    assert world.broker.watch.rev == revision


def test_an_endpoint_list_may_be_indented_json():
    """White space in the JSON text has no meaning."""
    world = World(registry=False)
    body = json.dumps(
        {"rev": 2, "all": False, "targets": [{**world.nodes[2].entry, "state": "draining"}]}, indent=4
    )

    def main():
        def serve(stream):
            yield from stream.read()
            stream.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body.encode())
            yield from stream.read()

        listener = world.net.listen("127.0.0.1:0", serve, "indented")
        world.broker.watch.move(listener.address)
        yield from world.wait_until(world.has_change(world.nodes[2], "draining"))

    world.run(main())


@pytest.mark.parametrize("phase", ["connecting", "partial response", "waiting"])
def test_discovery_moves_in_each_phase_of_its_watch_and_a_response_of_the_old_one_has_no_effect(phase):
    """The broker connects to the old address, has half a response from it, or waits in the hold time."""
    world = World(registry=False)
    requests = []
    half_answered = []

    def main():
        def serve(stream):
            requests.append((yield from stream.read()))
            if phase == "partial response":
                stream.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n{"rev": 9, ')
                half_answered.append(stream)
            yield from stream.read()

        listener = world.net.listen("127.0.0.1:0", serve, "old")
        if phase == "connecting":
            world.connect_gate.hold(listener.address)
        world.broker.watch.move(listener.address)
        yield from world.wait_until(
            lambda: (
                listener.address in world.connect_gate.connect_attempts if phase == "connecting" else requests
            )
        )
        if phase == "partial response":
            yield from world.wait_until(lambda: half_answered)
        world.publish_change(world.nodes[2], "draining")
        world.broker.watch.move(world.registry.address)
        world.broker.watch.move(world.registry.address)  # a repeated move has no effect
        yield from world.wait_until(world.has_change(world.nodes[2], "draining"))
        if phase == "connecting":
            world.connect_gate.open(listener.address)
        assert (yield from world.start_query("q1", SHARD).join()).status == 200
        return len(requests)

    assert world.run(main()) == (0 if phase == "connecting" else 1)
    assert world.broker.watch.rev == world.registry.revision
