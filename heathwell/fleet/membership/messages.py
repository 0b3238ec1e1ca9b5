"""What a broker and a coordinator tell each other about membership.

Job: the typed records of a report and its reply; the codec's frames carry them on the wire. Owns no state.
May import the states of this package only.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership.states import MemberState


@dataclass(frozen=True, slots=True)
class MembershipReport:
    """A broker's report of itself. ``last_reply_number`` is the highest number of a reply that it received
    from the coordinator's ``coordinator_incarnation``; an empty incarnation and 0 stand for none yet, as on
    the wire.
    """

    name: str
    incarnation: int
    zone: str = ""
    version: str = ""
    digest: str = ""
    coordinator_incarnation: str = ""
    last_reply_number: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MembershipReply:
    """A coordinator's reply to a report: the ``state`` that its table now has, and the reply's own number
    within the coordinator's incarnation. ``minimum_incarnation`` is the lowest incarnation under which the
    name may rejoin; it counts only where the state is final.
    """

    state: MemberState
    reply_number: int
    minimum_incarnation: int = 0
    reason: str = ""
