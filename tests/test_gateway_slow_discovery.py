"""Discovery that answers late: what the broker knows by when. Runs on virtual time.

The platform gives discovery two seconds for an answer. A change is announced six seconds after discovery has
it at the latest, at a new address four seconds after SIGHUP, and a drain binds a grace later.
"""

from __future__ import annotations

import itertools
from random import Random
from typing import Any, Final

import pytest

from heathwell.eventloop import ConnectError, Coro, Net, Stream, sleep
from heathwell.gateway.discovery import MAX_OPEN_CALLS, MAX_PREVIOUS_CALLS
from heathwell.testing.standins.platform_discovery import PlatformDiscovery, PublishedEntry

from .platform import Platform

DRAINING: Final = 4
DRAIN_GRACE_US: Final = 1_000_000
MAX_STALL_US: Final = 150_000  # which the grace has to cover
ANNOUNCED_AFTER_CHANGE_US: Final = 6_000_000
ANNOUNCED_AFTER_MOVE_US: Final = 4_000_000
QUERY_INTERVAL_US: Final = 50_000
ALLOWED_DELAYS_US: Final = [1_400_000, 1_600_000, 1_800_000, 1_990_000]
MODES: Final = ["ask", "push"]


def platform(mode: str, **more: Any) -> Platform:
    """Return a platform whose settings have the usual drain grace."""
    world = Platform(settings={"registry-mode": mode}, **more)
    assert world.config.settings.drain_grace_us == DRAIN_GRACE_US
    return world


def drain(world: Platform) -> None:
    """Publish that a node drains."""
    node = world.nodes[DRAINING]
    node.draining = True
    world.registry.publish(node.entry)


def knows_the_drain(world: Platform) -> bool:
    """Return whether the broker has heard that the node drains."""
    return not world.broker.aggregator.endpoints[f"s{DRAINING}"].live


def wait_until_us(world: Platform, at_us: int) -> None:
    """Let virtual time pass until an instant."""
    world.wait((at_us - world.loop.now()) / 1e6)


class LateConnects:
    """A network whose connects come up late, by ``delay_us``."""

    def __init__(self, net: Net, delay_us: int) -> None:
        self.net = net
        self.delay_us = delay_us

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """Connect after the delay; raise ConnectError if the timeout is shorter."""
        yield from sleep(self.net.loop, min(self.delay_us, timeout_us))
        if self.delay_us > timeout_us:
            raise ConnectError("connect timed out")
        return (yield from self.net.connect(address, timeout_us))


@pytest.mark.parametrize("delay_us", ALLOWED_DELAYS_US)
@pytest.mark.parametrize("mode", MODES)
def test_a_drain_after_a_move_is_known_in_time_whatever_time_an_answer_takes(mode, delay_us):
    """Guards against giving up each call to the new address before discovery's answer is due."""
    world = platform(mode)
    world.wait(2.0)
    world.registry.response_delay_us = delay_us
    moved_at_us = world.loop.now()
    world.broker.watch.move("registry:8500")
    world.wait(2.0)
    drain(world)
    announced_at_us = max(moved_at_us + ANNOUNCED_AFTER_MOVE_US, world.loop.now() + ANNOUNCED_AFTER_CHANGE_US)
    wait_until_us(world, announced_at_us + DRAIN_GRACE_US - MAX_STALL_US)
    assert knows_the_drain(world)


@pytest.mark.parametrize("delay_us", ALLOWED_DELAYS_US)
@pytest.mark.parametrize("mode", MODES)
def test_a_drain_before_a_move_is_known_in_time_although_the_first_call_falls_silent(mode, delay_us):
    """Guards against a dead connection to the new address that is noticed too late."""
    world = platform(mode)
    world.wait(2.0)
    world.registry.response_delay_us = delay_us
    drain(world)
    world.broker.watch.move("registry:8500")
    moved_at_us = world.loop.now()
    world.wait(0.1)
    world.registry.mute_connections()
    wait_until_us(world, moved_at_us + ANNOUNCED_AFTER_MOVE_US + DRAIN_GRACE_US - MAX_STALL_US)
    assert knows_the_drain(world)


