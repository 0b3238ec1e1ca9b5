"""A broker process with little memory under hundreds of bad clients: it stays within its limit and serves."""

from __future__ import annotations

import json
import resource
from itertools import count
from pathlib import Path
from typing import Final

import pytest

from heathwell.eventloop import ConnectError, StreamBrokenError, sleep
from heathwell.testing.simulation.platform_config import SHARDS, platform_settings
from heathwell.testing.simulation.platform_fleet import PlatformFleet

MEMORY_MB: Final = 32  # the least that the platform names
SOCKETS: Final = 1_024
BAD_CLIENTS: Final = 330  # with the usual ones, a third of the descriptors
USUAL_CLIENTS: Final = 8
SECOND_US: Final = 1_000_000
TROUBLE_US: Final = 3 * SECOND_US
QUERY_TIMEOUT_US: Final = 2 * SECOND_US
GRACE_US: Final = SECOND_US // 2  # an answer that is later than this after its time counts as lost
BAD_CLIENT_TIMEOUT_US: Final = 3 * SECOND_US  # within which bad clients are owed an error or a close
SAMPLE_INTERVAL_US: Final = 5_000
BODY_BYTES: Final = 65_536

_numbers = count()


def head(more):
    """Return the beginning of a request with a new id; ``more`` are the other header lines."""
    return (
        b"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: bad%d\r\nReq-Kind: price-search\r\n"
        b"Req-Deadline: 1600m\r\n%s\r\n" % (next(_numbers), more)
    )


def body_of(text, parts=3):
    """Return the body of a valid request of this number of parts."""
    weight = round(1 / parts, 4)
    body = {"parts": [{"id": shard, "w": weight} for shard in range(parts)], "expr": text}
    return json.dumps(body).encode()


def whole(body):
    """Return a valid request with this body."""
    return head(b"Content-Length: %d\r\n" % len(body)) + body


SHORT_BODY: Final = body_of("a")
WIDE_BODY: Final = body_of("a", SHARDS)
LONG_BODY: Final = body_of("a" * 32_000)


def length_and_fields(field_count):
    """Return a Content-Length of the longest body, and this number of short fields."""
    fields = b"".join(b"%x:\r\n" % number for number in range(field_count))
    return b"Content-Length: %d\r\n" % BODY_BYTES + fields


PATTERNS = {
    "half bodies": lambda: [head(length_and_fields(0)) + b"a" * 65_000],
    "bodies that are written slowly": lambda: [head(length_and_fields(0))] + [b"a" * 3_000] * 20,
    "heads of 2,000 fields": lambda: [head(length_and_fields(2_000))],
    "heads of 90 fields, half bodies": lambda: [head(length_and_fields(90)) + b"a" * 30_000],
    "chunks of one byte": lambda: [head(b"Transfer-Encoding: chunked\r\n") + b"1\r\na\r\n" * 20_000],
    "long texts": lambda: (whole(LONG_BODY) for _ in range(5)),
    "pipelined requests": lambda: (b"".join(whole(SHORT_BODY) for _ in range(50)) for _ in range(10)),
    "pipelined requests of all shards": lambda: (
        b"".join(whole(WIDE_BODY) for _ in range(20)) for _ in range(20)
    ),
}


