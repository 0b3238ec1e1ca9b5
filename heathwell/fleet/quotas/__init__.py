"""Quotas: budgets of a fleet, divided among its brokers by leases.

Job: let each broker use its quota without asking anybody at the moment of use, and never let the fleet hold
more than a budget's total. Pure: instants are handed in and amounts are integers. May import
:mod:`heathwell.fleet.membership`.

Why no more than the total is ever held, whatever is lost, restarted or stopped (`docs/fleet.md` at length):

1. A broker's own minimum is reserved within the total beforehand, for the most brokers there may be.
2. The rest is cut into fixed fractions, as many as coordinators. Only the holder of a fraction's lease grants
   of it, and for that lease a coordinator needs the votes of a majority. Two majorities share a voter, and a
   voter votes for one candidate of a fraction at a time.
3. A holder counts its lease from before it requested it, and shorter by the bound on clock drift; a grantor
   from after it answered, and longer by it. So a lease ends at its holder first, be it a vote or a grant.
4. No grant ends, by its grantor's count, after the grantor's fraction lease. So once a fraction's lease may
   have a new holder, no grant of the old one is held any more. A coordinator that starts again with nothing
   remembered is a new candidate, and a new voter is silent for the longest time that a forgotten vote may
   last.
5. A ledger charges a member with the largest grant that it may still hold: those granted, not expired, and
   not superseded by a later one that the member reports as active. A grant is given only within what the
   charges leave.
6. A rate accrues at the quota of the moment and never beyond a burst window of it, and slower by the bound on
   drift.
"""

from heathwell.fleet.quotas.allocation import QuotaRequest, allocate
from heathwell.fleet.quotas.broker_quotas import BrokerQuotas
from heathwell.fleet.quotas.budget import Budget, BudgetKind, BudgetName
from heathwell.fleet.quotas.budget_statistics import BudgetStatistics, statistics_by_budget
from heathwell.fleet.quotas.errors import (
    BudgetResizeError,
    InvalidBudgetError,
    QuotaError,
    UnitNotHeldError,
    UnknownBudgetError,
)
from heathwell.fleet.quotas.fraction_lease import LeaseCandidate, LeaseVoter
from heathwell.fleet.quotas.fraction_ledger import FractionLedger
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.messages import (
    ActiveGrant,
    AddressedRenewal,
    BudgetDemand,
    FractionLeaseRequest,
    FractionLeaseVote,
    Grant,
    GrantRequest,
    QuotaRenewal,
    QuotaRenewalReply,
)
from heathwell.fleet.quotas.quota_coordinator import QuotaCoordinator
from heathwell.fleet.quotas.quota_holder import QuotaHolder
from heathwell.fleet.quotas.timings import QuotaTimings

__all__ = [
    "ActiveGrant",
    "AddressedRenewal",
    "BrokerQuotas",
    "Budget",
    "BudgetDemand",
    "BudgetKind",
    "BudgetName",
    "BudgetResizeError",
    "BudgetStatistics",
    "FractionLeaseRequest",
    "FractionLeaseVote",
    "FractionLedger",
    "Grant",
    "GrantRequest",
    "InvalidBudgetError",
    "Lease",
    "LeaseCandidate",
    "LeaseVoter",
    "QuotaCoordinator",
    "QuotaError",
    "QuotaHolder",
    "QuotaRenewal",
    "QuotaRenewalReply",
    "QuotaRequest",
    "QuotaTimings",
    "UnitNotHeldError",
    "UnknownBudgetError",
    "allocate",
    "statistics_by_budget",
]
