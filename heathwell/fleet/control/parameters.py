"""What settings' ``(fleet ...)`` turns on, as the deciders' records."""

from __future__ import annotations

from heathwell.fleet.membership import MembershipTimeouts
from heathwell.fleet.quotas import Budget, BudgetKind, Lease, QuotaTimings
from heathwell.settings.schema import Fleet, FleetBudget


def max_brokers(fleet: Fleet) -> int:
    """For how many brokers parts are set aside."""
    return fleet.most or fleet.brokers


def budgets_from_settings(fleet: Fleet) -> tuple[Budget, ...]:
    """The budgets of a fleet that settings' checks have passed."""
    return tuple(_budget(fleet, said) for said in fleet.budgets)


def _budget(fleet: Fleet, said: FleetBudget) -> Budget:
    most, fractions = max_brokers(fleet), len(fleet.keepers)
    if said.name == "connections":
        # A broker's first connection is its own and never asked for: only those beyond are lent.
        return Budget(
            said.name,
            BudgetKind.COUNT,
            int(said.whole) - most,
            0,
            most,
            fractions,
            linger_timeout_us=said.linger,
            scope_kind="host",
            uncounted=most,
        )
    return Budget(
        said.name,
        BudgetKind.RATE,
        int(said.whole * 1000),
        int(said.whole * said.aside * 1000),
        most,
        fractions,
        burst_window_us=said.burst,
        scope_kind="host" if said.name == "cold" else "",
    )


def rollout_lease_budget(fleet: Fleet) -> Budget:
    """The one unit that is lent to whoever steers a change."""
    return Budget("rollout", BudgetKind.COUNT, 1, 0, max_brokers(fleet), len(fleet.keepers), sticky=True)


def quota_timings_from_settings(fleet: Fleet) -> QuotaTimings:
    """The leases of a fleet. A promise lasts for two grants, so that one given late in it is not cut short at
    once.
    """
    return QuotaTimings(
        Lease(fleet.lease, fleet.drift),
        Lease(2 * fleet.lease, fleet.drift),
        fleet.suspect,
        MembershipTimeouts(fleet.suspect, fleet.dead),
    )
