"""Whether the fleet leaves a zone, how much of it, and how it comes back. Pure: words of brokers in,
decisions out.

A zone is left on the evidence of brokers of other zones that agree, each weighing what it saw, and only if
the zone itself is sick for them all: where some zones reach it well the way is sick, which brokers judge by
themselves. What the rest can't bear is not left: then a share, or the classes worth most, or nothing. Coming
back goes in steps.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from statistics import median_low

from heathwell.fleet.evacuation.evidence import PROBE, Seen, Summary

SERVED, DOUBTED, LEAVING, LEFT, RETURNING = "served", "doubted", "leaving", "left", "returning"

# What a state becomes when ... :
#   sick    most of the other zones' weight has it as sick      well    it has not
#   proved  it was sick for long enough                         gone    all that could be reached has left
#   rested  its least stay is over and probes are answered      step    the step did well for long enough
#   worse   a step of the return does worse                     back    the last step did well
#   leave, home: an operator's words
TABLE: dict[str, dict[str, str]] = {
    SERVED: {"sick": DOUBTED, "leave": LEAVING},
    DOUBTED: {"well": SERVED, "proved": LEAVING, "leave": LEAVING},
    LEAVING: {"gone": LEFT, "home": RETURNING},
    LEFT: {"rested": RETURNING, "home": RETURNING},
    RETURNING: {"worse": LEFT, "step": RETURNING, "back": SERVED, "leave": LEAVING},
}
STEPS = (0.02, 0.1, 0.3, 0.6, 1.0)  # shares of the zone's usual work that come back


@dataclass(frozen=True, slots=True)
class Figures:
    """``sick``: loss from which a broker's word counts against a zone; ``agree``: share of the weight of the
    other zones' brokers that must say so; times in us. ``room``: of the rest's capacity that may be used.
    """

    sick: float = 0.4
    agree: float = 0.6
    prove_us: int = 1_500_000
    gone_us: int = 1_500_000
    stay_us: int = 8_000_000
    stay_most_us: int = 120_000_000
    step_us: int = 3_000_000
    stale_us: int = 3_000_000
    calm_us: int = 60_000_000  # after which an earlier leave lengthens the next stay no more
    room: float = 0.9
    least: int = 10  # attempts, of all other zones' brokers, for a word on a zone
    probes: float = 0.8  # share of probes, or of a step's first tries, that must do well


@dataclass(frozen=True, slots=True)
class ZoneWord:
    """What all brokers are to do with a zone: serve it with a share of its usual first work (1: as ever, 0:
    not at all); ``only`` those classes leave it, where it is not all.
    """

    state: str
    share: float
    only: tuple[str, ...] = ()
    why: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """All zones that are not plainly served. Of two the greater (term, number) counts, whoever brings it."""

    term: int
    number: int
    zones: dict[str, ZoneWord] = field(default_factory=dict)

    def newer(self, other: Decision) -> bool:
        """Whether it goes before another."""
        return (self.term, self.number) > (other.term, other.number)


@dataclass(slots=True)
class _Zone:
    state: str = SERVED
    since_us: int = 0
    step: int = 0
    share: float = 1.0
    only: tuple[str, ...] = ()
    why: str = ""
    stay_us: int = 0
    left_us: int = -(10**15)
    pinned: str = ""  # an operator's word holds until the next


class Decider:
    """One run of the deciding keeper, under a term of its own. It begins from the decision that brokers go
    by.
    """

    def __init__(
        self, zones: list[str], figures: Figures, term: int, now: int, standing: Decision | None = None
    ) -> None:
        self.figures, self.term, self.number = figures, term, 0
        self.zones = {zone: _Zone(since_us=now, stay_us=figures.stay_us) for zone in zones}
        self.words: dict[str, tuple[int, Summary]] = {}
        self.load: dict[str, float] = {}  # parts a second that a zone's hosts answer, and the most they bear
        self.capacity: dict[str, float] = {}
        self.by_class: dict[tuple[str, str], float] = {}  # of the load, by zone and class
        self.worth: dict[str, float] = {}  # of a part, by class; none: all alike
        for name, word in (standing.zones if standing is not None else {}).items():
            if name in self.zones:
                zone = self.zones[name]
                zone.state, zone.share, zone.only, zone.why = word.state, word.share, word.only, word.why
                zone.left_us = now
                zone.step = next((n for n, share in enumerate(STEPS) if share >= word.share), 0)
        self.decision = Decision(term, 0, dict(standing.zones) if standing is not None else {})

    # What it hears.

    def heard(self, now: int, summary: Summary) -> None:
        """A broker's word; the last one counts, while it is fresh."""
        self.words[summary.broker] = now, summary

    def loads(
        self,
        load: dict[str, float],
        capacity: dict[str, float],
        by_class: dict[tuple[str, str], float] | None = None,
    ) -> None:
        """By zone, parts a second asked now and the most that its hosts bear; the former by class too, where
        known.
        """
        self.load, self.capacity, self.by_class = load, capacity, by_class or {}

    def order(self, now: int, zone: str, word: str, who: str, why: str) -> str:
        """An operator's: leave, return, pin (it stays as it is until unpin), unpin. What is wrong, or
        nothing.
        """
        state = self.zones.get(zone)
        if state is None:
            return f"no zone '{zone}'; there are {', '.join(sorted(self.zones))}"
        said = f"{who}: {why or 'no reason given'}"
        if word == "pin":
            state.pinned = said
        elif word == "unpin":
            state.pinned = ""
        elif word == "leave":
            state.share, state.only = 0.0, ()
            self._go(now, zone, "leave", said)
            state.pinned = said
        elif word == "return":
            state.pinned = ""
            self._go(now, zone, "home", said)
        else:
            return f"'{word}': leave, return, pin or unpin"
        self._publish()
        return ""

    # What it decides.

    def look(self, now: int) -> list[str]:
        """Now and then: what changed, in words."""
        fresh = now - self.figures.stale_us
        self.words = {broker: (at, word) for broker, (at, word) in self.words.items() if at > fresh}
        told = []
        for name, zone in self.zones.items():
            if not zone.pinned or zone.state == LEAVING:  # what an operator began is finished, too
                before = zone.state, zone.step
                self._look_at(now, name, zone)
                if (zone.state, zone.step) != before:
                    told.append(f"{name}: {before[0]} to {zone.state}: {zone.why}")
        if told:
            self._publish()
        return told

    def _publish(self) -> None:
        zones = {
            name: ZoneWord(zone.state, zone.share, zone.only, zone.why)
            for name, zone in self.zones.items()
            if zone.state not in (SERVED, DOUBTED)
        }
        if zones != self.decision.zones:
            self.number += 1
            self.decision = Decision(self.term, self.number, zones)

    def _go(self, now: int, name: str, event: str, why: str) -> None:
        zone = self.zones[name]
        after = TABLE[zone.state].get(event)
        if after is None:
            return
        if after == LEAVING:
            if event == "leave":
                zone.only = ()
            flaps = now - zone.left_us < self.figures.calm_us
            zone.stay_us = min(2 * zone.stay_us, self.figures.stay_most_us) if flaps else self.figures.stay_us
            zone.left_us = now
        if after == RETURNING and zone.state != RETURNING:
            zone.step, zone.share = 0, STEPS[0]  # where classes alone have left, they alone come back
        if after == SERVED:
            zone.share, zone.only = 1.0, ()
        if after == LEFT and zone.state == RETURNING:
            zone.share = 0.0
            zone.stay_us = min(2 * zone.stay_us, self.figures.stay_most_us)
        zone.state, zone.since_us, zone.why = after, now, why

    def _look_at(self, now: int, name: str, zone: _Zone) -> None:
        figures, age = self.figures, now - zone.since_us
        sick, why = self.sick(name)
        match zone.state:
            case "served" if sick:
                self._go(now, name, "sick", why)
            case "doubted" if not sick:
                self._go(now, name, "well", why)
            case "doubted" if age >= figures.prove_us:
                share, only, room = self._how_much(name)
                if share < 1 or only:
                    zone.share, zone.only = share, only
                    self._go(now, name, "proved", f"{why}; {room}")
                else:
                    zone.why = f"{why}; not left: {room}"
            case "leaving" if age >= figures.gone_us:
                self._go(now, name, "gone", zone.why)
            case "left" if age >= zone.stay_us and self._answers(name):
                self._go(now, name, "rested", f"left for {age / 1e6:.0f} s, probes are answered")
            case "returning":
                self._step(now, name, zone, age)

    def _step(self, now: int, name: str, zone: _Zone, age: int) -> None:
        seen = sum((self._from_outside(name, query_class)[0] for query_class in zone.only or (None,)), Seen())
        # Few attempts say little: what is lost must be beyond what chance brings.
        chance = 1.5 * math.sqrt(seen.loss * (1 - seen.loss) / seen.total) if seen.total else 0.0
        if seen.total >= self.figures.least and seen.loss - chance > 1 - self.figures.probes:
            if zone.step == 0:
                self._go(now, name, "worse", f"{seen.loss:.0%} of {seen.total} lost at the first step")
            else:
                zone.step, zone.since_us = zone.step - 1, now
                zone.share, zone.why = STEPS[zone.step], f"{seen.loss:.0%} lost: one step back"
        elif age >= self.figures.step_us and (
            seen.total >= self.figures.least or age >= 4 * self.figures.step_us
        ):
            if zone.step == len(STEPS) - 1:
                self._go(now, name, "back", f"{seen.loss:.0%} of {seen.total} lost at the last step")
            else:
                zone.step, zone.since_us = zone.step + 1, now
                zone.share, zone.why = STEPS[zone.step], f"step {zone.step + 1} of {len(STEPS)}"

    # The evidence, weighed.

    def _from_outside(self, name: str, query_class: str | None = None) -> tuple[Seen, dict[str, Seen]]:
        """What brokers of other zones saw of it, in all and by their zone."""
        by_zone: dict[str, Seen] = defaultdict(Seen)
        for word, seen in self._witnesses(name, query_class):
            by_zone[word.zone] = by_zone[word.zone] + seen
        return sum(by_zone.values(), Seen()), dict(by_zone)

    def _witnesses(self, name: str, query_class: str | None = None) -> list[tuple[Summary, Seen]]:
        """The words that count on a zone: of brokers of other zones. One that takes itself for cut off is
        heard only where those that don't see the same: of three zones two may be gone, and nobody is cut off.
        """
        words = [
            (
                word,
                sum(
                    (
                        some
                        for (zone, of), some in word.seen.items()
                        if zone == name and query_class in (None, of)
                    ),
                    Seen(),
                ),
            )
            for _, word in self.words.values()
            if word.zone != name
        ]
        sound = [(word, seen) for word, seen in words if not word.cut_off]
        return words if sum((seen for _, seen in sound), Seen()).loss >= self.figures.sick else sound

    def sick(self, name: str, query_class: str | None = None) -> tuple[bool, str]:
        """Whether the other zones agree that it is sick, and on what evidence."""
        seen, by_zone = self._from_outside(name, query_class)
        # Once doubted, a zone is not well for want of attempts: its hosts are ejected, and few go there any
        # more.
        least = self.figures.least if self.zones[name].state == SERVED else 1
        if seen.total < least:
            return False, f"{seen.total} attempts tell too little"
        # Brokers can lie, or share a sick way: both their weight and the zones must agree. What one says that
        # it saw is its own word as well, so that it counts for no more than the median of them, however loud
        # it is.
        words = self._witnesses(name, query_class)
        most = median_low([some.total for _, some in words if some.total])
        weights: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        for word, some in words:
            weights[word.zone][0] += min(some.total, most)
            weights[word.zone][1] += min(some.total, most) * (some.loss >= self.figures.sick)
        weight, against = (sum(row[n] for row in weights.values()) for n in (0, 1))
        zones = [zone for zone, some in by_zone.items() if some.total >= max(1, least // 2)]
        say = [zone for zone in zones if weights[zone][1] >= self.figures.agree * weights[zone][0]]
        agreed = against >= self.figures.agree * weight and len(say) == len(zones) > 0
        if not agreed and say:
            well = [zone for zone in zones if zone not in say]
            return False, f"sick from {', '.join(say)}, well from {', '.join(well)}: the way, not the zone"
        return agreed, f"{seen.loss:.0%} of {seen.total} lost from {len(zones)} zones"

    def _answers(self, name: str) -> bool:
        """Whether what little goes there is answered; without any word from outside its own
        brokers' counts.
        """
        seen, _ = self._from_outside(name)
        if seen.total:
            return seen.loss <= 1 - self.figures.probes
        own = [word for _, word in self.words.values() if word.zone == name]
        return bool(own) and not all(word.cut_off for word in own)

    def _how_much(self, name: str) -> tuple[float, tuple[str, ...], str]:
        """What is left there: the share that goes on, or the classes that leave, and why. Nobody is left
        without a holder: what only this zone holds goes on being asked there by those who decide for a query.
        """
        rest = [
            other
            for other, zone in self.zones.items()
            if other != name and zone.state in (SERVED, DOUBTED) and not self.sick(other)[0]
        ]
        capacity = sum(self.capacity.get(other, 0.0) for other in rest)
        load = sum(self.load.get(other, 0.0) for other in self.zones)
        if not rest:
            return 1.0, (), "no other zone is served"
        if not capacity:
            return 0.0, (), "the others' capacity is not known"
        # A class of which too little is seen is neither sick nor well: it goes with the zone.
        told = {
            query_class
            for _, word in self.words.values()
            for (zone, query_class) in word.seen
            if zone == name
            and query_class != PROBE
            and self._from_outside(name, query_class)[0].total >= self.figures.least
        }
        sick_classes = sorted(query_class for query_class in told if self.sick(name, query_class)[0])
        if sick_classes and set(sick_classes) < told:
            return 0.0, tuple(sick_classes), f"only {', '.join(sick_classes)} is sick there"
        room = self.figures.room * capacity
        if load <= room:
            return 0.0, (), f"the others bear {capacity:.0f} parts a second, {load:.0f} are asked"
        mine = max(self.load.get(name, 0.0), load - room, 1e-9)
        stays = min(1.0, (load - room) / mine)
        leave = self._worth_most(name, room - (load - mine))
        if leave:
            return (
                0.0,
                leave,
                f"{', '.join(leave)} alone: the others bear {capacity:.0f} parts a second of {load:.0f}",
            )
        if stays >= 0.95:
            return 1.0, (), f"the others bear {capacity:.0f} parts a second of {load:.0f}"
        return stays, (), f"{stays:.0%} stays: the others bear {capacity:.0f} parts a second of {load:.0f}"

    def _worth_most(self, name: str, spare: float) -> tuple[str, ...]:
        """The classes that the others can take over whole, by their worth; nothing where that is
        not known.
        """
        mine = {
            query_class: rate
            for (zone, query_class), rate in self.by_class.items()
            if zone == name and query_class in self.worth
        }
        taken: list[str] = []
        for query_class in sorted(mine, key=lambda query_class: (-self.worth[query_class], query_class)):
            if mine[query_class] <= spare:
                taken.append(query_class)
                spare -= mine[query_class]
        return tuple(sorted(taken)) if len(taken) < len(mine) else ()
