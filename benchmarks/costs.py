"""Processor time, latency and memory that the broker costs, as ratios within one run: `make bench`.

The endpoints are stand-ins with next to no work, so that the broker's own cost dominates. Direct and brokered
gets alternate, so that the machine's noise affects both alike. With `--quick` fewer requests are sent.
"""

from __future__ import annotations

import json
import os
import platform
import resource
import socket
import sys
import tempfile
import time
import urllib.request
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from hdrh.histogram import HdrHistogram

from heathwell.codec import frames
from heathwell.settings import load
from heathwell.testing.simulation.fleet_member import FleetMember
from heathwell.testing.simulation.process_fleet import ProcessFleet

SETTINGS: Final = """
(class wide (aim 5s) (limit 10s) (work 1us))
(class some (aim 5s) (limit 10s) (need 75%) (work 1us))
(class one (aim 5s) (limit 10s) (work 1us))
(keys sale (class one) (shape record))
(keys six (class some) (shape search) (parts 6))
(keys forty (class some) (shape search) (parts 40))
(keys many (class some) (shape search) (parts 500))
(fleet (shards 500) (cells 10) (width 3) (zones a) (leaves 10) (brokers 1))
(limits (open-cap 0) (clients 12000) (pipelined 64))
(discovery (notice 1ms))
(leaf (slots 1000) (queue 1000) (noise 0) (rows 1))
(log (level warning))
"""
SHARDS: Final = 500
REPLICA_GROUPS: Final = 10
FIRST_ENDPOINT_GROUPS: Final = (0, 9, 8)  # of shards that the first endpoint holds: shard % REPLICA_GROUPS
TRADERS: Final = 1_000
RECORDS_PER_TRADER: Final = 9_000
SOCKET_TIMEOUT_SECONDS: Final = 30
DIRECT_TIMEOUT_US: Final = 9_000_000
HISTOGRAM_MAX_US: Final = 10_000_000
HISTOGRAM_DIGITS: Final = 3
MICROSECONDS_PER_SECOND: Final = 1e6
NANOSECONDS_PER_MICROSECOND: Final = 1_000
CONNECTIONS_PER_VERSION_REQUEST: Final = 50  # every so many idle connections one is used once
UPTIME_BEFORE_LOAD_SECONDS: Final = 1.0


class MemcachedConnection:
    """A blocking memcached connection; raises :class:`OSError` where it cannot be opened."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_SECONDS)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get(self, key: str) -> bytes:
        """Send one get and return its reply, up to END."""
        self.socket.sendall(f"get {key}\r\n".encode())
        return self.receive_replies(1)

    def receive_replies(self, count: int) -> bytes:
        """Return ``count`` replies; raise :class:`EOFError` where the broker closes before."""
        data = b""
        while data.count(b"END\r\n") < count:
            received = self.socket.recv(1 << 20)
            if not received:
                raise EOFError("the broker closed")
            data += received
        return data


class EndpointConnection:
    """A blocking connection to an endpoint itself, over the inner protocol."""

    def __init__(self, address: str) -> None:
        self._socket = MemcachedConnection(address).socket
        self._socket.sendall(frames.encode(frames.Hello(frames.VERSION, "bench", "bench")))
        self._decoder = frames.FrameDecoder()
        self._request_count = 0

    def get(self, key: str, shard: int) -> frames.Result:
        """Request one part and return its result."""
        self._request_count += 1
        request = frames.PartRequest(
            f"bench/{self._request_count}", 0, "one", "record", key, shard, DIRECT_TIMEOUT_US
        )
        self._socket.sendall(frames.encode(frames.Call([request])))
        while True:
            for message in self._decoder.feed(self._socket.recv(65_536)):
                if isinstance(message, frames.Result):
                    return message


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def module_seconds(admin_address: str) -> float:
    """Return the time that a broker has spent in its decision module, from its metrics."""
    with urllib.request.urlopen(f"http://{admin_address}/metrics", timeout=10) as page:
        for line in page.read().decode().splitlines():
            if line.startswith("heathwell_module_seconds "):
                return float(line.split()[1])
    raise LookupError("heathwell_module_seconds")


@dataclass(frozen=True, slots=True)
class Trader:
    """A trader and the shard of the trader's records."""

    name: str
    shard: int


