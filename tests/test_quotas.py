"""Quotas of brokers: allocation, lease arithmetic, ledgers, holders, and simulated fleets with faults.

The audit of the simulated fleets uses what brokers hold and use, not what the coordinators record.
"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.fleet.membership import LocalMember
from heathwell.fleet.quotas import (
    BrokerQuotas,
    Budget,
    BudgetKind,
    BudgetResizeError,
    BudgetStatistics,
    FractionLeaseRequest,
    FractionLedger,
    Grant,
    GrantRequest,
    InvalidBudgetError,
    Lease,
    LeaseVoter,
    QuotaCoordinator,
    QuotaHolder,
    QuotaRequest,
    UnitNotHeldError,
    UnknownBudgetError,
    allocate,
    statistics_by_budget,
)
from heathwell.testing.simulation.process_links import Link
from heathwell.testing.simulation.quota_faults import schedule_random_faults
from heathwell.testing.simulation.quota_processes import ProcessNotRunningError
from heathwell.testing.simulation.quota_scenario import BUDGETS, QuotaScenario

SECOND_US = 1_000_000
LEASE = Lease(3 * SECOND_US, 0.03)
POOL = Budget("pool", BudgetKind.COUNT, 30, 0, 10, fraction_count=1)


# Allocation.


@given(
    st.integers(0, 1000),
    st.dictionaries(
        st.text("abcdef", min_size=1, max_size=2),
        st.builds(QuotaRequest, st.integers(0, 400), st.integers(1, 4)),
        max_size=8,
    ),
    st.integers(0, 20),
)
def test_allocations_stay_within_the_amount_and_use_all_that_is_requested(amount, requests, minimum):
    allocations = allocate(amount, requests, minimum)
    assert set(allocations) == set(requests) and all(allocation >= 0 for allocation in allocations.values())
    assert sum(allocations.values()) <= amount
    if requests:
        assert sum(allocations.values()) >= min(amount, sum(request.demand for request in requests.values()))
        even_minimum = min(minimum, amount // len(requests))
        assert all(
            allocation >= min(even_minimum, requests[name].demand) for name, allocation in allocations.items()
        )


@given(st.integers(0, 1000), st.lists(st.integers(0, 400), min_size=2, max_size=8))
def test_no_member_is_allocated_more_than_one_that_requests_more_than_it_has(amount, demands):
    requests = {str(number): QuotaRequest(demand) for number, demand in enumerate(demands)}
    allocations = allocate(amount, requests)
    for name, allocation in allocations.items():
        if allocation < requests[name].demand:
            assert all(other <= allocation + 1 for other in allocations.values())


# The lease.


@given(st.integers(1, 10**9), st.floats(0, 0.05), st.floats(-1, 1), st.floats(-1, 1), st.integers(0, 10**6))
def test_a_lease_expires_at_its_holder_first_within_the_clock_drift(
    duration_us, drift, grantor_drift, holder_drift, delay_us
):
    lease = Lease(duration_us, drift)
    holder_rate = 1 + drift * holder_drift
    grantor_rate = 1 + drift * grantor_drift
    holder_end = (lease.holder_expires_at_us(0) - 0) / holder_rate  # true time after the request
    grantor_end = delay_us + lease.grantor_expires_at_us(0) / grantor_rate
    assert holder_end <= grantor_end + 1e-3


# Ledgers.


def distant_expiry(now):
    """Return an expiry of the fraction lease that is too late to shorten any grant."""
    return now + 100 * SECOND_US


def request_grant(ledger, member, demand, now=0, **fields):
    """Send a member's request to the ledger and return its grant."""
    return ledger.on_request(now, GrantRequest(member, demand, now, **fields), distant_expiry(now))


def test_a_quota_is_granted_again_only_once_its_holder_uses_a_smaller_grant():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    assert request_grant(ledger, "a", 30).amount == 30
    assert request_grant(ledger, "b", 30).amount == 0  # a may hold the entire quota
    second = request_grant(ledger, "a", 30)
    assert second.amount == 15 and request_grant(ledger, "b", 30).amount == 0
    request_grant(ledger, "a", 30, active_grant_number=second.number)
    assert request_grant(ledger, "b", 30).amount == 15


def test_with_many_expected_members_the_first_request_gets_no_more_than_an_even_part():
    """Otherwise the first member would hold the entire quota until it has sent two more requests."""
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    ledger.expected_members = 10
    assert request_grant(ledger, "a", 1).amount == 3 and request_grant(ledger, "b", 1).amount == 3
    assert 9 <= request_grant(ledger, "c", 9).amount <= 18  # up to twice its demand, where available


