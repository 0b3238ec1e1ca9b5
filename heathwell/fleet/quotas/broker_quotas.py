"""A broker's quotas of all budgets, renewed with all coordinators.

Builds renewals, applies replies and returns the quota holder of a budget. Owns the broker's quota holders and
its membership. Does no I/O: the clock and the replies are arguments. Imports membership and this package.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from heathwell.fleet.membership import IncarnationEnded, LocalMember
from heathwell.fleet.quotas.budget import MILLIUNITS_PER_UNIT, Budget, BudgetKind, BudgetName
from heathwell.fleet.quotas.messages import (
    ActiveGrant,
    AddressedRenewal,
    BudgetDemand,
    QuotaRenewal,
    QuotaRenewalReply,
)
from heathwell.fleet.quotas.quota_holder import QuotaHolder
from heathwell.fleet.quotas.timings import QuotaTimings


class BrokerQuotas:
    """One broker's quotas.

    :meth:`check_clock` must be called before each use, so that a suspension of the process is detected before
    anything is sent. Of per-host budgets only the recently used ones have a holder; there are at most
    ``MAX_HOLDERS`` holders.
    """

    MAX_HOLDERS = 256

    def __init__(
        self,
        member: LocalMember,
        budgets: Sequence[Budget],
        coordinators: Sequence[str],
        now_us: int,
        timings: QuotaTimings | None = None,
        seed: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.member = member
        self.coordinators = coordinators
        self.timings = timings or QuotaTimings()
        self.budgets = {budget.name: budget for budget in budgets}
        self.holders = {
            budget.name: QuotaHolder(budget, self.timings.grant_lease.clock_drift, now_us)
            for budget in budgets
            if not budget.scope_kind
        }
        self.coordinator_incarnations: dict[str, str] = {}  # by coordinator, of its latest reply
        self._scoped_used_at_us: dict[str, int] = {}  # by full name

    def check_clock(self, now_us: int) -> IncarnationEnded | None:
        """Drop all grants if the process was suspended for too long.

        Must be called first in each iteration of the event loop.
        """
        return self._drop_if_ended(now_us, self.member.check_clock(now_us))

    def renewals(self, now_us: int, *, leaving: bool = False) -> list[AddressedRenewal]:
        """Return the renewal to send to each coordinator now.

        A leaving broker drops its grants first. A count budget with units still in use is left out of its
        renewals, so that it stays charged until its grants have expired.
        """
        self._remove_unused(now_us)
        if leaving:
            for holder in self.holders.values():
                holder.drop_grants(now_us)
        renewals = [
            AddressedRenewal(coordinator, self._renewal(now_us, coordinator, leaving=leaving))
            for coordinator in self.coordinators
        ]
        for holder in self.holders.values():
            holder.on_renewed(now_us)
        return renewals

    def on_reply(self, now_us: int, coordinator: str, reply: QuotaRenewalReply) -> IncarnationEnded | None:
        """Apply a coordinator's reply; one to an earlier incarnation of this broker is ignored."""
        if reply.incarnation != self.member.incarnation:
            return None
        ended = self.member.on_reply(
            coordinator, reply.coordinator_incarnation, reply.incarnation, reply.membership
        )
        if ended is not None:
            return self._drop_if_ended(now_us, ended)
        self.coordinator_incarnations[coordinator] = reply.coordinator_incarnation
        for grant in reply.grants:
            if grant.budget in self.holders:
                self.holders[grant.budget].on_grant(now_us, grant)
        return None

    def acquire(self, now_us: int, budget: str, milliunits: int = MILLIUNITS_PER_UNIT) -> bool:
        """Use one unit, or another amount of a rate; return False if there is no holder or no free quota."""
        holder = self.holder(now_us, budget)
        return holder is not None and holder.acquire(now_us, milliunits)

    def holder(self, now_us: int, name: str) -> QuotaHolder | None:
        """Return the holder of a budget; that of a per-host budget is opened at its first use.

        None for an unknown budget, and for a new holder beyond ``MAX_HOLDERS``.
        """
        budget_name = BudgetName.parse(name)
        holder = self.holders.get(name)
        if not budget_name.scope:
            return holder
        self._scoped_used_at_us[name] = now_us
        budget = self.budgets.get(budget_name.base)
        if holder is None and budget is not None and len(self.holders) < self.MAX_HOLDERS:
            holder = self._open_holder(now_us, budget.for_scope(budget_name.scope))
        return holder

    def _open_holder(self, now_us: int, budget: Budget) -> QuotaHolder:
        # Many brokers that each get less than one unit per second must not all use their first unit at once.
        is_rate = budget.kind == BudgetKind.RATE
        initial_milliunits = self.random.randrange(MILLIUNITS_PER_UNIT) if is_rate else 0
        drift = self.timings.grant_lease.clock_drift
        holder = QuotaHolder(budget, drift, now_us, initial_milliunits)
        self.holders[budget.name] = holder
        return holder

    def _renewal(self, now_us: int, coordinator: str, *, leaving: bool) -> QuotaRenewal:
        grantor = self.coordinator_incarnations.get(coordinator, "")
        demands = tuple(
            BudgetDemand(name, holder.demand(now_us), tuple(_active_grants(now_us, holder, grantor)))
            for name, holder in self.holders.items()
            if not (leaving and holder.in_use)
        )
        return QuotaRenewal(self.member.report(coordinator, leaving=leaving), now_us, demands)

    def _remove_unused(self, now_us: int) -> None:
        """Remove scoped holders that were not used for a grant lease and have no unit in use."""
        recent_since_us = now_us - self.timings.grant_lease.duration_us
        unused = [name for name, used_us in self._scoped_used_at_us.items() if used_us < recent_since_us]
        for name in unused:
            if name not in self.holders or not self.holders[name].in_use:
                self.holders.pop(name, None)
                del self._scoped_used_at_us[name]

    def _drop_if_ended(self, now_us: int, ended: IncarnationEnded | None) -> IncarnationEnded | None:
        if ended is not None:
            for holder in self.holders.values():
                holder.drop_grants(now_us)
        return ended


def _active_grants(now_us: int, holder: QuotaHolder, grantor: str) -> list[ActiveGrant]:
    grants: list[ActiveGrant] = []
    for fraction in range(holder.budget.fraction_count):
        number = holder.active_grant_number(now_us, fraction, grantor)
        if number:
            grants.append(ActiveGrant(fraction, grantor, number))
    return grants
