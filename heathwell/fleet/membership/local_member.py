"""A broker's own view of its membership.

Job: number this process's incarnations, write its reports and detect when an incarnation has ended. Owns the
incarnation number and the positions in each coordinator's replies. May import the states and messages of this
package only.

A process that was stopped and continues has missed being declared dead. It sees that from its own clock: more
time between two turns of its loop than the dead timeout. It must then drop what it held before it does
anything else, and report as a new incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership.messages import MembershipReply, MembershipReport
from heathwell.fleet.membership.states import FINAL_STATES, MembershipTimeouts


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """This process's incarnation has ended; the process continues as the next one and holds nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReplyPosition:
    """The highest reply number received from one incarnation of a coordinator."""

    coordinator_incarnation: str
    reply_number: int


class LocalMember:
    """This broker. The first ``incarnation`` is handed in (Unix time of the start in us will do); it only
    grows from there. ``now_us`` is the broker's own monotonic clock.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        now_us: int,
        *,
        zone: str = "",
        version: str = "",
        digest: str = "",
        timeouts: MembershipTimeouts | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.version = version
        self.digest = digest
        self.timeouts = timeouts or MembershipTimeouts()
        self.reply_positions: dict[str, ReplyPosition] = {}  # by coordinator
        self._last_turn_at_us = now_us

    def check_clock(self, now_us: int) -> IncarnationEnded | None:
        """To be called first in each turn of the loop, before anything that was granted is used."""
        gap_us = now_us - self._last_turn_at_us
        self._last_turn_at_us = now_us
        if gap_us < self.timeouts.dead_timeout_us:
            return None
        return self._end_incarnation(f"stopped for {gap_us // 1000} ms")

    def report(self, coordinator: str, *, leaving: bool = False) -> MembershipReport:
        """The report to send to a coordinator now."""
        position = self.reply_positions.get(coordinator)
        return MembershipReport(
            name=self.name,
            incarnation=self.incarnation,
            zone=self.zone,
            version=self.version,
            digest=self.digest,
            coordinator_incarnation=position.coordinator_incarnation if position is not None else "",
            last_reply_number=position.reply_number if position is not None else 0,
            leaving=leaving,
        )

    def on_reply(
        self, coordinator: str, coordinator_incarnation: str, incarnation: int, reply: MembershipReply
    ) -> IncarnationEnded | None:
        """Apply a coordinator's reply to a report of ``incarnation``. Replies to an earlier incarnation of
        ours, and those that came out of order, are ignored; numbers count within a coordinator's incarnation.
        """
        if incarnation != self.incarnation:
            return None
        position = self.reply_positions.get(coordinator, ReplyPosition("", 0))
        if (
            coordinator_incarnation == position.coordinator_incarnation
            and reply.reply_number <= position.reply_number
        ):
            return None
        if reply.state in FINAL_STATES:
            self.incarnation = max(self.incarnation, reply.minimum_incarnation - 1)
            return self._end_incarnation(f"{coordinator} has it as {reply.state}: {reply.reason}")
        self.reply_positions[coordinator] = ReplyPosition(coordinator_incarnation, reply.reply_number)
        return None

    def _end_incarnation(self, reason: str) -> IncarnationEnded:
        self.incarnation += 1
        self.reply_positions.clear()
        return IncarnationEnded(reason)
