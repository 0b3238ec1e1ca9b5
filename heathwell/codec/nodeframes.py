"""Frames between a broker and the platform's nodes, without I/O: any cut, every length bounded.

A frame is a length (four bytes, most significant first), one letter and the rest; the length covers letter
and rest.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

CALL, GIVE_UP, PROBE, ANSWER, UNUSABLE = b"D", b"K", b"I", b"O", b"Z"
FRAME_MOST = 16_384  # of what nodes send: a line and one value; a longer one is spoilt
LINE_MOST = 512
SERVED, ERROR, TURNED_AWAY = 200, 500, 503
ENDS = {b"200": SERVED, b"500": ERROR, b"503": TURNED_AWAY}
ID = re.compile(rb"[!-~]{1,160}")
SCORE = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{1,20})?")
VALUE = re.compile(rb"[0-9a-f]{16}")
_LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """Bytes that no sound node sends; ``part`` is the id of the part they answer, where it can be told."""

    def __init__(self, text: str, part: str = "") -> None:
        super().__init__(text)
        self.part = part


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """One part's end. ``score`` counts where it was served, ``inflight`` where the node said it readably."""

    id: str
    end: int
    score: float
    inflight: float | None
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """A probe's end, in the order of the probes."""

    ok: bool


@dataclass(frozen=True, slots=True)
class Unusable:
    """The node could not use a frame, and closes."""

    words: str


Message = PartAnswer | ProbeAnswer | Unusable


def frame(letter: bytes, rest: bytes = b"") -> bytes:
    """One frame."""
    return _LENGTH.pack(1 + len(rest)) + letter + rest


def part_call(
    part: str,
    shard: int,
    wait_ms: int,
    text: bytes,
    *,
    key: str = "",
    answered: tuple[int, ...] = (),
    whole: bool | None = None,
) -> bytes:
    """One part within a call; ``answered`` and ``whole`` are the first step's, for parts of a second."""
    items = [f"d={wait_ms}"]
    if key:
        items.append(f"k={key}")
    if whole is not None:
        items += ["from=" + "+".join(map(str, answered)), f"whole={int(whole)}"]
    return f"{part} {shard} {','.join(items)} {len(text)}\n".encode() + text


def call(parts: list[bytes]) -> bytes:
    """A call of parts made by :func:`part_call`."""
    return frame(CALL, b"".join(parts))


def read_report(words: bytes) -> float | None:
    """``inflight`` of a load report; None where it is not there or can't be read."""
    for item in words.split(b","):
        name, _, value = item.partition(b"=")
        if name == b"inflight" and SCORE.fullmatch(value):
            return max(float(value), 0.0)
    return None


def read_answer(rest: bytes) -> PartAnswer:
    """The rest of an answer's frame; raises :class:`FrameError`, naming the part where the line does."""
    line, mark, value = rest.partition(b"\n")
    words = line.split(b" ")
    part = words[0].decode("latin-1") if ID.fullmatch(words[0]) else ""
    if not mark or len(line) > LINE_MOST:
        raise FrameError("an answer's line does not end", part)
    if len(words) != 4 or not part:
        raise FrameError(f"an answer's line of {len(words)} words", part)
    end = ENDS.get(words[1])
    if end is None:
        raise FrameError(f"an answer of unknown end {words[1][:16]!r}", part)
    score = 0.0
    if end == SERVED:
        if not SCORE.fullmatch(words[2]):
            raise FrameError(f"a score that is no number: {words[2][:32]!r}", part)
        if not VALUE.fullmatch(value):
            raise FrameError(f"a value of {len(value)} bytes that no node gives", part)
        score = float(words[2])
    return PartAnswer(part, end, score, read_report(words[3]), value if end == SERVED else b"")


class Incoming:
    """Bytes of one connection to messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def left(self) -> int:
        """Bytes of a frame that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Messages that are whole; raises :class:`FrameError`, after which the connection is of no use."""
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= 4:
                (length,) = _LENGTH.unpack_from(buffer, start)
                if not 1 <= length <= FRAME_MOST:
                    raise FrameError(f"a frame of {length} bytes", self._named(start))
                if len(buffer) - start - 4 < length:
                    break
                letter, rest = (
                    bytes(buffer[start + 4 : start + 5]),
                    bytes(buffer[start + 5 : start + 4 + length]),
                )
                start += 4 + length
                yield self._read(letter, rest)
        finally:
            del buffer[:start]

    def _named(self, start: int) -> str:
        """The part that a frame too long to wait for is of, if its line is at hand."""
        line = bytes(self._buffer[start + 5 : start + 5 + LINE_MOST]).split(b" ", 1)[0]
        return (
            line.decode("latin-1")
            if self._buffer[start + 4 : start + 5] == ANSWER and ID.fullmatch(line)
            else ""
        )

    @staticmethod
    def _read(letter: bytes, rest: bytes) -> Message:
        if letter == ANSWER:
            return read_answer(rest)
        if letter == PROBE:
            if rest not in (b"200", b"500"):
                raise FrameError("a probe's answer that can't be read")
            return ProbeAnswer(rest == b"200")
        if letter == UNUSABLE:
            return Unusable(rest[:200].decode("latin-1"))
        raise FrameError(f"a frame of unknown letter {letter!r}")
