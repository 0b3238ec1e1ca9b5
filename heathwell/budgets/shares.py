"""A broker's side over all keepers and budgets. Pure: the clock and the answers are handed in, renewals come out."""

from __future__ import annotations

from heathwell.budgets.holder import Holder
from heathwell.budgets.keeper import Need, Renew, Renewed, Times
from heathwell.budgets.spec import Budget
from heathwell.membership import Lived, Self


class Shares:
    """One broker's budgets. Each use goes through :meth:`turn` first, so that a stop is noticed before anything
    leaves."""

    def __init__(self, member: Self, budgets: tuple[Budget, ...], keepers: tuple[str, ...], now: int,
                 times: Times | None = None) -> None:
        self.member, self.keepers = member, keepers
        self.times = times or Times()
        self.holders = {budget.name: Holder(budget, self.times.grant.drift, now) for budget in budgets}
        self.runs: dict[str, str] = {}  # each keeper's run, by its latest answer

    def turn(self, now: int) -> Lived:
        """The first thing in a turn of the loop: a broker that stood still for too long holds nothing any more."""
        return self._lived(now, self.member.turn(now))

    def renewals(self, now: int, *, leaves: bool = False) -> list[tuple[str, Renew]]:
        """What each keeper is to be asked now."""
        out = []
        for keeper in self.keepers:
            run = self.runs.get(keeper, "")
            needs = []
            for name, holder in self.holders.items():
                going = [(fraction, run, number) for fraction in range(holder.budget.fractions)
                         if (number := holder.ask(now, fraction, run, "").goes_by)]
                needs.append(Need(name, holder.demand(now), tuple(going)))
            out.append((keeper, Renew(self.member.report(keeper, leaves=leaves), now, tuple(needs))))
        for holder in self.holders.values():
            holder.asked(now)
        return out

    def renewed(self, now: int, keeper: str, answer: Renewed) -> Lived:
        """A keeper's answer. One to an earlier incarnation of ours gives this one nothing."""
        if answer.incarnation != self.member.incarnation:
            return Lived()
        lived = self._lived(now, self.member.told(keeper, answer.run, answer.incarnation, answer.word))
        if lived.died:
            return lived
        self.runs[keeper] = answer.run
        for grant in answer.grants:
            if grant.budget in self.holders:
                self.holders[grant.budget].granted(now, grant)
        return lived

    def take(self, now: int, budget: str) -> bool:
        """Use a unit."""
        return self.holders[budget].take(now)

    def _lived(self, now: int, lived: Lived) -> Lived:
        if lived.died:
            for holder in self.holders.values():
                holder.drop(now)
        return lived
