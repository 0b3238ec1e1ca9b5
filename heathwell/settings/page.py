"""The reference page of all settings, generated from the records."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import NODEFAULT, inspect

from heathwell.settings.field_types import annotations_of, describe, format_number, unwrap
from heathwell.settings.records.service import ServiceSettings

HEAD = """# Settings

Made by `heathwell schema`; change `heathwell/settings/schema.py`, not this page. A file is a row of
S-expressions, `(key value ...)`; `;` begins a comment. Times and sizes carry their unit, shares may be
written as `75%`. Unknown and doubled keys are errors; `heathwell check FILE` tells all errors at once.
"""


class _Section(NamedTuple):
    """A section of the page: the table of one record type."""

    info: inspect.StructType
    title: str
    meaning: str


def schema_page() -> str:
    """Return the page as Markdown, with a table for each record type."""
    info = inspect.type_info(ServiceSettings)
    assert isinstance(info, inspect.StructType)
    lines = [HEAD]
    _append_section(_Section(info, "the file", ""), lines)
    return "\n".join(lines)


def _append_section(section: _Section, lines: list[str]) -> None:
    """Append the section of a record type, then those of the record types of its fields."""
    lines.append(f"\n## {section.title}\n")
    if section.meaning:
        lines.append(section.meaning + "\n")
    lines += ["| key | takes | default | meaning |", "| --- | --- | --- | --- |"]
    for field in section.info.fields:
        lines.append(_row(field))
    for field in section.info.fields:
        record_type = _record_type(field)
        if record_type is not None:
            title = f"({_key(field)} ...)"
            _append_section(_Section(record_type, title, _meaning(field.type)), lines)


def _row(field: inspect.Field) -> str:
    if isinstance(unwrap(field.type), inspect.StructType):
        takes = "a form"
        default = "as below"
    elif _record_type(field) is not None:
        takes = "a form, any number of times"
        default = ""
    else:
        position = "first, without a key: " if annotations_of(field.type).get("positional") else ""
        takes = position + describe(field.type)
        default = _default(field)
    return f"| `{_key(field)}` | {takes} | {default} | {_meaning(field.type)} |"


def _key(field: inspect.Field) -> str:
    return annotations_of(field.type).get("each") or field.encode_name


def _record_type(field: inspect.Field) -> inspect.StructType | None:
    """Return the record type of a field that holds a record or a list of records, else None."""
    inner = unwrap(field.type)
    if isinstance(inner, inspect.ListType):
        inner = unwrap(inner.item_type)
    return inner if isinstance(inner, inspect.StructType) else None


def _default(field: inspect.Field) -> str:
    if field.required:
        return "required"
    value = field.default if field.default is not NODEFAULT else None
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int | float):
        return format_number(value, field.type)
    return str(value)


def _meaning(info: inspect.Type) -> str:
    """Return the first description among a type's annotations, or the empty string."""
    while isinstance(info, inspect.Metadata):
        text = (info.extra_json_schema or {}).get("description")
        if text:
            return str(text)
        info = info.type
    members = info.types if isinstance(info, inspect.UnionType) else ()
    meanings = (_meaning(member) for member in members)
    return next(filter(None, meanings), "")
