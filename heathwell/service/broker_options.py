"""The options that a service broker is started with in addition to its settings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from heathwell import policy
from heathwell.service.quota_gate import Agent
from heathwell.service.service_statistics import ServiceStatistics

if TYPE_CHECKING:
    from heathwell.service.zone_observer import ZoneBroker, ZoneObserver


@dataclass(frozen=True, slots=True)
class BrokerOptions:
    """The identity of one broker, the services that it uses, and its optional collaborators.

    ``name`` must be unique among the incarnations of all brokers; ``zone`` is the number of the broker's
    zone. ``source_address`` overrides the address of the data source in the settings. ``known_endpoints`` is
    the endpoint list until discovery replies. ``make_zone_observer`` creates the zone observer if zones may
    be evacuated; it is passed in because a broker without one must not import what an observer needs.
    """

    name: str
    zone: int
    seed: int
    discovery_address: str
    source_address: str = ""
    aggregator_count: int = 1
    known_endpoints: tuple[policy.EndpointEntry, ...] = ()
    agent: Agent | None = None
    make_zone_observer: Callable[[ZoneBroker], ZoneObserver] | None = None
    statistics: ServiceStatistics | None = None
