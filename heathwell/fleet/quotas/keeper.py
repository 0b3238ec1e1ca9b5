"""One run of one keeper: its roll of brokers, its votes, the fractions that it owns, and their books. Pure:
messages and the clock are handed in, messages to send come out.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from heathwell.fleet.membership import (
    MembershipReply,
    MembershipReport,
    MembershipTable,
    MembershipTimeouts,
    MemberState,
    MemberTransition,
)
from heathwell.fleet.quotas.giver import Ask, Giver, Grant
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.owner import Claim, Claimant, Vote, Voter
from heathwell.fleet.quotas.spec import Budget


@dataclass(frozen=True, slots=True)
class Need:
    """One budget in a renewal: the demand, and by which grant the broker goes of each fraction (fraction,
    owner, number).
    """

    budget: str
    demand: int
    goes_by: tuple[tuple[int, str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Renew:
    """A broker to a keeper, ``asked_us`` by its own clock."""

    report: MembershipReport
    asked_us: int
    needs: tuple[Need, ...] = ()


@dataclass(frozen=True, slots=True)
class Renewed:
    """The answer, of the fractions that this keeper owns."""

    word: MembershipReply
    incarnation: int
    asked_us: int
    run: str
    grants: tuple[Grant, ...] = ()


@dataclass(frozen=True, slots=True)
class Times:
    """The leases of a fleet: brokers' grants, and keepers' promises, which must outlast them."""

    grant: Lease = field(default_factory=Lease)
    promise: Lease = field(default_factory=lambda: Lease(6_000_000))
    patience_us: int = 2_000_000
    roll: MembershipTimeouts = field(default_factory=MembershipTimeouts)


class Keeper:
    """``number`` is its home fraction; ``run`` names this run and no other, ever. At most ``BOOKS`` books are
    kept, the rest is given nothing.
    """

    BOOKS = 2_048
    STALE = 30  # of a lease: how old the division may be that a grant goes by

    def __init__(
        self,
        number: int,
        run: str,
        keepers: int,
        budgets: tuple[Budget, ...],
        now: int,
        times: Times | None = None,
    ) -> None:
        self.number, self.run, self.keepers = number, run, keepers
        self.times = times or Times()
        self.budgets = {budget.name: budget for budget in budgets}
        self.roll = MembershipTable(run, self.times.roll)
        self.voter = Voter(str(number), now, self.times.promise)
        self.claimant = Claimant(
            run, number, keepers, keepers, self.times.promise, now, self.times.patience_us
        )
        self.books: dict[tuple[str, int], Giver] = {}
        self._number = 0  # the highest of any book that was closed
        self._alive = 0

    def tick(self, now: int) -> tuple[list[Claim], list[MemberTransition]]:
        """Now and then, some times a lease: claims for all voters (this one's own has been counted), and what
        silence has changed.
        """
        claims = self.claimant.wanted(now)
        for claim in claims:
            self.claimant.voted(self.voter.asked(now, claim))
        for key, book in list(self.books.items()):
            if not book.charged(now) and not book.heard_since(now - self.times.grant.given_until(0)):
                self._number = max(self._number, book.number)
                del self.books[key]
        changes = self.roll.tick(now)
        self._alive = sum(entry.state == MemberState.ALIVE for entry in self.roll.entries.values())
        return claims, changes

    def claimed(self, now: int, keeper: int, claim: Claim) -> Vote:
        """Another keeper's claim."""
        self.claimant.home_heard(now, keeper)
        return self.voter.asked(now, claim)

    def voted(self, now: int, keeper: int, vote: Vote) -> None:
        """Another keeper's vote."""
        self.claimant.home_heard(now, keeper)
        self.claimant.voted(vote)

    def owned(self, now: int) -> list[int]:
        """The fractions that this run owns now."""
        return [number for number in range(self.keepers) if self.claimant.owned_until(number) > now]

    def renew(self, now: int, renew: Renew) -> tuple[Renewed, list[MemberTransition]]:
        """A broker's renewal: its grants of every fraction owned here. Only one that is known to hear us gets
        any, as what is given to one that does not is lost for a lease.
        """
        said = renew.report
        outcome = self.roll.on_report(now, said)
        word, changes = outcome.reply, outcome.transitions
        grants: list[Grant] = []
        member = f"{said.name}#{said.incarnation}"
        for fraction in self.owned(now) if word.state == MemberState.ALIVE or said.leaving else ():
            until = self.claimant.owned_until(fraction)
            for need in renew.needs:
                book = self._book(need.budget, fraction)
                if book is None:
                    continue
                if "@" in need.budget:  # one of many such, begun as the first member asks
                    book.among = self._alive
                goes_by = max(
                    (number for of, owner, number in need.goes_by if (of, owner) == (fraction, self.run)),
                    default=0,
                )
                ask = Ask(member, need.demand, renew.asked_us, goes_by, said.leaving)
                grants.append(book.asked(now, ask, until))
        return Renewed(word, said.incarnation, renew.asked_us, self.run, tuple(grants)), changes

    def _book(self, name: str, fraction: int) -> Giver | None:
        """The book of a budget's fraction, begun where there is room for one more."""
        book = self.books.get((name, fraction))
        if book is None and len(self.books) < self.BOOKS:
            base, _, which = name.partition("@")
            budget = self.budgets.get(base)
            if budget is None or bool(budget.each) != bool(which):
                return None
            book = self.books[name, fraction] = Giver(
                budget.of(which) if which else budget,
                fraction,
                self.run,
                self.times.grant,
                number=self._number,
                stale_us=self.times.grant.length_us // self.STALE,
            )
        return book

    def resize(self, budget: Budget) -> None:
        """Another whole of a budget. What is set aside can't change while brokers run that go by it."""
        old = self.budgets[budget.name]
        if (
            replace(
                budget, whole=old.whole, floor=old.floor, window_us=old.window_us, linger_us=old.linger_us
            )
            != old
        ):
            raise ValueError(
                f"budget {budget.name}: only the whole, the floor and the times may change while it runs, "
                f"not what is set aside ({old.aside} before, {budget.aside} now): brokers go by it"
            )
        self.budgets[budget.name] = budget
        for (name, _), book in self.books.items():
            base, _, which = name.partition("@")
            if base == budget.name:
                book.resize(budget.of(which) if which else budget)
