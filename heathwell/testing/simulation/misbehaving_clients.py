"""Misbehaving clients of a broker over HTTP/1.1: malformed, incomplete or invalid requests, and silence.

The broker must answer each one with an error or close its connection within a time limit. The clients count
how many times it did.
"""

from __future__ import annotations

import enum
import json
import random
from collections import Counter
from collections.abc import Iterator
from typing import Final

from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, sleep

RESPONSE_TIMEOUT_US: Final = 3_000_000
"""From the connect to the error or the close, by the platform's protocol."""
HUGE_BODY_TIMEOUT_US: Final = 6_000_000
"""The same for a client that has a body of ``HUGE_BODY_BYTES`` to send."""
HUGE_BODY_BYTES: Final = 60_000_000
HUGE_BODY_CHUNK_BYTES: Final = 65_536
HUGE_BODY: Final = "huge body"
STATUS_OFFSET: Final = len(b"HTTP/1.1 ")
STATUS_DIGITS: Final = 3
REQUEST_HEAD: Final = (
    b"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Kind: price-search\r\n"
    b"Req-Deadline: 400m\r\n"
)


class ClientOutcome(enum.StrEnum):
    """How a client's connection ended."""

    SERVED = "served"
    ERROR = "error"
    CLOSE = "close"
    NOTHING = "nothing"


def _body(parts: list[dict[str, object]], extra_headers: bytes = b"") -> bytes:
    """Return the end of a request's head, with the content length, and its body."""
    body = json.dumps({"parts": parts, "expr": "c41e77d0"}).encode()
    return extra_headers + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _unreadable_requests(head: bytes, valid_body: bytes, chunked_body: bytes) -> dict[str, list[bytes]]:
    """Return the requests that violate HTTP/1.1 or its limits."""
    huge_body_chunk = b"a" * HUGE_BODY_CHUNK_BYTES
    return {
        "noise": [b"\x00\x9f\x03\x17 what is this\r\n\r\n"],
        "endless head": [b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000],
        "two lengths": [head + chunked_body],
        "negative length": [head + b"Content-Length: -7\r\n\r\n"],
        "huge length": [head + b"Content-Length: 99999999999999\r\n\r\n"],
        HUGE_BODY: [
            head + b"Content-Length: %d\r\n\r\n" % HUGE_BODY_BYTES,
            *[huge_body_chunk] * (HUGE_BODY_BYTES // HUGE_BODY_CHUNK_BYTES),
        ],
        "wrong length": [head + b"Content-Length: 9000\r\n\r\n{}"],
        "no such class": [head.replace(b"Req-Kind: price-search", b"Req-Kind: gossip") + valid_body],
    }


def _invalid_requests(head: bytes, valid_body: bytes, request_id: bytes) -> dict[str, list[bytes]]:
    """Return the requests that are valid HTTP/1.1 with invalid fields, and those that are incomplete."""
    return {
        "no such shard": [head + _body([{"id": 99_999, "w": 1.0}])],
        "shard twice": [head + _body([{"id": 1, "w": 0.5}, {"id": 1, "w": 0.5}])],
        "weight out of range": [head + _body([{"id": 1, "w": 7.0}])],
        "weights short of one": [head + _body([{"id": 1, "w": 0.2}])],
        "deadline no number": [head.replace(b"400m", b"soon") + valid_body],
        "no id": [head.replace(b"Req-Id: " + request_id + b"\r\n", b"") + valid_body],
        "half a request": [head + b'Content-Length: 100\r\n\r\n{"par'],
        "silence": [],
    }


def malformed_requests(request_id: bytes) -> dict[str, list[bytes]]:
    """Return, for each kind of misbehaving client, the pieces of bytes that it sends in order."""
    head = REQUEST_HEAD % request_id
    valid_parts: list[dict[str, object]] = [{"id": 1, "w": 0.5}, {"id": 2, "w": 0.5}]
    valid_body = _body(valid_parts)
    chunked_body = _body(valid_parts, b"Transfer-Encoding: chunked\r\n")
    return {
        **_unreadable_requests(head, valid_body, chunked_body),
        **_invalid_requests(head, valid_body, request_id),
    }


class MisbehavingClients:
    """Misbehaving clients of one broker, drawn from a seed.

    ``outcomes`` counts the clients by kind and by how their connection ended.
    """

    def __init__(self, loop: Loop, net: Net, address: str, seed: int) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.random = random.Random(seed)
        self.outcomes: Counter[tuple[str, ClientOutcome]] = Counter()
        self._kinds = list(malformed_requests(b"x"))

    @property
    def answered_fraction(self) -> float:
        """The fraction of clients that got an error or a close in time."""
        answered = sum(
            count
            for (_, outcome), count in self.outcomes.items()
            if outcome in (ClientOutcome.ERROR, ClientOutcome.CLOSE)
        )
        return answered / max(1, self.outcomes.total())

    def run(self, count: int, interval_us: int) -> Coro[None]:
        """Start ``count`` clients at an interval, the first ones one of each kind, and wait for all."""
        tasks = []
        for number in range(count):
            kind = self._kinds[number] if number < len(self._kinds) else self.random.choice(self._kinds)
            client = self._client(kind, b"rude%d" % number)
            tasks.append(self.loop.spawn(client, f"misbehaving client {number}"))
            yield from sleep(self.loop, interval_us)
        for task in tasks:
            yield from task.join()

    def _client(self, kind: str, request_id: bytes) -> Coro[None]:
        """Run one client from its connect to the end of its connection, and count its outcome."""
        try:
            stream = yield from self.net.connect(self.address, RESPONSE_TIMEOUT_US)
        except ConnectError:
            self.outcomes[kind, ClientOutcome.CLOSE] += 1
            return
        timeout_us = HUGE_BODY_TIMEOUT_US if kind == HUGE_BODY else RESPONSE_TIMEOUT_US
        timer = self.loop.call_at(self.loop.now() + timeout_us, stream.abort)
        pieces = iter(malformed_requests(request_id)[kind])
        writer = self.loop.spawn(self._write(stream, pieces), "misbehaving client's writer")
        try:
            response = yield from self._read_until_closed(stream)
        finally:
            writer.cancel()
        in_time = timer.call is not None
        timer.cancel()
        self.outcomes[kind, self._classify(response, in_time=in_time)] += 1
        stream.close()

    @staticmethod
    def _classify(response: bytes, *, in_time: bool) -> ClientOutcome:
        status = response[STATUS_OFFSET : STATUS_OFFSET + STATUS_DIGITS]
        if status.startswith(b"2"):
            return ClientOutcome.SERVED
        if status.startswith((b"4", b"5")):
            return ClientOutcome.ERROR
        return ClientOutcome.CLOSE if in_time else ClientOutcome.NOTHING

    @staticmethod
    def _read_until_closed(stream: Stream) -> Coro[bytes]:
        """Return all bytes received until the connection is closed or reset."""
        received = bytearray()
        try:
            while data := (yield from stream.read()):
                received += data
        except StreamBrokenError:
            pass  # a reset counts as a close
        return bytes(received)

    @staticmethod
    def _write(stream: Stream, pieces: Iterator[bytes]) -> Coro[None]:
        try:
            for piece in pieces:
                stream.write(piece)
                yield from stream.drain()
        except StreamBrokenError:
            pass  # the reader counts the close
