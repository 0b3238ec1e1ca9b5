"""One incarnation of one quota coordinator, one of a quorum.

Combines its membership table, its votes, the fraction leases that it holds and their ledgers, and owns all
four. Does no I/O: messages and the clock are arguments, messages to send are return values. Imports
membership and this package.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import NamedTuple

from heathwell.fleet.membership import (
    MembershipReport,
    MembershipTable,
    MemberState,
    MemberTransition,
)
from heathwell.fleet.quotas.budget import Budget, BudgetName
from heathwell.fleet.quotas.errors import BudgetResizeError, UnknownBudgetError
from heathwell.fleet.quotas.fraction_lease import LeaseCandidate, LeaseVoter
from heathwell.fleet.quotas.fraction_ledger import FractionLedger
from heathwell.fleet.quotas.messages import (
    BudgetDemand,
    FractionLeaseRequest,
    FractionLeaseVote,
    Grant,
    GrantRequest,
    QuotaRenewal,
    QuotaRenewalReply,
)
from heathwell.fleet.quotas.timings import QuotaTimings

RESIZABLE_FIELDS = frozenset({"total", "minimum_grant", "burst_window_us", "linger_timeout_us"})
"""Fields of a budget that may change while brokers run; they rely on all others."""


class LedgerKey(NamedTuple):
    """A fraction of a budget, which is given by its full name; the order is that of the operator's views."""

    budget: str
    fraction: int


@dataclass(frozen=True, slots=True)
class CoordinatorTick:
    """Lease requests to send to all other coordinators, and members' transitions after timeouts."""

    lease_requests: list[FractionLeaseRequest]
    transitions: list[MemberTransition]


@dataclass(frozen=True, slots=True)
class RenewalOutcome:
    """The reply to a renewal, and the members' transitions that the renewal caused."""

    reply: QuotaRenewalReply
    transitions: list[MemberTransition]


