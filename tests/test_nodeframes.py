"""The codec of the platform's frames: incremental parsing, bounded lengths, an error for malformed frames."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.codec import nodeframes
from heathwell.testing.standins.platform_frames import decode_call

PART_ID = st.from_regex(r"[0-9a-f]{16}\.[0-9]{1,2}(\.fetch)?", fullmatch=True)
VALUE = st.from_regex(r"[0-9a-f]{16}", fullmatch=True)


def encode_answer(part, status, score, report, value):
    """Return the frame of one part's answer."""
    return nodeframes.encode_frame(nodeframes.ANSWER, f"{part} {status} {score} {report}\n{value}".encode())


@given(st.lists(st.tuples(PART_ID, st.integers(0, 2**31), VALUE), min_size=1, max_size=6), st.data())
def test_a_stream_cut_anywhere_gives_the_same_answers(answers, data):
    stream = b"".join(
        encode_answer(part, 200, score, "inflight=7,util=0.61", value) for part, score, value in answers
    )
    stream += nodeframes.encode_frame(nodeframes.PROBE, b"200") + nodeframes.encode_frame(
        nodeframes.FRAME_REJECTED, b"why"
    )
    reader = nodeframes.FrameReader()
    messages = []
    while stream:
        cut = data.draw(st.integers(1, len(stream)))
        messages += reader.feed(stream[:cut])
        stream = stream[cut:]
    assert messages == [
        nodeframes.PartAnswer(part, 200, float(score), 7.0, value.encode()) for part, score, value in answers
    ] + [nodeframes.ProbeAnswer(True), nodeframes.FrameRejected("why")]
    assert not reader.buffered_bytes


@given(
    PART_ID,
    st.integers(0, 99),
    st.binary(max_size=200),
    st.lists(st.integers(0, 99), max_size=4),
    st.booleans(),
)
def test_a_call_is_decoded_as_it_was_encoded(part, shard, text, answered, complete):
    line = nodeframes.encode_part(
        part, shard, 240, text, key="5c0f", answered=tuple(answered), complete=complete
    )
    (first, second) = decode_call(line + nodeframes.encode_part("b.1", 1, 5, b""))
    assert (first.id, first.shard, first.text) == (part, shard, text)
    assert first.fields == {
        "d": "240",
        "k": "5c0f",
        "from": "+".join(map(str, answered)),
        "whole": str(int(complete)),
    }
    assert (second.id, second.fields, second.text) == ("b.1", {"d": "5"}, b"")


@pytest.mark.parametrize(
    "data",
    [
        nodeframes.encode_frame(b"X", b"q.1 200 5 -\n0123456789abcdef"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200 5 - 0123456789abcdef"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 777 5 -\n0123456789abcdef"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200 x -\n0123456789abcdef"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200 5 -\n0123456789abcde"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200 5 -\n0123456789abcdef0"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200 5 -\n0123456789abcdeg"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200\n0123456789abcdef"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"q.1 200 5 -" + b"a" * 2000 + b"\n0123456789abcdef"),
        nodeframes.encode_frame(nodeframes.ANSWER, b"\x80\n"),
        nodeframes.encode_frame(nodeframes.PROBE, b"what"),
        b"\xb2\xd0\x5e\x00" + b"Oq.1 200 5 -\n",
        b"\0\0\0\0",
        b"\xff\xff\xff\xffO",
    ],
)
def test_a_malformed_frame_raises_an_error(data):
    with pytest.raises(nodeframes.NodeFrameError):
        list(nodeframes.FrameReader().feed(data))


def test_the_error_of_a_malformed_answer_has_its_part_id_where_that_is_readable():
    with pytest.raises(nodeframes.NodeFrameError) as caught:
        list(nodeframes.FrameReader().feed(b"\xb2\xd0\x5e\x00" + b"Oq.1 200 5 -\n"))
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
def test_an_answer_with_an_unreadable_load_report_is_accepted(report, inflight):
    (decoded,) = nodeframes.FrameReader().feed(encode_answer("q.1", 200, 5, report, "0123456789abcdef"))
    assert decoded.inflight == inflight and decoded.data == b"0123456789abcdef"


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_nothing_but_a_frame_error(data):
    reader = nodeframes.FrameReader()
    try:
        list(reader.feed(data))
    except nodeframes.NodeFrameError:
        return
    assert reader.buffered_bytes <= nodeframes.MAX_FRAME_BYTES + 4
