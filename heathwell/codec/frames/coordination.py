"""Messages between brokers and quota coordinators, and among these: renewals, quotas, leases."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message
from heathwell.codec.frames.zones import ZoneDecision, ZoneReport


class QuotaDemand(msgspec.Struct, omit_defaults=True):
    """A broker's demand for one budget.

    ``goes_by`` holds the grant that it uses of each fraction: (fraction, owner, number).
    """

    budget: str
    demand: int
    goes_by: list[tuple[int, str, int]] = []


class RenewalRequest(Message, tag="renew", rename={"last_reply_number": "heard"}):
    """A broker's request to a quota coordinator: its identity and its demands.

    ``asked_us`` is a time of the broker's own clock, which the reply repeats.
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
    """A grant of one fraction of a budget."""

    budget: str
    fraction: int
    number: int
    amount: int = 0
    length_us: int = 0


class RenewalReply(Message, tag="renewed"):
    """A coordinator's reply: the broker's membership state, and grants of the fractions that it owns."""

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
    """A coordinator's process requests the lease of a fraction."""

    fraction: int
    claimant: str
    asked_us: int
    decision: ZoneDecision | None = None


class LeaseVote(Message, tag="vote"):
    """A coordinator's vote on a lease: the owner that it supports; empty if it may not support any yet."""

    fraction: int
    voter: str
    asked_us: int
    owner: str = ""
    decision: ZoneDecision | None = None