def test_a_lost_grant_is_charged_until_it_has_expired():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    request_grant(ledger, "a", 30)  # the reply is lost, and a fails
    assert request_grant(ledger, "b", 30, SECOND_US).amount == 0
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0) - 1).amount == 0
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0)).amount >= 15


def test_releasing_a_quota_is_idempotent():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    first = request_grant(ledger, "a", 10).amount
    request_grant(ledger, "b", 20)
    request_grant(ledger, "b", 20, active_grant_number=request_grant(ledger, "b", 20).number)
    for _ in range(3):
        request_grant(ledger, "a", 0, releasing=True)
    available = POOL.total - ledger.total_charge(0)
    assert (
        0 < available <= first
        and request_grant(ledger, "c", 30).amount <= available
        and ledger.total_charge(0) <= POOL.total
    )


def test_a_budget_resized_below_its_grants_grants_nothing_until_it_fits():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    held = {name: request_grant(ledger, name, 10) for name in "abc"}
    ledger.resize(Budget("pool", BudgetKind.COUNT, 12, 0, 10, fraction_count=1))
    assert ledger.total_charge(0) == 30
    smaller = {
        name: request_grant(ledger, name, 10, SECOND_US, active_grant_number=held[name].number)
        for name in "abc"
    }
    assert sum(grant.amount for grant in smaller.values()) <= 12
    assert ledger.total_charge(SECOND_US) == 30  # the larger grants may still be in use
    assert ledger.total_charge(LEASE.grantor_expires_at_us(0)) <= 12


def test_no_grant_outlasts_the_fraction_lease():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    for expires_at_us in (2 * SECOND_US, SECOND_US, 1_000, 1):
        grant = ledger.on_request(0, GrantRequest("a", 5, 0), expires_at_us)
        assert (
            Lease(grant.duration_us, 0.03).grantor_expires_at_us(0) <= expires_at_us or not grant.duration_us
        )
    assert ledger.on_request(0, GrantRequest("b", 5, 0), 0).amount == 0


def test_a_count_stays_charged_while_it_lingers_at_hosts():
    ledger = FractionLedger(
        Budget("pool", BudgetKind.COUNT, 30, 0, 10, fraction_count=1, linger_timeout_us=SECOND_US),
        0,
        "k0.1",
        LEASE,
    )
    request_grant(ledger, "a", 30)
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0)).amount == 0
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0) + SECOND_US).amount > 0


def test_a_restarted_voter_grants_no_vote_for_a_lease():
    voter = LeaseVoter("0", 0, LEASE)
    assert voter.on_request(SECOND_US, FractionLeaseRequest(1, "k1.1", 0)).holder is None
    later = LEASE.grantor_expires_at_us(0)
    assert voter.on_request(later, FractionLeaseRequest(1, "k1.1", 0)).holder == "k1.1"
    # A new run of the same coordinator is another holder.
    assert voter.on_request(later + SECOND_US, FractionLeaseRequest(1, "k1.2", 0)).holder == "k1.1"
    assert voter.on_request(later + SECOND_US, FractionLeaseRequest(0, "k1.2", 0)).holder == "k1.2"
    assert (
        voter.on_request(
            later + 3 * LEASE.grantor_expires_at_us(0), FractionLeaseRequest(1, "k1.2", 0)
        ).holder
        == "k1.2"
    )


# Holders.


def grant(number, amount, *, name="pool"):
    """Return a grant of a budget for three seconds, requested at time zero."""
    return Grant(name, 0, "k0.1", number, amount, 0, 3 * SECOND_US)


def test_the_lease_of_a_grant_starts_when_it_was_requested():
    holder = QuotaHolder(POOL, 0.03, 0)
    assert holder.on_grant(2 * SECOND_US, grant(1, 5))
    assert (
        holder.quota(LEASE.holder_expires_at_us(0) - 1) == 5
        and holder.quota(LEASE.holder_expires_at_us(0)) == 0
    )
    assert not holder.on_grant(4 * SECOND_US, grant(2, 5))  # it expired in transit


def test_a_grant_with_an_older_number_is_rejected():
    holder = QuotaHolder(POOL, 0.03, 0)
    assert holder.on_grant(0, grant(3, 5)) and not holder.on_grant(1, grant(2, 9))
    assert holder.quota(1) == 5
    holder.drop_grants(2)
    assert not holder.on_grant(3, grant(3, 5))  # the same reply again, after all grants were dropped


