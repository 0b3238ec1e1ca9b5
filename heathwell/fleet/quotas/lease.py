"""The arithmetic of a lease between two clocks of bounded drift (Gray and Cheriton, SOSP 1989).

Job: when each side of a lease must count it as expired. Owns no state. May import the standard library only.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, floor


@dataclass(frozen=True, slots=True)
class Lease:
    """``duration_us`` is true time; each side counts it on its own clock, with an origin of its own.
    ``clock_drift`` bounds, as a fraction, how much too fast or too slow either clock may run.
    """

    duration_us: int = 3_000_000
    clock_drift: float = 0.03

    def holder_expires_at_us(self, requested_at_us: int) -> int:
        """The holder's end, on the clock of its request. Shorter by the drift, as a slow clock would let the
        counted time last too long.
        """
        return requested_at_us + floor(self.duration_us * (1 - self.clock_drift))

    def grantor_expires_at_us(self, granted_at_us: int) -> int:
        """The grantor's end, on the clock of its answer. Longer by the drift, as a fast clock would let the
        counted time end too soon.
        """
        return granted_at_us + self.grantor_duration_us

    @property
    def grantor_duration_us(self) -> int:
        """How long the grantor must count the lease as held."""
        return ceil(self.duration_us * (1 + self.clock_drift))
