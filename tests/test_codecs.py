"""Codecs: whatever way the bytes are cut, the same messages come out, and nothing loses its place."""

from __future__ import annotations

import base64

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec import frames
from heathwell.codec import memcached as mc
from heathwell.codec.http import Response, ServerSide

STREAM = (
    b"get a b\r\nset k 0 0 5\r\nget x\r\nset k 0 0 3 noreply\r\nabc\r\ngets c\r\nmg k v k Oq1 q\r\nmn\r\n"
    b"cas k 0 0 2 7\r\nhi\r\ndelete k\r\ntouch k 5 noreply\r\nms k 2 q\r\nhi\r\ngat 10 a\r\n"
    b"verbosity 1\r\nstats\r\nnope\r\nget "
    + b"x" * 300
    + b"\r\nget a\x01b\r\nmg \r\nset k 0 0 2\r\nlong\r\nversion\r\n"
)


def commands(chunks):
    parser = mc.Requests(max_line_bytes=400)
    return [command for chunk in chunks for command in parser.feed(chunk)]


WHOLE = commands([STREAM])


def test_commands_of_every_kind_in_order():
    kinds = [type(c).__name__ for c in WHOLE]
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
    assert [c.quiet for c in WHOLE if isinstance(c, mc.RejectedCommand)] == [
        False,
        True,
        False,
        False,
        True,
        True,
    ]
    assert WHOLE[4].quiet and WHOLE[4].key == b"k"
    assert WHOLE[-2].line == b"CLIENT_ERROR bad data chunk\r\n" and WHOLE[13].line == b"ERROR\r\n"
    assert b"250" in WHOLE[14].line and b"control" in WHOLE[15].line


def test_one_byte_at_a_time_gives_the_same():
    assert commands([bytes([byte]) for byte in STREAM]) == WHOLE


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_cut_gives_the_same(cuts):
    edges = [0, *sorted(cuts), len(STREAM)]
    assert commands([STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]) == WHOLE


@given(st.binary(max_size=400))
def test_any_bytes_are_taken_without_an_error_and_the_place_is_found_again(junk):
    parser = mc.Requests(max_line_bytes=100)
    for _ in parser.feed(junk):
        pass
    if parser._block is None:
        last = list(parser.feed(b"\r\nversion\r\n"))[-1]
        assert last == mc.ServerCommand("version") or parser._block is not None


def test_a_line_over_the_limit_is_refused_once_and_holds_no_memory():
    parser = mc.Requests(max_line_bytes=1000)
    out = []
    for _ in range(100):
        out += parser.feed(b"get " + b"k" * 1000)
        assert parser.buffered <= 2100
    out += parser.feed(b"\r\nget a\r\n")
    assert [type(c) for c in out] == [mc.MalformedCommand, mc.Get] and b"too long" in out[0].line


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
def test_what_is_wrong_is_a_client_error_that_says_why(line, word):
    bad, after = list(mc.Requests().feed(line + b"\r\nmn\r\n"))
    assert isinstance(bad, mc.MalformedCommand) and bad.line.startswith(b"CLIENT_ERROR") and word in bad.line
    assert after == mc.Noop()


def test_meta_flags_come_back_as_asked():
    key = base64.b64encode("sale:åke:1".encode())
    request = next(iter(mc.Requests().feed(b"mg " + key + b" b k f s t c v O77\r\n")))
    assert request.key.decode() == "sale:åke:1"
    assert mc.meta_value(request, 5, b"hey", 9) == b"VA 3 b k" + key + b" f5 s3 t-1 c9 O77\r\nhey\r\n"
    assert mc.meta_miss(request) == b"EN b k" + key + b" O77\r\n"


def test_frames_survive_any_cut_and_skip_unknown_fields():
    wire = b"".join(
        frames.encode(m)
        for m in (
            frames.Hello(1, "b", "broker"),
            frames.Call([frames.PartRequest("q/0", 0, "c", "record", "k", 3, 99)]),
            frames.Result("q/0", 0, "ok", b"x" * 1000, 4),
            frames.Pong(3),
        )
    )
    whole = list(frames.Frames().feed(wire))
    parser = frames.Frames()
    assert [m for byte in wire for m in parser.feed(bytes([byte]))] == whole and len(whole) == 4
    newer = msgspec.msgpack.encode({"type": "pong", "n": 1, "brand_new": [1, 2]})
    assert list(frames.Frames().feed(len(newer).to_bytes(4, "big") + newer)) == [frames.Pong(1)]


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"\xff\xff\xff\xff", "over the limit"),
        (b"\0\0\0\x01\x01", "not a message"),
        (b"\0\0\0\x02\x81\xa4", "not a message"),
    ],
)
def test_garbled_frames_are_told(data, word):
    with pytest.raises(frames.FrameError, match=word):
        list(frames.Frames().feed(data))


def test_an_unknown_version_is_refused_by_name():
    with pytest.raises(frames.HelloError, match="version 9"):
        frames.check_hello(frames.Hello(9, "x"))
    with pytest.raises(frames.HelloError, match="must be hello"):
        frames.check_hello(frames.Pong(1))
    frames.check_hello(frames.Hello(frames.VERSION, "x"))


def test_http_requests_pipelined_in_pieces_and_errors():
    side = ServerSide(max_body_bytes=10)
    out = []
    for byte in b"GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\n":
        out += side.feed(bytes([byte]))
    assert (out[0].path, out[0].query) == ("/a", "x=1")
    assert side.respond(Response(200, b"hi")).startswith(b"HTTP/1.1 200")
    [too_long] = side.feed(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + b"x" * 20)
    assert too_long.status == 413 and side.closing
    [bad] = ServerSide().feed(b"NOT HTTP\r\n\r\n")
    assert bad.status == 400


def _framed(message):
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(4, "big") + body


def test_a_message_of_a_newer_side_is_skipped_and_one_that_is_wrong_is_not():
    """Old beside new: an unknown type and unknown fields cost nothing; a known type that is spoilt ends the
    wire.
    """
    decoder = frames.Frames(greeted=False)
    got = list(
        decoder.feed(
            frames.encode(frames.Hello(frames.VERSION, "b0", "broker"))
            + _framed({"type": "later", "what": [1, 2]})
            + _framed({"type": "ping", "n": 3, "mood": "new"})
        )
    )
    assert got[1:] == [frames.Ping(3)] and decoder.skipped == 1
    with pytest.raises(frames.FrameError, match="not a message"):
        list(decoder.feed(_framed({"type": "ping", "n": "three"})))
    with pytest.raises(frames.FrameError):
        list(frames.Frames(greeted=False).feed(_framed({"type": "later"})))
