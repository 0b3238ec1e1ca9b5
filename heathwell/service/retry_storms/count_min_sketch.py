"""Decaying counts of many keys in bounded memory.

This is a count-min sketch (Cormode, Muthukrishnan 2005) with forward decay (Cormode and others 2009). It
never underestimates a count, and overestimates only by the counts of colliding keys. Hashes are xxh64.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

import xxhash

MAXIMUM_HALVINGS = 60  # Half-lives since the landmark after which counters are scaled down.
NEGLIGIBLE_HALVINGS = 1000  # 2.0 ** -1000: nothing is left of a count.


def hash_names(*names: str) -> int:
    """Return a 64-bit hash of several names."""
    return xxhash.xxh64_intdigest("\x1f".join(names).encode("utf-8", "replace"))


class CountMinSketch:
    """Decaying counts of hashes: ``width`` counters in each of ``depth`` rows.

    A count is halved each ``half_life_us``.
    """

    def __init__(self, half_life_us: int, width: int = 4096, depth: int = 4) -> None:
        self._half_life_us = half_life_us
        self._width = width
        self._counters = [array("d", bytes(8 * width)) for _ in range(depth)]
        self._landmark_us = 0

    def _columns(self, key: int) -> Iterator[int]:
        """Yield a column for each row, by double hashing of one hash's halves (Kirsch, Mitzenmacher 2006)."""
        first = key & 0xFFFFFFFF
        second = key >> 32 | 1
        for row in range(len(self._counters)):
            yield (first + row * second) % self._width

    def _weight(self, now_us: int) -> float:
        """Return the weight of an event now relative to one at the landmark; may set a new landmark."""
        halvings = (now_us - self._landmark_us) / self._half_life_us
        if halvings <= MAXIMUM_HALVINGS:
            return float(2.0**halvings)
        # Setting a new landmark keeps the counters within the range of a float.
        scale = 2.0**-halvings if halvings < NEGLIGIBLE_HALVINGS else 0.0
        for row in self._counters:
            for column in range(self._width):
                row[column] *= scale
        self._landmark_us = now_us
        return 1.0

    def add(self, key: int, now_us: int, amount: float = 1.0) -> None:
        """Count a hash by conservative update, which only raises the counters below the new count."""
        weight = self._weight(now_us)
        cells = list(zip(self._counters, self._columns(key), strict=True))
        count = min(row[column] for row, column in cells) + amount * weight
        for row, column in cells:
            row[column] = max(row[column], count)

    def count(self, key: int, now_us: int) -> float:
        """Return an upper bound of the decayed count of a hash."""
        weight = self._weight(now_us)
        cells = zip(self._counters, self._columns(key), strict=True)
        return min(row[column] for row, column in cells) / weight
