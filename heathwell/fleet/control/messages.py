"""Converters between the records of the fleet's controllers and the frames of the inner protocol.

Each pair of pure functions is ``<record>_to_frame`` and ``<record>_from_frame``. They limit the size of
frames: what exceeds a limit is dropped, and the frame is not rejected.

Imports: `heathwell.codec.frames` and the records of `heathwell.fleet.evacuation`, `membership` and `quotas`;
no sockets and no event loop.
"""

from __future__ import annotations

from heathwell.codec import frames
from heathwell.fleet.evacuation import AttemptCounts, BrokerReport, Decision, ZoneClassKey, ZoneDirective
from heathwell.fleet.membership import MembershipReply, MembershipReport, MemberState
from heathwell.fleet.quotas import (
    ActiveGrant,
    BudgetDemand,
    FractionLeaseRequest,
    FractionLeaseVote,
    Grant,
    QuotaRenewal,
    QuotaRenewalReply,
)

MAX_MESSAGE_BYTES = 256 << 10  # maximum size of a frame between processes of the fleet control
MAX_DEMANDS = 96  # maximum budgets in one renewal
NO_HOLDER = ""  # holder in the answer of a voter that may not vote yet
MAX_ATTEMPT_COUNTS = 512  # maximum pairs of zone and query class in one report


def renewal_to_frame(renewal: QuotaRenewal) -> frames.RenewalRequest:
    """Convert a renewal. Of more than :data:`MAX_DEMANDS` budgets it keeps those with grants, then the
    largest demands.
    """
    report = renewal.report
    demands = sorted(renewal.demands, key=lambda demand: (not demand.active_grants, -demand.demand))[
        :MAX_DEMANDS
    ]
    return frames.RenewalRequest(
        report.name,
        report.incarnation,
        renewal.requested_at_us,
        report.zone,
        report.version,
        report.digest,
        report.coordinator_incarnation,
        report.last_reply_number,
        report.leaving,
        [_demand_to_frame(demand) for demand in demands],
    )


def _demand_to_frame(demand: BudgetDemand) -> frames.QuotaDemand:
    active_grants = [(grant.fraction, grant.grantor, grant.number) for grant in demand.active_grants]
    return frames.QuotaDemand(demand.budget, demand.demand, active_grants)


def _demand_from_frame(message: frames.QuotaDemand) -> BudgetDemand:
    active_grants = tuple(ActiveGrant(*active_grant) for active_grant in message.goes_by)
    return BudgetDemand(message.budget, max(0, message.demand), active_grants)


def renewal_from_frame(message: frames.RenewalRequest) -> QuotaRenewal:
    """Convert a renewal; budgets beyond :data:`MAX_DEMANDS` are ignored, a negative demand becomes 0."""
    report = MembershipReport(
        message.name,
        message.incarnation,
        message.zone,
        message.program,
        message.digest,
        message.run,
        message.last_reply_number,
        message.leaves,
    )
    return QuotaRenewal(
        report,
        message.asked_us,
        tuple(_demand_from_frame(demand) for demand in message.needs[:MAX_DEMANDS]),
    )


def renewal_reply_to_frame(reply: QuotaRenewalReply) -> frames.RenewalReply:
    """Convert a quota coordinator's reply to a renewal."""
    membership = reply.membership
    grants = [
        frames.Granted(grant.budget, grant.fraction, grant.number, grant.amount, grant.duration_us)
        for grant in reply.grants
    ]
    return frames.RenewalReply(
        reply.coordinator_incarnation,
        membership.reply_number,
        membership.state.value,
        reply.incarnation,
        reply.requested_at_us,
        membership.minimum_incarnation,
        membership.reason,
        grants,
    )


