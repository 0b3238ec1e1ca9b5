"""The vector front on sockets: `.venv/bin/python benchmarks/vectors.py [merge] [recall] [slow] [core]
[fronts]`.

Processes on loopback, simulated work at the hosts, clients on threads. Without words all parts run (four
minutes).
"""

from __future__ import annotations

import os
import random
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from heathwell.codec import frames
from heathwell.service.merging import Row, TopKMerge
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.client_attempt import BrokerAddress
from heathwell.testing.simulation.client_population import ClientPopulation
from heathwell.testing.simulation.fault_script import Load, Mix
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.scheduled_requests import poisson_requests
from heathwell.testing.standins.vectors import shard_of

SHARDS = 24
MARKET = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (work 15ms))
(class sale-record (aim 750ms) (limit 1500ms) (worth 2) (repeat keyed) (dedup 750ms) (late-worth 10%)
(work 10ms))
(class alike {alike})
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(collection goods (class alike) (size 32) (points 200) (work {work}) (spread {spread}))
(vector (listen 127.0.0.1:0))
{fronts}
(fleet (shards 24) (cells 24) (width 3) (zones hki-1 hki-2 espoo-1) (leaves 24) (brokers {brokers}))
(limits (attempts 4) (open-cap 4000) (by-work yes))
(leaf (slots 4) (queue 200) (noise {noise}))
(discovery (notice 300ms) (silent-notice 3s))
(log (level error))
"""


@dataclass(slots=True)
class Asked:
    """What came of one search."""

    took: float
    status: int
    ids: list[int] = field(default_factory=list)
    words: dict[str, Any] = field(default_factory=dict)


def market_text(
    alike: str,
    *,
    work: str = "5ms",
    spread: str = "100%",
    fronts: str = "",
    brokers: int = 1,
    noise: str = "30%",
) -> str:
    """Settings of one run."""
    return MARKET.format(alike=alike, work=work, spread=spread, fronts=fronts, brokers=brokers, noise=noise)


@contextmanager
def fleet_of(text: str, events: bool = False) -> Iterator[tuple[ProcessFleet, ServiceSettings]]:
    """A fleet of processes while it lasts."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-vectors-"))
    config = folder / "market.sx"
    config.write_text(text)
    service_settings = loads(text)
    fleet = ProcessFleet(str(config), service_settings, str(folder / "events") if events else None)
    try:
        fleet.start()
        time.sleep(2.0)
        yield fleet, service_settings
    finally:
        fleet.stop()


def search(link: HTTPConnection, vector: list[float], limit: int = 10) -> Asked:
    """One search; a lost connection is status 0."""
    began = time.monotonic()
    try:
        link.request(
            "POST",
            "/collections/goods/points/query",
            msgspec.json.encode({"query": vector, "limit": limit}),
            {"content-type": "application/json"},
        )
        got = link.getresponse()
        body = msgspec.json.decode(got.read())
    except (OSError, HTTPException):
        link.close()
        return Asked(time.monotonic() - began, 0)
    took = time.monotonic() - began
    if got.status != 200:
        return Asked(took, got.status)
    return Asked(took, 200, [p["id"] for p in body["result"]["points"]], body["heathwell"])


def load(
    address: str, rate: float, seconds: float, threads: int = 48, seed: int = 1, size: int = 32
) -> list[tuple[list[float], Asked]]:
    """Searches arriving at a rate whether or not answers come; latency counts from the scheduled arrival."""
    draws = random.Random(seed)
    due, at = [], 0.0
    while (at := at + draws.expovariate(rate)) < seconds:
        due.append((at, [draws.gauss(0, 1.5) for _ in range(size)]))
    out: list[tuple[list[float], Asked]] = []
    lock, turn, zero = threading.Lock(), iter(due), time.monotonic()

    def work() -> None:
        host, _, port = address.rpartition(":")
        link = HTTPConnection(host, int(port), timeout=30)
        while True:
            with lock:
                one = next(turn, None)
            if one is None:
                return
            time.sleep(max(0.0, zero + one[0] - time.monotonic()))
            asked = search(link, one[1])
            asked.took = time.monotonic() - zero - one[0]
            with lock:
                out.append((one[1], asked))

    crowd = [threading.Thread(target=work, daemon=True) for _ in range(threads)]
    for thread in crowd:
        thread.start()
    for thread in crowd:
        thread.join()
    return out


