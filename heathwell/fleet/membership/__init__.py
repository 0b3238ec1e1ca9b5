"""Membership of a fleet of brokers, as each quota coordinator sees it.

Job: decide which broker processes are members, from their reports and from silence. Owns the state machine of
a member, the coordinator's table and the broker's own view of itself. Pure: instants are handed in, nothing
here reads a clock or a socket. May import the standard library only.

An incarnation is one life of a broker. A process that restarts, or that finds it was declared dead, comes
back under a higher incarnation, and what was granted to an earlier one is not its own.
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
