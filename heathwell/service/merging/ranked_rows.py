"""Rows of search results, their total order, and the checks of a part's rows.

A greater score is better, so distances are negated before they get here. Rows of equal score are ordered by
id, so that the order is the same every time.
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
SCORE_TOLERANCE = 1e-4  # Relative to the score: endpoints compute scores in single precision.


class MalformedRowsError(ValueError):
    """Raised for rows or score bounds that only a faulty endpoint returns; ``problem`` describes why."""

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(problem)


@dataclass(frozen=True, slots=True)
class Row:
    """One point of a result; ``data`` is passed through unchanged."""

    id: PointId
    score: float
    data: Any = None
    version: int = 0


@dataclass(frozen=True, slots=True)
class MergedRows:
    """The rows of one search. ``recall`` estimates the fraction of the true result that they contain."""

    rows: list[Row]
    recall: float


def id_rank(point_id: PointId) -> IdRank:
    """Return the sort key of an id among equal scores: numbers first, then names."""
    return (0, point_id, "") if isinstance(point_id, int) else (1, 0, point_id)


def row_rank(row: Row) -> RowRank:
    """Return the sort key of a row: better rows first."""
    return (-row.score, id_rank(row.id))


def score_tolerance(score: float) -> float:
    """Return the greatest rounding error of a score in single precision."""
    return SCORE_TOLERANCE * max(1.0, abs(score))


def check_rows(
    rows: Sequence[Row], maximum_rows: int, threshold: float | None, score_bound: float | None
) -> None:
    """Raise :class:`MalformedRowsError` for rows that a search can't have returned.

    ``score_bound`` is the greatest score that the endpoint reported as possible. The messages are part of
    event records, so their wording must not change.
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
