"""A broker's side of one budget: its own minimum always, and on top the grants that have not run out.

Every use asks with the time of that moment: a grant that ran out while the process stood still is gone at its
first look.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.quotas.giver import Ask, Grant
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.spec import COUNT, RATE, Budget


@dataclass(slots=True)
class _Held:
    """A fraction's grant: the owner's run, its number, and our end (our clock)."""

    owner: str
    number: int
    amount: int
    until: int


class Holder:
    """One budget of one broker. ``used`` are units of a count held now; of a rate, thousandths saved up are
    in ``saved``.
    """

    def __init__(self, budget: Budget, drift: float, now: int, first: int = 0) -> None:
        self.budget, self.drift = budget, drift
        self._first = first  # thousandths to begin with, as far as the first share's window allows
        self.since_us = now
        self.covers: dict[int, tuple[int, int]] = {}  # by fraction: a larger grant before, and its end
        self.held: dict[int, _Held] = {}
        self.seen: dict[
            tuple[int, str], int
        ] = {}  # highest number by fraction and owner: an older one is never taken
        self.used = 0
        self.saved = 0
        self.refused = self.passed = 0
        self.usual = 0  # demand of a rate that the user states beside what it asked for
        self._wanted = 0  # thousandths asked for since the last ask
        self._settled_us = now
        self._asked_us = now

    def granted(self, now: int, grant: Grant) -> bool:
        """A keeper's answer; false where it is not taken: an older number, or one that has run out on its
        way.
        """
        key = grant.fraction, grant.owner
        if grant.length_us <= 0 or grant.number <= self.seen.get(key, 0) or grant.asked_us < self.since_us:
            return False  # the last: asked for by one of this name that was forgotten since
        until = Lease(grant.length_us, self.drift).holds_until(grant.asked_us)
        self._settle(now)
        # A fraction has one owner at a time, so the numbers of those before say nothing any more.
        self.seen = {old: number for old, number in self.seen.items() if old[0] != grant.fraction}
        self.seen[key] = grant.number
        if until <= now:
            return False
        old = self.held.get(grant.fraction)
        if (
            old is not None
            and old.amount > grant.amount
            and old.amount >= self.covers.get(grant.fraction, (0, 0))[0]
        ):
            self.covers[grant.fraction] = old.amount, old.until
        self.held[grant.fraction] = _Held(grant.owner, grant.number, grant.amount, until)
        if grant.amount and self._first:
            self.saved, self._first = self.saved + self._first, 0
        self._clip(now)
        return True

    def drop(self, now: int) -> None:
        """Nothing that was granted is ours any more."""
        self._settle(now)
        self.held.clear()
        self.covers.clear()
        self._clip(now)

    def share(self, now: int) -> int:
        """What may be used now: thousandths a second of a rate, units of a count."""
        for fraction in [fraction for fraction, held in self.held.items() if held.until <= now]:
            del self.held[fraction]
        return self.budget.own + sum(held.amount for held in self.held.values())

    def room(self, now: int) -> int:
        """What could be taken now: thousandths saved up of a rate, units of a count."""
        if self.budget.kind == RATE:
            self._settle(now)
            return self.saved
        return max(0, self.share(now) - self.used)

    def wanted(self, thousandths: int = 1_000) -> None:
        """A use that was not asked for, as there is no room: it counts as demand."""
        self._wanted += thousandths
        self.refused += 1

    def take(self, now: int, thousandths: int = 1_000) -> bool:
        """Use one unit, of a count until :meth:`give_back`; false where the share is used up. Of a rate it
        may be another amount.
        """
        self._wanted += thousandths
        if self.budget.kind == RATE:
            free = self.room(now) >= thousandths
            self.saved -= thousandths * free
        else:
            free = self.used < self.share(now)
            self.used += free
        self.passed += free
        self.refused += not free
        return free

    def give_back(self) -> None:
        """A unit of a count is really let go."""
        if self.used <= 0:
            raise ValueError(f"budget {self.budget.name}: a unit given back that nobody holds")
        self.used -= 1

    def excess(self, now: int) -> int:
        """Units of a count that are held beyond the share: to be let go."""
        return max(0, self.used - self.share(now)) if self.budget.kind == COUNT else 0

    def overdue(self, now: int) -> int:
        """Units of a count that must be let go by now, whatever they are at work on: what is beyond the share
        may go on while the larger grant that it was taken under has not run out.
        """
        if not self.excess(now):
            return 0
        may = self.budget.own
        for fraction in range(self.budget.fractions):
            held = self.held.get(fraction)
            amount, until = self.covers.get(fraction, (0, 0))
            may += max(held.amount if held is not None else 0, amount if until > now else 0)
        return max(0, self.used - may)

    def term_us(self, now: int) -> int | None:
        """How long the first of the grants held lasts yet; None where none is held."""
        self.share(now)
        return min((held.until - now for held in self.held.values()), default=None)

    def ask(self, now: int, fraction: int, owner: str, member: str) -> Ask:
        """What a fraction's owner is asked for: all demand goes to each, who lends of its own alone."""
        held = self.held.get(fraction)
        goes_by = 0
        if held is not None and held.owner == owner and (self.budget.kind == RATE or not self.excess(now)):
            goes_by = held.number
        return Ask(member, self.demand(now), now, goes_by)

    def demand(self, now: int) -> int:
        """What could be used: of a count what is held and was refused since; of a rate the uses asked for a
        second.
        """
        if self.budget.kind == COUNT:
            return self.used + self._wanted // 1_000
        return max(self.usual, self._wanted * 1_000_000 // max(1, now - self._asked_us))

    def asked(self, now: int) -> None:
        """All owners were asked: demand is counted anew."""
        self._wanted, self._asked_us = 0, now

    def _settle(self, now: int) -> None:
        """Save up until now. By the share of now: what ran out meanwhile saved up nothing since the last
        look.
        """
        share = self.share(now)
        if self.budget.kind == RATE:
            self.saved += int(share * (1 - self.drift) * max(0, now - self._settled_us)) // 1_000_000
        self._settled_us = now
        self._clip(now)

    def _clip(self, now: int) -> None:
        """No more is saved up than the share makes in a window: a share that is lost takes its savings with
        it.
        """
        self.saved = min(self.saved, self.share(now) * self.budget.window_us // 1_000_000)
