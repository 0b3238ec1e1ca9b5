"""Requests on resting connections while idle clients fill the broker's descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from settings import deployment, query_class  # noqa: E402
from standins import (  # noqa: E402
    HOST,
    Broker,
    CannotRunError,
    Discovery,
    Node,
    Record,
    answers_after,
    request_bytes,
    run_case,
)

CELLS = 6
SHARDS = 12
WORK_S = 0.03
DEADLINE_MS = 2000
SOCKETS = 256
NODE_SHARE = 4  # the broker keeps a quarter of its descriptors for nodes
RESERVED = 24  # and these for itself; clients get the rest
CLIENTS = SOCKETS - SOCKETS // NODE_SHARE - RESERVED
USUAL = 20  # usual clients; together they may hold a third of the descriptors
BURST = 24  # idle clients that connect as the usual ones ask again
ROUNDS = 5
GRACE_S = 0.5  # after its time an answer still counts for so long
SETTLE_S = 2.6  # the broker ends silent connections after 2.1 s
TCP_CLOSE_WAIT = 8  # the peer has ended the connection in order, and no reset has come


class Usual:
    """A usual client: one connection, one request at a time."""

    def __init__(self, port: int, record: Record) -> None:
        self.record = record
        self.sock = socket.create_connection((HOST, port), timeout=2)
        self.sock.settimeout(0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def is_resting(self) -> bool:
        """Whether the connection is open and the broker has sent nothing."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, request_id: str, shard: int) -> bool:
        """Send a whole request if the connection is open; return whether it was sent."""
        if not self.is_resting():
            return False
        data = request_bytes(request_id, "price-search", [shard], DEADLINE_MS, text="c41e77d0")
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    async def answer(self) -> str:
        """Wait for the answer: its status line, ``end`` for an end in order, ``reset``, or ``nothing``."""
        loop = asyncio.get_running_loop()
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                received = await asyncio.wait_for(
                    loop.sock_recv(self.sock, 4096), DEADLINE_MS / 1000 + GRACE_S
                )
                if not received:
                    await asyncio.sleep(0.2)  # a reset would follow at once
                    return "end" if self.state() == TCP_CLOSE_WAIT else "reset"
                data += received
        except TimeoutError:
            return "nothing"
        except OSError:
            return "reset"
        return data.split(b"\r\n", 1)[0].decode()

    def state(self) -> int:
        """Return the state of the connection, by the kernel."""
        return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def connect_silently(port: int, count: int) -> list[socket.socket]:
    """Open connections that say nothing."""
    opened = []
    for _ in range(count):
        sock = socket.socket()
        sock.settimeout(0)
        with contextlib.suppress(BlockingIOError):
            sock.connect((HOST, port))
        opened.append(sock)
    return opened


async def play(record: Record, trouble: bool) -> list[str]:  # noqa: FBT001  # a switch of the run
    """Let usual clients ask, rest and ask again, and return the requests that were lost."""
    nodes = [Node(f"s{cell}", cell, record, answers_after(WORK_S)) for cell in range(CELLS)]
    for node in nodes:
        await node.start()
    discovery = Discovery("discovery", nodes, record)
    await discovery.start()
    settings = deployment(
        [query_class("price-search", 1000, DEADLINE_MS)],
        cells=CELLS,
        shards=SHARDS,
        second_copies=False,
        max_attempts=4,
    )
    broker = Broker(record, settings, sockets=SOCKETS)
    broker.write_config(discovery.address, nodes)
    broken: list[str] = []
    try:
        await broker.start(discovery.address)
        port = int(broker.listen.rpartition(":")[2])
        for number in range(ROUNDS):
            broken += await play_round(record, port, number, crowded=trouble)
            await asyncio.sleep(SETTLE_S)
        if not broker.running:
            raise CannotRunError("the broker has ended: " + broker.log())
        return broken
    finally:
        await broker.stop()


async def play_round(record: Record, port: int, number: int, *, crowded: bool) -> list[str]:
    """Play one round on new connections; return the requests that were read and never answered."""
    usual = [Usual(port, record) for _ in range(USUAL)]
    silent: list[socket.socket] = []
    try:
        for index, client in enumerate(usual):
            request_id = f"r{number}-first-{index}"
            if not client.send(request_id, index % SHARDS):
                raise CannotRunError(f"{request_id} could not be sent")
            status = await client.answer()
            record("usual client", id=request_id, gets=status)
            if not status.startswith("HTTP/1.1 200"):
                raise CannotRunError(f"{request_id}: {status}")
        if crowded:
            silent += connect_silently(port, CLIENTS - USUAL)
            record("idle clients have connected", count=len(silent))
        await asyncio.sleep(0.5)
        if crowded:
            silent += connect_silently(port, BURST)
        ids = [f"r{number}-second-{index}" for index in range(USUAL)]
        sent = [client.send(ids[index], index % SHARDS) for index, client in enumerate(usual)]
        record("usual clients have asked again", sent=sum(sent), closed_before=USUAL - sum(sent))
        results = await asyncio.gather(*(client.answer() for i, client in enumerate(usual) if sent[i]))
        asked = [request_id for request_id, is_sent in zip(ids, sent, strict=True) if is_sent]
        for request_id, status in zip(asked, results, strict=True):
            record("usual client", id=request_id, gets=status)
        return [
            f"{request_id}: read, and its connection closed with no answer"
            if status == "end"
            else f"{request_id}: no answer in time"
            for request_id, status in zip(asked, results, strict=True)
            if status in ("end", "nothing")
        ]
    finally:
        for client in usual:
            client.close()
        for sock in silent:
            sock.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
