"""Frames between a broker and the platform's nodes: a sans-I/O codec with limits on every length.

A frame is a length (four bytes, most significant first), a frame type (one byte, an ASCII letter) and a body;
the length covers type and body. The frame types, the status codes and the names of a part's fields are mapped
to this project's terms here, and nowhere else.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from heathwell.codec.errors import CodecError

# The frame types of the platform's protocol. A probe and its answer have the same one.
CALL = b"D"
CANCEL = b"K"
PROBE = b"I"
ANSWER = b"O"
FRAME_REJECTED = b"Z"

# Fields of a part's line in a call, as the platform's protocol names them.
TIMEOUT_MS_FIELD = "d"
IDEMPOTENCY_KEY_FIELD = "k"
ANSWERED_SHARDS_FIELD = "from"
COMPLETE_FIELD = "whole"
# The field of a load report that is read.
IN_FLIGHT_FIELD = b"inflight"

MAX_LINE_BYTES = 512
# Limit of a frame received from a node. It holds one line and one value; an incomplete one is held.
MAX_FRAME_BYTES = 4_096
MAX_REASON_BYTES = 200
LENGTH_BYTES = 4
ANSWER_LINE_ITEMS = 4  # part id, status, score, load report
PART_ID = re.compile(rb"[!-~]{1,160}")
SCORE = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{1,20})?")
VALUE = re.compile(rb"[0-9a-f]{16}")
_LENGTH = struct.Struct(">I")


class PartStatus(IntEnum):
    """How a node ended a part; the values are those of the platform's protocol."""

    OK = 200
    ERROR = 500
    REJECTED = 503


STATUS_OF_CODE = {str(status.value).encode(): status for status in PartStatus}
PROBE_RESULT_OF_CODE = {b"200": True, b"500": False}


class NodeFrameError(CodecError):
    """Received bytes that violate the protocol.

    ``part_id`` is the id of the part that they answer, or None if it cannot be read.
    """

    def __init__(self, text: str, part_id: str | None = None) -> None:
        super().__init__(text)
        self.part_id = part_id


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """The end of one part.

    ``score`` and ``data`` are set where the status is OK; ``inflight`` is the node's number of parts in
    flight, None where its load report does not state it.
    """

    id: str
    status: PartStatus
    score: float
    inflight: float | None
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """The result of a probe; results arrive in the order of the probes."""

    ok: bool


@dataclass(frozen=True, slots=True)
class FrameRejected:
    """The node could not process a frame, and closes the connection."""

    reason: str


Message = PartAnswer | ProbeAnswer | FrameRejected


def encode_frame(frame_type: bytes, body: bytes = b"") -> bytes:
    """Return one frame."""
    return _LENGTH.pack(len(frame_type) + len(body)) + frame_type + body


def encode_part(
    part_id: str,
    shard: int,
    timeout_ms: int,
    text: bytes,
    *,
    key: str = "",
    answered: tuple[int, ...] = (),
    complete: bool | None = None,
) -> bytes:
    """Return one part of a call.

    For parts of a second step ``answered`` are the shards that answered the first step, and ``complete``
    is whether its result was complete; ``complete`` is None for parts of the first step.
    """
    fields = [f"{TIMEOUT_MS_FIELD}={timeout_ms}"]
    if key:
        fields.append(f"{IDEMPOTENCY_KEY_FIELD}={key}")
    if complete is not None:
        fields.append(f"{ANSWERED_SHARDS_FIELD}=" + "+".join(map(str, answered)))
        fields.append(f"{COMPLETE_FIELD}={int(complete)}")
    return f"{part_id} {shard} {','.join(fields)} {len(text)}\n".encode() + text


def encode_call(parts: list[bytes]) -> bytes:
    """Return a call of parts made by :func:`encode_part`."""
    return encode_frame(CALL, b"".join(parts))


