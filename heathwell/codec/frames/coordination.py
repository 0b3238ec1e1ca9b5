"""Messages between brokers and quota coordinators, and among these: renewals, quotas, leases."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message
from heathwell.codec.frames.zones import ZoneDecision, ZoneReport


class QuotaDemand(msgspec.Struct, omit_defaults=True):
    """A broker's demand for one budget.

    ``goes_by`` lists the grants that the broker currently uses, one for each fraction, as (fraction, owner of
    the fraction, number of the grant).
    """

    budget: str
    demand: int
    goes_by: list[tuple[int, str, int]] = []


class RenewalRequest(Message, tag="renew", rename={"last_reply_number": "heard"}):
    """A broker's request to a quota coordinator: its identity and its demands.

    ``asked_us`` is the time of the request by the broker's own clock, which the reply repeats. ``run`` is the
    coordinator's incarnation that the broker last heard from, ``last_reply_number`` the number of that
    coordinator's last reply. ``leaves`` announces that the broker leaves the fleet. ``needs`` are its demands
    and ``seen`` its reports on zones; ``cut_off`` is set if it reaches almost nothing in other zones, so that
    it is more likely isolated itself than all of them unhealthy.
    """

    name: str
    incarnation: int
    asked_us: int
    zone: str = ""
    program: str = ""
    digest: str = ""
    run: str = ""
    last_reply_number: int = 0
    leaves: bool = False
    needs: list[QuotaDemand] = []
    seen: list[ZoneReport] = []
    cut_off: bool = False
    decision: ZoneDecision | None = None


class Granted(msgspec.Struct, omit_defaults=True):
    """A grant of one fraction of a budget; ``length_us`` is its duration from the time of the request."""

    budget: str
    fraction: int
    number: int
    amount: int = 0
    length_us: int = 0


class RenewalReply(Message, tag="renewed"):
    """A coordinator's reply: the broker's membership state, and grants of the fractions that it owns.

    ``run`` is the coordinator's incarnation, ``number`` the reply's number within it and ``incarnation`` the
    broker's. ``least`` is the lowest incarnation under which the broker may rejoin, if its state is final;
    ``why`` is the reason for a rejection.
    """

    run: str
    number: int
    state: str
    incarnation: int
    asked_us: int
    least: int = 0
    why: str = ""
    grants: list[Granted] = []
    decision: ZoneDecision | None = None


class LeaseRequest(Message, tag="claim"):
    """A request of the coordinator ``claimant`` for the lease of a fraction; ``asked_us`` is by its clock."""

    fraction: int
    claimant: str
    asked_us: int
    decision: ZoneDecision | None = None


class LeaseVote(Message, tag="vote"):
    """A coordinator's vote on a lease.

    ``owner`` is the coordinator that it votes for, or empty while it may not vote for any.
    """

    fraction: int
    voter: str
    asked_us: int
    owner: str = ""
    decision: ZoneDecision | None = None
