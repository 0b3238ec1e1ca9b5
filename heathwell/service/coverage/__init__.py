"""Which parts an answer rests on, as an algebra: merged over steps, regions and tree levels without counting
twice.

A cover is two sets of part numbers, those asked for and those that are in, held as bits of an integer.
Merging is union in both, so it is associative, commutative and idempotent, and what is in never exceeds what
was asked. ``oldest_us`` is the source time of the oldest data in it, merged by the least.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heathwell.codec import varint

PARTS_MOST = 4096
MAGIC = 0xC1
RUNS, BITS = 0, 1


class CoverError(ValueError):
    """Bytes that are not an encoded cover, or a part number out of range."""


@dataclass(frozen=True, slots=True)
class Cover:
    """Sets of part numbers: ``asked`` and ``got`` are bit sets; ``oldest_us`` is None where nothing is in."""

    asked: int = 0
    got: int = 0
    oldest_us: int | None = None

    def __post_init__(self) -> None:
        if self.asked < 0 or self.asked.bit_length() > PARTS_MOST:
            raise CoverError(f"a part number over {PARTS_MOST - 1}")
        if self.got & ~self.asked:
            raise CoverError("a part is in that was not asked for")

    @classmethod
    def of(cls, asked: Iterable[int], got: Iterable[int] = (), oldest_us: int | None = None) -> Cover:
        """A cover from part numbers; raises :class:`CoverError`."""
        return cls(bits(asked), bits(got), oldest_us)

    def __or__(self, other: Cover) -> Cover:
        """Both together; a part that is in both counts once."""
        known = [stamp for stamp in (self.oldest_us, other.oldest_us) if stamp is not None]
        return Cover(self.asked | other.asked, self.got | other.got, min(known, default=None))

    def missing(self) -> list[int]:
        """Part numbers asked for and not in."""
        return numbers(self.asked & ~self.got)

    def count(self) -> tuple[int, int]:
        """How many are in, and how many were asked for."""
        return self.got.bit_count(), self.asked.bit_count()

    def weight(self, weights: Mapping[int, float] | None = None) -> float:
        """The share that is in: of the parts' number, or of their weights."""
        if weights is None:
            got, asked = self.count()
            return got / asked if asked else 0.0
        whole = sum(weights[number] for number in numbers(self.asked))
        return sum(weights[number] for number in numbers(self.got)) / whole if whole else 0.0


def bits(parts: Iterable[int]) -> int:
    """A bit set of part numbers."""
    out = 0
    for number in parts:
        if not 0 <= number < PARTS_MOST:
            raise CoverError(f"part number {number} is not in 0 to {PARTS_MOST - 1}")
        out |= 1 << number
    return out


def numbers(mask: int) -> list[int]:
    """The part numbers of a bit set, in order."""
    out = []
    while mask:
        low = mask & -mask
        out.append(low.bit_length() - 1)
        mask ^= low
    return out


def encode(cover: Cover) -> bytes:
    """A compact form: each set as runs or as bits, whichever is shorter. 500 parts take 150 bytes at most."""
    stamp = 0 if cover.oldest_us is None else cover.oldest_us + 1
    if stamp < 0:
        raise CoverError("a source time before its zero")
    return bytes([MAGIC]) + varint.put(stamp) + _set(cover.asked) + _set(cover.got)


def decode(data: bytes) -> Cover:
    """The cover of an encoded form; raises :class:`CoverError`."""
    if not data or data[0] != MAGIC:
        raise CoverError("not an encoded cover")
    try:
        stamp, at = varint.take(data, 1)
        asked, at = _read_set(data, at)
        got, at = _read_set(data, at)
    except ValueError as problem:
        raise CoverError(str(problem)) from None
    if at != len(data):
        raise CoverError("bytes after the end of a cover")
    return Cover(asked, got, stamp - 1 if stamp else None)


def _set(mask: int) -> bytes:
    raw = mask.to_bytes((mask.bit_length() + 7) // 8, "little")
    plain = bytes([BITS]) + varint.put(len(raw)) + raw
    runs, edges, at = bytearray(), 0, 0
    while mask >> at:
        rest = mask >> at
        gap = (rest & -rest).bit_length() - 1
        length = (~(rest >> gap) & ((rest >> gap) + 1)).bit_length() - 1
        runs += varint.put(gap) + varint.put(length)
        at += gap + length
        edges += 1
    short = bytes([RUNS]) + varint.put(edges) + bytes(runs)
    return short if len(short) < len(plain) else plain


def _read_set(data: bytes, at: int) -> tuple[int, int]:
    if at >= len(data):
        raise CoverError("a cover that ends too early")
    form = data[at]
    count, at = varint.take(data, at + 1)
    if form == BITS:
        raw = data[at : at + count]
        if len(raw) < count or count * 8 > PARTS_MOST + 7:
            raise CoverError("a cover that ends too early")
        return int.from_bytes(raw, "little"), at + count
    if form != RUNS or count > PARTS_MOST:
        raise CoverError("an unknown form of set")
    mask = place = 0
    for _ in range(count):
        gap, at = varint.take(data, at)
        length, at = varint.take(data, at)
        place += gap
        if place + length > PARTS_MOST:
            raise CoverError(f"a part number over {PARTS_MOST - 1}")
        mask |= ((1 << length) - 1) << place
        place += length
    return mask, at
