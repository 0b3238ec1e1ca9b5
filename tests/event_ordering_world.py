"""A broker, its front and scripted peers in one loop over loopback sockets, with a forced order of events.

A peer waits for a state of the broker (``wait_until``) before it writes its next byte, and a
:class:`ConnectGate` holds back connects of the broker. Nothing sleeps for a fixed time, the kernel selects
the ports, and the tests check what nodes and clients received.
"""

from __future__ import annotations

import dataclasses
import json
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, Final

from heathwell.eventloop import ConnectError, Coro, Event, Loop, MonotonicClock, Stream, sleep, socket_loop
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import read
from heathwell.gateway.front import Front
from heathwell.testing.simulation.platform_config import REPLICA_GROUPS, encode_config, platform_settings
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

HEALTH_CHECK: Final = b"GET /-/healthy HTTP/1.1\r\nHost: b\r\n\r\n"
MAX_LOOP_TURNS: Final = 20_000  # limit of a wait for a state, which takes a few seconds
SETTINGS_VARIANTS: dict[str, dict[str, Any]] = {
    "poll mode": {},
    "poll mode, short grace, batched calls, hedges": {
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
    "push mode, non-idempotent, no cancellation, tenants": {
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


def settings_variant(name: str, **specifics: Any) -> dict[str, Any]:
    """Return the settings of a variant; keys that the variant does not set keep their default values."""
    settings: dict[str, Any] = platform_settings()
    for key, value in SETTINGS_VARIANTS[name].items():
        settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
    settings["specifics"].update(specifics)
    return settings


class AdvancedClock(MonotonicClock):
    """The machine's clock plus ``offset_us``, which a test increases to simulate a stall of the loop."""

    offset_us = 0

    def now(self) -> int:
        """Return the time in microseconds."""
        return super().now() + self.offset_us


class ConnectGate:
    """The broker's network, in which connects to held addresses wait.

    Each error in ``connect_errors`` fails one connect to its address.
    """

    def __init__(self, net: Any) -> None:
        self.net = net
        self.held_addresses: dict[str, Event] = {}
        self.connect_errors: dict[str, list[str]] = {}
        self.connect_attempts: list[str] = []
        self.small_send_buffer_addresses: set[str] = set()

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """Connect as the network does, once the address is no longer held."""
        self.connect_attempts.append(address)
        if self.connect_errors.get(address):
            raise ConnectError(self.connect_errors[address].pop(0))
        if address in self.held_addresses:
            yield from self.held_addresses[address].wait()
        stream = yield from self.net.connect(address, timeout_us)
        if address in self.small_send_buffer_addresses:
            stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return stream

    def hold(self, address: str) -> None:
        """Make connects to an address wait from now on."""
        self.held_addresses[address] = Event()

    def open(self, address: str) -> None:
        """Let the connects that wait for an address continue."""
        self.held_addresses.pop(address).set()


@dataclasses.dataclass(frozen=True)
class HeldPart:
    """A part that a node has received and leaves unanswered."""

    node: PlatformNode
    stream: Stream
    part: Any


class World:
    """One node per replica group, discovery and one broker over loopback sockets."""

    def __init__(
        self, name: str = "poll mode", *, width: int = 1, registry: bool = True, **changes: Any
    ) -> None:
        self.clock = AdvancedClock()
        self.loop, self.net, self.poller = socket_loop(clock=self.clock)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda task, error: self.errors.append((task, error))
        self.connect_gate = ConnectGate(self.net)
        self.nodes = [
            PlatformNode(self.loop, self.net, "127.0.0.1:0", f"s{n}", n, work_us=1)
            for n in range(REPLICA_GROUPS)
        ]
        self.registry = PlatformDiscovery(self.loop, self.net, "127.0.0.1:0", self.nodes)
        self.settings = settings_variant(name, width=width)
        config_fields = {
            "listen": "127.0.0.1:0",
            "discovery": self.registry.address if registry else "127.0.0.1:1",
            "settings": self.settings,
            "known": {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]},
            **changes,
        }
        self.config = read(encode_config(**config_fields))
        self.lines: list[str] = []
        self.broker = PlatformBroker(self.loop, self.connect_gate, self.config, log=self.log)
        self.front = Front(
            self.broker, self.config.client_sockets, self.config.max_kept_alive_clients, self.log
        )
        self.listener = self.net.listen("127.0.0.1:0", self.front.serve, "client")
        self.class_names = [entry["name"] for entry in self.settings["classes"]]

    def log(self, level: str, event: str, **fields: object) -> None:
        """Record a log line of the broker."""
        self.lines.append(f"{level} {event} {fields}")

    def client(self) -> PlatformClient:
        """Return a new client of the broker."""
        return PlatformClient(self.loop, self.net, self.listener.address)

    def start_query(
        self, name: str, shard: int, class_index: int = 0, client: PlatformClient | None = None, **more: Any
    ) -> Any:
        """Send a query of one part and return its task.

        The client waits for a minute, so that the timeout of the query class applies.
        """
        generator = self._send_query(name, shard, class_index, client or self.client(), more)
        return self.loop.spawn(generator, name)

    def _send_query(
        self, name: str, shard: int, class_index: int, client: PlatformClient, more: dict[str, Any]
    ) -> Coro[Any]:
        entry = self.settings["classes"][class_index]
        key = "5c0f6e1a2b3d4c59" if entry["idempotency"] == "idempotency_key" else ""
        return (
            yield from client.send_query(name, entry["name"], [shard], timeout_ms=60_000, key=key, **more)
        )

    def request_bytes(self, name: str, shard: int, class_index: int = 0) -> bytes:
        """Return the bytes of a request."""
        body = json.dumps({"parts": [{"id": shard, "w": 1.0}], "expr": "c41e77d0"}).encode()
        return (
            f"POST /{self.class_names[class_index]} HTTP/1.1\r\nHost: b\r\nReq-Id: {name}\r\nReq-Kind: "
            f"{self.class_names[class_index]}\r\n"
            f"Req-Deadline: 60000m\r\nIdempotency-Key: k1\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def send_request(self, name: str, shard: int, class_index: int = 0) -> socket.socket:
        """Send a request over a new connection and return its socket."""
        sock = self.open_client_socket()
        sock.send(self.request_bytes(name, shard, class_index))
        return sock

    def hold_parts(self) -> list[HeldPart]:
        """Make all nodes leave received parts unanswered; return the list to which these are added."""
        held: list[HeldPart] = []
        for node in self.nodes:
            node.responder = lambda node, stream, part: held.append(HeldPart(node, stream, part))
        return held

    def answer_parts(self) -> None:
        """Make all nodes answer the parts that they receive from now on."""
        for node in self.nodes:
            node.responder = None

    def open_client_socket(self, receive_buffer_bytes: int | None = None) -> socket.socket:
        """Return a connected, non-blocking socket of a client, with the kernel's usual buffer by default."""
        host, port = self.listener.address.split(":")
        sock = socket.socket()
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.connect((host, int(port)))
        sock.settimeout(0)
        return sock

    def wait_until(self, condition: Callable[[], Any], what: str = "") -> Coro[None]:
        """Run the loop until ``condition`` is true; raise AssertionError after ``MAX_LOOP_TURNS`` checks."""
        for _ in range(MAX_LOOP_TURNS):
            if condition():
                return
            yield from sleep(self.loop, 200)
        raise AssertionError(f"state not reached: {what or condition}; last log lines: {self.lines[-5:]}")

    def run(self, generator: Coro[Any]) -> Any:
        """Run a coroutine to its end and return its result; stop the broker and the loop afterwards."""
        try:
            result = self.loop.run(self.loop.spawn(generator, "main"))
            assert not self.errors, self.errors
            return result
        finally:
            self.broker.kill()
            self.loop.shutdown()

    def stall_until(self, at_us: int) -> None:
        """Advance the loop's clock to ``at_us``, unless that time has passed."""
        self.clock.offset_us += max(at_us - self.loop.now(), 0)

    def publish_change(self, node: PlatformNode, change: str) -> None:
        """Publish a change of a node in discovery: "restarted", "draining", "gone" or a new address."""
        if change == "restarted":
            node.booted_at_ms = int(time.time() * 1000)
            self.registry.publish(node.entry)
        elif change == "draining":
            self.registry.publish({**node.entry, "state": "draining"})
        elif change == "gone":
            self.registry.publish({**node.entry, "state": "removed"})
        else:
            self.registry.publish({**node.entry, "endpoint": change})

    def has_change(self, node: PlatformNode, change: str) -> Callable[[], bool]:
        """Return a condition: the broker has applied that change of the node."""
        endpoints = self.broker.aggregator.endpoints
        if change == "restarted":
            return lambda: node.uid in endpoints and endpoints[node.uid].started_at_us is not None
        if change in ("draining", "gone"):
            return lambda: node.uid in endpoints and not endpoints[node.uid].live
        return lambda: self.broker.addresses[node.uid] == change

    def part_in_flight(self, name: str) -> Callable[[], bool]:
        """Return a condition: a part of the query is in flight at a link."""
        return lambda: any(
            key[0].startswith(f"{name}.") for link in self.broker.links.values() for key in link.in_flight
        )


def read_until(loop: Loop, sock: socket.socket, is_complete: Callable[[bytes], bool]) -> Coro[bytes]:
    """Return what a client reads until it is complete, or up to a close or reset, which is marked."""
    data = b""
    while not is_complete(data):
        try:
            more = sock.recv(65_536)
        except BlockingIOError:
            yield from sleep(loop, 200)
            continue
        except ConnectionResetError:
            return data + b"<reset>"
        if not more:
            return data + b"<closed>"
        data += more
    return data


def reset(sock: socket.socket) -> None:
    """Close a socket with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


DISCONNECTS: dict[str, Callable[[socket.socket], None]] = {
    "close": lambda sock: sock.close(),
    "half-close": lambda sock: sock.shutdown(socket.SHUT_WR),
    "reset": reset,
}
