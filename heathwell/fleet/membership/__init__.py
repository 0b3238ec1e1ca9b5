"""Membership of a fleet of brokers, as each quota coordinator sees it.

Decides which broker processes are members, from their reports and from missing reports. Owns the state
machine of a member, the coordinator's table and the broker's own view of itself. Does no I/O: times are
arguments, nothing here reads a clock or a socket. Imports only the standard library.

An incarnation is one membership of a broker, from joining to leaving or being declared dead. A process that
restarts, or that finds it was declared dead, joins again under a higher incarnation and does not inherit the
grants of an earlier one.
"""

from heathwell.fleet.membership.local_member import IncarnationEnded, LocalMember
from heathwell.fleet.membership.membership_table import MemberEntry, MembershipTable, ReportOutcome
from heathwell.fleet.membership.messages import MembershipReply, MembershipReport
from heathwell.fleet.membership.states import (
    FINAL_STATES,
    TRANSITIONS,
    MemberEvent,
    MembershipTimeouts,
    MemberState,
    MemberTransition,
)

__all__ = [
    "FINAL_STATES",
    "TRANSITIONS",
    "IncarnationEnded",
    "LocalMember",
    "MemberEntry",
    "MemberEvent",
    "MemberState",
    "MemberTransition",
    "MembershipReply",
    "MembershipReport",
    "MembershipTable",
    "MembershipTimeouts",
    "ReportOutcome",
]
