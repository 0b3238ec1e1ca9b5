"""Sets of part numbers, stored as the bits of an integer."""

from __future__ import annotations

from collections.abc import Iterable

from heathwell.service.coverage.errors import CoverError

MAXIMUM_PARTS = 4096


def to_bits(parts: Iterable[int]) -> int:
    """Return the bit set of part numbers; raise :class:`CoverError`."""
    bits = 0
    for part in parts:
        if not 0 <= part < MAXIMUM_PARTS:
            raise CoverError(f"part number {part} is not in 0 to {MAXIMUM_PARTS - 1}")
        bits |= 1 << part
    return bits


def to_numbers(bits: int) -> list[int]:
    """Return the part numbers of a bit set, in order."""
    numbers = []
    while bits:
        lowest_bit = bits & -bits
        numbers.append(lowest_bit.bit_length() - 1)
        bits ^= lowest_bit
    return numbers
