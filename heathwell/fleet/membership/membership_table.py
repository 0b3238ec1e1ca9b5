"""A coordinator's table of the fleet's members.

Applies reports and timeouts to the entries, one per name. Owns the entries of one incarnation of one
coordinator; all times (``_at_us``, ``now_us``) are on that coordinator's clock. Imports only the states and
messages of this package.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from heathwell.fleet.membership.messages import MembershipReply, MembershipReport
from heathwell.fleet.membership.states import (
    FINAL_STATES,
    TRANSITIONS,
    MemberEvent,
    MembershipTimeouts,
    MemberState,
    MemberTransition,
)

# Reasons of replies and transitions. They are sent on the wire and written to event logs, so their wording
# must not change.
LATER_INCARNATION_KNOWN = "a later incarnation is known"
TABLE_FULL = "the roll is full"
STATE_IS_FINAL = "it was taken for gone"
FIRST_REPORT = "its first report"
LEAVE_ANNOUNCED = "it said so"
REPORTED = "it reported"


@dataclass(slots=True)
class MemberEntry:
    """One incarnation of a member.

    ``acknowledged_reply_number`` is the highest number of this table's replies that the member has
    acknowledged, ``acknowledged_at_us`` when that acknowledgement arrived (None: there was none).
    """

    name: str
    incarnation: int
    zone: str
    version: str
    digest: str
    joined_at_us: int
    last_report_at_us: int
    state_changed_at_us: int
    state: MemberState = MemberState.JOINING
    acknowledged_reply_number: int = 0
    acknowledged_at_us: int | None = None


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """The reply to a report, and the transitions that the report caused, in order."""

    reply: MembershipReply
    transitions: list[MemberTransition]


@dataclass(slots=True)
class MembershipTable:
    """The table of one incarnation of a coordinator; ``reply_number`` counts its replies."""

    incarnation: str
    timeouts: MembershipTimeouts = field(default_factory=MembershipTimeouts)
    reply_number: int = 0
    entries: dict[str, MemberEntry] = field(default_factory=dict)

    def on_report(self, now_us: int, report: MembershipReport) -> ReportOutcome:
        """Apply a broker's report.

        A rejected report is answered with a final state and the lowest incarnation under which the broker may
        report instead.
        """
        self.reply_number += 1
        transitions: list[MemberTransition] = []
        entry = self.entries.get(report.name)
        if entry is not None and report.incarnation < entry.incarnation:
            return self._rejected(entry.incarnation + 1, LATER_INCARNATION_KNOWN)
        if entry is None or report.incarnation > entry.incarnation:
            if entry is None and not self._has_capacity():
                return self._rejected(report.incarnation, TABLE_FULL)
            if entry is not None:
                reason = f"incarnation {report.incarnation} came"
                transitions += self._apply(now_us, entry, MemberEvent.REPLACED, reason)
            entry = self._add(now_us, report)
            transitions.append(
                MemberTransition(report.name, report.incarnation, None, MemberState.JOINING, FIRST_REPORT)
            )
        if entry.state in FINAL_STATES:
            reply = MembershipReply(entry.state, self.reply_number, entry.incarnation + 1, STATE_IS_FINAL)
            return ReportOutcome(reply, transitions)
        transitions += self._refresh(now_us, entry, report)
        minimum_incarnation = entry.incarnation + 1 if entry.state in FINAL_STATES else 0
        return ReportOutcome(
            MembershipReply(entry.state, self.reply_number, minimum_incarnation), transitions
        )

    def tick(self, now_us: int) -> list[MemberTransition]:
        """Apply timeouts, and remove entries whose retention time in a final state is over."""
        transitions: list[MemberTransition] = []
        for entry in list(self.entries.values()):
            silence_us = now_us - entry.last_report_at_us
            reason = f"nothing for {silence_us // 1000} ms"
            if silence_us >= self.timeouts.dead_timeout_us:
                transitions += self._apply(now_us, entry, MemberEvent.DEAD_TIMEOUT, reason)
            elif silence_us >= self.timeouts.suspect_timeout_us:
                transitions += self._apply(now_us, entry, MemberEvent.SUSPECT_TIMEOUT, reason)
            final_duration_us = now_us - entry.state_changed_at_us
            if entry.state in FINAL_STATES and final_duration_us >= self.timeouts.final_state_retention_us:
                del self.entries[entry.name]
        return transitions

    def members(self) -> Iterator[MemberEntry]:
        """Return the entries that are not in a final state.

        Only alive members receive grants; suspect ones keep the grants that they hold.
        """
        return (entry for entry in self.entries.values() if entry.state not in FINAL_STATES)

    def _rejected(self, minimum_incarnation: int, reason: str) -> ReportOutcome:
        reply = MembershipReply(MemberState.DEAD, self.reply_number, minimum_incarnation, reason)
        return ReportOutcome(reply, [])

    def _add(self, now_us: int, report: MembershipReport) -> MemberEntry:
        entry = MemberEntry(
            name=report.name,
            incarnation=report.incarnation,
            zone=report.zone,
            version=report.version,
            digest=report.digest,
            joined_at_us=now_us,
            last_report_at_us=now_us,
            state_changed_at_us=now_us,
        )
        self.entries[report.name] = entry
        return entry

    def _refresh(self, now_us: int, entry: MemberEntry, report: MembershipReport) -> list[MemberTransition]:
        """Apply a report of the entry's incarnation."""
        entry.last_report_at_us = now_us
        entry.zone = report.zone
        entry.version = report.version
        entry.digest = report.digest
        if (
            report.coordinator_incarnation == self.incarnation
            and report.last_reply_number > entry.acknowledged_reply_number
        ):
            entry.acknowledged_reply_number = report.last_reply_number
            entry.acknowledged_at_us = now_us
        if report.leaving:
            return self._apply(now_us, entry, MemberEvent.LEAVE_ANNOUNCED, LEAVE_ANNOUNCED)
        acknowledged = (
            entry.acknowledged_at_us is not None
            and now_us - entry.acknowledged_at_us < self.timeouts.suspect_timeout_us
        )
        event = MemberEvent.REPORT_ACKNOWLEDGED if acknowledged else MemberEvent.REPORT_UNACKNOWLEDGED
        return self._apply(now_us, entry, event, REPORTED)

    def _apply(
        self, now_us: int, entry: MemberEntry, event: MemberEvent, reason: str
    ) -> list[MemberTransition]:
        """Apply an event to the entry; return no transition if its state does not change."""
        before = entry.state
        after = TRANSITIONS[before][event]
        if before == after:
            return []
        entry.state = after
        entry.state_changed_at_us = now_us
        return [MemberTransition(entry.name, entry.incarnation, before, after, reason)]

    def _has_capacity(self) -> bool:
        """Whether a new name can be added; a full table evicts the oldest entry in a final state."""
        if len(self.entries) < self.timeouts.max_entries:
            return True
        final_entries = [entry for entry in self.entries.values() if entry.state in FINAL_STATES]
        if not final_entries:
            return False
        oldest = min(final_entries, key=lambda entry: entry.state_changed_at_us)
        del self.entries[oldest.name]
        return True
