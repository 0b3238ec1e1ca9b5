"""A keeper's roll of brokers: what each says of itself, and what its silence says.

An entry is one incarnation of one name. Times are microseconds of the keeper's own clock; nothing here reads
it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

JOINING, ALIVE, SUSPECT, LEFT, DEAD = "joining", "alive", "suspect", "left", "dead"

# What an entry becomes when ... (a state's row, an event's column):
#   heard     it reported, and shows that it has heard an answer of ours lately
#   called    it reported, and has not heard us lately, or ever: the way back may be cut
#   quiet     nothing came for the time of suspicion
#   silent    nothing came for the time of death
#   leaves    it said that it ends
#   replaced  a later incarnation of its name reported
EVENTS = ("heard", "called", "quiet", "silent", "leaves", "replaced")
TABLE: dict[str, dict[str, str]] = {
    state: dict(zip(EVENTS, row, strict=True))
    for state, row in {
        #         heard   called   quiet    silent  leaves  replaced
        JOINING: (ALIVE, JOINING, JOINING, DEAD, LEFT, DEAD),
        ALIVE: (ALIVE, SUSPECT, SUSPECT, DEAD, LEFT, DEAD),
        SUSPECT: (ALIVE, SUSPECT, SUSPECT, DEAD, LEFT, DEAD),
        LEFT: (LEFT, LEFT, LEFT, LEFT, LEFT, LEFT),
        DEAD: (DEAD, DEAD, DEAD, DEAD, DEAD, DEAD),
    }.items()
}
GONE = (LEFT, DEAD)  # from which nothing leads back: the same name comes with a later incarnation


@dataclass(frozen=True, slots=True)
class Timing:
    """When silence counts (us), and how long an entry that is gone is shown."""

    suspect_us: int = 2_000_000
    dead_us: int = 5_000_000
    shown_us: int = 60_000_000
    most: int = 1_024  # entries, gone ones included; a name more is refused


@dataclass(frozen=True, slots=True)
class Report:
    """What a broker says of itself. ``heard`` is the highest number of an answer that it has had of a
    keeper's ``run``.
    """

    name: str
    incarnation: int
    zone: str = ""
    version: str = ""
    digest: str = ""
    run: str = ""
    heard: int = 0
    leaves: bool = False


@dataclass(frozen=True, slots=True)
class Word:
    """The answer to a report: ``state`` as the roll has it now. ``least`` is the incarnation from which the
    name may come again where the state is gone; ``number`` is the answer's own.
    """

    state: str
    number: int
    least: int = 0
    why: str = ""


@dataclass(slots=True)
class Entry:
    """One incarnation of a name."""

    name: str
    incarnation: int
    zone: str
    version: str
    digest: str
    since_us: int
    heard_us: int
    state: str = JOINING
    state_us: int = 0
    heard_number: int = 0  # the highest of our answers that it has had, and since when we know
    heard_at: int = 0


@dataclass(frozen=True, slots=True)
class Changed:
    """A change of state, for log lines and for who divides by members."""

    name: str
    incarnation: int
    before: str
    after: str
    why: str


@dataclass(slots=True)
class Roll:
    """The roll of one run of a keeper. ``number`` counts its answers."""

    run: str
    timing: Timing = field(default_factory=Timing)
    number: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)

    def report(self, now: int, said: Report) -> tuple[Word, list[Changed]]:
        """A broker's report; what it is told, and what changed."""
        self.number += 1
        changes: list[Changed] = []
        entry = self.entries.get(said.name)
        if entry is not None and said.incarnation < entry.incarnation:
            return Word(DEAD, self.number, entry.incarnation + 1, "a later incarnation is known"), changes
        if entry is None or said.incarnation > entry.incarnation:
            if entry is not None:
                changes += self._step(now, entry, "replaced", f"incarnation {said.incarnation} came")
            elif len(self.entries) >= self.timing.most and not self._make_room():
                return Word(DEAD, self.number, said.incarnation, "the roll is full"), changes
            entry = Entry(
                said.name, said.incarnation, said.zone, said.version, said.digest, now, now, state_us=now
            )
            self.entries[said.name] = entry
            changes.append(Changed(said.name, said.incarnation, "", JOINING, "its first report"))
        if entry.state in GONE:
            return Word(entry.state, self.number, entry.incarnation + 1, "it was taken for gone"), changes
        entry.heard_us = now
        if said.run == self.run and said.heard > entry.heard_number:
            entry.heard_number, entry.heard_at = said.heard, now
        entry.zone, entry.version, entry.digest = said.zone, said.version, said.digest
        hears = entry.heard_number and now - entry.heard_at < self.timing.suspect_us
        event = "leaves" if said.leaves else "heard" if hears else "called"
        changes += self._step(now, entry, event, "it said so" if said.leaves else "it reported")
        least = entry.incarnation + 1 if entry.state in GONE else 0
        return Word(entry.state, self.number, least), changes

    def look(self, now: int) -> list[Changed]:
        """What silence has changed by now; entries that have been gone for long are forgotten."""
        changes: list[Changed] = []
        for entry in list(self.entries.values()):
            quiet = now - entry.heard_us
            if quiet >= self.timing.dead_us:
                changes += self._step(now, entry, "silent", f"nothing for {quiet // 1000} ms")
            elif quiet >= self.timing.suspect_us:
                changes += self._step(now, entry, "quiet", f"nothing for {quiet // 1000} ms")
            if entry.state in GONE and now - entry.state_us >= self.timing.shown_us:
                del self.entries[entry.name]
        return changes

    def members(self) -> Iterator[Entry]:
        """Those that are members now: only one that is alive is given anything, a suspect one keeps what it
        has.
        """
        return (entry for entry in self.entries.values() if entry.state not in GONE)

    def _step(self, now: int, entry: Entry, event: str, why: str) -> list[Changed]:
        before, after = entry.state, TABLE[entry.state][event]
        if before == after:
            return []
        entry.state, entry.state_us = after, now
        return [Changed(entry.name, entry.incarnation, before, after, why)]

    def _make_room(self) -> bool:
        """Forget the entry that has been gone for longest."""
        gone = [entry for entry in self.entries.values() if entry.state in GONE]
        if not gone:
            return False
        del self.entries[min(gone, key=lambda entry: entry.state_us).name]
        return True
