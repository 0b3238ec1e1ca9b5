"""Merges ranked rows of parts, in any order of the parts, and determines which parts are superseded.

A query may have several searches, as the searches of a batch share the query's parts. Each part is asked for
``offset + limit`` rows, as all of the best rows may be in one part. An id occurs once in a part's rows, but
may occur in several parts.

When an attempt arrives, and before it searches, an endpoint reports the greatest score that its rows can
have. Once ``offset + limit`` merged rows are all strictly better than that bound, or the bound is under the
threshold, the part can't change the answer any more: it is superseded. Parts without reported bounds are
never superseded.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

from heathwell.service.merging.ranked_rows import MalformedRowsError, MergedRows, Row, check_rows
from heathwell.service.merging.search_rows import SearchRows


@dataclass(slots=True)
class _Part:
    point_count: int = 0
    recall: float = 1.0
    bounds: Sequence[float] | None = None
    bounds_revision: int = 0  # Heap entries of earlier revisions are stale.
    ruled_out_count: int = 0  # The number of searches whose rows the part can't change any more.
    has_rows: bool = False


class TopKMerge:
    """The merge of one query, with a limit, an offset and a threshold for each of its searches."""

    def __init__(
        self, limits: Sequence[int], offsets: Sequence[int], thresholds: Sequence[float | None]
    ) -> None:
        self.limits = limits
        self.offsets = offsets
        self.thresholds = thresholds
        self._searches = [
            SearchRows(limit, offset, threshold)
            for limit, offset, threshold in zip(limits, offsets, thresholds, strict=True)
        ]
        self._parts: dict[str, _Part] = {}
        # A heap by search of the bounds that are not ruled out, with the part and the revision of its bounds.
        self._bounds: list[list[tuple[float, str, int]]] = [[] for _ in limits]
        self._superseded: list[str] = []

    @property
    def requested_counts(self) -> list[int]:
        """The number of rows that each part is asked for, by search."""
        return [search.requested_count for search in self._searches]

    def add_bounds(self, part_id: str, bounds: Sequence[float]) -> None:
        """Record the greatest possible scores of a part, by search; raise :class:`MalformedRowsError`.

        If two attempts report bounds, the greater bound of each search is used.
        """
        is_numeric = all(isinstance(bound, float) and not math.isnan(bound) for bound in bounds)
        if len(bounds) != len(self._searches) or not is_numeric:
            raise MalformedRowsError("bounds that are not a number a search")
        part = self._parts.setdefault(part_id, _Part())
        if part.bounds is not None:
            bounds = [max(former, bound) for former, bound in zip(part.bounds, bounds, strict=True)]
        part.bounds = bounds
        part.bounds_revision += 1
        part.ruled_out_count = 0
        for search, bound in enumerate(bounds):
            heapq.heappush(self._bounds[search], (bound, part_id, part.bounds_revision))
            self._rule_out_bounds(search)

    def add_rows(
        self, part_id: str, lists: Sequence[Sequence[Row]], point_count: int = 0, recall: float = 1.0
    ) -> None:
        """Merge a part's rows, best first, by search; raise :class:`MalformedRowsError`.

        ``point_count`` is the size of the part's shard, ``recall`` the recall of its index. Takes linear time
        in the number of rows, apart from the heap operations.
        """
        self._check(part_id, lists)
        part = self._parts.setdefault(part_id, _Part())
        part.has_rows = True
        part.point_count = point_count
        part.recall = recall
        for search, rows in enumerate(lists):
            if rows:
                self._searches[search].merge(rows)
                self._rule_out_bounds(search)

    def _check(self, part_id: str, lists: Sequence[Sequence[Row]]) -> None:
        if len(lists) != len(self._searches):
            raise MalformedRowsError(f"{len(lists)} lists for {len(self._searches)} searches")
        part = self._parts.get(part_id)
        bounds = part.bounds if part is not None else None
        for number, (search, rows) in enumerate(zip(self._searches, lists, strict=True)):
            bound = bounds[number] if bounds is not None else None
            check_rows(rows, search.requested_count, search.threshold, bound)

    def _rule_out_bounds(self, search: int) -> None:
        """Remove the bounds that are ruled out now from the heap and count them for their parts."""
        heap = self._bounds[search]
        while heap and self._searches[search].rules_out(heap[0][0]):
            _, part_id, revision = heapq.heappop(heap)
            part = self._parts[part_id]
            if revision != part.bounds_revision:
                continue
            part.ruled_out_count += 1
            if self._is_superseded(part):
                self._superseded.append(part_id)

    def _is_superseded(self, part: _Part) -> bool:
        return part.ruled_out_count == len(self._searches) and not part.has_rows

    def take_superseded(self) -> list[str]:
        """Return the ids of the parts that were superseded since the last call."""
        superseded = self._superseded
        self._superseded = []
        return [part_id for part_id in superseded if self._is_superseded(self._parts[part_id])]

    def result(self, search: int, missing: Sequence[str], mean_point_count: float) -> MergedRows:
        """Return a search's rows with an estimate of their recall.

        ``missing`` are the ids of the parts without an answer. The estimate assumes that the true rows are
        spread evenly over all points. Those of a missing part are lost unless its bound rules them out; its
        size is taken to be ``mean_point_count``.
        """
        held = 0.0
        lost = 0.0
        for part in self._parts.values():
            if part.has_rows:
                held += part.point_count * part.recall
                lost += part.point_count * (1 - part.recall)
        for part_id in missing:
            if not self._is_ruled_out(search, part_id):
                lost += mean_point_count
        recall = held / (held + lost) if held + lost else 0.0
        return MergedRows(self._searches[search].rows(), recall)

    def _is_ruled_out(self, search: int, part_id: str) -> bool:
        part = self._parts.get(part_id)
        if part is None or part.bounds is None:
            return False
        return self._searches[search].rules_out(part.bounds[search])

    def mean_point_count(self) -> float:
        """Return the mean size of the parts with an answer."""
        sizes = [part.point_count for part in self._parts.values() if part.has_rows]
        return sum(sizes) / len(sizes) if sizes else 0.0
