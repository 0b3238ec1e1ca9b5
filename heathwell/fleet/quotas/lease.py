"""A lease's arithmetic between two clocks that run at most ``drift`` too fast or too slow (Gray, Cheriton,
1989).
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, floor


@dataclass(frozen=True, slots=True)
class Lease:
    """``length_us`` is true time; each side counts on its own clock, whose zero is its own."""

    length_us: int = 3_000_000
    drift: float = 0.03

    def holds_until(self, asked_us: int) -> int:
        """The holder's end, on the clock by which it asked. A slow clock lets the counted time last
        longer.
        """
        return asked_us + floor(self.length_us * (1 - self.drift))

    def given_until(self, answered_us: int) -> int:
        """The giver's end, on the clock by which it answered. A fast clock lets the counted time last
        shorter.
        """
        return answered_us + ceil(self.length_us * (1 + self.drift))
