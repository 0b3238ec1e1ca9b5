"""The vector search server on sockets: merge cost, recall, latency with slow endpoints, throughput, fairness.

`.venv/bin/python benchmarks/vectors.py [merge] [recall] [slow] [core] [fronts]`: processes on loopback,
simulated work at the endpoints, clients on threads. Without arguments all parts run (four minutes).
"""

from __future__ import annotations

import random
import statistics
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

import costs
import msgspec
from vector_load import (
    JSON_HEADERS,
    NEIGHBORS,
    QUERY_PATH,
    SHARDS,
    VECTOR_SIZE,
    ExactSearch,
    RunningFleet,
    Search,
    SearchLoad,
    SearchSettings,
    connect,
    run_fleet,
    run_threads,
)

from heathwell.service.merging import Row, TopKMerge
from heathwell.testing.simulation.client_attempt import BrokerAddress
from heathwell.testing.simulation.client_population import ClientPopulation, Outcome
from heathwell.testing.simulation.fault_script import Load, Mix
from heathwell.testing.simulation.host_faults import HostFault
from heathwell.testing.simulation.scheduled_requests import poisson_requests
from heathwell.testing.standins.leaf_faults import LeafFault

SLOTS_PER_ENDPOINT: Final = 4
MICROSECONDS_PER_SECOND: Final = 1e6

RECALL_RATE: Final = 40
RECALL_DURATION_SECONDS: Final = 6
REQUIRED_PERCENTAGES: Final = (50, 62.5, 75, 87.5, 100)

SLOW_RATE: Final = 25
SLOW_DURATION_SECONDS: Final = 15
SLOW_ENDPOINTS: Final = 3
SLOW_FACTOR: Final = 60.0
SLOW_SPAN_US: Final = 1_000_000
SLOW_INTERVAL_SECONDS: Final = 1.0

FAIRNESS_DURATION_SECONDS: Final = 10
FAIRNESS_WARM_UP_SECONDS: Final = 2.0
FAIRNESS_BROKERS: Final = 2
SEARCH_WORK_SECONDS: Final = 0.020
REQUIRED_FRACTION: Final = 0.75
CAPACITY_MULTIPLES: Final = (0, 1, 3)

CORE_CONNECTIONS: Final = 6
CORE_DURATION_SECONDS: Final = 6.0
BATCH_SIZES: Final = (1, 40)

MERGED_PARTS: Final = (6, 25, 100, 500)
MERGE_REPEATS: Final = 5
MERGE_ROUNDS: Final = 7
MERGE_POINTS_PER_PART: Final = 100


def _answered(searches: list[Search]) -> list[Search]:
    return [one for one in searches if one.response.status == HTTPStatus.OK]


