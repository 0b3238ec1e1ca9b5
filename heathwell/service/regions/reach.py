"""Which queries a broker can answer from the hosts that it may send to now. Pure.

A query of a key space asks for shards in a row from a first one, wherever its key places it, so the share of
first shards from which the class's floor can be met is the share of queries that can be answered, keys being
placed evenly.
"""

from __future__ import annotations

from collections.abc import Sequence


def answerable(within: Sequence[bool], span: int, floor: float) -> float:
    """The share of first shards from which ``span`` shards in a row hold at least ``floor`` of the weight.

    ``within`` says of each shard whether it has a host that may be sent to. Linear in the shards.
    """
    shards = len(within)
    if not shards:
        return 0.0
    span = min(span, shards)
    held = sum(within[:span])
    met = 0
    for first in range(shards):
        met += held / span >= floor - 1e-6
        held += within[(first + span) % shards] - within[first]
    return met / shards
