"""Budgets among brokers: division, the lease's arithmetic, books, holders, and days of random faults judged
from outside.
"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.fleet.membership import LocalMember
from heathwell.fleet.quotas import (
    COUNT,
    RATE,
    Ask,
    Budget,
    Claim,
    Giver,
    Grant,
    Holder,
    Lease,
    Voter,
    Wish,
    divide,
)
from heathwell.fleet.quotas.keeper import Keeper
from heathwell.fleet.quotas.shares import Shares
from heathwell.lab.budgetday import BUDGETS, BudgetDay, random_faults

S = 1_000_000
LEASE = Lease(3 * S, 0.03)
POOL = Budget("pool", COUNT, 30, 0, 10, fractions=1)


# Division.


@given(
    st.integers(0, 1000),
    st.dictionaries(
        st.text("abcdef", min_size=1, max_size=2),
        st.builds(Wish, st.integers(0, 400), st.integers(1, 4)),
        max_size=8,
    ),
    st.integers(0, 20),
)
def test_shares_never_sum_to_more_and_use_all_that_is_wanted(amount, wishes, floor):
    shares = divide(amount, wishes, floor)
    assert set(shares) == set(wishes) and all(share >= 0 for share in shares.values())
    assert sum(shares.values()) <= amount
    if wishes:
        assert sum(shares.values()) >= min(amount, sum(wish.demand for wish in wishes.values()))
        low = min(floor, amount // len(wishes))
        assert all(share >= min(low, wishes[name].demand) for name, share in shares.items())


@given(st.integers(0, 1000), st.lists(st.integers(0, 400), min_size=2, max_size=8))
def test_nobody_has_more_while_another_wants_more(amount, demands):
    wishes = {str(n): Wish(demand) for n, demand in enumerate(demands)}
    shares = divide(amount, wishes)
    for name, share in shares.items():
        if share < wishes[name].demand:
            assert all(other <= share + 1 for other in shares.values())


# The lease.


@given(st.integers(1, 10**9), st.floats(0, 0.05), st.floats(-1, 1), st.floats(-1, 1), st.integers(0, 10**6))
def test_a_lease_ends_at_its_holder_first_whatever_the_clocks_do(length, drift, fast, slow, way):
    lease = Lease(length, drift)
    holder_rate, giver_rate = 1 + drift * slow, 1 + drift * fast
    holder_end = (lease.holds_until(0) - 0) / holder_rate  # true time after it asked
    giver_end = way + lease.given_until(0) / giver_rate
    assert holder_end <= giver_end + 1e-3


# Books.


def far(now):
    return now + 100 * S


def give(giver, member, demand, now=0, **more):
    return giver.asked(now, Ask(member, demand, now, **more), far(now))


def test_a_share_moves_only_once_its_holder_goes_by_the_smaller_one():
    giver = Giver(POOL, 0, "k0.1", LEASE)
    assert give(giver, "a", 30).amount == 30
    assert give(giver, "b", 30).amount == 0  # a may hold all of it
    second = give(giver, "a", 30)
    assert second.amount == 15 and give(giver, "b", 30).amount == 0
    give(giver, "a", 30, goes_by=second.number)
    assert give(giver, "b", 30).amount == 15


def test_of_a_budget_that_all_may_ask_for_in_a_moment_the_first_to_ask_gets_no_more_than_its_part():
    """Else it holds all until it has asked twice more (a host that starts: 89 brokers, 2 s without first
    work).
    """
    giver = Giver(POOL, 0, "k0.1", LEASE)
    giver.among = 10
    assert give(giver, "a", 1).amount == 3 and give(giver, "b", 1).amount == 3
    assert 9 <= give(giver, "c", 9).amount <= 18  # twice its demand, where that is there


def test_a_lost_answer_is_charged_until_it_has_run_out():
    giver = Giver(POOL, 0, "k0.1", LEASE)
    give(giver, "a", 30)  # its answer is lost, and a with it
    assert give(giver, "b", 30, S).amount == 0
    assert give(giver, "b", 30, LEASE.given_until(0) - 1).amount == 0
    assert give(giver, "b", 30, LEASE.given_until(0)).amount >= 15


def test_giving_back_twice_is_giving_back_once():
    giver = Giver(POOL, 0, "k0.1", LEASE)
    first = give(giver, "a", 10).amount
    give(giver, "b", 20)
    give(giver, "b", 20, goes_by=give(giver, "b", 20).number)
    for _ in range(3):
        give(giver, "a", 0, lets_go=True)
    rest = POOL.whole - giver.charged(0)
    assert 0 < rest <= first and give(giver, "c", 30).amount <= rest and giver.charged(0) <= POOL.whole


def test_a_budget_made_smaller_while_all_is_given_out_gives_nothing_until_it_fits():
    giver = Giver(POOL, 0, "k0.1", LEASE)
    held = {name: give(giver, name, 10) for name in "abc"}
    giver.resize(Budget("pool", COUNT, 12, 0, 10, fractions=1))
    assert giver.charged(0) == 30
    smaller = {name: give(giver, name, 10, S, goes_by=held[name].number) for name in "abc"}
    assert sum(grant.amount for grant in smaller.values()) <= 12
    assert giver.charged(S) == 30  # they may still go by the larger ones
    assert giver.charged(LEASE.given_until(0)) <= 12


def test_no_grant_outlasts_the_ownership():
    giver = Giver(POOL, 0, "k0.1", LEASE)
    for ends in (2 * S, S, 1_000, 1):
        grant = giver.asked(0, Ask("a", 5, 0), ends)
        assert Lease(grant.length_us, 0.03).given_until(0) <= ends or not grant.length_us
    assert giver.asked(0, Ask("b", 5, 0), 0).amount == 0


def test_a_count_lingers_at_hosts_within_the_charge():
    giver = Giver(Budget("pool", COUNT, 30, 0, 10, fractions=1, linger_us=S), 0, "k0.1", LEASE)
    give(giver, "a", 30)
    assert give(giver, "b", 30, LEASE.given_until(0)).amount == 0
    assert give(giver, "b", 30, LEASE.given_until(0) + S).amount > 0


def test_a_voter_that_starts_again_promises_nothing_for_a_lease():
    voter = Voter("0", 0, LEASE)
    assert voter.asked(S, Claim(1, "k1.1", 0)).owner == ""
    later = LEASE.given_until(0)
    assert voter.asked(later, Claim(1, "k1.1", 0)).owner == "k1.1"
    assert (
        voter.asked(later + S, Claim(1, "k1.2", 0)).owner == "k1.1"
    )  # a new run of the same keeper is a stranger
    assert voter.asked(later + S, Claim(0, "k1.2", 0)).owner == "k1.2"
    assert voter.asked(later + 3 * LEASE.given_until(0), Claim(1, "k1.2", 0)).owner == "k1.2"


# Holders.


def grant(number, amount, *, asked=0, length=3 * S, owner="k0.1", fraction=0, name="pool"):
    return Grant(name, fraction, owner, number, amount, asked, length)


def test_a_grant_is_counted_from_before_it_was_asked_for():
    holder = Holder(POOL, 0.03, 0)
    assert holder.granted(2 * S, grant(1, 5))
    assert holder.share(LEASE.holds_until(0) - 1) == 5 and holder.share(LEASE.holds_until(0)) == 0
    assert not holder.granted(4 * S, grant(2, 5))  # it ran out on its way


def test_an_older_number_is_never_taken_after_a_newer():
    holder = Holder(POOL, 0.03, 0)
    assert holder.granted(0, grant(3, 5)) and not holder.granted(1, grant(2, 9))
    assert holder.share(1) == 5
    holder.drop(2)
    assert not holder.granted(3, grant(3, 5))  # the same answer again, after all was dropped


def test_what_is_held_beyond_the_share_does_not_count_as_given_back():
    holder = Holder(POOL, 0.03, 0)
    holder.granted(0, grant(1, 5))
    assert [holder.take(1) for _ in range(6)] == [True] * 5 + [False]
    holder.granted(2, grant(2, 2))
    assert holder.excess(2) == 3 and holder.ask(2, 0, "k0.1", "a").goes_by == 0
    for _ in range(3):
        holder.give_back()
    assert holder.ask(2, 0, "k0.1", "a").goes_by == 2 and not holder.take(2)


def test_a_unit_that_nobody_holds_can_not_be_given_back():
    with pytest.raises(ValueError, match="nobody holds"):
        Holder(POOL, 0.03, 0).give_back()


def test_a_rate_is_saved_up_by_the_share_of_the_moment_and_a_lost_share_takes_its_savings():
    rate = Budget("further", RATE, 20_000, 10_000, 10, fractions=1, window_us=S)
    holder = Holder(rate, 0.0, 0)
    assert holder.share(0) == 1_000
    holder.granted(0, Grant("further", 0, "k0.1", 1, 9_000, 0, 3 * S))
    assert sum(holder.take(S) for _ in range(20)) == 10
    assert (
        sum(holder.take(10 * S) for _ in range(20)) == 1
    )  # the lease ran out: its own minimum, a window of it


@pytest.mark.parametrize(
    "wrong",
    [
        {"whole": 5, "aside": 6},
        {"most": 0},
        {"fractions": 0},
        {"kind": RATE, "aside": 10, "whole": 20, "most": 10},
    ],
)
def test_a_budget_that_can_not_be_is_refused(wrong):
    with pytest.raises(ValueError, match="pool"):
        Budget(**{"name": "pool", "kind": COUNT, "whole": 30, "aside": 0, "most": 10, **wrong})


def test_who_leaves_holds_nothing_by_the_time_it_says_so_and_units_in_use_stay_charged():
    """A broker that joined and left each 100 ms went by its grants for 50 ms after they were lent on
    (processes).
    """
    budgets = (replace(POOL, name="idle"), replace(POOL, name="busy"))
    shares = Shares(LocalMember("b0", 1, 0), budgets, ("k0",), 0)
    for name in ("idle", "busy"):
        shares.holders[name].granted(0, grant(1, 5, name=name))
    assert shares.take(1, "busy")
    needs = shares.renewals(2, leaves=True)[0][1].needs
    assert [need.budget for need in needs] == ["idle"]
    assert [shares.holders[name].share(2) for name in ("idle", "busy")] == [0, 0]


# Days.


@pytest.mark.parametrize(
    "seed", [*range(3), *(pytest.param(seed, marks=pytest.mark.fleet) for seed in range(3, 203))]
)
def test_no_more_than_the_whole_is_held_or_used_under_random_faults(seed):
    day = BudgetDay(seed)
    random_faults(day, 7_000_000, 18_000_000)
    day.until(20_000_000)
    assert not day.breaches, day.breaches[:3]
    assert day.messages > 1_000


class Generous(Keeper):
    """Gives twice what its book says."""

    def renew(self, now, renew):
        answer, changes = super().renew(now, renew)
        twice = tuple(replace(grant, amount=2 * grant.amount) for grant in answer.grants)
        return replace(answer, grants=twice), changes


def test_the_auditor_finds_what_is_held_and_used_beyond_the_whole():
    day = BudgetDay(1, brokers=24, keeper=Generous)
    day.until(14_000_000)
    told = " ".join(day.breaches)
    assert "may be held" in told and "are held" in told and "was used" in told


def test_with_demand_above_the_whole_nine_tenths_of_it_are_in_use():
    day = BudgetDay(3, brokers=24)
    day.until(14_000_000)
    for budget in BUDGETS:
        unit = 1_000 if budget.kind == RATE else 1
        assert day.used[budget.name, 13] * unit >= 0.9 * budget.whole, budget.name
    assert not day.breaches


def test_the_share_of_a_third_that_was_killed_is_in_use_again_within_a_lease_and_a_second():
    day = BudgetDay(4, brokers=24)
    day.until(12_000_000)
    for broker in day.brokers[::3]:
        day.kill(broker, None)
    day.until(17_000_000)  # a lease of 3 s, and a second
    pool, further = BUDGETS
    living = 16
    reach = pool.whole - pool.aside + living * pool.own
    assert day.used["connections", 16] >= 0.9 * reach
    assert day.used["further", 16] * 1_000 >= 0.9 * (further.whole - further.aside + living * further.own)
    assert not day.breaches


@pytest.mark.parametrize(
    "fault",
    ["kill", pytest.param("stop", marks=pytest.mark.fleet), pytest.param("cut", marks=pytest.mark.fleet)],
)
def test_a_keeper_lost_costs_a_third_for_a_promise_at_most(fault):
    """Its grants run out, its promise does, and another lends its fraction."""
    day = BudgetDay(5, brokers=24)
    day.until(12_000_000)
    lost = day.keepers[1]
    if fault == "kill":
        day.kill(lost, None)
    elif fault == "stop":
        day.stop(lost, 60_000_000)
    else:
        day.cuts |= {way for other in day.machines for way in ((lost.name, other), (other, lost.name))}
    worst = []
    for second in range(13, 24):
        day.until(second * 1_000_000)
        worst.append(day.used["connections", second - 1] / day.budgets[0].whole)
    assert min(worst) >= 0.6 and worst[-1] >= 0.9, worst
    assert not day.breaches


def test_without_any_keeper_each_broker_goes_on_by_its_own_minimum():
    day = BudgetDay(6, brokers=24)
    day.until(10_000_000)
    for keeper in day.keepers:
        day.kill(keeper, None)
    day.until(16_000_000)
    pool, further = BUDGETS
    assert day.used["connections", 15] == 24 * pool.own
    assert 0.8 * further.aside <= day.used["further", 15] * 1_000 <= further.aside + 2_000
    assert not day.breaches
