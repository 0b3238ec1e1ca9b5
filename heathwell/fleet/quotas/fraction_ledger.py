"""The ledger of one fraction of one budget, at the coordinator that holds the fraction's lease.

Decides on each grant so that what members may hold never exceeds the fraction. Owns one account per member
(one incarnation of a broker). All times are on the coordinator's own clock. Imports this package's
allocation, budget, lease and messages.

The ledger is lost when the coordinator's incarnation ends and need not survive it: no grant outlasts the
fraction lease under which it was made.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from heathwell.fleet.quotas.allocation import QuotaRequest, allocate
from heathwell.fleet.quotas.budget import Budget, BudgetKind
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.messages import Grant, GrantRequest


class OutstandingGrant(NamedTuple):
    """A grant that a member may still use."""

    amount: int
    expires_at_us: int


class _Expiry(NamedTuple):
    """The expiry of a member's grant, in a heap ordered by time."""

    expires_at_us: int
    member: str


@dataclass(slots=True)
class MemberAccount:
    """The grants that a member may hold, by ascending number.

    ``charge`` is the amount of the largest of them when it was last computed.
    """

    grants: dict[int, OutstandingGrant] = field(default_factory=dict)
    request: QuotaRequest = field(default_factory=lambda: QuotaRequest(0))
    requested_at_us: int = 0
    charge: int = 0

    def current_charge(self, now_us: int) -> int:
        """Drop expired grants and return the largest amount that the member may hold."""
        expired = [number for number, grant in self.grants.items() if grant.expires_at_us <= now_us]
        for number in expired:
            del self.grants[number]
        return max((grant.amount for grant in self.grants.values()), default=0)

    def discard_before(self, number: int) -> bool:
        """Drop the grants with a number below ``number``; return whether there were any."""
        superseded = [old for old in self.grants if old < number]
        for old in superseded:
            del self.grants[old]
        return bool(superseded)

    def merge_oldest(self) -> None:
        """Merge the two oldest grants into one with the larger amount and the later expiry."""
        first, second = sorted(self.grants)[:2]
        older = self.grants.pop(first)
        newer = self.grants[second]
        self.grants[second] = OutstandingGrant(
            max(older.amount, newer.amount), max(older.expires_at_us, newer.expires_at_us)
        )


@dataclass(frozen=True, slots=True)
class _GrantTerm:
    """A grant's duration as sent to the member, and its expiry on the coordinator's clock."""

    duration_us: int
    expires_at_us: int


