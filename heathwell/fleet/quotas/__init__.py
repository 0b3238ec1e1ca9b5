"""Quotas: fleet-wide budgets, divided among the brokers by leases.

Lets each broker use its quota without a request at the time of use, while the fleet never holds more than a
budget's total. Does no I/O: times are arguments and amounts are integers. May import
:mod:`heathwell.fleet.membership`.

Why the total is never exceeded, whichever messages are lost and whichever processes restart or are suspended
(see `docs/fleet.md` for details):

1. Each broker's minimum is reserved within the total in advance, for the maximum number of brokers.
2. The rest is divided into fixed fractions, one per coordinator. Only the holder of a fraction's lease makes
   grants from it, and a coordinator needs the votes of a majority for that lease. Any two majorities share a
   voter, and a voter votes for one candidate of a fraction at a time.
3. A holder counts its lease from the time of its request and shortens it by the bound on clock drift. A
   grantor counts it from the time of its answer and lengthens it by that bound. So a lease, be it a vote or a
   grant, expires at its holder first.
4. By its grantor's count no grant ends after the grantor's fraction lease. So no grant of the previous holder
   is still valid when a fraction's lease can have a new holder. A restarted coordinator has no state: it is a
   new candidate, and as a voter it stays silent for the longest time that a vote of its previous incarnation
   may last.
5. A ledger charges a member with the largest grant that it may still hold: of all grants that have not
   expired and are not superseded by a later one that the member reports as active. A new grant is limited to
   what the charges leave.
6. A rate accrues at the current quota, reduced by the bound on clock drift, up to one burst window of that
   quota.
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
