"""Malformed, incomplete and missing requests: clients get an error or a close in time, valid ones a reply."""

from __future__ import annotations

import json
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec.http import Request
from heathwell.eventloop import StreamBrokenError, sleep
from heathwell.gateway.requests import BadRequestError, RequestChecker
from heathwell.testing.standins.platform_frames import generate_result

from .platform import Platform, settings_of

PART: Final = {"id": 1, "w": 0.5}
VALID_BODY: Final = {
    "parts": [PART, {"id": 2, "w": 0.5, "hint": 9000, "tag": "7f3a9c21e0b4d655"}],
    "expr": "c41e77d0",
}
VALID_HEADERS: Final = {"req-id": "q1", "req-kind": "price-search", "req-deadline": "480m"}


def request(head=None, body=None, path="/price-search", method="POST", query=""):
    """Return a valid request with these changes."""
    data = body if isinstance(body, bytes) else json.dumps(VALID_BODY if body is None else body).encode()
    return Request(method, path, query, {**VALID_HEADERS, **(head or {})}, data)


def test_a_valid_request_is_accepted_with_its_values():
    """The timeout of its query class limits its deadline."""
    checked = RequestChecker(settings_of()).check(request(query="key=7f3a9c21e0b4d655"))
    assert (checked.id, checked.query_class, checked.wait_us, checked.text) == ("q1", 0, 480_000, b"c41e77d0")
    assert [(part.shard, part.weight, part.hint_us) for part in checked.parts] == [
        (1, 0.5, None),
        (2, 0.5, 9000),
    ]
    assert (
        RequestChecker(settings_of()).check(request({"req-deadline": "90000000u"})).wait_us == 600_000
    )  # the timeout of its class


@pytest.mark.parametrize(
    ("head", "body", "word"),
    [
        ({"req-id": ""}, None, "Req-Id"),
        ({"req-id": "a.1"}, None, "Req-Id"),
        ({"req-id": "a b"}, None, "Req-Id"),
        ({"req-kind": "nothing"}, None, "Req-Kind"),
        ({"req-kind": "day-report"}, None, "path"),
        ({"req-deadline": "soon"}, None, "Req-Deadline"),
        ({"req-deadline": "-5m"}, None, "Req-Deadline"),
        ({"req-deadline": "480"}, None, "Req-Deadline"),
        ({"req-deadline": "0m"}, None, "Req-Deadline"),
        ({"req-deadline": "1e9m"}, None, "Req-Deadline"),
        ({"req-deadline": "nanm"}, None, "Req-Deadline"),
        ({}, b"{", "body"),
        ({}, b"\xff", "body"),
        ({}, b"[]", "body"),
        ({}, {"parts": [PART]}, "body"),
        ({}, {"parts": [], "expr": "x"}, "parts"),
        ({}, {"parts": [PART, PART], "expr": "x"}, "twice"),
        ({}, {"parts": [{"id": 12, "w": 1}], "expr": "x"}, "no shard"),
        ({}, {"parts": [{"id": -1, "w": 1}], "expr": "x"}, "no shard"),
        ({}, {"parts": [{"id": 1.5, "w": 1}], "expr": "x"}, "body"),
        ({}, {"parts": [{"id": 1, "w": 0}], "expr": "x"}, "weight"),
        ({}, {"parts": [{"id": 1, "w": 1.5}], "expr": "x"}, "weight"),
        ({}, {"parts": [{"id": 1, "w": -0.5}, {"id": 2, "w": 1}], "expr": "x"}, "weight"),
        ({}, {"parts": [PART], "expr": "x"}, "add up"),
        ({}, {"parts": [{"id": 1, "w": 1}], "expr": ""}, "expr"),
        ({}, {"parts": [{"id": 1, "w": 1, "hint": -1}], "expr": "x"}, "hint"),
        ({}, {"parts": [{"id": 1, "w": 1, "tag": "xyz"}], "expr": "x"}, "tag"),
        ({}, {"parts": [{"id": 1, "w": 1}], "expr": 5}, "body"),
        ({}, b"[" * 5000, "body"),
    ],
)
def test_the_error_names_what_is_wrong_with_a_request(head, body, word):
    """The status of each error is 4xx."""
    with pytest.raises(BadRequestError, match=word) as caught:
        RequestChecker(settings_of()).check(request(head, body))
    assert 400 <= caught.value.status < 500


def test_a_request_of_a_keyed_class_needs_a_valid_idempotency_key():
    """A key must not contain the separators of the node protocol: it could add fields to a part."""
    checker = RequestChecker(settings_of())
    head = {"req-kind": "sale-record"}
    with pytest.raises(BadRequestError, match="Idempotency-Key"):
        checker.check(request(head, path="/sale-record"))
    with pytest.raises(BadRequestError, match="Idempotency-Key"):
        checker.check(request({**head, "idempotency-key": "a,from=1"}, path="/sale-record"))
    assert checker.check(request({**head, "idempotency-key": "k1"}, path="/sale-record")).key == "k1"


