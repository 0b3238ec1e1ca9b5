"""Clients that can't be read, don't finish or say nothing, beside usual ones: all get an error or a close in
time.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec.http import Request
from heathwell.eventloop import StreamBrokenError, sleep
from heathwell.gateway.requests import BadRequestError, RequestChecker
from heathwell.testing.standins.platform_frames import generate_result

from .platform import Platform, settings_of

PART = {"id": 1, "w": 0.5}
GOOD = {"parts": [PART, {"id": 2, "w": 0.5, "hint": 9000, "tag": "7f3a9c21e0b4d655"}], "expr": "c41e77d0"}
HEAD = {"req-id": "q1", "req-kind": "price-search", "req-deadline": "480m"}


def request(head=None, body=None, path="/price-search", method="POST", query=""):
    data = body if isinstance(body, bytes) else json.dumps(GOOD if body is None else body).encode()
    return Request(method, path, query, {**HEAD, **(head or {})}, data)


def test_a_good_request_is_taken_as_it_says():
    wanted = RequestChecker(settings_of()).check(request(query="key=7f3a9c21e0b4d655"))
    assert (wanted.id, wanted.query_class, wanted.wait_us, wanted.text) == ("q1", 0, 480_000, b"c41e77d0")
    assert [(part.shard, part.weight, part.hint_us) for part in wanted.parts] == [
        (1, 0.5, None),
        (2, 0.5, 9000),
    ]
    assert (
        RequestChecker(settings_of()).check(request({"req-deadline": "90000000u"})).wait_us == 600_000
    )  # the class's


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
def test_what_is_wrong_is_named(head, body, word):
    with pytest.raises(BadRequestError, match=word) as caught:
        RequestChecker(settings_of()).check(request(head, body))
    assert 400 <= caught.value.status < 500


def test_a_keyed_class_needs_its_key():
    checker = RequestChecker(settings_of())
    head = {"req-kind": "sale-record"}
    with pytest.raises(BadRequestError, match="Idempotency-Key"):
        checker.check(request(head, path="/sale-record"))
    with pytest.raises(BadRequestError, match="Idempotency-Key"):
        checker.check(request({**head, "idempotency-key": "a,from=1"}, path="/sale-record"))
    assert checker.check(request({**head, "idempotency-key": "k1"}, path="/sale-record")).key == "k1"


@given(st.lists(st.integers(0, 11), min_size=1, max_size=12, unique=True), st.integers(2, 5))
def test_rounded_weights_add_up_to_one_once_taken(shards, digits):
    weights = [round(1 / len(shards), max(digits, 4))] * len(shards)
    body = {"parts": [{"id": s, "w": w} for s, w in zip(shards, weights, strict=True)], "expr": "x"}
    wanted = RequestChecker(settings_of()).check(request(body=body))
    assert abs(sum(part.weight for part in wanted.parts) - 1) < 1e-9


RAW = (
    b"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\n"
    b"Req-Kind: price-search\r\nReq-Deadline: 400m\r\n"
)
BODY = json.dumps(GOOD).encode()


def whole(name, body=BODY, more=b""):
    return RAW % name + more + b"Content-Length: %d\r\n\r\n" % len(body) + body


def told(world, pieces, gap_us=0, patience=3_500_000):
    """What a raw client is told, and after how long (us); pieces are written one after another."""

    def main():
        stream = yield from world.net.connect("broker:7070", 1_000_000, "bad")
        began, got = world.loop.now(), bytearray()
        timer = world.loop.call_at(began + patience, stream.abort)

        def writes():
            for piece in pieces:
                stream.write(piece)
                yield from stream.drain()
                yield from sleep(world.loop, gap_us)

        writer = world.loop.spawn(writes(), "writes")
        ended = None
        try:
            while data := (yield from stream.read()):
                got += data
            ended = world.loop.now() - began
        except StreamBrokenError:
            pass
        timer.cancel()
        writer.cancel()
        return bytes(got), ended

    return world.run(main(), errors=True)


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"\x00\x01\x02\x03 what\r\n\r\n"], b"400"),
        ([b"GET / HTTP/1.1\r\nHost: b\r\nX: " + b"a" * 20_000], b"431"),
        ([whole(b"q1", more=b"Transfer-Encoding: chunked\r\n")], b"400"),
        ([RAW % b"q1" + b"Content-Length: -5\r\n\r\n"], b"400"),
        ([RAW % b"q1" + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n"], b"400"),
        ([RAW % b"q1" + b"Content-Length: 60000000\r\n\r\n"], b"413"),
        (
            [
                RAW % b"q1" + b"Transfer-Encoding: chunked\r\n\r\n",
                b"ffff\r\n" + b"a" * 65_535 + b"\r\n" + b"ff\r\n" + b"a" * 255 + b"\r\n",
            ],
            b"413",
        ),
        ([RAW % b"q1" + b'Content-Length: 100\r\n\r\n{"parts"'], b"408"),
        ([b"POST /pri"], b"408"),
        ([whole(b"")], b"400"),
        ([b"DELETE /price-search HTTP/1.1\r\nHost: b\r\nReq-Kind: price-search\r\n\r\n"], b"405"),
        ([b"GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n"], b"400"),
    ],
)
def test_bad_input_is_answered_and_closed_within_three_seconds(pieces, status):
    world = Platform()
    got, ended = told(world, pieces)
    assert got.startswith(b"HTTP/1.1 " + status) and ended is not None and ended < 3_000_000
    assert b"connection: close" in got.lower()
    world.wait(1.1)  # the end lingers, so that the error is read first
    assert not any(node.parts for node in world.nodes) and not world.front.clients


def test_what_hides_behind_a_request_of_two_lengths_is_not_read():
    world = Platform()
    hidden = whole(b"hidden")
    body = b"0\r\n\r\n" + hidden
    got, _ = told(world, [whole(b"q1", body, b"Transfer-Encoding: chunked\r\n")])
    assert got.count(b"HTTP/1.1") == 1 and not any(node.parts for node in world.nodes)


def test_who_says_nothing_is_closed_and_a_drip_does_not_help():
    world = Platform()
    _, ended = told(world, [])
    assert ended is not None and 2_000_000 <= ended < 3_000_000
    got, ended = told(world, [b"P", b"O", b"S", b"T", b" "], gap_us=600_000)
    assert got.startswith(b"HTTP/1.1 408") and ended is not None and ended < 3_500_000


def test_an_answer_is_read_though_sixty_megabytes_are_on_their_way():
    world = Platform()
    pieces = [RAW % b"q1" + b"Content-Length: 60000000\r\n\r\n"] + [b"a" * 65_536] * 900
    got, _ = told(world, pieces)
    assert got.startswith(b"HTTP/1.1 413")
    assert world.loop.now() < 4_000_000 + 1_000_000


def test_the_id_of_an_open_request_is_not_taken_again():
    world = Platform()

    def main():
        first = world.loop.spawn(world.client().send_query("q1", "price-search", [0, 1, 2, 3]), "first")
        yield from sleep(world.loop, 10_000)
        second = yield from world.client("other").send_query("q1", "price-search", [0, 1, 2, 3])
        return (yield from first.join()), second

    first, second = world.run(main())
    assert (first.status, second.status) == (200, 409)
    assert len([part for node in world.nodes for part in node.parts]) == 3


def test_hundreds_of_silent_connections_do_not_keep_usual_clients_out():
    world = Platform(limits={"sockets": 128, "memory_mb": 64, "cores": 0.4})
    most = world.config.client_sockets

    def main():
        for n in range(400):
            yield from world.net.connect("broker:7070", 1_000_000, f"silent{n}")
            if n % 40 == 0:
                response = yield from world.client().send_query(f"q{n}", "price-search", [0, 1, 2, 3])
                assert response.status == 200
            assert len(world.front.clients) <= most

    world.run(main())
    assert world.front.counts["closed for another"] > 200


def test_a_kept_connection_is_used_again_and_requests_behind_one_another_are_answered_in_turn():
    world = Platform()
    got, _ = told(world, [whole(b"q1") + whole(b"q2") + whole(b"q3", more=b"Connection: close\r\n")])
    assert got.count(b"HTTP/1.1 200") == 3
    value = generate_result(1, b"c41e77d0")
    assert got.count(value) <= 3 and world.front.counts["requests"] == 3


def test_clients_that_ask_once_and_keep_their_connection_leave_room_for_others():
    """Clients may hold a third of the descriptors between them; those at rest must not take all of it."""
    world = Platform(limits={"sockets": 192, "memory_mb": 64, "cores": 0.4})
    may_hold, asked = world.config.sockets // 3, 0
    streams = []

    def main():
        nonlocal asked
        for n in range(3 * may_hold):
            streams[:] = [stream for stream in streams if not stream.closed and not stream.inbox.ended]
            if len(streams) < may_hold:  # else no client has a connection left to ask on
                stream = yield from world.net.connect("broker:7070", 1_000_000, f"kept{n}")
                stream.write(whole(b"q%d" % n))
                assert (yield from stream.read()).startswith(b"HTTP/1.1 200")
                streams.append(stream)
                asked += 1
            yield from sleep(world.loop, 5_000)
        last = streams[-1]  # those that asked last are still there
        last.write(whole(b"again"))
        assert (yield from last.read()).startswith(b"HTTP/1.1 200")

    world.run(main())
    assert asked == 3 * may_hold and world.front.counts["let go"] > may_hold


def test_who_floods_behind_a_request_that_was_taken_is_answered_first():
    world = Platform()
    for node in world.nodes:
        node.work_us = 60_000
    got, ended = told(world, [whole(b"q1"), b"x" * 65_536, b"x" * 65_536, b"x" * 65_536])
    assert got.count(b"HTTP/1.1 200") == 1 and got.count(b"HTTP/1.1 4") == 1 and ended is not None
    assert not world.broker.counters["left", "price-search"]
