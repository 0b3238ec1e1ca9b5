"""Storms as one broker sees them: repeats, connects, refusals; what is let in while one lasts. Pure.

- *calm*: nothing is held back; advice comes from the calendar all the same.
- *building*, when repeats that no advice sent make ``BUILDING_SHARE`` of the asks, or connects come at many
times the
  usual rate: connects are taken by their budget.
- *storm*, when they make ``STORM_SHARE`` and queries are being refused, for ``SURE_TICKS``: what reaches the
module in
  a second is held to what hosts have been seen to answer; who heeded advice goes first, then first tries, and
  who
  ignored it last.
- *draining*, when their share is down: as in a storm, at a rate that grows while answers come in their aim.

The line to the module: this decides by who asks and when, and never looks at a host; what it lets in the
module sheds by its own estimates as ever. In calm it lets everything in. A process that has just started is
draining: it can't know.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from heathwell.service.retry_storms.advice import Calendar
from heathwell.service.retry_storms.sketch import Recent, Sketch, hashed

CALM, BUILDING, STORM, DRAINING = "calm", "building", "storm", "draining"
FIRST, HEEDED, EARLY, AGAIN = "first", "heeded", "early", "again"

TICK_US = 250_000
WINDOW_TICKS = 4
ASKS_TELL = 10  # asks within the window from which a share says something
BUILDING_SHARE, STORM_SHARE, LOW_SHARE = 0.15, 0.3, 0.1
REFUSED_TELLS = 0.1
SURE_TICKS, LOW_TICKS, CALM_TICKS = 2, 4, 12
CONNECTS_TIMES, CONNECTS_LEAST = 5.0, 20.0  # times the usual rate, above so many a second
USUAL_GAIN = 0.02
SLACK = 0.1  # of the advised time by which a client may be early: clocks and sleeps are rough
HEADROOM = 1.2  # over what hosts were seen to answer: else the rate could never be found to be higher
GROW = 1.25  # a tick, while draining and what is let in is answered in its aim
GOOD_SHARE = 0.9
RATE_MOST = 4.0  # times what is known that the rate grows to while all goes well
FLOOR = 0.25  # of what is known, or of the rate at the start, below which the rate does not fall
CAPACITY_KEPT = 0.999  # a tick: what was once answered is believed for minutes
FIRST_TRIES_LEAVE, EARLY_LEAVE = 0.3, 0.8  # share of the budget that must be left for them to be let in
PENALTY_MOST = 8.0
KEPT = 100_000  # promises and asks remembered


@dataclass(frozen=True, slots=True)
class Limits:
    """Figures from settings: ``useful_us``: later advice is no use to a client; ``repeat_us``: spacing within
    which the same question of the same client is a repeat; ``accepts`` and ``first_accepts`` connects a
    second (0: no bound), once open and just after the start; ``first_rate`` work (us a second) let in just
    after the start (0: no bound).
    """

    useful_us: int = 8_000_000
    repeat_us: int = 3_000_000
    accepts: float = 0.0
    first_accepts: float = 0.0
    first_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a query goes on to the module, what kind of ask it is, and else when it may come back."""

    admit: bool
    kind: str
    after_us: int = 0


@dataclass(slots=True)
class _Tick:
    asks: int = 0
    repeats: int = 0
    refused: int = 0
    connects: int = 0
    answered: float = 0.0
    good: int = 0
    ended: int = 0


