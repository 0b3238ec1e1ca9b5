"""Stand-ins of the platform for the cases of this review: nodes, discovery, clients, and a broker process.

They follow the operators' pages and behave soundly unless a case tells them otherwise. Standard library only.
Every address is on loopback, with a port that the kernel selects.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import shutil
import signal
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 110.0


class CaseError(Exception):
    """The case could not run: nothing is said about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def __call__(self, who: str, what: str, **fields: object) -> float:
        """Add a line; return its time."""
        now = self.now()
        details = "".join(f" {name}={value}" for name, value in fields.items())
        self.lines.append(f"{now:9.4f} {who:<10} {what}{details}")
        return now

    def save(self) -> None:
        """Write the record."""
        self.path.write_text("\n".join(self.lines) + "\n")


# Settings


def query_class(
    name: str,
    *,
    aim_ms: int,
    limit_ms: int,
    effect: str = "read_like",
    window_ms: int = 5000,
    worth: float = 1.0,
) -> dict[str, Any]:
    """Return a class of query as the settings state it."""
    return {
        "name": name,
        "objective-us": aim_ms * 1000,
        "hard-limit-us": limit_ms * 1000,
        "idempotency": effect,
        "dedup-window-us": window_ms * 1000,
        "group": "all",
        "late-value": 0.1,
        "worth": worth,
        "streaming": False,
    }


def settings(
    classes: list[dict[str, Any]],
    *,
    mode: str,
    cells: int,
    width: int,
    shards: int,
    need: list[float],
    floor: list[float] | None = None,
    fetch: list[int] | None = None,
    grace_ms: int,
    zones: tuple[str, ...] = ("a",),
    second_copies: bool = False,
    max_attempts: int = 3,
    brokers: int = 3,
    **ceilings: object,
) -> dict[str, Any]:
    """Return a settings object of a small deployment."""
    return {
        "az": 0,
        "zones": list(zones),
        "siblings": brokers,
        "my-number": 0,
        "tick-us": 5000,
        "registry-mode": mode,
        "value-by": "request",
        "classes": classes,
        "accounts": [],
        "over-share-worth": 0.1,
        "ceilings": {
            "cancelling": True,
            "conn-idle-us": 15_000_000,
            "connect-timeout-us": 250_000,
            "max-attempts": max_attempts,
            "max-retry-after-us": 500_000,
            "open-cap": 600,
            "probing": True,
            "retry-after": True,
            "second-copies": second_copies,
            "streams-per-conn": 100,
            **{name.replace("_", "-"): value for name, value in ceilings.items()},
        },
        "invariants": {
            "answer-slack-us": 20_000,
            "drain-grace-us": grace_ms * 1000,
            "fall-multiple": 2.5,
            "must-ask-in-us": 10_000_000,
            "start-capacity": 0.28,
            "tip-after-us": 1_500_000,
            "warm-within-us": 18_000_000,
        },
        "specifics": {
            "call-cost-us": 0,
            "class-fetch": fetch or [0] * len(classes),
            "class-need": need,
            "min-share": floor or need,
            "incomplete-worth": [0.9] * len(classes),
            "parts-a-call": 1,
            "places": cells,
            "shards": shards,
            "warm-keys": False,
            "width": width,
        },
        "report": {"fields": [], "via": "silent"},
        "clients": {"marks-retry": False},
        "service-type": "fanout",
        "weight-kind": "none",
    }


# Nodes


@dataclass
class Part:
    """A part as a node received it."""

    id: str
    shard: int
    fields: dict[str, str]
    text: bytes
    at: float


