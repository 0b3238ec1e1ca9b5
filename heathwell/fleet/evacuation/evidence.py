"""What one broker saw of each zone lately, by class: bounded sums over a few spans, nothing decided about the
zone.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass

SPAN_US, SPANS = 500_000, 4  # what is said is of the last two seconds
CLASSES_MOST, ZONES_MOST = 32, 64
PROBE = "probe"  # what probes are told as, beside classes
GOOD, LATE, BAD, TOOK = "good", "late", "bad", "took"


@dataclass(frozen=True, slots=True)
class Seen:
    """Attempts of one class at one zone: ``good`` answered in their usual time, ``late`` out for long or
    answered late, ``bad`` silent, refused, broken or an error.
    """

    good: int = 0
    late: int = 0
    bad: int = 0
    took_ms: int = 0  # of those answered, summed

    @property
    def total(self) -> int:
        """All of them."""
        return self.good + self.late + self.bad

    def __add__(self, other: Seen) -> Seen:
        return Seen(
            self.good + other.good, self.late + other.late, self.bad + other.bad, self.took_ms + other.took_ms
        )

    @property
    def loss(self) -> float:
        """The share that came to nothing; a late one counts half."""
        return (self.bad + self.late / 2) / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class Summary:
    """A broker's word: by zone and class. ``cut_off``: it sees nearly nothing of any zone but perhaps its
    own, so that it is more likely cut off itself than all others sick.
    """

    broker: str
    zone: str
    seen: dict[tuple[str, str], Seen]
    cut_off: bool = False


class Evidence:
    """One broker's."""

    CUT_OFF = 0.8  # loss at every other zone from which a broker takes itself for cut off
    LEAST = 3  # attempts at a zone for it to count there

    def __init__(self, broker: str, zone: str) -> None:
        self.broker, self.zone = broker, zone
        self._spans: deque[tuple[int, dict[tuple[str, str], dict[str, int]]]] = deque(maxlen=SPANS)

    def ended(self, now: int, zone: str, query_class: str, how: str, took_us: int = 0) -> None:
        """An attempt at a zone's host ended, or is late by now: ``good``, ``late`` or ``bad``; it took so
        long.
        """
        span = now // SPAN_US
        if not self._spans or self._spans[-1][0] != span:
            self._spans.append((span, {}))
        sums = self._spans[-1][1]
        if (zone, query_class) not in sums and len(sums) >= CLASSES_MOST * ZONES_MOST:
            return
        row = sums.setdefault((zone, query_class), defaultdict(int))
        row[how] += 1
        row[TOOK] += took_us

    def summary(self, now: int) -> Summary:
        """What it saw in the last spans."""
        first, seen = now // SPAN_US - SPANS, dict[tuple[str, str], Seen]()
        for span, sums in self._spans:
            if span > first:
                for key, hows in sums.items():
                    seen[key] = seen.get(key, Seen()) + Seen(
                        hows.get(GOOD, 0), hows.get(LATE, 0), hows.get(BAD, 0), hows.get(TOOK, 0) // 1000
                    )
        zones = defaultdict[str, Seen](Seen)
        for (zone, _), some in seen.items():
            zones[zone] = zones[zone] + some
        others = [some for zone, some in zones.items() if zone != self.zone and some.total >= self.LEAST]
        cut_off = bool(others) and all(some.loss >= self.CUT_OFF for some in others)
        if cut_off and len(others) == 1 and zones[self.zone].loss < 0.5:
            cut_off = False  # of two zones the other may be the sick one: its own brokers' words tell
        return Summary(self.broker, self.zone, seen, cut_off)
