"""Storms: what is remembered, advice that spreads, states by evidence, and an outage on virtual time."""

from __future__ import annotations

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.client import RetryingClient
from heathwell.eventloop import ConnectError, sleep, socket_loop, virtual_loop
from heathwell.service.retry_storms import (
    ConnectionLimiter,
    ConnectionVerdict,
    CountMinSketch,
    RecentMap,
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
def test_the_sketch_never_tells_less_than_was_counted(asks):
    sketch, true, now, last = CountMinSketch(1_000_000, width=64), {}, 0, {}
    for who, pause in asks:
        now += pause
        true[who] = true.get(who, 0.0) * 0.5 ** ((now - last.get(who, now)) / 1_000_000) + 1
        last[who] = now
        sketch.add(hash_names(str(who)), now)
    for who, count in true.items():
        faded = count * 0.5 ** ((now - last[who]) / 1_000_000)
        assert sketch.count(hash_names(str(who)), now) >= faded - 1e-6
    assert sketch.count(hash_names("nobody"), now + 60_000_000) < 1e-6


def test_the_sketch_stays_exact_enough_at_its_size_and_for_days():
    sketch = CountMinSketch(1_000_000)
    for who in range(2000):
        sketch.add(hash_names(str(who)), 10**12)
    over = [sketch.count(hash_names(str(who)), 10**12) for who in range(2000)]
    assert sum(count > 1.01 for count in over) < 40 and min(over) >= 0.99


def test_what_is_remembered_is_bounded_and_forgotten():
    recent: RecentMap[int] = RecentMap(1_000_000, maximum=10)
    for n in range(50):
        recent.put(n, n, 0)
    assert len(recent) == 10 and recent.dropped_count == 40 and recent.get(3, 500_000) == 3
    recent.put(99, 1, 1_200_000)
    assert (
        recent.get(3, 1_200_000) == 3 and recent.get(3, 2_300_000) is None and recent.get(99, 2_300_000) == 1
    )
    assert len(recent) <= 20


def test_advice_is_flat_fits_and_is_never_past_its_use():
    schedule, slots = RetrySchedule(4), {}
    times = [schedule.book(1_000_000, 100_000.0, 2.0, 0, 8_000_000) for _ in range(70)]
    for at in times:
        assert 0 < at <= 8_000_000
        slots[(1_000_000 + at) // 100_000] = slots.get((1_000_000 + at) // 100_000, 0) + 1
    assert max(slots.values()) == 1  # 0.2 s of work fits a slot, four fifths of it are given away
    assert min(times) < 400_000 and max(times) > 6_500_000
    overfull = [schedule.book(1_000_000, 100_000.0, 2.0, 0, 8_000_000) for _ in range(400)]
    assert all(4_000_000 <= at <= 8_000_000 for at in overfull[-200:])  # spread over the later half
    assert schedule.book(1_000_000, 100_000.0, 2.0, 5_000_000, 8_000_000) >= 5_000_000
    assert schedule.book(60_000_000, 100_000.0, 2.0, 0, 8_000_000) < 400_000  # what is past is forgotten


class ServiceBroker:
    """Feeds a decider; the module behind it answers so much work a second and refuses the rest."""

    def __init__(self, limits=None, capacity=1_000_000.0):
        self.storms = StormController(limits or StormLimits(), 0, 3)
        self.now, self.capacity, self.room, self.states = 0, capacity, 1.0, []
        self.draws = random.Random(1)
        self.left = 0.0
        self.admitted: dict[str, int] = {}

    def ask(self, client, key="k", cost=20_000.0):
        verdict = self.storms.admit(self.now, client, key, cost)
        if not verdict.is_admitted:
            return verdict.retry_after_us
        self.admitted[verdict.kind] = self.admitted.get(verdict.kind, 0) + 1
        if self.left >= cost:
            self.left -= cost
            self.storms.record_reply(cost, is_answer=True, within_objective=True)
            return 0
        after = self.storms.schedule_retry(self.now, client, key, cost)
        self.storms.record_reply(cost, is_answer=False, within_objective=False)
        return after

    def tick(self):
        self.now += 250_000
        self.left = self.capacity * self.room * 0.25
        change = self.storms.tick(self.now, self.room)
        self.states += [change.state] if change is not None else []


def test_repeats_that_no_advice_sent_make_a_storm_and_their_end_ends_it():
    broker = ServiceBroker()
    for turn in range(40):
        for n in range(8):
            broker.ask(f"c{turn * 8 + n}")
        broker.tick()
    assert broker.storms.state == StormState.CALM and broker.storms.capacity_us > 500_000
    for turn in range(24):
        for n in range(60):  # the same few, over and over
            broker.ask(f"mad{n}")
        broker.ask(f"fresh{turn}")
        broker.tick()
    assert (
        broker.storms.state == StormState.STORM
        and StormState.STORM in broker.states
        and "repeats" in broker.storms.evidence
    )
    assert broker.admitted["first"] > 20
    for turn in range(40):
        for n in range(8):
            broker.ask(f"d{turn * 8 + n}")
        broker.tick()
    assert (
        broker.states[-2:] == [StormState.DRAINING, StormState.CALM]
        and broker.storms.state == StormState.CALM
    )


def test_a_festival_of_first_tries_is_no_storm_though_many_are_refused():
    broker, due = ServiceBroker(), []
    for turn in range(100):
        busy = 20 <= turn < 60
        for n in range(60 if busy else 8):
            client = f"c{turn}-{n}"
            after = broker.ask(client)
            if after:
                due.append((broker.now + after, client))
        for at, client in [one for one in due if one[0] <= broker.now]:
            due.remove((at, client))
            after = broker.ask(client)  # as advised, and no sooner
            if after:
                due.append((broker.now + after, client))
        broker.tick()
    assert StormState.STORM not in broker.states


def test_who_ignores_advice_waits_longer_and_goes_last():
    broker = ServiceBroker(StormLimits(initial_work_rate_us=400_000.0), capacity=400_000.0)
    served = {"heeds": 0, "ignores": 0}
    due = {("heeds", n): 0 for n in range(40)} | {("ignores", n): 0 for n in range(40)}
    for _ in range(80):
        for (policy, n), at in due.items():
            tries = 4 if policy == "ignores" else int(at <= broker.now)
            for _ in range(tries):
                after = broker.ask(f"{policy}{n}", cost=10_000.0)
                if not after:
                    served[policy] += 1
                    break
                due[policy, n] = broker.now + after
        broker.tick()
    assert served["heeds"] > 1.5 * served["ignores"]
    honest = broker.storms.schedule_retry(broker.now, "new", "k", 10_000.0)
    early = [broker.storms.schedule_retry(broker.now, "ignores1", "k", 10_000.0) for _ in range(3)]
    assert min(early) >= 2_000_000 and honest <= 8_000_000 and max(early) <= 8_000_000


def test_a_start_lets_connections_and_work_in_gradually():
    storms = StormController(
        StormLimits(accept_rate=1000.0, initial_accept_rate=20.0, initial_work_rate_us=100_000.0), 0, 1
    )
    assert storms.state == StormState.DRAINING
    taken = {}
    for now in range(0, 4_000_000, 5_000):
        if now % 250_000 == 0:
            storms.tick(now, 0.2)
        while not storms.accept_delay_us(now):
            storms.on_connection_accepted()
            taken[now // 1_000_000] = taken.get(now // 1_000_000, 0) + 1
    assert taken[0] < 60 < taken[2] < taken[3] <= 1300
    admitted = sum(storms.admit(4_000_000, f"c{n}", "k", 10_000.0).is_admitted for n in range(500))
    assert 1 <= admitted < 60  # what has not been shown to work is not let in, whoever asks


def test_a_rush_of_connects_is_building_and_damps_no_query():
    broker = ServiceBroker()
    for _ in range(30):
        broker.storms.on_connection_accepted()
        broker.ask(f"a{broker.now}")
        broker.tick()
    for n in range(200):
        broker.storms.on_connection_accepted()
        assert broker.storms.admit(broker.now, f"b{n}", "k", 1.0).is_admitted
    broker.tick()
    assert broker.storms.state == StormState.BUILDING


def test_listeners_leave_connections_waiting_as_told():
    def served(stream):
        yield from stream.read()

    loop, net = virtual_loop(1)
    listener = net.listen("b:1", served, "paced")
    allowed = [0]
    listener.accept_delay_us = lambda: 0 if loop.now() >= allowed[0] else 50_000
    listener.on_accept = lambda: allowed.__setitem__(0, loop.now() + 400_000)

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

    loop, net, _ = socket_loop()
    listener = net.listen("127.0.0.1:0", served, "paced")
    gate = [3]
    listener.accept_delay_us = lambda: 0 if gate[0] else 20_000
    listener.on_accept = lambda: gate.__setitem__(0, gate[0] - 1)

    def crowd():
        for _ in range(6):
            yield from net.connect(listener.address, 1_000_000)
        for _ in range(200):
            if listener.accepted >= 3:
                break
            yield from sleep(loop, 10_000)
        assert listener.accepted == 3
        gate[0] = 10
        for _ in range(400):
            if listener.accepted == 6:
                return True
            yield from sleep(loop, 10_000)
        return False

    assert loop.run(loop.spawn(crowd(), "main"))
    loop.shutdown()


@pytest.mark.parametrize("more", [{}, {"broker_restart_after_seconds": 2.0, "client_addresses": 3}])
def test_after_an_outage_of_everything_service_is_back_and_every_rule_kept(more):
    parameters = RetryStormParameters(
        clients=240, think_seconds=8.0, outage_seconds=10.0, before_seconds=8.0, after_seconds=14.0, **more
    )
    day = RetryStormScenario(Variant.STORM_CONTROL, 2, parameters)
    day.run()
    verdict = day.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:5]))
    assert verdict.counts["falls"] == 0 and verdict.coldest < 1
    record = day.record
    began, ended = record.outage_started_at_us, record.outage_ended_at_us
    assert record.service_level(began - 5_000_000, began).on_time_fraction > 0.9
    assert record.service_level(ended + 9_000_000, ended + 14_000_000).on_time_fraction > 0.9
    obeying, ignoring = (
        record.service_level(ended, ended + 8_000_000, behavior)
        for behavior in (ClientBehavior.OBEYS_RETRY_AFTER, ClientBehavior.IGNORES_RETRY_AFTER)
    )
    assert obeying.answered_fraction > ignoring.answered_fraction - 0.1
    assert any(change.state == StormState.STORM for change in day.state_changes())


