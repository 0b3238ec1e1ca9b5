"""Quotas of brokers: allocation, the lease's arithmetic, ledgers, holders, and days of random faults judged
from outside.
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

S = 1_000_000
LEASE = Lease(3 * S, 0.03)
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
def test_allocations_never_sum_to_more_and_use_all_that_is_requested(amount, requests, floor):
    allocations = allocate(amount, requests, floor)
    assert set(allocations) == set(requests) and all(allocation >= 0 for allocation in allocations.values())
    assert sum(allocations.values()) <= amount
    if requests:
        assert sum(allocations.values()) >= min(amount, sum(request.demand for request in requests.values()))
        low = min(floor, amount // len(requests))
        assert all(allocation >= min(low, requests[name].demand) for name, allocation in allocations.items())


@given(st.integers(0, 1000), st.lists(st.integers(0, 400), min_size=2, max_size=8))
def test_nobody_has_more_while_another_requests_more(amount, demands):
    requests = {str(n): QuotaRequest(demand) for n, demand in enumerate(demands)}
    allocations = allocate(amount, requests)
    for name, allocation in allocations.items():
        if allocation < requests[name].demand:
            assert all(other <= allocation + 1 for other in allocations.values())


# The lease.


@given(st.integers(1, 10**9), st.floats(0, 0.05), st.floats(-1, 1), st.floats(-1, 1), st.integers(0, 10**6))
def test_a_lease_ends_at_its_holder_first_whatever_the_clocks_do(length, drift, fast, slow, way):
    lease = Lease(length, drift)
    holder_rate, grantor_rate = 1 + drift * slow, 1 + drift * fast
    holder_end = (lease.holder_expires_at_us(0) - 0) / holder_rate  # true time after it asked
    grantor_end = way + lease.grantor_expires_at_us(0) / grantor_rate
    assert holder_end <= grantor_end + 1e-3


# Ledgers.


def distant_expiry(now):
    return now + 100 * S


def request_grant(ledger, member, demand, now=0, **more):
    return ledger.on_request(now, GrantRequest(member, demand, now, **more), distant_expiry(now))


def test_a_quota_moves_only_once_its_holder_goes_by_the_smaller_grant():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    assert request_grant(ledger, "a", 30).amount == 30
    assert request_grant(ledger, "b", 30).amount == 0  # a may hold all of it
    second = request_grant(ledger, "a", 30)
    assert second.amount == 15 and request_grant(ledger, "b", 30).amount == 0
    request_grant(ledger, "a", 30, active_grant_number=second.number)
    assert request_grant(ledger, "b", 30).amount == 15


def test_with_many_expected_members_the_first_request_gets_no_more_than_an_even_part():
    """Else it holds all until it has asked twice more (a host that starts: 89 brokers, 2 s without first
    work).
    """
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    ledger.expected_members = 10
    assert request_grant(ledger, "a", 1).amount == 3 and request_grant(ledger, "b", 1).amount == 3
    assert 9 <= request_grant(ledger, "c", 9).amount <= 18  # twice its demand, where that is there


def test_a_lost_grant_is_charged_until_it_has_expired():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    request_grant(ledger, "a", 30)  # its answer is lost, and a with it
    assert request_grant(ledger, "b", 30, S).amount == 0
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0) - 1).amount == 0
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0)).amount >= 15


def test_releasing_is_idempotent():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    first = request_grant(ledger, "a", 10).amount
    request_grant(ledger, "b", 20)
    request_grant(ledger, "b", 20, active_grant_number=request_grant(ledger, "b", 20).number)
    for _ in range(3):
        request_grant(ledger, "a", 0, releasing=True)
    rest = POOL.total - ledger.total_charge(0)
    assert (
        0 < rest <= first
        and request_grant(ledger, "c", 30).amount <= rest
        and ledger.total_charge(0) <= POOL.total
    )


def test_a_budget_resized_below_its_grants_grants_nothing_until_it_fits():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    held = {name: request_grant(ledger, name, 10) for name in "abc"}
    ledger.resize(Budget("pool", BudgetKind.COUNT, 12, 0, 10, fraction_count=1))
    assert ledger.total_charge(0) == 30
    smaller = {
        name: request_grant(ledger, name, 10, S, active_grant_number=held[name].number) for name in "abc"
    }
    assert sum(grant.amount for grant in smaller.values()) <= 12
    assert ledger.total_charge(S) == 30  # they may still go by the larger ones
    assert ledger.total_charge(LEASE.grantor_expires_at_us(0)) <= 12


def test_no_grant_outlasts_the_fraction_lease():
    ledger = FractionLedger(POOL, 0, "k0.1", LEASE)
    for ends in (2 * S, S, 1_000, 1):
        grant = ledger.on_request(0, GrantRequest("a", 5, 0), ends)
        assert Lease(grant.duration_us, 0.03).grantor_expires_at_us(0) <= ends or not grant.duration_us
    assert ledger.on_request(0, GrantRequest("b", 5, 0), 0).amount == 0


def test_a_count_lingers_at_hosts_within_the_charge():
    ledger = FractionLedger(
        Budget("pool", BudgetKind.COUNT, 30, 0, 10, fraction_count=1, linger_timeout_us=S), 0, "k0.1", LEASE
    )
    request_grant(ledger, "a", 30)
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0)).amount == 0
    assert request_grant(ledger, "b", 30, LEASE.grantor_expires_at_us(0) + S).amount > 0


def test_a_voter_that_starts_again_is_silent_for_a_lease():
    voter = LeaseVoter("0", 0, LEASE)
    assert voter.on_request(S, FractionLeaseRequest(1, "k1.1", 0)).holder is None
    later = LEASE.grantor_expires_at_us(0)
    assert voter.on_request(later, FractionLeaseRequest(1, "k1.1", 0)).holder == "k1.1"
    assert (
        voter.on_request(later + S, FractionLeaseRequest(1, "k1.2", 0)).holder == "k1.1"
    )  # a new run of the same keeper is a stranger
    assert voter.on_request(later + S, FractionLeaseRequest(0, "k1.2", 0)).holder == "k1.2"
    assert (
        voter.on_request(
            later + 3 * LEASE.grantor_expires_at_us(0), FractionLeaseRequest(1, "k1.2", 0)
        ).holder
        == "k1.2"
    )


# Holders.


def grant(number, amount, *, asked=0, length=3 * S, owner="k0.1", fraction=0, name="pool"):
    return Grant(name, fraction, owner, number, amount, asked, length)


def test_a_grant_is_counted_from_before_it_was_requested():
    holder = QuotaHolder(POOL, 0.03, 0)
    assert holder.on_grant(2 * S, grant(1, 5))
    assert (
        holder.quota(LEASE.holder_expires_at_us(0) - 1) == 5
        and holder.quota(LEASE.holder_expires_at_us(0)) == 0
    )
    assert not holder.on_grant(4 * S, grant(2, 5))  # it ran out on its way


def test_an_older_number_is_never_taken_after_a_newer():
    holder = QuotaHolder(POOL, 0.03, 0)
    assert holder.on_grant(0, grant(3, 5)) and not holder.on_grant(1, grant(2, 9))
    assert holder.quota(1) == 5
    holder.drop_grants(2)
    assert not holder.on_grant(3, grant(3, 5))  # the same answer again, after all was dropped


def test_units_in_use_beyond_the_quota_do_not_count_as_released():
    holder = QuotaHolder(POOL, 0.03, 0)
    holder.on_grant(0, grant(1, 5))
    assert [holder.acquire(1) for _ in range(6)] == [True] * 5 + [False]
    holder.on_grant(2, grant(2, 2))
    assert holder.excess(2) == 3 and holder.request(2, 0, "k0.1", "a").active_grant_number == 0
    for _ in range(3):
        holder.release()
    assert holder.request(2, 0, "k0.1", "a").active_grant_number == 2 and not holder.acquire(2)


def test_a_unit_that_nobody_holds_can_not_be_released():
    with pytest.raises(UnitNotHeldError, match="nobody holds"):
        QuotaHolder(POOL, 0.03, 0).release()


def test_statistics_sum_a_budgets_endpoints_and_state_rates_in_units():
    rate = Budget("cold", BudgetKind.RATE, 20_000, 10_000, 10, burst_window_us=S, scope_kind="host")
    count = QuotaHolder(POOL, 0.0, 0)
    count.on_grant(0, grant(1, 1))
    assert count.acquire(1) and not count.acquire(1)
    endpoints = [QuotaHolder(rate.for_scope(host), 0.0, 0) for host in ("n1", "n2")]
    assert endpoints[0].acquire(S, 1_000) and not endpoints[0].acquire(S, 1_000)
    assert statistics_by_budget([count, *endpoints], S) == {
        "pool": BudgetStatistics(quota=1.0, in_use=1, admitted=1, rejected=1),
        "cold": BudgetStatistics(quota=2.0, in_use=0, admitted=1, rejected=1),
    }


def test_a_rate_accrues_at_the_quota_of_the_moment_and_a_lost_grant_takes_its_part():
    rate = Budget("further", BudgetKind.RATE, 20_000, 10_000, 10, fraction_count=1, burst_window_us=S)
    holder = QuotaHolder(rate, 0.0, 0)
    assert holder.quota(0) == 1_000
    holder.on_grant(0, Grant("further", 0, "k0.1", 1, 9_000, 0, 3 * S))
    assert sum(holder.acquire(S) for _ in range(20)) == 10
    assert (
        sum(holder.acquire(10 * S) for _ in range(20)) == 1
    )  # the lease ran out: its own minimum, a window of it


@pytest.mark.parametrize(
    "wrong",
    [
        {"total": 5, "reserved": 6},
        {"max_brokers": 0},
        {"fraction_count": 0},
        {"kind": BudgetKind.RATE, "reserved": 10, "total": 20, "max_brokers": 10},
    ],
)
def test_a_contradictory_budget_is_rejected(wrong):
    with pytest.raises(InvalidBudgetError, match="pool"):
        Budget(
            **{
                "name": "pool",
                "kind": BudgetKind.COUNT,
                "total": 30,
                "reserved": 0,
                "max_brokers": 10,
                **wrong,
            }
        )


def test_a_leaving_broker_drops_its_grants_first_and_units_in_use_stay_charged():
    """A broker that joined and left each 100 ms used its grants for 50 ms after others were granted them
    (processes).
    """
    budgets = (replace(POOL, name="idle"), replace(POOL, name="busy"))
    quotas = BrokerQuotas(LocalMember("b0", 1, 0), budgets, ("k0",), 0)
    for name in ("idle", "busy"):
        quotas.holders[name].on_grant(0, grant(1, 5, name=name))
    assert quotas.acquire(1, "busy")
    needs = quotas.renewals(2, leaving=True)[0].renewal.demands
    assert [need.budget for need in needs] == ["idle"]
    assert [quotas.holders[name].quota(2) for name in ("idle", "busy")] == [0, 0]


def test_a_budget_is_resized_only_where_brokers_do_not_rely_on_it():
    coordinator = QuotaCoordinator(0, "k0.1", 1, (POOL,), 0)
    larger = replace(POOL, total=40, minimum_grant=2, linger_timeout_us=S)
    assert coordinator.resize(larger) == POOL and coordinator.budgets["pool"] == larger
    with pytest.raises(BudgetResizeError, match="pool: only the total"):
        coordinator.resize(replace(POOL, total=100, reserved=50))  # more reserved than the total was before
    with pytest.raises(BudgetResizeError, match="pool: only the total"):
        coordinator.resize(replace(larger, max_brokers=11))
    with pytest.raises(UnknownBudgetError, match="other: begins with a restart only"):
        coordinator.resize(replace(POOL, name="other"))
    assert coordinator.budgets["pool"] == larger


# Days.


@pytest.mark.parametrize(
    "seed", [*range(3), *(pytest.param(seed, marks=pytest.mark.fleet) for seed in range(3, 203))]
)
def test_no_more_than_the_total_is_held_or_used_under_random_faults(seed):
    day = QuotaScenario(seed)
    schedule_random_faults(day, 7_000_000, 18_000_000)
    day.run_until(20_000_000)
    assert not day.overshoots, day.overshoots[:3]
    assert day.message_count > 1_000


class Generous(QuotaCoordinator):
    """Gives twice what its book says."""

    def on_renewal(self, now, renewal):
        outcome = super().on_renewal(now, renewal)
        reply = outcome.reply
        twice = tuple(replace(grant, amount=2 * grant.amount) for grant in reply.grants)
        return replace(outcome, reply=replace(reply, grants=twice))


def test_the_auditor_finds_what_is_held_and_used_beyond_the_total():
    day = QuotaScenario(1, brokers=24, coordinator_type=Generous)
    day.run_until(14_000_000)
    told = " ".join(map(str, day.overshoots))
    assert "may be held" in told and "are held" in told and "was used" in told


def test_with_demand_above_the_total_nine_tenths_of_it_are_in_use():
    day = QuotaScenario(3, brokers=24)
    day.run_until(14_000_000)
    for budget in BUDGETS:
        unit = 1_000 if budget.kind == BudgetKind.RATE else 1
        assert day.auditor.units_used[budget.name][13] * unit >= 0.9 * budget.total, budget.name
    assert not day.overshoots


def test_the_quotas_of_a_killed_third_are_in_use_again_within_a_lease_and_a_second():
    day = QuotaScenario(4, brokers=24)
    day.run_until(12_000_000)
    for broker in day.brokers[::3]:
        day.kill(broker)
    day.run_until(17_000_000)  # a lease of 3 s, and a second
    pool, further = BUDGETS
    living = 16
    reach = pool.total - pool.reserved + living * pool.broker_minimum
    assert day.auditor.units_used["connections"][16] >= 0.9 * reach
    assert day.auditor.units_used["further"][16] * 1_000 >= 0.9 * (
        further.total - further.reserved + living * further.broker_minimum
    )
    assert not day.overshoots


@pytest.mark.parametrize(
    "fault",
    ["kill", pytest.param("stop", marks=pytest.mark.fleet), pytest.param("cut", marks=pytest.mark.fleet)],
)
def test_a_lost_coordinator_costs_a_third_for_a_fraction_lease_at_most(fault):
    """Its grants expire, its fraction lease does, and another grants of its fraction."""
    day = QuotaScenario(5, brokers=24)
    day.run_until(12_000_000)
    lost = day.coordinators[1]
    if fault == "kill":
        day.kill(lost)
    elif fault == "stop":
        day.pause(lost, 60_000_000)
    else:
        links = {Link(lost.name, other.name) for other in day.processes}
        day.cut_links |= links | {link.reverse() for link in links}
    worst = []
    for second in range(13, 24):
        day.run_until(second * 1_000_000)
        worst.append(day.auditor.units_used["connections"][second - 1] / day.budgets[0].total)
    assert min(worst) >= 0.6 and worst[-1] >= 0.9, worst
    assert not day.overshoots


def test_without_any_coordinator_each_broker_goes_on_by_its_own_minimum():
    day = QuotaScenario(6, brokers=24)
    day.run_until(10_000_000)
    for coordinator in day.coordinators:
        day.kill(coordinator)
    day.run_until(16_000_000)
    pool, further = BUDGETS
    assert day.auditor.units_used["connections"][15] == 24 * pool.broker_minimum
    assert 0.8 * further.reserved <= day.auditor.units_used["further"][15] * 1_000 <= further.reserved + 2_000
    assert not day.overshoots


def test_a_killed_process_has_no_program_until_it_is_started_again():
    day = QuotaScenario(7, brokers=1)
    broker = day.brokers[0]
    first = broker.running_program
    day.kill(broker, 50_000)
    with pytest.raises(ProcessNotRunningError, match="b0 is not running"):
        _ = broker.running_program
    day.run_until(50_000)
    assert broker.incarnation == 2 and broker.running_program is not first
