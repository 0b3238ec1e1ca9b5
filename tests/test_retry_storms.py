"""Retry storms: bounded records, spread retry times, storm states, and an outage on virtual time."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.client import RetryingClient
from heathwell.eventloop import ConnectError, sleep, socket_loop, virtual_loop
from heathwell.service.retry_storms import (
    ConnectionLimiter,
    ConnectionVerdict,
    CountMinSketch,
    ExpiringMap,
    RetrySchedule,
    StormController,
    StormLimits,
    StormState,
    hash_names,
)
from heathwell.testing.simulation.outage_record import ClientBehavior
from heathwell.testing.simulation.retry_storm_experiment import (
    RetryStormParameters,
    RetryStormScenario,
    Variant,
)

from .fleet import DEMO_SETTINGS, World


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3_000_000)), max_size=200))
def test_the_sketch_never_underestimates_a_decayed_count(requests):
    sketch = CountMinSketch(1_000_000, width=64)
    true_counts: dict[int, float] = {}
    last_at_us: dict[int, int] = {}
    now_us = 0
    for client, pause_us in requests:
        now_us += pause_us
        elapsed_us = now_us - last_at_us.get(client, now_us)
        true_counts[client] = true_counts.get(client, 0.0) * 0.5 ** (elapsed_us / 1_000_000) + 1
        last_at_us[client] = now_us
        sketch.add(hash_names(str(client)), now_us)
    for client, count in true_counts.items():
        decayed_count = count * 0.5 ** ((now_us - last_at_us[client]) / 1_000_000)
        assert sketch.count(hash_names(str(client)), now_us) >= decayed_count - 1e-6
    assert sketch.count(hash_names("nobody"), now_us + 60_000_000) < 1e-6


def test_the_sketch_rarely_overestimates_2000_clients():
    sketch = CountMinSketch(1_000_000)
    for client in range(2000):
        sketch.add(hash_names(str(client)), 10**12)
    counts = [sketch.count(hash_names(str(client)), 10**12) for client in range(2000)]
    assert sum(count > 1.01 for count in counts) < 40 and min(counts) >= 0.99


def test_the_expiring_map_is_bounded_and_expires_entries():
    values: ExpiringMap[int] = ExpiringMap(1_000_000, maximum=10)
    for number in range(50):
        values.put(number, number, 0)
    assert len(values) == 10 and values.dropped_count == 40 and values.get(3, 500_000) == 3
    values.put(99, 1, 1_200_000)
    assert (
        values.get(3, 1_200_000) == 3 and values.get(3, 2_300_000) is None and values.get(99, 2_300_000) == 1
    )
    assert len(values) <= 20


def test_retry_after_times_are_spread_evenly_and_stay_within_the_maximum():
    schedule = RetrySchedule(4)
    slots: dict[int, int] = {}
    retry_after_us = [schedule.book(1_000_000, 100_000.0, 2.0, 0, 8_000_000) for _ in range(70)]
    for delay_us in retry_after_us:
        assert 0 < delay_us <= 8_000_000
        slot = (1_000_000 + delay_us) // 100_000
        slots[slot] = slots.get(slot, 0) + 1
    assert max(slots.values()) == 1  # 0.2 s of work fits a slot, of which four fifths are booked
    assert min(retry_after_us) < 400_000 and max(retry_after_us) > 6_500_000
    overbooked = [schedule.book(1_000_000, 100_000.0, 2.0, 0, 8_000_000) for _ in range(400)]
    assert all(4_000_000 <= delay_us <= 8_000_000 for delay_us in overbooked[-200:])  # the later half
    assert schedule.book(1_000_000, 100_000.0, 2.0, 5_000_000, 8_000_000) >= 5_000_000
    assert schedule.book(60_000_000, 100_000.0, 2.0, 0, 8_000_000) < 400_000  # past bookings expire


class LimitedCapacityBroker:
    """A storm controller in front of a service that answers a fixed rate of work and rejects the rest."""

    def __init__(self, limits=None, capacity_us=1_000_000.0):
        self.storms = StormController(limits or StormLimits(), 0, 3)
        self.now_us = 0
        self.capacity_us = capacity_us
        self.states: list[StormState] = []
        self.remaining_us = 0.0
        self.admitted: dict[str, int] = {}

    def request(self, client, key="k", cost_us=20_000.0):
        """Return 0 for an answered request, else its retry-after in microseconds."""
        verdict = self.storms.admit(self.now_us, client, key, cost_us)
        if not verdict.is_admitted:
            return verdict.retry_after_us
        self.admitted[verdict.kind] = self.admitted.get(verdict.kind, 0) + 1
        if self.remaining_us >= cost_us:
            self.remaining_us -= cost_us
            self.storms.record_reply(cost_us, is_answer=True, within_objective=True)
            return 0
        retry_after_us = self.storms.schedule_retry(self.now_us, client, key, cost_us)
        self.storms.record_reply(cost_us, is_answer=False, within_objective=False)
        return retry_after_us

    def tick(self):
        """Pass 250 ms and record a change of the storm state."""
        self.now_us += 250_000
        self.remaining_us = self.capacity_us * 0.25
        change = self.storms.tick(self.now_us, 1.0)
        if change is not None:
            self.states.append(change.state)


def test_unscheduled_retries_cause_a_storm_that_ends_with_them():
    broker = LimitedCapacityBroker()
    for turn in range(40):
        for number in range(8):
            broker.request(f"c{turn * 8 + number}")
        broker.tick()
    assert broker.storms.state == StormState.CALM and broker.storms.capacity_us > 500_000
    for turn in range(24):
        for number in range(60):  # the same clients in every turn
            broker.request(f"repeating{number}")
        broker.request(f"fresh{turn}")
        broker.tick()
    assert (
        broker.storms.state == StormState.STORM
        and StormState.STORM in broker.states
        and "repeats" in broker.storms.evidence
    )
    assert broker.admitted["first"] > 20
    for turn in range(40):
        for number in range(8):
            broker.request(f"d{turn * 8 + number}")
        broker.tick()
    assert (
        broker.states[-2:] == [StormState.DRAINING, StormState.CALM]
        and broker.storms.state == StormState.CALM
    )


def test_a_burst_of_first_attempts_is_no_storm_though_many_are_rejected():
    broker = LimitedCapacityBroker()
    retries: list[tuple[int, str]] = []
    for turn in range(100):
        is_burst = 20 <= turn < 60
        for number in range(60 if is_burst else 8):
            client = f"c{turn}-{number}"
            retry_after_us = broker.request(client)
            if retry_after_us:
                retries.append((broker.now_us + retry_after_us, client))
        for at_us, client in [retry for retry in retries if retry[0] <= broker.now_us]:
            retries.remove((at_us, client))
            retry_after_us = broker.request(client)
            if retry_after_us:
                retries.append((broker.now_us + retry_after_us, client))
        broker.tick()
    assert StormState.STORM not in broker.states


def test_clients_that_ignore_the_retry_after_wait_longer_and_are_answered_last():
    broker = LimitedCapacityBroker(StormLimits(initial_work_rate_us=400_000.0), capacity_us=400_000.0)
    answered = {"heeds": 0, "ignores": 0}
    retry_at_us = {("heeds", number): 0 for number in range(40)}
    retry_at_us |= {("ignores", number): 0 for number in range(40)}
    for _ in range(80):
        for (behavior, number), at_us in retry_at_us.items():
            attempts = 4 if behavior == "ignores" else int(at_us <= broker.now_us)
            for _ in range(attempts):
                retry_after_us = broker.request(f"{behavior}{number}", cost_us=10_000.0)
                if not retry_after_us:
                    answered[behavior] += 1
                    break
                retry_at_us[behavior, number] = broker.now_us + retry_after_us
        broker.tick()
    assert answered["heeds"] > 1.5 * answered["ignores"]
    first_us = broker.storms.schedule_retry(broker.now_us, "new", "k", 10_000.0)
    early_us = [broker.storms.schedule_retry(broker.now_us, "ignores1", "k", 10_000.0) for _ in range(3)]
    assert min(early_us) >= 2_000_000 and first_us <= 8_000_000 and max(early_us) <= 8_000_000


def test_a_starting_broker_admits_connections_and_work_at_a_rising_rate():
    storms = StormController(
        StormLimits(accept_rate=1000.0, initial_accept_rate=20.0, initial_work_rate_us=100_000.0), 0, 1
    )
    assert storms.state == StormState.DRAINING
    accepted_by_second: dict[int, int] = {}
    for now_us in range(0, 4_000_000, 5_000):
        if now_us % 250_000 == 0:
            storms.tick(now_us, 0.2)
        while not storms.accept_delay_us(now_us):
            storms.on_connection_accepted()
            second = now_us // 1_000_000
            accepted_by_second[second] = accepted_by_second.get(second, 0) + 1
    assert accepted_by_second[0] < 60 < accepted_by_second[2] < accepted_by_second[3] <= 1300
    # Work is admitted at the initial rate, whichever client requests it.
    admitted = sum(storms.admit(4_000_000, f"c{n}", "k", 10_000.0).is_admitted for n in range(500))
    assert 1 <= admitted < 60


def test_a_burst_of_connections_is_a_building_storm_in_which_queries_are_admitted():
    broker = LimitedCapacityBroker()
    for _ in range(30):
        broker.storms.on_connection_accepted()
        broker.request(f"a{broker.now_us}")
        broker.tick()
    for number in range(200):
        broker.storms.on_connection_accepted()
        assert broker.storms.admit(broker.now_us, f"b{number}", "k", 1.0).is_admitted
    broker.tick()
    assert broker.storms.state == StormState.BUILDING


def read_once(stream):
    """Serve a connection by a single read."""
    yield from stream.read()


def test_a_listener_delays_accepts_on_virtual_time():
    loop, net = virtual_loop(1)
    listener = net.listen("b:1", read_once, "paced")
    next_accept_at_us = [0]
    listener.accept_delay_us = lambda: 0 if loop.now() >= next_accept_at_us[0] else 50_000
    listener.on_accept = lambda: next_accept_at_us.__setitem__(0, loop.now() + 400_000)

    def main():
        times = []
        for _ in range(3):
            yield from net.connect("b:1", 1_000_000, "c")
            times.append(loop.now())
        with pytest.raises(ConnectError):
            yield from net.connect("b:1", 100_000, "c")
        return times

    times = loop.run(loop.spawn(main(), "main"))
    assert times[1] - times[0] >= 400_000 and times[2] - times[1] >= 400_000 and listener.delayed_accepts > 5


def test_a_listener_delays_accepts_on_sockets():
    loop, net, _ = socket_loop()
    listener = net.listen("127.0.0.1:0", read_once, "paced")
    remaining_accepts = [3]
    listener.accept_delay_us = lambda: 0 if remaining_accepts[0] else 20_000
    listener.on_accept = lambda: remaining_accepts.__setitem__(0, remaining_accepts[0] - 1)

    def main():
        for _ in range(6):
            yield from net.connect(listener.address, 1_000_000)
        for _ in range(200):
            if listener.accepted >= 3:
                break
            yield from sleep(loop, 10_000)
        assert listener.accepted == 3
        remaining_accepts[0] = 10
        for _ in range(400):
            if listener.accepted == 6:
                return True
            yield from sleep(loop, 10_000)
        return False

    assert loop.run(loop.spawn(main(), "main"))
    loop.shutdown()


@pytest.mark.parametrize("parameters", [{}, {"broker_restart_after_seconds": 2.0, "client_addresses": 3}])
def test_after_a_full_outage_service_recovers_and_every_rule_is_kept(parameters):
    storm_parameters = RetryStormParameters(
        clients=240,
        think_seconds=8.0,
        outage_seconds=10.0,
        before_seconds=8.0,
        after_seconds=14.0,
        **parameters,
    )
    scenario = RetryStormScenario(Variant.STORM_CONTROL, 2, storm_parameters)
    scenario.run()
    verdict = scenario.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    assert verdict.counts["falls"] == 0 and verdict.coldest < 1
    record = scenario.record
    started_at_us = record.outage_started_at_us
    ended_at_us = record.outage_ended_at_us
    assert record.service_level(started_at_us - 5_000_000, started_at_us).on_time_fraction > 0.9
    assert record.service_level(ended_at_us + 9_000_000, ended_at_us + 14_000_000).on_time_fraction > 0.9
    recovery_us = (ended_at_us, ended_at_us + 8_000_000)
    obeying = record.service_level(*recovery_us, ClientBehavior.OBEYS_RETRY_AFTER)
    ignoring = record.service_level(*recovery_us, ClientBehavior.IGNORES_RETRY_AFTER)
    assert obeying.answered_fraction > ignoring.answered_fraction - 0.1
    assert any(change.state == StormState.STORM for change in scenario.state_changes())


class SimulatedTimeClient(RetryingClient):
    """A retrying client whose waits pass simulated time and are recorded."""

    def __init__(self):
        self.now = 0.0
        self.waits: list[float] = []
        super().__init__("127.0.0.1", 1, useful=5.0, sleep=self._wait, clock=lambda: self.now, seed=1)

    def _wait(self, seconds):
        self.waits.append(seconds)
        self.now += seconds


class ScriptedMemcachedClient:
    """A memcached client that returns or raises one scripted reply a request."""

    def __init__(self, replies):
        self.replies = iter(replies)

    def get(self, _key):
        """Return the next reply as JSON, or None for a miss; raise the next reply that is an exception."""
        reply = next(self.replies)
        if isinstance(reply, Exception):
            raise reply
        return None if reply is None else json.dumps(reply).encode()

    def close(self):
        """Do nothing."""


def get_with_replies(*replies):
    """Return a retrying client's answer to scripted replies, and its waits in seconds."""
    client = SimulatedTimeClient()
    client._client = ScriptedMemcachedClient(replies)
    return client.get("price:a"), client.waits


