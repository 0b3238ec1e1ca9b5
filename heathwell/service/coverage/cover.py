"""Covers: which parts of an answer were requested and which of them were answered.

Covers are merged by the union of both sets, so merging is associative, commutative and idempotent over steps,
regions and tree levels, and the answered parts are always a subset of the requested ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heathwell.service.coverage.errors import CoverError
from heathwell.service.coverage.part_set import MAXIMUM_PARTS, to_bits, to_numbers


@dataclass(frozen=True, slots=True)
class PartCounts:
    """The numbers of answered and requested parts."""

    answered: int
    requested: int


@dataclass(frozen=True, slots=True)
class Cover:
    """Bit sets of requested and answered part numbers, and the source time of the oldest data, if any."""

    requested: int = 0
    answered: int = 0
    oldest_source_us: int | None = None

    def __post_init__(self) -> None:
        if self.requested < 0 or self.requested.bit_length() > MAXIMUM_PARTS:
            raise CoverError(f"a requested part number is not in 0 to {MAXIMUM_PARTS - 1}")
        unrequested = self.answered & ~self.requested
        if unrequested:
            raise CoverError(f"answered parts {to_numbers(unrequested)} were not requested")

    @classmethod
    def of(
        cls, requested: Iterable[int], answered: Iterable[int] = (), oldest_source_us: int | None = None
    ) -> Cover:
        """Return the cover of part numbers; raise :class:`CoverError`."""
        return cls(to_bits(requested), to_bits(answered), oldest_source_us)

    def __or__(self, other: Cover) -> Cover:
        """Return the union; a part that is in both covers counts once."""
        instants_us = [
            instant_us
            for instant_us in (self.oldest_source_us, other.oldest_source_us)
            if instant_us is not None
        ]
        return Cover(
            self.requested | other.requested,
            self.answered | other.answered,
            min(instants_us, default=None),
        )

    def missing(self) -> list[int]:
        """Return the part numbers that were requested but not answered."""
        return to_numbers(self.requested & ~self.answered)

    def count(self) -> PartCounts:
        """Return the numbers of answered and requested parts."""
        return PartCounts(self.answered.bit_count(), self.requested.bit_count())

    def weight(self, weights: Mapping[int, float] | None = None) -> float:
        """Return the fraction of the requested parts that are answered, by number or by weights."""
        if weights is None:
            counts = self.count()
            return counts.answered / counts.requested if counts.requested else 0.0
        total = sum(weights[part] for part in to_numbers(self.requested))
        return sum(weights[part] for part in to_numbers(self.answered)) / total if total else 0.0
