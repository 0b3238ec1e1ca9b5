"""What the broker costs, as ratios in one run on one machine: `make bench`.

Hosts are stand-ins with next to no work, so what is measured is the way, not the answer. Direct and
brokered gets alternate, so that the machine's noise falls on both.
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
from pathlib import Path

from hdrh.histogram import HdrHistogram

from heathwell.codec import frames
from heathwell.settings import load
from heathwell.testing.simulation.process_fleet import ProcessFleet

TEXT = """
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


class Line:
    """A blocking memcached connection that counts replies."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), 30)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get(self, key: str) -> bytes:
        """One get, to its END."""
        self.sock.sendall(f"get {key}\r\n".encode())
        return self.replies(1)

    def replies(self, count: int) -> bytes:
        """So many replies."""
        data = b""
        while data.count(b"END\r\n") < count:
            more = self.sock.recv(1 << 20)
            if not more:
                raise EOFError("the broker closed")
            data += more
        return data


class Direct:
    """The same question put to a host itself."""

    def __init__(self, address: str) -> None:
        self.line = Line(address)
        self.line.sock.sendall(frames.encode(frames.Hello(frames.VERSION, "bench", "bench")))
        self.decoder = frames.Frames()
        self.asked = 0

    def get(self, key: str, shard: int) -> frames.Result:
        """One part, to its result."""
        self.asked += 1
        ask = frames.PartRequest(f"bench/{self.asked}", 0, "one", "record", key, shard, 9_000_000)
        self.line.sock.sendall(frames.encode(frames.Call([ask])))
        while True:
            for message in self.decoder.feed(self.line.sock.recv(65_536)):
                if isinstance(message, frames.Result):
                    return message


def cpu_seconds(pid: int) -> float:
    """User and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss(pid: int) -> int:
    """Resident bytes of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def module_seconds(admin: str) -> float:
    """Time the broker has spent in its module, from its metrics."""
    with urllib.request.urlopen(f"http://{admin}/metrics", timeout=10) as page:
        for line in page.read().decode().splitlines():
            if line.startswith("heathwell_module_seconds "):
                return float(line.split()[1])
    raise LookupError("heathwell_module_seconds")


def latency(fleet: ProcessFleet, rounds: int) -> dict[str, float]:
    """A one-part get through the broker against the same part asked of its host."""
    broker = Line(fleet.brokers[0].address)
    shard = 0
    for number in range(1000):  # a trader whose shard the first host holds
        import zlib  # noqa: PLC0415

        shard = zlib.crc32(f"t{number}".encode()) % 500
        if shard % 10 in (0, 9, 8):
            trader = f"t{number}"
            break
    direct = Direct(fleet.leaves[0].address)
    through, straight = (HdrHistogram(1, 10_000_000, 3) for _ in range(2))
    for number in range(rounds):
        began = time.perf_counter_ns()
        reply = broker.get(f"sale:{trader}:{number % 9000}")
        through.record_value((time.perf_counter_ns() - began) // 1000)
        assert b'"found":true' in reply, reply
        began = time.perf_counter_ns()
        result = direct.get(f"{trader}:{number % 9000}", shard)
        straight.record_value((time.perf_counter_ns() - began) // 1000)
        assert result.outcome == "ok", result
    out: dict[str, float] = {}
    for name, at in (("p50", 50.0), ("p99", 99.0)):
        a, b = through.get_value_at_percentile(at), straight.get_value_at_percentile(at)
        out |= {f"{name} through, us": a, f"{name} direct, us": b, f"{name} ratio": round(a / b, 2)}
    return out


def cost(fleet: ProcessFleet, key: str, count: int, window: int = 8) -> dict[str, float]:
    """Processor time of the broker and of its module a query, and queries a second, some at once."""
    member = fleet.brokers[0]
    lines = [Line(member.address) for _ in range(window)]
    for line in lines:
        line.get(f"{key}:warm")
    cpu, module, began = (
        cpu_seconds(member.pid),
        module_seconds(member.admin_address),
        time.monotonic(),
    )
    refused = 0
    for _ in range(count // window):
        for number, line in enumerate(lines):
            line.sock.sendall(f"get {key}:w{number}\r\n".encode())
        for line in lines:
            refused += b'"refused":true' in line.replies(1)
    took = time.monotonic() - began
    cpu, module = cpu_seconds(member.pid) - cpu, module_seconds(member.admin_address) - module
    for line in lines:
        line.sock.close()
    done = count // window * window
    return {
        "queries": done,
        "refused": refused,
        "broker CPU, us a query": round(cpu / done * 1e6, 1),
        "module, us a query": round(module / done * 1e6, 1),
        "ratio": round(cpu / module, 2),
        "queries a second": round(done / took, 1),
    }


def throughput(fleet: ProcessFleet, key: str, seconds: float, lines_count: int = 16, deep: int = 8) -> float:
    """Gets a second that one broker process answers with pipelining clients."""
    lines = [Line(fleet.brokers[0].address) for _ in range(lines_count)]
    request = "".join(f"get {key}:{n}\r\n" for n in range(deep)).encode()
    began, done = time.monotonic(), 0
    while time.monotonic() - began < seconds:
        for line in lines:
            line.sock.sendall(request)
        for line in lines:
            line.replies(deep)
            done += deep
    return round(done / (time.monotonic() - began), 1)


def idle(fleet: ProcessFleet, count: int) -> dict[str, float]:
    """Memory of idle connections, and whether the broker still answers beside them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    member = fleet.brokers[0]
    before = rss(member.pid)
    host, _, port = member.address.rpartition(":")
    held = []
    for number in range(count):
        sock = socket.create_connection((host, int(port)), 30)
        if number % 50 == 0:
            sock.sendall(b"version\r\n")
            sock.recv(100)
        held.append(sock)
    answered = b'"found":true' in Line(member.address).get("sale:anna:1")
    grown = rss(member.pid) - before
    for sock in held:
        sock.close()
    return {"connections": count, "bytes each": round(grown / count), "answers beside them": answered}


def main() -> int:
    """Run all, print a table and one line of JSON."""
    quick = "--quick" in sys.argv
    with tempfile.TemporaryDirectory() as folder:
        config = f"{folder}/bench.sx"
        Path(config).write_text(TEXT)
        fleet = ProcessFleet(config, load(config))
        try:
            fleet.start()
            time.sleep(1.0)
            result = {
                "machine": f"{os.cpu_count()} processors, {platform.machine()}, Python "
                "{platform.python_version()}",
                "latency of a one-part get": latency(fleet, 300 if quick else 5000),
                "6 parts": cost(fleet, "six", 160 if quick else 2000),
                "40 parts": cost(fleet, "forty", 80 if quick else 600),
                "500 parts": cost(fleet, "many", 16 if quick else 80, 2),
                "gets a second, one part": throughput(fleet, "sale:anna", 0.5 if quick else 4.0),
                "gets a second, six parts": throughput(fleet, "six", 0.5 if quick else 4.0),
                "idle connections": idle(fleet, 500 if quick else 10_000),
            }
        finally:
            fleet.stop()
    for name, figures in result.items():
        print(f"{name}: {figures}")
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
