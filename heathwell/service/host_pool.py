"""A pool of connections to one endpoint, if the settings allow more than one.

The first connection needs no quota. Additional ones are opened when all are busy, and closed when they are
idle or their quota has expired. A connection carries answers in order, so a lost packet or a partly sent
answer delays all answers behind it.

The decision module has already chosen the endpoint of a part. The pool only chooses the connection: the one
with the fewest attempts in flight.
"""

from __future__ import annotations

from collections.abc import Callable

from heathwell.broker.driver_contract import AttemptKey
from heathwell.codec import frames
from heathwell.eventloop import Loop
from heathwell.service.host_link import HostLink

MAXIMUM_RECORDED_ATTEMPTS = 256  # Includes ended attempts, which are dropped once there are more than this.


class HostPool:
    """Up to ``maximum_connections`` connections to one endpoint.

    An additional one is opened if all have ``busy_at`` attempts in flight and ``acquire`` grants quota for
    it. ``release`` returns the quota once the endpoint is known to have closed the connection. The endpoint
    closes a connection that is silent for ``linger_us`` on its own clock.
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
        # Connections that get no new attempts, and are closed once they have none in flight.
        self._closing: list[HostLink] = []
        self._lingering_count = 0  # Closed connections that the endpoint may still hold open.
        self._late_answers = 0  # The late answers of connections that are closed.
        self._link_of_attempt: dict[AttemptKey, HostLink] = {}

    @property
    def node(self) -> str:
        """The endpoint's address."""
        return self._first.node

    @property
    def late_answers(self) -> int:
        """The number of answers to attempts whose outcome was already reported."""
        return self._late_answers + sum(link.late_answers for link in self._links())

    @property
    def up(self) -> bool:
        """Whether a connection is established."""
        return any(link.up for link in self._links())

    @property
    def has_additional(self) -> bool:
        """Whether there are connections in addition to the first."""
        return bool(self._additional or self._closing)

    def _links(self) -> list[HostLink]:
        """Return all connections, including those that are closing."""
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

        With ``end_observed`` the endpoint is known to have observed the end of the connection. Otherwise it
        closes the connection after ``linger_us`` of silence, and the quota is released then.
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
        """Close ``units`` additional connections, each once it has no attempts in flight."""
        count = max(0, units - len(self._closing) - self._lingering_count)
        for link in sorted(self._additional, key=lambda link: len(link.in_flight))[:count]:
            self._additional.remove(link)
            self._closing.append(link)
        for link in [link for link in self._closing if not link.in_flight]:
            link.close()

    def drop(self, units: int) -> None:
        """Close ``units`` additional connections now, even with attempts in flight."""
        for link in [*self._closing, *self._additional][:units]:
            link.close()

    def abandon(self, key: AttemptKey) -> bool:
        """Stop waiting for an attempt; return whether it was in flight."""
        link = self._link_of_attempt.pop(key, None)
        return link is not None and link.abandon(key)

    def withdraw(self, key: AttemptKey) -> bool:
        """Withdraw an attempt if none of its bytes were sent; return whether it was withdrawn."""
        link = self._link_of_attempt.get(key)
        return link is not None and link.withdraw(key)

    def probe(self) -> None:
        """Probe the endpoint on the first connection."""
        self._first.probe()

    def close(self) -> None:
        """Close all connections."""
        for link in self._links():
            link.close()
