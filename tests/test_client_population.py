"""Clients on threads against scripted brokers: what they send, retry, log, and count as outcomes."""

from __future__ import annotations

import json
import socketserver
import threading
from collections import Counter
from contextlib import contextmanager

import pytest

from heathwell.settings import loads
from heathwell.testing.simulation.client_attempt import BrokerAddress
from heathwell.testing.simulation.client_population import ClientPopulation, OutcomeKind
from heathwell.testing.simulation.fault_script import Load, Mix
from heathwell.testing.simulation.scheduled_requests import ScheduledRequest, poisson_requests

SETTINGS = loads("""
(class safe (aim 1s) (limit 2s))
(class once (aim 1s) (limit 2s) (repeat unsafe))
(keys sale (class safe) (shape record))
(keys order (class once) (shape record))
(keys price (class safe) (shape search))
(fleet (shards 8) (cells 4) (width 2) (zones a b c))
""")
COMPLETE = {"whole": True, "coverage": {"parts": [2, 2]}, "age_ms": 7}
PARTIAL = {"whole": False, "coverage": {"parts": [1, 2]}}
REFUSED = {"whole": False, "refused": True, "retry_after_ms": 30}
FAILED = {"whole": False, "failed": True, "retry_after_ms": 0}
RESET = "reset"


class ScriptedBroker(socketserver.ThreadingTCPServer):
    """Answers each get with the next entry of its script, all keys alike, and the last one for ever."""

    daemon_threads = True

    def __init__(self, script):
        super().__init__(("127.0.0.1", 0), Connection)
        self.script = list(script)
        self.received = []

    @property
    def address(self):
        """Return HOST:PORT."""
        host, port = self.server_address
        return f"{host}:{port}"

    def next_entry(self):
        """Return the next entry of the script; the last one is repeated."""
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]


class Connection(socketserver.StreamRequestHandler):
    """One client's connection."""

    def handle(self):
        """Reply to each line by the script."""
        while line := self.rfile.readline():
            keys = line.decode().split()[1:]
            self.server.received.append(keys)
            entry = self.server.next_entry()
            if entry == RESET:
                return
            body = json.dumps(entry)
            for key in keys:
                self.wfile.write(f"VALUE {key} 0 {len(body)}\r\n{body}\r\n".encode())
            self.wfile.write(b"END\r\n")


@contextmanager
def scripted(*scripts):
    brokers = [ScriptedBroker(script) for script in scripts]
    for broker in brokers:
        threading.Thread(target=broker.serve_forever, args=(0.02,), daemon=True).start()
    try:
        yield brokers
    finally:
        for broker in brokers:
            broker.shutdown()
            broker.server_close()


def play(tmp_path, brokers, requests, retries=1):
    """One client that sends the requests one after another: its outcomes, and its log without the times."""
    addresses = [BrokerAddress(f"b{n}", broker.address) for n, broker in enumerate(brokers)]
    load = Load(rate=1.0, clients=1, retries=retries)
    population = ClientPopulation(load, SETTINGS, lambda: addresses, tmp_path / "clients.jsonl")
    population.start()
    for request in requests:
        population.offer(request)
    population.finish()
    events = [json.loads(line) for line in (tmp_path / "clients.jsonl").read_text().splitlines()]
    assert [event["ev"] for event in (events[0], events[-1])] == ["opened", "closed"]
    assert population.request_count == sum(event["ev"] == "ask" for event in events)
    return population.outcomes, [event for event in events if event["ev"] in ("ask", "reply")]


def get(*keys, query_class="safe"):
    return ScheduledRequest(0.0, keys, query_class)


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (COMPLETE, OutcomeKind.ON_TIME),
        (PARTIAL, OutcomeKind.PARTIAL),
        (REFUSED, OutcomeKind.REFUSED),
        (FAILED, OutcomeKind.FAILED),
    ],
)
def test_an_outcome_is_that_of_the_reply(tmp_path, body, kind):
    with scripted([body]) as brokers:
        [outcome], _ = play(tmp_path, brokers, [get("sale:a:1")], retries=0)
    assert outcome.kind is kind and outcome.key == "sale:a:1" and outcome.broker == "b0"


def test_a_reply_after_the_objective_is_late(tmp_path):
    with scripted([COMPLETE]) as brokers:
        outcomes, _ = play(tmp_path, brokers, [ScheduledRequest(-1.5, ("sale:a:1",), "safe")])
    assert [outcome.kind for outcome in outcomes] == [OutcomeKind.LATE]


