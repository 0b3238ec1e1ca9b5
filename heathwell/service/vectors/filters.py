"""Payload filters of the search API, checked once at the broker; hosts evaluate them
(:mod:`heathwell.service.vectors.masks`).

Supported: ``must``, ``should``, ``must_not``, ``min_should``, nested filters; ``match`` (value, any, except),
``range``, ``values_count``, ``is_empty``, ``is_null``, ``has_id``. What is not served is refused by name.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

Scalar = bool | int | str
CONDITIONS_MOST, DEPTH_MOST = 256, 8


class FilterError(ValueError):
    """A filter that can't be served; ``path`` names the place."""

    def __init__(self, path: str, text: str) -> None:
        super().__init__(f"{path}: {text}")
        self.path, self.text = path, text


class _Strict(msgspec.Struct, forbid_unknown_fields=True):
    pass


class Match(_Strict):
    """One of the three."""

    value: Scalar | None = None
    any: list[int | str] | None = None
    except_: list[int | str] | None = msgspec.field(name="except", default=None)


class Range(_Strict):
    """Bounds of a number."""

    lt: float | None = None
    gt: float | None = None
    lte: float | None = None
    gte: float | None = None


class FieldCondition(_Strict):
    """A condition on a payload field; dots go into nested objects."""

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
    """At least so many of some."""

    conditions: list[Any]
    min_count: int


class Filter(_Strict):
    """The four clauses."""

    must: Any = None
    should: Any = None
    must_not: Any = None
    min_should: MinShould | None = None


def check(filter_: Any, path: str = "filter") -> None:
    """Raise :class:`FilterError` naming the place of what is wrong or not served."""
    _Checker().filter(filter_, path, 0)


class _Checker:
    def __init__(self) -> None:
        self.count = 0

    def filter(self, raw: Any, path: str, depth: int) -> None:
        if depth > DEPTH_MOST:
            raise FilterError(path, f"nested deeper than {DEPTH_MOST}")
        made = _as(raw, Filter, path)
        for clause in ("must", "should", "must_not"):
            for number, one in enumerate(listed(getattr(made, clause))):
                self.condition(one, f"{path}.{clause}[{number}]", depth)
        if made.min_should is not None:
            for number, one in enumerate(made.min_should.conditions):
                self.condition(one, f"{path}.min_should.conditions[{number}]", depth)

    def condition(self, raw: Any, path: str, depth: int) -> None:
        self.count += 1
        if self.count > CONDITIONS_MOST:
            raise FilterError(path, f"more than {CONDITIONS_MOST} conditions")
        if not isinstance(raw, dict):
            raise FilterError(path, "a condition is an object")
        if "key" in raw:
            made = _as(raw, FieldCondition, path)
            given = [
                name
                for name in ("match", "range", "values_count", "is_empty", "is_null")
                if getattr(made, name) is not None
            ]
            if len(given) != 1:
                raise FilterError(path, "names one of match, range, values_count, is_empty, is_null")
            if (
                made.match is not None
                and sum(x is not None for x in (made.match.value, made.match.any, made.match.except_)) != 1
            ):
                raise FilterError(f"{path}.match", "names one of value, any, except")
        elif "is_empty" in raw or "is_null" in raw:
            name = "is_empty" if "is_empty" in raw else "is_null"
            _as(raw[name], Field, f"{path}.{name}")
        elif "has_id" in raw:
            _as(raw["has_id"], list[int | str], f"{path}.has_id")
        elif set(raw) <= {"must", "should", "must_not", "min_should"}:
            self.filter(raw, path, depth + 1)
        else:
            raise FilterError(path, f"no such condition is served: {', '.join(sorted(raw))}")


def _as(raw: Any, kind: Any, path: str) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as problem:
        text, _, where = str(problem).partition(" - at `$")
        raise FilterError(path + where.rstrip("`"), text) from None


def listed(clause: Any) -> Sequence[Any]:
    """A clause's conditions: one may stand alone."""
    return () if clause is None else clause if isinstance(clause, list) else (clause,)
