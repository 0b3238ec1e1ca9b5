"""A broker's own view of its membership.

Numbers this process's incarnations, builds its reports and detects when an incarnation has ended. Owns the
incarnation number and the last reply number received from each coordinator. Imports only the states and
messages of this package.

A process that was suspended may have been declared dead meanwhile. It detects that on its own clock: more
time has passed between two iterations of its event loop than the dead timeout. It must then drop its grants
before it does anything else, and report as a new incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership.messages import MembershipReply, MembershipReport
from heathwell.fleet.membership.states import FINAL_STATES, MembershipTimeouts


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """This process's incarnation has ended; the process continues as the next one, without grants."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReplyPosition:
    """The highest reply number received from one incarnation of a coordinator."""

    coordinator_incarnation: str
    reply_number: int


class LocalMember:
    """This broker as a member. ``incarnation`` is the first incarnation number, for instance the Unix time of
    the start in us; it only increases. ``now_us`` is the broker's own monotonic clock.
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
        """End the incarnation if the process was suspended for too long.

        Must be called first in each iteration of the event loop, before a grant is used.
        """
        gap_us = now_us - self._last_turn_at_us
        self._last_turn_at_us = now_us
        if gap_us < self.timeouts.dead_timeout_us:
            return None
        return self._end_incarnation(f"stopped for {gap_us // 1000} ms")

    def report(self, coordinator: str, *, leaving: bool = False) -> MembershipReport:
        """Return the report to send to a coordinator now."""
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
        """Apply a coordinator's reply to a report of ``incarnation``.

        Replies to an earlier incarnation of this broker and replies received out of order are ignored. Reply
        numbers are ordered within one incarnation of the coordinator.
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
