"""The membership table and a broker's own view of it: pure, by hand-made clocks."""

import pytest

from heathwell.codec import frames
from heathwell.fleet.control import messages
from heathwell.fleet.membership import (
    GONE_STATES,
    TRANSITIONS,
    LocalMember,
    MemberEvent,
    MembershipReply,
    MembershipReport,
    MembershipTable,
    MembershipTimeouts,
    MemberState,
)
from heathwell.fleet.quotas import QuotaRenewalReply

S = 1_000_000


def live(table, member, now, times=2, coordinator="k0"):
    """Reports that are answered."""
    for n in range(times):
        reply = table.on_report(now + n * S // 10, member.report(coordinator)).reply
        member.on_reply(coordinator, table.incarnation, member.incarnation, reply)
    return reply


def test_the_transitions_are_complete_and_nothing_leads_back_from_gone():
    assert set(TRANSITIONS) == set(MemberState) == {"joining", "alive", "suspect", "left", "dead"}
    for state, row in TRANSITIONS.items():
        assert set(row) == set(MemberEvent)
        assert state not in GONE_STATES or set(row.values()) == {state}


def test_a_broker_joins_and_is_alive_once_it_has_received_a_reply():
    table, one = MembershipTable("k0.1"), LocalMember("b1", 5, 0)
    first = table.on_report(0, one.report("k0"))
    assert first.reply.state == MemberState.JOINING
    assert [transition.after for transition in first.transitions] == [MemberState.JOINING]
    assert live(table, one, S // 10).state == MemberState.ALIVE


def test_silence_makes_suspect_then_dead_and_the_dead_do_not_come_back():
    table, one = MembershipTable("k0.1"), LocalMember("b1", 5, 0)
    live(table, one, 0)
    assert [c.after for c in table.tick(3 * S)] == [MemberState.SUSPECT]
    assert live(table, one, 3 * S).state == MemberState.ALIVE
    assert [c.after for c in table.tick(9 * S)] == [MemberState.DEAD]
    reply = table.on_report(9 * S, one.report("k0")).reply
    assert reply.state == MemberState.DEAD and reply.minimum_incarnation == 6
    ended = one.on_reply("k0", table.incarnation, 5, reply)
    assert "dead" in ended.reason and one.incarnation == 6
    assert live(table, one, 9 * S, 3).state == MemberState.ALIVE


def test_a_later_incarnation_replaces_and_an_earlier_one_is_rejected():
    table = MembershipTable("k0.1")
    live(table, LocalMember("b1", 5, 0), 0)
    live(table, LocalMember("b1", 7, S), S)
    outcome = table.on_report(S, MembershipReport("b1", 5))
    reply = outcome.reply
    assert reply.state == MemberState.DEAD and reply.minimum_incarnation == 8 and not outcome.transitions
    assert [entry.incarnation for entry in table.members()] == [7]


def test_a_broker_that_reports_but_receives_nothing_is_suspected():
    table, one = MembershipTable("k0.1"), LocalMember("b1", 5, 0)
    live(table, one, 0)
    for n in range(1, 30):  # the answers are lost
        reply = table.on_report(n * S // 10 + S // 5, one.report("k0")).reply
    assert reply.state == MemberState.SUSPECT
    assert live(table, one, 4 * S).state == MemberState.ALIVE


def test_replies_of_an_earlier_incarnation_of_the_coordinator_acknowledge_nothing():
    one = LocalMember("b1", 5, 0)
    live(MembershipTable("k0.1"), one, 0, 9)
    again = MembershipTable("k0.2")
    assert again.on_report(S, one.report("k0")).reply.state == MemberState.JOINING


def test_a_broker_that_leaves_does_not_come_back():
    table, one = MembershipTable("k0.1"), LocalMember("b1", 5, 0)
    live(table, one, 0)
    assert table.on_report(S, one.report("k0", leaving=True)).reply.state == MemberState.LEFT
    assert table.on_report(S, one.report("k0")).reply.state == MemberState.LEFT and not list(table.members())


@pytest.mark.parametrize(("gap", "died"), [(4.9, False), (5, True), (600, True)])
def test_a_broker_that_was_stopped_ends_its_incarnation(gap, died):
    one = LocalMember("b1", 5, 0)
    assert one.check_clock(S) is None
    ended = one.check_clock(S + int(gap * S))
    assert (ended is not None) == died and one.incarnation == 5 + died
    assert not died or "stopped" in ended.reason


def test_a_reply_to_an_earlier_incarnation_is_ignored():
    table, one = MembershipTable("k0.1"), LocalMember("b1", 5, 0)
    old = table.on_report(0, one.report("k0")).reply
    one.check_clock(9 * S)
    assert one.on_reply("k0", table.incarnation, 5, old) is None and not one.reply_positions


def test_the_table_is_bounded_and_forgets_the_gone_first():
    table = MembershipTable("k0.1", MembershipTimeouts(max_entries=3))
    for n in range(3):
        live(table, LocalMember(f"b{n}", 1, 0), 0)
    reply = table.on_report(0, MembershipReport("b9", 1)).reply
    assert reply.state == MemberState.DEAD and "full" in reply.reason and len(table.entries) == 3
    table.on_report(0, MembershipReport("b1", 1, leaving=True))
    assert (
        table.on_report(0, MembershipReport("b9", 1)).reply.state == MemberState.JOINING
        and "b1" not in table.entries
    )
    table.tick(100 * S)
    table.tick(200 * S)
    assert not table.entries


def test_a_reply_comes_off_the_wire_as_it_was_sent():
    for state in MemberState:
        reply = MembershipReply(state, 3, 8, "why")
        sent = frames.encode(messages.renewal_reply_to_frame(QuotaRenewalReply(reply, 7, 11, "k0.1")))
        assert state.value.encode() in sent
        answer = messages.renewal_reply_from_frame(next(iter(frames.Frames().feed(sent))))
        assert answer.membership == reply


def test_a_state_that_a_later_version_adds_ends_no_incarnation():
    frame = frames.RenewalReply("k0.1", 1, "draining", 5, 0)
    one = LocalMember("b1", 5, 0)
    assert one.on_reply("k0", "k0.1", 5, messages.renewal_reply_from_frame(frame).membership) is None
    assert one.incarnation == 5 and one.reply_positions
