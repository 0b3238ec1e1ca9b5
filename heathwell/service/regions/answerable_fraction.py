"""The fraction of queries that a broker can answer from the endpoints that it may use now. Pure.

A query of a key space needs consecutive shards from a first one, which its key selects. With keys placed
evenly, the fraction of first shards from which the minimum fraction of the class can be met is the fraction
of queries that can be answered.
"""

from __future__ import annotations

from collections.abc import Sequence

TOLERANCE = 1e-6  # of the minimum fraction, for rounding


def answerable_fraction(reachable: Sequence[bool], span: int, minimum_fraction: float) -> float:
    """Return the fraction of first shards from which enough of ``span`` consecutive shards are reachable.

    ``reachable`` tells of each shard whether it has a replica that may be used. Linear in the shards.
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
