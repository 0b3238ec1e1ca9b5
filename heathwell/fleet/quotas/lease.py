"""The arithmetic of a lease between two clocks of bounded drift (Gray and Cheriton, SOSP 1989).

Computes when each side of a lease must treat it as expired. Owns no state. Imports only the standard library.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, floor


@dataclass(frozen=True, slots=True)
class Lease:
    """A duration that two sides measure on clocks with different origins.

    ``duration_us`` is true time. ``clock_drift`` is the maximum fraction by which either clock may run too
    fast or too slow.
    """

    duration_us: int = 3_000_000
    clock_drift: float = 0.03

    def holder_expires_at_us(self, requested_at_us: int) -> int:
        """Return the expiry at the holder, on its clock and counted from its request.

        Shortened by the drift, because on a slow clock the duration would last too long.
        """
        return requested_at_us + floor(self.duration_us * (1 - self.clock_drift))

    def grantor_expires_at_us(self, granted_at_us: int) -> int:
        """Return the expiry at the grantor, on its clock and counted from its answer.

        Lengthened by the drift, because on a fast clock the duration would end too soon.
        """
        return granted_at_us + self.grantor_duration_us

    @property
    def grantor_duration_us(self) -> int:
        """How long the grantor must treat the lease as held."""
        return ceil(self.duration_us * (1 + self.clock_drift))
