"""The roll of brokers and a broker's own side of it: pure, by hand-made clocks."""

import pytest

from heathwell.fleet.membership import ALIVE, DEAD, JOINING, LEFT, SUSPECT, Report, Roll, Self, Timing
from heathwell.fleet.membership.roll import EVENTS, GONE, TABLE

S = 1_000_000


def live(roll, member, now, times=2, keeper="k0"):
    """Reports that are answered."""
    for n in range(times):
        word, _ = roll.report(now + n * S // 10, member.report(keeper))
        member.told(keeper, roll.run, member.incarnation, word)
    return word


def test_the_table_is_whole_and_nothing_leads_back_from_gone():
    assert set(TABLE) == {JOINING, ALIVE, SUSPECT, LEFT, DEAD}
    for state, row in TABLE.items():
        assert set(row) == set(EVENTS)
        assert state not in GONE or set(row.values()) == {state}


def test_a_broker_joins_and_is_alive_once_it_has_heard_an_answer():
    roll, one = Roll("k0.1"), Self("b1", 5, 0)
    first, changes = roll.report(0, one.report("k0"))
    assert first.state == JOINING and [change.after for change in changes] == [JOINING]
    assert live(roll, one, S // 10).state == ALIVE


def test_silence_makes_suspect_then_dead_and_the_dead_do_not_come_back():
    roll, one = Roll("k0.1"), Self("b1", 5, 0)
    live(roll, one, 0)
    assert [c.after for c in roll.look(3 * S)] == [SUSPECT]
    assert live(roll, one, 3 * S).state == ALIVE
    assert [c.after for c in roll.look(9 * S)] == [DEAD]
    word, _ = roll.report(9 * S, one.report("k0"))
    assert word.state == DEAD and word.least == 6
    lived = one.told("k0", roll.run, 5, word)
    assert "dead" in lived.died and one.incarnation == 6
    assert live(roll, one, 9 * S, 3).state == ALIVE


def test_a_later_incarnation_replaces_and_an_earlier_one_is_turned_down():
    roll = Roll("k0.1")
    live(roll, Self("b1", 5, 0), 0)
    live(roll, Self("b1", 7, S), S)
    word, changes = roll.report(S, Report("b1", 5))
    assert word.state == DEAD and word.least == 8 and not changes
    assert [entry.incarnation for entry in roll.members()] == [7]


def test_one_that_reports_but_hears_nothing_is_no_member_in_full():
    roll, one = Roll("k0.1"), Self("b1", 5, 0)
    live(roll, one, 0)
    for n in range(1, 30):  # the answers are lost
        word, _ = roll.report(n * S // 10 + S // 5, one.report("k0"))
    assert word.state == SUSPECT
    assert live(roll, one, 4 * S).state == ALIVE


def test_what_an_earlier_run_of_the_keeper_was_heard_to_say_counts_for_nothing():
    one = Self("b1", 5, 0)
    live(Roll("k0.1"), one, 0, 9)
    again = Roll("k0.2")
    assert again.report(S, one.report("k0"))[0].state == JOINING


def test_who_leaves_has_left_for_good():
    roll, one = Roll("k0.1"), Self("b1", 5, 0)
    live(roll, one, 0)
    assert roll.report(S, one.report("k0", leaves=True))[0].state == LEFT
    assert roll.report(S, one.report("k0"))[0].state == LEFT and not list(roll.members())


@pytest.mark.parametrize(("gap", "died"), [(4.9, False), (5, True), (600, True)])
def test_a_broker_that_stood_still_takes_itself_for_dead(gap, died):
    one = Self("b1", 5, 0)
    assert not one.turn(S).died
    lived = one.turn(S + int(gap * S))
    assert bool(lived.died) == died and one.incarnation == 5 + died
    assert not died or "stopped" in lived.died


def test_an_answer_to_an_earlier_incarnation_says_nothing_of_this_one():
    roll, one = Roll("k0.1"), Self("b1", 5, 0)
    old, _ = roll.report(0, one.report("k0"))
    one.turn(9 * S)
    assert not one.told("k0", roll.run, 5, old).died and not one.heard


def test_the_roll_is_bounded_and_forgets_the_gone_first():
    roll = Roll("k0.1", Timing(most=3))
    for n in range(3):
        live(roll, Self(f"b{n}", 1, 0), 0)
    word, _ = roll.report(0, Report("b9", 1))
    assert word.state == DEAD and "full" in word.why and len(roll.entries) == 3
    roll.report(0, Report("b1", 1, leaves=True))
    assert roll.report(0, Report("b9", 1))[0].state == JOINING and "b1" not in roll.entries
    roll.look(100 * S)
    roll.look(200 * S)
    assert not roll.entries