def test_a_retrying_client_honours_the_retry_after_within_its_timeout_and_distinguishes_replies():
    complete = {"whole": True, "coverage": {}}
    rejected = {"whole": False, "refused": True, "retry_after_ms": 1200}
    answer, waits = get_with_replies(rejected, rejected, complete)
    assert answer.kind == "whole" and answer.tries == 3 and waits == [1.2, 1.2]
    answer, waits = get_with_replies(*[rejected] * 9)
    assert answer.kind == "refused" and sum(waits) < 5.0 and len(waits) == 4
    answer, waits = get_with_replies(OSError("gone"), OSError("gone"), {"whole": False, "coverage": {}})
    assert answer.kind == "partial" and 0.05 <= waits[0] <= 0.15 and waits[1] <= 0.3
    assert (
        get_with_replies(None)[0].kind == "miss"
        and get_with_replies({"whole": False, "failed": True})[0].kind == "failed"
    )
    assert get_with_replies(*[OSError("gone")] * 40)[0].kind == "lost"


def test_connections_are_limited_by_address_and_idle_ones_are_evicted():
    limiter = ConnectionLimiter(6, maximum_per_address=4)
    busy = {0}
    for number in range(4):
        assert limiter.admit(number, "greedy", lambda number: number not in busy) == ConnectionVerdict(
            True, None
        )
    assert limiter.admit(4, "greedy", lambda _number: True) == ConnectionVerdict(False, None)
    assert limiter.admit(5, "a", lambda _number: True) == ConnectionVerdict(True, None) and limiter.admit(
        6, "b", lambda _number: True
    ) == ConnectionVerdict(True, None)
    limiter.on_request(1)
    # Evicted is the connection idle longest of the address that holds the most.
    assert limiter.admit(7, "c", lambda number: number not in busy) == ConnectionVerdict(True, 2)
    assert limiter.admit(8, "d", lambda _number: False) == ConnectionVerdict(False, None)  # none is idle
    assert limiter.admit(9, "d", lambda number: number not in busy) == ConnectionVerdict(True, 3)
    assert limiter.admit(10, "e", lambda number: number not in busy) == ConnectionVerdict(True, 1)
    # No address holds clearly more than the others.
    assert limiter.admit(11, "f", lambda _number: True) == ConnectionVerdict(False, None)
    for number in (0, 5, 6, 7, 9, 10, 99):
        limiter.on_closed(number)
    assert not len(limiter) and not limiter._numbers_by_address
    assert (limiter.rejected_count, limiter.evicted_count) == (3, 3)


def test_a_client_over_the_connection_limit_gets_an_error_and_is_closed():
    world = World(text=DEMO_SETTINGS.replace("(limits", "(limits (clients 3)"))

    def main():
        clients = []
        for _ in range(3):
            clients.append((yield from world.client()))
        values, _ = yield from clients[0].get("sale:t1:5")
        assert values
        rejected = yield from world.client()
        line = yield from rejected.read_line()
        assert line == b"SERVER_ERROR heathwell too many connections"
        assert (yield from rejected.stream.read()) == b""
        yield from clients[1].get("sale:t1:6")
        assert world.fleet.brokers[0].memcached_server.stats().clients_refused == 1

    world.run(main())