def test_a_refused_request_is_retried_after_the_stated_delay(tmp_path):
    with scripted([REFUSED, COMPLETE]) as brokers:
        [outcome], events = play(tmp_path, brokers, [get("sale:a:1", "sale:a:2")])
        assert brokers[0].received == [["sale:a:1", "sale:a:2"]] * 2
    assert outcome.kind is OutcomeKind.ON_TIME and outcome.duration_seconds >= 0.03
    assert events[1]["lost"] == [{"key": f"sale:a:{n}", "kind": "refused"} for n in (1, 2)]
    assert events[3]["values"][1] == {"key": "sale:a:2", "whole": True, "got": 2, "asked": 2, "age_ms": 7}
    assert [event["no"] for event in events] == ["client0:1", "client0:1", "client0:2", "client0:2"]
    assert [event["req"].rpartition("#")[2] for event in events] == ["1", "1", "2", "2"]


def test_a_refused_request_is_not_retried_past_its_timeout(tmp_path):
    with scripted([REFUSED, COMPLETE]) as brokers:
        outcomes, _ = play(tmp_path, brokers, [ScheduledRequest(-1.99, ("sale:a:1",), "safe")])
        assert len(brokers[0].received) == 1
    assert [outcome.kind for outcome in outcomes] == [OutcomeKind.REFUSED]


@pytest.mark.parametrize(
    ("query_class", "kind", "sent"), [("safe", OutcomeKind.ON_TIME, 2), ("once", OutcomeKind.BROKEN, 1)]
)
def test_only_an_idempotent_request_is_retried_after_a_broken_connection(tmp_path, query_class, kind, sent):
    with scripted([RESET, COMPLETE]) as brokers:
        [outcome], events = play(tmp_path, brokers, [get("sale:a:1", query_class=query_class)])
        assert len(brokers[0].received) == sent
    assert outcome.kind is kind
    assert events[1]["kind"] == "broken" and events[1]["text"]


def test_a_client_without_a_broker_goes_to_the_next_and_counts_none_as_such(tmp_path):
    with scripted([COMPLETE], [COMPLETE]) as brokers:
        brokers[0].shutdown()
        brokers[0].server_close()
        outcomes, _ = play(tmp_path, brokers, [get("sale:a:1")])
        assert [outcome.broker for outcome in outcomes] == ["b1"]
    outcomes, events = play(tmp_path, [], [get("sale:a:1")])
    assert [outcome.kind for outcome in outcomes] == [OutcomeKind.NO_BROKER] and events == []


def test_a_request_that_starts_late_is_counted_as_off_its_schedule():
    with scripted([COMPLETE]) as brokers:
        population = ClientPopulation(
            Load(rate=1.0, clients=1), SETTINGS, lambda: [BrokerAddress("b0", brokers[0].address)], None
        )
        population.start()
        population.offer(ScheduledRequest(-0.5, ("sale:a:1",), "safe"))
        population.offer(ScheduledRequest(60.0, ("sale:a:1",), "safe"))
        population.finish()
    assert population.late_start_count == 1 and population.request_count == 2


LOAD = Load(rate=200.0, multi=0.5, traders=50, mix=[Mix("sale", 3.0), Mix("price", 1.0)])


def burst(at_seconds):
    return 0.0 if at_seconds < 5 else 2.0


def test_drawn_requests_follow_the_rate_the_mix_and_the_seed():
    requests = list(poisson_requests(LOAD, SETTINGS, 7, 0.0, 10.0, burst))
    assert requests == list(poisson_requests(LOAD, SETTINGS, 7, 0.0, 10.0, burst))
    assert requests != list(poisson_requests(LOAD, SETTINGS, 8, 0.0, 10.0, burst))
    times = [request.at_seconds for request in requests]
    assert times == sorted(times) and times[0] >= 5.0 and times[-1] < 10.0
    assert 1_800 < len(requests) < 2_200
    prefixes = Counter(request.keys[0].partition(":")[0] for request in requests)
    assert 2.5 < prefixes["sale"] / prefixes["price"] < 3.6
    assert {len(request.keys) for request in requests} == {1, 4}
    popular = sum(request.keys[0].startswith("sale:t0:") for request in requests)
    assert popular > 2 * len(requests) / 50 * 0.75  # of 50 traders the first has far more than its part


def test_requests_are_drawn_as_they_are_taken():
    rated = []

    def rate_factor(at_seconds):
        rated.append(at_seconds)
        return 1.0

    requests = poisson_requests(LOAD, SETTINGS, 1, 0.0, 100.0, rate_factor)
    next(requests)
    rated.clear()
    assert next(requests).at_seconds == rated[-1] and len(rated) == 1