@pytest.mark.parametrize("delay_us", ALLOWED_DELAYS_US)
def test_a_new_process_with_pushed_lists_waits_for_a_late_first_answer(delay_us):
    """Guards against serving by the configured list, which names a draining node as up, for good."""
    world = platform("push")
    began_at_us = world.loop.now()
    drain(world)
    world.registry.response_delay_us = delay_us

    def main():
        while not world.broker.ready:
            yield from sleep(world.loop, 1_000)
        ready_after_us = world.loop.now() - began_at_us
        for number in range(100):
            yield from world.client().send_query(f"q{number}", "price-search", [DRAINING])
            yield from sleep(world.loop, QUERY_INTERVAL_US)
        return ready_after_us

    assert delay_us <= world.run(main()) <= delay_us + 10_000
    assert knows_the_drain(world) and not world.nodes[DRAINING].parts
    assert world.broker.watch.failures == 0


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("delay_us", [2_600_000, 3_500_000, 5_000_000, 10_000_000])
def test_answers_later_than_the_platform_allows_are_used(delay_us, known, mode):
    """Guards against calls that are given up one after the other with the same timeout."""
    world = platform(mode, known=known)
    world.registry.response_delay_us = delay_us
    world.broker.watch.request_update()
    drain(world)
    world.wait(2.0 * delay_us / 1e6)
    world.broker.watch.move("registry:8500")
    world.wait(2.0 * delay_us / 1e6)
    assert world.broker.watch.rev == world.registry.revision
    assert not known or knows_the_drain(world)


@pytest.mark.parametrize("mode", MODES)
def test_a_complete_list_that_is_late_while_changes_are_prompt_is_heard_after_a_move(mode):
    """Guards against a complete list that never comes: its entries take the worker almost two seconds."""
    world = platform(mode)
    world.wait(1.0)
    world.registry.entry_work_us = 1_990_000 // (1 + len(world.nodes))
    moved_at_us = world.loop.now()
    world.broker.watch.move("registry:8500")
    world.wait(0.05)
    drain(world)
    wait_until_us(world, moved_at_us + ANNOUNCED_AFTER_MOVE_US + DRAIN_GRACE_US - MAX_STALL_US)
    assert knows_the_drain(world)
    assert world.registry.queries.count("") == 1 and world.broker.watch.failures == 0


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("silent_s", [5.0, 20.0, 60.0])
def test_after_a_long_silence_discovery_is_heard_in_time(silent_s, mode):
    """Guards against a timeout that grows so long that a recovered discovery is called too late. What was
    called during the silence is lost with its connections.
    """
    world = platform(mode)
    world.wait(0.5)
    registry = world.registry
    until_us = world.loop.now() + int(silent_s * 1e6)
    drain(world)
    while world.loop.now() < until_us:
        registry.mute_connections()
        world.wait(0.01)
    registry.response_delay_us = 1_990_000
    wait_until_us(world, until_us + ANNOUNCED_AFTER_CHANGE_US + DRAIN_GRACE_US - MAX_STALL_US)
    assert knows_the_drain(world)


@pytest.mark.parametrize("silent", ["first call", "every call"])
def test_a_new_process_with_pushed_lists_serves_by_its_own_list_where_discovery_is_silent(silent):
    """Guards against waiting for a dead connection or a dead discovery until queries have failed."""
    world = platform("push")
    world.registry.silent = silent == "every call"
    world.registry.response_delay_us = 1_000_000
    world.wait(0.1)
    world.registry.mute_connections()
    assert not world.broker.ready
    world.wait(2.3)  # the longest connect and the longest time for an answer
    assert world.broker.ready
    assert world.query("q1", "price-search", [0]).status == 200


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    ("failing", "calls"),
    [
        *itertools.product(["reset", "reset after the time of an answer"], [1, 2, 3]),
        ("503", 1),  # after more refusals in a row it is not called sooner, as it may have too many callers
    ],
)
@pytest.mark.parametrize("mode", MODES)
def test_a_drain_is_known_in_time_although_several_calls_in_a_row_fail_instead_of_telling(
    mode, failing, calls, seed
):
    """Guards against a backoff of several seconds while discovery has a change and can be reached."""
    world = platform(mode)
    registry = world.registry
    world.broker.watch.timing.random.seed(seed)
    world.broker.aggregator.random.seed(seed)
    world.wait(1.0)
    if failing == "503":
        registry.down = True
    else:
        registry.calls_to_reset = calls
    if failing == "reset after the time of an answer":
        registry.response_delay_us = 1_200_000
    drained_at_us = world.loop.now()
    drain(world)
    while world.broker.watch.failures < calls and not knows_the_drain(world):
        world.wait(0.001)
    registry.down = False
    registry.response_delay_us = 1_990_000
    wait_until_us(world, drained_at_us + ANNOUNCED_AFTER_CHANGE_US + DRAIN_GRACE_US - MAX_STALL_US)
    assert world.broker.watch.failures == calls and knows_the_drain(world)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("begins", ["refused at the start", "a broken watch"])
