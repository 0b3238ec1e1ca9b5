"""Payload filters of the search API, as records with the API's field names."""

from __future__ import annotations

from typing import Any

import msgspec

Scalar = bool | int | str
CLAUSES = ("must", "should", "must_not", "min_should")
FIELD_CONDITIONS = ("match", "range", "values_count", "is_empty", "is_null")


class _Strict(msgspec.Struct, forbid_unknown_fields=True):
    pass


class Match(_Strict):
    """A condition of equality; exactly one of the fields is given."""

    value: Scalar | None = None
    any: list[int | str] | None = None
    except_: list[int | str] | None = msgspec.field(name="except", default=None)

    def given_count(self) -> int:
        """Return how many of the fields are given."""
        return sum(given is not None for given in (self.value, self.any, self.except_))


class Range(_Strict):
    """Bounds on a number."""

    lt: float | None = None
    gt: float | None = None
    lte: float | None = None
    gte: float | None = None


class FieldCondition(_Strict):
    """A condition on a payload field; dots in the key separate the names of nested fields."""

    key: str
    match: Match | None = None
    range: Range | None = None
    values_count: Range | None = None
    is_empty: bool | None = None
    is_null: bool | None = None


class Field(_Strict):
    """A field by its key."""

    key: str


class MinShould(_Strict):
    """A minimum number of conditions that must hold."""

    conditions: list[Any]
    min_count: int


class Filter(_Strict):
    """The four clauses of a filter; the first three are one condition or a list of conditions."""

    must: Any = None
    should: Any = None
    must_not: Any = None
    min_should: MinShould | None = None


def conditions_of(clause: object) -> list[Any]:
    """Return the conditions of a clause as a list."""
    if clause is None:
        return []
    return clause if isinstance(clause, list) else [clause]
