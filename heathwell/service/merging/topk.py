"""The merge of ranked rows over parts: the k best, whichever order parts came in, and when no part can change
them.

A query may hold several searches (a batch shares its parts). Scores are compared as *better is greater*; a
distance is handed in negated. The order is total: score, then id, so that equal scores rank the same every
time. Each part is asked for ``offset + limit`` rows, as all of them may lie in one part; a part's rows hold
an id once, parts may overlap.

A host says at an attempt's arrival, before it searches, how good its best row can be at most. Once ``offset +
limit`` rows are in that are all strictly better than that (or the bound lies under the threshold), the part
can't change the answer: it is moot. Parts that said nothing are never moot.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

Id = int | str
SLACK = 1e-4  # of a bound's size: hosts score in single precision


class Malformed(ValueError):
    """Rows that no sound host gives: unsorted, too many, an id twice, no number, or better than its own
    bound.
    """


@dataclass(frozen=True, slots=True)
class Row:
    """One found point; ``data`` is carried, not looked at."""

    id: Id
    score: float
    data: Any = None
    version: int = 0


def id_rank(point: Id) -> tuple[int, int, str]:
    """The order of ids among equal scores: numbers by size, then names."""
    return (0, point, "") if isinstance(point, int) else (1, 0, point)


def _order(row: Row) -> tuple[float, tuple[int, int, str]]:
    return (-row.score, id_rank(row.id))


@dataclass(frozen=True, slots=True)
class Merged:
    """One search's answer. ``recall`` estimates the share of the true rows that it holds."""

    rows: list[Row]
    recall: float


@dataclass(slots=True)
class _Part:
    points: int = 0
    recall: float = 1.0
    bounds: Sequence[float] | None = None
    words: int = 0  # how often its bounds were told: entries of older words are stale
    beaten: int = 0
    lists: Sequence[Sequence[Row]] | None = None


