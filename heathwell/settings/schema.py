"""The schema of a settings file: the record types and the checks that span several fields.

`heathwell schema` prints the reference page that is generated from the records.
"""

from heathwell.settings.consistency import CROSS_CHECKS
from heathwell.settings.records.base import NAME, Record, count, described, duration, fraction, repeated, size
from heathwell.settings.records.fleet import Discovery, Fleet, FleetBudget, Leaf
from heathwell.settings.records.freshness import Freshness
from heathwell.settings.records.limits import Limits, RetryStorms, Rules
from heathwell.settings.records.logs import Log, ModuleLevel
from heathwell.settings.records.queries import Collection, KeySpace, QueryClass
from heathwell.settings.records.regions import Region, RegionLink, RegionRouting
from heathwell.settings.records.servers import BrokerSettings, FairQueueing, VectorSettings
from heathwell.settings.records.service import ServiceSettings

__all__ = [
    "RegionRouting",
    "BrokerSettings",
    "CROSS_CHECKS",
    "Collection",
    "Discovery",
    "Fleet",
    "FleetBudget",
    "Freshness",
    "FairQueueing",
    "KeySpace",
    "Leaf",
    "Limits",
    "Log",
    "ModuleLevel",
    "NAME",
    "QueryClass",
    "Record",
    "Region",
    "RegionLink",
    "Rules",
    "ServiceSettings",
    "RetryStorms",
    "VectorSettings",
    "count",
    "described",
    "duration",
    "fraction",
    "repeated",
    "size",
]
