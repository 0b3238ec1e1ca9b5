"""Deciders' records to the inner wire's messages and back."""

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

MAX_MESSAGE_BYTES = 256 << 10  # bytes of a message between the control's processes
NEEDS_MOST = 96  # budgets in one renewal
NO_HOLDER = ""  # in a vote, where the voter may vote for nobody yet
SEEN_MOST = 512  # zones and classes in one broker's word


def renewal_to_frame(renewal: QuotaRenewal) -> frames.RenewalRequest:
    """A renewal to the wire: of too many budgets those with the most demand."""
    report = renewal.report
    demands = sorted(renewal.demands, key=lambda demand: (not demand.active_grants, -demand.demand))[
        :NEEDS_MOST
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
        [_demand_out(demand) for demand in demands],
    )


def _demand_out(demand: BudgetDemand) -> frames.QuotaDemand:
    active_grants = [(grant.fraction, grant.grantor, grant.number) for grant in demand.active_grants]
    return frames.QuotaDemand(demand.budget, demand.demand, active_grants)


def _demand_in(message: frames.QuotaDemand) -> BudgetDemand:
    active_grants = tuple(ActiveGrant(*active_grant) for active_grant in message.goes_by)
    return BudgetDemand(message.budget, max(0, message.demand), active_grants)


def renewal_from_frame(message: frames.RenewalRequest) -> QuotaRenewal:
    """A renewal from the wire; what is beyond the bound of budgets is left out."""
    report = MembershipReport(
        message.name,
        message.incarnation,
        message.zone,
        message.program,
        message.digest,
        message.run,
        message.heard,
        message.leaves,
    )
    return QuotaRenewal(
        report,
        message.asked_us,
        tuple(_demand_in(need) for need in message.needs[:NEEDS_MOST]),
    )


def renewal_reply_to_frame(answer: QuotaRenewalReply) -> frames.RenewalReply:
    """A keeper's answer to the wire."""
    membership = answer.membership
    grants = [
        frames.Granted(grant.budget, grant.fraction, grant.number, grant.amount, grant.duration_us)
        for grant in answer.grants
    ]
    return frames.RenewalReply(
        answer.coordinator_incarnation,
        membership.reply_number,
        membership.state.value,
        answer.incarnation,
        answer.requested_at_us,
        membership.minimum_incarnation,
        membership.reason,
        grants,
    )


def renewal_reply_from_frame(message: frames.RenewalReply) -> QuotaRenewalReply:
    """A keeper's answer from the wire."""
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
    """A member's state from the wire. One that a later version may add is not final, so the broker goes on
    as a member that is suspected.
    """
    try:
        return MemberState(text)
    except ValueError:
        return MemberState.SUSPECT


def lease_request_to_frame(claim: FractionLeaseRequest) -> frames.LeaseRequest:
    """A claim to the wire."""
    return frames.LeaseRequest(claim.fraction, claim.candidate, claim.requested_at_us)


def lease_request_from_frame(message: frames.LeaseRequest) -> FractionLeaseRequest:
    """A claim from the wire."""
    return FractionLeaseRequest(message.fraction, message.claimant, message.asked_us)


def lease_vote_to_frame(vote: FractionLeaseVote) -> frames.LeaseVote:
    """A vote to the wire."""
    return frames.LeaseVote(vote.fraction, vote.voter, vote.requested_at_us, vote.holder or NO_HOLDER)


def lease_vote_from_frame(message: frames.LeaseVote) -> FractionLeaseVote:
    """A vote from the wire."""
    return FractionLeaseVote(message.fraction, message.voter, message.asked_us, message.owner or None)


def broker_report_to_frames(summary: BrokerReport) -> list[frames.ZoneReport]:
    """A broker's word on zones to the wire."""
    return attempt_counts_to_frames(summary.counts)


def attempt_counts_to_frames(seen: dict[ZoneClassKey, AttemptCounts]) -> list[frames.ZoneReport]:
    """What was seen, by zone and class, to the wire."""
    return [
        frames.ZoneReport(zone, query_class, some.good, some.late, some.bad, some.took_ms)
        for (zone, query_class), some in list(seen.items())[:SEEN_MOST]
    ]


def attempt_counts_from_frames(rows: list[frames.ZoneReport]) -> dict[ZoneClassKey, AttemptCounts]:
    """What was seen, by zone and class, from the wire."""
    return {
        ZoneClassKey(row.zone, row.query_class): AttemptCounts(
            max(0, row.good), max(0, row.late), max(0, row.bad), max(0, row.took_ms)
        )
        for row in rows[:SEEN_MOST]
    }


def broker_report_from_frame(message: frames.RenewalRequest) -> BrokerReport:
    """A broker's word on zones from the wire."""
    return BrokerReport(message.name, message.zone, attempt_counts_from_frames(message.seen), message.cut_off)


def decision_to_frame(decision: Decision) -> frames.ZoneDecision | None:
    """A decision on zones to the wire; none has been made under term 0."""
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
    """A decision on zones from the wire."""
    if message is None:
        return Decision(0, 0)
    return Decision(
        message.term,
        message.number,
        {
            name: ZoneDirective(word.state, word.share, tuple(word.only), word.why)
            for name, word in message.zones.items()
        },
    )
