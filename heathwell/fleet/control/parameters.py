"""The parameters of the fleet's controllers, derived from the ``(fleet ...)`` form of the settings.

Pure functions of validated settings. Imports: the settings' schema and the records of
`heathwell.fleet.membership` and `heathwell.fleet.quotas`.
"""

from __future__ import annotations

from collections.abc import Sequence

from heathwell.fleet.membership import MembershipTimeouts
from heathwell.fleet.quotas import Budget, BudgetKind, Lease, QuotaTimings
from heathwell.settings.schema import Fleet, FleetBudget

MILLIUNITS_PER_UNIT = 1_000  # rates are counted in milliunits per second
CONNECTIONS_BUDGET = "connections"
SLOW_START_BUDGET = "cold"
ROLLOUT_BUDGET = "rollout"
ENDPOINT_SCOPE = "host"
GRANT_LEASES_PER_FRACTION_LEASE = 2


def max_brokers(fleet: Fleet) -> int:
    """Return the number of brokers for which a minimum quota is reserved."""
    return fleet.max_brokers or fleet.brokers


def budgets_from_settings(fleet: Fleet) -> Sequence[Budget]:
    """Return the fleet-wide budgets, in the order of the settings."""
    return tuple(
        _connection_budget(fleet, budget)
        if budget.name == CONNECTIONS_BUDGET
        else _rate_budget(fleet, budget)
        for budget in fleet.budgets
    )


def _connection_budget(fleet: Fleet, settings: FleetBudget) -> Budget:
    """Return the budget of connections to one endpoint.

    Each broker has its first connection without a grant: only additional ones are counted and granted.
    """
    brokers = max_brokers(fleet)
    return Budget(
        settings.name,
        BudgetKind.COUNT,
        int(settings.total) - brokers,
        0,
        brokers,
        len(fleet.coordinators),
        linger_timeout_us=settings.linger_timeout_us,
        scope_kind=ENDPOINT_SCOPE,
        uncounted=brokers,
    )


def _rate_budget(fleet: Fleet, settings: FleetBudget) -> Budget:
    """Return the budget of a rate, in milliunits per second."""
    return Budget(
        settings.name,
        BudgetKind.RATE,
        int(settings.total * MILLIUNITS_PER_UNIT),
        int(settings.total * settings.reserved_fraction * MILLIUNITS_PER_UNIT),
        max_brokers(fleet),
        len(fleet.coordinators),
        burst_window_us=settings.burst_window_us,
        scope_kind=ENDPOINT_SCOPE if settings.name == SLOW_START_BUDGET else "",
    )


def rollout_lease_budget(fleet: Fleet) -> Budget:
    """Return the budget of one unit, which the active rollout controller holds as its lease."""
    return Budget(
        ROLLOUT_BUDGET, BudgetKind.COUNT, 1, 0, max_brokers(fleet), len(fleet.coordinators), sticky=True
    )


def quota_timings_from_settings(fleet: Fleet) -> QuotaTimings:
    """Return the durations of leases and membership timeouts.

    A fraction's lease lasts longer than a grant, so that grants made late in the lease are not shortened.
    """
    return QuotaTimings(
        Lease(fleet.lease, fleet.drift),
        Lease(GRANT_LEASES_PER_FRACTION_LEASE * fleet.lease, fleet.drift),
        fleet.suspect,
        MembershipTimeouts(fleet.suspect, fleet.dead),
    )
