"""The points of one shard: exact search by one matrix product per batch, an HNSW index, and score bounds.

A greater score is better, so Euclidean distances are negated. Vectors of a cosine collection are normalized.
"""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

from heathwell.service.vectors.filter_masks import evaluate_filter
from heathwell.service.vectors.hnsw_index import Floats, HnswIndex, Indices
from heathwell.service.vectors.payload_columns import Mask, PayloadColumns
from heathwell.service.vectors.search_messages import (
    Distance,
    Hit,
    IndexKind,
    JsonObject,
    PointId,
    SearchAnswer,
    SearchParameters,
    SearchRequest,
)

IdRank = tuple[int, int, str]
# If a smaller fraction of the points matches a filter, the exact search reads fewer points than the index.
MINIMUM_INDEXED_FRACTION = 0.5
SMALLEST_FRACTION = 1e-3
FILTERED_MARGIN = 1.2  # The index returns this times the candidates that a filter is expected to need.
SCORE_TOLERANCE = 1e-5  # Relative to the score, for single precision.
DISTANCE_BY_SETTING = {
    "cosine": Distance.COSINE,
    "dot": Distance.DOT,
    "euclid": Distance.EUCLID,
}


class VectorShard:
    """The points of one shard of a collection; they are immutable."""

    def __init__(
        self,
        ids: Sequence[PointId],
        vectors: Floats,
        payloads: Sequence[JsonObject],
        distance: Distance,
        index: str = IndexKind.EXACT,
        seed: int = 1,
    ) -> None:
        self.ids = ids
        self.payloads = payloads
        self.stored_vectors = np.ascontiguousarray(vectors, np.float32)
        self.recall = 1.0
        self._distance = distance
        is_cosine = distance == Distance.COSINE
        self.vectors = normalized(self.stored_vectors) if is_cosine else self.stored_vectors
        self._columns = PayloadColumns(ids, payloads)
        self._id_ranks = _id_ranks(ids)
        self._centre = self.vectors.mean(axis=0, dtype=np.float64) if len(ids) else np.zeros(vectors.shape[1])
        offsets = self.vectors - self._centre
        self._radius = float(np.sqrt((offsets * offsets).sum(axis=1).max())) if len(ids) else 0.0
        self._squared_lengths = (self.vectors * self.vectors).sum(axis=1)
        self._index: HnswIndex | None = None
        if index == IndexKind.HNSW and len(ids):
            self._index = HnswIndex(self.vectors, distance)
            self.recall = self._index.measure_recall(self._score_all, seed)

    def __len__(self) -> int:
        return len(self.ids)

    def decode_queries(self, raw: bytes, count: int) -> Floats:
        """Return the query vectors of a request; raise :class:`ValueError` for a wrong dimension."""
        queries = np.frombuffer(raw, "<f4").reshape(count, -1)
        dimension = self.vectors.shape[1]
        if queries.shape[1] != dimension:
            raise ValueError(f"vectors of {queries.shape[1]} numbers, {dimension} expected")
        return normalized(queries) if self._distance == Distance.COSINE else queries

    def score_bounds(self, queries: Floats) -> list[float]:
        """Return an upper bound of the scores by query: all points are in a ball around their mean."""
        if not len(self.ids):
            return [float("-inf")] * len(queries)
        precise = queries.astype(np.float64)
        if self._distance == Distance.EUCLID:
            distances = np.sqrt(((precise - self._centre) ** 2).sum(axis=1))
            bounds = -np.maximum(distances - self._radius, 0.0)
        else:
            # q.x = q.c + q.(x - c), and q.(x - c) is at most |q| |x - c| (Cauchy-Schwarz).
            lengths = np.sqrt((precise * precise).sum(axis=1))
            bounds = precise @ self._centre + lengths * self._radius
            if self._distance == Distance.COSINE:
                bounds = np.minimum(bounds, 1.0)
        return [float(bound) for bound in bounds]

    def _score_all(self, queries: Floats) -> Floats:
        """Return the scores of all points for all queries, by one matrix product."""
        products = queries @ self.vectors.T
        if self._distance != Distance.EUCLID:
            return np.asarray(products, np.float32)
        lengths = (queries * queries).sum(axis=1)
        squares = lengths[:, None] + self._squared_lengths[None, :] - 2 * products
        return np.asarray(-np.sqrt(np.maximum(squares, 0.0)), np.float32)

    def search(self, request: SearchRequest) -> SearchAnswer:
        """Return the answer to all searches of a request; raise :class:`ValueError` for a wrong dimension."""
        queries = self.decode_queries(request.vectors, len(request.searches))
        masks = self._evaluate_filters(request.searches)
        is_indexed = [
            self._uses_index(search, mask) for search, mask in zip(request.searches, masks, strict=True)
        ]
        exact = [number for number, indexed in enumerate(is_indexed) if not indexed]
        exact_scores: dict[int, Floats] = {}
        if exact and len(self.ids):
            exact_scores = dict(zip(exact, self._score_all(queries[exact]), strict=True))
        lists: list[list[Hit]] = []
        for number, (search, mask) in enumerate(zip(request.searches, masks, strict=True)):
            if not len(self.ids) or search.limit <= 0:
                lists.append([])
                continue
            if is_indexed[number]:
                candidates = self._indexed_candidates(queries[number], search, mask)
            else:
                candidates = self._exact_candidates(exact_scores[number], search, mask)
            lists.append(self._rank(queries[number], candidates, search))
        return SearchAnswer(lists, len(self.ids), self.recall if any(is_indexed) else 1.0)

    def _evaluate_filters(self, searches: Sequence[SearchParameters]) -> list[Mask | None]:
        """Return the mask of each search, evaluated once for searches with the same filter."""
        mask_by_filter: dict[str, Mask] = {}
        masks: list[Mask | None] = []
        for search in searches:
            if not search.filter:
                masks.append(None)
                continue
            key = repr(search.filter)
            if key not in mask_by_filter:
                mask_by_filter[key] = evaluate_filter(search.filter, self._columns)
            masks.append(mask_by_filter[key])
        return masks

    def _uses_index(self, search: SearchParameters, mask: Mask | None) -> bool:
        if self._index is None or search.exact:
            return False
        return mask is None or bool(mask.mean() >= MINIMUM_INDEXED_FRACTION)

    def _exact_candidates(self, scores: Floats, search: SearchParameters, mask: Mask | None) -> Indices:
        """Return the points that may be among the best by their scores in single precision."""
        candidates = np.arange(len(self.ids)) if mask is None else np.flatnonzero(mask)
        if search.threshold is not None:
            lowest = search.threshold - score_tolerance(search.threshold)
            candidates = candidates[scores[candidates] >= lowest]
        if len(candidates) > search.limit:
            # All points that may tie with the last one are kept: precise scores and ids decide.
            last = len(candidates) - search.limit
            last_score = float(np.partition(scores[candidates], last)[last])
            candidates = candidates[scores[candidates] >= last_score - score_tolerance(last_score)]
        return candidates

    def _indexed_candidates(self, query: Floats, search: SearchParameters, mask: Mask | None) -> Indices:
        assert self._index is not None
        fraction = 1.0 if mask is None else max(float(mask.mean()), SMALLEST_FRACTION)
        count = min(len(self.ids), int(search.limit / fraction * FILTERED_MARGIN) + 1)
        candidates = self._index.search(query, count, search.candidate_count)
        return candidates if mask is None else candidates[mask[candidates]]

    def _rank(self, query: Floats, candidates: Indices, search: SearchParameters) -> list[Hit]:
        """Return the best of the candidates, with scores computed again in double precision.

        The last digits of a matrix product depend on its shape, but a point must have the same score in every
        shard and batch.
        """
        scores = self._precise_scores(query, candidates)
        if search.threshold is not None:
            is_over = scores >= search.threshold
            candidates = candidates[is_over]
            scores = scores[is_over]
        order = np.lexsort((self._id_ranks[candidates], -scores))[: search.limit]
        return [
            self._hit(index, score, search)
            for index, score in zip(candidates[order].tolist(), scores[order].tolist(), strict=True)
        ]

    def _precise_scores(self, query: Floats, candidates: Indices) -> Floats:
        vectors = self.vectors[candidates].astype(np.float64)
        precise = query.astype(np.float64)
        if self._distance == Distance.EUCLID:
            scores = -np.sqrt(((vectors - precise) ** 2).sum(axis=1))
        else:
            scores = (vectors * precise).sum(axis=1)
        return np.asarray(scores.astype(np.float32))

    def _hit(self, index: int, score: float, search: SearchParameters) -> Hit:
        vector = self.stored_vectors[index].tolist() if search.vectors else None
        return Hit(self.ids[index], float(score), _select_payload(self.payloads[index], search), vector)


def _select_payload(payload: JsonObject, search: SearchParameters) -> JsonObject | None:
    if not search.payload and not search.without:
        return None
    if search.without:
        return {name: value for name, value in payload.items() if name not in search.without}
    if isinstance(search.payload, list):
        return {name: payload[name] for name in search.payload if name in payload}
    return payload


def _id_ranks(ids: Sequence[PointId]) -> Indices:
    """Return the rank of each point's id among equal scores: numbers first, then names."""
    ranks = np.empty(len(ids), np.int64)
    ranks[sorted(range(len(ids)), key=lambda index: _id_rank(ids[index]))] = np.arange(len(ids))
    return ranks


def _id_rank(point_id: PointId) -> IdRank:
    return (0, point_id, "") if isinstance(point_id, int) else (1, 0, point_id)


def score_tolerance(score: float) -> float:
    """Return the greatest rounding error of a score in single precision."""
    return SCORE_TOLERANCE * max(1.0, abs(score))


def normalized(vectors: Floats) -> Floats:
    """Return the vectors scaled to length one; zero vectors are unchanged."""
    lengths = np.sqrt((vectors * vectors).sum(axis=1, keepdims=True))
    return np.asarray(vectors / np.where(lengths > 0, lengths, 1.0), np.float32)
