"""An approximate index over the vectors of a shard (hierarchical navigable small world graph)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np
from numpy.typing import NDArray
from usearch.index import Index

from heathwell.service.vectors.search_messages import Distance

Floats = NDArray[np.float32]
Indices = NDArray[np.int64]
MINIMUM_CANDIDATES = 64  # The minimum number of candidates during a search (ef).
CONNECTIVITY = 16  # The maximum number of neighbours of a node (M).
BUILD_CANDIDATES = 100  # The number of candidates during the build (ef_construction).
RECALL_SAMPLES = 64  # The number of the shard's points by which the recall is measured.
RECALL_DEPTH = 10  # The number of best points that are compared for a sample.
SAMPLE_NOISE = 0.05  # The standard deviation of the noise that is added to samples.


class HnswIndex:
    """The index of a shard; vectors are identified by their position."""

    def __init__(self, vectors: Floats, distance: Distance) -> None:
        self._vectors = vectors
        self._index: Any = Index(
            ndim=vectors.shape[1],
            metric="l2sq" if distance == Distance.EUCLID else "ip",
            dtype="f32",
            connectivity=CONNECTIVITY,
            expansion_add=BUILD_CANDIDATES,
            expansion_search=MINIMUM_CANDIDATES,
        )
        self._index.add(np.arange(len(vectors)), vectors, threads=1)

    def search(self, query: Floats, count: int, candidate_count: int) -> Indices:
        """Return the positions of approximately the nearest vectors."""
        self._index.expansion_search = max(candidate_count, MINIMUM_CANDIDATES, count)
        return np.asarray(self._index.search(query, count, threads=1).keys, np.int64)

    def measure_recall(self, score: Callable[[Floats], Floats], seed: int) -> float:
        """Return the recall over queries that are samples of the index's own vectors with noise.

        ``score`` returns the exact scores of all vectors for given queries.
        """
        random = np.random.default_rng(seed)
        count = len(self._vectors)
        samples = random.choice(count, min(RECALL_SAMPLES, count), replace=False)
        noise = random.normal(0, SAMPLE_NOISE, (len(samples), self._vectors.shape[1]))
        queries = self._vectors[samples] + noise.astype(np.float32)
        depth = min(RECALL_DEPTH, count)
        exact = np.argsort(-score(queries), axis=1)[:, :depth]
        found = self._index.search(queries, depth, threads=1).keys
        recalls = [
            len(set(exact_keys) & set(found_keys)) / depth
            for exact_keys, found_keys in zip(exact, found, strict=True)
        ]
        return float(np.mean(recalls))
