"""The page of all settings, made from the records."""

from __future__ import annotations

from msgspec import NODEFAULT
from msgspec import inspect as shape

from heathwell.settings.check import bare, expected, extra, show
from heathwell.settings.schema import ServiceSettings

HEAD = """# Settings

Made by `heathwell schema`; change `heathwell/settings/schema.py`, not this page. A file is a row of
S-expressions, `(key value ...)`; `;` begins a comment. Times and sizes carry their unit, shares may be
written as `75%`. Unknown and doubled keys are errors; `heathwell check FILE` tells all errors at once.
"""


def schema_page() -> str:
    """Markdown: a table for each record."""
    out = [HEAD]
    _record(shape.type_info(ServiceSettings), "the file", "", out)
    return "\n".join(out)


def _record(info: shape.Type, title: str, about: str, out: list[str]) -> None:
    assert isinstance(info, shape.StructType)
    out.append(f"\n## {title}\n")
    if about:
        out.append(about + "\n")
    out += ["| key | takes | default | meaning |", "| --- | --- | --- | --- |"]
    inner: list[tuple[shape.Type, str, str]] = []
    for field in info.fields:
        notes, kind = extra(field.type), bare(field.type)
        text = _about(field.type)
        key = notes.get("each") or field.encode_name
        if isinstance(kind, shape.ListType) and isinstance(bare(kind.item_type), shape.StructType):
            inner.append((bare(kind.item_type), f"({key} ...)", text))
            takes, default = "a form, any number of times", ""
        elif isinstance(kind, shape.StructType):
            inner.append((kind, f"({key} ...)", text))
            takes, default = "a form", "as below"
        else:
            takes = ("first, without a key: " if notes.get("positional") else "") + expected(field.type)
            default = _default(field)
        out.append(f"| `{key}` | {takes} | {default} | {text} |")
    for kind, name, text in inner:
        _record(kind, name, text, out)


def _default(field: shape.Field) -> str:
    if field.required:
        return "required"
    value = field.default if field.default is not NODEFAULT else None
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int | float):
        return show(value, field.type)
    return str(value)


def _about(info: shape.Type) -> str:
    while isinstance(info, shape.Metadata):
        text = (info.extra_json_schema or {}).get("description")
        if text:
            return str(text)
        info = info.type
    if isinstance(info, shape.UnionType):
        return next((text for text in map(_about, info.types) if text), "")
    return ""
