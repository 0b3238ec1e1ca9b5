"""Who lends a fraction: the keeper that holds the promise of most keepers for it.

A voter promises a fraction to one claimant at a time, a claimant being one run of one keeper. What a keeper
promised or owned is not on disk: a run that begins knows nothing, so as a voter it promises nothing while an
earlier run's promise may last, and as a claimant it is a stranger to promises made to that run, which have to
end first.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.fleet.quotas.lease import Lease


@dataclass(frozen=True, slots=True)
class Claim:
    """A keeper's run asks for a fraction; ``asked_us`` is its own clock's, and comes back with the vote."""

    fraction: int
    claimant: str
    asked_us: int


@dataclass(frozen=True, slots=True)
class Vote:
    """A voter's answer. ``owner`` is who has its promise now, empty where it may promise to nobody yet."""

    fraction: int
    voter: str
    asked_us: int
    owner: str


class Voter:
    """One run of one keeper as a voter."""

    def __init__(self, name: str, now: int, lease: Lease) -> None:
        self.name, self.lease = name, lease
        self.silent_until = lease.given_until(now)  # an earlier run may have promised a moment ago
        self.promised: dict[int, tuple[str, int]] = {}

    def asked(self, now: int, claim: Claim) -> Vote:
        """Promise, renew, or say who has it."""
        if now < self.silent_until:
            return Vote(claim.fraction, self.name, claim.asked_us, "")
        owner, until = self.promised.get(claim.fraction, ("", 0))
        if now >= until or owner == claim.claimant:
            owner = claim.claimant
            self.promised[claim.fraction] = owner, self.lease.given_until(now)
        return Vote(claim.fraction, self.name, claim.asked_us, owner)


@dataclass(slots=True)
class _Votes:
    """What one fraction's voters have promised us (until when, on our clock), and when a vote of theirs was
    last another's.
    """

    until: dict[str, int] = field(default_factory=dict)
    others_at: int | None = None


class Claimant:
    """One run of one keeper as an owner. ``home`` is the fraction that it claims always; another's only once
    nobody has been heard to own it for ``patience_us``, and it lets go of that as soon as its home keeper is
    heard again.
    """

    def __init__(
        self, run: str, home: int, fractions: int, voters: int, lease: Lease, now: int, patience_us: int
    ) -> None:
        self.run, self.home, self.voters, self.lease, self.patience_us = run, home, voters, lease, patience_us
        self.votes = {number: _Votes(others_at=now) for number in range(fractions)}
        self.keeper_heard: dict[int, int] = {}

    def home_heard(self, now: int, fraction: int) -> None:
        """The keeper whose home this fraction is has spoken."""
        self.keeper_heard[fraction] = now

    def wanted(self, now: int) -> list[Claim]:
        """Claims to send to all voters now, one's own included."""
        return [Claim(number, self.run, now) for number in self.votes if self._wants(now, number)]

    def _wants(self, now: int, number: int) -> bool:
        if number == self.home:
            return True
        if now - self.keeper_heard.get(number, -self.patience_us) < self.patience_us:
            return False
        votes = self.votes[number]
        return (
            self.owned_until(number) > now
            or votes.others_at is None
            or now - votes.others_at >= self.patience_us
        )

    def voted(self, vote: Vote) -> None:
        """A voter's answer, on our clock of when we asked."""
        votes = self.votes[vote.fraction]
        if vote.owner == self.run:
            until = self.lease.holds_until(vote.asked_us)
            votes.until[vote.voter] = max(votes.until.get(vote.voter, until), until)
        elif vote.owner:
            votes.others_at = max(votes.others_at or 0, vote.asked_us)

    def owned_until(self, number: int) -> int:
        """Until when (our clock) a majority's promise for a fraction lasts; 0: there is none."""
        most = self.voters // 2 + 1
        ends = sorted(self.votes[number].until.values(), reverse=True)
        return ends[most - 1] if len(ends) >= most else 0
