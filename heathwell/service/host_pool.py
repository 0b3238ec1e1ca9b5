"""Several connections to one endpoint, where settings allow. The first is a broker's own; more are opened
when all are busy, and closed when they are idle or their quota has expired.

One connection carries answers in order, so a lost packet or a half-sent answer delays all that is behind it.
Which endpoint a part is sent to is decided before; here only the connection is chosen: the one with the
fewest parts in flight.
"""

from __future__ import annotations

from collections.abc import Callable

from heathwell.broker.driver_contract import AttemptKey
from heathwell.codec import frames
from heathwell.eventloop import Loop
from heathwell.service.host_link import HostLink

MAXIMUM_RECORDED_ATTEMPTS = 256  # ended ones included; beyond it, those that have ended are dropped


class HostPool:
    """Up to ``maximum_connections`` to one endpoint.

    An additional one is opened where all have ``busy_at`` attempts in flight and ``acquire`` grants its
    quota; ``release`` returns that once the endpoint is known to have closed the connection. The endpoint
    closes a connection that is silent for ``linger_us``, by its own clock.
    """

    def __init__(
        self,
        loop: Loop,
        make_link: Callable[[Callable[[bool], None]], HostLink],
        *,
        maximum_connections: int,
        busy_at: int,
        linger_us: int,
        acquire: Callable[[], bool],
        release: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._make_link = make_link
        self._maximum_connections = maximum_connections
        self._busy_at = busy_at
        self._linger_us = linger_us
        self._acquire = acquire
        self._release = release
        self._first = make_link(lambda _end_observed: None)
        self._additional: list[HostLink] = []
        self._closing: list[HostLink] = []  # these get no new parts, and end with what is in flight
        self._lingering_count = 0  # closed connections whose end the endpoint may not have observed
        self._late_answers = 0  # of connections that have ended
        self._link_of_attempt: dict[AttemptKey, HostLink] = {}

    @property
    def node(self) -> str:
        """The endpoint."""
        return self._first.node

    @property
    def late_answers(self) -> int:
        """Number of answers to attempts whose outcome was already reported."""
        return self._late_answers + sum(link.late_answers for link in self._links())

    @property
    def up(self) -> bool:
        """Whether a connection is established."""
        return any(link.up for link in self._links())

    @property
    def has_additional(self) -> bool:
        """Whether there are connections beside the first."""
        return bool(self._additional or self._closing)

    def _links(self) -> list[HostLink]:
        """Return all connections, those that are closing included."""
        return [self._first, *self._additional, *self._closing]

    def send(self, parts: list[frames.PartRequest]) -> None:
        """Send attempts in one call; each ends with one outcome."""
        link = min([self._first, *self._additional], key=lambda link: len(link.in_flight))
        held_count = 1 + len(self._additional) + len(self._closing) + self._lingering_count
        is_busy = len(link.in_flight) >= self._busy_at
        if is_busy and held_count < self._maximum_connections and self._acquire():
            link = self._open()
        if len(self._link_of_attempt) > MAXIMUM_RECORDED_ATTEMPTS:
            self._link_of_attempt = {
                key: used for key, used in self._link_of_attempt.items() if key in used.in_flight
            }
        for part in parts:
            self._link_of_attempt[part.id, part.seq] = link
        link.send(parts)

    def _open(self) -> HostLink:
        link = self._make_link(lambda end_observed: self._on_closed(link, end_observed=end_observed))
        self._additional.append(link)
        return link

    def _on_closed(self, link: HostLink, *, end_observed: bool) -> None:
        """Release the quota of an additional connection once the endpoint has closed it too.

        ``end_observed`` is whether the endpoint is known to have observed the end; otherwise it closes the
        connection by itself.
        """
        for links in (self._additional, self._closing):
            if link not in links:
                continue
            links.remove(link)
            self._late_answers += link.late_answers
            if end_observed:
                self._release()
            else:
                self._lingering_count += 1
                self._loop.call_at(self._loop.now() + self._linger_us, self._on_linger_over)
            return

    def _on_linger_over(self) -> None:
        self._lingering_count -= 1
        self._release()

    def shrink(self, units: int) -> None:
        """Close ``units`` additional connections, each as soon as it has nothing in flight."""
        count = max(0, units - len(self._closing) - self._lingering_count)
        for link in sorted(self._additional, key=lambda link: len(link.in_flight))[:count]:
            self._additional.remove(link)
            self._closing.append(link)
        for link in [link for link in self._closing if not link.in_flight]:
            link.close()

    def drop(self, units: int) -> None:
        """Close ``units`` additional connections now, whatever they have in flight."""
        for link in [*self._closing, *self._additional][:units]:
            link.close()

    def abandon(self, key: AttemptKey) -> bool:
        """Stop waiting for an attempt; true if it was in flight."""
        link = self._link_of_attempt.pop(key, None)
        return link is not None and link.abandon(key)

    def withdraw(self, key: AttemptKey) -> bool:
        """Take back an attempt if none of its bytes were sent; true if so."""
        link = self._link_of_attempt.get(key)
        return link is not None and link.withdraw(key)

    def probe(self) -> None:
        """Probe the endpoint on the first connection."""
        self._first.probe()

    def close(self) -> None:
        """Close all connections."""
        for link in self._links():
            link.close()