def test_a_heedful_client_waits_as_told_gives_up_in_time_and_tells_kinds_apart():
    class Told(RetryingClient):
        def __init__(self):
            self.now, self.waits = 0.0, []
            super().__init__("127.0.0.1", 1, useful=5.0, sleep=self._rest, clock=lambda: self.now, seed=1)

        def _rest(self, seconds):
            self.waits.append(seconds)
            self.now += seconds

    class Fake:
        def __init__(self, answers):
            self.answers = iter(answers)

        def get(self, _key):
            answer = next(self.answers)
            if isinstance(answer, Exception):
                raise answer
            return None if answer is None else json.dumps(answer).encode()

        def close(self):
            pass

    def asked(*answers):
        client = Told()
        client._client = Fake(answers)
        return client.get("price:a"), client.waits

    whole, refused = (
        {"whole": True, "coverage": {}},
        {"whole": False, "refused": True, "retry_after_ms": 1200},
    )
    answer, waits = asked(refused, refused, whole)
    assert answer.kind == "whole" and answer.tries == 3 and waits == [1.2, 1.2]
    answer, waits = asked(*[refused] * 9)
    assert answer.kind == "refused" and sum(waits) < 5.0 and len(waits) == 4
    answer, waits = asked(OSError("gone"), OSError("gone"), {"whole": False, "coverage": {}})
    assert answer.kind == "partial" and 0.05 <= waits[0] <= 0.15 and waits[1] <= 0.3
    assert asked(None)[0].kind == "miss" and asked({"whole": False, "failed": True})[0].kind == "failed"
    assert asked(*[OSError("gone")] * 40)[0].kind == "lost"