def _trader_of_first_endpoint() -> Trader:
    """Return a trader whose shard the first endpoint holds."""
    for number in range(TRADERS):
        name = f"t{number}"
        shard = zlib.crc32(name.encode()) % SHARDS
        if shard % REPLICA_GROUPS in FIRST_ENDPOINT_GROUPS:
            return Trader(name, shard)
    raise LookupError("no trader's shard is held by the first endpoint")


def _elapsed_us(began_ns: int) -> int:
    return (time.perf_counter_ns() - began_ns) // NANOSECONDS_PER_MICROSECOND


def measure_latency(fleet: ProcessFleet, rounds: int) -> dict[str, float]:
    """Return percentiles of a one-part get through the broker and of the same part from its endpoint."""
    broker = MemcachedConnection(fleet.brokers[0].address)
    trader = _trader_of_first_endpoint()
    endpoint = EndpointConnection(fleet.leaves[0].address)
    brokered = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    direct = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for number in range(rounds):
        key = f"{trader.name}:{number % RECORDS_PER_TRADER}"
        began_ns = time.perf_counter_ns()
        reply = broker.get(f"sale:{key}")
        brokered.record_value(_elapsed_us(began_ns))
        assert b'"found":true' in reply, reply
        began_ns = time.perf_counter_ns()
        result = endpoint.get(key, trader.shard)
        direct.record_value(_elapsed_us(began_ns))
        assert result.outcome == "ok", result
    percentiles: dict[str, float] = {}
    for name, percentile in (("p50", 50.0), ("p99", 99.0)):
        brokered_us = brokered.get_value_at_percentile(percentile)
        direct_us = direct.get_value_at_percentile(percentile)
        percentiles[f"{name} through, us"] = brokered_us
        percentiles[f"{name} direct, us"] = direct_us
        percentiles[f"{name} ratio"] = round(brokered_us / direct_us, 2)
    return percentiles


@dataclass(frozen=True, slots=True)
class BrokerTimes:
    """Processor time of a broker and of its decision module since its start, and the time of the reading."""

    cpu_seconds: float
    module_seconds: float
    read_at_seconds: float


def _read_times(broker: FleetMember) -> BrokerTimes:
    return BrokerTimes(
        cpu_seconds=cpu_seconds(broker.pid),
        module_seconds=module_seconds(broker.admin_address),
        read_at_seconds=time.monotonic(),
    )


def _send_rounds(connections: list[MemcachedConnection], key: str, rounds: int) -> int:
    """Send one get at a time on each connection, ``rounds`` times; return how many were rejected."""
    rejected_count = 0
    for _ in range(rounds):
        for number, connection in enumerate(connections):
            connection.socket.sendall(f"get {key}:w{number}\r\n".encode())
        for connection in connections:
            rejected_count += b'"refused":true' in connection.receive_replies(1)
    return rejected_count


def measure_query_cost(
    fleet: ProcessFleet, key: str, query_count: int, concurrency: int = 8
) -> dict[str, float]:
    """Return the processor time of the broker and of its module per query, and queries per second."""
    broker = fleet.brokers[0]
    connections = [MemcachedConnection(broker.address) for _ in range(concurrency)]
    for connection in connections:
        connection.get(f"{key}:warm")
    before = _read_times(broker)
    rounds = query_count // concurrency
    rejected_count = _send_rounds(connections, key, rounds)
    elapsed_seconds = time.monotonic() - before.read_at_seconds
    after = _read_times(broker)
    for connection in connections:
        connection.socket.close()
    sent_count = rounds * concurrency
    used_cpu_seconds = after.cpu_seconds - before.cpu_seconds
    used_module_seconds = after.module_seconds - before.module_seconds
    return {
        "queries": sent_count,
        "refused": rejected_count,
        "broker CPU, us a query": round(used_cpu_seconds / sent_count * MICROSECONDS_PER_SECOND, 1),
        "module, us a query": round(used_module_seconds / sent_count * MICROSECONDS_PER_SECOND, 1),
        "ratio": round(used_cpu_seconds / used_module_seconds, 2),
        "queries a second": round(sent_count / elapsed_seconds, 1),
    }


