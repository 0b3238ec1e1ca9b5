"""The parameters of the fleet's controllers, derived from the ``(fleet ...)`` form of the settings.

Pure functions over settings that have passed their checks. Imports: the settings' schema and the records of
`heathwell.fleet.membership` and `heathwell.fleet.quotas`.
"""

from __future__ import annotations

from collections.abc import Sequence

from heathwell.fleet.membership import MembershipTimeouts
from heathwell.fleet.quotas import Budget, BudgetKind, Lease, QuotaTimings
from heathwell.settings.schema import Fleet, FleetBudget

MILLIUNITS = 1_000  # of a unit a second, in which rates are counted
CONNECTIONS_BUDGET = "connections"
SLOW_START_BUDGET = "cold"
ROLLOUT_BUDGET = "rollout"
ENDPOINT_SCOPE = "host"
FRACTION_LEASE_GRANTS = 2  # a fraction's lease lasts for so many grants


def max_brokers(fleet: Fleet) -> int:
    """For how many brokers minimum quotas are reserved."""
    return fleet.max_brokers or fleet.brokers


def budgets_from_settings(fleet: Fleet) -> Sequence[Budget]:
    """The fleet-wide budgets, in the order of the settings."""
    return tuple(
        _connection_budget(fleet, budget)
        if budget.name == CONNECTIONS_BUDGET
        else _rate_budget(fleet, budget)
        for budget in fleet.budgets
    )


def _connection_budget(fleet: Fleet, settings: FleetBudget) -> Budget:
    """Connections to one endpoint. A broker's first connection is its own and never requested: only
    additional ones are granted.
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
    """A rate, in milliunits a second."""
    return Budget(
        settings.name,
        BudgetKind.RATE,
        int(settings.total * MILLIUNITS),
        int(settings.total * settings.reserved_fraction * MILLIUNITS),
        max_brokers(fleet),
        len(fleet.coordinators),
        burst_window_us=settings.burst_window_us,
        scope_kind=ENDPOINT_SCOPE if settings.name == SLOW_START_BUDGET else "",
    )


def rollout_lease_budget(fleet: Fleet) -> Budget:
    """The one unit that the active rollout controller holds as its lease."""
    return Budget(
        ROLLOUT_BUDGET, BudgetKind.COUNT, 1, 0, max_brokers(fleet), len(fleet.coordinators), sticky=True
    )


def quota_timings_from_settings(fleet: Fleet) -> QuotaTimings:
    """The durations of leases and of membership (us). A fraction's lease outlasts a grant, so that a
    grant made late in it is not cut short.
    """
    return QuotaTimings(
        Lease(fleet.lease, fleet.drift),
        Lease(FRACTION_LEASE_GRANTS * fleet.lease, fleet.drift),
        fleet.suspect,
        MembershipTimeouts(fleet.suspect, fleet.dead),
    )
