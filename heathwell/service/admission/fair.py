"""Fair sharing of the hosts between fronts, by the cost of work. Pure: events in, what may go out.

Start-time fair queueing (Goyal, Vin, Cheng 1996) over one window of work that is out: a front that asks for
less than its share goes at once, whatever the others do; what a front leaves unused the others may borrow,
and give back as their work ends. Work waits only while it can still be worth it: what would wait longer than
its patience is refused at once, with advice, and what has waited longer all the same is refused the moment
that is known.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from heathwell.service.admission.window import Window

GO, WAIT, REFUSE = "go", "wait", "refuse"
STAY_GAIN = 0.05
QUEUE_MOST = 10_000  # waiting entries a front


@dataclass(slots=True)
class _Entry:
    front: str
    cost: float
    patience_until: int
    out: bool = False
    gone_at: int = 0


@dataclass(slots=True)
class _Front:
    weight: float
    queue: deque[str] = field(default_factory=deque)  # may still name what has gone from the entries
    ends: list[tuple[int, str]] = field(default_factory=list)  # a heap of when patience runs out
    count: int = 0
    finish: float = 0.0
    out: float = 0.0
    waiting: float = 0.0
    refused: int = 0


class FairGate:
    """Work by id: :meth:`offer` it, tell its end by :meth:`ended`, ask :meth:`ready` what may go and what
    gave up.
    """

    def __init__(self, weights: Mapping[str, float], window: Window, seed: int) -> None:
        self.fronts = {name: _Front(weight) for name, weight in weights.items()}
        self.window = window
        self.random = random.Random(seed)
        self.entries: dict[str, _Entry] = {}
        self.out = 0.0
        self.virtual = 0.0
        self.stay = 0.0  # usual time from going out to the end

    @property
    def waiting(self) -> bool:
        """Whether anything waits for its turn."""
        return any(lane.count for lane in self.fronts.values())

    def offer(self, now: int, front: str, ident: str, cost: float, patience_us: int) -> str:
        """New work: :data:`GO` now, :data:`WAIT`, or :data:`REFUSE` as it would wait past its patience."""
        lane = self.fronts[front]
        entry = _Entry(front, cost, now + patience_us)
        if not lane.count and self._fits(lane, cost):
            self.entries[ident] = entry
            self._go(now, entry, lane)
            return GO
        if lane.count >= QUEUE_MOST or self.expected_wait(now, front) > patience_us:
            lane.refused += 1
            return REFUSE
        self.entries[ident] = entry
        lane.queue.append(ident)
        heapq.heappush(lane.ends, (entry.patience_until, ident))
        lane.count += 1
        lane.waiting += cost
        return WAIT

    def _share(self, lane: _Front) -> float:
        """The part of the window that is a front's own, whoever else is there."""
        return self.window.size * lane.weight / sum(other.weight for other in self.fronts.values())

    def _fits(self, lane: _Front, cost: float) -> bool:
        if lane.out + cost <= self._share(lane) or not lane.out:
            return True
        # Borrowed room ends where another's half begins: it must not have to wait to get going.
        kept = sum(
            max(0.0, self._share(other) / 2 - other.out)
            for other in self.fronts.values()
            if other is not lane
        )
        return self.out + cost <= self.window.size - kept

    def _go(self, now: int, entry: _Entry, lane: _Front) -> None:
        entry.gone_at = now
        self.virtual = max(self.virtual, lane.finish)
        lane.finish = self.virtual + entry.cost / lane.weight
        entry.out = True
        lane.out += entry.cost
        self.out += entry.cost

    def expected_wait(self, now: int, front: str) -> float:
        """How long work offered now would wait (us): what is ahead of it over the pace at which its front
        gets through.

        By Little's law the window turns over once in the time that work spends in it; a front has its share
        of that, or what the others leave. Before anything has ended nothing is known, and nothing is refused.
        """
        lane = self.fronts[front]
        room = max(self._share(lane), self.window.size - (self.out - lane.out))
        return lane.waiting / room * self.stay

    def ended(self, now: int, ident: str) -> None:
        """Work has ended, or its client left: its place is free. Unknown ids are let pass."""
        entry = self.entries.pop(ident, None)
        if entry is None:
            return
        lane = self.fronts[entry.front]
        if not entry.out:
            lane.count -= 1
            lane.waiting -= entry.cost
            return
        lane.out -= entry.cost
        self.out -= entry.cost
        self.stay += (now - entry.gone_at - self.stay) * (STAY_GAIN if self.stay else 1.0)
        self.window.released(entry.cost, self.waiting)

    def ready(self, now: int) -> tuple[list[str], list[str]]:
        """What may go now, by fair turns, and what has run out of patience."""
        gone: list[str] = []
        late: list[str] = []
        while True:
            heads = []
            for lane in self.fronts.values():
                late += self._late(now, lane)
                while lane.queue and not self._waits(lane.queue[0]):
                    lane.queue.popleft()
                if lane.queue and self._fits(lane, self.entries[lane.queue[0]].cost):
                    heads.append((max(self.virtual, lane.finish), self.random.random(), lane))
            if not heads:
                return gone, late
            lane = min(heads, key=lambda head: head[:2])[2]
            ident = lane.queue.popleft()
            entry = self.entries[ident]
            lane.waiting -= entry.cost
            lane.count -= 1
            self._go(now, entry, lane)
            gone.append(ident)

    def _waits(self, ident: str) -> bool:
        entry = self.entries.get(ident)
        return entry is not None and not entry.out

    def _late(self, now: int, lane: _Front) -> list[str]:
        """What has run out of patience, wherever it stands in its queue."""
        late = []
        while lane.ends and (lane.ends[0][0] <= now or not self._waits(lane.ends[0][1])):
            ident = heapq.heappop(lane.ends)[1]
            if self._waits(ident):
                lane.waiting -= self.entries.pop(ident).cost
                lane.count -= 1
                lane.refused += 1
                late.append(ident)
        return late

    def next_look(self) -> int | None:
        """When patience next runs out, if anything waits (us)."""
        ends = [end for lane in self.fronts.values() for end in lane.ends[:1]]
        return min(ends)[0] if ends else None

    def advice(self, now: int, front: str, most_us: int) -> int:
        """When a refused client may come back: after about what waits now, spread."""
        return int(
            min(max(self.expected_wait(now, front), most_us / 4), most_us) * self.random.uniform(0.5, 1.0)
        )
