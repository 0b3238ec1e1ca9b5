"""Columns of the payload fields of a shard, built at their first use."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeGuard

import numpy as np
from numpy.typing import NDArray

from heathwell.service.vectors.search_messages import JsonObject, PointId

Mask = NDArray[np.bool_]
TypedValue = tuple[bool, object]  # The flag tells a bool from a number, as True equals 1 in Python.


@dataclass(frozen=True, slots=True)
class NumberColumn:
    """The numbers of a field by point, with 0 where it is no number, and a mask of where it is one."""

    values: NDArray[np.float64]
    is_number: Mask


@dataclass(frozen=True, slots=True)
class CodeColumn:
    """The values of a field by point as integer codes, and the code of each distinct value."""

    code_by_value: dict[TypedValue, int]
    codes: NDArray[np.int64]

    def find(self, values: Iterable[TypedValue]) -> list[int]:
        """Return the codes of the values that occur in the field."""
        return [self.code_by_value[value] for value in values if value in self.code_by_value]


class PayloadColumns:
    """The payloads of a shard, by field."""

    def __init__(self, ids: Sequence[PointId], payloads: Sequence[JsonObject]) -> None:
        self.ids = ids
        self.payloads = payloads
        self._values: dict[str, list[object]] = {}
        self._numbers: dict[str, NumberColumn | None] = {}
        self._codes: dict[str, CodeColumn | None] = {}
        self._index_by_id: dict[PointId, int] | None = None

    def __len__(self) -> int:
        return len(self.ids)

    def values(self, key: str) -> list[object]:
        """Return the raw values of a field by point, with None where it is missing."""
        if key not in self._values:
            path = key.split(".")
            self._values[key] = [value_at(payload, path) for payload in self.payloads]
        return self._values[key]

    def numbers(self, key: str) -> NumberColumn | None:
        """Return a field as a column of numbers, or None if a point has a list there."""
        if key not in self._numbers:
            self._numbers[key] = _make_numbers(self.values(key))
        return self._numbers[key]

    def codes(self, key: str) -> CodeColumn | None:
        """Return a field as a column of codes, or None if a point has a list or an object there."""
        if key not in self._codes:
            self._codes[key] = _make_codes(self.values(key))
        return self._codes[key]

    def index_of(self, point_id: PointId) -> int | None:
        """Return the index of a point; None if its id is unknown."""
        if self._index_by_id is None:
            self._index_by_id = {known_id: index for index, known_id in enumerate(self.ids)}
        return self._index_by_id.get(point_id)


def _make_numbers(values: Sequence[object]) -> NumberColumn | None:
    if any(isinstance(value, list) for value in values):
        return None
    numbers = (float(value) if is_number(value) else 0.0 for value in values)
    return NumberColumn(
        np.fromiter(numbers, float, len(values)),
        np.fromiter((is_number(value) for value in values), bool, len(values)),
    )


def _make_codes(values: Sequence[object]) -> CodeColumn | None:
    if any(isinstance(value, list | dict) for value in values):
        return None
    code_by_value: dict[TypedValue, int] = {}
    codes = (code_by_value.setdefault(typed(value), len(code_by_value)) for value in values)
    return CodeColumn(code_by_value=code_by_value, codes=np.fromiter(codes, np.int64, len(values)))


def typed(value: object) -> TypedValue:
    """Return a value tagged with its type, as Python compares True and 1 as equal."""
    return (type(value) is bool, value)


def is_number(value: object) -> TypeGuard[int | float]:
    """Return whether a payload value is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def value_at(payload: object, path: Sequence[str]) -> object:
    """Return the value at a path of nested objects; None if it is missing."""
    for name in path:
        if not isinstance(payload, dict) or name not in payload:
            return None
        payload = payload[name]
    return payload