def test_units_in_use_beyond_the_quota_do_not_count_as_released():
    holder = QuotaHolder(POOL, 0.03, 0)
    holder.on_grant(0, grant(1, 5))
    assert [holder.acquire(1) for _ in range(6)] == [True] * 5 + [False]
    holder.on_grant(2, grant(2, 2))
    assert holder.excess(2) == 3 and holder.request(2, 0, "k0.1", "a").active_grant_number == 0
    for _ in range(3):
        holder.release()
    assert holder.request(2, 0, "k0.1", "a").active_grant_number == 2 and not holder.acquire(2)


def test_a_unit_that_is_not_in_use_cannot_be_released():
    with pytest.raises(UnitNotHeldError, match="pool: released a unit while no unit is in use"):
        QuotaHolder(POOL, 0.03, 0).release()


def test_statistics_sum_the_endpoints_of_a_budget_and_report_rates_in_units():
    rate = Budget("cold", BudgetKind.RATE, 20_000, 10_000, 10, burst_window_us=SECOND_US, scope_kind="host")
    count = QuotaHolder(POOL, 0.0, 0)
    count.on_grant(0, grant(1, 1))
    assert count.acquire(1) and not count.acquire(1)
    endpoints = [QuotaHolder(rate.for_scope(host), 0.0, 0) for host in ("n1", "n2")]
    assert endpoints[0].acquire(SECOND_US, 1_000) and not endpoints[0].acquire(SECOND_US, 1_000)
    assert statistics_by_budget([count, *endpoints], SECOND_US) == {
        "pool": BudgetStatistics(quota=1.0, in_use=1, admitted=1, rejected=1),
        "cold": BudgetStatistics(quota=2.0, in_use=0, admitted=1, rejected=1),
    }


def test_a_rate_accrues_at_the_present_quota_and_falls_to_the_minimum_with_an_expired_grant():
    rate = Budget("further", BudgetKind.RATE, 20_000, 10_000, 10, fraction_count=1, burst_window_us=SECOND_US)
    holder = QuotaHolder(rate, 0.0, 0)
    assert holder.quota(0) == 1_000
    holder.on_grant(0, Grant("further", 0, "k0.1", 1, 9_000, 0, 3 * SECOND_US))
    assert sum(holder.acquire(SECOND_US) for _ in range(20)) == 10
    # The lease has expired: a burst window of its own minimum.
    assert sum(holder.acquire(10 * SECOND_US) for _ in range(20)) == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"total": 5, "reserved": 6},
        {"max_brokers": 0},
        {"fraction_count": 0},
        {"kind": BudgetKind.RATE, "reserved": 10, "total": 20, "max_brokers": 10},
    ],
)
def test_an_inconsistent_budget_is_rejected(fields):
    valid = {"name": "pool", "kind": BudgetKind.COUNT, "total": 30, "reserved": 0, "max_brokers": 10}
    with pytest.raises(InvalidBudgetError, match="pool"):
        Budget(**{**valid, **fields})


def test_a_leaving_broker_drops_its_unused_grants_and_units_in_use_stay_charged():
    """Otherwise the broker could still use a grant after another one was granted the same quota."""
    budgets = (replace(POOL, name="idle"), replace(POOL, name="busy"))
    quotas = BrokerQuotas(LocalMember("b0", 1, 0), budgets, ("k0",), 0)
    for name in ("idle", "busy"):
        quotas.holders[name].on_grant(0, grant(1, 5, name=name))
    assert quotas.acquire(1, "busy")
    demands = quotas.renewals(2, leaving=True)[0].renewal.demands
    assert [demand.budget for demand in demands] == ["idle"]
    assert [quotas.holders[name].quota(2) for name in ("idle", "busy")] == [0, 0]


def test_a_resize_may_not_change_what_brokers_rely_on():
    coordinator = QuotaCoordinator(0, "k0.1", 1, (POOL,), 0)
    larger = replace(POOL, total=40, minimum_grant=2, linger_timeout_us=SECOND_US)
    assert coordinator.resize(larger) == POOL and coordinator.budgets["pool"] == larger
    with pytest.raises(BudgetResizeError, match="pool: only the total"):
        coordinator.resize(replace(POOL, total=100, reserved=50))  # reserves more than the former total
    with pytest.raises(BudgetResizeError, match="pool: only the total"):
        coordinator.resize(replace(larger, max_brokers=11))
    with pytest.raises(UnknownBudgetError, match="other: unknown to this coordinator"):
        coordinator.resize(replace(POOL, name="other"))
    assert coordinator.budgets["pool"] == larger


# Simulated fleets with faults.


