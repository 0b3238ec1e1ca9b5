"""Schedules when rejected clients may retry, so that retries arrive evenly and within capacity."""

from __future__ import annotations

import random

SLOT_US = 100_000
RETRY_FRACTION = 0.8  # The fraction of a slot's capacity that is booked; the rest is for first attempts.
LATE_RETRY_RANGE = (0.5, 1.0)  # The delay if no slot is free, as fractions of the longest delay.


class RetrySchedule:
    """Bookings of work in future time slots."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._booked_cost_by_slot: dict[int, float] = {}
        self._first_open_slot = 0

    def book(
        self, now_us: int, cost: float, rate_per_us: float, shortest_delay_us: int, longest_delay_us: int
    ) -> int:
        """Book work in the first slot with free capacity, and return the delay (us) to a random time in it.

        ``rate_per_us`` is the cost that may arrive in a microsecond. If no slot before ``longest_delay_us``
        is free, the delay is drawn from the later half of that time and nothing is booked.
        """
        self._drop_past_slots(now_us // SLOT_US)
        slot = (now_us + shortest_delay_us) // SLOT_US + 1
        last_slot = (now_us + longest_delay_us) // SLOT_US
        may_skip_full_slots = shortest_delay_us <= SLOT_US
        if may_skip_full_slots:
            slot = max(slot, min(self._first_open_slot, last_slot))
        slot_capacity = rate_per_us * SLOT_US * RETRY_FRACTION
        while slot < last_slot:
            booked_cost = self._booked_cost_by_slot.get(slot, 0.0)
            if booked_cost + cost <= slot_capacity or not booked_cost:
                self._booked_cost_by_slot[slot] = booked_cost + cost
                if may_skip_full_slots:
                    self._first_open_slot = slot
                return slot * SLOT_US - now_us + self._random.randrange(SLOT_US)
            slot += 1
        return max(shortest_delay_us, int(longest_delay_us * self._random.uniform(*LATE_RETRY_RANGE)))

    def _drop_past_slots(self, current_slot: int) -> None:
        for past in [slot for slot in self._booked_cost_by_slot if slot < current_slot]:
            del self._booked_cost_by_slot[past]
