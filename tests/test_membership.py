"""The membership table of a coordinator and a member's own state, with times as arguments and without I/O."""

import pytest

from heathwell.codec import frames
from heathwell.fleet.control import messages
from heathwell.fleet.membership import (
    FINAL_STATES,
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

SECOND_US = 1_000_000


def exchange_reports(table, member, now, times=2, coordinator="k0"):
    """Send a report every 100 ms, deliver the replies to the member and return the last one."""
    for number in range(times):
        reply = table.on_report(now + number * SECOND_US // 10, member.report(coordinator)).reply
        member.on_reply(coordinator, table.incarnation, member.incarnation, reply)
    return reply


def test_the_transitions_are_complete_and_no_event_leads_out_of_a_final_state():
    assert set(TRANSITIONS) == set(MemberState) == {"joining", "alive", "suspect", "left", "dead"}
    for state, row in TRANSITIONS.items():
        assert set(row) == set(MemberEvent)
        assert state not in FINAL_STATES or set(row.values()) == {state}


def test_a_broker_joins_and_is_alive_once_it_has_received_a_reply():
    table = MembershipTable("k0.1")
    member = LocalMember("b1", 5, 0)
    first = table.on_report(0, member.report("k0"))
    assert first.reply.state == MemberState.JOINING
    assert [transition.after for transition in first.transitions] == [MemberState.JOINING]
    assert exchange_reports(table, member, SECOND_US // 10).state == MemberState.ALIVE


def test_a_silent_member_is_suspected_then_dead_and_joins_only_as_a_later_incarnation():
    table = MembershipTable("k0.1")
    member = LocalMember("b1", 5, 0)
    exchange_reports(table, member, 0)
    assert [transition.after for transition in table.tick(3 * SECOND_US)] == [MemberState.SUSPECT]
    assert exchange_reports(table, member, 3 * SECOND_US).state == MemberState.ALIVE
    assert [transition.after for transition in table.tick(9 * SECOND_US)] == [MemberState.DEAD]
    reply = table.on_report(9 * SECOND_US, member.report("k0")).reply
    assert reply.state == MemberState.DEAD and reply.minimum_incarnation == 6
    ended = member.on_reply("k0", table.incarnation, 5, reply)
    assert "dead" in ended.reason and member.incarnation == 6
    assert exchange_reports(table, member, 9 * SECOND_US, 3).state == MemberState.ALIVE


def test_a_later_incarnation_replaces_an_earlier_one_whose_reports_are_rejected():
    table = MembershipTable("k0.1")
    exchange_reports(table, LocalMember("b1", 5, 0), 0)
    exchange_reports(table, LocalMember("b1", 7, SECOND_US), SECOND_US)
    outcome = table.on_report(SECOND_US, MembershipReport("b1", 5))
    reply = outcome.reply
    assert reply.state == MemberState.DEAD and reply.minimum_incarnation == 8 and not outcome.transitions
    assert [entry.incarnation for entry in table.members()] == [7]


def test_a_broker_that_reports_but_receives_nothing_is_suspected():
    table = MembershipTable("k0.1")
    member = LocalMember("b1", 5, 0)
    exchange_reports(table, member, 0)
    for number in range(1, 30):  # the replies are lost
        reply = table.on_report(number * SECOND_US // 10 + SECOND_US // 5, member.report("k0")).reply
    assert reply.state == MemberState.SUSPECT
    assert exchange_reports(table, member, 4 * SECOND_US).state == MemberState.ALIVE


def test_replies_of_an_earlier_incarnation_of_the_coordinator_acknowledge_nothing():
    member = LocalMember("b1", 5, 0)
    exchange_reports(MembershipTable("k0.1"), member, 0, 9)
    next_incarnation = MembershipTable("k0.2")
    assert next_incarnation.on_report(SECOND_US, member.report("k0")).reply.state == MemberState.JOINING


def test_a_broker_that_has_left_does_not_join_again_in_the_same_incarnation():
    table = MembershipTable("k0.1")
    member = LocalMember("b1", 5, 0)
    exchange_reports(table, member, 0)
    assert table.on_report(SECOND_US, member.report("k0", leaving=True)).reply.state == MemberState.LEFT
    assert table.on_report(SECOND_US, member.report("k0")).reply.state == MemberState.LEFT and not list(
        table.members()
    )


@pytest.mark.parametrize(("gap_seconds", "ends"), [(4.9, False), (5, True), (600, True)])
def test_a_broker_that_was_suspended_for_long_ends_its_incarnation(gap_seconds, ends):
    member = LocalMember("b1", 5, 0)
    assert member.check_clock(SECOND_US) is None
    ended = member.check_clock(SECOND_US + int(gap_seconds * SECOND_US))
    assert (ended is not None) == ends and member.incarnation == 5 + ends
    assert not ends or "stopped" in ended.reason


def test_a_reply_to_an_earlier_incarnation_is_ignored():
    table = MembershipTable("k0.1")
    member = LocalMember("b1", 5, 0)
    old_reply = table.on_report(0, member.report("k0")).reply
    member.check_clock(9 * SECOND_US)
    assert member.on_reply("k0", table.incarnation, 5, old_reply) is None and not member.reply_positions


def test_the_table_is_bounded_and_evicts_members_in_final_states_first():
    table = MembershipTable("k0.1", MembershipTimeouts(max_entries=3))
    for number in range(3):
        exchange_reports(table, LocalMember(f"b{number}", 1, 0), 0)
    reply = table.on_report(0, MembershipReport("b9", 1)).reply
    assert reply.state == MemberState.DEAD and "full" in reply.reason and len(table.entries) == 3
    table.on_report(0, MembershipReport("b1", 1, leaving=True))
    assert (
        table.on_report(0, MembershipReport("b9", 1)).reply.state == MemberState.JOINING
        and "b1" not in table.entries
    )
    table.tick(100 * SECOND_US)
    table.tick(200 * SECOND_US)
    assert not table.entries


def test_a_reply_is_decoded_as_it_was_encoded():
    for state in MemberState:
        reply = MembershipReply(state, 3, 8, "why")
        sent = frames.encode(messages.renewal_reply_to_frame(QuotaRenewalReply(reply, 7, 11, "k0.1")))
        assert state.value.encode() in sent
        received = messages.renewal_reply_from_frame(next(iter(frames.FrameDecoder().feed(sent))))
        assert received.membership == reply


def test_an_unknown_state_of_a_later_version_ends_no_incarnation():
    frame = frames.RenewalReply("k0.1", 1, "draining", 5, 0)
    member = LocalMember("b1", 5, 0)
    assert member.on_reply("k0", "k0.1", 5, messages.renewal_reply_from_frame(frame).membership) is None
    assert member.incarnation == 5 and member.reply_positions