def truth(service_settings: ServiceSettings) -> Callable[[list[float]], list[int]]:
    """The ten nearest of all points, by brute force."""
    shards = [shard_of(service_settings.collections[0], number, SHARDS) for number in range(SHARDS)]
    vectors = np.concatenate([shard.vectors for shard in shards]).astype(np.float64)
    ids = np.array([point for shard in shards for point in shard.ids])

    def nearest(vector: list[float]) -> list[int]:
        query = np.asarray(vector, np.float32).astype(np.float64)
        scores = vectors @ query
        return [int(ids[row]) for row in np.lexsort((ids, -scores))[:10]]

    return nearest


def shares(values: list[float]) -> str:
    """Median and 99th of some seconds, as milliseconds."""
    ordered = sorted(values)
    p50 = ordered[len(ordered) // 2]
    p99 = ordered[int(len(ordered) * 0.99)]
    return f"p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms"


def recall() -> None:
    """Recall at ten against the share of parts in."""
    print(
        "recall@10 against the share of parts in (24 shards, points evenly spread; the estimate is "
        "the reply's own)"
    )
    for need in (50, 62.5, 75, 87.5, 100):
        with fleet_of(market_text(f"(aim 500ms) (limit 3s) (need {need}%)", spread="300%")) as (
            fleet,
            service_settings,
        ):
            nearest = truth(service_settings)
            done = load(fleet.brokers[0].vector_address, 40, 6)
            good = [(vector, one) for vector, one in done if one.status == 200]
            hits = [len(set(one.ids) & set(nearest(vector))) / 10 for vector, one in good]
            said = [one.words["recall"] for _, one in good]
            parts = [one.words["parts"][0] / one.words["parts"][1] for _, one in good]
            print(
                f"  need {need:5.1f}%: parts in {statistics.mean(parts):.3f}, recall "
                f"{statistics.mean(hits):.3f}, "
                f"estimated {statistics.mean(said):.3f}, {len(good)} of {len(done)} answered"
            )


def troubled(fleet: ProcessFleet, until: threading.Event, seed: int = 4) -> None:
    """At any time three of the hosts work sixty times slower, others every second."""
    draws = random.Random(seed)
    while not until.wait(1.0):
        for name in draws.sample([m.name for m in fleet.leaves], 3):
            fleet.inject_fault(name, frames.FaultCommand("slow", 60.0, 1_000_000))


def slow() -> None:
    """The design's claim: answer at n of k, with a spare for a late one, against waiting for all."""
    variants = {
        "wait for all": "(aim 20s) (limit 20s) (need 100%)",
        "n of k": "(aim 20s) (limit 20s) (need 75%)",
        "n of k + spare": "(aim 200ms) (limit 20s) (need 75%)",
    }
    print("latency with three of 24 hosts 60 times slower, others each second; 25 searches/s, n/k 75 %")
    for name, alike in variants.items():
        with fleet_of(market_text(alike, spread="300%")) as (fleet, service_settings):
            nearest, until = truth(service_settings), threading.Event()
            maker = threading.Thread(target=troubled, args=(fleet, until), daemon=True)
            maker.start()
            done = load(fleet.brokers[0].vector_address, 25, 15)
            until.set()
            maker.join()
            good = [(vector, one) for vector, one in done if one.status == 200]
            hits = statistics.mean(len(set(one.ids) & set(nearest(vector))) / 10 for vector, one in good)
            whole = sum(one.words["whole"] for _, one in good) / len(good)
            print(
                f"  {name:<15}: {shares([one.took for _, one in good])}, recall {hits:.3f}, "
                f"{len(good)} of {len(done)} answered, whole {whole:.1%}"
            )


def fronts() -> None:
    """Memcached service beside none, one and three times the searches that the hosts can do, shared
    and not.
    """
    alike = "(aim 800ms) (limit 2s) (need 75%) (floor 50%)"
    capacity = 24 * 4 / (24 * 0.75 * 0.020)  # slots over the work of a search
    print(f"memcached service beside searches; the hosts can do about {capacity:.0f} searches/s")
    for label, text in (
        ("shared by weight", "(fronts (queue-target 30ms) (memcached 2) (vector 1))"),
        ("not shared", ""),
    ):
        for times in (0, 1, 3):
            with fleet_of(market_text(alike, work="20ms", fronts=text, brokers=2)) as (
                fleet,
                service_settings,
            ):
                brokers = fleet.brokers
                where = [BrokerAddress(m.name, m.address) for m in brokers]
                crowd = ClientPopulation(
                    Load(40.0, clients=60, retries=0, mix=[Mix("price", 0.5), Mix("sale", 0.5)]),
                    service_settings,
                    partial(list, where),
                    None,
                )
                threads = [
                    threading.Thread(target=load, args=(m.vector_address, times * capacity / 2, 10, 160, n))
                    for n, m in enumerate(brokers)
                    if times
                ]
                zero = crowd.start()
                for thread in threads:
                    thread.start()
                for arrival in poisson_requests(crowd.load, service_settings, 3, 0.0, 10.0, lambda _at: 1.0):
                    time.sleep(max(0.0, zero + arrival.at_seconds - time.monotonic()))
                    crowd.offer(arrival)
                crowd.finish()
                for thread in threads:
                    thread.join()
                rows = [one for one in crowd.outcomes if one.scheduled_at_seconds > 2.0]
                ended: dict[str, float] = {}
                for one in rows:
                    ended[one.kind] = ended.get(one.kind, 0.0) + 1 / len(rows)
                told = ", ".join(
                    f"{kind} {share:.1%}" for kind, share in sorted(ended.items(), key=lambda e: -e[1])
                )
                print(f"  {label:<16} {times}x: {told}; {shares([one.duration_seconds for one in rows])}")


def core() -> None:
    """Searches a second that one broker's processor does: hosts that take no time, as many clients as it
    serves.
    """
    print("throughput of one broker core (24 parts a search, 18 needed)")
    for batch in (1, 40):
        with fleet_of(market_text("(aim 2s) (limit 5s) (need 75%)", work="1us", noise="0%")) as (fleet, _):
            broker = fleet.brokers[0]
            draws = random.Random(1)
            wishes = [{"query": [draws.gauss(0, 1) for _ in range(32)], "limit": 10} for _ in range(batch)]
            path = "/collections/goods/points/query" + ("/batch" if batch > 1 else "")
            body = msgspec.json.encode({"searches": wishes} if batch > 1 else wishes[0])
            done: list[int] = []
            before = _processor(broker.process.pid)
            crowd = [
                threading.Thread(target=_hammer, args=(broker.vector_address, path, body, 6.0, done))
                for _ in range(6)
            ]
            for thread in crowd:
                thread.start()
            for thread in crowd:
                thread.join()
            used, searches = _processor(broker.process.pid) - before, max(1, sum(done) * batch)
            print(
                f"  batch of {batch:>2}: {searches / 6:.0f} searches/s, {used / searches * 1e6:.0f} "
                f"us of its "
                f"processor a search: {searches / max(used, 1e-9):.0f} a core and second"
            )


def _hammer(address: str, path: str, body: bytes, seconds: float, done: list[int]) -> None:
    """Ask the same over and over; notes how many were answered."""
    host, _, port = address.rpartition(":")
    link, until, count = HTTPConnection(host, int(port), timeout=30), time.monotonic() + seconds, 0
    while time.monotonic() < until:
        link.request("POST", path, body, {"content-type": "application/json"})
        got = link.getresponse()
        got.read()
        count += got.status == 200
    done.append(count)


def _processor(pid: int) -> float:
    """Seconds of processor that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def merge() -> None:
    """The merge alone: linear in its parts."""
    draws = random.Random(2)
    print("merge of ten rows a part")
    first = 0.0
    for parts in (6, 25, 100, 500):
        lists = [
            sorted((Row(n * 1000 + m, draws.random()) for m in range(10)), key=lambda r: -r.score)
            for n in range(parts)
        ]
        best = min(_merged(lists) for _ in range(7)) / parts * 1e6
        first = first or best
        print(f"  {parts:>3} parts: {best:.1f} us a part, {best / first:.2f} of that at 6")


def _merged(lists: list[list[Row]]) -> float:
    began = time.thread_time()
    for _ in range(5):
        top = TopKMerge([10], [0], [None])
        names = [str(number) for number in range(len(lists))]
        for name, rows in zip(names, lists, strict=True):
            top.add_bounds(name, [rows[0].score])
            top.add_rows(name, [rows], 100)
        top.result(0, [], 100)
    return (time.thread_time() - began) / 5


PARTS: dict[str, Callable[[], None]] = {
    "merge": merge,
    "recall": recall,
    "slow": slow,
    "core": core,
    "fronts": fronts,
}

if __name__ == "__main__":
    for word in sys.argv[1:] or PARTS:
        PARTS[word]()