def test_a_discovery_that_refuses_calls_is_called_no_more_often_than_the_module_polls(begins, seed):
    """Guards against repeats that keep a discovery crowded, which refuses calls as it has too many. The
    module's backoff is 1 to 2 s, 2 to 4 s, then 2.25 to 4.5 s.
    """
    world = platform("ask")
    world.broker.watch.timing.random.seed(seed)
    world.broker.aggregator.random.seed(seed)
    registry = world.registry
    if begins == "a broken watch":
        world.wait(1.0)
        registry.calls_to_reset = 1
        registry.notify_watches()
        world.broker.aggregator.random.seed(seed)
    registry.down = True
    calls = len(registry.queries)
    world.wait(10.0)
    polls = 6  # at 0, 1, 3, 5.25, 7.5 and 9.75 s at the earliest
    assert 3 <= len(registry.queries) - calls <= polls + (begins == "a broken watch")


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("calls", [0, 1, 2])
@pytest.mark.parametrize("mode", MODES)
def test_after_a_long_outage_a_drain_is_known_in_time_although_further_calls_fail(mode, calls, seed):
    """Guards against a backoff that has grown so long that few calls fit before the drain binds."""
    world = platform(mode)
    registry = world.registry
    world.broker.watch.timing.random.seed(seed)
    world.broker.aggregator.random.seed(seed)
    world.wait(1.0)
    registry.down = True
    drain(world)
    world.wait(30.0)
    registry.down = False
    registry.calls_to_reset = calls
    back_at_us = world.loop.now()
    while registry.calls_to_reset:
        world.wait(0.001)
    registry.response_delay_us = 1_990_000
    wait_until_us(world, back_at_us + ANNOUNCED_AFTER_CHANGE_US + DRAIN_GRACE_US - MAX_STALL_US)
    assert knows_the_drain(world)


@pytest.mark.parametrize("delay_us", [0, 1_800_000])
@pytest.mark.parametrize("ends_after_us", [0, 300, 50_000, 150_000])
@pytest.mark.parametrize("mode", MODES)
def test_a_watch_goes_on_where_discovery_ends_its_connection_after_each_answer(mode, ends_after_us, delay_us):
    """Guards against a failure and its pause after each answer: the next call meets the connection's end."""
    world = platform(mode)
    registry = world.registry
    registry.ends_connections_after_us = ends_after_us
    registry.response_delay_us = delay_us
    world.wait(5.0)
    for number in range(3):
        node = world.nodes[number]
        registry.publish({**node.entry, "state": "draining"})
        world.wait((delay_us + ends_after_us) / 1e6 + 0.01)
        assert not world.broker.aggregator.endpoints[f"s{number}"].live
        world.wait(0.2)
    assert world.broker.watch.failures == 0
    assert len(registry.queries) <= 12  # one or two for each answer


@pytest.mark.parametrize("connect_us", [300_000, 600_000, 1_000_000, 1_500_000])
@pytest.mark.parametrize("delay_us", [0, 1_800_000])
@pytest.mark.parametrize("mode", MODES)
def test_a_connect_to_discovery_that_comes_up_late_is_used(mode, delay_us, connect_us):
    """Guards against connects that are given up one after the other with the same timeout."""
    world = platform(mode)
    world.wait(1.0)
    world.broker.watch.net = LateConnects(world.net, connect_us)
    world.registry.response_delay_us = delay_us
    drain(world)
    moved_at_us = world.loop.now()
    world.broker.watch.move("registry:8500")
    wait_until_us(world, moved_at_us + ANNOUNCED_AFTER_MOVE_US + DRAIN_GRACE_US - MAX_STALL_US)
    assert knows_the_drain(world)
    assert world.registry.queries.count("") == 1  # the other connects are closed before their calls


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("cut_s", [2.0, 10.0, 30.0])
def test_after_a_cut_discovery_is_heard_in_time(cut_s, mode):
    """Guards against a connect whose timeout grows too long: what was sent during the cut comes up never."""
    world = platform(mode)
    world.wait(1.0)
    drain(world)
    world.broker.watch.net = LateConnects(world.net, 1 << 40)
    world.broker.watch.move("registry:8500")
    world.wait(cut_s)
    world.broker.watch.net = world.net
    world.registry.response_delay_us = 1_990_000
    world.wait((ANNOUNCED_AFTER_CHANGE_US + DRAIN_GRACE_US - MAX_STALL_US) / 1e6)
    assert knows_the_drain(world)


class MovingDiscovery:
    """Discovery that moves to a new address again and again; the old one closes connections 1.5 s later."""

    CLOSES_AFTER_US: Final = 1_500_000

    def __init__(self, world: Platform) -> None:
        self.world = world
        self.address = "registry:8500"
        self.moves = 0

    def move(self) -> None:
        """Listen at a new address, and tell the broker."""
        self.moves += 1
        world = self.world
        old = self.address
        self.address = f"registry:{8500 + self.moves}"
        world.net.at("registry").listen(self.address, world.registry._serve, "registry")
        world.net.listeners.pop(old)
        world.loop.call_at(world.loop.now() + self.CLOSES_AFTER_US, self._close, old)
        world.broker.watch.move(self.address)

    def _close(self, address: str) -> None:
        for stream in list(self.world.registry.streams):
            if stream.local_address == address:
                stream.abort()