def test_one_address_takes_its_own_connections_and_idle_ones_make_room():
    limiter = ConnectionLimiter(6, maximum_per_address=4)
    busy = {0}
    for number in range(4):
        assert limiter.admit(number, "greedy", lambda n: n not in busy) == ConnectionVerdict(True, None)
    assert limiter.admit(4, "greedy", lambda n: True) == ConnectionVerdict(False, None)
    assert limiter.admit(5, "a", lambda n: True) == ConnectionVerdict(True, None) and limiter.admit(
        6, "b", lambda n: True
    ) == ConnectionVerdict(
        True,
        None,
    )
    limiter.on_request(1)
    assert limiter.admit(7, "c", lambda n: n not in busy) == ConnectionVerdict(
        True,
        2,
    )  # the longest idle of who holds the most
    assert limiter.admit(8, "d", lambda n: False) == ConnectionVerdict(False, None)  # all are at work
    assert limiter.admit(9, "d", lambda n: n not in busy) == ConnectionVerdict(True, 3)
    assert limiter.admit(10, "e", lambda n: n not in busy) == ConnectionVerdict(True, 1)
    assert limiter.admit(11, "f", lambda n: True) == ConnectionVerdict(
        False, None
    )  # nobody holds clearly more
    for number in (0, 5, 6, 7, 9, 10, 99):
        limiter.on_closed(number)
    assert not len(limiter) and not limiter._numbers_by_address
    assert (limiter.rejected_count, limiter.evicted_count) == (3, 3)


def test_clients_over_their_limit_are_told_and_idle_ones_closed():
    world = World(text=DEMO_SETTINGS.replace("(limits", "(limits (clients 3)"))

    def main():
        clients = []
        for _ in range(3):
            clients.append((yield from world.client()))
        values, _ = yield from clients[0].get("sale:t1:5")
        assert values
        over = yield from world.client()
        line = yield from over.read_line()
        assert line == b"SERVER_ERROR heathwell too many connections"
        assert (yield from over.stream.read()) == b""
        yield from clients[1].get("sale:t1:6")
        assert world.fleet.brokers[0].memcached_server.stats().clients_refused == 1

    world.run(main())
