"""The leases and timeouts of a fleet.

Job: one record of all times that brokers and coordinators of a fleet must agree on. Owns no state. May import
membership and this package's lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.fleet.membership import MembershipTimeouts
from heathwell.fleet.quotas.lease import Lease

DEFAULT_FRACTION_LEASE_US = 6_000_000


@dataclass(frozen=True, slots=True)
class QuotaTimings:
    """``grant_lease`` is that of brokers' grants, ``fraction_lease`` that of coordinators' fractions, which
    must outlast it. ``takeover_timeout_us``: for how long another coordinator's fraction must have had no
    sign of a holder before this one requests it.
    """

    grant_lease: Lease = field(default_factory=Lease)
    fraction_lease: Lease = field(default_factory=lambda: Lease(DEFAULT_FRACTION_LEASE_US))
    takeover_timeout_us: int = 2_000_000
    membership: MembershipTimeouts = field(default_factory=MembershipTimeouts)
