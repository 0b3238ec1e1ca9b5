"""The vote on a fraction's lease, whose holder alone makes grants from the fraction.

A coordinator holds the lease while a majority of the coordinators votes for it. Owns the votes of one
incarnation of one coordinator, cast (:class:`LeaseVoter`) and received (:class:`LeaseCandidate`). Imports
this package's lease and messages.

A voter votes for one candidate of a fraction at a time; a candidate is one incarnation of one coordinator.
Votes are not stored on disk, so a new incarnation starts without state. As a voter it stays silent for as
long as a vote of an earlier incarnation may last. As a candidate it cannot use the votes for an earlier
incarnation, which must expire first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.messages import FractionLeaseRequest, FractionLeaseVote


class CastVote(NamedTuple):
    """A vote for a candidate, and its expiry on the voter's clock."""

    candidate: str
    expires_at_us: int


class LeaseVoter:
    """One incarnation of a coordinator as a voter. All times are on its own clock."""

    def __init__(self, name: str, now_us: int, lease: Lease) -> None:
        self.name = name
        self.lease = lease
        # An earlier incarnation may have voted just before this one started.
        self.silent_until_us = lease.grantor_expires_at_us(now_us)
        self.votes: dict[int, CastVote] = {}  # by fraction

    def on_request(self, now_us: int, request: FractionLeaseRequest) -> FractionLeaseVote:
        """Vote for the candidate, renew the vote for it, or return the candidate that has the vote."""
        if now_us < self.silent_until_us:
            return FractionLeaseVote(request.fraction, self.name, request.requested_at_us, None)
        vote = self.votes.get(request.fraction)
        if vote is None or now_us >= vote.expires_at_us or vote.candidate == request.candidate:
            vote = CastVote(request.candidate, self.lease.grantor_expires_at_us(now_us))
            self.votes[request.fraction] = vote
        return FractionLeaseVote(request.fraction, self.name, request.requested_at_us, vote.candidate)


@dataclass(slots=True)
class ReceivedVotes:
    """Votes received on one fraction; times are on the candidate's clock.

    ``expires_at_us`` is the expiry of each vote for this candidate, by voter. ``other_voted_at_us`` is when
    the last request was sent whose answer was a vote for another candidate.
    """

    other_voted_at_us: int
    expires_at_us: dict[str, int] = field(default_factory=dict)


class LeaseCandidate:
    """One incarnation of a coordinator as a candidate.

    It always requests its ``home_fraction``. It requests another fraction only after ``takeover_timeout_us``
    without a sign of a holder, and stops renewing that lease as soon as it receives a message from the
    coordinator whose home fraction it is.
    """

    def __init__(
        self,
        incarnation: str,
        home_fraction: int,
        fraction_count: int,
        voter_count: int,
        lease: Lease,
        now_us: int,
        takeover_timeout_us: int,
    ) -> None:
        self.incarnation = incarnation
        self.home_fraction = home_fraction
        self.voter_count = voter_count
        self.lease = lease
        self.takeover_timeout_us = takeover_timeout_us
        self.votes = {fraction: ReceivedVotes(now_us) for fraction in range(fraction_count)}
        self.home_coordinator_seen_at_us: dict[int, int] = {}  # by fraction

    def on_home_coordinator_seen(self, now_us: int, fraction: int) -> None:
        """Record a message from the coordinator whose home fraction this is."""
        self.home_coordinator_seen_at_us[fraction] = now_us

    def requests(self, now_us: int) -> list[FractionLeaseRequest]:
        """Return the requests to send to all voters now, including this coordinator's own voter."""
        return [
            FractionLeaseRequest(fraction, self.incarnation, now_us)
            for fraction in self.votes
            if self._should_request(now_us, fraction)
        ]

    def on_vote(self, vote: FractionLeaseVote) -> None:
        """Record a voter's answer; its lease counts from the request, on this candidate's clock."""
        votes = self.votes[vote.fraction]
        if vote.holder == self.incarnation:
            expires_at_us = self.lease.holder_expires_at_us(vote.requested_at_us)
            known_us = votes.expires_at_us.get(vote.voter, expires_at_us)
            votes.expires_at_us[vote.voter] = max(known_us, expires_at_us)
        elif vote.holder is not None:
            votes.other_voted_at_us = max(votes.other_voted_at_us, vote.requested_at_us)

    def lease_expires_at_us(self, fraction: int) -> int | None:
        """Return until when a majority of votes for this candidate lasts; None without a majority.

        The time may have passed already.
        """
        majority = self.voter_count // 2 + 1
        latest_first = sorted(self.votes[fraction].expires_at_us.values(), reverse=True)
        return latest_first[majority - 1] if len(latest_first) >= majority else None

    def holds(self, now_us: int, fraction: int) -> bool:
        """Whether this candidate holds the fraction's lease now."""
        expires_at_us = self.lease_expires_at_us(fraction)
        return expires_at_us is not None and expires_at_us > now_us

    def _should_request(self, now_us: int, fraction: int) -> bool:
        if fraction == self.home_fraction:
            return True
        seen_at_us = self.home_coordinator_seen_at_us.get(fraction)
        if seen_at_us is not None and now_us - seen_at_us < self.takeover_timeout_us:
            return False
        other_voted_at_us = self.votes[fraction].other_voted_at_us
        return self.holds(now_us, fraction) or now_us - other_voted_at_us >= self.takeover_timeout_us
