"""Checks payload filters once at the broker; endpoints evaluate them (:mod:`.filter_masks`).

Supported are the clauses ``must``, ``should``, ``must_not`` and ``min_should``, nested filters, and the
conditions ``match`` (value, any, except), ``range``, ``values_count``, ``is_empty``, ``is_null`` and
``has_id``. Others are rejected with their name.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from heathwell.service.vectors.filter_schema import (
    CLAUSES,
    FIELD_CONDITIONS,
    Field,
    FieldCondition,
    Filter,
    conditions_of,
)
from heathwell.service.vectors.search_messages import PointId

MAXIMUM_CONDITIONS = 256
MAXIMUM_DEPTH = 8

RecordT = TypeVar("RecordT")


class FilterError(ValueError):
    """Raised for a filter that is invalid or not supported, with the ``problem`` and its ``path``."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def check_filter(filter_: object, path: str = "filter") -> None:
    """Raise :class:`FilterError` with the path of what is invalid or not supported."""
    _Checker().check_filter(filter_, path, 0)


class _Checker:
    """Checks one filter, and counts the conditions of all its nested filters."""

    def __init__(self) -> None:
        self._condition_count = 0

    def check_filter(self, raw: object, path: str, depth: int) -> None:
        """Check the clauses of a filter at a depth of nesting."""
        if depth > MAXIMUM_DEPTH:
            raise FilterError(path, f"nested deeper than {MAXIMUM_DEPTH}")
        filter_ = _convert(raw, Filter, path)
        for clause in ("must", "should", "must_not"):
            for number, condition in enumerate(conditions_of(getattr(filter_, clause))):
                self._check_condition(condition, f"{path}.{clause}[{number}]", depth)
        if filter_.min_should is not None:
            for number, condition in enumerate(filter_.min_should.conditions):
                self._check_condition(condition, f"{path}.min_should.conditions[{number}]", depth)

    def _check_condition(self, raw: object, path: str, depth: int) -> None:
        self._condition_count += 1
        if self._condition_count > MAXIMUM_CONDITIONS:
            raise FilterError(path, f"more than {MAXIMUM_CONDITIONS} conditions")
        if not isinstance(raw, dict):
            raise FilterError(path, "a condition is an object")
        if "key" in raw:
            _check_field_condition(_convert(raw, FieldCondition, path), path)
        elif "is_empty" in raw or "is_null" in raw:
            name = "is_empty" if "is_empty" in raw else "is_null"
            _convert(raw[name], Field, f"{path}.{name}")
        elif "has_id" in raw:
            _convert(raw["has_id"], list[PointId], f"{path}.has_id")
        elif set(raw) <= set(CLAUSES):
            self.check_filter(raw, path, depth + 1)
        else:
            raise FilterError(path, f"no such condition is served: {', '.join(sorted(raw))}")


def _check_field_condition(condition: FieldCondition, path: str) -> None:
    given = [name for name in FIELD_CONDITIONS if getattr(condition, name) is not None]
    if len(given) != 1:
        raise FilterError(path, f"names one of {', '.join(FIELD_CONDITIONS)}")
    if condition.match is not None and condition.match.given_count() != 1:
        raise FilterError(f"{path}.match", "names one of value, any, except")


def _convert(raw: object, kind: type[RecordT], path: str) -> RecordT:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        problem, _, place = str(error).partition(" - at `$")
        raise FilterError(path + place.rstrip("`"), problem) from None
