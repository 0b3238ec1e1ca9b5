"""A broker's quota of one budget: its own minimum always, and on top the grants that have not expired.

Job: say what may be used at this instant, and count use and demand. Owns the grants held of one budget. All
instants are of the broker's own clock. May import this package's budget, errors, lease and messages.

Every use is checked at the instant it happens: a grant that expired while the process stood still is gone at
the first use after it.
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
    """A grant of one fraction, with its end on our clock."""

    grantor: str
    number: int
    amount: int
    expires_at_us: int


class GrantNumber(NamedTuple):
    """The highest grant number received of one grantor; an older one is never taken."""

    grantor: str
    number: int


class QuotaHolder:
    """The quota of one budget at one broker.

    Of a count, ``in_use`` are the units in use now; of a rate, ``accrued_milliunits`` what may be used at
    once. ``baseline_demand`` is a rate's demand (milliunits a second) that the user states beside what it
    requested. ``admitted`` and ``rejected`` count uses.
    """

    def __init__(self, budget: Budget, clock_drift: float, now_us: int, initial_milliunits: int = 0) -> None:
        self.budget = budget
        self.clock_drift = clock_drift
        self.created_at_us = now_us
        self.grants: dict[int, HeldGrant] = {}  # by fraction
        self.superseded_grants: dict[int, HeldGrant] = {}  # by fraction: a larger one before, not yet expired
        self.latest_numbers: dict[int, GrantNumber] = {}  # by fraction
        self.in_use = 0
        self.accrued_milliunits = 0
        self.admitted = 0
        self.rejected = 0
        self.baseline_demand = 0
        self._initial_milliunits = initial_milliunits  # accrues with the first grant, within its burst window
        self._requested_milliunits = 0  # since the last renewal
        self._accrued_at_us = now_us
        self._renewed_at_us = now_us

    def on_grant(self, now_us: int, grant: Grant) -> bool:
        """Take a grant; whether it was taken. It is not where its number is old, where it has expired on its
        way, or where it answers a holder of this name that was dropped before this one began.
        """
        if grant.duration_us <= 0 or grant.requested_at_us < self.created_at_us or not self._is_new(grant):
            return False
        expires_at_us = Lease(grant.duration_us, self.clock_drift).holder_expires_at_us(grant.requested_at_us)
        self._accrue(now_us)
        # A fraction's lease has one holder at a time, so the numbers of earlier ones do not apply.
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
        """Nothing that was granted is held any more."""
        self._accrue(now_us)
        self.grants.clear()
        self.superseded_grants.clear()
        self._limit_accrued(now_us)

    def quota(self, now_us: int) -> int:
        """What may be used now: milliunits a second of a rate, units of a count."""
        expired = [fraction for fraction, held in self.grants.items() if held.expires_at_us <= now_us]
        for fraction in expired:
            del self.grants[fraction]
        return self.budget.broker_minimum + sum(held.amount for held in self.grants.values())

    def capacity(self, now_us: int) -> int:
        """What could be used at once: accrued milliunits of a rate, units of a count."""
        if self.budget.kind == BudgetKind.RATE:
            self._accrue(now_us)
            return self.accrued_milliunits
        return max(0, self.quota(now_us) - self.in_use)

    def record_unmet_demand(self, milliunits: int = MILLIUNITS_PER_UNIT) -> None:
        """A use that was not requested for lack of capacity: it counts as demand, and as rejected."""
        self._requested_milliunits += milliunits
        self.rejected += 1

    def acquire(self, now_us: int, milliunits: int = MILLIUNITS_PER_UNIT) -> bool:
        """Use one unit, of a count until :meth:`release`; false where the quota does not allow it. Of a rate
        it may be another amount.
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
        """A unit of a count is no longer in use. Raises :class:`UnitNotHeldError` where none is."""
        if self.in_use <= 0:
            raise UnitNotHeldError(self.budget.name)
        self.in_use -= 1

    def excess(self, now_us: int) -> int:
        """Units of a count in use beyond the quota, to be released when their work is done."""
        if self.budget.kind != BudgetKind.COUNT:
            return 0
        return max(0, self.in_use - self.quota(now_us))

    def overdue(self, now_us: int) -> int:
        """Units of a count that must be released now, whatever they are at work on: an excess may go on for
        as long as the larger grant that it was acquired under has not expired.
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
        """How long the first grant to expire lasts yet; None where none is held."""
        self.quota(now_us)  # drops what has expired
        return min((held.expires_at_us - now_us for held in self.grants.values()), default=None)

    def request(self, now_us: int, fraction: int, grantor: str, member: str) -> GrantRequest:
        """What to request of a fraction: all demand goes to each, as each grantor has only its own grants."""
        number = self.active_grant_number(now_us, fraction, grantor)
        return GrantRequest(member, self.demand(now_us), now_us, number)

    def active_grant_number(self, now_us: int, fraction: int, grantor: str) -> int:
        """The number of the grantor's grant that we go by; 0 for none. While units of a count are in use
        beyond the quota, the smaller grant is not yet gone by.
        """
        held = self.grants.get(fraction)
        if held is None or held.grantor != grantor:
            return 0
        if self.budget.kind == BudgetKind.COUNT and self.excess(now_us):
            return 0
        return held.number

    def demand(self, now_us: int) -> int:
        """What could be used: units of a count in use or requested since the last renewal, milliunits a
        second of a rate.
        """
        if self.budget.kind == BudgetKind.COUNT:
            return self.in_use + self._requested_milliunits // MILLIUNITS_PER_UNIT
        elapsed_us = max(1, now_us - self._renewed_at_us)
        return max(self.baseline_demand, self._requested_milliunits * US_PER_SECOND // elapsed_us)

    def on_renewed(self, now_us: int) -> None:
        """All coordinators were sent the demand: it is counted anew."""
        self._requested_milliunits = 0
        self._renewed_at_us = now_us

    def _is_new(self, grant: Grant) -> bool:
        latest = self.latest_numbers.get(grant.fraction)
        if latest is None or latest.grantor != grant.grantor:
            return grant.number > 0
        return grant.number > latest.number

    def _remember_superseded(self, grant: Grant) -> None:
        """Keep the larger of the grants before, under which units may be in use."""
        held = self.grants.get(grant.fraction)
        if held is None or held.amount <= grant.amount:
            return
        superseded = self.superseded_grants.get(grant.fraction)
        if superseded is None or held.amount >= superseded.amount:
            self.superseded_grants[grant.fraction] = held

    def _accrue(self, now_us: int) -> None:
        """Accrue until now, at the quota of now: what expired meanwhile accrues nothing since the last call.
        Slower by the drift, as a fast clock would accrue more than the fleet has.
        """
        quota = self.quota(now_us)
        if self.budget.kind == BudgetKind.RATE:
            elapsed_us = max(0, now_us - self._accrued_at_us)
            self.accrued_milliunits += int(quota * (1 - self.clock_drift) * elapsed_us) // US_PER_SECOND
        self._accrued_at_us = now_us
        self._limit_accrued(now_us)

    def _limit_accrued(self, now_us: int) -> None:
        """Nothing accrues beyond what the quota makes in the burst window: a lost grant takes its part with
        it.
        """
        limit = self.quota(now_us) * self.budget.burst_window_us // US_PER_SECOND
        self.accrued_milliunits = min(self.accrued_milliunits, limit)
