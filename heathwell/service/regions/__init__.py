"""A service that spans regions: detects link faults and restricts endpoints accordingly."""

from heathwell.service.regions.answerable_fraction import answerable_fraction
from heathwell.service.regions.client_drain import ClientDrain, IdleClient
from heathwell.service.regions.link_state import (
    LinkChange,
    LinkRestrictions,
    LinkState,
    RegionLink,
    RegionRoute,
)
from heathwell.service.regions.region_links import RegionLinks

__all__ = [
    "ClientDrain",
    "IdleClient",
    "LinkChange",
    "LinkRestrictions",
    "LinkState",
    "RegionLink",
    "RegionLinks",
    "RegionRoute",
    "answerable_fraction",
]
