"""Helpers of vector tests: a fleet on a thread, brute-force search, and POST requests on virtual time."""

from __future__ import annotations

import json
import threading
import time
from contextlib import contextmanager

import numpy as np
import pytest
from qdrant_client import QdrantClient

from heathwell.codec.http import ClientSide
from heathwell.eventloop import sleep, socket_loop
from heathwell.settings import loads
from heathwell.testing.simulation.local_fleet import LocalFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.standins.vectors import shard_from_settings

from .fleet import inject_fault

SHARDS = 6
DEMO_SETTINGS = """
(class price-search (aim 1s) (limit 2s) (need 75%) (work 5ms))
(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (work 3ms))
(class near (aim 900ms) (limit 2s) (need 100%) (floor 40%))
(class some (aim 900ms) (limit 2s) (need 66%))
(class bulk (aim 900ms) (limit 9s) (need 100%))
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 6))
(collection prices (class near) (batch-class bulk) (size 16) (points 150) (overlap 20%) (work 2ms))
(collection far (class near) (size 8) (distance euclid) (points 100) (spread 10%) (work 2ms))
(collection dots (class some) (size 8) (distance dot) (points 100) (work 2ms))
(collection rough (class near) (size 16) (index hnsw) (points 400) (work 2ms))
(vector (listen 127.0.0.1:0) (body 1mb) (slow 400ms) (idle 3s))
(fronts (queue-target 200ms))
(fleet (shards 6) (cells 6) (width 3) (zones a b c) (leaves 6) (brokers 1))
(leaf (slots 8))
(discovery (notice 100ms) (silent-notice 2s))
"""


class RunningFleet:
    """A fleet on sockets whose event loop runs on its own thread."""

    def __init__(self, text: str = DEMO_SETTINGS) -> None:
        self.service_settings = loads(text)
        self.loop, self.net, _ = socket_loop()
        self.errors: list = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.events: list = []
        self.events.append(
            {
                "t": self.loop.now(),
                "who": "run",
                "ev": "run",
                "figures": run_parameters_record(self.service_settings),
            }
        )
        self.fleet = LocalFleet(
            self.loop, lambda _name: self.net, self.service_settings, 1, event_records=self.events
        )
        self.broker = self.fleet.brokers[0]
        self.stop_requested = False
        self.calls: list = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        while self.live_endpoint_count() < len(self.fleet.leaves):
            time.sleep(0.02)

    def live_endpoint_count(self):
        """Return how many endpoints the broker's decision module lists as live."""
        return sum(endpoint.live for endpoint in self.broker.broker.aggregator.endpoints.values())

    def _run(self) -> None:
        def main():
            while not self.stop_requested:
                while self.calls:
                    self.calls.pop(0)()
                yield from sleep(self.loop, 10_000)

        self.loop.run(self.loop.spawn(main(), "main"))
        self.loop.shutdown()

    def call(self, function):
        """Call a function on the loop's thread and return its result."""
        done = threading.Event()
        results: list = []

        def call():
            results.append(function())
            done.set()

        self.calls.append(call)
        assert done.wait(5)
        return results[0]

    def inject_faults(self, leaves, kind, seconds=0.0, text=""):
        """Inject a fault into the leaves of the given numbers."""

        def inject():
            for number in leaves:
                inject_fault(self.fleet.leaves[number], kind, seconds, text=text)

        self.call(inject)

    def stop(self):
        """Stop the loop and wait for its thread."""
        self.stop_requested = True
        self.thread.join(5)

    @property
    def client(self):
        """A new client of the vector server."""
        host, port = self.broker.vector_address.split(":")
        return QdrantClient(host=host, port=int(port), timeout=5)

    @property
    def base_url(self):
        """The vector server's URL without a path."""
        return f"http://{self.broker.vector_address}"


@contextmanager
def running(text: str = DEMO_SETTINGS):
    """Run a fleet with these settings, and check that none of its tasks failed."""
    fleet = RunningFleet(text)
    try:
        yield fleet
    finally:
        fleet.stop()
    assert not fleet.errors, fleet.errors


def brute_force(service_settings, name, query, limit, offset=0, keep=lambda _payload: True):
    """Return (id, score) of the best points of all shards, with scores computed in double precision."""
    spec = next(collection for collection in service_settings.collections if collection.name == name)
    scores = {}
    query_vector = np.asarray(query, np.float32).astype(np.float64)
    for number in range(SHARDS):
        shard = shard_from_settings(spec, number, SHARDS)
        for point, vector, payload in zip(
            shard.ids, shard.stored_vectors.astype(np.float64), shard.payloads, strict=True
        ):
            if spec.distance == "euclid":
                score = float(np.sqrt(((vector - query_vector) ** 2).sum()))
            else:
                score = float(vector @ query_vector)
                if spec.distance == "cosine":
                    score /= np.linalg.norm(vector) * np.linalg.norm(query_vector)
            if keep(payload):
                scores[point] = score
    sign = 1 if spec.distance == "euclid" else -1
    rows = sorted(scores.items(), key=lambda item: (sign * item[1], item[0]))
    return rows[offset : offset + limit]


def assert_same_rows(points, rows):
    """Check that a client's points have the ids and scores of the expected rows."""
    assert [point.id for point in points] == [point for point, _ in rows]
    assert [point.score for point in points] == pytest.approx([score for _, score in rows], abs=1e-4)


def random_vector(seed, size):
    """Return a vector of normally distributed numbers."""
    return [float(number) for number in np.random.default_rng(seed).normal(0, 1, size)]


def post(world, target, body, headers=()):
    """Send a POST request on a new connection on virtual time, and return the response."""
    stream = yield from world.net.connect(world.fleet.brokers[0].vector_address, 1_000_000, "client")
    side = ClientSide("broker")
    request = side.request("POST", target, headers, json.dumps(body).encode())
    for start in range(0, len(request), 65_536):
        stream.write(request[start : start + 65_536])
        yield from stream.drain()
    while True:
        data = yield from stream.read()
        if (response := side.feed(data)) is not None:
            stream.close()
            return response
