"""When to come back: a calendar of what the hosts can take, so that those who heed it return flat. Pure."""

from __future__ import annotations

import random

SLOT_US = 100_000
FILL = 0.8  # of a slot's room that is given away: the rest is for those who come for the first time


class Calendar:
    """Bookings of work over the time ahead, up to ``ahead_us``."""

    def __init__(self, ahead_us: int, seed: int) -> None:
        self.slots = max(2, ahead_us // SLOT_US)
        self.random = random.Random(seed)
        self.booked: dict[int, float] = {}
        self._from = 0  # slots before it are known to be full or past

    def book(self, now: int, cost: float, rate: float, least_us: int, most_us: int) -> int:
        """Microseconds from now at which work of that cost may come: the first slot with room at ``rate``
        (cost a microsecond), not before ``least_us``, drawn within it. Where none is free before ``most_us``
        it is any time of the later half, unbooked: later than that the client has no use for it.
        """
        first, here = (now + least_us) // SLOT_US + 1, now // SLOT_US
        for past in [slot for slot in self.booked if slot < here]:
            del self.booked[past]
        room = rate * SLOT_US * FILL
        slot, last = first, (now + most_us) // SLOT_US
        if least_us <= SLOT_US:
            slot = max(slot, min(self._from, last))
        while slot < last:
            used = self.booked.get(slot, 0.0)
            if used + cost <= room or not used:
                self.booked[slot] = used + cost
                if least_us <= SLOT_US:
                    self._from = slot
                return slot * SLOT_US - now + self.random.randrange(SLOT_US)
            slot += 1
        return max(least_us, int(most_us * self.random.uniform(0.5, 1.0)))
