"""The codec of the platform's frames: any cut, every length bounded, every spoilt answer told."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec import nodeframes as nf
from heathwell.testing.standins.platform_frames import decode_call

ID = st.from_regex(r"[0-9a-f]{16}\.[0-9]{1,2}(\.fetch)?", fullmatch=True)
VALUE = st.from_regex(r"[0-9a-f]{16}", fullmatch=True)


def answer(part, end, score, report, value):
    return nf.encode_frame(nf.ANSWER, f"{part} {end} {score} {report}\n{value}".encode())


@given(st.lists(st.tuples(ID, st.integers(0, 2**31), VALUE), min_size=1, max_size=6), st.data())
def test_any_cut_gives_the_same_answers(answers, data):
    stream = b"".join(
        answer(part, 200, score, "inflight=7,util=0.61", value) for part, score, value in answers
    )
    stream += nf.encode_frame(nf.PROBE, b"200") + nf.encode_frame(nf.FRAME_REJECTED, b"why")
    incoming, got = nf.FrameReader(), []
    while stream:
        cut = data.draw(st.integers(1, len(stream)))
        got += incoming.feed(stream[:cut])
        stream = stream[cut:]
    assert got == [
        nf.PartAnswer(part, 200, float(score), 7.0, value.encode()) for part, score, value in answers
    ] + [nf.ProbeAnswer(True), nf.FrameRejected("why")]
    assert not incoming.buffered_bytes


@given(
    ID, st.integers(0, 99), st.binary(max_size=200), st.lists(st.integers(0, 99), max_size=4), st.booleans()
)
def test_a_call_is_read_as_it_was_made(part, shard, text, answered, whole):
    line = nf.encode_part(part, shard, 240, text, key="5c0f", answered=tuple(answered), complete=whole)
    (first, second) = decode_call(line + nf.encode_part("b.1", 1, 5, b""))
    assert (first.id, first.shard, first.text) == (part, shard, text)
    assert first.fields == {
        "d": "240",
        "k": "5c0f",
        "from": "+".join(map(str, answered)),
        "whole": str(int(whole)),
    }
    assert (second.id, second.fields, second.text) == ("b.1", {"d": "5"}, b"")


@pytest.mark.parametrize(
    "data",
    [
        nf.encode_frame(b"X", b"q.1 200 5 -\n0123456789abcdef"),
        nf.encode_frame(nf.ANSWER, b"q.1 200 5 - 0123456789abcdef"),
        nf.encode_frame(nf.ANSWER, b"q.1 777 5 -\n0123456789abcdef"),
        nf.encode_frame(nf.ANSWER, b"q.1 200 x -\n0123456789abcdef"),
        nf.encode_frame(nf.ANSWER, b"q.1 200 5 -\n0123456789abcde"),
        nf.encode_frame(nf.ANSWER, b"q.1 200 5 -\n0123456789abcdef0"),
        nf.encode_frame(nf.ANSWER, b"q.1 200 5 -\n0123456789abcdeg"),
        nf.encode_frame(nf.ANSWER, b"q.1 200\n0123456789abcdef"),
        nf.encode_frame(nf.ANSWER, b"q.1 200 5 -" + b"a" * 2000 + b"\n0123456789abcdef"),
        nf.encode_frame(nf.ANSWER, b"\x80\n"),
        nf.encode_frame(nf.PROBE, b"what"),
        b"\xb2\xd0\x5e\x00" + b"Oq.1 200 5 -\n",
        b"\0\0\0\0",
        b"\xff\xff\xff\xffO",
    ],
)
def test_spoilt_answers_are_told(data):
    with pytest.raises(nf.NodeFrameError):
        list(nf.FrameReader().feed(data))


def test_a_spoilt_answer_names_its_part_where_it_can():
    with pytest.raises(nf.NodeFrameError) as caught:
        list(nf.FrameReader().feed(b"\xb2\xd0\x5e\x00" + b"Oq.1 200 5 -\n"))
    assert caught.value.part_id == "q.1"


@pytest.mark.parametrize(
    ("report", "inflight"),
    [
        ("-", None),
        ("inflight=7,util=0.61", 7.0),
        ("util=0.6", None),
        ("inflight=lots", None),
        ("=,=,", None),
    ],
)
def test_a_report_that_cant_be_read_costs_its_answer_nothing(report, inflight):
    (got,) = nf.FrameReader().feed(answer("q.1", 200, 5, report, "0123456789abcdef"))
    assert got.inflight == inflight and got.data == b"0123456789abcdef"


@given(st.binary(max_size=300))
def test_noise_never_does_more_than_fail(data):
    incoming = nf.FrameReader()
    try:
        list(incoming.feed(data))
    except nf.NodeFrameError:
        return
    assert incoming.buffered_bytes <= nf.MAX_FRAME_BYTES + 4
