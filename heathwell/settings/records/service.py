"""The complete settings of a service."""

from __future__ import annotations

from typing import Annotated

from msgspec import field

from heathwell.settings.records.base import Record, described, repeated
from heathwell.settings.records.fleet import Discovery, Fleet, Leaf
from heathwell.settings.records.freshness import Freshness
from heathwell.settings.records.limits import Limits, RetryStorms, Rules
from heathwell.settings.records.logs import Log
from heathwell.settings.records.queries import Collection, KeySpace, QueryClass
from heathwell.settings.records.regions import RegionRouting
from heathwell.settings.records.servers import BrokerSettings, FairQueueing, VectorSettings


class ServiceSettings(Record):
    """A complete settings file."""

    classes: Annotated[list[QueryClass], repeated("class", "the classes of query")]
    keys: Annotated[list[KeySpace], repeated("keys", "the key space of the memcached front")]
    fleet: Annotated[Fleet, described("shards and hosts")]
    collections: Annotated[
        list[Collection], repeated("collection", "the collections of the vector front")
    ] = []
    vector: Annotated[VectorSettings, described("the vector front")] = field(default_factory=VectorSettings)
    fronts: Annotated[FairQueueing, described("sharing between fronts")] = field(default_factory=FairQueueing)
    storms: Annotated[RetryStorms, described("storms of retries and connects")] = field(
        default_factory=RetryStorms
    )
    rules: Annotated[Rules, described("figures of the rules")] = field(default_factory=Rules)
    limits: Annotated[Limits, described("what a broker may do and hold")] = field(default_factory=Limits)
    discovery: Annotated[Discovery, described("the host list")] = field(default_factory=Discovery)
    leaf: Annotated[Leaf, described("stand-in hosts")] = field(default_factory=Leaf)
    freshness: Annotated[Freshness, described("ages of answers")] = field(default_factory=Freshness)
    across: Annotated[RegionRouting, described("several regions")] = field(default_factory=RegionRouting)
    broker: Annotated[BrokerSettings, described("a broker's doors")] = field(default_factory=BrokerSettings)
    log: Annotated[Log, described("logs")] = field(default_factory=Log)
