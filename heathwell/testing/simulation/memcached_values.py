"""The values of a classic memcached get, as simulated clients receive them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from heathwell.eventloop import Coro, Stream, StreamBrokenError

LINE_END: Final = b"\r\n"


class CoverageFields(msgspec.Struct, frozen=True):
    """What a body states about its coverage; ``parts`` are those answered and those requested."""

    parts: tuple[int, int]


class ReplyBody(msgspec.Struct, frozen=True, rename={"complete": "whole"}):
    """The fields of a value's body that clients evaluate, see ``docs/clients-memcached.md``.

    ``coverage`` is None where the value stands for an answer that is missing. ``age_ms`` is None if unknown.
    """

    complete: bool
    coverage: CoverageFields | None = None
    refused: bool = False
    failed: bool = False
    retry_after_ms: int = 0
    age_ms: int | None = None
    stale: bool = False
    behind: tuple[int, ...] = ()
    token: str = ""

    @property
    def is_answer(self) -> bool:
        """Return whether the body holds an answer, complete or partial."""
        return self.coverage is not None


@dataclass(frozen=True, slots=True)
class MemcachedValue:
    """One value of a get."""

    key: str
    flags: int
    body: ReplyBody


class _ReplyReader:
    """Reads lines and data blocks from a stream. Raise :class:`StreamBrokenError` at its end."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._received = b""

    def line(self) -> Coro[bytes]:
        """Return the next line without its end."""
        while LINE_END not in self._received:
            yield from self._receive()
        line, self._received = self._received.split(LINE_END, 1)
        return line

    def block(self, size_bytes: int) -> Coro[bytes]:
        """Return the next data block, whose line end is dropped."""
        while len(self._received) < size_bytes + len(LINE_END):
            yield from self._receive()
        block = self._received[:size_bytes]
        self._received = self._received[size_bytes + len(LINE_END) :]
        return block

    def _receive(self) -> Coro[None]:
        received = yield from self._stream.read()
        if not received:
            raise StreamBrokenError("end")
        self._received += received


def read_values(stream: Stream) -> Coro[list[MemcachedValue]]:
    """Return the values of one classic get, read to its ``END`` or error line.

    Raise :class:`StreamBrokenError` where the stream ends before it.
    """
    reader = _ReplyReader(stream)
    values: list[MemcachedValue] = []
    while True:
        line = yield from reader.line()
        if not line.startswith(b"VALUE "):
            return values
        _, key, flags, size_bytes = line.split()[:4]
        block = yield from reader.block(int(size_bytes))
        values.append(MemcachedValue(key.decode(), int(flags), msgspec.json.decode(block, type=ReplyBody)))
