"""Protocols between the driver and what it drives: links to endpoints and the source of the endpoint list;
and what the components of a broker use of their driver.

The module owns no state and imports nothing of the driver, so that links need not import it either.
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
"""Numbers of occurrences, by labels."""


class PlannedPart(Protocol):
    """What the driver reads of the plan of a part."""

    @property
    def shard(self) -> int:
        """The shard that the part asks."""

    @property
    def weight(self) -> float:
        """The part's fraction of the weight of its step."""


class AttemptRequest(Protocol):
    """What a link is given to send for one attempt."""

    @property
    def id(self) -> str:
        """The id of the part."""

    @property
    def seq(self) -> int:
        """The number of the attempt within its part."""


RequestT = TypeVar("RequestT", bound=AttemptRequest)


class AttemptResult(Protocol):
    """What an endpoint answered to an attempt."""

    @property
    def inflight(self) -> float | None:
        """The endpoint's own count of requests in flight; ``None`` if it reports none."""

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
        """Stop waiting for an attempt whose outcome the caller records itself; true if it was in flight."""

    def withdraw(self, key: AttemptKey) -> bool:
        """Take back an attempt if none of its bytes were sent; true if so, and then none will be."""

    def probe(self) -> None:
        """Probe the endpoint; its outcome is reported once."""

    def close(self) -> None:
        """Close the connections; attempts in flight end as broken."""


class EndpointSource(Protocol):
    """The source of the endpoint list; each request is answered by at least one ``EndpointUpdate``."""

    def start(self) -> None:
        """Subscribe now if updates are pushed; otherwise do nothing."""

    def ask(self) -> None:
        """Request the list, or subscribe to it."""

    def close(self) -> None:
        """Request no more."""


class DriverContext(Protocol):
    """What the components of a broker use of its driver; each adds what it needs beyond, beside itself."""

    @property
    def name(self) -> str:
        """The broker's name, with its incarnation."""

    @property
    def loop(self) -> Loop:
        """The event loop."""

    @property
    def dead(self) -> bool:
        """Whether the broker is killed; nothing more is decided or sent."""

    @property
    def events(self) -> EventLog:
        """The event log."""

    @property
    def log(self) -> Callable[..., None]:
        """The log: called with a level, a message and fields."""

    @property
    def counters(self) -> Counters:
        """The broker's counters."""
