"""Fleets with vector search on sockets, searches that arrive at a rate, and exact results to compare with.

Processes on loopback, simulated work at the endpoints, clients on threads; used by `benchmarks/vectors.py`.
"""

from __future__ import annotations

import random
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, Final

import msgspec
import numpy as np

from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.fleet_member import FleetMember
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.standins.vectors import shard_from_settings

SHARDS: Final = 24
SETTINGS: Final = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (work 15ms))
(class sale-record (aim 750ms) (limit 1500ms) (worth 2) (repeat keyed) (dedup 750ms) (late-worth 10%)
(work 10ms))
(class alike {search_class})
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(collection goods (class alike) (size 32) (points 200) (work {work}) (spread {spread}))
(vector (listen 127.0.0.1:0))
{servers}
(fleet (shards 24) (cells 24) (width 3) (zones hki-1 hki-2 espoo-1) (leaves 24) (brokers {brokers}))
(limits (attempts 4) (open-cap 4000) (by-work yes))
(leaf (slots 4) (queue 200) (noise {noise}))
(discovery (notice 300ms) (silent-notice 3s))
(log (level error))
"""
VECTOR_SIZE: Final = 32
VECTOR_DEVIATION: Final = 1.5
NEIGHBORS: Final = 10
QUERY_PATH: Final = "/collections/goods/points/query"
JSON_HEADERS: Final = {"content-type": "application/json"}
CONNECTION_LOST: Final = 0  # in place of an HTTP status
HTTP_TIMEOUT_SECONDS: Final = 30
UPTIME_BEFORE_LOAD_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class SearchSettings:
    """What differs between the settings of runs; the texts are values of the settings file."""

    search_class: str
    work: str = "5ms"
    spread: str = "100%"
    servers: str = ""
    brokers: int = 1
    noise: str = "30%"

    def text(self) -> str:
        """Return the settings file."""
        return SETTINGS.format(
            search_class=self.search_class,
            work=self.work,
            spread=self.spread,
            servers=self.servers,
            brokers=self.brokers,
            noise=self.noise,
        )


@dataclass(frozen=True, slots=True)
class RunningFleet:
    """A fleet of processes and its settings."""

    processes: ProcessFleet
    settings: ServiceSettings

    @property
    def brokers(self) -> list[FleetMember]:
        """The brokers' processes."""
        return self.processes.brokers


@dataclass(frozen=True, slots=True)
class SearchResponse:
    """The response to one search; ``status`` is CONNECTION_LOST where there was none."""

    status: int
    ids: list[int] = field(default_factory=list)
    quality: dict[str, Any] = field(default_factory=dict)  # the reply's member "heathwell"


@dataclass(frozen=True, slots=True)
class Search:
    """A search of a load: what was sought, the response, and the latency from its scheduled arrival."""

    vector: list[float]
    response: SearchResponse
    latency_seconds: float


@contextmanager
def run_fleet(search_settings: SearchSettings) -> Iterator[RunningFleet]:
    """Run a fleet of processes for the duration of a block."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-vectors-"))
    config = folder / "market.sx"
    config.write_text(search_settings.text())
    service_settings = loads(search_settings.text())
    processes = ProcessFleet(str(config), service_settings, None)
    try:
        processes.start()
        time.sleep(UPTIME_BEFORE_LOAD_SECONDS)
        yield RunningFleet(processes, service_settings)
    finally:
        processes.stop()


def connect(address: str) -> HTTPConnection:
    """Return a connection to HOST:PORT, opened with its first request."""
    host, _, port = address.rpartition(":")
    return HTTPConnection(host, int(port), timeout=HTTP_TIMEOUT_SECONDS)


def search(connection: HTTPConnection, vector: list[float], limit: int = NEIGHBORS) -> SearchResponse:
    """Send one search and return its response."""
    request = msgspec.json.encode({"query": vector, "limit": limit})
    try:
        connection.request("POST", QUERY_PATH, request, JSON_HEADERS)
        response = connection.getresponse()
        body = msgspec.json.decode(response.read())
    except (OSError, HTTPException):
        connection.close()
        return SearchResponse(CONNECTION_LOST)
    if response.status != HTTPStatus.OK:
        return SearchResponse(response.status)
    ids = [point["id"] for point in body["result"]["points"]]
    return SearchResponse(HTTPStatus.OK, ids, body["heathwell"])


@dataclass(frozen=True, slots=True)
class ScheduledSearch:
    """A search and when it is due, in seconds from the beginning of the load."""

    due_seconds: float
    vector: list[float]


def _schedule(rate: float, duration_seconds: float, seed: int, vector_size: int) -> list[ScheduledSearch]:
    """Draw searches with exponential gaps, ``rate`` per second."""
    draws = random.Random(seed)
    scheduled = []
    due_seconds = draws.expovariate(rate)
    while due_seconds < duration_seconds:
        vector = [draws.gauss(0, VECTOR_DEVIATION) for _ in range(vector_size)]
        scheduled.append(ScheduledSearch(due_seconds, vector))
        due_seconds += draws.expovariate(rate)
    return scheduled


class SearchLoad:
    """Searches that arrive at a rate, whether or not responses come."""

    def __init__(
        self, address: str, rate: float, duration_seconds: float, *, threads: int = 48, seed: int = 1
    ) -> None:
        self._address = address
        self._thread_count = threads
        self._remaining = iter(_schedule(rate, duration_seconds, seed, VECTOR_SIZE))
        self._lock = threading.Lock()
        self._began_at_seconds = 0.0
        self._searches: list[Search] = []

    def run(self) -> list[Search]:
        """Send all searches and return them in the order of their responses."""
        self._began_at_seconds = time.monotonic()
        run_threads([self._send_searches] * self._thread_count)
        return self._searches

    def _send_searches(self) -> None:
        connection = connect(self._address)
        while True:
            with self._lock:
                scheduled = next(self._remaining, None)
            if scheduled is None:
                return
            due_at_seconds = self._began_at_seconds + scheduled.due_seconds
            time.sleep(max(0.0, due_at_seconds - time.monotonic()))
            response = search(connection, scheduled.vector)
            latency_seconds = time.monotonic() - due_at_seconds
            with self._lock:
                self._searches.append(Search(scheduled.vector, response, latency_seconds))


def run_threads(targets: list[Callable[[], None]]) -> None:
    """Run each target in a thread of its own and wait for all."""
    threads = [threading.Thread(target=target, daemon=True) for target in targets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class ExactSearch:
    """The nearest of all points by brute force."""

    def __init__(self, service_settings: ServiceSettings) -> None:
        shards = [
            shard_from_settings(service_settings.collections[0], number, SHARDS) for number in range(SHARDS)
        ]
        self._vectors = np.concatenate([shard.vectors for shard in shards]).astype(np.float64)
        self._ids = np.array([point for shard in shards for point in shard.ids])

    def nearest(self, vector: list[float]) -> list[int]:
        """Return the ids of the nearest points, ties by id."""
        query = np.asarray(vector, np.float32).astype(np.float64)
        scores = self._vectors @ query
        return [int(self._ids[row]) for row in np.lexsort((self._ids, -scores))[:NEIGHBORS]]

    def recall(self, one: Search) -> float:
        """Return the fraction of the nearest points that a search found."""
        return len(set(one.response.ids) & set(self.nearest(one.vector))) / NEIGHBORS
