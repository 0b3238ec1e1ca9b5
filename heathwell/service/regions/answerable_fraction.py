"""Computes the fraction of queries that a broker can answer from the endpoints that it may use now.

A query of a key space needs consecutive shards, the first of which is selected by its key. If keys are spread
evenly, the fraction of queries that can be answered is the fraction of first shards for which the minimum
fraction of the class can be met.
"""

from __future__ import annotations

from collections.abc import Sequence

TOLERANCE = 1e-6  # Allows for rounding of the minimum fraction.


def answerable_fraction(reachable: Sequence[bool], span: int, minimum_fraction: float) -> float:
    """Return the fraction of first shards from which enough of ``span`` consecutive shards are reachable.

    ``reachable`` holds for each shard whether it has a replica that may be used. Takes linear time.
    """
    shard_count = len(reachable)
    if not shard_count:
        return 0.0
    span = min(span, shard_count)
    reachable_in_span = sum(reachable[:span])
    answerable_count = 0
    for first in range(shard_count):
        answerable_count += reachable_in_span / span >= minimum_fraction - TOLERANCE
        reachable_in_span += reachable[(first + span) % shard_count] - reachable[first]
    return answerable_count / shard_count
