"""The course of one change: a table of states, kept so that it can go on after any step.

What is to be is a wish for each broker; what is, brokers say. So a controller that dies between any two steps
and begins again from its last record repeats no effect: the same wishes come out. A record is written before
what follows from it is done, and wishes carry (term, number), of which a machine never takes an older one
after a newer one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from heathwell.fleet.rollout.judge import FINE, TOO_LITTLE, TROUBLED, WORSE, Judge, Limits, Ruling, Window
from heathwell.fleet.rollout.plan import Plan, chosen, next_batch

PLANNED, CHECKING, STAGING, JUDGING, HELD, UNDOING, DONE, UNDONE = (
    "planned",
    "checking",
    "staging",
    "judging",
    "held",
    "undoing",
    "done",
    "undone",
)

# What a state becomes when ... (any other event changes nothing):
#   began    the controller took it up            sound    the new version passed its checks, "unsound" if not
#   staged   all of the stage run it              passed   the stage may end; last: it was the last one
#   worse    it does worse, or could not be done  unsure   nothing can be said, or both sides are in trouble
#   calm     trouble on both sides is over        hold, resume, undo: an operator's
#   back     all brokers run the old one again
TABLE: dict[str, dict[str, str]] = {
    PLANNED: {"began": CHECKING, "undo": UNDONE},
    CHECKING: {"sound": STAGING, "unsound": UNDONE, "hold": HELD, "undo": UNDONE},
    STAGING: {"staged": JUDGING, "worse": UNDOING, "unsure": HELD, "hold": HELD, "undo": UNDOING},
    JUDGING: {
        "passed": STAGING,
        "last": DONE,
        "worse": UNDOING,
        "unsure": HELD,
        "hold": HELD,
        "undo": UNDOING,
    },
    HELD: {"worse": UNDOING, "calm": STAGING, "resume": STAGING, "undo": UNDOING},
    UNDOING: {"back": UNDONE},
    DONE: {"undo": UNDOING},
    UNDONE: {},
}
ENDED = (DONE, UNDONE)
AGAIN = "~"  # behind a version's name: started once more, so that its end has been seen before many run it


@dataclass(frozen=True, slots=True)
class Step:
    """A change of state, for the record and the log."""

    before: str
    after: str
    why: str
    stage: int
    number: int


@dataclass(slots=True)
class Course:
    """One change. ``zones`` are the brokers with their zones as it began; ``term`` is the controller's,
    ``number`` grows with each step. ``by_trouble``: held as both sides were in trouble, to go on by itself.
    """

    id: str
    old: str
    new: str
    zones: dict[str, str]
    plan: Plan = field(default_factory=Plan)
    limits: Limits = field(default_factory=Limits)
    window_us: int = 2_000_000
    state: str = PLANNED
    stage: int = 0
    term: int = 0
    number: int = 0
    why: str = ""
    by_trouble: bool = False
    judge: Judge | None = None
    judged_us: int = 0
    calm: int = 0
    history: list[Step] = field(default_factory=list)

    CALM = 5  # windows without trouble after which a change that was held for it goes on

    # What is to be.

    def changed(self) -> set[str]:
        """The brokers that are to run the new version."""
        if self.state in (PLANNED, CHECKING, UNDOING, UNDONE):
            return set()
        return set(chosen(self.plan, self.stage, self.zones))

    def wishes(self) -> dict[str, str]:
        """The version that each broker is to run. While it is held nothing is changed that has not been. From
        the second stage on the first that was changed runs it a second time: how a version ends is part of
        it.
        """
        changed = self.changed()
        wishes = {name: self.new if name in changed else self.old for name in self.zones}
        if self.stage and changed:
            wishes[chosen(self.plan, 0, self.zones)[0]] = self.new + AGAIN
        return wishes

    def batch(self, runs: dict[str, str], busy: set[str]) -> dict[str, str]:
        """Which brokers are to be told now, of what each runs and which are being replaced. Undoing goes on
        beside brokers that can't be reached; it is over once all run the old version.
        """
        if self.state not in (STAGING, UNDOING):
            return {}
        wishes = self.wishes()
        todo = [
            name
            for name in chosen(self.plan, len(self.plan.stages) - 1, self.zones)
            if name in runs and runs[name] != wishes[name]
        ]
        return {name: wishes[name] for name in next_batch(self.plan, todo, busy, self.zones)}

    # What happens.

    def event(self, name: str, why: str = "") -> Step | None:
        """One event; the step that it makes, if it makes one."""
        after = TABLE[self.state].get(name)
        if after is None:
            return None
        if name == "passed":
            self.stage += 1
        before, self.state = self.state, after
        self.number += 1
        self.why = why or name
        self.by_trouble = after == HELD and name == "unsure" and why.startswith("trouble")
        self.judge, self.judged_us, self.calm = None, 0, 0
        step = Step(before, after, self.why, self.stage, self.number)
        self.history.append(step)
        del self.history[:-200]
        return step

    def looked(self, runs: dict[str, str], failed: Iterable[str] = ()) -> Step | None:
        """What brokers run now; ``failed`` are those that could not be made to run what was wished."""
        failed = sorted(failed)
        if self.state == STAGING and failed:
            return self.event("worse", f"could not be started, or did not end in order: {', '.join(failed)}")
        wishes = self.wishes()
        if all(runs.get(name) == version for name, version in wishes.items()):
            if self.state == STAGING:
                return self.event("staged", f"{len(self.changed())} of {len(self.zones)} run {self.new}")
            if self.state == UNDOING:
                return self.event("back", f"all run {self.old}")
        return None

    def died(self, changed: int, unchanged: int) -> Step | None:
        """Ends of processes that nobody asked for, since the change began: in a stage's windows, and between
        stages.
        """
        if self.state in (STAGING, JUDGING) and changed >= self.limits.deaths and not unchanged:
            return self.event("worse", f"changed brokers died {changed} times, no unchanged one")
        return None

    def window(self, windows: list[Window]) -> Step | None:
        """What all brokers did in one span, and what follows."""
        if self.state == HELD and self.by_trouble:
            self.calm = 0 if _troubled(windows) else self.calm + 1
            return self.event("calm", "the trouble on both sides is over") if self.calm >= self.CALM else None
        if self.state != JUDGING:
            return None
        stage = self.plan.stages[self.stage]
        if self.judge is None:
            self.judge = Judge(self.limits, stage.most_us // self.window_us)
        ruling = self.judge.feed(windows)
        self.judged_us += self.window_us * (
            ruling.word != TROUBLED
        )  # such a window tells nothing of the change
        if ruling.word == WORSE:
            return self.event("worse", ruling.why)
        if ruling.word == TROUBLED and self.judge.troubled >= self.CALM:
            return self.event("unsure", f"trouble: {ruling.why}")
        if self.judged_us < stage.bake_us:
            return None
        over = self.judged_us >= stage.most_us or self.stage == len(self.plan.stages) - 1
        if not stage.prove or self.judge.shown() or over:
            return self._end(self.judge.ended(stage.prove), stage.prove)
        return None

    def _end(self, ruling: Ruling, prove: bool) -> Step | None:
        if ruling.word == TOO_LITTLE and prove:
            return self.event("unsure", f"too little to go by: {ruling.why}")
        said = f"{ruling.word}: {ruling.why}" + (
            f"; too little traffic for {', '.join(ruling.unsaid)}" if ruling.unsaid else ""
        )
        if ruling.word not in (FINE, TOO_LITTLE):
            return None
        return self.event("last" if self.stage == len(self.plan.stages) - 1 else "passed", said)

    # Its record.

    def record(self) -> dict[str, Any]:
        """All that it goes on from; what the judge has seen of a stage is not kept, it is judged anew."""
        return {
            "id": self.id,
            "old": self.old,
            "new": self.new,
            "zones": self.zones,
            "state": self.state,
            "stage": self.stage,
            "term": self.term,
            "number": self.number,
            "why": self.why,
            "by_trouble": self.by_trouble,
            "history": [[s.before, s.after, s.why, s.stage, s.number] for s in self.history],
        }

    def restore(self, record: dict[str, Any], term: int) -> None:
        """Go on from a record under a new term; raises :class:`ValueError` for one of another change."""
        if (record["id"], record["old"], record["new"]) != (self.id, self.old, self.new):
            raise ValueError(f"the record is of change {record['id']}, {record['old']} to {record['new']}")
        self.zones, self.state, self.stage = dict(record["zones"]), record["state"], record["stage"]
        self.number, self.why, self.by_trouble = record["number"], record["why"], record["by_trouble"]
        self.history = [Step(*row) for row in record["history"]]
        self.term = term


def _troubled(windows: list[Window]) -> bool:
    """Whether brokers answer under four in five."""
    asked = sum(tally.asked for window in windows for tally in window.classes.values())
    worth = sum(tally.worth for window in windows for tally in window.classes.values())
    return asked >= 10 and worth < 0.8 * asked