@pytest.mark.parametrize(
    "seed", [*range(3), *(pytest.param(seed, marks=pytest.mark.fleet) for seed in range(3, 203))]
)
def test_no_more_than_the_total_is_held_or_used_under_random_faults(seed):
    scenario = QuotaScenario(seed)
    schedule_random_faults(scenario, 7_000_000, 18_000_000)
    scenario.run_until(20_000_000)
    assert not scenario.overshoots, scenario.overshoots[:3]
    assert scenario.message_count > 1_000


class OvergrantingCoordinator(QuotaCoordinator):
    """A faulty coordinator that grants twice what its ledger charges."""

    def on_renewal(self, now, renewal):
        """Return the outcome with each grant doubled."""
        outcome = super().on_renewal(now, renewal)
        reply = outcome.reply
        doubled_grants = tuple(replace(grant, amount=2 * grant.amount) for grant in reply.grants)
        return replace(outcome, reply=replace(reply, grants=doubled_grants))


def test_the_auditor_finds_quotas_held_and_used_beyond_the_total():
    scenario = QuotaScenario(1, brokers=24, coordinator_type=OvergrantingCoordinator)
    scenario.run_until(14_000_000)
    overshoots = " ".join(map(str, scenario.overshoots))
    assert "may be held" in overshoots and "are held" in overshoots and "was used" in overshoots


def test_with_demand_above_the_total_nine_tenths_of_the_total_are_in_use():
    scenario = QuotaScenario(3, brokers=24)
    scenario.run_until(14_000_000)
    for budget in BUDGETS:
        unit = 1_000 if budget.kind == BudgetKind.RATE else 1
        assert scenario.auditor.units_used[budget.name][13] * unit >= 0.9 * budget.total, budget.name
    assert not scenario.overshoots


def test_the_quotas_of_killed_brokers_are_in_use_again_within_a_lease_and_a_second():
    scenario = QuotaScenario(4, brokers=24)
    scenario.run_until(12_000_000)
    for broker in scenario.brokers[::3]:
        scenario.kill(broker)
    scenario.run_until(17_000_000)  # a lease of 3 s, and a second
    connections, additional_attempts = BUDGETS
    live_brokers = 16
    grantable = connections.total - connections.reserved + live_brokers * connections.broker_minimum
    assert scenario.auditor.units_used["connections"][16] >= 0.9 * grantable
    assert scenario.auditor.units_used["further"][16] * 1_000 >= 0.9 * (
        additional_attempts.total
        - additional_attempts.reserved
        + live_brokers * additional_attempts.broker_minimum
    )
    assert not scenario.overshoots


@pytest.mark.parametrize(
    "fault",
    ["kill", pytest.param("stop", marks=pytest.mark.fleet), pytest.param("cut", marks=pytest.mark.fleet)],
)
def test_a_lost_coordinator_makes_its_fraction_unavailable_for_a_lease_at_most(fault):
    """Its grants and its fraction lease expire; then another coordinator makes grants from the fraction."""
    scenario = QuotaScenario(5, brokers=24)
    scenario.run_until(12_000_000)
    lost = scenario.coordinators[1]
    if fault == "kill":
        scenario.kill(lost)
    elif fault == "stop":
        scenario.pause(lost, 60_000_000)
    else:
        links = {Link(lost.name, other.name) for other in scenario.processes}
        scenario.cut_links |= links | {link.reverse() for link in links}
    used_fractions = []
    for second in range(13, 24):
        scenario.run_until(second * 1_000_000)
        used_fractions.append(
            scenario.auditor.units_used["connections"][second - 1] / scenario.budgets[0].total
        )
    assert min(used_fractions) >= 0.6 and used_fractions[-1] >= 0.9, used_fractions
    assert not scenario.overshoots


def test_without_any_coordinator_each_broker_uses_its_reserved_minimum():
    scenario = QuotaScenario(6, brokers=24)
    scenario.run_until(10_000_000)
    for coordinator in scenario.coordinators:
        scenario.kill(coordinator)
    scenario.run_until(16_000_000)
    connections, additional_attempts = BUDGETS
    assert scenario.auditor.units_used["connections"][15] == 24 * connections.broker_minimum
    assert (
        0.8 * additional_attempts.reserved
        <= scenario.auditor.units_used["further"][15] * 1_000
        <= additional_attempts.reserved + 2_000
    )
    assert not scenario.overshoots


def test_a_killed_process_has_no_running_program_until_it_is_restarted():
    scenario = QuotaScenario(7, brokers=1)
    broker = scenario.brokers[0]
    first_program = broker.running_program
    scenario.kill(broker, 50_000)
    with pytest.raises(ProcessNotRunningError, match="b0 is not running"):
        _ = broker.running_program
    scenario.run_until(50_000)
    assert broker.incarnation == 2 and broker.running_program is not first_program
