"""The age of an answer's data, in the fields that clients of all protocols read (docs/freshness.md)."""

from __future__ import annotations

from typing import Any

import msgspec

from heathwell.broker.replies import Age
from heathwell.servers.durations import milliseconds_rounded_up


class AgeFields(msgspec.Struct, frozen=True):
    """What a reply states about the age of its data; the names of the fields are an interface."""

    age_ms: int | None  # the greatest age that the data can have; None: unknown
    stale: bool
    token: str
    consistent: bool | msgspec.UnsetType = msgspec.UNSET
    behind: list[int] | msgspec.UnsetType = msgspec.UNSET


def age_fields(age: Age) -> dict[str, Any]:
    """Return the fields of :class:`AgeFields`, to be merged into the object that a protocol sends."""
    fields = AgeFields(
        age_ms=None if age.bound_us is None else milliseconds_rounded_up(age.bound_us),
        stale=age.stale,
        token=age.token,
        consistent=msgspec.UNSET if age.consistent else False,
        behind=list(age.behind) or msgspec.UNSET,
    )
    built: dict[str, Any] = msgspec.to_builtins(fields)
    return built
