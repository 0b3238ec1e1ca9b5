"""Conversion of parsed forms to records: checks types, units, bounds, and unknown, repeated or missing keys.

All errors of a file are reported together.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar, Union

import msgspec
from msgspec import inspect

from heathwell.settings.consistency import CROSS_CHECKS
from heathwell.settings.errors import WHOLE_FILE, Problem, SettingsError, SourceLocation
from heathwell.settings.field_types import Scalar, annotations_of, convert, describe, format_number, unwrap
from heathwell.settings.reader import START_OF_FILE, Atom, Form, read
from heathwell.settings.records.service import ServiceSettings
from heathwell.settings.units import TIME_US

__all__ = ["TIME_US", "Problem", "SettingsError", "SourceLocation", "load", "loads", "loads_as"]

R = TypeVar("R", bound=msgspec.Struct)
Position = tuple[int, int]  # line and column
PathAndText = tuple[str, str]  # an error: the path of its key, and the message
RecordCheck = Callable[[R], Iterable[PathAndText]]
Value = Union[Scalar, None, list["Value"], "RecordValues"]
RecordValues = dict[str, Value]
MIN_KEY_SIMILARITY = 0.5  # from which a known key is suggested for an unknown one


def load(path: str | Path) -> ServiceSettings:
    """Return the settings of a file; raise :class:`SettingsError` or :class:`OSError`."""
    return loads(Path(path).read_text(encoding="utf-8"), str(path))


def loads(text: str, file: str = "settings") -> ServiceSettings:
    """Return the settings of a text; raise :class:`SettingsError`."""
    return loads_as(ServiceSettings, CROSS_CHECKS, text, file)


def loads_as(record_type: type[R], checks: Iterable[RecordCheck[R]], text: str, file: str) -> R:
    """Parse a text into a record of ``record_type``; raise :class:`SettingsError`.

    ``checks`` yield the path and message of each error of a complete record. They run only on a text without
    other errors.
    """
    checker = Checker(file)
    root = Form((Atom("settings", START_OF_FILE), *read(text, file)), START_OF_FILE)
    values = checker.record(root, inspect.type_info(record_type), "")
    if not checker.problems:
        record = msgspec.convert(values, record_type)
        for check in checks:
            for path, reason in check(record):
                checker.add(checker.locate(path), path, reason)
        if not checker.problems:
            return record
    raise SettingsError(sorted(checker.problems, key=_position))


def _position(problem: Problem) -> Position:
    return problem.location.line, problem.location.column


@dataclass(slots=True)
class _RecordFields:
    """The fields of a record, grouped by how they are written in a form."""

    by_name: dict[str, inspect.Field]
    positional: list[str]  # written without a key; those without a value yet, in order
    repeated: dict[str, str]  # lists of records: field names by the key of one element
    keyed: set[str]

    @classmethod
    def of(cls, info: inspect.StructType) -> _RecordFields:
        """Group the fields of a record type."""
        by_name = {field.encode_name: field for field in info.fields}
        notes = {name: annotations_of(field.type) for name, field in by_name.items()}
        positional = [name for name in by_name if notes[name].get("positional")]
        repeated = {notes[name]["each"]: name for name in by_name if "each" in notes[name]}
        keyed = set(by_name) - set(positional) - set(repeated.values())
        return cls(by_name, positional, repeated, keyed)


class Checker:
    """Converts forms to the values of records by their types, and collects the errors."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.locations: dict[str, SourceLocation] = {}  # by the path of a key

    def add(self, location: SourceLocation, key: str, text: str) -> None:
        """Record an error."""
        self.problems.append(Problem(self.file, location, key or WHOLE_FILE, text))

    def locate(self, path: str) -> SourceLocation:
        """Return the location of a path, or of its nearest ancestor that is in the file."""
        while path and path not in self.locations:
            path = path.rpartition(".")[0]
        return self.locations.get(path, START_OF_FILE)

    def record(self, form: Form, info: inspect.Type, path: str) -> RecordValues:
        """Return the values of a record by the encoded names of its fields."""
        assert isinstance(info, inspect.StructType)
        self.locations[path] = form.location
        fields = _RecordFields.of(info)
        values: RecordValues = {}
        for item in form.items[1:]:
            if isinstance(item, Atom):
                self._add_positional(item, fields, values, path)
            elif not item.items or not isinstance(item.items[0], Atom):
                self.add(item.location, path, "a form must begin with its key")
            else:
                self._add_keyed(item, item.items[0].text, fields, values, path)
        for name, field in fields.by_name.items():
            if field.required and name not in values:
                self.add(form.location, join(path, name), "is missing")
        return values

    def _add_positional(self, atom: Atom, fields: _RecordFields, values: RecordValues, path: str) -> None:
        if not fields.positional:
            self.add(atom.location, path, f"'{atom.text}' is out of place: a (key value) form was expected")
            return
        name = fields.positional.pop(0)
        values[name] = self.value(atom, fields.by_name[name].type, join(path, name))

    def _add_keyed(
        self, form: Form, key: str, fields: _RecordFields, values: RecordValues, path: str
    ) -> None:
        if key in fields.repeated:
            self._add_repeated(form, key, fields, values, path)
        elif key not in fields.keyed:
            self._add_unknown_key(form, key, fields, path)
        elif key in values:
            self.add(form.location, join(path, key), "given twice")
        else:
            values[key] = self.field(form, fields.by_name[key].type, join(path, key))

    def _add_repeated(
        self, form: Form, key: str, fields: _RecordFields, values: RecordValues, path: str
    ) -> None:
        name = fields.repeated[key]
        records = values.setdefault(name, [])
        list_type = unwrap(fields.by_name[name].type)
        assert isinstance(records, list)
        assert isinstance(list_type, inspect.ListType | inspect.VarTupleType)
        record_path = join(path, f"{key}[{len(records)}]")
        records.append(self.record(form, unwrap(list_type.item_type), record_path))

    def _add_unknown_key(self, form: Form, key: str, fields: _RecordFields, path: str) -> None:
        known_keys = [name for name in fields.by_name if name in fields.keyed] + list(fields.repeated)
        similar_keys = difflib.get_close_matches(key, known_keys, 1, MIN_KEY_SIMILARITY)
        if similar_keys:
            hint = f"did you mean '{similar_keys[0]}'?"
        else:
            hint = f"known keys: {', '.join(sorted(known_keys))}"
        self.add(form.location, join(path, key), f"unknown key; {hint}")

    def field(self, form: Form, info: inspect.Type, path: str) -> Value:
        """Return the value of a field, given by a (key value ...) form."""
        self.locations[path] = form.location
        inner = unwrap(info)
        if isinstance(inner, inspect.StructType):
            return self.record(form, inner, path)
        items = form.items[1:]
        if isinstance(inner, inspect.ListType | inspect.VarTupleType):
            return [self.value(item, inner.item_type, path) for item in items]
        if len(items) != 1:
            self.add(form.location, path, f"one value expected ({describe(info)}), got {len(items)}")
            return None
        return self.value(items[0], info, path)

    def value(self, item: Atom | Form, info: inspect.Type, path: str) -> Scalar | None:
        """Return the value of an atom, in the unit of the record; None after an error."""
        self.locations.setdefault(path, item.location)
        if isinstance(item, Form):
            self.add(item.location, path, f"{describe(info)} expected, got a form")
            return None
        value = convert(item, info)
        if value is None:
            self.add(item.location, path, f"{describe(info)} expected, got '{item.text}'")
        elif isinstance(value, int | float):
            self._check_bounds(value, item, info, path)
        return value

    def _check_bounds(self, value: float, atom: Atom, info: inspect.Type, path: str) -> None:
        inner = unwrap(info)
        if not isinstance(inner, inspect.IntType | inspect.FloatType):
            return
        if inner.ge is not None and value < inner.ge:
            self._add_out_of_bounds(f"at least {format_number(inner.ge, info)}", atom, path)
        if inner.le is not None and value > inner.le:
            self._add_out_of_bounds(f"at most {format_number(inner.le, info)}", atom, path)
        if inner.gt is not None and value <= inner.gt:
            self._add_out_of_bounds(f"more than {format_number(inner.gt, info)}", atom, path)

    def _add_out_of_bounds(self, bound: str, atom: Atom, path: str) -> None:
        self.add(atom.location, path, f"must be {bound}, got '{atom.text}'")


def join(path: str, key: str) -> str:
    """Append a key to a path."""
    return f"{path}.{key}" if path else key
