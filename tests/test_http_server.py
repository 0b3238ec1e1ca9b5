"""The server's side of HTTP: limits on header fields, on the steps of one call, and what is held."""

from __future__ import annotations

import tracemalloc
from typing import Final

import pytest

from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import MAX_HEADER_FIELDS, ServerSide

HEAD: Final = b"POST /a HTTP/1.1\r\nHost: h\r\n"
FIELDS_OF_HEAD: Final = 1
LENGTH: Final = b"Content-Length: 9\r\n"


def fields(count):
    """Return this number of short header fields, each of another name."""
    return b"".join(b"%x:%x\r\n" % (number, number + 256) for number in range(count))


def test_a_head_of_as_many_fields_as_are_allowed_is_parsed():
    side = ServerSide()
    [request] = side.feed(HEAD + LENGTH + fields(MAX_HEADER_FIELDS - FIELDS_OF_HEAD - 1) + b"\r\n123456789")
    assert isinstance(request, Request) and request.body == b"123456789"


@pytest.mark.parametrize(
    "data",
    [
        HEAD + LENGTH + fields(MAX_HEADER_FIELDS) + b"\r\n",
        HEAD + LENGTH + fields(2 * MAX_HEADER_FIELDS),
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields(2 * MAX_HEADER_FIELDS),
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields(3_000) + b"\r\n",
    ],
    ids=["whole head", "half a head", "half a trailer", "whole trailer"],
)
def test_a_request_of_too_many_header_fields_is_rejected_and_not_held(data):
    """Guards against 2,000 short fields that take 200 KB as objects, and the loop for 15 ms."""
    side = ServerSide()
    [error] = side.feed(data)
    assert isinstance(error, Response) and error.status == 431 and side.closing
    assert side.held_bytes == 0
    assert side.respond(error).startswith(b"HTTP/1.1 431")


def test_the_memory_of_partial_requests_is_what_the_codec_states():
    """Guards against half requests that take much more memory than is accounted for."""
    head = HEAD + b"Content-Length: 65536\r\n" + fields(MAX_HEADER_FIELDS - FIELDS_OF_HEAD - 1) + b"\r\n"
    pieces = [HEAD + b"X: " + b"a" * 8_000, head, head + b"b" * 30_000, HEAD + fields(60)]
    tracemalloc.start()
    sides = []
    for number in range(200):
        side = ServerSide()
        for message in side.feed(pieces[number % len(pieces)]):
            pytest.fail(f"complete: {message}")
        sides.append(side)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    stated_bytes = sum(side.held_bytes for side in sides)
    connection_bytes = 4_096 * len(sides)  # what a connection has besides, whatever its client sends
    assert traced_bytes <= stated_bytes + connection_bytes and stated_bytes <= 2 * traced_bytes


def test_a_body_of_one_byte_chunks_is_parsed_in_bounded_steps():
    """Guards against one client that keeps the loop for a second with chunks of one byte."""
    side = ServerSide()
    side.receive(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 1_000 + b"0\r\n\r\n")
    calls = 0
    while (message := side.next_message(8)) is None:
        calls += 1
        assert side.is_parsing and calls < 1_000
    assert isinstance(message, Request) and message.body == b"a" * 1_000 and not side.is_parsing
    assert calls >= 1_000 // 8


def test_bytes_behind_a_chunked_request_are_parsed_after_its_response():
    side = ServerSide()
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: 1\r\n\r\n"
    [first] = side.feed(chunked + chunked.replace(b"abc", b"def") + HEAD + LENGTH + b"\r\n12345")
    assert isinstance(first, Request) and first.body == b"abc" and side.has_partial_request
    side.respond(Response(200, b""))
    [second] = side.events()
    assert isinstance(second, Request) and second.body == b"def"
    side.respond(Response(200, b""))
    assert list(side.events()) == [] and side.has_partial_request
    [third] = side.feed(b"6789")
    assert isinstance(third, Request) and third.body == b"123456789" and side.held_bytes == 0


@pytest.mark.parametrize("sent", [b"POST", HEAD, HEAD + LENGTH + b"\r\n123"])
def test_a_connection_that_ends_within_a_request_gets_an_error(sent):
    side = ServerSide()
    assert list(side.feed(sent)) == []
    [error] = side.feed(b"")
    assert isinstance(error, Response) and error.status == 400 and side.closing


def test_a_connection_that_ends_between_requests_is_closed():
    side = ServerSide()
    assert list(side.feed(b"")) == [] and side.closing


@pytest.mark.parametrize("after", [b"NOT HTTP\r\n\r\n", HEAD + fields(200), HEAD + LENGTH + b"\r\n123456789"])
def test_a_response_to_head_has_no_body_and_the_next_one_has(after):
    """Guards against a response that can't be written, so that the connection keeps its place for good."""
    side = ServerSide()
    [request] = side.feed(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert isinstance(request, Request) and request.method == "HEAD"
    assert side.respond(Response(200, b"body")).endswith(b"content-length: 4\r\n\r\n")
    [message] = side.feed(after)
    response = message if isinstance(message, Response) else Response(200, b"more")
    assert side.respond(response).endswith(response.body)
