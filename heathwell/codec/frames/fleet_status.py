"""Messages that report the members, quotas and grants of a fleet, for operators."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message


class FleetRequest(Message, tag="askfleet"):
    """Requests a coordinator's view of members and budgets."""


class MemberStatus(msgspec.Struct, omit_defaults=True, rename={"last_contact_age_us": "heard_us"}):
    """A row of a coordinator's membership table; times are ages."""

    name: str
    incarnation: int
    state: str
    since_us: int
    state_us: int
    last_contact_age_us: int
    zone: str = ""
    program: str = ""
    digest: str = ""


class MemberShare(msgspec.Struct, omit_defaults=True):
    """What one member may use of one fraction, and the remaining time."""

    budget: str
    fraction: int
    member: str
    amount: int
    left_us: int
    demand: int = 0


class QuotaStatus(msgspec.Struct, omit_defaults=True):
    """One budget at a coordinator; rates are in thousandths per second."""

    name: str
    kind: str
    whole: int
    aside: int
    most: int
    each: str = ""
    apart: int = 0


class FleetView(Message, tag="fleetview", rename={"coordinator": "keeper"}):
    """A coordinator's reply to :class:`FleetRequest`."""

    coordinator: str
    run: str
    owned: dict[int, int] = {}
    members: list[MemberStatus] = []
    wholes: list[QuotaStatus] = []
    shares: list[MemberShare] = []