class Trial:
    """Usual clients of a broker process, and bad clients that come after a while."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.loop = fleet.loop
        self.statm_path = Path(f"/proc/{fleet.process.pid}/statm")
        self.resident_bytes = []
        self.usual_ends = []  # status and time to it (us) of each request of a usual client
        self.own_delay_us = 0  # longest time for which this process did not look at its clients
        self.bad_ends = []  # first bytes, and time to them or to the close (us), of each bad client
        self.ended = False

    def run(self, pieces_of, bad_client_count):
        """Run the trial and return when all clients have ended."""
        usual = [self.loop.spawn(self._usual(number), "usual") for number in range(USUAL_CLIENTS)]
        sampler = self.loop.spawn(self._sample(), "samples")
        yield from sleep(self.loop, SECOND_US // 2)
        until_us = self.loop.now() + TROUBLE_US
        bad = [self.loop.spawn(self._bad(pieces_of()), "bad") for _ in range(bad_client_count)]
        for task in bad:
            yield from task.join()
        yield from sleep(self.loop, until_us - self.loop.now())
        self.ended = True
        for task in [*usual, sampler]:
            yield from task.join()

    def _sample(self):
        page_bytes = resource.getpagesize()
        while not self.ended:
            self.resident_bytes.append(int(self.statm_path.read_text().split()[1]) * page_bytes)
            began_us = self.loop.now()
            yield from sleep(self.loop, SAMPLE_INTERVAL_US)
            delay_us = self.loop.now() - began_us - SAMPLE_INTERVAL_US
            self.own_delay_us = max(self.own_delay_us, delay_us)

    def _usual(self, number):
        client = self.fleet.client()
        for request in count():
            if self.ended:
                return
            began_us = self.loop.now()
            try:
                client, response = yield from self._ask(client, f"u{number}-{request}")
                self.usual_ends.append((response.status, self.loop.now() - began_us))
            except (ConnectError, StreamBrokenError) as problem:
                self.usual_ends.append((repr(problem), self.loop.now() - began_us))
                client = self.fleet.client()
            yield from sleep(self.loop, 100_000)

    def _ask(self, client, request_id):
        """Send a query; return the client that got the response, which is a new one after a crossing.

        A broker may close a resting connection. By the platform's protocol a client whose request crosses
        that close sends it once more over a new connection, so that only a second failure counts.
        """
        is_resting = client.stream is not None
        for attempt in (client, self.fleet.client()):
            try:
                response = yield from attempt.send_query(
                    request_id, "price-search", [0, 1, 2, 3], timeout_ms=2_000
                )
            except StreamBrokenError:
                if not is_resting:
                    raise
                is_resting = False
            else:
                return attempt, response
        raise AssertionError("unreachable")

    def _bad(self, pieces):
        began_us = self.loop.now()
        stream = yield from self.fleet.net.connect(self.fleet.address, BAD_CLIENT_TIMEOUT_US)
        writer = self.loop.spawn(self._write(stream, pieces), "writes")
        timer = self.loop.call_at(began_us + BAD_CLIENT_TIMEOUT_US + SECOND_US, stream.abort)
        try:
            received = yield from stream.read()
        except StreamBrokenError:
            received = b""
        self.bad_ends.append((received[:12], self.loop.now() - began_us))
        timer.cancel()
        writer.cancel()
        stream.abort()

    def _write(self, stream, pieces):
        for piece in pieces:
            stream.try_write(piece)
            try:
                yield from stream.drain()
            except StreamBrokenError:
                return
            yield from sleep(self.loop, 50_000)


@pytest.mark.parametrize("pattern", PATTERNS)
def test_a_process_of_32_mb_serves_its_clients_while_hundreds_of_bad_ones_send_at_once(pattern, tmp_path):
    """Guards against a sum over all clients that takes the process over its limit, or holds up the others."""
    settings = platform_settings()
    settings["classes"][0]["objective-us"] = SECOND_US
    settings["classes"][0]["hard-limit-us"] = QUERY_TIMEOUT_US
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    fleet = PlatformFleet(tmp_path, settings=settings, limits=limits)
    trial = Trial(fleet)
    try:
        fleet.run(trial.run(PATTERNS[pattern], BAD_CLIENTS))
    finally:
        fleet.close()
    assert max(trial.resident_bytes) <= MEMORY_MB << 20, max(trial.resident_bytes) / (1 << 20)
    statuses = {status for status, _ in trial.usual_ends}
    assert statuses <= {200, 503} and 200 in statuses
    longest_us = max(duration_us for _, duration_us in trial.usual_ends)
    assert longest_us - trial.own_delay_us <= QUERY_TIMEOUT_US + GRACE_US
    assert len(trial.bad_ends) == BAD_CLIENTS
    longest_us = max(duration_us for _, duration_us in trial.bad_ends)
    assert longest_us - trial.own_delay_us <= BAD_CLIENT_TIMEOUT_US


def test_a_process_of_32_mb_serves_its_clients_while_one_connection_pipelines(tmp_path):
    """Guards against one connection whose requests, as long as it sends some, take more and more memory."""
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    settings = platform_settings()
    settings["classes"][0]["hard-limit-us"] = QUERY_TIMEOUT_US
    fleet = PlatformFleet(tmp_path, limits=limits, settings=settings)
    trial = Trial(fleet)

    def pipeline():
        stream = yield from fleet.net.connect(fleet.address, SECOND_US)
        reader = fleet.loop.spawn(drain_reads(stream), "reads")
        while not (trial.ended or stream.closed or reader.done):
            stream.try_write(b"".join(whole(SHORT_BODY) for _ in range(50)))
            yield from stream.drain()
            yield from sleep(fleet.loop, 500)

    def drain_reads(stream):
        while (yield from stream.read()):
            pass

    def main():
        pipelining = fleet.loop.spawn(pipeline(), "pipelines")
        yield from trial.run(list, 0)
        pipelining.cancel()

    try:
        fleet.run(main())
    finally:
        fleet.close()
    assert max(trial.resident_bytes) <= MEMORY_MB << 20, max(trial.resident_bytes) / (1 << 20)
    assert {status for status, _ in trial.usual_ends} <= {200, 503}
    longest_us = max(duration_us for _, duration_us in trial.usual_ends)
    assert longest_us - trial.own_delay_us <= QUERY_TIMEOUT_US + GRACE_US
