"""Nodes to records: types, units, limits, unknown and doubled keys; all errors of a file in one go."""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from msgspec import inspect as shape

from heathwell.settings.reader import Atom, Form, ReadError, read
from heathwell.settings.schema import CROSS_CHECKS, ServiceSettings

R = TypeVar("R", bound=msgspec.Struct)
TIME_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZES = {"b": 1, "kb": 1 << 10, "mb": 1 << 20, "gb": 1 << 30}
YES, NO = ("yes", "true", "on"), ("no", "false", "off")
NUMBER = re.compile(r"([+-]?(?:\d+\.?\d*|\.\d+)(?:e[+-]?\d+)?)([a-z%]*)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Where:
    """A place in a file."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong: where, at which key, and what was expected."""

    file: str
    where: Where
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.where.line}:{self.where.column}: {self.key}: {self.text}"


class SettingsError(Exception):
    """A file that can't be used; ``problems`` holds everything found, in the file's order."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def load(path: str | Path) -> ServiceSettings:
    """The settings of a file; raises :class:`SettingsError`, :class:`OSError`."""
    return loads(Path(path).read_text(encoding="utf-8"), str(path))


def loads(text: str, file: str = "settings") -> ServiceSettings:
    """The settings of a text; raises :class:`SettingsError`."""
    return loads_as(ServiceSettings, CROSS_CHECKS, text, file)


def loads_as(
    kind: type[R], checks: Iterable[Callable[[R], Iterable[tuple[str, str]]]], text: str, file: str
) -> R:
    """A text as a record of another kind, with checks that give a path and what is wrong there."""
    checker = Checker(file)
    try:
        forms = read(text)
    except ReadError as problem:
        where = Where(problem.line, problem.column)
        raise SettingsError([Problem(file, where, "file", problem.text)]) from None
    whole = Form((Atom("settings", False, 1, 1), *forms), 1, 1)
    values = checker.record(whole, shape.type_info(kind), "")
    if not checker.problems:
        made = msgspec.convert(values, kind)
        for check in checks:
            for path, wrong in check(made):
                checker.add(checker.place(path), path, wrong)
        if not checker.problems:
            return made
    raise SettingsError(sorted(checker.problems, key=lambda p: (p.where.line, p.where.column)))


class Checker:
    """Walks the nodes beside the shape of the records."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.places: dict[str, Where] = {}

    def add(self, where: Where, key: str, text: str) -> None:
        """Note a problem."""
        self.problems.append(Problem(self.file, where, key or "file", text))

    def place(self, path: str) -> Where:
        """Where a path stands, or the nearest one above it."""
        while path and path not in self.places:
            path = path.rpartition(".")[0]
        return self.places.get(path, Where(1, 1))

    def record(self, form: Form, info: shape.Type, path: str) -> dict[str, Any]:
        """A form as the mapping that its record is made from."""
        assert isinstance(info, shape.StructType)
        self.places[path] = Where(form.line, form.column)
        fields = {entry.encode_name: entry for entry in info.fields}
        positional = [name for name, entry in fields.items() if extra(entry.type).get("positional")]
        repeated = {
            extra(entry.type)["each"]: name for name, entry in fields.items() if "each" in extra(entry.type)
        }
        plain = {
            name for name, entry in fields.items() if name not in positional and name not in repeated.values()
        }
        values: dict[str, Any] = {}
        for item in form.items[1:]:
            where = Where(item.line, item.column)
            if isinstance(item, Atom):
                if not positional:
                    self.add(where, path, f"'{item.text}' is out of place: a (key value) form was expected")
                    continue
                name = positional.pop(0)
                values[name] = self.value(item, fields[name].type, join(path, name))
                continue
            if not item.items or not isinstance(item.items[0], Atom):
                self.add(where, path, "a form must begin with its key")
                continue
            key = item.items[0].text
            if key in repeated:
                name = repeated[key]
                rows = values.setdefault(name, [])
                inner = bare(fields[name].type)
                assert isinstance(inner, shape.ListType | shape.VarTupleType)
                rows.append(self.record(item, bare(inner.item_type), join(path, f"{key}[{len(rows)}]")))
            elif key not in plain:
                known = [*plain, *repeated]
                near = difflib.get_close_matches(key, known, 1, 0.5)
                hint = f"; did you mean '{near[0]}'?" if near else f"; known here: {', '.join(sorted(known))}"
                self.add(where, join(path, key), f"unknown key{hint}")
            elif key in values:
                self.add(where, join(path, key), "given twice")
            else:
                values[key] = self.field(item, fields[key].type, join(path, key))
        for name, entry in fields.items():
            if entry.required and name not in values:
                self.add(Where(form.line, form.column), join(path, name), "is missing")
        return values

    def field(self, form: Form, info: shape.Type, path: str) -> Any:
        """The value of one (key value ...) form."""
        self.places[path] = Where(form.line, form.column)
        inner = bare(info)
        if isinstance(inner, shape.StructType):
            return self.record(form, inner, path)
        rest = form.items[1:]
        if isinstance(inner, shape.ListType | shape.VarTupleType):
            return [self.value(item, inner.item_type, path) for item in rest]
        if len(rest) != 1:
            self.add(self.places[path], path, f"one value expected ({expected(info)}), got {len(rest)}")
            return None
        return self.value(rest[0], info, path)

    def value(self, item: Atom | Form, info: shape.Type, path: str) -> Any:
        """One atom, checked and in the record's unit."""
        where = Where(item.line, item.column)
        self.places.setdefault(path, where)
        if isinstance(item, Form):
            self.add(where, path, f"{expected(info)} expected, got a form")
            return None
        made = convert(item, info)
        if made is None:
            self.add(where, path, f"{expected(info)} expected, got '{item.text}'")
            return None
        inner = bare(info)
        if isinstance(inner, shape.IntType | shape.FloatType):
            for bound, bad, word in (
                (inner.ge, made < (inner.ge or 0), "at least"),
                (inner.le, made > (inner.le or 0), "at most"),
                (inner.gt, made <= (inner.gt or 0), "more than"),
            ):
                if bound is not None and bad:
                    self.add(where, path, f"must be {word} {show(bound, info)}, got '{item.text}'")
        return made


