"""One shard's points: exact search by one matrix product a batch, an HNSW index, and bounds that cost next to
nothing.

Scores are *better is greater*: a Euclidean distance is negated. Vectors of a cosine collection are kept at
length one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray
from usearch.index import Index

from heathwell.service.vectors.masks import Columns, mask_of
from heathwell.service.vectors.wire import (
    COSINE,
    DOT,
    EUCLID,
    EXACT,
    HNSW,
    Hit,
    SearchAnswer,
    SearchAsk,
    Want,
)

Floats = NDArray[np.float32]
EXPANSION = 64  # candidates that a search of the index keeps at the least
SAMPLE = 64  # own points by which an index's recall is measured
RECALL_AT = 10
MOST_LEFT_OUT = 0.5  # filtered share up to which the index is asked; with more, the exact way reads less


class Shard:
    """Points of one shard of a collection; they don't change."""

    def __init__(
        self,
        ids: Sequence[int | str],
        vectors: Floats,
        payloads: Sequence[dict[str, Any]],
        distance: str,
        index: str = EXACT,
        seed: int = 1,
    ) -> None:
        self.ids, self.payloads, self.distance = ids, payloads, distance
        self.plain = np.ascontiguousarray(vectors, np.float32)
        self.vectors = unit(self.plain) if distance == COSINE else self.plain
        self.columns = Columns(ids, payloads)
        # Equal scores rank by id: a stable sort of rows that lie in the order of their ids does it.
        ranked = sorted(
            range(len(ids)),
            key=lambda row: (0, ids[row], "") if isinstance(ids[row], int) else (1, 0, ids[row]),
        )
        self.id_order = np.empty(len(ids), np.int64)
        self.id_order[ranked] = np.arange(len(ids))
        self.centre = self.vectors.mean(axis=0, dtype=np.float64) if len(ids) else np.zeros(vectors.shape[1])
        spread = self.vectors - self.centre
        self.radius = float(np.sqrt((spread * spread).sum(axis=1).max())) if len(ids) else 0.0
        self.squares = (self.vectors * self.vectors).sum(axis=1)
        self.recall = 1.0
        self._index: Any = None
        if index == HNSW and len(ids):
            self._build(seed)

    def _build(self, seed: int) -> None:
        size = self.vectors.shape[1]
        self._index = Index(
            ndim=size,
            metric="l2sq" if self.distance == EUCLID else "ip",
            dtype="f32",
            connectivity=16,
            expansion_add=100,
            expansion_search=EXPANSION,
        )
        self._index.add(np.arange(len(self.ids)), self.vectors, threads=1)
        self.recall = self._measure(seed)

    def _measure(self, seed: int) -> float:
        """The index's recall at ten over some of its own points, against the exact search."""
        draws = np.random.default_rng(seed)
        rows = draws.choice(len(self.ids), min(SAMPLE, len(self.ids)), replace=False)
        queries = self.vectors[rows] + draws.normal(0, 0.05, (len(rows), self.vectors.shape[1])).astype(
            np.float32
        )
        wanted = min(RECALL_AT, len(self.ids))
        exact = np.argsort(-self._scores(queries), axis=1)[:, :wanted]
        found = self._index.search(queries, wanted, threads=1).keys
        return float(np.mean([len(set(a) & set(b)) / wanted for a, b in zip(exact, found, strict=True)]))

    def __len__(self) -> int:
        return len(self.ids)

    def prepared(self, raw: bytes, count: int) -> Floats:
        """The query vectors of an ask; raises :class:`ValueError` where their size is not the
        collection's.
        """
        queries = np.frombuffer(raw, "<f4").reshape(count, -1)
        if queries.shape[1] != self.vectors.shape[1]:
            raise ValueError(f"vectors of {queries.shape[1]} numbers, {self.vectors.shape[1]} expected")
        return unit(queries) if self.distance == COSINE else queries

    def bounds(self, queries: Floats) -> list[float]:
        """How good the best row can be at most: all points lie within a ball about their mean."""
        if not len(self.ids):
            return [float("-inf")] * len(queries)
        wide = queries.astype(np.float64)
        if self.distance == EUCLID:
            away = np.sqrt(((wide - self.centre) ** 2).sum(axis=1))
            best = -np.maximum(away - self.radius, 0.0)
        else:
            # q.x = q.c + q.(x - c), and the last is at most as long as both of its factors.
            best = wide @ self.centre + np.sqrt((wide * wide).sum(axis=1)) * self.radius
            if self.distance == COSINE:
                best = np.minimum(best, 1.0)
        return [float(b) for b in best]

    def _scores(self, queries: Floats) -> Floats:
        """All points' scores of all queries, one matrix product."""
        products = queries @ self.vectors.T
        if self.distance != EUCLID:
            return np.asarray(products, np.float32)
        squares = (queries * queries).sum(axis=1)[:, None] + self.squares[None, :] - 2 * products
        return np.asarray(-np.sqrt(np.maximum(squares, 0.0)), np.float32)

    def search(self, ask: SearchAsk) -> SearchAnswer:
        """Every search of an ask; raises :class:`ValueError`."""
        queries = self.prepared(ask.vectors, len(ask.wants))
        masks: dict[str, Any] = {}
        plans = [self._mask(want, masks) for want in ask.wants]
        by_index = [
            self._index is not None and not want.exact and (mask is None or mask.mean() >= MOST_LEFT_OUT)
            for want, mask in zip(ask.wants, plans, strict=True)
        ]
        exact = [number for number, indexed in enumerate(by_index) if not indexed]
        scores = self._scores(queries[exact]) if exact and len(self.ids) else None
        place = {number: row for row, number in enumerate(exact)}
        lists: list[list[Hit]] = []
        for number, (want, mask) in enumerate(zip(ask.wants, plans, strict=True)):
            if not len(self.ids) or want.limit <= 0:
                lists.append([])
            elif by_index[number]:
                lists.append(self._by_index(queries[number], want, mask))
            else:
                assert scores is not None
                lists.append(self._best(queries[number], scores[place[number]], want, mask))
        return SearchAnswer(lists, len(self.ids), self.recall if any(by_index) else 1.0)

    def _mask(self, want: Want, masks: dict[str, Any]) -> Any:
        """A filter's points, once for all searches that carry the same one."""
        if not want.filter:
            return None
        key = repr(want.filter)
        if key not in masks:
            masks[key] = mask_of(want.filter, self.columns)
        return masks[key]

    def _best(self, query: Floats, scores: Floats, want: Want, mask: Any) -> list[Hit]:
        rows = np.arange(len(self.ids)) if mask is None else np.flatnonzero(mask)
        if want.threshold is not None:
            rows = rows[scores[rows] >= want.threshold - _slack(want.threshold)]
        if len(rows) > want.limit:
            # Those that may tie with the last one all stay in: scores anew and ids decide.
            edge = float(np.partition(scores[rows], len(rows) - want.limit)[len(rows) - want.limit])
            rows = rows[scores[rows] >= edge - _slack(edge)]
        return self._hits(query, rows, want)

    def _by_index(self, query: Floats, want: Want, mask: Any) -> list[Hit]:
        share = 1.0 if mask is None else max(float(mask.mean()), 1e-3)
        count = min(len(self.ids), int(want.limit / share * 1.2) + 1)
        self._index.expansion_search = max(want.ef, EXPANSION, count)
        rows = np.asarray(self._index.search(query, count, threads=1).keys, np.int64)
        return self._hits(query, rows if mask is None else rows[mask[rows]], want)

    def _hits(self, query: Floats, rows: NDArray[np.int64], want: Want) -> list[Hit]:
        """The best of some rows, scored anew in double precision: a matrix product's last digits depend on
        its shape, and the same point must score the same in every shard and batch.
        """
        chosen, wide = self.vectors[rows].astype(np.float64), query.astype(np.float64)
        if self.distance == EUCLID:
            scores = (-np.sqrt(((chosen - wide) ** 2).sum(axis=1))).astype(np.float32)
        else:
            scores = (chosen * wide).sum(axis=1).astype(np.float32)
        if want.threshold is not None:
            keep = scores >= want.threshold
            rows, scores = rows[keep], scores[keep]
        order = np.lexsort((self.id_order[rows], -scores))[: want.limit]
        return [
            Hit(
                self.ids[row],
                float(score),
                self._payload(row, want),
                self.plain[row].tolist() if want.vectors else None,
            )
            for row, score in zip(rows[order].tolist(), scores[order].tolist(), strict=True)
        ]

    def _payload(self, row: int, want: Want) -> dict[str, Any] | None:
        if not want.payload and not want.without:
            return None
        whole = self.payloads[row]
        if want.without:
            return {name: value for name, value in whole.items() if name not in want.without}
        if isinstance(want.payload, list):
            return {name: whole[name] for name in want.payload if name in whole}
        return whole


def _slack(score: float) -> float:
    """What single precision may add to a score or take from it."""
    return 1e-5 * max(1.0, abs(score))


def unit(vectors: Floats) -> Floats:
    """Vectors at length one; a zero vector stays as it is."""
    lengths = np.sqrt((vectors * vectors).sum(axis=1, keepdims=True))
    return np.asarray(vectors / np.where(lengths > 0, lengths, 1.0), np.float32)


DISTANCES = {"cosine": COSINE, "dot": DOT, "euclid": EUCLID}