@dataclass(slots=True)
class TopK:
    """One query's merge: ``searches`` many, each of ``offset + limit`` rows, none under ``thresholds``."""

    limits: Sequence[int]
    offsets: Sequence[int]
    thresholds: Sequence[float | None]
    parts: dict[str, _Part] = field(default_factory=dict)
    _best: list[list[tuple[tuple[float, tuple[int, int, str]], Row]]] = field(default_factory=list)
    _kth: list[float] = field(default_factory=list)
    _bounds: list[list[tuple[float, str, int]]] = field(
        default_factory=list
    )  # by search, a heap of what is not beaten
    _moot: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._best = [[] for _ in self.limits]
        self._kth = [-math.inf] * len(self.limits)
        self._bounds = [[] for _ in self.limits]

    @property
    def wanted(self) -> list[int]:
        """The rows that each part is asked for, by search."""
        return [offset + limit for offset, limit in zip(self.offsets, self.limits, strict=True)]

    def bound(self, part: str, bounds: Sequence[float]) -> None:
        """How good a part's best row can be at most, by search. Of two attempts' words the weaker
        one stands.
        """
        if len(bounds) != len(self.limits) or not all(
            isinstance(b, float) and not math.isnan(b) for b in bounds
        ):
            raise Malformed("bounds that are not a number a search")
        known = self.parts.setdefault(part, _Part())
        known.bounds = (
            bounds if known.bounds is None else [max(a, b) for a, b in zip(known.bounds, bounds, strict=True)]
        )
        known.words, known.beaten = known.words + 1, 0
        for search, most in enumerate(known.bounds):
            heapq.heappush(self._bounds[search], (most, part, known.words))
            self._beat(search)

    def check(self, part: str, lists: Sequence[Sequence[Row]]) -> None:
        """Raise :class:`Malformed` for what a sound host does not give."""
        if len(lists) != len(self.limits):
            raise Malformed(f"{len(lists)} lists for {len(self.limits)} searches")
        known = self.parts.get(part)
        for search, rows in enumerate(lists):
            if len(rows) > self.wanted[search]:
                raise Malformed(f"{len(rows)} rows where {self.wanted[search]} were asked for")
            if any(not math.isfinite(row.score) for row in rows):
                raise Malformed("a score that is no number")
            if any(_order(a) >= _order(b) for a, b in zip(rows, rows[1:], strict=False)):
                raise Malformed("rows out of their order")
            if len({row.id for row in rows}) != len(rows):
                raise Malformed("an id twice")
            least = self.thresholds[search]
            if rows and least is not None and rows[-1].score < least - SLACK * max(1.0, abs(least)):
                raise Malformed("a row under the threshold")
            if rows and known is not None and known.bounds is not None:
                most = known.bounds[search]
                if rows[0].score > most + SLACK * max(1.0, abs(most)):
                    raise Malformed("a row better than the bound that was told")

    def add(self, part: str, lists: Sequence[Sequence[Row]], points: int = 0, recall: float = 1.0) -> None:
        """A part's rows, best first; raises :class:`Malformed`. Linear in its rows, but for the heap's
        logarithm.
        """
        self.check(part, lists)
        known = self.parts.setdefault(part, _Part())
        known.lists, known.points, known.recall = lists, points, recall
        for search, rows in enumerate(lists):
            if rows:
                self._take_in(search, rows)

    def _take_in(self, search: int, rows: Sequence[Row]) -> None:
        """Keep the ``offset + limit`` best of what was kept and these: more can never be asked for."""
        wanted = self.wanted[search]
        kept: list[tuple[tuple[float, tuple[int, int, str]], Row]] = []
        seen: dict[Id, int] = {}
        # A row of an id that two parts hold in two versions stands by the newer one, wherever it ranks.
        newest: dict[Id, int] = {}
        for _, row in self._best[search]:
            newest[row.id] = row.version
        for row in rows:
            newest[row.id] = max(newest.get(row.id, row.version), row.version)
        for entry in heapq.merge(self._best[search], ((_order(row), row) for row in rows)):
            row = entry[1]
            if row.id in seen or row.version < newest[row.id]:
                continue
            seen[row.id] = 1
            kept.append(entry)
            if len(kept) == wanted:
                break
        self._best[search] = kept
        self._kth[search] = kept[-1][1].score if len(kept) == wanted else -math.inf
        self._beat(search)

    def _beat(self, search: int) -> None:
        """Count the bounds that are beaten by now, each once: linear in parts, but for the heap's
        logarithm.
        """
        heap = self._bounds[search]
        while heap and self._beaten(search, heap[0][0]):
            _, name, word = heapq.heappop(heap)
            part = self.parts[name]
            if word == part.words:
                part.beaten += 1
                if part.beaten == len(self.limits) and part.lists is None:
                    self._moot.append(name)

    def newly_moot(self) -> list[str]:
        """Parts that have told their bounds, are not in, and since the last call can't change any search's
        rows.
        """
        moot, self._moot = self._moot, []
        return [
            name
            for name in moot
            if self.parts[name].lists is None and self.parts[name].beaten == len(self.limits)
        ]

    def _beaten(self, search: int, bound: float) -> bool:
        # Hosts score in single precision: what comes within that of the k-th may yet displace it.
        if bound == -math.inf:
            return True  # a shard without a point
        most = bound + SLACK * max(1.0, abs(bound))
        least = self.thresholds[search]
        return most < self._kth[search] or (least is not None and most < least)

    def result(self, search: int, missing: Sequence[str], usual_points: float) -> Merged:
        """A search's rows and the estimate of their recall.

        ``missing`` are the parts that did not come in. Points being no likelier in one part than in another,
        the true rows are spread as points are; of a part that is not in they are all lost unless its bound
        rules them out. A part that said nothing of its size is taken to be as large as ``usual_points``.
        """
        rows = [row for _, row in self._best[search]][self.offsets[search] :]
        held = lost = 0.0
        for part in self.parts.values():
            if part.lists is not None:
                held += part.points * part.recall
                lost += part.points * (1 - part.recall)
        for name in missing:
            known = self.parts.get(name)
            if known is None or known.bounds is None or not self._beaten(search, known.bounds[search]):
                lost += usual_points
        return Merged(rows, held / (held + lost) if held + lost else 0.0)

    def usual_points(self) -> float:
        """The mean size of the parts that are in."""
        sizes = [part.points for part in self.parts.values() if part.lists is not None]
        return sum(sizes) / len(sizes) if sizes else 0.0
