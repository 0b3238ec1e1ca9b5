"""A leaf's capacity: its increase after a cold start, and overload, which makes a cold leaf unresponsive."""

from __future__ import annotations

from collections import deque

from heathwell.eventloop import Loop
from heathwell.settings import ServiceSettings


class LeafCapacity:
    """Computes the current capacity and detects overload while the leaf warms up."""

    def __init__(self, loop: Loop, service_settings: ServiceSettings, speed: float) -> None:
        self._loop = loop
        self._rules = service_settings.rules
        self.speed = speed
        self.full_rate = service_settings.leaf.slots * speed
        """Seconds of work per second that the leaf does at full capacity."""
        self.cold_since_us = 0
        self.is_overloaded = False
        self._recent_work: deque[tuple[int, float]] = deque()
        self._recent_work_us = 0.0

    def start(self, *, warm: bool) -> None:
        """Begin at full capacity where ``warm``, else at the capacity of a cold start."""
        self.cold_since_us = 0 if warm else self._loop.now()
        self.is_overloaded = False
        self._recent_work.clear()
        self._recent_work_us = 0.0

    def age_us(self) -> int:
        """Return the time since the cold start; -1, the value on the wire, for a leaf that started warm."""
        return self._loop.now() - self.cold_since_us if self.cold_since_us else -1

    def available_fraction(self) -> float:
        """Return the fraction of full capacity that is available now."""
        rules = self._rules
        if not self.cold_since_us or not rules.warm_within:
            return 1.0
        age = (self._loop.now() - self.cold_since_us) / rules.warm_within
        return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age)

    def record_arrival(self, work_us: float) -> float | None:
        """Count arriving work against the most that a leaf bears while it warms up.

        Return the ratio of recent work to that limit where this arrival overloads the leaf, else None.
        """
        rules = self._rules
        if not rules.fall_after or self.available_fraction() >= 1.0:
            return None
        now_us = self._loop.now()
        self._recent_work.append((now_us, work_us))
        self._recent_work_us += work_us
        while self._recent_work and self._recent_work[0][0] <= now_us - rules.fall_after:
            self._recent_work_us -= self._recent_work.popleft()[1]
        limit_us = rules.fall_multiple * self.full_rate * self.available_fraction() * rules.fall_after
        if self._recent_work_us <= limit_us or self.is_overloaded:
            return None
        self.is_overloaded = True
        return self._recent_work_us / limit_us
