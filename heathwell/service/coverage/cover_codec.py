"""A compact encoding of covers: each set is encoded as runs or as bits, whichever is shorter.

A cover of 500 parts takes at most 150 bytes. All numbers are varints.
"""

from __future__ import annotations

from typing import NamedTuple

from heathwell.codec import varint
from heathwell.service.coverage.cover import Cover
from heathwell.service.coverage.errors import CoverError
from heathwell.service.coverage.part_set import MAXIMUM_PARTS

MAGIC = 0xC1
FORM_RUNS = 0
FORM_BITS = 1
NO_DATA = 0  # Encodes a missing source time; other source times are encoded plus 1.


class _DecodedSet(NamedTuple):
    bits: int
    end: int  # The offset after the set.


def encode_cover(cover: Cover) -> bytes:
    """Return the encoded form; raise :class:`CoverError` if the source time is negative."""
    stamp = NO_DATA if cover.oldest_source_us is None else cover.oldest_source_us + 1
    if stamp < 0:
        raise CoverError(f"source time {cover.oldest_source_us} is negative")
    return bytes([MAGIC]) + varint.encode(stamp) + _encode_set(cover.requested) + _encode_set(cover.answered)


def decode_cover(data: bytes) -> Cover:
    """Return the cover of an encoded form; raise :class:`CoverError`."""
    if not data or data[0] != MAGIC:
        raise CoverError(f"expected first byte {MAGIC:#x}, got {data[:1].hex() or 'no data'}")
    try:
        stamp, offset = varint.decode(data, 1)
        requested, offset = _decode_set(data, offset)
        answered, offset = _decode_set(data, offset)
    except ValueError as problem:
        raise CoverError(str(problem)) from None
    if offset != len(data):
        raise CoverError(f"{len(data) - offset} bytes after the end of the cover")
    return Cover(requested, answered, None if stamp == NO_DATA else stamp - 1)


def _encode_set(bits: int) -> bytes:
    raw = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    as_bits = bytes([FORM_BITS]) + varint.encode(len(raw)) + raw
    as_runs = _encode_runs(bits)
    return as_runs if len(as_runs) < len(as_bits) else as_bits


def _encode_runs(bits: int) -> bytes:
    """Return the encoding of a set as alternating lengths of gaps and runs."""
    runs = bytearray()
    run_count = 0
    while bits:
        gap = (bits & -bits).bit_length() - 1
        bits >>= gap
        length = (~bits & (bits + 1)).bit_length() - 1
        bits >>= length
        runs += varint.encode(gap) + varint.encode(length)
        run_count += 1
    return bytes([FORM_RUNS]) + varint.encode(run_count) + bytes(runs)


def _decode_set(data: bytes, offset: int) -> _DecodedSet:
    if offset >= len(data):
        raise CoverError("cover is truncated before a set")
    form = data[offset]
    count, offset = varint.decode(data, offset + 1)
    if form == FORM_BITS:
        raw = data[offset : offset + count]
        if len(raw) < count or count * 8 > MAXIMUM_PARTS + 7:
            raise CoverError(f"bit set of {count} bytes is truncated or too long")
        return _DecodedSet(int.from_bytes(raw, "little"), offset + count)
    if form != FORM_RUNS:
        raise CoverError(f"unknown form of set {form}")
    if count > MAXIMUM_PARTS:
        raise CoverError(f"set of {count} runs, at most {MAXIMUM_PARTS} expected")
    return _decode_runs(data, offset, count)


def _decode_runs(data: bytes, offset: int, run_count: int) -> _DecodedSet:
    bits = 0
    part = 0
    for _ in range(run_count):
        gap, offset = varint.decode(data, offset)
        length, offset = varint.decode(data, offset)
        part += gap
        if part + length > MAXIMUM_PARTS:
            raise CoverError(f"part number {part + length - 1} is not in 0 to {MAXIMUM_PARTS - 1}")
        bits |= ((1 << length) - 1) << part
        part += length
    return _DecodedSet(bits, offset)
