"""Crossings over loopback sockets: a broker, its front and scripted peers in one loop, so that order is
forced.

A peer waits for a named point of the broker (``until``) before its next byte; connects of the broker wait at
a gate. Nothing sleeps for a time, ports are the kernel's, and what is judged is what nodes and clients saw.
"""

from __future__ import annotations

import json
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from heathwell.eventloop import ConnectError, Coro, Event, MonotonicClock, Stream, sleep, socket_loop
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import read
from heathwell.gateway.front import Front
from heathwell.testing.simulation.platform_config import REPLICA_GROUPS, encode_config, platform_settings
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

TURNS_MOST = 20_000  # of the loop, for a point that never comes: some seconds
CUSTOMERS: dict[str, dict[str, Any]] = {
    "asked": {},
    "asked, short grace, calls of many parts, copies": {
        "classes": [
            {
                "name": "range-search",
                "objective-us": 500_000,
                "hard-limit-us": 4_000_000,
                "idempotency": "read_like",
                "worth": 2.0,
                "late-value": 0.1,
                "dedup-window-us": 5_000_000,
            },
            {
                "name": "hut-nights",
                "objective-us": 300_000,
                "hard-limit-us": 900_000,
                "idempotency": "read_like",
                "worth": 1.0,
                "late-value": 0.3,
                "dedup-window-us": 5_000_000,
            },
        ],
        "ceilings": {"second-copies": True, "conn-idle-us": 1_500_000, "connect-timeout-us": 400_000},
        "invariants": {"drain-grace-us": 250_000},
        "specifics": {
            "class-fetch": [0, 0],
            "class-need": [1.0, 1.0],
            "min-share": [1.0, 0.7],
            "incomplete-worth": [0.9, 0.8],
            "parts-a-call": 8,
        },
    },
    "pushed, unsafe, no cancels, tenants": {
        "registry-mode": "push",
        "accounts": [
            {"name": "valley", "quota-rps": 20.0, "share": 0.6},
            {"name": "harbour", "quota-rps": 10.0, "share": 0.4},
        ],
        "classes": [
            {
                "name": "visit-note",
                "objective-us": 200_000,
                "hard-limit-us": 400_000,
                "idempotency": "non_idempotent",
                "worth": 1.0,
                "late-value": 0.1,
                "dedup-window-us": 0,
            },
            {
                "name": "ward-list",
                "objective-us": 900_000,
                "hard-limit-us": 3_500_000,
                "idempotency": "idempotency_key",
                "worth": 1.0,
                "late-value": 0.1,
                "dedup-window-us": 900_000,
            },
        ],
        "ceilings": {"cancelling": False, "probing": False, "retry-after": False, "max-attempts": 2},
        "invariants": {"drain-grace-us": 600_000, "must-ask-in-us": 0},
        "specifics": {
            "class-fetch": [0, 0],
            "class-need": [1.0, 1.0],
            "min-share": [1.0, 1.0],
            "incomplete-worth": [0.9, 0.9],
        },
    },
}


def customer(name: str, **specifics: Any) -> dict[str, Any]:
    """A customer's settings object; keys of a table that it does not name are the common ones."""
    setup: dict[str, Any] = platform_settings()
    for key, value in CUSTOMERS[name].items():
        setup[key] = {**setup[key], **value} if isinstance(value, dict) else value
    setup["specifics"].update(specifics)
    return setup


class Ahead(MonotonicClock):
    """The machine's clock and ``by_us`` more, which a test sets: the loop stalled for so long, and nobody
    sleeps.
    """

    by_us = 0

    def now(self) -> int:
        return super().now() + self.by_us


class Gate:
    """The broker's net: a connect to a shut address waits, and fails with what is set for it, once each."""

    def __init__(self, net: Any) -> None:
        self.net = net
        self.shut: dict[str, Event] = {}
        self.fails: dict[str, list[str]] = {}
        self.asked: list[str] = []
        self.small: set[str] = set()

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """As the net's, once the gate is open."""
        self.asked.append(address)
        if self.fails.get(address):
            raise ConnectError(self.fails[address].pop(0))
        if address in self.shut:
            yield from self.shut[address].wait()
        stream = yield from self.net.connect(address, timeout_us)
        if address in self.small:
            stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return stream

    def hold(self, address: str) -> None:
        """Connects wait from now on."""
        self.shut[address] = Event()

    def open(self, address: str) -> None:
        """Those that wait go on."""
        self.shut.pop(address).set()


