"""Stand-ins for the platform of one broker: nodes, discovery and clients, by the platform's protocol.

Standard library only, and nothing of the project: the broker is a process of its own, started by the command
``run`` of the deploy file. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
FRAME_HEAD = struct.Struct(">I")
READY_SECONDS = 20.0
STOP_SECONDS = 6.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not be run; the text says why."""


class Record:
    """The record of a run: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began

    def __call__(self, what: str, **values: object) -> None:
        """Write one line."""
        details = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{self.now:9.4f} {what} {details}".rstrip() + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """Return a free TCP port of the loopback address."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def value_of(shard: int, text: bytes, *, fetched: bool = False) -> str:
    """Return the value of a shard for a query's text; it is the same at each replica."""
    return hashlib.sha256(b"%d %d " % (shard, fetched) + text).hexdigest()[:16]


@dataclass(frozen=True)
class PartCall:
    """One part as a node received it; ``first_byte`` and ``whole`` are seconds of the record's clock."""

    id: str
    shard: int
    fields: dict[str, str]
    text: bytes
    whole: float


class NodeConnection:
    """One connection of the broker to a node."""

    def __init__(self, node: Node, writer: asyncio.StreamWriter) -> None:
        self.node = node
        self.writer = writer

    def answer(self, part: PartCall, status: int = 200) -> None:
        """Answer a part, with its value if the status is 200."""
        fetched = part.id.endswith(".fetch")
        data = value_of(part.shard, part.text, fetched=fetched).encode() if status == 200 else b""
        body = b"O" + f"{part.id} {status} {part.shard} inflight=1,util=0.5\n".encode() + data
        if not self.writer.is_closing():
            self.writer.write(FRAME_HEAD.pack(len(body)) + body)


OnPart = Callable[[NodeConnection, PartCall], None]


class Node:
    """One node: it passes each part to ``on_part``, which has to answer it or not."""

    def __init__(self, uid: str, cell: int, record: Record, on_part: OnPart, zone: str = "a") -> None:
        self.uid = uid
        self.cell = cell
        self.record = record
        self.on_part = on_part
        self.zone = zone
        self.state = "up"
        self.parts: list[PartCall] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    @property
    def entry(self) -> dict[str, object]:
        """The node's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": "std-2c",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = NodeConnection(self, writer)
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                (length,) = FRAME_HEAD.unpack(await reader.readexactly(FRAME_HEAD.size))
                self._on_frame(connection, await reader.readexactly(length))
        writer.close()

    def _on_frame(self, connection: NodeConnection, frame: bytes) -> None:
        letter, body = frame[:1], frame[1:]
        if letter == b"I":
            connection.writer.write(FRAME_HEAD.pack(4) + b"I200")
        elif letter == b"K":
            self.record("node gets K", node=self.uid, part=body.decode())
        elif letter == b"D":
            while body:
                line, _, rest = body.partition(b"\n")
                part_id, shard, fields, length = line.decode().split(" ")
                text, body = rest[: int(length)], rest[int(length) :]
                named = dict(item.split("=", 1) for item in fields.split(","))
                part = PartCall(part_id, int(shard), named, text, self.record.now)
                self.parts.append(part)
                self.record("node gets part", node=self.uid, part=part_id, shard=shard, list=fields)
                self.on_part(connection, part)


def answers_after(seconds: float) -> OnPart:
    """Return what a sound node does: it answers each part after so many seconds of work."""

    def on_part(connection: NodeConnection, part: PartCall) -> None:
        """Answer once the work is done."""
        asyncio.get_running_loop().call_later(seconds, connection.answer, part)

    return on_part


class Discovery:
    """Discovery over HTTP: the whole list, or a watch from a version; each answer takes ``work_s``."""

    def __init__(self, name: str, nodes: list[Node], record: Record, work_s: float = 0.0) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.rev = 1
        self.address = ""
        self._entries = {node.uid: (1, dict(node.entry)) for node in nodes}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def close_listener(self) -> None:
        """Accept no new connection; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """Close the open connections."""
        for writer in list(self._writers):
            writer.close()

    def publish(self, node: Node) -> None:
        """Publish the node's entry as a change of the list."""
        self.rev += 1
        self._entries[node.uid] = (self.rev, dict(node.entry))
        self.record("discovery has change", at=self.name, rev=self.rev, node=node.uid, state=node.state)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ", 2)[1]
                self.record("discovery called", at=self.name, target=target)
                body = await self._answer(target)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % len(body)
                    + body
                )
                await writer.drain()
                self.record("discovery answered", at=self.name, target=target, rev=self.rev)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError) as problem:
            self.record("discovery call ended", at=self.name, why=type(problem).__name__)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> bytes:
        query = dict(item.split("=", 1) for item in target.partition("?")[2].split("&") if item)
        known = int(query.get("from", -1))
        until = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
        while known >= self.rev and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        if self.work_s:
            await asyncio.sleep(self.work_s)
        entries = [
            entry
            for rev, entry in self._entries.values()
            if rev > known and (known >= 0 or entry["state"] != "removed")
        ]
        return json.dumps({"rev": self.rev, "all": known < 0, "targets": entries}).encode()


