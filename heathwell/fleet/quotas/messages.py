"""Messages between brokers and coordinators about quotas.

The typed records of renewals, grants and fraction leases; the codec's frames carry them on the wire. Owns no
state. Imports membership's messages.

Every ``requested_at_us`` is on the requester's own clock and is returned unchanged in the answer, so that the
requester can count the lease from the time of its request.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership import MembershipReply, MembershipReport


@dataclass(frozen=True, slots=True)
class FractionLeaseRequest:
    """A request by one incarnation of a coordinator (the candidate) to a voter for a fraction's lease."""

    fraction: int
    candidate: str
    requested_at_us: int


@dataclass(frozen=True, slots=True)
class FractionLeaseVote:
    """A voter's answer: ``holder`` is the candidate that has its vote now; None if it may not vote yet."""

    fraction: int
    voter: str
    requested_at_us: int
    holder: str | None


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request by one incarnation of a broker (the member) for its quota of a fraction.

    ``active_grant_number`` is the number of the grant that the member uses, 0 for none. For a count only a
    grant that covers the units in use is active, so that units count as released only once they are.
    ``releasing``: the member holds no grant any more.
    """

    member: str
    demand: int
    requested_at_us: int
    active_grant_number: int = 0
    releasing: bool = False
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Grant:
    """A quota granted by the holder of a fraction's lease, numbered upwards within its incarnation.

    ``duration_us`` is that of a grant lease, or less if the fraction's lease ends sooner, and 0 if nothing is
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
    """The grant of a fraction that a broker uses."""

    fraction: int
    grantor: str
    number: int


@dataclass(frozen=True, slots=True)
class BudgetDemand:
    """A broker's demand for one budget, and the grants that it uses."""

    budget: str
    demand: int
    active_grants: tuple[ActiveGrant, ...] = ()

    def active_grant_number(self, fraction: int, grantor: str) -> int:
        """Return the highest number of an active grant of a fraction and grantor; 0 for none."""
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
    """A renewal and the coordinator to which it is sent."""

    coordinator: str
    renewal: QuotaRenewal


@dataclass(frozen=True, slots=True)
class QuotaRenewalReply:
    """A coordinator's reply, with grants from the fractions whose leases it holds.

    ``incarnation`` is the broker's, as in the renewal.
    """

    membership: MembershipReply
    incarnation: int
    requested_at_us: int
    coordinator_incarnation: str
    grants: tuple[Grant, ...] = ()
