"""The parts of the service's settings that the preflight checks read, as protocols.

Owns no state. Imports nothing of heathwell: the settings' own records fit these protocols, so that this
package needs no import of them. Members that a record narrows (to literals, or to lists of its own records)
are read-only properties.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class QueryClassSettings(Protocol):
    """A class of query."""

    name: str
    timeout_us: int

    @property
    def idempotency(self) -> str:
        """Whether a part may be sent again."""

    @property
    def across(self) -> str:
        """Use of endpoints of other regions."""


class KeySpaceSettings(Protocol):
    """A prefix of keys, the class of its queries, and their number of parts."""

    prefix: str
    query_class: str
    parts: int


class CollectionSettings(Protocol):
    """A collection of vectors: the classes of its searches, and of those in batches."""

    query_class: str
    batch_class: str


class BudgetSettings(Protocol):
    """A budget that the brokers of the fleet divide; ``total`` is the settings' key ``whole``."""

    total: float

    @property
    def name(self) -> str:
        """What is divided."""


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
    """Topology of the fleet: ``leaves`` endpoints (0: not stated) in ``cells`` replica groups, of which each
    shard is on ``width``.
    """

    leaves: int
    cells: int
    width: int
    zones: list[str]

    @property
    def budgets(self) -> Sequence[BudgetSettings]:
        """Budgets of the entire fleet."""


class BrokerLimits(Protocol):
    """Limits of a broker; ``open_cap`` is on queries and parts in flight, 0 for none."""

    open_cap: int


class PreflightSettings(Protocol):
    """All settings that the preflight checks read."""

    @property
    def classes(self) -> Sequence[QueryClassSettings]:
        """Classes of query."""

    @property
    def keys(self) -> Sequence[KeySpaceSettings]:
        """The key space of the memcached server."""

    @property
    def collections(self) -> Sequence[CollectionSettings]:
        """The collections of the vector server."""

    @property
    def fleet(self) -> FleetSettings:
        """Topology and budgets."""

    @property
    def across(self) -> RegionsSettings:
        """Regions."""

    @property
    def limits(self) -> BrokerLimits:
        """Limits of a broker."""
