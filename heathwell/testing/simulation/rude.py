"""Clients that can't be read, don't finish, say nothing or ask for what there isn't, beside usual ones: each
is owed an error or a close in its time, and the share that got one is counted at the client.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Iterator

from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, sleep

OWED_US = 3_000_000  # from the connect, by the platform's page
OWED_LONG_US = 6_000_000  # of one that has 60 MB to send
HUGE = 60_000_000
HEAD = (
    b"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Kind: price-search\r\n"
    b"Req-Deadline: 400m\r\n"
)


def _body(parts: list[dict[str, object]], more: bytes = b"") -> bytes:
    body = json.dumps({"parts": parts, "expr": "c41e77d0"}).encode()
    return more + b"Content-Length: %d\r\n\r\n" % len(body) + body


def bad_requests(name: bytes) -> dict[str, list[bytes]]:
    """What each kind of bad client sends, piece by piece; one that sends nothing says nothing."""
    head = HEAD % name
    good: list[dict[str, object]] = [{"id": 1, "w": 0.5}, {"id": 2, "w": 0.5}]
    return {
        "noise": [b"\x00\x9f\x03\x17 what is this\r\n\r\n"],
        "endless head": [b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000],
        "two lengths": [head + _body(good, b"Transfer-Encoding: chunked\r\n")],
        "negative length": [head + b"Content-Length: -7\r\n\r\n"],
        "huge length": [head + b"Content-Length: 99999999999999\r\n\r\n"],
        "huge body": [head + b"Content-Length: %d\r\n\r\n" % HUGE, *[b"a" * 65_536] * (HUGE // 65_536)],
        "wrong length": [head + b"Content-Length: 9000\r\n\r\n{}"],
        "no such class": [head.replace(b"Req-Kind: price-search", b"Req-Kind: gossip") + _body(good)],
        "no such shard": [head + _body([{"id": 99_999, "w": 1.0}])],
        "shard twice": [head + _body([{"id": 1, "w": 0.5}, {"id": 1, "w": 0.5}])],
        "weight out of range": [head + _body([{"id": 1, "w": 7.0}])],
        "weights short of one": [head + _body([{"id": 1, "w": 0.2}])],
        "deadline no number": [head.replace(b"400m", b"soon") + _body(good)],
        "no id": [head.replace(b"Req-Id: " + name + b"\r\n", b"") + _body(good)],
        "half a request": [head + b'Content-Length: 100\r\n\r\n{"par'],
        "silence": [],
    }


class RudeClients:
    """Bad clients of one broker, drawn from a seed. ``outcome`` counts (kind, what it got)."""

    def __init__(self, loop: Loop, net: Net, address: str, seed: int) -> None:
        self.loop, self.net, self.address = loop, net, address
        self.draw = random.Random(seed)
        self.outcome: Counter[tuple[str, str]] = Counter()
        self._kinds = list(bad_requests(b"x"))

    @property
    def owed(self) -> float:
        """The share that got an error or a close in time."""
        met = sum(n for (_, what), n in self.outcome.items() if what in ("error", "close"))
        return met / max(1, self.outcome.total())

    def run(self, count: int, every_us: int) -> Coro[None]:
        """So many clients, one after another; ends once the last has had its time."""
        tasks = []
        for number in range(count):
            kind = self._kinds[number] if number < len(self._kinds) else self.draw.choice(self._kinds)
            tasks.append(self.loop.spawn(self._client(kind, b"rude%d" % number), f"rude {number}"))
            yield from sleep(self.loop, every_us)
        for task in tasks:
            yield from task.join()

    def _client(self, kind: str, name: bytes) -> Coro[None]:
        try:
            stream = yield from self.net.connect(self.address, OWED_US)
        except ConnectError:
            self.outcome[kind, "close"] += 1
            return
        owed = OWED_LONG_US if kind == "huge body" else OWED_US
        late = self.loop.call_at(self.loop.now() + owed, self._too_late, stream)
        writer = self.loop.spawn(self._writes(stream, iter(bad_requests(name)[kind])), "rude writer")
        got = bytearray()
        try:
            while data := (yield from stream.read()):
                got += data
        except StreamBrokenError:
            pass  # a reset is a close
        finally:
            writer.cancel()
        in_time = late.call is not None
        late.cancel()
        status = bytes(got[9:12])
        if status.startswith(b"2"):
            self.outcome[kind, "served"] += 1
        elif status[:1] in (b"4", b"5"):
            self.outcome[kind, "error"] += 1
        else:
            self.outcome[kind, "close" if in_time else "nothing"] += 1
        stream.close()

    @staticmethod
    def _too_late(stream: Stream) -> None:
        stream.abort()

    @staticmethod
    def _writes(stream: Stream, pieces: Iterator[bytes]) -> Coro[None]:
        try:
            for piece in pieces:
                stream.write(piece)
                yield from stream.drain()
        except StreamBrokenError:
            pass
