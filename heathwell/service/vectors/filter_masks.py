"""Evaluates checked payload filters over the points of a shard, as boolean masks."""

from __future__ import annotations

from collections.abc import Callable

import numpy as np

from heathwell.service.vectors.filter_schema import conditions_of
from heathwell.service.vectors.payload_columns import (
    Mask,
    PayloadColumns,
    TypedValue,
    is_number,
    typed,
    value_at,
)
from heathwell.service.vectors.search_messages import JsonObject

# A predicate over payload values; it checks the types of values itself.
Predicate = Callable[..., bool]
COMPARISONS = (
    ("lt", np.less),
    ("gt", np.greater),
    ("lte", np.less_equal),
    ("gte", np.greater_equal),
)
NO_CODE = -1


def evaluate_filter(filter_: JsonObject, columns: PayloadColumns) -> Mask:
    """Return a mask of the points that match a checked filter."""
    mask = np.ones(len(columns), bool)
    for condition in conditions_of(filter_.get("must")):
        mask &= _evaluate_condition(condition, columns)
    for condition in conditions_of(filter_.get("must_not")):
        mask &= ~_evaluate_condition(condition, columns)
    should = conditions_of(filter_.get("should"))
    if should:
        any_of = np.zeros(len(columns), bool)
        for condition in should:
            any_of |= _evaluate_condition(condition, columns)
        mask &= any_of
    min_should = filter_.get("min_should")
    if min_should:
        counts = np.zeros(len(columns), np.int64)
        for condition in min_should["conditions"]:
            counts += _evaluate_condition(condition, columns)
        mask &= counts >= min_should["min_count"]
    return mask


def _evaluate_condition(condition: JsonObject, columns: PayloadColumns) -> Mask:
    if "key" in condition:
        return _evaluate_field_condition(condition, columns, condition["key"])
    if "has_id" in condition:
        mask = np.zeros(len(columns), bool)
        indices = (columns.index_of(point_id) for point_id in condition["has_id"])
        mask[[index for index in indices if index is not None]] = True
        return mask
    if "is_empty" in condition:
        return _evaluate_each(columns, condition["is_empty"]["key"], _is_empty)
    if "is_null" in condition:
        return _evaluate_is_null(columns, condition["is_null"]["key"])
    return evaluate_filter(condition, columns)


def _evaluate_field_condition(condition: JsonObject, columns: PayloadColumns, key: str) -> Mask:
    if condition.get("match") is not None:
        return _evaluate_match(condition["match"], columns, key)
    if condition.get("range") is not None:
        return _evaluate_range(condition["range"], columns, key)
    if condition.get("values_count") is not None:
        is_in_range = _range_predicate(condition["values_count"])
        return _evaluate_each(columns, key, lambda value: is_in_range(_value_count(value)))
    if condition.get("is_empty") is not None:
        expected = condition["is_empty"]
        return _evaluate_each(columns, key, lambda value: _is_empty(value) == expected)
    return np.asarray(_evaluate_is_null(columns, key) == condition["is_null"], bool)


def _is_empty(value: object) -> bool:
    return value in (None, [])


def _value_count(value: object) -> int:
    return len(value) if isinstance(value, list) else int(value is not None)


def _evaluate_is_null(columns: PayloadColumns, key: str) -> Mask:
    """Return a mask of where a field is present and null; a missing field is empty but not null."""
    *path, last = key.split(".")
    parents = (value_at(payload, path) for payload in columns.payloads)
    is_null = (isinstance(parent, dict) and last in parent and parent[last] is None for parent in parents)
    return np.fromiter(is_null, bool, len(columns))


def _evaluate_each(columns: PayloadColumns, key: str, predicate: Predicate) -> Mask:
    return np.fromiter(map(predicate, columns.values(key)), bool, len(columns))


def _any_value(predicate: Predicate) -> Predicate:
    """Return a predicate that holds for a list if it holds for any of its values."""
    return lambda value: any(map(predicate, value)) if isinstance(value, list) else predicate(value)


def _evaluate_match(match: JsonObject, columns: PayloadColumns, key: str) -> Mask:
    """Evaluate a condition of equality, by the codes of the field's values if it has only plain values."""
    is_exclusion = match.get("except") is not None
    if match.get("value") is not None:
        given = [match["value"]]
    else:
        given = match.get("any") or match.get("except") or []
    values = {typed(value) for value in given}
    column = columns.codes(key)
    if column is None:
        predicate = _is_other_than(values) if is_exclusion else _is_one_of(values)
        return _evaluate_each(columns, key, _any_value(predicate))
    is_found = np.isin(column.codes, column.find(values))
    if not is_exclusion:
        return np.asarray(is_found, bool)
    missing_code = column.code_by_value.get(typed(None), NO_CODE)
    return np.asarray(~is_found & (column.codes != missing_code), bool)


def _is_one_of(values: set[TypedValue]) -> Predicate:
    return lambda value: not isinstance(value, dict) and typed(value) in values


def _is_other_than(values: set[TypedValue]) -> Predicate:
    return lambda value: value is not None and typed(value) not in values


def _range_predicate(limits: JsonObject) -> Predicate:
    less_than = limits.get("lt")
    greater_than = limits.get("gt")
    at_most = limits.get("lte")
    at_least = limits.get("gte")

    return lambda value: (
        (less_than is None or value < less_than)
        and (greater_than is None or value > greater_than)
        and (at_most is None or value <= at_most)
        and (at_least is None or value >= at_least)
    )


def _evaluate_range(limits: JsonObject, columns: PayloadColumns, key: str) -> Mask:
    column = columns.numbers(key)
    if column is None:
        is_in_range = _range_predicate(limits)
        return _evaluate_each(columns, key, _any_value(lambda value: is_number(value) and is_in_range(value)))
    mask = column.is_number.copy()
    for name, compare in COMPARISONS:
        if limits.get(name) is not None:
            mask &= compare(column.values, limits[name])
    return mask