def renewal_reply_from_frame(message: frames.RenewalReply) -> QuotaRenewalReply:
    """Convert a reply to a renewal; a state that is unknown to this version becomes SUSPECT."""
    membership = MembershipReply(_member_state(message.state), message.number, message.least, message.why)
    return QuotaRenewalReply(
        membership,
        message.incarnation,
        message.asked_us,
        message.run,
        tuple(
            Grant(
                grant.budget,
                grant.fraction,
                message.run,
                grant.number,
                grant.amount,
                message.asked_us,
                grant.length_us,
            )
            for grant in message.grants
        ),
    )


def _member_state(text: str) -> MemberState:
    """Parse a member's state. An unknown state of a later version is not final, so it becomes SUSPECT."""
    try:
        return MemberState(text)
    except ValueError:
        return MemberState.SUSPECT


def lease_request_to_frame(request: FractionLeaseRequest) -> frames.LeaseRequest:
    """Convert a candidate's request for the lease of a fraction."""
    return frames.LeaseRequest(request.fraction, request.candidate, request.requested_at_us)


def lease_request_from_frame(message: frames.LeaseRequest) -> FractionLeaseRequest:
    """Convert a candidate's request for the lease of a fraction."""
    return FractionLeaseRequest(message.fraction, message.claimant, message.asked_us)


def lease_vote_to_frame(vote: FractionLeaseVote) -> frames.LeaseVote:
    """Convert a vote on the lease of a fraction; no holder becomes :data:`NO_HOLDER`."""
    return frames.LeaseVote(vote.fraction, vote.voter, vote.requested_at_us, vote.holder or NO_HOLDER)


def lease_vote_from_frame(message: frames.LeaseVote) -> FractionLeaseVote:
    """Convert a vote on the lease of a fraction; :data:`NO_HOLDER` becomes None."""
    return FractionLeaseVote(message.fraction, message.voter, message.asked_us, message.owner or None)


def broker_report_to_frames(report: BrokerReport) -> list[frames.ZoneReport]:
    """Convert the attempt counts of a broker's report; its other fields are fields of the renewal."""
    return attempt_counts_to_frames(report.counts)


def attempt_counts_to_frames(counts_by_key: dict[ZoneClassKey, AttemptCounts]) -> list[frames.ZoneReport]:
    """Convert attempt counts by zone and query class, at most :data:`MAX_ATTEMPT_COUNTS` of them."""
    return [
        frames.ZoneReport(zone, query_class, counts.good, counts.late, counts.bad, counts.took_ms)
        for (zone, query_class), counts in list(counts_by_key.items())[:MAX_ATTEMPT_COUNTS]
    ]


def attempt_counts_from_frames(reports: list[frames.ZoneReport]) -> dict[ZoneClassKey, AttemptCounts]:
    """Convert attempt counts by zone and query class; negative counts become 0."""
    return {
        ZoneClassKey(report.zone, report.query_class): AttemptCounts(
            max(0, report.good), max(0, report.late), max(0, report.bad), max(0, report.took_ms)
        )
        for report in reports[:MAX_ATTEMPT_COUNTS]
    }


def broker_report_from_frame(message: frames.RenewalRequest) -> BrokerReport:
    """Return the broker's report on zones that a renewal contains."""
    return BrokerReport(message.name, message.zone, attempt_counts_from_frames(message.seen), message.cut_off)


def decision_to_frame(decision: Decision) -> frames.ZoneDecision | None:
    """Convert a decision on zones; None for term 0, in which no decision was made."""
    if not decision.term:
        return None
    return frames.ZoneDecision(
        decision.term,
        decision.number,
        {
            name: frames.ZoneDirective(
                directive.state, directive.traffic_share, list(directive.query_classes), directive.reason
            )
            for name, directive in decision.zones.items()
        },
    )


def decision_from_frame(message: frames.ZoneDecision | None) -> Decision:
    """Convert a decision on zones; no frame becomes the empty decision of term 0."""
    if message is None:
        return Decision(0, 0)
    return Decision(
        message.term,
        message.number,
        {
            name: ZoneDirective(directive.state, directive.share, tuple(directive.only), directive.why)
            for name, directive in message.zones.items()
        },
    )
