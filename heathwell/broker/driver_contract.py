"""Interfaces between the driver and its links, its source of the endpoint list, and a broker's components.

The module has no state and imports nothing of the driver, so that links don't depend on it either.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol, TypeVar

from heathwell.eventloop import Loop
from heathwell.observability.event_log import EventLog

AttemptKey = tuple[str, int]
"""A part's id and the attempt's number within that part, counted from 0."""


Counters = Counter[tuple[str, ...]]
"""Event counts by their labels."""


class PlannedPart(Protocol):
    """The attributes of a planned part that the driver reads."""

    @property
    def shard(self) -> int:
        """The shard that the part queries."""

    @property
    def weight(self) -> float:
        """The part's fraction of the total weight of its step."""


class AttemptRequest(Protocol):
    """The request that a link sends for one attempt."""

    @property
    def id(self) -> str:
        """The id of the part."""

    @property
    def seq(self) -> int:
        """The number of the attempt within its part."""


RequestT = TypeVar("RequestT", bound=AttemptRequest)


class AttemptResult(Protocol):
    """An endpoint's answer to an attempt."""

    @property
    def inflight(self) -> float | None:
        """The number of requests in flight that the endpoint reports, ``None`` if it reports none."""

    @property
    def data(self) -> bytes:
        """The part's value."""


class Link(Protocol[RequestT]):
    """The connections to one endpoint; reports exactly one outcome for each attempt and each probe."""

    @property
    def late_answers(self) -> int:
        """Number of answers to attempts whose outcome was already reported."""

    @property
    def up(self) -> bool:
        """Whether a connection is established."""

    def send(self, parts: list[RequestT]) -> None:
        """Send attempts in one call."""

    def abandon(self, key: AttemptKey) -> bool:
        """Stop waiting for an attempt whose outcome the caller records; return whether it was in flight."""

    def withdraw(self, key: AttemptKey) -> bool:
        """Cancel an attempt if none of its bytes were sent; return whether it was, so that none will be."""

    def probe(self) -> None:
        """Probe the endpoint; the outcome is reported once."""

    def close(self) -> None:
        """Close the connections; attempts in flight end as broken."""


class EndpointSource(Protocol):
    """The source of the endpoint list; it answers each request with at least one ``EndpointUpdate``."""

    def start(self) -> None:
        """Subscribe now if updates are pushed; otherwise do nothing."""

    def request_update(self) -> None:
        """Request the list, or subscribe to it."""

    def close(self) -> None:
        """Request no more."""


class DriverContext(Protocol):
    """The attributes of a broker's driver that all of its components use.

    A component that needs more extends this protocol in its own module.
    """

    @property
    def name(self) -> str:
        """The broker's name, with its incarnation."""

    @property
    def loop(self) -> Loop:
        """The event loop."""

    @property
    def dead(self) -> bool:
        """Whether the broker was killed; if so, nothing more is decided or sent."""

    @property
    def events(self) -> EventLog:
        """The event log."""

    @property
    def log(self) -> Callable[..., None]:
        """The log: called with a level, a message and fields."""

    @property
    def counters(self) -> Counters:
        """The broker's counters."""
