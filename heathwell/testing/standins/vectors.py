"""Generated vectors, the same in every process for the same collection and shard."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from typing import Final

import numpy as np

from heathwell.service.vectors.hnsw_index import Floats
from heathwell.service.vectors.search_messages import JsonObject
from heathwell.service.vectors.vector_shard import DISTANCE_BY_SETTING, VectorShard
from heathwell.settings.schema import Collection
from heathwell.testing.standins.data import GOODS, hash_names

IDS_PER_SHARD: Final = 10_000_000
"""The ids of a shard's own points start at the shard's number times this constant."""
CACHED_SHARDS: Final = 256


@dataclass(frozen=True, slots=True)
class GeneratedCollection:
    """The parameters of a collection's points.

    ``overlap`` is the fraction of each shard's points that the next shard also contains.
    """

    name: str
    vector_size: int
    distance: str
    index: str
    shards: int
    points_per_shard: int
    overlap: float
    spread: float
    """The standard deviation of a shard's points from its centre; that of the centres is 1."""

    @classmethod
    def from_settings(cls, settings: Collection, shards: int) -> GeneratedCollection:
        """Return the collection of the settings in a fleet of so many shards."""
        return cls(
            name=settings.name,
            vector_size=settings.size,
            distance=settings.distance,
            index=settings.index,
            shards=shards,
            points_per_shard=settings.points,
            overlap=settings.overlap,
            spread=settings.spread,
        )

    def own_points(self, shard: int) -> GeneratedPoints:
        """Return the points that a shard does not share with the shard before it."""
        return _generate_points(self.name, self.vector_size, shard, self.points_per_shard, self.spread)


@dataclass(frozen=True, slots=True)
class GeneratedPoints:
    """Points of a shard; ``vectors`` has one row per point."""

    vectors: Floats
    ids: list[int]

    def extended(self, other: GeneratedPoints, count: int) -> GeneratedPoints:
        """Return these points and the first ``count`` of another shard's."""
        vectors = np.concatenate([self.vectors, other.vectors[:count]])
        return GeneratedPoints(vectors, [*self.ids, *other.ids[:count]])


@functools.lru_cache(maxsize=CACHED_SHARDS)
def _generate_points(name: str, vector_size: int, shard: int, count: int, spread: float) -> GeneratedPoints:
    """Return random points around a centre, which depends on the collection's name and the shard."""
    draws = np.random.default_rng(hash_names("vectors", name, shard))
    centre = draws.normal(0, 1, vector_size)
    offsets = draws.normal(0, spread, (count, vector_size))
    first_id = shard * IDS_PER_SHARD
    return GeneratedPoints((centre + offsets).astype(np.float32), list(range(first_id, first_id + count)))


def generate_payload(point_id: int) -> JsonObject:
    """Return a point's payload; some points lack some of its fields."""
    code = hash_names("payload", point_id)
    payload: JsonObject = {
        "goods": GOODS[code % len(GOODS)],
        "cents": 100 + code % 9900,
        "stall": {"row": code % 40, "covered": code % 3 == 0},
    }
    if code % 4:
        payload["tags"] = [GOODS[(code >> shift) % len(GOODS)] for shift in range(3, 3 + code % 3)]
    if code % 11 == 0:
        payload["note"] = None
    return payload


@functools.lru_cache(maxsize=CACHED_SHARDS)
def generate_shard(collection: GeneratedCollection, shard: int) -> VectorShard:
    """Return a shard, built once per process: fleets in one process share it."""
    points = collection.own_points(shard)
    shared_points = int(collection.points_per_shard * collection.overlap)
    if shared_points and collection.shards > 1:
        points = points.extended(collection.own_points((shard - 1) % collection.shards), shared_points)
    return VectorShard(
        points.ids,
        points.vectors,
        [generate_payload(point_id) for point_id in points.ids],
        DISTANCE_BY_SETTING[collection.distance],
        collection.index,
        seed=1 + shard,
    )


def shard_from_settings(settings: Collection, shard: int, shards: int) -> VectorShard:
    """Return a shard of the settings' collection in a fleet of so many shards."""
    return generate_shard(GeneratedCollection.from_settings(settings, shards), shard)