@given(st.lists(st.integers(0, 11), min_size=1, max_size=12, unique=True), st.integers(2, 5))
def test_rounded_weights_are_normalised_to_a_sum_of_one(shards, digits):
    """A client may round the weights of its parts."""
    weights = [round(1 / len(shards), max(digits, 4))] * len(shards)
    body = {
        "parts": [{"id": shard, "w": weight} for shard, weight in zip(shards, weights, strict=True)],
        "expr": "x",
    }
    checked = RequestChecker(settings_of()).check(request(body=body))
    assert abs(sum(part.weight for part in checked.parts) - 1) < 1e-9


RAW_HEAD: Final = (
    b"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\n"
    b"Req-Kind: price-search\r\nReq-Deadline: 400m\r\n"
)
RAW_BODY: Final = json.dumps(VALID_BODY).encode()


def raw_request(name, body=RAW_BODY, more=b""):
    """Return the bytes of a request; ``more`` are additional header lines."""
    return RAW_HEAD % name + more + b"Content-Length: %d\r\n\r\n" % len(body) + body


def exchange(world, pieces, gap_us=0, timeout_us=3_500_000):
    """Write pieces one after another; return what is received up to the close, and the time to it (us).

    The time is None where the connection is not closed within ``timeout_us``, or is reset.
    """

    def write_pieces(stream):
        for piece in pieces:
            stream.write(piece)
            yield from stream.drain()
            yield from sleep(world.loop, gap_us)

    def main():
        stream = yield from world.net.connect("broker:7070", 1_000_000, "bad")
        began_us = world.loop.now()
        received = bytearray()
        timer = world.loop.call_at(began_us + timeout_us, stream.abort)
        writer = world.loop.spawn(write_pieces(stream), "writes")
        duration_us = None
        try:
            while data := (yield from stream.read()):
                received += data
            duration_us = world.loop.now() - began_us
        except StreamBrokenError:
            pass
        timer.cancel()
        writer.cancel()
        return bytes(received), duration_us

    return world.run(main(), errors=True)


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"\x00\x01\x02\x03 what\r\n\r\n"], b"400"),
        ([b"GET / HTTP/1.1\r\nHost: b\r\nX: " + b"a" * 20_000], b"431"),
        ([raw_request(b"q1", more=b"Transfer-Encoding: chunked\r\n")], b"400"),
        ([RAW_HEAD % b"q1" + b"Content-Length: -5\r\n\r\n"], b"400"),
        ([RAW_HEAD % b"q1" + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n"], b"400"),
        ([RAW_HEAD % b"q1" + b"Content-Length: 60000000\r\n\r\n"], b"413"),
        (
            [
                RAW_HEAD % b"q1" + b"Transfer-Encoding: chunked\r\n\r\n",
                b"ffff\r\n" + b"a" * 65_535 + b"\r\n" + b"ff\r\n" + b"a" * 255 + b"\r\n",
            ],
            b"413",
        ),
        ([RAW_HEAD % b"q1" + b'Content-Length: 100\r\n\r\n{"parts"'], b"408"),
        ([b"POST /pri"], b"408"),
        ([RAW_HEAD.replace(b"POST", b"HEAD") % b"q1" + b"Content-Length: 100\r\n\r\n{"], b"408"),
        ([raw_request(b"q1").replace(b"POST", b"HEAD")], b"405"),
        ([raw_request(b"")], b"400"),
        ([b"DELETE /price-search HTTP/1.1\r\nHost: b\r\nReq-Kind: price-search\r\n\r\n"], b"405"),
        ([b"GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n"], b"400"),
    ],
)
def test_malformed_input_is_answered_with_an_error_and_closed_within_three_seconds(pieces, status):
    """No part of it reaches a node."""
    world = Platform()
    received, duration_us = exchange(world, pieces)
    assert received.startswith(b"HTTP/1.1 " + status) and duration_us is not None and duration_us < 3_000_000
    assert b"connection: close" in received.lower()
    world.wait(1.1)  # the connection lingers, so that the client can read the error
    assert not any(node.parts for node in world.nodes) and not world.front.clients


def test_a_request_smuggled_behind_one_with_two_lengths_is_not_read():
    """A proxy may find the end of a request with Content-Length and Transfer-Encoding elsewhere than the
    broker does. Such a request is rejected, and its connection closed.
    """
    world = Platform()
    hidden = raw_request(b"hidden")
    body = b"0\r\n\r\n" + hidden
    received, _ = exchange(world, [raw_request(b"q1", body, b"Transfer-Encoding: chunked\r\n")])
    assert received.count(b"HTTP/1.1") == 1 and not any(node.parts for node in world.nodes)


