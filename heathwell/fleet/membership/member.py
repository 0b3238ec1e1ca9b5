"""A broker's own side of its membership: which incarnation it is, and when it must take itself for dead.

A process that was stopped and goes on has missed its own death. It sees that from its own clock: more time
between two turns than silence is borne. It then drops what it held before it does anything else, and comes as
a new incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.fleet.membership.roll import GONE, Report, Timing, Word


@dataclass(frozen=True, slots=True)
class Lived:
    """What a look at the clock showed: ``died`` with the reason, empty while all is well."""

    died: str = ""


class Self:
    """One broker. ``incarnation`` is handed in (Unix time of its start in us does), and only grows from
    there.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        now: int,
        *,
        zone: str = "",
        version: str = "",
        digest: str = "",
        timing: Timing | None = None,
    ) -> None:
        self.name, self.incarnation, self.zone, self.version, self.digest = (
            name,
            incarnation,
            zone,
            version,
            digest,
        )
        self.timing = timing or Timing()
        self.heard: dict[
            str, tuple[str, int]
        ] = {}  # by keeper: its run, and the highest number of an answer of that
        self.deaths = 0
        self._turn_us = now

    def turn(self, now: int) -> Lived:
        """Before anything else is done in a turn of the loop, each time."""
        gap, self._turn_us = now - self._turn_us, now
        if gap >= self.timing.dead_us:
            return self._die(f"stopped for {gap // 1000} ms")
        return Lived()

    def report(self, keeper: str, *, leaves: bool = False) -> Report:
        """What is said to a keeper now."""
        run, number = self.heard.get(keeper, ("", 0))
        return Report(self.name, self.incarnation, self.zone, self.version, self.digest, run, number, leaves)

    def told(self, keeper: str, run: str, incarnation: int, word: Word) -> Lived:
        """A keeper's answer to a report of this incarnation; answers to an older one say nothing of this.
        Numbers are counted within a keeper's run.
        """
        before, number = self.heard.get(keeper, ("", 0))
        if incarnation != self.incarnation or (run == before and word.number <= number):
            return Lived()
        if word.state in GONE:
            self.incarnation = max(self.incarnation, word.least - 1)
            return self._die(f"{keeper} has it as {word.state}: {word.why}")
        self.heard[keeper] = run, word.number
        return Lived()

    def _die(self, why: str) -> Lived:
        self.incarnation += 1
        self.deaths += 1
        self.heard.clear()
        return Lived(why)