def percentiles_text(values_seconds: list[float]) -> str:
    """Return the median and the 99th percentile, in milliseconds."""
    ordered = sorted(values_seconds)
    p50_seconds = ordered[len(ordered) // 2]
    p99_seconds = ordered[int(len(ordered) * 0.99)]
    return f"p50 {p50_seconds * 1000:.0f} ms, p99 {p99_seconds * 1000:.0f} ms"


def measure_recall() -> None:
    """Print the recall at ten against the fraction of parts in the reply."""
    print(
        "recall@10 against the share of parts in (24 shards, points evenly spread; the estimate is "
        "the reply's own)"
    )
    for percentage in REQUIRED_PERCENTAGES:
        search_class = f"(aim 500ms) (limit 3s) (need {percentage}%)"
        with run_fleet(SearchSettings(search_class, spread="300%")) as fleet:
            exact = ExactSearch(fleet.settings)
            searches = SearchLoad(fleet.brokers[0].vector_address, RECALL_RATE, RECALL_DURATION_SECONDS).run()
        answered = _answered(searches)
        recalls = [exact.recall(one) for one in answered]
        estimates = [one.response.quality["recall"] for one in answered]
        parts = [one.response.quality["parts"] for one in answered]
        part_fractions = [received / requested for received, requested in parts]
        print(
            f"  need {percentage:5.1f}%: parts in {statistics.mean(part_fractions):.3f}, recall "
            f"{statistics.mean(recalls):.3f}, estimated {statistics.mean(estimates):.3f}, "
            f"{len(answered)} of {len(searches)} answered"
        )


def _slow_endpoints(fleet: RunningFleet, stop: threading.Event, seed: int = 4) -> None:
    """Slow some endpoints down at any time, others in each interval, until ``stop`` is set."""
    draws = random.Random(seed)
    fault = HostFault(LeafFault.SLOW, SLOW_FACTOR, SLOW_SPAN_US).to_command()
    while not stop.wait(SLOW_INTERVAL_SECONDS):
        names = [member.name for member in fleet.processes.leaves]
        for name in draws.sample(names, SLOW_ENDPOINTS):
            fleet.processes.inject_fault(name, fault)


def _search_beside_slow_endpoints(fleet: RunningFleet) -> list[Search]:
    stop = threading.Event()
    injector = threading.Thread(target=_slow_endpoints, args=(fleet, stop), daemon=True)
    injector.start()
    searches = SearchLoad(fleet.brokers[0].vector_address, SLOW_RATE, SLOW_DURATION_SECONDS).run()
    stop.set()
    injector.join()
    return searches


def measure_slow_endpoints() -> None:
    """Print the latency of an answer at n of k parts, with and without hedges, against waiting for all."""
    search_classes = {
        "wait for all": "(aim 20s) (limit 20s) (need 100%)",
        "n of k": "(aim 20s) (limit 20s) (need 75%)",
        "n of k + spare": "(aim 200ms) (limit 20s) (need 75%)",
    }
    print("latency with three of 24 hosts 60 times slower, others each second; 25 searches/s, n/k 75 %")
    for name, search_class in search_classes.items():
        with run_fleet(SearchSettings(search_class, spread="300%")) as fleet:
            exact = ExactSearch(fleet.settings)
            searches = _search_beside_slow_endpoints(fleet)
        answered = _answered(searches)
        recall = statistics.mean(exact.recall(one) for one in answered)
        complete_fraction = sum(one.response.quality["whole"] for one in answered) / len(answered)
        print(
            f"  {name:<15}: {percentiles_text([one.latency_seconds for one in answered])}, "
            f"recall {recall:.3f}, {len(answered)} of {len(searches)} answered, "
            f"whole {complete_fraction:.1%}"
        )


def _offer_memcached_load(fleet: RunningFleet) -> list[Outcome]:
    """Send memcached requests to all brokers at a fixed rate and return the outcomes after the warm-up."""
    addresses = [BrokerAddress(member.name, member.address) for member in fleet.brokers]
    load = Load(40.0, clients=60, retries=0, mix=[Mix("price", 0.5), Mix("sale", 0.5)])
    clients = ClientPopulation(load, fleet.settings, partial(list, addresses), None)
    began_at_seconds = clients.start()
    for arrival in poisson_requests(
        load, fleet.settings, 3, 0.0, float(FAIRNESS_DURATION_SECONDS), lambda _at_seconds: 1.0
    ):
        time.sleep(max(0.0, began_at_seconds + arrival.at_seconds - time.monotonic()))
        clients.offer(arrival)
    clients.finish()
    return [
        outcome for outcome in clients.outcomes if outcome.scheduled_at_seconds > FAIRNESS_WARM_UP_SECONDS
    ]


def _memcached_outcomes_beside_searches(fleet: RunningFleet, searches_per_second: float) -> list[Outcome]:
    threads = []
    if searches_per_second:
        for number, broker in enumerate(fleet.brokers):
            load = SearchLoad(
                broker.vector_address,
                searches_per_second / len(fleet.brokers),
                FAIRNESS_DURATION_SECONDS,
                threads=160,
                seed=number,
            )
            threads.append(threading.Thread(target=load.run, args=()))
    for thread in threads:
        thread.start()
    outcomes = _offer_memcached_load(fleet)
    for thread in threads:
        thread.join()
    return outcomes


def _outcomes_text(outcomes: list[Outcome]) -> str:
    """Return the shares of the kinds of outcome, the most frequent first."""
    counts = Counter(outcome.kind for outcome in outcomes)
    return ", ".join(f"{kind} {count / len(outcomes):.1%}" for kind, count in counts.most_common())


def measure_fairness() -> None:
    """Print memcached service beside searches at multiples of the endpoints' capacity, shared and not."""
    search_class = "(aim 800ms) (limit 2s) (need 75%) (floor 50%)"
    capacity = SHARDS * SLOTS_PER_ENDPOINT / (SHARDS * REQUIRED_FRACTION * SEARCH_WORK_SECONDS)
    print(f"memcached service beside searches; the hosts can do about {capacity:.0f} searches/s")
    for label, servers in (
        ("shared by weight", "(fronts (queue-target 30ms) (memcached 2) (vector 1))"),
        ("not shared", ""),
    ):
        search_settings = SearchSettings(search_class, work="20ms", servers=servers, brokers=FAIRNESS_BROKERS)
        for multiple in CAPACITY_MULTIPLES:
            with run_fleet(search_settings) as fleet:
                outcomes = _memcached_outcomes_beside_searches(fleet, multiple * capacity)
            latencies = percentiles_text([outcome.duration_seconds for outcome in outcomes])
            print(f"  {label:<16} {multiple}x: {_outcomes_text(outcomes)}; {latencies}")


def _search_request(batch: int) -> tuple[str, bytes]:
    """Return path and body of a request with ``batch`` searches."""
    draws = random.Random(1)
    searches = [
        {"query": [draws.gauss(0, 1) for _ in range(VECTOR_SIZE)], "limit": NEIGHBORS} for _ in range(batch)
    ]
    if batch > 1:
        return f"{QUERY_PATH}/batch", msgspec.json.encode({"searches": searches})
    return QUERY_PATH, msgspec.json.encode(searches[0])


def _repeat_request(address: str, path: str, body: bytes, answered_counts: list[int]) -> None:
    """Send the same request again and again; append how many times it was answered."""
    connection = connect(address)
    until_seconds = time.monotonic() + CORE_DURATION_SECONDS
    answered_count = 0
    while time.monotonic() < until_seconds:
        connection.request("POST", path, body, JSON_HEADERS)
        response = connection.getresponse()
        response.read()
        answered_count += response.status == HTTPStatus.OK
    answered_counts.append(answered_count)


def measure_core() -> None:
    """Print the searches that one core of a broker does: endpoints without work, saturating clients."""
    print("throughput of one broker core (24 parts a search, 18 needed)")
    search_settings = SearchSettings("(aim 2s) (limit 5s) (need 75%)", work="1us", noise="0%")
    for batch in BATCH_SIZES:
        with run_fleet(search_settings) as fleet:
            broker = fleet.brokers[0]
            path, body = _search_request(batch)
            answered_counts: list[int] = []
            cpu_before_seconds = costs.cpu_seconds(broker.process.pid)
            run_threads(
                [partial(_repeat_request, broker.vector_address, path, body, answered_counts)]
                * CORE_CONNECTIONS
            )
            used_seconds = costs.cpu_seconds(broker.process.pid) - cpu_before_seconds
        searches = max(1, sum(answered_counts) * batch)
        print(
            f"  batch of {batch:>2}: {searches / CORE_DURATION_SECONDS:.0f} searches/s, "
            f"{used_seconds / searches * MICROSECONDS_PER_SECOND:.0f} us of its "
            f"processor a search: {searches / max(used_seconds, 1e-9):.0f} a core and second"
        )


def _draw_rows(draws: random.Random, part: int) -> list[Row]:
    """Return ten rows of a part, the best first."""
    rows = [Row(part * 1000 + number, draws.random()) for number in range(NEIGHBORS)]
    return sorted(rows, key=lambda row: -row.score)


def _merge_seconds(rows_by_part: list[list[Row]]) -> float:
    """Return the processor time of one merge, the mean of several."""
    began_at_seconds = time.thread_time()
    for _ in range(MERGE_REPEATS):
        merge = TopKMerge([NEIGHBORS], [0], [None])
        names = [str(number) for number in range(len(rows_by_part))]
        for name, rows in zip(names, rows_by_part, strict=True):
            merge.add_bounds(name, [rows[0].score])
            merge.add_rows(name, [rows], MERGE_POINTS_PER_PART)
        merge.result(0, [], MERGE_POINTS_PER_PART)
    return (time.thread_time() - began_at_seconds) / MERGE_REPEATS


def measure_merge() -> None:
    """Print the cost of a merge per part, against that of the smallest."""
    draws = random.Random(2)
    print("merge of ten rows a part")
    smallest_us = 0.0
    for parts in MERGED_PARTS:
        rows_by_part = [_draw_rows(draws, part) for part in range(parts)]
        best_seconds = min(_merge_seconds(rows_by_part) for _ in range(MERGE_ROUNDS))
        best_us = best_seconds / parts * MICROSECONDS_PER_SECOND
        smallest_us = smallest_us or best_us
        print(f"  {parts:>3} parts: {best_us:.1f} us a part, {best_us / smallest_us:.2f} of that at 6")


MEASUREMENTS: Final[dict[str, Callable[[], None]]] = {
    "merge": measure_merge,
    "recall": measure_recall,
    "slow": measure_slow_endpoints,
    "core": measure_core,
    "fronts": measure_fairness,
}

if __name__ == "__main__":
    for word in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[word]()