class FractionLedger:
    """The ledger of one fraction while its ``grantor`` holds the fraction's lease without interruption.

    Grants are numbered from ``last_grant_number`` on; allocations are recomputed when they are older than
    ``allocation_max_age_us``. If ``expected_members`` is set, a member gets at most an even part for that
    many members, or twice its demand if that is more, because all of them may send requests within a short
    time.
    """

    MAX_GRANTS_PER_MEMBER = 8  # beyond it the oldest grants of a member are merged

    def __init__(
        self,
        budget: Budget,
        fraction: int,
        grantor: str,
        lease: Lease,
        *,
        last_grant_number: int = 0,
        allocation_max_age_us: int = 0,
    ) -> None:
        self.budget = budget
        self.fraction = fraction
        self.grantor = grantor
        self.lease = lease
        self.last_grant_number = last_grant_number
        self.allocation_max_age_us = allocation_max_age_us
        self.expected_members: int | None = None
        self.accounts: dict[str, MemberAccount] = {}
        self._total_charge = 0
        self._expiries: list[_Expiry] = []  # a heap
        self._allocations: dict[str, int] = {}
        self._allocated_at_us: int | None = None

    def resize(self, budget: Budget) -> None:
        """Apply a changed budget. Nothing is granted until enough earlier grants have expired to fit."""
        self.budget = budget
        self._allocated_at_us = None

    def has_requests_since(self, instant_us: int) -> bool:
        """Whether any member has sent a request since ``instant_us``."""
        return any(account.requested_at_us >= instant_us for account in self.accounts.values())

    def total_charge(self, now_us: int) -> int:
        """Return the total amount that members may hold now."""
        while self._expiries and self._expiries[0].expires_at_us <= now_us:
            member = heappop(self._expiries).member
            if member in self.accounts:
                self._update_charge(now_us, member)
        return self._total_charge

    def on_request(self, now_us: int, request: GrantRequest, lease_expires_at_us: int) -> Grant:
        """Answer a member's request. No grant ends after ``lease_expires_at_us``, the expiry of the
        fraction's lease.
        """
        account = self.accounts.setdefault(request.member, MemberAccount())
        if request.releasing:
            self._remove(request.member)
            return self._empty_grant(request)
        if account.discard_before(request.active_grant_number):
            self._update_charge(now_us, request.member)
        account.request = QuotaRequest(request.demand, request.weight)
        account.requested_at_us = now_us
        term = self._term(now_us, lease_expires_at_us)
        if term.duration_us <= 0:
            return self._empty_grant(request)
        amount = min(self._allocation(now_us, request.member), self._available(now_us, request.member))
        self._record(request.member, account, OutstandingGrant(amount, term.expires_at_us))
        return Grant(
            self.budget.name,
            self.fraction,
            self.grantor,
            self.last_grant_number,
            amount,
            request.requested_at_us,
            term.duration_us,
        )

    def _record(self, member: str, account: MemberAccount, grant: OutstandingGrant) -> None:
        """Add a new grant to the member's account and raise its charge if the grant is larger."""
        self.last_grant_number += 1
        account.grants[self.last_grant_number] = grant
        heappush(self._expiries, _Expiry(grant.expires_at_us, member))
        if len(account.grants) > self.MAX_GRANTS_PER_MEMBER:
            account.merge_oldest()
        self._total_charge += max(0, grant.amount - account.charge)
        account.charge = max(account.charge, grant.amount)

    def _empty_grant(self, request: GrantRequest) -> Grant:
        return Grant(
            self.budget.name,
            self.fraction,
            self.grantor,
            self.last_grant_number,
            amount=0,
            requested_at_us=request.requested_at_us,
            duration_us=0,
        )

    def _update_charge(self, now_us: int, member: str) -> None:
        account = self.accounts[member]
        self._total_charge -= account.charge
        account.charge = account.current_charge(now_us)
        self._total_charge += account.charge

    def _remove(self, member: str) -> None:
        self._total_charge -= self.accounts.pop(member).charge
        self._allocated_at_us = None

    def _term(self, now_us: int, lease_expires_at_us: int) -> _GrantTerm:
        """Return the term of a grant, shortened so that it ends no later than the fraction's lease.

        For a count it includes the time that units may linger at hosts after their holder has died, so that
        the charge covers them.
        """
        linger_us = self.budget.linger_timeout_us if self.budget.kind == BudgetKind.COUNT else 0
        remaining_us = lease_expires_at_us - now_us - linger_us
        lease = self.lease
        if lease.grantor_duration_us > remaining_us:
            drift = lease.clock_drift
            duration_us = int(remaining_us / (1 + drift)) - 1  # rounded down, so that it never ends later
            expires_at_us = now_us + linger_us + Lease(max(duration_us, 0), drift).grantor_duration_us
            return _GrantTerm(duration_us, expires_at_us)
        return _GrantTerm(lease.duration_us, now_us + linger_us + lease.grantor_duration_us)

    def _allocation(self, now_us: int, member: str) -> int:
        """Return the member's allocation, based on the recent requests of all members."""
        demand = self.accounts[member].request.demand
        if self.budget.sticky:
            return demand
        if (
            self._allocated_at_us is None
            or now_us - self._allocated_at_us >= self.allocation_max_age_us
            or member not in self._allocations
        ):
            self._allocate(now_us, member)
        allocation = self._allocations[member]
        if self.expected_members:
            even_part = self.budget.fraction_amount(self.fraction) // self.expected_members
            allocation = min(allocation, max(2 * demand, even_part))
        return allocation

    def _allocate(self, now_us: int, requester: str) -> None:
        """Divide the fraction among the members with a recent request.

        A member without one gets no new grant, and is removed once its grants have expired.
        """
        recent_since_us = now_us - self.lease.grantor_duration_us // 2
        silent = [
            name
            for name, account in self.accounts.items()
            if name != requester and account.requested_at_us < recent_since_us
        ]
        for name in silent:
            self._update_charge(now_us, name)
            if not self.accounts[name].charge:
                self._remove(name)
        requests = {
            name: account.request
            for name, account in self.accounts.items()
            if account.requested_at_us >= recent_since_us
        }
        minimum = max(1, self.budget.minimum_grant // self.budget.fraction_count)
        self._allocations = allocate(self.budget.fraction_amount(self.fraction), requests, minimum)
        self._allocated_at_us = now_us

    def _available(self, now_us: int, member: str) -> int:
        """Return what the charges of the other members leave of the fraction."""
        others = self.total_charge(now_us) - self.accounts[member].charge
        return max(0, self.budget.fraction_amount(self.fraction) - others)
