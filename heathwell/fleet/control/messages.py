"""Deciders' records to the inner wire's messages and back."""

from __future__ import annotations

from heathwell.codec import frames
from heathwell.fleet.evacuation import Decision, Seen, Summary, ZoneWord
from heathwell.fleet.membership import MembershipReply, MembershipReport, MemberState
from heathwell.fleet.quotas import Claim, Grant, Vote
from heathwell.fleet.quotas.keeper import Need, Renew, Renewed

MESSAGE_MOST = 256 << 10  # bytes of a message between the control's processes
NEEDS_MOST = 96  # budgets in one renewal
SEEN_MOST = 512  # zones and classes in one broker's word


def renew_out(renew: Renew) -> frames.RenewalRequest:
    """A renewal to the wire: of too many needs those with the most demand."""
    said = renew.report
    needs = sorted(renew.needs, key=lambda need: (not need.goes_by, -need.demand))[:NEEDS_MOST]
    return frames.RenewalRequest(
        said.name,
        said.incarnation,
        renew.asked_us,
        said.zone,
        said.version,
        said.digest,
        said.coordinator_incarnation,
        said.last_reply_number,
        said.leaving,
        [frames.QuotaDemand(need.budget, need.demand, list(need.goes_by)) for need in needs],
    )


def renew_in(message: frames.RenewalRequest) -> Renew:
    """A renewal from the wire; what is beyond the bound of needs is left out."""
    said = MembershipReport(
        message.name,
        message.incarnation,
        message.zone,
        message.program,
        message.digest,
        message.run,
        message.heard,
        message.leaves,
    )
    return Renew(
        said,
        message.asked_us,
        tuple(
            Need(need.budget, max(0, need.demand), tuple(need.goes_by)) for need in message.needs[:NEEDS_MOST]
        ),
    )


def renewed_out(answer: Renewed) -> frames.RenewalReply:
    """A keeper's answer to the wire."""
    word = answer.word
    grants = [
        frames.Granted(grant.budget, grant.fraction, grant.number, grant.amount, grant.length_us)
        for grant in answer.grants
    ]
    return frames.RenewalReply(
        answer.run,
        word.reply_number,
        word.state.value,
        answer.incarnation,
        answer.asked_us,
        word.minimum_incarnation,
        word.reason,
        grants,
    )


def renewed_in(message: frames.RenewalReply) -> Renewed:
    """A keeper's answer from the wire."""
    word = MembershipReply(_member_state(message.state), message.number, message.least, message.why)
    return Renewed(
        word,
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


def claim_out(claim: Claim) -> frames.LeaseRequest:
    """A claim to the wire."""
    return frames.LeaseRequest(claim.fraction, claim.claimant, claim.asked_us)


def claim_in(message: frames.LeaseRequest) -> Claim:
    """A claim from the wire."""
    return Claim(message.fraction, message.claimant, message.asked_us)


def vote_out(vote: Vote) -> frames.LeaseVote:
    """A vote to the wire."""
    return frames.LeaseVote(vote.fraction, vote.voter, vote.asked_us, vote.owner)


def vote_in(message: frames.LeaseVote) -> Vote:
    """A vote from the wire."""
    return Vote(message.fraction, message.voter, message.asked_us, message.owner)


def seen_out(summary: Summary) -> list[frames.ZoneReport]:
    """A broker's word on zones to the wire."""
    return rows_out(summary.seen)


def rows_out(seen: dict[tuple[str, str], Seen]) -> list[frames.ZoneReport]:
    """What was seen, by zone and class, to the wire."""
    return [
        frames.ZoneReport(zone, query_class, some.good, some.late, some.bad, some.took_ms)
        for (zone, query_class), some in list(seen.items())[:SEEN_MOST]
    ]


def rows_in(rows: list[frames.ZoneReport]) -> dict[tuple[str, str], Seen]:
    """What was seen, by zone and class, from the wire."""
    return {
        (row.zone, row.query_class): Seen(
            max(0, row.good), max(0, row.late), max(0, row.bad), max(0, row.took_ms)
        )
        for row in rows[:SEEN_MOST]
    }


def seen_in(message: frames.RenewalRequest) -> Summary:
    """A broker's word on zones from the wire."""
    return Summary(message.name, message.zone, rows_in(message.seen), message.cut_off)


def decision_out(decision: Decision) -> frames.ZoneDecision | None:
    """A decision on zones to the wire; none has been made under term 0."""
    if not decision.term:
        return None
    return frames.ZoneDecision(
        decision.term,
        decision.number,
        {
            name: frames.ZoneState(word.state, word.share, list(word.only), word.why)
            for name, word in decision.zones.items()
        },
    )


def decision_in(message: frames.ZoneDecision | None) -> Decision:
    """A decision on zones from the wire."""
    if message is None:
        return Decision(0, 0)
    return Decision(
        message.term,
        message.number,
        {
            name: ZoneWord(word.state, word.share, tuple(word.only), word.why)
            for name, word in message.zones.items()
        },
    )
