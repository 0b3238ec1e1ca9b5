"""Checked payload filters over a shard's points: columns of payload fields, made when first asked for, to
masks.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

from heathwell.service.vectors.filters import listed

Mask = NDArray[np.bool_]


class Columns:
    """Payloads of a shard by field, each made when it is first asked for; ``values`` are lists of a point's
    values.
    """

    def __init__(self, ids: Sequence[int | str], payloads: Sequence[dict[str, Any]]) -> None:
        self.ids, self.payloads = ids, payloads
        self._values: dict[str, list[Any]] = {}
        self._numbers: dict[str, tuple[NDArray[np.float64], Mask] | None] = {}
        self._codes: dict[str, tuple[dict[Any, int], NDArray[np.int64]] | None] = {}
        self._rows: dict[int | str, int] | None = None

    def values(self, key: str) -> list[Any]:
        """A field's raw values by point; None where it is missing."""
        if key not in self._values:
            path = key.split(".")
            self._values[key] = [_dig(payload, path) for payload in self.payloads]
        return self._values[key]

    def numbers(self, key: str) -> tuple[NDArray[np.float64], Mask] | None:
        """A field of plain numbers as an array and where it is one; None where some point holds a list."""
        if key not in self._numbers:
            values = self.values(key)
            if any(isinstance(v, list) for v in values):
                self._numbers[key] = None
            else:
                is_number = np.fromiter((_is_number(v) for v in values), bool, len(values))
                self._numbers[key] = (
                    np.fromiter((float(v) if _is_number(v) else 0.0 for v in values), float, len(values)),
                    is_number,
                )
        return self._numbers[key]

    def codes(self, key: str) -> tuple[dict[Any, int], NDArray[np.int64]] | None:
        """A field of plain values as numbers of a dictionary; None where some point holds a list or an
        object.
        """
        if key not in self._codes:
            values = self.values(key)
            if any(isinstance(v, list | dict) for v in values):
                self._codes[key] = None
            else:
                book: dict[Any, int] = {}
                # True is no 1 to a filter, though Python takes them for equal.
                coded = np.fromiter(
                    (book.setdefault((type(v) is bool, v), len(book)) for v in values), np.int64, len(values)
                )
                self._codes[key] = book, coded
        return self._codes[key]

    def row(self, point: int | str) -> int | None:
        """The row of an id."""
        if self._rows is None:
            self._rows = {one: row for row, one in enumerate(self.ids)}
        return self._rows.get(point)


def _dig(payload: Any, path: Sequence[str]) -> Any:
    for name in path:
        if not isinstance(payload, dict) or name not in payload:
            return None
        payload = payload[name]
    return payload


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def mask_of(filter_: dict[str, Any], columns: Columns) -> Mask:
    """The points that a checked filter takes."""
    size = len(columns.ids)
    out = np.ones(size, bool)
    for one in listed(filter_.get("must")):
        out &= _condition(one, columns)
    for one in listed(filter_.get("must_not")):
        out &= ~_condition(one, columns)
    should = listed(filter_.get("should"))
    if should:
        any_of = np.zeros(size, bool)
        for one in should:
            any_of |= _condition(one, columns)
        out &= any_of
    some = filter_.get("min_should")
    if some:
        counts = np.zeros(size, np.int64)
        for one in some["conditions"]:
            counts += _condition(one, columns)
        out &= counts >= some["min_count"]
    return out


def _condition(raw: dict[str, Any], columns: Columns) -> Mask:
    size = len(columns.ids)
    if "key" not in raw:
        if "has_id" in raw:
            out = np.zeros(size, bool)
            rows = [row for point in raw["has_id"] if (row := columns.row(point)) is not None]
            out[rows] = True
            return out
        if "is_empty" in raw:
            return _each(columns, raw["is_empty"]["key"], lambda v: v in (None, []))
        if "is_null" in raw:
            return _nulls(columns, raw["is_null"]["key"])
        return mask_of(raw, columns)
    key = raw["key"]
    if raw.get("match") is not None:
        return _match(raw["match"], columns, key)
    if raw.get("range") is not None:
        return _range(raw["range"], columns, key)
    if raw.get("values_count") is not None:
        holds = _bounds(raw["values_count"])
        return _each(columns, key, lambda v: holds(len(v) if isinstance(v, list) else v is not None))
    if raw.get("is_empty") is not None:
        wanted = raw["is_empty"]
        return _each(columns, key, lambda v: (v in (None, [])) == wanted)
    return np.asarray(_nulls(columns, key) == raw["is_null"], bool)


def _nulls(columns: Columns, key: str) -> Mask:
    """Fields that are there and null: a missing one is empty, not null."""
    *path, last = key.split(".")
    return np.fromiter(
        (
            (holder := _dig(payload, path)) is not None
            and isinstance(holder, dict)
            and last in holder
            and holder[last] is None
            for payload in columns.payloads
        ),
        bool,
        len(columns.ids),
    )


def _each(columns: Columns, key: str, holds: Callable[[Any], bool]) -> Mask:
    return np.fromiter((holds(v) for v in columns.values(key)), bool, len(columns.ids))


def _some(holds: Callable[[Any], bool]) -> Callable[[Any], bool]:
    """A list meets a condition by any of its values."""
    return lambda value: any(map(holds, value)) if isinstance(value, list) else holds(value)


def _match(match: dict[str, Any], columns: Columns, key: str) -> Mask:
    """Equality by a dictionary of the field's values where it has plain ones."""
    without = match.get("except")
    given = [match["value"]] if match.get("value") is not None else match.get("any") or without or []
    marked = {(type(v) is bool, v) for v in given}
    coded = columns.codes(key)
    if coded is None:

        def holds(value: Any) -> bool:
            if without is not None:
                return value is not None and (type(value) is bool, value) not in marked
            return not isinstance(value, dict) and (type(value) is bool, value) in marked

        return _each(columns, key, _some(holds))
    book, codes = coded
    wanted = [book[one] for one in marked if one in book]
    found = np.isin(codes, wanted)
    if without is None:
        return np.asarray(found, bool)
    return np.asarray(~found & (codes != book.get((False, None), -1)), bool)


def _bounds(limits: dict[str, Any]) -> Callable[[float], bool]:
    lt, gt, lte, gte = (limits.get(name) for name in ("lt", "gt", "lte", "gte"))

    def holds(value: float) -> bool:
        return (
            (lt is None or value < lt)
            and (gt is None or value > gt)
            and (lte is None or value <= lte)
            and (gte is None or value >= gte)
        )

    return holds


def _range(limits: dict[str, Any], columns: Columns, key: str) -> Mask:
    numbers = columns.numbers(key)
    if numbers is None:
        holds = _bounds(limits)
        return _each(columns, key, _some(lambda v: _is_number(v) and holds(v)))
    values, out = numbers[0], numbers[1].copy()
    for name, keep in (
        ("lt", np.less),
        ("gt", np.greater),
        ("lte", np.less_equal),
        ("gte", np.greater_equal),
    ):
        if limits.get(name) is not None:
            out &= keep(values, limits[name])
    return out