@dataclass
class Answer:
    """A broker's answer: the status (0: none came), the headers and the decoded body."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: dict[str, object] = field(default_factory=dict)


def request_bytes(
    request_id: str, kind: str, shards: list[int], deadline_ms: int, *, text: str, key: str = ""
) -> bytes:
    """Return the bytes of one request, by the platform's protocol."""
    body = json.dumps(
        {"parts": [{"id": shard, "w": 1 / len(shards), "hint": 80_000} for shard in shards], "expr": text}
    ).encode()
    lines = [
        f"POST /{kind} HTTP/1.1",
        "Host: backend.local",
        f"Req-Id: {request_id}",
        f"Req-Kind: {kind}",
        f"Req-Deadline: {deadline_ms}m",
        f"Content-Length: {len(body)}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raise an error of the connection if it ends before the answer is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): text.strip() for name, _, text in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    decoded = json.loads(body) if headers.get("content-type") == "application/json" else {}
    return Answer(int(first.split(" ")[1]), headers, decoded)


class Client:
    """A client: one connection, one request at a time."""

    def __init__(self, address: str, record: Record) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(
        self, request_id: str, kind: str, shards: list[int], deadline_ms: int, *, text: str, key: str = ""
    ) -> Answer:
        """Send a request and return its answer, status 0 if the connection ended without a whole one."""
        try:
            if self.writer is None or self.reader is None:
                self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.record("client sends", id=request_id, kind=kind, shards=shards, key=key or "-")
            self.writer.write(request_bytes(request_id, kind, shards, deadline_ms, text=text, key=key))
            answer = await asyncio.wait_for(read_answer(self.reader), deadline_ms / 1000 + 2)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as problem:
            self.record("client gets no answer", id=request_id, why=repr(problem))
            self.close()
            return Answer(0)
        self.record(
            "client gets", id=request_id, status=answer.status, after=answer.headers.get("retry-after", "-")
        )
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Broker:
    """The broker as the platform starts it: ``run`` of the deploy file, from the repository's root."""

    def __init__(self, record: Record, settings: dict[str, object], sockets: int = 256) -> None:
        self.record = record
        self.listen = f"{HOST}:{free_port()}"
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.folder.name) / "config.json"
        self._settings = settings
        self._sockets = sockets
        self._process: asyncio.subprocess.Process | None = None
        self.ended_early = False

    def write_config(self, discovery: str, known: list[Node], rev: int = 1) -> None:
        """Replace the configuration file."""
        config = {
            "name": "n1",
            "listen": self.listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self._sockets},
            "known": {"rev": rev, "all": True, "targets": [node.entry for node in known]},
            "settings": self._settings,
        }
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(config), encoding="utf-8")
        fresh.replace(self.path)

    async def start(self, discovery: str) -> None:
        """Start the process and wait until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": self.folder.name,
            "PYTHONDONTWRITEBYTECODE": "1",
            "GW_CONFIG": str(self.path),
            "GW_NAME": "n1",
            "GW_LISTEN": self.listen,
            "GW_DISCOVERY": discovery,
        }
        log = (Path(self.folder.name) / "log").open("wb")
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record("broker started", run=repr(deploy["run"]))
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until and self._process.returncode is None:
            if await self._is_ready():
                self.record("broker ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the broker did not become ready: " + self.log())

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.listen.split(":"))
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    def log(self) -> str:
        """Return what the broker has written."""
        return (Path(self.folder.name) / "log").read_text(encoding="utf-8", errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that ``run`` started."""
        if self._process is not None and self._process.returncode is None:
            self.record("signal to broker", signal=number.name)
            self._process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def stop(self) -> None:
        """End the process, and put its log into the record."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self._process.wait(), STOP_SECONDS)
            except TimeoutError:
                self._process.kill()
                await self._process.wait()
        with contextlib.suppress(OSError):
            for line in self.log().splitlines():
                self.record("broker log:", line=line)
        self.folder.cleanup()


def run_case(folder: Path, play: Callable[[Record, bool], object], limit_s: float = 110.0) -> int:
    """Run a case and return its exit code; ``play`` is a coroutine that returns what broke the rule."""
    try:
        record = Record(folder)
    except OSError as problem:
        print(f"could not run: {problem!r}")
        return NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the broker is ended, too
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("run begins", trouble=int(trouble))
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), limit_s))  # type: ignore[arg-type]
    except (Exception, KeyboardInterrupt) as problem:  # noqa: BLE001  # whatever it is, the rule was not judged
        record("case could not run", why=repr(problem))
        print(f"could not run: {problem!r}")
        return NOT_RUN
    else:
        for line in broken:
            record("rule broken:", seen=line)
        record("run ends", broken=len(broken))
        print(f"{len(broken)} breaks" + "".join(f"\n  {line}" for line in broken[:5]))
        return BROKEN if broken else HELD
    finally:
        record.close()
