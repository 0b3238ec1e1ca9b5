"""Budgets of a fleet, judged from logs alone: what was held, and what was used, at every instant.

Holders log each change of what they hold (with how long yet, by their own clocks), each use of a rate, and
how fast their clocks run; keepers log what they give; hosts log who connects and what arrives. A process that
was killed says no more: what it held is counted until it would have run out.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from heathwell.testing.audit.reader import Event

SLACK_US = 2_000  # between a deed and its line
ROUNDING = 1_000  # thousandths: a unit is taken whole


@dataclass(slots=True)
class BudgetVerdict:
    """``breaches`` are sentences; ``nearest`` is the most that was held of each budget, as a share of what
    may be.
    """

    breaches: list[str] = field(default_factory=list)
    nearest: dict[str, float] = field(default_factory=dict)
    lines: int = 0
    uses: int = 0

    @property
    def kept(self) -> bool:
        """Whether no budget was overshot; a run in which nothing was held shows nothing."""
        return not self.breaches and self.lines > 0


@dataclass(slots=True)
class _Share:
    """What one holder holds of one budget now: ends and amounts (true time)."""

    held: list[tuple[int, int]] = field(default_factory=list)
    own: int = 0
    at: int = 0
    saved: float = 0.0  # of a rate: what it may have saved up by its own share
    fresh: bool = False  # nothing was lent to it yet

    def lent(self, now: int) -> int:
        """What has not run out."""
        return sum(amount for until, amount in self.held if until > now)


class BudgetAudit:
    """Fed with events in their order; :meth:`verdict` at the end. Linear but for a heap of ends."""

    def __init__(self, figures: dict[str, Any]) -> None:
        self.budgets: dict[str, dict[str, Any]] = {spec["name"]: spec for spec in figures["budgets"]}
        self.drift = figures["drift"]
        self.out = BudgetVerdict()
        self.wholes: dict[str, int] = {name: spec["whole"] for name, spec in self.budgets.items()}
        self._shrunk: dict[
            str, tuple[int, int]
        ] = {}  # the larger whole before, and until when it may be held yet
        self._rates: dict[str, float] = {}
        self._member: dict[str, str] = {}  # by writer of a log: the name that it is a member under
        self._incs: dict[str, int] = {}
        self._holds: dict[tuple[str, str], _Share] = {}  # by budget and writer
        self._given: set[tuple[Any, ...]] = set()
        self._lent: defaultdict[str, int] = defaultdict(int)
        self._ends: list[tuple[int, str, str]] = []
        self._bucket: dict[str, tuple[float, int]] = {}
        self._open: defaultdict[str, int] = defaultdict(int)
        self._grant_us = 0

    def feed(self, events: Iterable[Event]) -> BudgetAudit:
        """Take events, oldest first."""
        for event in events:
            self._run_out(event.t)
            match event.ev:
                case "clock":
                    self._rates[event.who] = event["rate"]
                case "joins":
                    self._member[event.who], self._incs[event.who] = event["name"], event["inc"]
                case "dies":
                    self._incs[event.who] = event["inc"]
                case "gives":
                    self._gives(event)
                case "holds":
                    self._held(event)
                case "spends":
                    self._spent(event)
                case "resized":
                    self._resized(event)
                case "met" if event["role"] == "broker":
                    self._met(event, 1)
                case "unmet" if event["role"] == "broker":
                    self._met(event, -1)
                case "up":
                    self._open[event["node"]] = 0  # a new process has no connections
        return self

    def verdict(self) -> BudgetVerdict:
        """What was found."""
        return self.out

    def _spec(self, name: str) -> dict[str, Any]:
        return self.budgets[name.partition("@")[0]]

    def _may(self, name: str, now: int) -> int:
        base = name.partition("@")[0]
        larger, until = self._shrunk.get(base, (0, 0))
        return max(self.wholes[base], larger if now <= until else 0)

    def _say(self, event: Event, text: str) -> None:
        self.out.breaches.append(f"{event.t / 1e6:.3f} s: {text} [{event.at}]")

    def _gives(self, event: Event) -> None:
        self._grant_us = max(self._grant_us, event["length"])
        self._given.add(
            (
                event["to"],
                event["inc"],
                event["budget"],
                event["fraction"],
                event["number"],
                event["amount"],
                event.who.partition("r")[0],
            )
        )

    def _resized(self, event: Event) -> None:
        base, before = event["budget"], self.wholes[event["budget"]]
        if event["whole"] < before:
            # Until each keeper has read it, and what is given out by then has run out, the larger one holds.
            term = int(self._grant_us * (1 + 2 * self.drift)) + self.budgets[base]["linger"] + 1_000_000
            self._shrunk[base] = max(before, self._shrunk.get(base, (0, 0))[0]), event.t + term
        self.wholes[base] = event["whole"]

    def _held(self, event: Event) -> None:
        """What a holder holds from now on."""
        name, who = event["budget"], event.who
        self.out.lines += 1
        rate = self._rates.get(who, 1.0)
        fresh = (name, who) not in self._holds
        share = self._holds.setdefault((name, who), _Share(own=event["own"], at=event.t))
        fresh = fresh or share.fresh
        self._save_up(name, share, event.t)
        self._lent[name] -= share.lent(event.t)
        share.held = []
        for fraction, amount, left, owner, number in event["held"]:
            until = event.t + int(left / rate) - SLACK_US
            share.held.append((until, amount))
            heapq.heappush(self._ends, (until, name, who))
            backed = (
                self._member.get(who),
                self._incs.get(who),
                name,
                fraction,
                number,
                amount,
                str(owner).partition(".")[0],
            )
            if amount and backed not in self._given:
                self._say(
                    event,
                    f"{who} holds {amount} of {name}, fraction {fraction}, by number {number} of {owner}: "
                    "no keeper's log has given that",
                )
        self._lent[name] += share.lent(event.t)
        spec = self._spec(name)
        share.fresh = fresh and not share.held
        if fresh and share.held and spec["kind"] == "rate":
            # It may begin with a window of its first share: so much is within the burst.
            share.saved = (share.own + share.lent(event.t)) * spec["window"] / 1e6
        lendable = self._may(name, event.t) - spec["own"] * spec["most"]
        if self._lent[name] > lendable:
            self._say(event, f"{self._lent[name]} of {name} are lent out, of {lendable} that may be")
        if lendable > 0:
            seen = self._lent[name] / lendable
            self.out.nearest[spec["name"]] = max(self.out.nearest.get(spec["name"], 0.0), seen)

    def _run_out(self, now: int) -> None:
        while self._ends and self._ends[0][0] <= now:
            until, name, who = heapq.heappop(self._ends)
            share = self._holds[name, who]
            gone = sum(amount for end, amount in share.held if end == until)
            if gone:
                self._save_up(name, share, until)
                share.held = [(end, amount) for end, amount in share.held if end != until]
                self._lent[name] -= gone

    # Uses of a rate: of the whole, and of each holder's own share.

    def _save_up(self, name: str, share: _Share, now: int) -> None:
        spec = self._spec(name)
        if spec["kind"] == "rate" and now > share.at:
            a_second = share.own + sum(amount for _, amount in share.held)
            share.saved = min(
                share.saved + a_second * (now - share.at) / 1e6, a_second * spec["window"] / 1e6
            )
            share.at = now

    def _spent(self, event: Event) -> None:
        name, spec, amount = event["budget"], self._spec(event["budget"]), event["amount"]
        self.out.uses += 1
        may = self._may(name, event.t)
        saved, at = self._bucket.get(name, (may * spec["window"] / 1e6, event.t))
        saved = min(saved + may * (event.t - at) / 1e6, may * spec["window"] / 1e6) - amount
        self._bucket[name] = saved, event.t
        if saved < -ROUNDING * 1e-6:
            self._say(event, f"more of {name} was used than {may / 1000:g} a second and its burst")
        share = self._holds.get((name, event.who))
        if share is None:
            self._say(event, f"{event.who} used {name} and has logged no share of it")
            return
        self._save_up(name, share, event.t)
        share.saved -= amount
        if share.saved < -ROUNDING:
            self._say(event, f"{event.who} used more of {name} than its own share saved up")
            share.saved = 0.0

    # Connections, as hosts see them.

    def _met(self, event: Event, change: int) -> None:
        if "connections" not in self.budgets:
            return
        node = event["node"]
        self._open[node] += change
        self.out.uses += change > 0
        whole = self._may("connections", event.t) + self.budgets["connections"]["apart"]
        seen = self._open[node] / whole
        self.out.nearest["at hosts"] = max(self.out.nearest.get("at hosts", 0.0), seen)
        if seen > 1 and change > 0:
            self._say(event, f"{self._open[node]} connections of brokers at {node}, of {whole}")


def judge_budgets(events: list[Event]) -> BudgetVerdict:
    """Judge a run; raises :class:`ValueError` where its figures are missing."""
    for event in events:
        if event.ev == "run" and event["figures"].get("budgets"):
            return BudgetAudit(event["figures"]).feed(events).verdict()
    raise ValueError("no 'run' event with budgets: there is nothing to judge by")
