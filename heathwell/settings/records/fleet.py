"""Settings of the fleet: placement of shards, fleet control, discovery and stand-in hosts."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from heathwell.settings.records.base import Record, count, described, duration, fraction, repeated


class FleetBudget(Record):
    """A budget of the whole fleet, divided among the live brokers.

    `further`: additional attempts per second. `cold`: parts per second to a host in slow start; the value
    holds at the host's start capacity and rises with its capacity. `connections`: concurrent connections to
    one host; these include one for each broker that may exist, which needs no grant.
    """

    name: Annotated[
        Literal["further", "cold", "connections"],
        Meta(description="what is divided", extra={"positional": True}),
    ]
    total: Annotated[
        float, Meta(gt=0, description="for the whole fleet; of cold and connections at each host")
    ] = field(name="whole")
    reserved_fraction: Annotated[
        float,
        fraction(
            "share of it that is set aside for brokers' own minima, in equal parts; of "
            "connections one each, whatever this says"
        ),
    ] = field(default=0.2, name="aside")
    burst_window_us: Annotated[int, duration("of a rate, for how long it may be saved up", 10_000)] = field(
        default=1_000_000, name="burst"
    )
    linger_timeout_us: Annotated[
        int, duration("hosts close a broker's connection from which nothing came for so long", 100_000)
    ] = field(default=1_500_000, name="linger")


class Fleet(Record):
    """The placement of shards, and fleet control, which is on where `keepers` lists quota coordinators.

    Shard s has its replicas in `width` consecutive cells (replica groups) from cell s on, modulo `cells`.
    """

    shards: Annotated[int, count("shards", 1)]
    cells: Annotated[int, count("cells", 1)]
    width: Annotated[int, count("holders a shard", 1)]
    zones: Annotated[list[str], described("zones, by which hosts and brokers stand")]
    leaves: Annotated[int, count("stand-in hosts of a demo fleet, one a cell in turn")] = 0
    brokers: Annotated[int, count("brokers of a demo fleet, zones in turn")] = 0
    fleet_name: Annotated[str, described("name of the fleet: keepers refuse who says another")] = field(
        default="", name="called"
    )
    coordinators: Annotated[
        list[str],
        described(
            "host:port of each keeper, which hold the roll of brokers and lend budgets; "
            "none: brokers share nothing"
        ),
    ] = field(default_factory=list, name="keepers")
    max_brokers: Annotated[
        int, count("brokers that there may ever be at once, dying ones included; 0: as brokers")
    ] = field(default=0, name="most")
    lease: Annotated[int, duration("how long a share may be used after it was asked for", 100_000)] = (
        3_000_000
    )
    renew: Annotated[int, duration("how often shares are renewed", 20_000)] = 1_000_000
    suspect: Annotated[int, duration("silence after which a broker is suspected", 100_000)] = 2_000_000
    dead: Annotated[int, duration("silence after which it is taken for dead", 200_000)] = 5_000_000
    drift: Annotated[float, fraction("how much faster or slower a clock may run")] = 0.03
    evacuate: Annotated[bool, described("leave a zone that fails, and come back to it, as a fleet")] = False
    zone_capacity: Annotated[
        int, count("parts a second that the hosts of one zone bear; 0: what their answers tell")
    ] = field(default=0, name="zone-bears")
    zone_client_drain_duration_us: Annotated[
        int, duration("brokers of a zone that is left close idle clients over so long; 0: keep them")
    ] = field(default=10_000_000, name="zone-let-go")
    budgets: Annotated[list[FleetBudget], repeated("budget", "budgets of the whole fleet")] = []


class Discovery(Record):
    """The service that publishes the endpoint list."""

    ask: Annotated[bool, described("brokers must ask for changes (no: they are pushed)")] = True
    address: Annotated[str, described("host:port; port 0 lets the kernel choose")] = "127.0.0.1:0"
    notice: Annotated[int, duration("how late changes are told")] = 500_000
    silent_notice: Annotated[int, duration("how late a host is missed that went without a word")] = 3_000_000
    timeout: Annotated[int, duration("how long a call may take", 1000)] = 1_000_000


class Leaf(Record):
    """The stand-in hosts of demo fleets and tests."""

    slots: Annotated[int, count("parts at work at once", 1)] = 4
    queue: Annotated[int, count("parts that wait; more are turned away")] = 24
    speed: Annotated[float, Meta(gt=0, description="work done in a second, in seconds, a slot")] = 1.0
    noise: Annotated[float, fraction("spread of the work of a part")] = 0.3
    refresh: Annotated[int, duration("how often the reported inflight is taken anew")] = 200_000
    drain_for: Annotated[int, duration("how long a draining host finishes work before it leaves")] = 3_000_000
    rows: Annotated[int, count("product rows a shard and term")] = 5
