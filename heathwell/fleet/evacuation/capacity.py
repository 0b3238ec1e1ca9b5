"""What a zone's hosts bear, learned from their answers. Pure; nothing is sent to find it out.

What was borne is borne: the most parts a second that a zone answered in their usual time. Beyond that its
answers tell by growing slower: two servers with one queue, at a share `u` of what they can do, answer in `1 /
(1 - u ** 2)` of their idle time (M/M/2; hosts here have two cores). One core grows slow sooner, so that it is
taken to bear less than it does; more cores grow slow later, and a zone is never taken to bear more than
``BEYOND`` times what it does now.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from heathwell.fleet.evacuation.evidence import Seen

BEYOND = 4.0
LEAST = 20  # answers of a span that tell of a rate or a time
SOUND = 0.1  # loss up to which what a zone answers is borne
QUICK = 2.0  # times its idle time up to which an answer is in its usual time
FADE_US = 600_000_000  # in which the most that was borne fades by 1/e: hosts come and go
RISE = 0.02  # a look in which the idle time drifts up, so that one lucky span is not for ever


@dataclass(slots=True)
class _Zone:
    most: float = 0.0
    most_at: int = 0
    idle_ms: dict[str, float] = field(default_factory=dict)  # least mean time of an answer, by class
    rate: float = 0.0
    used: float = 0.0


class Capacity:
    """Of the zones that brokers tell of. ``span_us`` is what their sums are of."""

    def __init__(self, span_us: int) -> None:
        self._span = span_us
        self._zones: dict[str, _Zone] = {}

    def saw(self, now: int, zone: str, seen: dict[str, Seen]) -> None:
        """What all brokers together saw of one zone in the last span, by class."""
        state = self._zones.setdefault(zone, _Zone(most_at=now))
        total = sum(seen.values(), Seen())
        answered = total.good + total.late
        slow = work = 0.0
        for query_class, some in seen.items():
            count = some.good + some.late
            if count < LEAST or not some.took_ms:
                continue
            mean = some.took_ms / count
            idle = state.idle_ms.get(query_class)
            state.idle_ms[query_class] = mean if idle is None else min(mean, idle * (1 + RISE))
            slow += count * mean / state.idle_ms[query_class]
            work += count
        if answered < LEAST or not work:
            state.rate = state.used = 0.0
            return
        times = slow / work
        state.rate = answered * 1e6 / self._span
        state.used = math.sqrt(1 - 1 / times)
        if total.loss <= SOUND and times <= QUICK:
            faded = self._most(now, state)
            state.most, state.most_at = max(faded, state.rate), now

    @staticmethod
    def _most(now: int, state: _Zone) -> float:
        return state.most * (1 - min(1.0, (now - state.most_at) / FADE_US))

    def bears(self, now: int, zone: str) -> float:
        """Parts a second; 0 where nothing is known."""
        state = self._zones.get(zone)
        if state is None:
            return 0.0
        return max(self._most(now, state), state.rate / max(state.used, 1 / BEYOND))


class Load:
    """Parts a second that are asked of each zone. Attempts are no measure of it in trouble: one part is tried
    again and again. So it is what is answered while every zone is sound, and that from before while one is
    not.
    """

    def __init__(self, span_us: int) -> None:
        self._span = span_us
        self._usual: dict[tuple[str, str], float] = {}

    def now(self, seen: dict[tuple[str, str], Seen]) -> dict[tuple[str, str], float]:
        """By zone and class, from what all brokers together saw in the last span."""
        zones: dict[str, Seen] = {}
        for (zone, _), some in seen.items():
            zones[zone] = zones.get(zone, Seen()) + some
        answered = {key: (some.good + some.late) * 1e6 / self._span for key, some in seen.items()}
        if all(some.loss <= SOUND for some in zones.values()) or not self._usual:
            self._usual = answered
            return answered
        more = max(1.0, sum(answered.values()) / max(sum(self._usual.values()), 1e-9))
        return {key: rate * more for key, rate in self._usual.items()}