class QuotaCoordinator:
    """One incarnation of a quota coordinator.

    ``number`` is its index among ``coordinator_count`` coordinators and its home fraction. ``incarnation``
    must never be reused by a later incarnation. While ``MAX_LEDGERS`` ledgers are open, further budgets get
    no grants.
    """

    MAX_LEDGERS = 2_048
    ALLOCATIONS_PER_LEASE = 30  # maximum recomputations of allocations within a grant lease

    def __init__(
        self,
        number: int,
        incarnation: str,
        coordinator_count: int,
        budgets: Sequence[Budget],
        now_us: int,
        timings: QuotaTimings | None = None,
    ) -> None:
        self.number = number
        self.incarnation = incarnation
        self.coordinator_count = coordinator_count
        self.timings = timings or QuotaTimings()
        self.budgets = {budget.name: budget for budget in budgets}
        self.membership = MembershipTable(incarnation, self.timings.membership)
        self.voter = LeaseVoter(str(number), now_us, self.timings.fraction_lease)
        self.candidate = LeaseCandidate(
            incarnation,
            number,
            coordinator_count,
            coordinator_count,
            self.timings.fraction_lease,
            now_us,
            self.timings.takeover_timeout_us,
        )
        self.ledgers: dict[LedgerKey, FractionLedger] = {}
        self._last_closed_grant_number = 0  # highest over all closed ledgers
        self._alive_count = 0

    def tick(self, now_us: int) -> CoordinatorTick:
        """Expire members and ledgers, and return the lease requests to send.

        Must be called several times within a fraction lease. This coordinator's own vote is counted already.
        """
        requests = self.candidate.requests(now_us)
        for request in requests:
            self.candidate.on_vote(self.voter.on_request(now_us, request))
        self._close_unused_ledgers(now_us)
        transitions = self.membership.tick(now_us)
        self._alive_count = sum(
            entry.state == MemberState.ALIVE for entry in self.membership.entries.values()
        )
        return CoordinatorTick(requests, transitions)

    def on_lease_request(
        self, now_us: int, coordinator: int, request: FractionLeaseRequest
    ) -> FractionLeaseVote:
        """Answer another coordinator's lease request."""
        self.candidate.on_home_coordinator_seen(now_us, coordinator)
        return self.voter.on_request(now_us, request)

    def on_lease_vote(self, now_us: int, coordinator: int, vote: FractionLeaseVote) -> None:
        """Record another coordinator's vote."""
        self.candidate.on_home_coordinator_seen(now_us, coordinator)
        self.candidate.on_vote(vote)

    def held_fractions(self, now_us: int) -> list[int]:
        """Return the fractions whose leases this incarnation holds now."""
        return [
            fraction for fraction in range(self.coordinator_count) if self.candidate.holds(now_us, fraction)
        ]

    def held_fraction_remaining_us(self, now_us: int) -> dict[int, int]:
        """Return the remaining duration of each lease that is held now, by fraction."""
        remaining_us: dict[int, int] = {}
        for fraction in range(self.coordinator_count):
            expires_at_us = self.candidate.lease_expires_at_us(fraction)
            if expires_at_us is not None and expires_at_us > now_us:
                remaining_us[fraction] = expires_at_us - now_us
        return remaining_us

    def on_renewal(self, now_us: int, renewal: QuotaRenewal) -> RenewalOutcome:
        """Answer a broker's renewal, with grants from every fraction whose lease is held here.

        Only a broker that is known to receive this coordinator's replies gets grants: the quota in a grant
        that is not received is unavailable to all until the grant has expired.
        """
        report = renewal.report
        outcome = self.membership.on_report(now_us, report)
        grants: list[Grant] = []
        if outcome.reply.state == MemberState.ALIVE or report.leaving:
            for fraction, remaining_us in self.held_fraction_remaining_us(now_us).items():
                for demand in renewal.demands:
                    request = self._grant_request(renewal, demand, fraction)
                    ledger = self._ledger(demand.budget, fraction)
                    if ledger is not None:
                        grants.append(ledger.on_request(now_us, request, now_us + remaining_us))
        reply = QuotaRenewalReply(
            outcome.reply,
            report.incarnation,
            renewal.requested_at_us,
            self.incarnation,
            tuple(grants),
        )
        return RenewalOutcome(reply, outcome.transitions)

    def resize(self, budget: Budget) -> Budget:
        """Replace a budget by one that differs in ``RESIZABLE_FIELDS`` only; return the former budget.

        Raises :class:`UnknownBudgetError`, and :class:`BudgetResizeError` for a change of any other field, as
        brokers rely on the reserved minimum.
        """
        old = self.budgets.get(budget.name)
        if old is None:
            raise UnknownBudgetError(budget.name)
        if not _can_replace(old, budget):
            raise BudgetResizeError(budget.name, old.reserved, budget.reserved)
        self.budgets[budget.name] = budget
        for key, ledger in self.ledgers.items():
            name = BudgetName.parse(key.budget)
            if name.base == budget.name:
                ledger.resize(budget.for_scope(name.scope) if name.scope else budget)
        return old

    def _grant_request(self, renewal: QuotaRenewal, demand: BudgetDemand, fraction: int) -> GrantRequest:
        report = renewal.report
        return GrantRequest(
            _member_name(report),
            demand.demand,
            renewal.requested_at_us,
            demand.active_grant_number(fraction, self.incarnation),
            report.leaving,
        )

    def _ledger(self, budget_name: str, fraction: int) -> FractionLedger | None:
        """Return the ledger of a budget's fraction, opened at the first request.

        None for an unknown budget, and for a new ledger beyond ``MAX_LEDGERS``.
        """
        name = BudgetName.parse(budget_name)
        key = LedgerKey(budget_name, fraction)
        ledger = self.ledgers.get(key)
        if ledger is None and len(self.ledgers) < self.MAX_LEDGERS:
            ledger = self._open_ledger(key, name)
        if ledger is not None and name.scope is not None:
            ledger.expected_members = self._alive_count
        return ledger

    def _open_ledger(self, key: LedgerKey, name: BudgetName) -> FractionLedger | None:
        budget = self.budgets.get(name.base)
        if budget is None or bool(budget.scope_kind) != bool(name.scope):
            return None
        ledger = FractionLedger(
            budget.for_scope(name.scope) if name.scope else budget,
            key.fraction,
            self.incarnation,
            self.timings.grant_lease,
            last_grant_number=self._last_closed_grant_number,
            allocation_max_age_us=self.timings.grant_lease.duration_us // self.ALLOCATIONS_PER_LEASE,
        )
        self.ledgers[key] = ledger
        return ledger

    def _close_unused_ledgers(self, now_us: int) -> None:
        """Close ledgers without valid grants and without requests for a grant lease.

        Ledgers opened later continue their grant numbers, as members reject numbers that are not higher than
        the last.
        """
        recent_since_us = now_us - self.timings.grant_lease.grantor_duration_us
        for key, ledger in list(self.ledgers.items()):
            if not ledger.total_charge(now_us) and not ledger.has_requests_since(recent_since_us):
                self._last_closed_grant_number = max(self._last_closed_grant_number, ledger.last_grant_number)
                del self.ledgers[key]


def _can_replace(old: Budget, new: Budget) -> bool:
    """Whether the budgets differ in resizable fields only."""
    return all(
        getattr(old, field.name) == getattr(new, field.name)
        for field in fields(Budget)
        if field.name not in RESIZABLE_FIELDS
    )


def _member_name(report: MembershipReport) -> str:
    """Return the name of a broker's incarnation in ledgers."""
    return f"{report.name}#{report.incarnation}"
