"""A drill: a healthy zone is left and come back to on purpose, and what it cost is told. Pure; looks in,
words out.

The fleet's own decider does the leaving and the return; the drill says when, counts what is lost elsewhere
meanwhile, and calls it off at once where that is more than it may be.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.fleet.evacuation.decider import LEFT, RETURNING, SERVED
from heathwell.fleet.evacuation.evidence import Seen

BEFORE, LEAVING, AWAY, COMING, AFTER, OVER = "before", "leaving", "away", "returning", "after", "over"
# What follows each stage, and the word that the decider is given as it ends.
NEXT: dict[str, tuple[str, str]] = {
    BEFORE: (LEAVING, "leave"),
    LEAVING: (AWAY, ""),
    AWAY: (COMING, "return"),
    COMING: (AFTER, ""),
    AFTER: (OVER, ""),
}
CALM_US = 5_000_000  # before and after: what is usual
LEAST = 10  # attempts of a look for its loss to count
LOOKS = 3  # in a row with too much lost before a drill is called off
LONG_US = 120_000_000  # for the decider to leave, or to come back


@dataclass(slots=True)
class Stage:
    """One stage's sums: attempts elsewhere and at the zone, by class; ``worst`` is the greatest loss of one
    look.
    """

    name: str
    began_us: int
    lasted_us: int = 0
    elsewhere: dict[str, Seen] = field(default_factory=dict)
    there: dict[str, Seen] = field(default_factory=dict)
    worst: float = 0.0


class Drill:
    """``hold_us`` away; ``most`` is what may be lost elsewhere beyond the usual (a share) before it is called
    off.
    """

    def __init__(self, zone: str, now: int, hold_us: int, most: float) -> None:
        self.zone, self.hold_us, self.most = zone, hold_us, most
        self.stages = [Stage(BEFORE, now)]
        self.why = ""  # it was called off
        self._bad = 0

    @property
    def stage(self) -> str:
        """Where it stands."""
        return self.stages[-1].name

    def look(self, now: int, state: str, seen: dict[tuple[str, str], Seen]) -> str:
        """How the zone stands and what all brokers saw since the last look; the word to be given now, or
        nothing.
        """
        now_in = self.stages[-1]
        now_in.lasted_us = now - now_in.began_us
        elsewhere = Seen()
        for (zone, query_class), some in seen.items():
            sums = now_in.there if zone == self.zone else now_in.elsewhere
            sums[query_class] = sums.get(query_class, Seen()) + some
            elsewhere = elsewhere + (some if zone != self.zone else Seen())
        if elsewhere.total >= LEAST:
            now_in.worst = max(now_in.worst, elsewhere.loss)
            self._bad = self._bad + 1 if elsewhere.loss > self._usual() + self.most else 0
        if now_in.name in (LEAVING, AWAY) and (why := self._called_off(now_in)):
            self.why = why
            self.stages.append(Stage(COMING, now))
            return "return"
        if self._ended(now_in, state):
            name, word = NEXT[now_in.name]
            self.stages.append(Stage(name, now))
            return word
        return ""

    def _usual(self) -> float:
        return sum(self.stages[0].elsewhere.values(), Seen()).loss

    def _called_off(self, stage: Stage) -> str:
        if self._bad >= LOOKS:
            return f"over {self.most:.0%} more than usual is lost elsewhere"
        if stage.name == LEAVING and stage.lasted_us >= LONG_US:
            return "the zone is not left"
        return ""

    def _ended(self, stage: Stage, state: str) -> bool:
        match stage.name:
            case "before" | "after":
                return stage.lasted_us >= CALM_US
            case "leaving":
                return state == LEFT
            case "away":
                return stage.lasted_us >= self.hold_us
            case "returning":
                return state == SERVED or state != RETURNING and stage.lasted_us >= LONG_US
        return False

    def report(self) -> list[dict[str, object]]:
        """A row a stage: seconds, parts a second and loss at the zone and elsewhere, elsewhere by class."""
        rows: list[dict[str, object]] = []
        for stage in self.stages[:-1] if self.stage == OVER else self.stages:
            there, rest = sum(stage.there.values(), Seen()), sum(stage.elsewhere.values(), Seen())
            seconds = max(stage.lasted_us, 1) / 1e6
            rows.append(
                {
                    "stage": stage.name,
                    "seconds": round(seconds, 1),
                    "there_a_second": round(there.total / seconds, 1),
                    "elsewhere_a_second": round(rest.total / seconds, 1),
                    "lost_elsewhere": round(rest.loss, 4),
                    "worst_look": round(stage.worst, 4),
                    "lost_by_class": {
                        query_class: round(some.loss, 4)
                        for query_class, some in sorted(stage.elsewhere.items())
                    },
                }
            )
        return rows
