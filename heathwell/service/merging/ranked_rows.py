"""Rows of search results, their total order, and the checks of a part's rows.

Scores are compared as *greater is better*; a distance is handed in negated. Equal scores rank by id, so that
they rank the same every time.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

PointId = int | str
IdRank = tuple[int, int, str]
RowRank = tuple[float, IdRank]
SCORE_TOLERANCE = 1e-4  # of a score's size: endpoints score in single precision


class MalformedRowsError(ValueError):
    """Rows or score bounds that an endpoint without a fault does not return; ``problem`` describes why."""

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(problem)


@dataclass(frozen=True, slots=True)
class Row:
    """One found point; ``data`` is passed on as it is."""

    id: PointId
    score: float
    data: Any = None
    version: int = 0


@dataclass(frozen=True, slots=True)
class MergedRows:
    """The rows of one search. ``recall`` estimates the fraction of the true rows that they hold."""

    rows: list[Row]
    recall: float


def id_rank(point_id: PointId) -> IdRank:
    """Return the rank of an id among equal scores: numbers by size, then names."""
    return (0, point_id, "") if isinstance(point_id, int) else (1, 0, point_id)


def row_rank(row: Row) -> RowRank:
    """Return the rank of a row: the better first."""
    return (-row.score, id_rank(row.id))


def score_tolerance(score: float) -> float:
    """Return what single precision may add to a score or take from it."""
    return SCORE_TOLERANCE * max(1.0, abs(score))


def check_rows(
    rows: Sequence[Row], maximum_rows: int, threshold: float | None, score_bound: float | None
) -> None:
    """Raise :class:`MalformedRowsError` for rows that a search can't have returned.

    ``score_bound`` is the greatest score that the endpoint reported as possible. The messages are logged as
    event records, so that their words stay as they are.
    """
    if len(rows) > maximum_rows:
        raise MalformedRowsError(f"{len(rows)} rows where {maximum_rows} were asked for")
    if any(not math.isfinite(row.score) for row in rows):
        raise MalformedRowsError("a score that is no number")
    if any(row_rank(better) >= row_rank(worse) for better, worse in itertools.pairwise(rows)):
        raise MalformedRowsError("rows out of their order")
    if len({row.id for row in rows}) != len(rows):
        raise MalformedRowsError("an id twice")
    if not rows:
        return
    if threshold is not None and rows[-1].score < threshold - score_tolerance(threshold):
        raise MalformedRowsError("a row under the threshold")
    if score_bound is not None and rows[0].score > score_bound + score_tolerance(score_bound):
        raise MalformedRowsError("a row better than the bound that was told")