def measure_throughput(
    fleet: ProcessFleet,
    key: str,
    duration_seconds: float,
    connection_count: int = 16,
    pipelined: int = 8,
) -> float:
    """Return the gets per second that one broker process answers with pipelining clients."""
    address = fleet.brokers[0].address
    connections = [MemcachedConnection(address) for _ in range(connection_count)]
    request = "".join(f"get {key}:{number}\r\n" for number in range(pipelined)).encode()
    began_at_seconds = time.monotonic()
    answered_count = 0
    while time.monotonic() - began_at_seconds < duration_seconds:
        for connection in connections:
            connection.socket.sendall(request)
        for connection in connections:
            connection.receive_replies(pipelined)
            answered_count += pipelined
    return round(answered_count / (time.monotonic() - began_at_seconds), 1)


def measure_idle_connections(fleet: ProcessFleet, count: int) -> dict[str, float]:
    """Return the memory of each idle connection, and whether the broker still answers beside them."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    broker = fleet.brokers[0]
    bytes_before = resident_bytes(broker.pid)
    host, _, port = broker.address.rpartition(":")
    idle_sockets = []
    for number in range(count):
        idle_socket = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_SECONDS)
        if number % CONNECTIONS_PER_VERSION_REQUEST == 0:
            idle_socket.sendall(b"version\r\n")
            idle_socket.recv(100)
        idle_sockets.append(idle_socket)
    is_answered = b'"found":true' in MemcachedConnection(broker.address).get("sale:anna:1")
    added_bytes = resident_bytes(broker.pid) - bytes_before
    for idle_socket in idle_sockets:
        idle_socket.close()
    return {
        "connections": count,
        "bytes each": round(added_bytes / count),
        "answers beside them": is_answered,
    }


def measure(fleet: ProcessFleet, *, quick: bool) -> dict[str, object]:
    """Run all measurements and return them by name."""
    throughput_seconds = 0.5 if quick else 4.0
    return {
        "machine": f"{os.cpu_count()} processors, {platform.machine()}, Python {platform.python_version()}",
        "latency of a one-part get": measure_latency(fleet, 300 if quick else 5000),
        "6 parts": measure_query_cost(fleet, "six", 160 if quick else 2000),
        "40 parts": measure_query_cost(fleet, "forty", 80 if quick else 600),
        "500 parts": measure_query_cost(fleet, "many", 16 if quick else 80, 2),
        "gets a second, one part": measure_throughput(fleet, "sale:anna", throughput_seconds),
        "gets a second, six parts": measure_throughput(fleet, "six", throughput_seconds),
        "idle connections": measure_idle_connections(fleet, 500 if quick else 10_000),
    }


def main() -> int:
    """Run all measurements; print a table and one line of JSON."""
    with tempfile.TemporaryDirectory() as folder:
        config = f"{folder}/bench.sx"
        Path(config).write_text(SETTINGS)
        fleet = ProcessFleet(config, load(config))
        try:
            fleet.start()
            time.sleep(UPTIME_BEFORE_LOAD_SECONDS)
            measurements = measure(fleet, quick="--quick" in sys.argv)
        finally:
            fleet.stop()
    for name, measurement in measurements.items():
        print(f"{name}: {measurement}")
    print(json.dumps(measurements))
    return 0


if __name__ == "__main__":
    sys.exit(main())
