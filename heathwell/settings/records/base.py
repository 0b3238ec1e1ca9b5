"""The base class of settings records, and functions that make the annotations of their fields.

The text of an annotation is the meaning of the field on the page that `heathwell schema` prints. Tests
compare that page with the one of an earlier version, so a changed text is a change of the interface.
"""

from __future__ import annotations

from msgspec import Meta, Struct

NAME = Meta(description="its name", min_length=1, extra={"positional": True})


class Record(Struct, rename="kebab", forbid_unknown_fields=True):
    """A settings record; keys in a file are the field names with dashes, unless a field sets its own."""


def described(text: str) -> Meta:
    """Annotate a field of any type."""
    return Meta(description=text)


def count(text: str, minimum: int = 0) -> Meta:
    """Annotate an integer."""
    return Meta(ge=minimum, description=text)


def duration(text: str, minimum_us: int = 0) -> Meta:
    """Annotate a duration: in a file with its unit, in the record in microseconds."""
    return Meta(ge=minimum_us, description=text, extra={"unit": "time"})


def size(text: str) -> Meta:
    """Annotate a size: in a file with its unit, in the record in bytes."""
    return Meta(ge=1, description=text, extra={"unit": "size"})


def fraction(text: str) -> Meta:
    """Annotate a number from 0 to 1."""
    return Meta(ge=0, le=1, description=text)


def repeated(key: str, text: str) -> Meta:
    """Annotate a list of records, each written as a form with this key."""
    return Meta(description=text, extra={"each": key})
