"""Generated vectors: every host, checker and test makes the same points of a shard from the collection's
name.
"""

from __future__ import annotations

import functools
from typing import Any

import numpy as np

from heathwell.service.vectors.vector_shard import DISTANCE_BY_SETTING, VectorShard
from heathwell.settings.schema import Collection
from heathwell.testing.standins.data import GOODS, draw

ID_STEP = 10_000_000  # ids of a shard's own points begin at its number times this


@functools.lru_cache(maxsize=256)
def own_points(name: str, size: int, shard: int, points: int, spread: float) -> tuple[Any, list[int]]:
    """Vectors and ids that are a shard's own: points about a centre of its own."""
    draws = np.random.default_rng(draw("vectors", name, shard))
    centre = draws.normal(0, 1, size)
    return (centre + draws.normal(0, spread, (points, size))).astype(np.float32), [
        shard * ID_STEP + n for n in range(points)
    ]


def payload(point: int) -> dict[str, Any]:
    """A point's payload."""
    code = draw("payload", point)
    out: dict[str, Any] = {
        "goods": GOODS[code % len(GOODS)],
        "cents": 100 + code % 9900,
        "stall": {"row": code % 40, "covered": code % 3 == 0},
    }
    if code % 4:
        out["tags"] = [GOODS[(code >> n) % len(GOODS)] for n in range(3, 3 + code % 3)]
    if code % 11 == 0:
        out["note"] = None
    return out


@functools.lru_cache(maxsize=256)
def made(
    name: str,
    size: int,
    distance: str,
    index: str,
    shard: int,
    shards: int,
    points: int,
    overlap: float,
    spread: float,
) -> VectorShard:
    """A shard, with the share of the one before it that it holds too. Fleets in one process share it."""
    vectors, ids = own_points(name, size, shard, points, spread)
    more = int(points * overlap)
    if more and shards > 1:
        others, other_ids = own_points(name, size, (shard - 1) % shards, points, spread)
        vectors, ids = np.concatenate([vectors, others[:more]]), [*ids, *other_ids[:more]]
    return VectorShard(
        ids, vectors, [payload(one) for one in ids], DISTANCE_BY_SETTING[distance], index, seed=1 + shard
    )


def shard_of(spec: Collection, shard: int, shards: int) -> VectorShard:
    """A collection's shard."""
    return made(
        spec.name, spec.size, spec.distance, spec.index, shard, shards, spec.points, spec.overlap, spec.spread
    )