def decode_in_flight(report: bytes) -> float | None:
    """Return the parts in flight of a load report; None where it does not state a valid number."""
    for item in report.split(b","):
        name, _, value = item.partition(b"=")
        if name == IN_FLIGHT_FIELD and SCORE.fullmatch(value):
            return max(float(value), 0.0)
    return None


def decode_answer(body: bytes) -> PartAnswer:
    """Decode the body of an answer.

    Raises :class:`NodeFrameError`, with the part's id where the line contains it.
    """
    line, newline, value = body.partition(b"\n")
    items = line.split(b" ")
    part_id = _part_id_of(items[0])
    if not newline or len(line) > MAX_LINE_BYTES:
        raise NodeFrameError(f"answer: expected a line of at most {MAX_LINE_BYTES} bytes", part_id)
    if len(items) != ANSWER_LINE_ITEMS or part_id is None:
        raise NodeFrameError(
            f"answer: expected {ANSWER_LINE_ITEMS} items that begin with a part id, "
            f"got {len(items)} items and the id {items[0][:32]!r}",
            part_id,
        )
    _, code, score, report = items
    status = STATUS_OF_CODE.get(code)
    if status is None:
        raise NodeFrameError(f"answer: unknown status {code[:16]!r}", part_id)
    in_flight = decode_in_flight(report)
    if status != PartStatus.OK:
        return PartAnswer(part_id, status, 0.0, in_flight, b"")
    if not SCORE.fullmatch(score):
        raise NodeFrameError(f"answer: expected a number as the score, got {score[:32]!r}", part_id)
    if not VALUE.fullmatch(value):
        raise NodeFrameError(
            f"answer: expected a value of 16 hexadecimal digits, got {len(value)} bytes {value[:32]!r}",
            part_id,
        )
    return PartAnswer(part_id, status, float(score), in_flight, value)


def _part_id_of(item: bytes) -> str | None:
    """Return an item as a part id, or None if it is not a valid one."""
    return item.decode("latin-1") if PART_ID.fullmatch(item) else None


class FrameReader:
    """Decodes the frames that a node sends over one connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that ``data`` completes.

        Raises :class:`NodeFrameError`, after which no further frame can be read from the connection.
        """
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= LENGTH_BYTES:
                (length,) = _LENGTH.unpack_from(buffer, start)
                if not 1 <= length <= MAX_FRAME_BYTES:
                    raise NodeFrameError(
                        f"expected a frame of 1 to {MAX_FRAME_BYTES} bytes, got a length of {length}",
                        self._part_id_at(start),
                    )
                body_start = start + LENGTH_BYTES + 1
                end = start + LENGTH_BYTES + length
                if len(buffer) < end:
                    break
                frame_type = bytes(buffer[body_start - 1 : body_start])
                body = bytes(buffer[body_start:end])
                start = end
                yield self._decode(frame_type, body)
        finally:
            del buffer[:start]

    def _part_id_at(self, start: int) -> str | None:
        """Return the part id of the answer that begins at ``start``, as far as it has been received."""
        body_start = start + LENGTH_BYTES + 1
        if self._buffer[body_start - 1 : body_start] != ANSWER:
            return None
        return _part_id_of(bytes(self._buffer[body_start : body_start + MAX_LINE_BYTES]).split(b" ", 1)[0])

    @staticmethod
    def _decode(frame_type: bytes, body: bytes) -> Message:
        if frame_type == ANSWER:
            return decode_answer(body)
        if frame_type == PROBE:
            if body not in PROBE_RESULT_OF_CODE:
                raise NodeFrameError(f"probe answer: expected status 200 or 500, got {body[:16]!r}")
            return ProbeAnswer(PROBE_RESULT_OF_CODE[body])
        if frame_type == FRAME_REJECTED:
            return FrameRejected(body[:MAX_REASON_BYTES].decode("latin-1"))
        raise NodeFrameError(f"unknown frame type {frame_type!r}")