@pytest.mark.parametrize("interval_us", [600_000, 1_000_000, 1_500_000, 1_700_000])
@pytest.mark.parametrize("delay_us", [1_000_000, 1_800_000])
@pytest.mark.parametrize("mode", MODES)
def test_a_drain_is_known_in_time_although_discovery_moves_before_it_has_answered(
    mode, delay_us, interval_us
):
    """Guards against a list that is never heard while new configurations follow one another."""
    world = platform(mode)
    world.wait(1.0)
    world.registry.response_delay_us = delay_us
    discovery = MovingDiscovery(world)
    first_move_at_us = world.loop.now()
    drain(world)
    binds_at_us = first_move_at_us + ANNOUNCED_AFTER_MOVE_US + DRAIN_GRACE_US - MAX_STALL_US
    while world.loop.now() < binds_at_us:
        discovery.move()
        wait_until_us(world, min(world.loop.now() + interval_us, binds_at_us))
    assert knows_the_drain(world)
    discovery.move()
    world.wait(2.5)
    assert world.broker.watch.rev == world.registry.revision  # the watch is at the last address
    assert world.broker.watch.open_calls == 1


@pytest.mark.parametrize("mode", MODES)
def test_an_answer_of_the_previous_address_does_not_undo_one_of_the_present_one(mode):
    """The previous address has an older list, which its late answer brings after that of the present one."""
    world = platform(mode)
    world.wait(1.0)
    previous = PlatformDiscovery(world.loop, world.net.at("previous"), "previous:8500", world.nodes)
    previous.response_delay_us = 1_200_000
    world.broker.watch.move("previous:8500")
    world.wait(0.5)
    drain(world)
    world.broker.watch.move("registry:8500")
    world.wait(0.5)
    assert knows_the_drain(world) and world.broker.watch.open_calls == 1
    world.wait(3.0)
    assert knows_the_drain(world)


class RandomTrouble:
    """Disturbs discovery and its connections in a random order."""

    MAX_PAUSE_US: Final = 1_500_000

    def __init__(self, world: Platform, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.discovery = MovingDiscovery(world)

    def play(self, duration_us: int) -> None:
        """Cause one trouble after another, and end all of them."""
        troubles = [
            self._delay_responses,
            self._fail_calls,
            self._go_down,
            self._end_connections,
            self._delay_connects,
            self._restart_with_older_list,
            self.world.registry.mute_connections,
            self.discovery.move,
        ]
        until_us = self.world.loop.now() + duration_us
        while self.world.loop.now() < until_us:
            self.random.choice(troubles)()
            self.world.wait(self.random.randrange(self.MAX_PAUSE_US) / 1e6)
            assert self.world.broker.watch.open_calls <= MAX_OPEN_CALLS + MAX_PREVIOUS_CALLS
        registry = self.world.registry
        registry.down = False
        registry.calls_to_reset = 0
        registry.ends_connections_after_us = None
        registry.response_delay_us = 0
        self.world.broker.watch.net = self.world.net

    def _delay_responses(self) -> None:
        self.world.registry.response_delay_us = self.random.choice([0, 500_000, 1_900_000, 4_000_000])

    def _fail_calls(self) -> None:
        self.world.registry.calls_to_reset = self.random.randrange(4)

    def _go_down(self) -> None:
        self.world.registry.down = not self.world.registry.down
        self.world.registry.notify_watches()

    def _end_connections(self) -> None:
        self.world.registry.ends_connections_after_us = self.random.choice([None, 0, 100_000])

    def _delay_connects(self) -> None:
        delay_us = self.random.choice([0, 400_000, 1_200_000, 1 << 40])
        self.world.broker.watch.net = LateConnects(self.world.net, delay_us)

    def _restart_with_older_list(self) -> None:
        """Discovery has lost its last revision: the entries are those of the revision before."""
        registry = self.world.registry
        registry.revision = max(1, registry.revision - 1)
        registry.entries = {
            uid: PublishedEntry(min(published.revision, registry.revision), published.entry)
            for uid, published in registry.entries.items()
        }


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("mode", MODES)
def test_after_any_trouble_a_drain_is_known_in_time_and_one_call_is_open(mode, seed):
    """Guards against a watch that stays without a call, or with one that nobody answers any more."""
    world = platform(mode, seed=seed)
    world.wait(1.0)
    RandomTrouble(world, seed).play(40_000_000)
    drain(world)
    world.wait((ANNOUNCED_AFTER_CHANGE_US + DRAIN_GRACE_US - MAX_STALL_US) / 1e6)
    assert knows_the_drain(world)
    world.wait(15.0)  # longer than a hold time
    assert world.broker.watch.open_calls == 1 and world.broker.watch.rev == world.registry.revision
    assert sum(task.name == "discovery" for task in world.loop.tasks) == 1