class World:
    """Nodes, one a cell, discovery, one broker; over sockets of the loopback."""

    def __init__(self, name: str = "asked", *, width: int = 1, registry: bool = True, **changes: Any) -> None:
        self.clock = Ahead()
        self.loop, self.net, self.poller = socket_loop(clock=self.clock)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda task, error: self.errors.append((task, error))
        self.gate = Gate(self.net)
        self.nodes = [
            PlatformNode(self.loop, self.net, "127.0.0.1:0", f"s{n}", n, work_us=1)
            for n in range(REPLICA_GROUPS)
        ]
        self.registry = PlatformDiscovery(self.loop, self.net, "127.0.0.1:0", self.nodes)
        self.setup = customer(name, width=width)
        self.config = read(
            encode_config(
                **{
                    "listen": "127.0.0.1:0",
                    "discovery": self.registry.address if registry else "127.0.0.1:1",
                    "settings": self.setup,
                    "known": {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]},
                    **changes,
                }
            )
        )
        self.lines: list[str] = []
        self.broker = PlatformBroker(self.loop, self.gate, self.config, log=self.log)
        self.front = Front(self.broker, self.config.client_sockets, self.config.kept_clients, self.log)
        self.listener = self.net.listen("127.0.0.1:0", self.front.serve, "client")
        self.kinds = [entry["name"] for entry in self.setup["classes"]]

    def log(self, level: str, event: str, **fields: Any) -> None:
        self.lines.append(f"{level} {event} {fields}")

    def client(self) -> PlatformClient:
        return PlatformClient(self.loop, self.net, self.listener.address)

    def ask(
        self, name: str, shard: int, kind: int = 0, client: PlatformClient | None = None, **more: Any
    ) -> Any:
        """A query of one part on its way, as a task. Its deadline is a minute: the class's own
        limit holds.
        """
        return self.loop.spawn(self._asked(name, shard, kind, client or self.client(), more), name)

    def _asked(
        self, name: str, shard: int, kind: int, client: PlatformClient, more: dict[str, Any]
    ) -> Coro[Any]:
        key = "5c0f6e1a2b3d4c59" if self.setup["classes"][kind]["idempotency"] == "idempotency_key" else ""
        return (
            yield from client.send_query(name, self.kinds[kind], [shard], timeout_ms=60_000, key=key, **more)
        )

    def request(self, name: str, shard: int, kind: int = 0) -> bytes:
        """A request's bytes."""
        body = json.dumps({"parts": [{"id": shard, "w": 1.0}], "expr": "c41e77d0"}).encode()
        return (
            f"POST /{self.kinds[kind]} HTTP/1.1\r\nHost: b\r\nReq-Id: {name}\r\nReq-Kind: "
            f"{self.kinds[kind]}\r\n"
            f"Req-Deadline: 60000m\r\nIdempotency-Key: k1\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def raw(self) -> socket.socket:
        """A client's bare socket, connected."""
        host, port = self.listener.address.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.setblocking(False)
        return sock

    def until(self, point: Callable[[], Any], what: str = "") -> Coro[None]:
        """Go on turning until the broker has reached a point."""
        for _ in range(TURNS_MOST):
            if point():
                return
            yield from sleep(self.loop, 200)
        raise AssertionError(f"never reached: {what or point}; {self.lines[-5:]}")

    def run(self, gen: Coro[Any]) -> Any:
        try:
            result = self.loop.run(self.loop.spawn(gen, "main"))
            assert not self.errors, self.errors
            return result
        finally:
            self.broker.kill()
            self.loop.shutdown()

    def stalls_until(self, at_us: int) -> None:
        """The loop's next turn is at that time (its clock's), or now where that is past."""
        self.clock.by_us += max(at_us - self.loop.now(), 0)

    def put(self, node: PlatformNode, how: str) -> None:
        """The list's word on a node."""
        if how == "restarted":
            node.booted_at_ms = int(time.time() * 1000)
            self.registry.publish(node.entry)
        elif how == "draining":
            self.registry.publish({**node.entry, "state": "draining"})
        elif how == "gone":
            self.registry.publish({**node.entry, "state": "removed"})
        else:
            self.registry.publish({**node.entry, "endpoint": how})

    def knows(self, node: PlatformNode, how: str) -> Callable[[], bool]:
        """Whether the broker has that word."""
        servers = self.broker.aggregator.endpoints
        if how == "restarted":
            return lambda: node.uid in servers and servers[node.uid].started_at_us is not None
        if how in ("draining", "gone"):
            return lambda: node.uid in servers and not servers[node.uid].live
        return lambda: self.broker.addresses[node.uid] == how

    def out(self, name: str) -> Callable[[], bool]:
        """Whether a query's part is with its link."""
        return lambda: any(
            key[0].startswith(f"{name}.") for link in self.broker.links.values() for key in link.in_flight
        )


def reset(sock: socket.socket) -> None:
    """Close a bare socket by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVES: dict[str, Callable[[socket.socket], None]] = {
    "close": lambda sock: sock.close(),
    "half-close": lambda sock: sock.shutdown(socket.SHUT_WR),
    "reset": reset,
}
