"""Protocols for the parts of the service settings that the preflight checks read.

Owns no state. Imports no other package of heathwell: the records of the settings implement these protocols,
so that this package does not import them. Members that a record narrows (to literals, or to lists of its own
records) are read-only properties.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class QueryClassSettings(Protocol):
    """A query class."""

    name: str
    timeout_us: int

    @property
    def idempotency(self) -> str:
        """Whether a part may be sent again."""

    @property
    def across(self) -> str:
        """Policy for the use of endpoints in other regions."""


class KeySpaceSettings(Protocol):
    """A key prefix, the class of its queries and their number of parts."""

    prefix: str
    query_class: str
    parts: int


class CollectionSettings(Protocol):
    """A vector collection: the classes of its single searches and of its batches."""

    query_class: str
    batch_class: str


class BudgetSettings(Protocol):
    """A fleet-wide budget; ``whole`` (the key in the settings) is its total."""

    total: float

    @property
    def name(self) -> str:
        """The limited resource."""


class RegionSettings(Protocol):
    """A region and its zones."""

    name: str
    zones: list[str]


class RegionsSettings(Protocol):
    """All regions."""

    @property
    def regions(self) -> Sequence[RegionSettings]:
        """Empty for a service of one region."""


class FleetSettings(Protocol):
    """Topology of the fleet: ``leaves`` endpoints (0: unspecified) in ``cells`` replica groups, ``width`` of
    which hold each shard.
    """

    leaves: int
    cells: int
    width: int
    zones: list[str]

    @property
    def budgets(self) -> Sequence[BudgetSettings]:
        """Budgets of the entire fleet."""


class BrokerLimits(Protocol):
    """Limits of a broker; ``open_cap`` limits the queries and parts in flight, 0 for no limit."""

    open_cap: int


class PreflightSettings(Protocol):
    """All settings that the preflight checks read."""

    @property
    def classes(self) -> Sequence[QueryClassSettings]:
        """The query classes."""

    @property
    def keys(self) -> Sequence[KeySpaceSettings]:
        """The key spaces of the memcached server."""

    @property
    def collections(self) -> Sequence[CollectionSettings]:
        """The collections of the vector server."""

    @property
    def fleet(self) -> FleetSettings:
        """The fleet's topology and budgets."""

    @property
    def across(self) -> RegionsSettings:
        """The regions."""

    @property
    def limits(self) -> BrokerLimits:
        """The limits of a broker."""
