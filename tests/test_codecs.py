"""Codecs of memcached, HTTP and the inner protocol: incremental parsing, limits and malformed input."""

from __future__ import annotations

import base64

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec import frames, memcached
from heathwell.codec.http import Response
from heathwell.codec.http_server import ServerSide

STREAM = (
    b"get a b\r\nset k 0 0 5\r\nget x\r\nset k 0 0 3 noreply\r\nabc\r\ngets c\r\nmg k v k Oq1 q\r\nmn\r\n"
    b"cas k 0 0 2 7\r\nhi\r\ndelete k\r\ntouch k 5 noreply\r\nms k 2 q\r\nhi\r\ngat 10 a\r\n"
    b"verbosity 1\r\nstats\r\nnope\r\nget "
    + b"x" * 300
    + b"\r\nget a\x01b\r\nmg \r\nset k 0 0 2\r\nlong\r\nversion\r\n"
)


def parse_commands(chunks):
    """Return the commands that a parser reads from chunks of bytes."""
    parser = memcached.CommandParser(max_line_bytes=400)
    return [command for chunk in chunks for command in parser.feed(chunk)]


COMMANDS = parse_commands([STREAM])
"""The commands of `STREAM`, parsed from a single chunk."""


def test_commands_of_every_kind_are_parsed_in_order():
    kinds = [type(command).__name__ for command in COMMANDS]
    assert kinds == [
        "Get",
        "RejectedCommand",
        "RejectedCommand",
        "Get",
        "MetaGet",
        "Noop",
        "RejectedCommand",
        "RejectedCommand",
        "RejectedCommand",
        "RejectedCommand",
        "Get",
        "ServerCommand",
        "ServerCommand",
        "MalformedCommand",
        "MalformedCommand",
        "MalformedCommand",
        "MalformedCommand",
        "MalformedCommand",
        "ServerCommand",
    ]
    assert [command.quiet for command in COMMANDS if isinstance(command, memcached.RejectedCommand)] == [
        False,
        True,
        False,
        False,
        True,
        True,
    ]
    assert COMMANDS[4].quiet and COMMANDS[4].key == b"k"
    assert COMMANDS[-2].line == b"CLIENT_ERROR bad data chunk\r\n" and COMMANDS[13].line == b"ERROR\r\n"
    assert b"250" in COMMANDS[14].line and b"control" in COMMANDS[15].line


def test_a_stream_read_byte_by_byte_gives_the_same_commands():
    assert parse_commands([bytes([byte]) for byte in STREAM]) == COMMANDS


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_a_stream_cut_anywhere_gives_the_same_commands(cuts):
    edges = [0, *sorted(cuts), len(STREAM)]
    assert (
        parse_commands([STREAM[start:end] for start, end in zip(edges, edges[1:], strict=False)]) == COMMANDS
    )


@given(st.binary(max_size=400))
def test_arbitrary_bytes_raise_no_error_and_the_next_line_is_parsed(data):
    parser = memcached.CommandParser(max_line_bytes=100)
    for _ in parser.feed(data):
        pass
    if parser._block is None:
        last = list(parser.feed(b"\r\nversion\r\n"))[-1]
        assert last == memcached.ServerCommand("version") or parser._block is not None


def test_a_line_over_the_limit_is_rejected_once_and_is_not_buffered():
    parser = memcached.CommandParser(max_line_bytes=1000)
    commands = []
    for _ in range(100):
        commands += parser.feed(b"get " + b"k" * 1000)
        assert parser.buffered <= 2100
    commands += parser.feed(b"\r\nget a\r\n")
    assert [type(command) for command in commands] == [
        memcached.MalformedCommand,
        memcached.Get,
    ] and b"too long" in commands[0].line


@pytest.mark.parametrize(
    ("line", "word"),
    [
        (b"mg a N30", b"store"),
        (b"mg a x", b"flag"),
        (b"mg a v v", b"duplicate"),
        (b"mg !!! b", b"decoding"),
        (b"get " + b" ".join([b"k"] * 201), b"200"),
        (b"set k 0 0 -3", b"bad data"),
        (b"gat x k", b"exptime"),
        (b"mg a O" + b"1" * 40, b"opaque"),
    ],
)
def test_an_invalid_command_is_a_client_error_that_states_the_cause(line, word):
    malformed, following = list(memcached.CommandParser().feed(line + b"\r\nmn\r\n"))
    assert (
        isinstance(malformed, memcached.MalformedCommand)
        and malformed.line.startswith(b"CLIENT_ERROR")
        and word in malformed.line
    )
    assert following == memcached.Noop()