class NodeConnection:
    """A broker's connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def frame(self, letter: bytes, rest: bytes) -> None:
        """Send a frame."""
        if not self.writer.is_closing():
            self.writer.write(struct.pack(">I", 1 + len(rest)) + letter + rest)

    def reset(self) -> None:
        """Reset the connection."""
        transport = self.writer.transport
        transport.abort()


def value_of(shard: int, text: bytes, step: str = "") -> str:
    """Return the value that every node makes for a part."""
    return hashlib.sha256(f"{shard} {step} ".encode() + text).hexdigest()[:16]


class Node:
    """A node: it serves each part after ``work_s``, unless ``behave`` decides otherwise.

    ``behave`` gets the node, the connection and the part, and returns what to do: ``"serve"``, ``"refuse"``
    (503: turned away, never ran), ``"error"`` (500) or ``"hang"`` (nothing).
    """

    def __init__(self, record: Record, uid: str, group: int, zone: str = "a") -> None:
        self.record = record
        self.uid = uid
        self.group = group
        self.zone = zone
        self.state = "up"
        self.boot_ms = 0
        self.work_s = 0.02
        self.parts: list[Part] = []
        self.cancelled: list[str] = []
        self.connections: list[NodeConnection] = []
        self.behave: Callable[[Node, NodeConnection, Part], str] = lambda *_: "serve"
        self.address = ""
        self.quiet = False
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port, backlog=512)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def entry(self) -> dict[str, Any]:
        """Return the node's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": "m",
            "pod_group": self.group,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = NodeConnection(reader, writer)
        self.connections.append(connection)
        try:
            while True:
                (length,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(length)
                self._on_frame(connection, body[:1], body[1:])
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.remove(connection)
            writer.close()

    def _on_frame(self, connection: NodeConnection, letter: bytes, rest: bytes) -> None:
        if letter == b"I":
            if not self.quiet:
                connection.frame(b"I", b"200")
        elif letter == b"U":
            connection.frame(b"U", b"-")
        elif letter == b"K":
            self.cancelled.append(rest.decode())
            self.record(self.uid, "given up", id=rest.decode())
        elif letter == b"D":
            while rest:
                line, _, rest = rest.partition(b"\n")
                part_id, shard, fields, length = line.decode().split(" ")
                text, rest = rest[: int(length)], rest[int(length) :]
                named = dict(item.split("=", 1) for item in fields.split(","))
                self._on_part(connection, Part(part_id, int(shard), named, text, 0.0))
        else:
            self.record(self.uid, "unknown frame", letter=letter)

    def _on_part(self, connection: NodeConnection, part: Part) -> None:
        what = self.behave(self, connection, part)
        part.at = self.record(
            self.uid, "part", id=part.id, d=part.fields.get("d"), state=self.state, does=what
        )
        self.parts.append(part)
        if what == "refuse":
            self.end(connection, part, 503)
        elif what == "error":
            asyncio.get_running_loop().call_later(self.work_s, self.end, connection, part, 500)
        elif what == "serve":
            asyncio.get_running_loop().call_later(self.work_s, self.end, connection, part, 200)

    def end(self, connection: NodeConnection, part: Part, status: int) -> None:
        """Answer a part."""
        step = "fetch" if part.id.endswith(".fetch") else ""
        value = value_of(part.shard, part.text, step) if status == 200 else ""
        score = int(value_of(part.shard, part.text), 16) % 1_000_000
        self.record(self.uid, "answer", id=part.id, status=status)
        connection.frame(b"O", f"{part.id} {status} {score} -\n{value}".encode())

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.reset()


# Discovery


class Discovery:
    """The list of nodes over HTTP, with watches.

    ``gate`` is awaited before each answer and may return a status other than 200, with which the call is
    refused.
    """

    def __init__(self, record: Record, nodes: list[Node], name: str = "discovery") -> None:
        self.record = record
        self.name = name
        self.rev = 1
        self.entries = {node.uid: (1, node.entry()) for node in nodes}
        self.removed: dict[str, tuple[int, dict[str, Any]]] = {}
        self.changed = asyncio.Event()
        self.gate: Callable[[str], Awaitable[int]] | None = None
        self.calls = 0
        self.told: list[tuple[float, int, bool, list[dict[str, Any]]]] = []
        self.address = ""
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def listing(self) -> dict[str, Any]:
        """Return the complete list."""
        return {"rev": self.rev, "all": True, "targets": [entry for _, entry in self.entries.values()]}

    def publish(self, nodes: list[Node], *, remove: bool = False) -> float:
        """Publish the present entries of nodes as one change; return its time."""
        self.rev += 1
        for node in nodes:
            entry = node.entry()
            if remove:
                entry["state"] = "removed"
                self.entries.pop(node.uid, None)
                self.removed[node.uid] = (self.rev, entry)
            else:
                self.removed.pop(node.uid, None)
                self.entries[node.uid] = (self.rev, entry)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.record(
            self.name,
            "change",
            rev=self.rev,
            states=",".join(f"{n.uid}:{'removed' if remove else n.state}" for n in nodes),
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head.split(b" ")[1].decode(), writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.remove(writer)
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        self.record(self.name, "call", target=target)
        query = dict(parse_qsl(urlsplit(target).query))
        known = int(query.get("from", -1))
        until = self.record.now() + int(query.get("hold_ms", 0)) / 1000
        while known >= 0 and self.rev <= known and (left := until - self.record.now()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
        status = 200 if self.gate is None else await self.gate(target)
        if status != 200:
            self.record(self.name, "refused", status=status)
            writer.write(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 5\r\n\r\nbusy\n")
            return
        if known < 0:
            listing = self.listing()
        else:
            changes = [*self.entries.values(), *self.removed.values()]
            listing = {
                "rev": self.rev,
                "all": False,
                "targets": [entry for rev, entry in changes if rev > known],
            }
        body = json.dumps(listing).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        at = self.record(
            self.name,
            "told",
            rev=listing["rev"],
            all=listing["all"],
            states=",".join(f"{e['uid']}:{e['state']}" for e in listing["targets"]),
        )
        self.told.append((at, listing["rev"], listing["all"], listing["targets"]))

    def end_watches(self) -> None:
        """Reset all connections: the watches on them end."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.end_watches()


# The broker


class Broker:
    """A broker process, as the deploy file's ``run`` starts it."""

    def __init__(self, record: Record, folder: Path, name: str = "n1") -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.config: dict[str, Any] = {}
        self.log = folder / f"{name}.log"
        self.limits: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 512}

    @property
    def address(self) -> str:
        """The address to which clients connect."""
        return f"{HOST}:{self.port}"

    def write_config(self, discovery: str, setup: dict[str, Any], known: dict[str, Any]) -> Path:
        """Write the configuration file."""
        self.config = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery,
            "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
            "limits": self.limits,
            "known": known,
            "settings": setup,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        return path

    async def start(self, discovery: str, setup: dict[str, Any], known: dict[str, Any]) -> None:
        """Start the process."""
        path = self.write_config(discovery, setup, known)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = dict(
            os.environ,
            GW_CONFIG=str(path),
            GW_NAME=self.name,
            GW_LISTEN=self.address,
            GW_DISCOVERY=discovery,
            TMPDIR=str(self.folder),
        )
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(self.name, "started", pid=self.process.pid, address=self.address)

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until ``/-/ready`` has answered 200."""
        until = self.record.now() + limit_s
        while self.record.now() < until:
            if self.process is not None and self.process.returncode is not None:
                raise CaseError(f"the broker ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head.split(b"\r\n")[0]:
                    self.record(self.name, "ready")
                    return
            await asyncio.sleep(0.02)
        raise CaseError("the broker was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record(self.name, "signal", number=number.name)
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


def free_port() -> int:
    """Return a port that is free now."""
    import socket  # noqa: PLC0415

    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


# Clients


@dataclass
class Reply:
    """The end of a request: ``status`` 0 where the connection ended without a whole answer."""

    id: str
    sent_at: float
    wait_s: float
    at: float = 0.0
    status: int = 0
    body: dict[str, Any] = field(default_factory=dict)
    headers: str = ""


class Client:
    """A client: one request at a time over a connection that it keeps."""

    count = 0

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    async def ensure_connected(self) -> None:
        """Open a connection unless one is open that the broker has not ended."""
        await asyncio.sleep(0)
        if self.writer is None or self.writer.is_closing() or self.reader is None or self.reader.at_eof():
            self.close()
            await self.connect()

    def request(
        self, kind: str, shards: list[int], wait_ms: int, *, key: str = "", expr: str = ""
    ) -> tuple[str, bytes]:
        """Return the id and the bytes of a request."""
        Client.count += 1
        request_id = f"q{Client.count:05d}{os.urandom(4).hex()}"
        weight = 1 / len(shards)
        body = json.dumps(
            {"parts": [{"id": s, "w": weight} for s in shards], "expr": expr or os.urandom(4).hex()}
        )
        lines = [
            f"POST /{kind}?key={os.urandom(8).hex()} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {request_id}",
            f"Req-Kind: {kind}",
            f"Req-Deadline: {wait_ms}m",
            *([f"Idempotency-Key: {key}"] if key else []),
            f"Content-Length: {len(body)}",
        ]
        return request_id, ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    async def ask(
        self, kind: str, shards: list[int], wait_ms: int, *, key: str = "", patience_s: float = 3.0
    ) -> Reply:
        """Send a request and return its end; wait ``patience_s`` longer than the time of the request."""
        await self.ensure_connected()
        request_id, data = self.request(kind, shards, wait_ms, key=key)
        return await self.send(request_id, data, wait_ms, patience_s, kind)

    async def send(self, request_id: str, data: bytes, wait_ms: int, patience_s: float, kind: str) -> Reply:
        """Send the bytes of a request and return its end."""
        assert self.reader is not None
        assert self.writer is not None
        self.writer.write(data)
        reply = Reply(request_id, self.record("client", "sent", id=request_id, kind=kind), wait_ms / 1000)
        try:
            async with asyncio.timeout(wait_ms / 1000 + patience_s):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                reply.status = int(head.split(" ", 2)[1])
                reply.headers = head
                length = next(
                    int(line.split(":")[1])
                    for line in head.lower().split("\r\n")
                    if line.startswith("content-length:")
                )
                body = await self.reader.readexactly(length)
                if reply.status == 200:
                    reply.body = json.loads(body)
                if "connection: close" in head.lower():
                    self.close()
        except TimeoutError:
            reply.status = -1
            self.close()
        except (asyncio.IncompleteReadError, OSError):
            reply.status = 0
            self.close()
        reply.at = self.record(
            "client",
            "end",
            id=request_id,
            status=reply.status,
            after=f"{self.record.now() - reply.sent_at:.3f}",
        )
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None


# Running a case


class World:
    """The stand-ins and processes of one run of a case."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.nodes: list[Node] = []
        self.brokers: list[Broker] = []
        self.discoveries: list[Discovery] = []

    async def add_nodes(self, cells: int, per_cell: int, zones: tuple[str, ...] = ("a",)) -> None:
        """Start nodes, ``per_cell`` for each cell."""
        for number in range(cells * per_cell):
            node = Node(self.record, f"s-{number:02d}", number % cells, zones[number % len(zones)])
            await node.start()
            self.nodes.append(node)

    async def add_discovery(self, name: str = "discovery") -> Discovery:
        """Start a discovery with the present entries of the nodes."""
        discovery = Discovery(self.record, self.nodes, name)
        await discovery.start()
        self.discoveries.append(discovery)
        return discovery

    def add_broker(self, name: str = "n1") -> Broker:
        """Return a broker that is not started yet."""
        broker = Broker(self.record, self.temporary, name)
        self.brokers.append(broker)
        return broker

    async def close(self) -> None:
        """End everything that was started."""
        for broker in self.brokers:
            await broker.end()
            if broker.log.exists():
                self.record(broker.name, "its log follows")
                self.record.lines += ["    " + line for line in broker.log.read_text().splitlines()[-60:]]
        for discovery in self.discoveries:
            discovery.stop()
        for node in self.nodes:
            node.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)


Case = Callable[[World], Awaitable[list[str]]]


def main(file: str, case: Case) -> None:
    """Run a case, write its record, print what it found, and exit with its code.

    The case returns a line for each place where the rule was broken.
    """
    folder = Path(file).resolve().parent

    async def run() -> int:
        world = World(folder)
        task = asyncio.current_task()
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LONGEST_RUN_S):
                breaks = await case(world)
        except (Exception, asyncio.CancelledError) as problem:  # noqa: BLE001  # an error is no break of a rule
            world.record("case", "could not run", why=repr(problem))
            print(f"could not run: {problem!r}")
            return COULD_NOT_RUN
        finally:
            await world.close()
            world.record.save()
        for line in breaks:
            print(f"broken: {line}")
        print(f"{len(breaks)} break(s) of the rule, disruption {'on' if world.trouble else 'off'}")
        with world.record.path.open("a") as record:
            record.writelines(f"broken: {line}\n" for line in breaks)
        return BROKEN if breaks else HELD

    sys.exit(asyncio.run(run()))