def convert(item: Atom, info: shape.Type) -> Any:
    """The value of an atom, None where it does not fit."""
    inner, text = bare(info), item.text
    if isinstance(inner, shape.StrType):
        return text
    if isinstance(inner, shape.LiteralType):
        return text if text in inner.values else None
    if item.quoted:
        return None
    if isinstance(inner, shape.BoolType):
        return True if text in YES else False if text in NO else None
    found = NUMBER.fullmatch(text)
    if not found:
        return None
    number, unit = float(found[1]), found[2].lower()
    kind = extra(info).get("unit")
    if not math.isfinite(number):
        return None
    if kind in ("time", "size"):
        table = TIME_US if kind == "time" else SIZES
        if unit not in table and not (number == 0 and not unit):
            return None
        return round(number * table.get(unit, 1))
    if isinstance(inner, shape.IntType):
        return int(number) if not unit and number == int(number) else None
    if isinstance(inner, shape.FloatType):
        return number / 100 if unit == "%" else None if unit else number
    return None


def bare(info: shape.Type) -> shape.Type:
    """A type without its notes, and without 'or nothing'."""
    while isinstance(info, shape.Metadata | shape.UnionType):
        if isinstance(info, shape.Metadata):
            info = info.type
        else:
            info = next(t for t in info.types if not isinstance(t, shape.NoneType))
    return info


def extra(info: shape.Type) -> dict[str, Any]:
    """The notes of a type."""
    found: dict[str, Any] = {}
    while isinstance(info, shape.Metadata | shape.UnionType):
        if isinstance(info, shape.Metadata):
            found.update(info.extra or {})
            info = info.type
        else:
            info = next(t for t in info.types if not isinstance(t, shape.NoneType))
    return found


def expected(info: shape.Type) -> str:
    """What a type takes, for a person."""
    inner, kind = bare(info), extra(info).get("unit")
    if isinstance(inner, shape.LiteralType):
        return "one of " + ", ".join(map(str, inner.values))
    if isinstance(inner, shape.BoolType):
        return "yes or no"
    if kind == "time":
        return "a time with its unit (us ms s m h d)"
    if kind == "size":
        return "a size with its unit (b kb mb gb)"
    if isinstance(inner, shape.IntType):
        return "a whole number"
    if isinstance(inner, shape.FloatType):
        return "a number or a share (0.75 or 75%)"
    if isinstance(inner, shape.ListType | shape.VarTupleType):
        return "a list of " + expected(inner.item_type)
    return "text"


def show(value: float, info: shape.Type) -> str:
    """A bound in the unit that a person would write."""
    if extra(info).get("unit") == "time":
        for unit in ("s", "ms", "us"):
            if value % TIME_US[unit] == 0:
                return f"{int(value // TIME_US[unit])}{unit}"
    return f"{value:g}"


def join(path: str, key: str) -> str:
    """A path one step longer."""
    return f"{path}.{key}" if path else key