def test_a_meta_response_returns_the_requested_flags():
    key = base64.b64encode("sale:åke:1".encode())
    request = next(iter(memcached.CommandParser().feed(b"mg " + key + b" b k f s t c v O77\r\n")))
    assert request.key.decode() == "sale:åke:1"
    assert memcached.meta_value(request, 5, b"hey", 9) == b"VA 3 b k" + key + b" f5 s3 t-1 c9 O77\r\nhey\r\n"
    assert memcached.meta_miss(request) == b"EN b k" + key + b" O77\r\n"


def test_frames_are_decoded_byte_by_byte_and_unknown_fields_are_skipped():
    wire = b"".join(
        frames.encode(message)
        for message in (
            frames.Hello(1, "b", "broker"),
            frames.Call([frames.PartRequest("q/0", 0, "c", "record", "k", 3, 99)]),
            frames.Result("q/0", 0, "ok", b"x" * 1000, 4),
            frames.Pong(3),
        )
    )
    messages = list(frames.FrameDecoder().feed(wire))
    parser = frames.FrameDecoder()
    assert [message for byte in wire for message in parser.feed(bytes([byte]))] == messages and len(
        messages
    ) == 4
    newer = msgspec.msgpack.encode({"type": "pong", "n": 1, "brand_new": [1, 2]})
    assert list(frames.FrameDecoder().feed(len(newer).to_bytes(4, "big") + newer)) == [frames.Pong(1)]


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"\xff\xff\xff\xff", "over the limit"),
        (b"\0\0\0\x01\x01", "not a message"),
        (b"\0\0\0\x02\x81\xa4", "not a message"),
    ],
)
def test_a_malformed_frame_raises_a_frame_error(data, word):
    with pytest.raises(frames.FrameError, match=word):
        list(frames.FrameDecoder().feed(data))


def test_a_hello_of_an_unknown_version_raises_an_error_that_names_it():
    with pytest.raises(frames.HelloError, match="version 9"):
        frames.check_hello(frames.Hello(9, "x"))
    with pytest.raises(frames.HelloError, match="must be hello"):
        frames.check_hello(frames.Pong(1))
    frames.check_hello(frames.Hello(frames.VERSION, "x"))


def test_http_requests_are_parsed_byte_by_byte_and_errors_have_a_status():
    connection = ServerSide(max_body_bytes=10)
    requests = []
    for byte in b"GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\n":
        requests += connection.feed(bytes([byte]))
    assert (requests[0].path, requests[0].query) == ("/a", "x=1")
    assert connection.respond(Response(200, b"hi")).startswith(b"HTTP/1.1 200")
    [too_long] = connection.feed(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + b"x" * 20)
    assert too_long.status == 413 and connection.closing
    [malformed] = ServerSide().feed(b"NOT HTTP\r\n\r\n")
    assert malformed.status == 400


def encode_frame(message):
    """Return the frame of an arbitrary message, also one that this version does not define."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(4, "big") + body


def test_an_unknown_message_type_is_skipped_and_a_malformed_known_one_raises_an_error():
    """A peer of a newer version may send types and fields that this one does not define."""
    decoder = frames.FrameDecoder(hello_received=False)
    messages = list(
        decoder.feed(
            frames.encode(frames.Hello(frames.VERSION, "b0", "broker"))
            + encode_frame({"type": "later", "what": [1, 2]})
            + encode_frame({"type": "ping", "n": 3, "mood": "new"})
        )
    )
    assert messages[1:] == [frames.Ping(3)] and decoder.skipped == 1
    with pytest.raises(frames.FrameError, match="not a message"):
        list(decoder.feed(encode_frame({"type": "ping", "n": "three"})))
    with pytest.raises(frames.FrameError):
        list(frames.FrameDecoder(hello_received=False).feed(encode_frame({"type": "later"})))
