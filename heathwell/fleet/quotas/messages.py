"""What brokers and coordinators tell each other about quotas.

Job: the typed records of renewals, grants and fraction leases; the codec's frames carry them on the wire.
Owns no state. May import membership's messages.

Every ``requested_at_us`` is of the requester's own clock and is returned unchanged with the answer, so that a
lease can be counted from before it was requested.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership import MembershipReply, MembershipReport


@dataclass(frozen=True, slots=True)
class FractionLeaseRequest:
    """One incarnation of a coordinator (the candidate) requests a fraction's lease of a voter."""

    fraction: int
    candidate: str
    requested_at_us: int


@dataclass(frozen=True, slots=True)
class FractionLeaseVote:
    """A voter's answer: whose vote the fraction has now; None where the voter may not vote yet."""

    fraction: int
    voter: str
    requested_at_us: int
    holder: str | None


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """One incarnation of a broker (the member) requests its quota of a fraction.

    ``active_grant_number`` is the number of the grant that it goes by, 0 for none. Of a count it is only one
    that covers what is in fact in use, so that units count as returned once they are. ``releasing``: the
    member holds nothing more and goes by no grant.
    """

    member: str
    demand: int
    requested_at_us: int
    active_grant_number: int = 0
    releasing: bool = False
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Grant:
    """A quota granted by the holder of a fraction's lease; numbers grow within an incarnation of it.
    ``duration_us`` is the lease's, shorter where the fraction's lease ends sooner, and 0 where nothing is
    granted.
    """

    budget: str
    fraction: int
    grantor: str
    number: int
    amount: int
    requested_at_us: int
    duration_us: int


@dataclass(frozen=True, slots=True)
class ActiveGrant:
    """The grant of a fraction that a broker goes by."""

    fraction: int
    grantor: str
    number: int


@dataclass(frozen=True, slots=True)
class BudgetDemand:
    """What a broker could use of one budget, and by which grants it goes."""

    budget: str
    demand: int
    active_grants: tuple[ActiveGrant, ...] = ()

    def active_grant_number(self, fraction: int, grantor: str) -> int:
        """The number of the latest grant that it goes by of a fraction and grantor; 0 for none."""
        numbers = (
            grant.number
            for grant in self.active_grants
            if grant.fraction == fraction and grant.grantor == grantor
        )
        return max(numbers, default=0)


@dataclass(frozen=True, slots=True)
class QuotaRenewal:
    """A broker's periodic message to one coordinator: its membership report and its demands."""

    report: MembershipReport
    requested_at_us: int
    demands: tuple[BudgetDemand, ...] = ()


@dataclass(frozen=True, slots=True)
class AddressedRenewal:
    """A renewal and the coordinator that it is for."""

    coordinator: str
    renewal: QuotaRenewal


@dataclass(frozen=True, slots=True)
class QuotaRenewalReply:
    """A coordinator's reply, with grants of the fractions whose leases it holds. ``incarnation`` is the
    broker's, as in the renewal; ``coordinator_incarnation`` names the coordinator's.
    """

    membership: MembershipReply
    incarnation: int
    requested_at_us: int
    coordinator_incarnation: str
    grants: tuple[Grant, ...] = ()
