"""Settings of the measurement of data ages."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from heathwell.settings.records.base import Record, count, described, duration


class Freshness(Record):
    """Ages of the data in answers, measured by the clock of the data source, so host clocks may be wrong."""

    enabled: Annotated[bool, described("state ages, and rule on stale data")] = field(
        default=False, name="on"
    )
    source: Annotated[str, described("host:port of the source's clock; port 0 for a demo fleet's own")] = (
        "127.0.0.1:0"
    )
    sync: Annotated[int, duration("how often the source's clock is asked", 10_000)] = 1_000_000
    explain: Annotated[int, count("latest queries that /explain can tell of")] = 500
    rate: Annotated[float, Meta(gt=0, description="stand-ins: log positions a shard and second")] = 50.0
    lag: Annotated[int, duration("stand-ins: how far hosts usually are behind")] = 80_000