def test_a_client_without_a_complete_request_is_closed_also_if_it_sends_single_bytes():
    """The timeout of a request is not extended by its bytes."""
    world = Platform()
    _, duration_us = exchange(world, [])
    assert duration_us is not None and 2_000_000 <= duration_us < 3_000_000
    received, duration_us = exchange(world, [b"P", b"O", b"S", b"T", b" "], gap_us=600_000)
    assert received.startswith(b"HTTP/1.1 408") and duration_us is not None and duration_us < 3_500_000


def test_the_error_to_a_too_large_body_is_readable_while_its_client_still_sends():
    """The client sends sixty megabytes, of which the broker reads only a part."""
    world = Platform()
    pieces = [RAW_HEAD % b"q1" + b"Content-Length: 60000000\r\n\r\n"] + [b"a" * 65_536] * 900
    received, _ = exchange(world, pieces)
    assert received.startswith(b"HTTP/1.1 413")
    assert world.loop.now() < 4_000_000 + 1_000_000


def test_the_id_of_a_request_in_flight_is_rejected():
    """The duplicate is answered with 409; the request in flight is served."""
    world = Platform()

    def main():
        first = world.loop.spawn(world.client().send_query("q1", "price-search", [0, 1, 2, 3]), "first")
        yield from sleep(world.loop, 10_000)
        second = yield from world.client("other").send_query("q1", "price-search", [0, 1, 2, 3])
        return (yield from first.join()), second

    first, second = world.run(main())
    assert (first.status, second.status) == (200, 409)
    assert len([part for node in world.nodes for part in node.parts]) == 3


def test_hundreds_of_silent_connections_do_not_lock_out_other_clients():
    """At the limit an idle connection is closed in favour of a new one."""
    world = Platform(limits={"sockets": 128, "memory_mb": 64, "cores": 0.4})
    maximum = world.config.client_sockets

    def main():
        for number in range(400):
            yield from world.net.connect("broker:7070", 1_000_000, f"silent{number}")
            if number % 40 == 0:
                response = yield from world.client().send_query(f"q{number}", "price-search", [0, 1, 2, 3])
                assert response.status == 200
            assert len(world.front.clients) <= maximum

    world.run(main())
    assert world.front.counts["closed for another"] > 200


def test_pipelined_requests_on_one_connection_are_all_answered():
    """The last request asks for the connection to be closed."""
    world = Platform()
    received, _ = exchange(
        world, [raw_request(b"q1") + raw_request(b"q2") + raw_request(b"q3", more=b"Connection: close\r\n")]
    )
    assert received.count(b"HTTP/1.1 200") == 3
    value = generate_result(1, b"c41e77d0")
    assert received.count(value) <= 3 and world.front.counts["requests"] == 3


def test_idle_client_connections_leave_capacity_for_new_clients():
    """All clients together may use a third of the descriptors. Idle connections must not occupy all of these,
    and those that stay open are the most recently used.
    """
    world = Platform(limits={"sockets": 192, "memory_mb": 64, "cores": 0.4})
    maximum = world.config.sockets // 3
    served = 0
    streams = []

    def main():
        nonlocal served
        for number in range(3 * maximum):
            streams[:] = [stream for stream in streams if not stream.closed and not stream.inbox.ended]
            if len(streams) < maximum:  # else the clients have no descriptor for another connection
                stream = yield from world.net.connect("broker:7070", 1_000_000, f"kept{number}")
                stream.write(raw_request(b"q%d" % number))
                assert (yield from stream.read()).startswith(b"HTTP/1.1 200")
                streams.append(stream)
                served += 1
            yield from sleep(world.loop, 5_000)
        last = streams[-1]  # the most recently used connection is still open
        last.write(raw_request(b"again"))
        assert (yield from last.read()).startswith(b"HTTP/1.1 200")

    world.run(main())
    assert served == 3 * maximum and world.front.counts["let go"] > maximum


def test_a_request_is_answered_before_the_error_to_the_noise_behind_it():
    """Noise after a request is not taken for a disconnect of its client."""
    world = Platform()
    for node in world.nodes:
        node.work_us = 60_000
    received, duration_us = exchange(world, [raw_request(b"q1"), b"x" * 65_536, b"x" * 65_536, b"x" * 65_536])
    assert (
        received.count(b"HTTP/1.1 200") == 1
        and received.count(b"HTTP/1.1 4") == 1
        and duration_us is not None
    )
    assert not world.broker.counters["left", "price-search"]
