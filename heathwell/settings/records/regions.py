"""Settings of fleets that span several regions."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from heathwell.settings.records.base import NAME, Record, count, described, duration, repeated


class Region(Record):
    """One region and its zones."""

    name: Annotated[str, NAME]
    zones: Annotated[list[str], described("zones that stand in it")]


class RegionLink(Record):
    """The network link between two regions."""

    between: Annotated[list[str], described("the two regions")]
    delay: Annotated[int, duration("its usual delay one way: only what comes on top makes it slow")] = 0
    cost: Annotated[float, Meta(ge=0, description="what a part that crosses takes from cross-budget")] = 1.0


class RegionRouting(Record):
    """Routing across regions; it is off where no regions are listed."""

    decide: Annotated[
        bool, described("judge the links between regions, and shut or avoid what lies behind them")
    ] = True
    prefer_home: Annotated[
        bool, described("use hosts of other regions only where home has none to send to")
    ] = False
    cross_most: Annotated[int, count("further attempts that cross in a second and broker; 0: no bound")] = 0
    cross_budget: Annotated[
        float,
        Meta(
            ge=0,
            description="cost of crossing parts a second and broker, beyond which "
            "they go there only where home has none; 0: no bound",
        ),
    ] = 0.0
    client_drain_duration_us: Annotated[
        int, duration("a broker cut off from most shards closes idle clients over so long; 0: keeps them")
    ] = field(default=0, name="let-go")
    regions: Annotated[list[Region], repeated("region", "the regions")] = []
    links: Annotated[
        list[RegionLink], repeated("link", "ways between them, where there is something to say")
    ] = []
