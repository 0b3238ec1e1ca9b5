"""The fields by which replies of all protocols state the age of their data (docs/freshness.md)."""

from __future__ import annotations

from typing import Any

import msgspec

from heathwell.broker.replies import Age
from heathwell.servers.durations import milliseconds_rounded_up


class AgeFields(msgspec.Struct, frozen=True):
    """The age of an answer's data; the names of the fields are part of the client protocols.

    ``age_ms``: an upper bound, None if unknown. ``stale``: whether that exceeds the age that the query class
    asks for. ``token``: the log positions that the answer has, for the client's later queries. Two fields are
    sent only where there is something to report: ``consistent`` is false where item detail is older than the
    totals it belongs to, ``behind`` lists shards whose data is older than the client's token.
    """

    age_ms: int | None
    stale: bool
    token: str
    consistent: bool | msgspec.UnsetType = msgspec.UNSET
    behind: list[int] | msgspec.UnsetType = msgspec.UNSET


def age_fields(age: Age) -> dict[str, Any]:
    """Return :class:`AgeFields` as a dictionary, to be merged into the object that a protocol sends."""
    fields = AgeFields(
        age_ms=None if age.bound_us is None else milliseconds_rounded_up(age.bound_us),
        stale=age.stale,
        token=age.token,
        consistent=msgspec.UNSET if age.consistent else False,
        behind=list(age.behind) or msgspec.UNSET,
    )
    built: dict[str, Any] = msgspec.to_builtins(fields)
    return built
