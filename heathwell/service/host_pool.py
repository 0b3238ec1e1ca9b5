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

WHERE_MOST = 256  # attempts noted, ended ones included, from which those are forgotten


class HostPool:
    """A way to a host of up to ``most`` connections. ``take`` asks for a further one, ``give_back`` tells
    that one is provably gone; a host closes what is silent for ``linger_us``, by its own clock.
    """

    def __init__(
        self,
        loop: Loop,
        make: Callable[[Callable[[bool], None]], HostLink],
        *,
        most: int,
        busy: int,
        linger_us: int,
        take: Callable[[], bool],
        give_back: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.make = make
        self.most = most
        self.busy = busy
        self.linger_us = linger_us
        self.take = take
        self.give_back = give_back
        self.first = make(lambda _seen: None)
        self.more: list[HostLink] = []
        self.closing: list[HostLink] = []  # no new parts: they end with what they have
        self.waits = 0  # units of connections whose end the host may not have seen
        self._late = 0
        self._where: dict[AttemptKey, HostLink] = {}

    @property
    def node(self) -> str:
        """The host."""
        return self.first.node

    @property
    def late_answers(self) -> int:
        """Number of answers to attempts whose outcome was already reported."""
        return self._late + sum(link.late_answers for link in self.links())

    @property
    def up(self) -> bool:
        """Whether a connection stands."""
        return any(link.up for link in self.links())

    def links(self) -> list[HostLink]:
        """All connections, those that are ending too."""
        return [self.first, *self.more, *self.closing]

    def send(self, parts: list[frames.PartRequest]) -> None:
        """Send attempts in one call; each will end once."""
        link = min([self.first, *self.more], key=lambda link: len(link.in_flight))
        held = 1 + len(self.more) + len(self.closing) + self.waits
        if len(link.in_flight) >= self.busy and held < self.most and self.take():
            link = self._open()
        if len(self._where) > WHERE_MOST:
            self._where = {key: where for key, where in self._where.items() if key in where.in_flight}
        for ask in parts:
            self._where[ask.id, ask.seq] = link
        link.send(parts)

    def _open(self) -> HostLink:
        link = self.make(lambda seen: self._closed(link, seen=seen))
        self.more.append(link)
        return link

    def _closed(self, link: HostLink, *, seen: bool) -> None:
        """A further connection is gone: its unit is free once the host has seen the end, or has closed by
        itself.
        """
        for links in (self.more, self.closing):
            if link in links:
                links.remove(link)
                self._late += link.late_answers
                if seen:
                    self.give_back()
                else:
                    self.waits += 1
                    self.loop.call_at(self.loop.now() + self.linger_us, self._gone)
                return

    def _gone(self) -> None:
        self.waits -= 1
        self.give_back()

    def shrink(self, units: int) -> None:
        """Let go of so many further connections, each as soon as it has nothing out."""
        for link in sorted(self.more, key=lambda link: len(link.in_flight))[
            : max(0, units - len(self.closing) - self.waits)
        ]:
            self.more.remove(link)
            self.closing.append(link)
        for link in [link for link in self.closing if not link.in_flight]:
            link.close()

    def drop(self, units: int) -> None:
        """Let go of so many now, whatever they have out."""
        for link in [*self.closing, *self.more][:units]:
            link.close()

    def abandon(self, key: AttemptKey) -> bool:
        """Stop waiting for an attempt; true if it was out."""
        link = self._where.pop(key, None)
        return link is not None and link.abandon(key)

    def withdraw(self, key: AttemptKey) -> bool:
        """Take back an attempt that is not written yet."""
        link = self._where.get(key)
        return link is not None and link.withdraw(key)

    def probe(self) -> None:
        """Ask for a sign of life, on the first."""
        self.first.probe()

    def close(self) -> None:
        """Let go of all."""
        for link in self.links():
            link.close()
