"""One fraction of one budget in the hands of its owner: a book of what each member may hold of it.

The book is lost with the run that keeps it, and need not be kept: no grant outlasts the ownership it was
given under.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from heathwell.fleet.quotas.divide import Wish, divide
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.spec import COUNT, Budget


@dataclass(frozen=True, slots=True)
class Ask:
    """A member (one incarnation) asks for its share. ``goes_by`` is the number of the grant that it goes by,
    0 for none: of a count only one that covers what it holds in fact, so that units count as given back once
    they are. ``lets_go``: it holds nothing more and goes by no grant.
    """

    member: str
    demand: int
    asked_us: int
    goes_by: int = 0
    lets_go: bool = False
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Grant:
    """What an owner's run gives: numbers grow within a run; ``asked_us`` is the member's own clock, from
    which it counts. ``length_us`` is the lease's, shorter where the ownership ends sooner; 0: nothing is
    given.
    """

    budget: str
    fraction: int
    owner: str
    number: int
    amount: int
    asked_us: int
    length_us: int


@dataclass(slots=True)
class _Given:
    """What a member may hold: grants by number with their amounts and ends (our clock), and the largest of
    them.
    """

    grants: dict[int, tuple[int, int]] = field(default_factory=dict)
    wish: Wish = field(default_factory=lambda: Wish(0))
    wished_us: int = 0
    charged: int = 0

    def charge(self, now: int) -> int:
        """The largest that it may hold."""
        for number in [number for number, (_, until) in self.grants.items() if until <= now]:
            del self.grants[number]
        return max((amount for amount, _ in self.grants.values()), default=0)


class Giver:
    """The book of one fraction, for as long as its owner's run owns it without a break. Its grants are
    numbered from ``number`` on; shares are worked out anew when the last ones are older than ``stale_us``.
    ``among``: of what nobody asks for a member gets no more than one of so many would, as they may all ask in
    a moment; 0: all of it.
    """

    KEPT = (
        8  # grants a member that are told apart; more are merged into the largest and longest of the oldest
    )

    def __init__(
        self, budget: Budget, fraction: int, owner: str, lease: Lease, *, number: int = 0, stale_us: int = 0
    ) -> None:
        self.budget, self.fraction, self.owner, self.lease = budget, fraction, owner, lease
        self.number, self.stale_us, self.among = number, stale_us, 0
        self._term = lease.given_until(0)
        self.given: dict[str, _Given] = {}
        self._sum = 0  # of all charges
        self._ends_at: list[tuple[int, str]] = []  # when a grant of a member runs out
        self._shares: dict[str, int] = {}
        self._shared_us: int | None = None

    def resize(self, budget: Budget) -> None:
        """Another whole from now on. What is given beyond it runs out; nothing new is given meanwhile."""
        self.budget, self._shared_us = budget, None

    def heard_since(self, edge: int) -> bool:
        """Whether any member has asked since."""
        return any(given.wished_us >= edge for given in self.given.values())

    def charged(self, now: int) -> int:
        """What members may hold now."""
        while self._ends_at and self._ends_at[0][0] <= now:
            member = heappop(self._ends_at)[1]
            if member in self.given:
                self._charge(now, member)
        return self._sum

    def asked(self, now: int, ask: Ask, owned_until: int) -> Grant:
        """A member's grant. ``owned_until`` is the end of the ownership on our clock: no grant is counted
        beyond it.
        """
        given = self.given.setdefault(ask.member, _Given())
        if ask.lets_go:
            self._forget(ask.member)
            return self._nothing(ask)
        if given.grants and next(iter(given.grants)) < ask.goes_by:  # in the order of their numbers
            for number in [number for number in given.grants if number < ask.goes_by]:
                del given.grants[number]
            self._charge(now, ask.member)
        given.wish, given.wished_us = Wish(ask.demand, ask.weight), now
        length, until = self._ends(now, owned_until)
        if length <= 0:
            return self._nothing(ask)
        amount = min(self._share(now, ask.member), self._room(now, ask.member))
        self.number += 1
        given.grants[self.number] = amount, until
        heappush(self._ends_at, (until, ask.member))
        if len(given.grants) > self.KEPT:
            self._merge(given)
        self._sum += max(0, amount - given.charged)
        given.charged = max(given.charged, amount)
        return Grant(self.budget.name, self.fraction, self.owner, self.number, amount, ask.asked_us, length)

    def _nothing(self, ask: Ask) -> Grant:
        return Grant(self.budget.name, self.fraction, self.owner, self.number, 0, ask.asked_us, 0)

    def _charge(self, now: int, member: str) -> None:
        """Reckon a member's charge anew."""
        given = self.given[member]
        self._sum -= given.charged
        given.charged = given.charge(now)
        self._sum += given.charged

    def _forget(self, member: str) -> None:
        self._sum -= self.given.pop(member).charged
        self._shared_us = None

    def _ends(self, now: int, owned_until: int) -> tuple[int, int]:
        """A grant's length and its end here: cut so that it ends with the ownership at the latest. What
        lingers at hosts after a count's holder has died lies within the charge.
        """
        linger = self.budget.linger_us if self.budget.kind == COUNT else 0
        length, term = self.lease.length_us, self._term
        room = owned_until - now - linger
        if term > room:
            length = int(room / (1 + self.lease.drift)) - 1
            term = Lease(max(length, 0), self.lease.drift).given_until(0)
        return length, now + linger + term

    def _share(self, now: int, member: str) -> int:
        """What the member is to have by the wishes of those heard lately; who is silent keeps what it may
        hold, no more, and is forgotten once that has run out.
        """
        if self.budget.sticky:
            return self.given[member].wish.demand
        if self._shared_us is None or now - self._shared_us >= self.stale_us or member not in self._shares:
            old = now - self._term // 2
            silent = [name for name, given in self.given.items() if name != member and given.wished_us < old]
            for name in silent:
                self._charge(now, name)
                if not self.given[name].charged:
                    self._forget(name)
            wishes = {name: given.wish for name, given in self.given.items() if given.wished_us >= old}
            floor = max(1, self.budget.floor // self.budget.fractions)
            self._shares = divide(self.budget.fraction(self.fraction), wishes, floor)
            self._shared_us = now
        share = self._shares[member]
        if self.among:
            even = self.budget.fraction(self.fraction) // self.among
            share = min(share, max(2 * self.given[member].wish.demand, even))
        return share

    def _room(self, now: int, member: str) -> int:
        """What others leave of the fraction."""
        others = self.charged(now) - self.given[member].charged
        return max(0, self.budget.fraction(self.fraction) - others)

    @staticmethod
    def _merge(given: _Given) -> None:
        """The two oldest into one, as large and as long as either."""
        first, second = sorted(given.grants)[:2]
        (amount, until), (other, later) = given.grants.pop(first), given.grants[second]
        given.grants[second] = max(amount, other), max(until, later)
