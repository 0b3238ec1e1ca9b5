"""A broker's quota of one budget: its reserved minimum, plus the grants that have not expired.

Computes what may be used now, and counts use and demand. Owns the grants held for one budget. All times are
on the broker's own clock. Imports this package's budget, errors, lease and messages.

The quota is checked at the time of each use: a grant that expired while the process was suspended is dropped
at the first use after that.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from heathwell.fleet.quotas.budget import MILLIUNITS_PER_UNIT, US_PER_SECOND, Budget, BudgetKind
from heathwell.fleet.quotas.errors import UnitNotHeldError
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.messages import Grant, GrantRequest


@dataclass(slots=True)
class HeldGrant:
    """A grant from one fraction, with its expiry on the broker's clock."""

    grantor: str
    number: int
    amount: int
    expires_at_us: int


class GrantNumber(NamedTuple):
    """The highest grant number received from one grantor; grants with lower numbers are rejected."""

    grantor: str
    number: int


class QuotaHolder:
    """The quota of one budget at one broker.

    For a count, ``in_use`` is the number of units in use; for a rate, ``accrued_milliunits`` may be used at
    once. ``baseline_demand`` is a minimum for the demand of a rate (milliunits per second), which the caller
    sets. ``admitted`` and ``rejected`` count uses.
    """

    def __init__(self, budget: Budget, clock_drift: float, now_us: int, initial_milliunits: int = 0) -> None:
        self.budget = budget
        self.clock_drift = clock_drift
        self.created_at_us = now_us
        self.grants: dict[int, HeldGrant] = {}  # by fraction
        self.superseded_grants: dict[int, HeldGrant] = {}  # by fraction: an earlier, larger grant
        self.latest_numbers: dict[int, GrantNumber] = {}  # by fraction
        self.in_use = 0
        self.accrued_milliunits = 0
        self.admitted = 0
        self.rejected = 0
        self.baseline_demand = 0
        self._initial_milliunits = initial_milliunits  # added with the first grant, up to its burst window
        self._requested_milliunits = 0  # since the last renewal
        self._accrued_at_us = now_us
        self._renewed_at_us = now_us

    def on_grant(self, now_us: int, grant: Grant) -> bool:
        """Apply a grant; return whether it was accepted.

        A grant is rejected if its number is not higher than the last, if it expired in transit, or if it
        answers a request by an earlier holder of this budget that was removed before this one was created.
        """
        if grant.duration_us <= 0 or grant.requested_at_us < self.created_at_us or not self._is_new(grant):
            return False
        expires_at_us = Lease(grant.duration_us, self.clock_drift).holder_expires_at_us(grant.requested_at_us)
        self._accrue(now_us)
        # A fraction's lease has one holder at a time, so the grant numbers of earlier holders do not apply.
        self.latest_numbers.pop(grant.fraction, None)
        self.latest_numbers[grant.fraction] = GrantNumber(grant.grantor, grant.number)
        if expires_at_us <= now_us:
            return False
        self._remember_superseded(grant)
        self.grants[grant.fraction] = HeldGrant(grant.grantor, grant.number, grant.amount, expires_at_us)
        if grant.amount and self._initial_milliunits:
            self.accrued_milliunits += self._initial_milliunits
            self._initial_milliunits = 0
        self._limit_accrued(now_us)
        return True

    def drop_grants(self, now_us: int) -> None:
        """Drop all grants."""
        self._accrue(now_us)
        self.grants.clear()
        self.superseded_grants.clear()
        self._limit_accrued(now_us)

    def quota(self, now_us: int) -> int:
        """Return the current quota: milliunits per second for a rate, units for a count."""
        expired = [fraction for fraction, held in self.grants.items() if held.expires_at_us <= now_us]
        for fraction in expired:
            del self.grants[fraction]
        return self.budget.broker_minimum + sum(held.amount for held in self.grants.values())

    def capacity(self, now_us: int) -> int:
        """Return what can be used at once: accrued milliunits for a rate, free units for a count."""
        if self.budget.kind == BudgetKind.RATE:
            self._accrue(now_us)
            return self.accrued_milliunits
        return max(0, self.quota(now_us) - self.in_use)

    def record_unmet_demand(self, milliunits: int = MILLIUNITS_PER_UNIT) -> None:
        """Count a use that was not attempted for lack of capacity, as demand and as rejected."""
        self._requested_milliunits += milliunits
        self.rejected += 1

    def acquire(self, now_us: int, milliunits: int = MILLIUNITS_PER_UNIT) -> bool:
        """Use one unit, or for a rate another amount; return False if the quota does not allow it.

        A unit of a count is in use until :meth:`release`.
        """
        self._requested_milliunits += milliunits
        if self.budget.kind == BudgetKind.RATE:
            is_admitted = self.capacity(now_us) >= milliunits
        else:
            is_admitted = self.in_use < self.quota(now_us)
        if not is_admitted:
            self.rejected += 1
            return False
        if self.budget.kind == BudgetKind.RATE:
            self.accrued_milliunits -= milliunits
        else:
            self.in_use += 1
        self.admitted += 1
        return True

    def release(self) -> None:
        """Release a unit of a count. Raises :class:`UnitNotHeldError` if none is in use."""
        if self.in_use <= 0:
            raise UnitNotHeldError(self.budget.name)
        self.in_use -= 1

    def excess(self, now_us: int) -> int:
        """Return the units of a count in use beyond the quota, to be released when their work is done."""
        if self.budget.kind != BudgetKind.COUNT:
            return 0
        return max(0, self.in_use - self.quota(now_us))

    def overdue(self, now_us: int) -> int:
        """Return the units of a count that must be released at once, even if they are at work.

        Units beyond the quota may stay in use until the larger grant under which they were acquired expires.
        """
        if not self.excess(now_us):
            return 0
        allowed = self.budget.broker_minimum
        for fraction in range(self.budget.fraction_count):
            held = self.grants.get(fraction)
            superseded = self.superseded_grants.get(fraction)
            held_amount = held.amount if held is not None else 0
            is_valid = superseded is not None and superseded.expires_at_us > now_us
            superseded_amount = superseded.amount if superseded is not None and is_valid else 0
            allowed += max(held_amount, superseded_amount)
        return max(0, self.in_use - allowed)

    def first_expiry_in_us(self, now_us: int) -> int | None:
        """Return the time until the next expiry of a grant; None without grants."""
        self.quota(now_us)  # drops what has expired
        return min((held.expires_at_us - now_us for held in self.grants.values()), default=None)

    def request(self, now_us: int, fraction: int, grantor: str, member: str) -> GrantRequest:
        """Return the request for a fraction.

        Every fraction is requested for the entire demand, as a grantor knows only its own grants.
        """
        number = self.active_grant_number(now_us, fraction, grantor)
        return GrantRequest(member, self.demand(now_us), now_us, number)

    def active_grant_number(self, now_us: int, fraction: int, grantor: str) -> int:
        """Return the number of the grantor's grant that is in effect; 0 for none.

        While units of a count are in use beyond the quota, the latest grant is not yet in effect.
        """
        held = self.grants.get(fraction)
        if held is None or held.grantor != grantor:
            return 0
        if self.budget.kind == BudgetKind.COUNT and self.excess(now_us):
            return 0
        return held.number

    def demand(self, now_us: int) -> int:
        """Return the demand: for a count the units in use or requested since the last renewal, for a rate
        milliunits per second.
        """
        if self.budget.kind == BudgetKind.COUNT:
            return self.in_use + self._requested_milliunits // MILLIUNITS_PER_UNIT
        elapsed_us = max(1, now_us - self._renewed_at_us)
        return max(self.baseline_demand, self._requested_milliunits * US_PER_SECOND // elapsed_us)

    def on_renewed(self, now_us: int) -> None:
        """Restart the count of demand, which has been sent to all coordinators."""
        self._requested_milliunits = 0
        self._renewed_at_us = now_us

    def _is_new(self, grant: Grant) -> bool:
        latest = self.latest_numbers.get(grant.fraction)
        if latest is None or latest.grantor != grant.grantor:
            return grant.number > 0
        return grant.number > latest.number

    def _remember_superseded(self, grant: Grant) -> None:
        """Keep the largest earlier grant, under which units may still be in use."""
        held = self.grants.get(grant.fraction)
        if held is None or held.amount <= grant.amount:
            return
        superseded = self.superseded_grants.get(grant.fraction)
        if superseded is None or held.amount >= superseded.amount:
            self.superseded_grants[grant.fraction] = held

    def _accrue(self, now_us: int) -> None:
        """Accrue since the last call at the current quota; a grant that expired meanwhile adds nothing.

        The rate is reduced by the drift, because on a fast clock more would accrue than the fleet has.
        """
        quota = self.quota(now_us)
        if self.budget.kind == BudgetKind.RATE:
            elapsed_us = max(0, now_us - self._accrued_at_us)
            self.accrued_milliunits += int(quota * (1 - self.clock_drift) * elapsed_us) // US_PER_SECOND
        self._accrued_at_us = now_us
        self._limit_accrued(now_us)

    def _limit_accrued(self, now_us: int) -> None:
        """Limit the accrued amount to one burst window of the current quota, which may have fallen."""
        limit = self.quota(now_us) * self.budget.burst_window_us // US_PER_SECOND
        self.accrued_milliunits = min(self.accrued_milliunits, limit)
