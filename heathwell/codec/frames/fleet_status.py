"""Messages that report the members, quotas and grants of a fleet, for operators."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message


class FleetRequest(Message, tag="askfleet"):
    """Requests a coordinator's view of members and budgets."""


class MemberStatus(msgspec.Struct, omit_defaults=True, rename={"last_contact_age_us": "heard_us"}):
    """A row of a coordinator's membership table.

    ``since_us`` is the time since the member joined, ``state_us`` that since its state changed, and
    ``last_contact_age_us`` that since its last report.
    """

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
    """What one member may use of one fraction of a budget, and for how long (``left_us``)."""

    budget: str
    fraction: int
    member: str
    amount: int
    left_us: int
    demand: int = 0


class QuotaStatus(msgspec.Struct, omit_defaults=True):
    """One budget as a coordinator knows it; rates are in thousandths per second.

    ``whole`` is its total, of which ``aside`` is reserved in equal parts for up to ``most`` brokers.
    ``apart`` may be used in addition to it. ``each`` names a scope such as "host", each of which has one.
    """

    name: str
    kind: str
    whole: int
    aside: int
    most: int
    each: str = ""
    apart: int = 0


class FleetView(Message, tag="fleetview", rename={"coordinator": "keeper"}):
    """A coordinator's reply to :class:`FleetRequest`.

    ``run`` is its incarnation and ``owned`` the remaining lease time (us) of each fraction that it owns;
    ``wholes`` are the budgets and ``shares`` what members may use of them.
    """

    coordinator: str
    run: str
    owned: dict[int, int] = {}
    members: list[MemberStatus] = []
    wholes: list[QuotaStatus] = []
    shares: list[MemberShare] = []
