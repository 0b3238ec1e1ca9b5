"""Decodes and encodes the platform's frames at the side of a node, and generates the results of parts."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from heathwell.codec import nodeframes as nf

SECOND_STEP_SUFFIX: Final = ".fetch"
"""Suffix of the ids of the parts of a second step."""
LOAD_REPORT: Final = "inflight=1,util=0.5"
PART_LINE_ITEMS: Final = 4  # part id, shard, fields, length of the text
SCORE_LIMIT: Final = 1000
RESULT_DIGITS: Final = 16
_LENGTH: Final = struct.Struct(">I")


@dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A frame's type, as a letter, and its body."""

    letter: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class ReceivedPart:
    """A part of a call; ``fields`` are those of its line, under their names on the wire.

    ``number`` counts the parts that one node received, from 0.
    """

    id: str
    shard: int
    fields: dict[str, str]
    text: bytes
    number: int = 0


def take_frames(buffer: bytearray) -> Iterator[ReceivedFrame]:
    """Remove the complete frames at the start of a buffer and yield them."""
    while len(buffer) >= nf.LENGTH_BYTES:
        end = nf.LENGTH_BYTES + _LENGTH.unpack_from(buffer)[0]
        if len(buffer) < end:
            return
        content = bytes(buffer[nf.LENGTH_BYTES : end])
        del buffer[:end]
        yield ReceivedFrame(content[:1], content[1:])


def decode_call(body: bytes) -> Iterator[ReceivedPart]:
    """Yield the parts of a call's body. Raise :class:`ValueError` for a malformed or incomplete one."""
    while body:
        line, line_end, body = body.partition(b"\n")
        items = line.decode().split(" ")
        if not line_end or len(items) != PART_LINE_ITEMS:
            raise ValueError(f"line of a part: expected {PART_LINE_ITEMS} items, got {len(items)} items")
        part_id, shard, fields, text_bytes = items
        length = int(text_bytes)
        if length > len(body):
            raise ValueError(f"part {part_id}: expected a text of {length} bytes, got {len(body)}")
        yield ReceivedPart(
            part_id, int(shard), dict(field.split("=", 1) for field in fields.split(",")), body[:length]
        )
        body = body[length:]


def generate_result(shard: int, text: bytes, step: str = "") -> bytes:
    """Return the result of a shard for a text, 16 hexadecimal digits that are the same at each replica."""
    return hashlib.sha256(b"%d %s " % (shard, step.encode()) + text).hexdigest()[:RESULT_DIGITS].encode()


def encode_answer(
    part: ReceivedPart, status: int = nf.PartStatus.OK, load_report: str = LOAD_REPORT
) -> bytes:
    """Return the frame that answers a part; it contains the result where the status is OK."""
    step = SECOND_STEP_SUFFIX if part.id.endswith(SECOND_STEP_SUFFIX) else ""
    score = int(generate_result(part.shard, part.text), 16) % SCORE_LIMIT
    result = generate_result(part.shard, part.text, step) if status == nf.PartStatus.OK else b""
    line = f"{part.id} {int(status)} {score} {load_report}\n"
    return nf.encode_frame(nf.ANSWER, line.encode() + result)
