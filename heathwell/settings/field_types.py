"""The types of settings fields: annotations, descriptions for users, and conversion of atoms to values."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from msgspec import inspect

from heathwell.settings.reader import Atom
from heathwell.settings.units import SIZE_BYTES, TIME_US

Scalar = str | bool | int | float
TRUE_WORDS = ("yes", "true", "on")
FALSE_WORDS = ("no", "false", "off")
NUMBER = re.compile(r"([+-]?(?:\d+\.?\d*|\.\d+)(?:e[+-]?\d+)?)([a-z%]*)", re.IGNORECASE)
UNITS = {"time": TIME_US, "size": SIZE_BYTES}  # factors by the value of the annotation `unit`


def unwrap(info: inspect.Type) -> inspect.Type:
    """Strip annotations from a type, and None from an optional type."""
    while isinstance(info, inspect.Metadata | inspect.UnionType):
        info = _inner_type(info)
    return info


def annotations_of(info: inspect.Type) -> Mapping[str, str]:
    """Return the annotations of a type by name: ``unit``, ``each`` or ``positional``."""
    found: dict[str, str] = {}
    while isinstance(info, inspect.Metadata | inspect.UnionType):
        if isinstance(info, inspect.Metadata):
            found.update(info.extra or {})
        info = _inner_type(info)
    return found


def _inner_type(info: inspect.Metadata | inspect.UnionType) -> inspect.Type:
    if isinstance(info, inspect.Metadata):
        return info.type
    return next(member for member in info.types if not isinstance(member, inspect.NoneType))


def _choices(info: inspect.LiteralType | inspect.EnumType) -> tuple[object, ...]:
    """Return the permitted values of a type; those of an enum are sorted."""
    if isinstance(info, inspect.EnumType):
        return tuple(sorted(member.value for member in info.cls))
    return info.values


def convert(atom: Atom, info: inspect.Type) -> Scalar | None:
    """Convert an atom to a value in the unit of the record; return None if the atom is not of the type."""
    inner = unwrap(info)
    if isinstance(inner, inspect.StrType):
        return atom.text
    if isinstance(inner, inspect.LiteralType | inspect.EnumType):
        return atom.text if atom.text in _choices(inner) else None
    if atom.quoted:
        return None
    if isinstance(inner, inspect.BoolType):
        return _convert_boolean(atom.text)
    return _convert_number(atom.text, info)


def _convert_boolean(text: str) -> bool | None:
    if text in TRUE_WORDS:
        return True
    if text in FALSE_WORDS:
        return False
    return None


def _convert_number(text: str, info: inspect.Type) -> int | float | None:
    found = NUMBER.fullmatch(text)
    if not found:
        return None
    number = float(found[1])
    unit = found[2].lower()
    if not math.isfinite(number):
        return None
    units = UNITS.get(annotations_of(info).get("unit", ""))
    if units is not None:
        return _convert_quantity(number, unit, units)
    inner = unwrap(info)
    if isinstance(inner, inspect.IntType):
        return int(number) if not unit and number == int(number) else None
    if isinstance(inner, inspect.FloatType):
        return _convert_fraction(number, unit)
    return None


def _convert_quantity(number: float, unit: str, units: Mapping[str, int]) -> int | None:
    """Convert a time or size to its smallest unit; only 0 may be written without a unit."""
    if unit in units:
        return round(number * units[unit])
    return 0 if number == 0 and not unit else None


def _convert_fraction(number: float, unit: str) -> float | None:
    if unit == "%":
        return number / 100
    return None if unit else number


def describe(info: inspect.Type) -> str:
    """Describe the values that a type accepts, for errors and the page of settings."""
    inner = unwrap(info)
    unit = annotations_of(info).get("unit")
    if isinstance(inner, inspect.LiteralType | inspect.EnumType):
        return "one of " + ", ".join(map(str, _choices(inner)))
    if isinstance(inner, inspect.BoolType):
        return "yes or no"
    if unit == "time":
        return "a time with its unit (us ms s m h d)"
    if unit == "size":
        return "a size with its unit (b kb mb gb)"
    if isinstance(inner, inspect.IntType):
        return "a whole number"
    if isinstance(inner, inspect.FloatType):
        return "a number or a share (0.75 or 75%)"
    if isinstance(inner, inspect.ListType | inspect.VarTupleType):
        return "a list of " + describe(inner.item_type)
    return "text"


def format_number(value: float, info: inspect.Type) -> str:
    """Format a number as in a settings file; a time is in its largest exact unit up to seconds."""
    if annotations_of(info).get("unit") == "time":
        for unit in ("s", "ms", "us"):
            if value % TIME_US[unit] == 0:
                return f"{int(value // TIME_US[unit])}{unit}"
    return f"{value:g}"
