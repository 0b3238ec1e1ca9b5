"""Accumulates the best rows of one search."""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence

from heathwell.service.merging.ranked_rows import PointId, Row, RowRank, row_rank, score_tolerance


class SearchRows:
    """The ``offset + limit`` best rows of a search so far; rows under its threshold are not requested."""

    def __init__(self, limit: int, offset: int, threshold: float | None) -> None:
        self.offset = offset
        self.requested_count = offset + limit
        self.threshold = threshold
        self._ranked: list[tuple[RowRank, Row]] = []
        self._last_score = -math.inf

    def rows(self) -> list[Row]:
        """Return the rows after the offset, best first."""
        return [row for _, row in self._ranked][self.offset :]

    def merge(self, rows: Sequence[Row]) -> None:
        """Merge a part's rows, best first. The newer of two versions of an id is used, whatever its rank."""
        newest = self._newest_versions(rows)
        ranked: list[tuple[RowRank, Row]] = []
        merged_ids: set[PointId] = set()
        for entry in heapq.merge(self._ranked, ((row_rank(row), row) for row in rows)):
            row = entry[1]
            if row.id in merged_ids or row.version < newest[row.id]:
                continue
            merged_ids.add(row.id)
            ranked.append(entry)
            if len(ranked) == self.requested_count:
                break
        self._ranked = ranked
        is_full = len(ranked) == self.requested_count
        self._last_score = ranked[-1][1].score if is_full else -math.inf

    def _newest_versions(self, rows: Sequence[Row]) -> dict[PointId, int]:
        newest = {row.id: row.version for _, row in self._ranked}
        for row in rows:
            newest[row.id] = max(newest.get(row.id, row.version), row.version)
        return newest

    def rules_out(self, score_bound: float) -> bool:
        """Return whether no row of at most this score can be among the best rows any more."""
        if score_bound == -math.inf:
            return True  # The shard has no points.
        # A score within the tolerance of the last row's score may still displace that row.
        greatest = score_bound + score_tolerance(score_bound)
        return greatest < self._last_score or (self.threshold is not None and greatest < self.threshold)