class Storms:
    """One broker's. Times in microseconds, work in microseconds of hosts' time."""

    def __init__(self, limits: Limits, now: int, seed: int) -> None:
        self.limits, self.random = limits, random.Random(seed)
        self.calendar = Calendar(limits.useful_us, seed ^ 0xCA1)
        self.promised: Recent[int] = Recent(2 * limits.useful_us, KEPT)
        self.asked_lately: Recent[int] = Recent(limits.repeat_us, KEPT)
        self.ignored = Sketch(4 * limits.useful_us)
        self.state = DRAINING if limits.first_rate else CALM
        self.since, self.evidence = now, "just started" if limits.first_rate else ""
        self.capacity = 0.0  # work answered in a second at best
        self.rate = limits.first_rate  # work let in a second while not calm
        self.budget = self.rate * 0.5
        self.room = 1.0
        self.usual_connects = 0.0
        self.opened = now
        self._accepts = limits.first_accepts
        self._accept_tokens = limits.first_accepts * 0.25
        self._accept_at = self._refilled = now
        self._ticks: deque[_Tick] = deque([_Tick()], WINDOW_TICKS)
        self._sure = self._low = 0
        self._news: list[tuple[str, str]] = []

    # Connections

    def accept_wait(self, now: int) -> int:
        """Microseconds until the next connection may be taken; 0: now."""
        most = (
            self._accepts
            if now < self.opened + self.limits.useful_us or self.state != CALM
            else self.limits.accepts
        )
        if most > 0:
            self._accept_tokens = min(
                most * 0.25 + 1, self._accept_tokens + (now - self._accept_at) * most / 1e6
            )
            self._accept_at = now
            if self._accept_tokens < 1:
                return int((1 - self._accept_tokens) / most * 1e6) + 1
        return 0

    def accepted(self) -> None:
        """A connection was taken."""
        self._accept_tokens -= 1
        self._ticks[-1].connects += 1

    # Queries

    def asked(self, now: int, client: str, key: str, cost: float) -> Verdict:
        """A query has come, of a client (address and subject), before the module sees it."""
        tick, who = self._ticks[-1], hashed(client, key)
        kind = self._kind(now, who, client)
        tick.asks += 1
        tick.repeats += kind in (EARLY, AGAIN)
        self.asked_lately.put(who, now, now)
        if self.state in (CALM, BUILDING):
            return Verdict(True, kind)
        self._refill(now)
        leave = {HEEDED: 0.0, FIRST: FIRST_TRIES_LEAVE, AGAIN: FIRST_TRIES_LEAVE, EARLY: EARLY_LEAVE}[kind]
        if self.budget - cost >= leave * self.rate * 0.25 or (
            kind != EARLY and self.budget >= self.rate * 0.25
        ):
            self.budget -= cost
            return Verdict(True, kind)
        return Verdict(False, kind, self.advise(now, client, key, cost))

    def _kind(self, now: int, who: int, client: str) -> str:
        due = self.promised.get(who, now)
        if due is not None and due > 0:
            if now < due:
                self.ignored.add(hashed(client), now)
                return EARLY
            self.promised.put(who, 0, now)  # kept once
            return HEEDED
        last = self.asked_lately.get(who, now)
        return FIRST if last is None or now - last > self.limits.repeat_us else AGAIN

    def _refill(self, now: int) -> None:
        self.budget = min(self.rate * 0.25, self.budget + (now - self._refilled) * self.rate / 1e6)
        self._refilled = now

    def advise(self, now: int, client: str, key: str, cost: float) -> int:
        """When a refused client may come back, remembered as a promise; longer for those who ignored it
        before.
        """
        self._ticks[-1].refused += 1
        penalty = min(self.ignored.count(hashed(client), now), PENALTY_MOST)
        most = self.limits.useful_us
        least = int(min(most * 0.75, TICK_US * penalty * (1 + penalty)))
        after = self.calendar.book(now, cost, max(self.rate, self.capacity * self.room) / 1e6, least, most)
        self.promised.put(hashed(client, key), now + int(after * (1 - SLACK)), now)
        return after

    def ended(self, now: int, cost: float, answered: bool, in_aim: bool) -> None:
        """A query that was let in got its final answer."""
        tick = self._ticks[-1]
        tick.ended += 1
        tick.good += answered and in_aim
        tick.answered += cost if answered else 0.0

    # State

    def tick(self, now: int, room: float) -> list[tuple[str, str]]:
        """To be called each :data:`TICK_US`; ``room``: the share of the hosts' work that cold starts and
        losses leave.

        Returns changes of state with their evidence.
        """
        self.room = room
        window = list(self._ticks)
        seconds = len(window) * TICK_US / 1e6
        answered = sum(t.answered for t in window) / seconds
        self.capacity = max(self.capacity * CAPACITY_KEPT, answered / max(room, 0.05) if room > 0.5 else 0.0)
        connects = sum(t.connects for t in window) / seconds
        self._judge(now, window, connects)
        self._pace(window)
        if self._accepts:
            self._accepts = min(self._accepts * GROW, self.limits.accepts or self._accepts * GROW)
        if self.state == CALM:
            self.usual_connects += (connects - self.usual_connects) * USUAL_GAIN
        self._ticks.append(_Tick())
        news, self._news = self._news, []
        return news

    def _judge(self, now: int, window: list[_Tick], connects: float) -> None:
        asks, repeats = sum(t.asks for t in window), sum(t.repeats for t in window)
        refused = sum(t.refused for t in window)
        share = repeats / asks if asks >= ASKS_TELL else 0.0
        rush = connects > max(CONNECTS_LEAST, CONNECTS_TIMES * self.usual_connects)
        many = share >= STORM_SHARE and refused >= REFUSED_TELLS * asks
        text = (
            f"{share:.0%} of {asks} asks a second are repeats that no advice sent, {refused} refused, "
            f"{connects:.0f} connects a second, {self.usual_connects:.0f} usual"
        )
        self._sure = self._sure + 1 if many else 0
        self._low = self._low + 1 if share < LOW_SHARE and not rush else 0
        if self.state in (CALM, BUILDING) and self._sure >= SURE_TICKS:
            # What hosts are known to do, at the share of it that they can do now.
            self.rate = max(self.capacity * self.room * HEADROOM, self.limits.first_rate)
            self.budget, self._refilled = 0.0, now
            self._to(now, STORM, text)
        elif self.state == CALM and (share >= BUILDING_SHARE or rush):
            self._to(now, BUILDING, text)
        elif self.state == BUILDING and self._low >= LOW_TICKS:
            self._to(now, CALM, text)
        elif self.state == STORM and self._low >= LOW_TICKS:
            self._to(now, DRAINING, text)
        elif self.state == DRAINING and self._sure >= SURE_TICKS:
            self._to(now, STORM, text)
        elif self.state == DRAINING and self._low >= CALM_TICKS and refused <= REFUSED_TELLS * max(asks, 1):
            self._to(now, CALM, text)

    def _pace(self, window: list[_Tick]) -> None:
        """While not calm: the rate grows while what is let in is answered in its aim, and follows what hosts
        do.
        """
        if self.state not in (STORM, DRAINING):
            return
        ended, good = sum(t.ended for t in window), sum(t.good for t in window)
        known = self.capacity * self.room * HEADROOM
        if ended and good >= GOOD_SHARE * ended:
            # In a storm too: held to what was answered so far, it would itself keep the storm's refusals
            # going.
            self.rate = min(self.rate * GROW, max(known, self.limits.first_rate) * RATE_MOST)
        elif ended and good < 0.5 * ended:
            # Never to nothing: without answers there would be nothing to grow by again.
            self.rate = max(self.rate * 0.8, max(known, self.limits.first_rate) * FLOOR)

    def _to(self, now: int, state: str, evidence: str) -> None:
        self._news.append((state, evidence))
        self.state, self.since, self.evidence = state, now, evidence
        self._sure = self._low = 0
