"""A broker's side over all keepers and budgets. Pure: the clock and the answers are handed in, renewals come
out.
"""

from __future__ import annotations

import random

from heathwell.fleet.membership import IncarnationEnded, LocalMember
from heathwell.fleet.quotas.holder import Holder
from heathwell.fleet.quotas.keeper import Need, Renew, Renewed, Times
from heathwell.fleet.quotas.spec import RATE, Budget


class Shares:
    """One broker's budgets. Each use goes through :meth:`turn` first, so that a stop is noticed before
    anything leaves. Of a budget that is one of each of something, those are held that were used lately,
    ``HOLDERS`` at most.
    """

    HOLDERS = 256

    def __init__(
        self,
        member: LocalMember,
        budgets: tuple[Budget, ...],
        keepers: tuple[str, ...],
        now: int,
        times: Times | None = None,
        seed: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.member, self.keepers = member, keepers
        self.times = times or Times()
        self.budgets = {budget.name: budget for budget in budgets}
        self.holders = {
            budget.name: Holder(budget, self.times.grant.drift, now) for budget in budgets if not budget.each
        }
        self._used_us: dict[str, int] = {}  # when one of each was last looked at
        self.runs: dict[str, str] = {}  # each keeper's run, by its latest answer

    def turn(self, now: int) -> IncarnationEnded | None:
        """The first thing in a turn of the loop: a broker that stood still for too long holds nothing any
        more.
        """
        return self._lived(now, self.member.check_clock(now))

    def renewals(self, now: int, *, leaves: bool = False) -> list[tuple[str, Renew]]:
        """What each keeper is to be asked now. Who leaves holds nothing any more by then; units of a count
        that are still in use are not spoken of, and stay charged until they have run out.
        """
        out = []
        self._forget(now)
        if leaves:
            for holder in self.holders.values():
                holder.drop(now)
        for keeper in self.keepers:
            run = self.runs.get(keeper, "")
            needs = []
            for name, holder in self.holders.items():
                if leaves and holder.used:
                    continue
                going = [
                    (fraction, run, number)
                    for fraction in range(holder.budget.fractions)
                    if (number := holder.ask(now, fraction, run, "").goes_by)
                ]
                needs.append(Need(name, holder.demand(now), tuple(going)))
            out.append((keeper, Renew(self.member.report(keeper, leaving=leaves), now, tuple(needs))))
        for holder in self.holders.values():
            holder.asked(now)
        return out

    def renewed(self, now: int, keeper: str, answer: Renewed) -> IncarnationEnded | None:
        """A keeper's answer. One to an earlier incarnation of ours gives this one nothing."""
        if answer.incarnation != self.member.incarnation:
            return None
        lived = self._lived(now, self.member.on_reply(keeper, answer.run, answer.incarnation, answer.word))
        if lived is not None:
            return lived
        self.runs[keeper] = answer.run
        for grant in answer.grants:
            if grant.budget in self.holders:
                self.holders[grant.budget].granted(now, grant)
        return lived

    def take(self, now: int, budget: str, thousandths: int = 1_000) -> bool:
        """Use a unit, or another amount of a rate."""
        holder = self.holder(now, budget)
        return holder is not None and holder.take(now, thousandths)

    def holder(self, now: int, name: str) -> Holder | None:
        """The budget's, begun for one of each where there is room; None where there is none, or no such
        budget.
        """
        base, _, which = name.partition("@")
        holder, budget = self.holders.get(name), self.budgets.get(base)
        if which:
            self._used_us[name] = now
        if holder is None and which and budget is not None and len(self.holders) < self.HOLDERS:
            # Many brokers that each get less than a unit a second must not all have their first at one
            # moment.
            holder = self.holders[name] = Holder(
                budget.of(which),
                self.times.grant.drift,
                now,
                self.random.randrange(1_000) if budget.kind == RATE else 0,
            )
        return holder

    def _forget(self, now: int) -> None:
        """What was not looked at for a lease, and is not held."""
        old = now - self.times.grant.length_us
        for name in [name for name, used in self._used_us.items() if used < old]:
            if name not in self.holders or not self.holders[name].used:
                self.holders.pop(name, None)
                del self._used_us[name]

    def _lived(self, now: int, lived: IncarnationEnded | None) -> IncarnationEnded | None:
        if lived is not None:
            for holder in self.holders.values():
                holder.drop(now)
        return lived
