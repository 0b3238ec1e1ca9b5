"""What is remembered of clients in bounded memory: decaying counts, and what was asked lately.

Counts are a count-min sketch (Cormode, Muthukrishnan 2005) under forward decay (Cormode and others 2009): it
never tells less than was counted, and more only for what collides. Hashes are xxh64.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import Generic, TypeVar

import xxhash

V = TypeVar("V")
HALVINGS_MOST = 60


def hashed(*names: str) -> int:
    """A 64-bit hash of some names together."""
    return xxhash.xxh64_intdigest("\x1f".join(names).encode("utf-8", "replace"))


class Sketch:
    """Decaying counts of hashes: ``width`` counters in each of ``depth`` rows, halved each
    ``half_life_us``.
    """

    def __init__(self, half_life_us: int, width: int = 4096, depth: int = 4) -> None:
        self.half_life, self.width = half_life_us, width
        self._rows = [array("d", bytes(8 * width)) for _ in range(depth)]
        self._landmark = 0

    def _places(self, key: int) -> Iterator[int]:
        # Two halves of one hash make as many as are needed (Kirsch, Mitzenmacher 2006).
        first, second = key & 0xFFFFFFFF, key >> 32 | 1
        for row in range(len(self._rows)):
            yield (first + row * second) % self.width

    def _weight(self, now: int) -> float:
        halvings = (now - self._landmark) / self.half_life
        if halvings <= HALVINGS_MOST:
            return float(2.0**halvings)
        # Kept in range by beginning anew from here; after so long a rest nothing is left of what was.
        shrink = 2.0**-halvings if halvings < 1000 else 0.0
        for row in self._rows:
            for place in range(self.width):
                row[place] *= shrink
        self._landmark = now
        return 1.0

    def add(self, key: int, now: int, amount: float = 1.0) -> None:
        """Count a hash; only the least of its counters must grow (conservative update)."""
        weight = self._weight(now)
        places = list(zip(self._rows, self._places(key), strict=True))
        least = min(row[place] for row, place in places) + amount * weight
        for row, place in places:
            row[place] = max(row[place], least)

    def count(self, key: int, now: int) -> float:
        """At least what was counted of it, as it has decayed."""
        weight = self._weight(now)
        return min(row[place] for row, place in zip(self._rows, self._places(key), strict=True)) / weight


class Recent(Generic[V]):
    """Values by hash for between ``span_us`` and twice that, ``most`` of them in each half at the most."""

    def __init__(self, span_us: int, most: int) -> None:
        self.span, self.most = span_us, most
        self._new: dict[int, V] = {}
        self._old: dict[int, V] = {}
        self._turned = 0
        self.forgotten = 0

    def _turn(self, now: int) -> None:
        if now - self._turned >= self.span:
            self._old = self._new if now - self._turned < 2 * self.span else {}
            self._new, self._turned = {}, now

    def put(self, key: int, value: V, now: int) -> None:
        """Remember; when the half is full what is new is not, and counted as forgotten."""
        self._turn(now)
        if len(self._new) >= self.most and key not in self._new:
            self.forgotten += 1
            return
        self._new[key] = value

    def get(self, key: int, now: int) -> V | None:
        """What was remembered."""
        self._turn(now)
        found = self._new.get(key)
        return found if found is not None else self._old.get(key)

    def __len__(self) -> int:
        return len(self._new) + len(self._old)
