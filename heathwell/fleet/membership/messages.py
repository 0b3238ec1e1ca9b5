"""Messages between a broker and a coordinator about membership.

The typed records of a report and its reply; the codec's frames carry them on the wire. Owns no state. Imports
only the states of this package.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership.states import MemberState


@dataclass(frozen=True, slots=True)
class MembershipReport:
    """A broker's report about itself.

    ``last_reply_number`` is the highest number of a reply received from the ``coordinator_incarnation`` of
    the coordinator. An empty incarnation and 0 mean that no reply was received yet, as on the wire.
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
    """A coordinator's reply to a report: the member's ``state`` in its table, and the reply's number within
    the coordinator's incarnation.

    ``minimum_incarnation`` is the lowest incarnation under which the name may rejoin; it is meaningful only
    if the state is final.
    """

    state: MemberState
    reply_number: int
    minimum_incarnation: int = 0
    reason: str = ""
