"""The leases and timeouts of a fleet.

One record of all durations on which the brokers and coordinators of a fleet must agree. Owns no state.
Imports membership and this package's lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.fleet.membership import MembershipTimeouts
from heathwell.fleet.quotas.lease import Lease

DEFAULT_FRACTION_LEASE_US = 6_000_000


@dataclass(frozen=True, slots=True)
class QuotaTimings:
    """Durations of leases and membership timeouts.

    ``grant_lease`` applies to brokers' grants, ``fraction_lease`` to coordinators' fractions; the latter must
    be longer. ``takeover_timeout_us`` is the time without a sign of a holder after which a coordinator
    requests another coordinator's home fraction.
    """

    grant_lease: Lease = field(default_factory=Lease)
    fraction_lease: Lease = field(default_factory=lambda: Lease(DEFAULT_FRACTION_LEASE_US))
    takeover_timeout_us: int = 2_000_000
    membership: MembershipTimeouts = field(default_factory=MembershipTimeouts)
