"""Whether changed brokers do worse than unchanged ones of the same zone over the same seconds.

Each window gives, by class, the difference of the mean worth of a query between changed and unchanged brokers, zone
by zone: what hits both sides is gone from it. Over windows a weighted t-test asks whether the mean difference is below
zero. It is asked several times, so the error allowed is spent over these looks as O'Brien and Fleming's boundary does
(Lan, DeMets, 1983), each look with what it may spend alone: by the union bound the sum holds whatever the looks have
in common. It is shared out over classes in the same way (Bonferroni).
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

GOING_ON, WORSE, FINE, TOO_LITTLE, TROUBLED = "going on", "worse", "fine", "too little", "troubled"
ALL = "all classes"


@dataclass(slots=True)
class Tally:
    """Queries of one class: ``worth`` is their sum of shares of a whole answer in its aim, a client's retries counted
    with its first try."""

    asked: int = 0
    worth: float = 0.0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0
    partial: int = 0

    def add(self, other: Tally) -> None:
        """Sum up."""
        self.asked += other.asked
        self.worth += other.worth
        self.in_aim += other.in_aim
        self.refused += other.refused
        self.failed += other.failed
        self.partial += other.partial


@dataclass(frozen=True, slots=True)
class Window:
    """One broker over one span. ``silent``: it did not say what it did. ``deaths`` are ends of its process that nobody
    asked for, in this span."""

    broker: str
    zone: str
    changed: bool
    classes: dict[str, Tally]
    cpu_us: int = 0
    memory: int = 0
    deaths: int = 0
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """``error``: how often a change that is no worse may be stopped. ``tolerance``: by how much, in worth, a change is
    shown not to be worse. ``least``: queries of a class on each side for a word on it. ``looks`` is how often it is
    asked until a stage's longest. ``cost``: the ratio of processor a query beyond which it is worse."""

    error: float = 0.01
    tolerance: float = 0.02
    least: int = 60
    looks: int = 12
    cost: float = 1.3
    growth: float = 0.3  # of the memory of the unchanged, which the changed ones have grown by beyond them
    deaths: int = 2
    silent: int = 3  # windows in a row
    trouble: float = 0.1  # loss of worth on the unchanged side, against its own usual, that speaks of something else
    gross: float = 0.5  # of the unchanged side's worth, in three windows in a row


@dataclass(frozen=True, slots=True)
class Ruling:
    """``word`` is one of the above; ``why`` names class and figures; ``unsaid`` are classes with too little traffic."""

    word: str
    why: str = ""
    unsaid: tuple[str, ...] = ()


@dataclass(slots=True)
class _Series:
    """Differences of one class by window, with weights."""

    values: list[float] = field(default_factory=list)
    weights: list[float] = field(default_factory=list)
    changed: int = 0
    usual: int = 0

    def mean(self) -> tuple[float, float]:
        """The weighted mean and its standard error; infinite with under five windows."""
        total = sum(self.weights)
        if len(self.values) < 5 or not total:
            return 0.0, math.inf
        mean = sum(value * weight for value, weight in zip(self.values, self.weights, strict=True)) / total
        spread = sum(weight * (value - mean) ** 2 for value, weight in zip(self.values, self.weights, strict=True))
        # All alike tells of no spread only so far: a query's worth lies within 0 and 1, and one may yet differ.
        floor = 0.25 / total / total
        return mean, math.sqrt(max(spread / ((len(self.values) - 1) * total), floor))


def _student(quantile_or_value: float, freedom: int, inverse: bool = False) -> float:
    """Student's distribution, or its inverse. The library is loaded with the first question, as most ask none."""
    from scipy import special  # type: ignore[import-untyped]  # noqa: PLC0415
    return float((special.stdtrit if inverse else special.stdtr)(freedom, quantile_or_value))


def _normal(quantile_or_value: float, inverse: bool = False) -> float:
    """The normal distribution, or its inverse."""
    from scipy import special  # noqa: PLC0415
    return float((special.ndtri if inverse else special.ndtr)(quantile_or_value))


class Judge:
    """One stage's. Fed a window of all brokers at a time, and asked at looks of its own."""

    def __init__(self, limits: Limits, windows: int) -> None:
        self.limits, self.planned = limits, max(windows, 1)
        self.windows = self.troubled = 0
        self._series: dict[str, _Series] = defaultdict(_Series)
        self._cost = _Series()
        self._usual: list[float] = []  # worth of the unchanged side by window, those of trouble left out
        self._silent: dict[str, int] = defaultdict(int)
        self._gross = 0
        self._deaths: dict[bool, int] = {True: 0, False: 0}
        self._memory: dict[bool, list[float]] = {True: [], False: []}
        self._looked = 0
        self._spent = 0.0
        self._in_trouble = False

    def feed(self, windows: list[Window]) -> Ruling:
        """One span of all brokers, and what can be said by now."""
        self.windows += 1
        sides = {side: [window for window in windows if window.changed == side] for side in (True, False)}
        for window in windows:
            self._deaths[window.changed] += window.deaths
            self._silent[window.broker] = self._silent[window.broker] + 1 if window.silent else 0
        for side, some in sides.items():
            sizes = [window.memory for window in some if window.memory]
            if sizes:
                self._memory[side].append(sum(sizes) / len(sizes))
        wrong = self._plainly_wrong(sides)
        if wrong:
            return Ruling(WORSE, wrong)
        if self._trouble(sides[False]):
            self.troubled += 1
            self._in_trouble = True
            return Ruling(TROUBLED, "the unchanged brokers do worse than they did: not the change")
        self._in_trouble = False
        self._take(windows)
        wrong = self._gross_loss(sides) or self._costs() or self._grows()
        return Ruling(WORSE, wrong) if wrong else self._look()

    def ended(self, prove: bool) -> Ruling:
        """The word at the stage's end."""
        names = [name for name in self._series if self._enough(name)]
        unsaid = tuple(sorted(set(self._series) - set(names) - {ALL}))
        if ALL not in names:
            return Ruling(TOO_LITTLE, f"{self._series[ALL].changed} queries met the change", unsaid)
        if prove:
            open_yet = [name for name in names if not self._shown(name)]
            if open_yet:
                return Ruling(TOO_LITTLE, f"not shown to be within {self.limits.tolerance:.1%}: {', '.join(open_yet)}",
                              unsaid)
        mean, error = self._series[ALL].mean()
        return Ruling(FINE, f"worth {mean:+.2%} (error {error:.2%}) over {self._series[ALL].changed} queries", unsaid)

    def shown(self) -> bool:
        """Whether every class with enough traffic is shown to be no worse than the tolerance allows."""
        names = [name for name in self._series if self._enough(name)]
        return ALL in names and all(self._shown(name) for name in names)

    # What needs no statistics.

    def _plainly_wrong(self, sides: dict[bool, list[Window]]) -> str:
        if self._deaths[True] >= self.limits.deaths and not self._deaths[False]:
            return f"{self._deaths[True]} changed brokers died, no unchanged one"
        silent = [window.broker for window in sides[True] if self._silent[window.broker] >= self.limits.silent]
        others = [window.broker for window in sides[False] if self._silent[window.broker] >= self.limits.silent]
        if silent and not others:
            return f"{', '.join(silent)} says nothing any more"
        return ""

    def _gross_loss(self, sides: dict[bool, list[Window]]) -> str:
        changed, usual = (_sum(sides[side]) for side in (True, False))
        if changed.asked >= 5 and usual.asked >= 5:
            bad = changed.worth / changed.asked < self.limits.gross * usual.worth / usual.asked
            self._gross = self._gross + 1 if bad else 0
            if self._gross >= 3:
                return f"worth {changed.worth / changed.asked:.0%} for {usual.worth / usual.asked:.0%}, three windows"
        return ""

    def _trouble(self, unchanged: list[Window]) -> bool:
        """Whether the unchanged side does clearly worse than it did before: a zone lost, a storm."""
        seen = _sum(unchanged)
        if seen.asked < 10:
            return False
        worth = seen.worth / seen.asked
        usual = sorted(self._usual)[len(self._usual) // 2] if len(self._usual) >= 3 else worth
        spread = 3 * math.sqrt(max(usual * (1 - usual), 0.01) / seen.asked)
        # Once in it, it is over when half of the loss has gone.
        loss = self.limits.trouble / (2 if self._in_trouble else 1)
        if usual - worth > max(loss, spread if not self._in_trouble else 0.0):
            return True
        self._usual = [*self._usual[-30:], worth]
        return False

    # Differences by window.

    def _take(self, windows: list[Window]) -> None:
        zones: dict[str, dict[bool, list[Window]]] = defaultdict(lambda: {True: [], False: []})
        for window in windows:
            if not window.silent:
                zones[window.zone][window.changed].append(window)
        by_class: dict[str, list[tuple[float, float]]] = defaultdict(list)
        costs: list[tuple[float, float]] = []
        for sides in zones.values():
            tallies = {side: _by_class(some) for side, some in sides.items()}
            for name in sorted(tallies[True].keys() | tallies[False].keys()):
                changed, usual = tallies[True].get(name, Tally()), tallies[False].get(name, Tally())
                series = self._series[name]
                if changed.asked and usual.asked:
                    weight = changed.asked * usual.asked / (changed.asked + usual.asked)
                    by_class[name].append((changed.worth / changed.asked - usual.worth / usual.asked, weight))
                    series.changed += changed.asked
                    series.usual += usual.asked
            asked = {side: tallies[side].get(ALL, Tally()).asked for side in (True, False)}
            spent = {side: sum(window.cpu_us for window in sides[side]) for side in (True, False)}
            if min(asked.values()) >= 3 and min(spent.values()) > 0:
                ratio = (spent[True] / asked[True]) / (spent[False] / asked[False])
                costs.append((math.log(ratio), min(asked.values())))
        for name, pairs in by_class.items():
            _append(self._series[name], pairs)
        if costs:
            _append(self._cost, costs)

    def _enough(self, name: str) -> bool:
        series = self._series[name]
        return min(series.changed, series.usual) >= self.limits.least and len(series.values) >= 5

    def _shown(self, name: str) -> bool:
        """Whether it is unlikely, at one in ten, that the change costs more than the tolerance."""
        mean, error = self._series[name].mean()
        return mean - _student(0.9, len(self._series[name].values) - 1, True) * error > -self.limits.tolerance

    def _look(self) -> Ruling:
        """Ask, if a look is due."""
        due = self.windows * self.limits.looks // self.planned
        if due <= self._looked:
            return Ruling(GOING_ON)
        self._looked = due
        fraction = min(1.0, due / self.limits.looks)
        spend = 2 * (1 - _normal(_normal(1 - self.limits.error / 2, True) / math.sqrt(fraction)))
        allowed, self._spent = max(0.0, spend - self._spent), max(spend, self._spent)
        names = [name for name in self._series if self._enough(name)]
        for name in names:
            mean, error = self._series[name].mean()
            chance = _student(mean / error, len(self._series[name].values) - 1)
            may = allowed / (len(names) + 1)  # one more: the cost
            if mean < 0 and chance < may:
                return Ruling(WORSE, f"{name}: worth {mean:+.2%} (error {error:.2%}, chance {chance:.1e} where "
                              f"{may:.1e} may be spent) over {self._series[name].changed} queries")
        return Ruling(GOING_ON)

    def _costs(self) -> str:
        mean, error = self._cost.mean()
        if mean <= math.log(self.limits.cost):
            return ""
        least = mean - _student(0.9995, len(self._cost.values) - 1, True) * error
        if least > math.log((1 + self.limits.cost) / 2):
            return f"{math.exp(mean):.2f} times the processor a query"
        return ""

    def _grows(self) -> str:
        """Memory that has grown beyond the unchanged side's, and goes on growing through each third of the time."""
        new, old = self._memory[True], self._memory[False]
        if len(new) < 9 or not old:
            return ""
        third = len(new) // 3
        steps = [sum(new[n * third:(n + 1) * third]) / third for n in range(3)]
        usual = sum(old) / len(old)
        most = self.limits.growth * usual
        if steps[2] - usual > most and steps[2] - steps[1] > most / 6 and steps[1] - steps[0] > most / 6:
            return f"memory grew to {steps[2] / 1e6:.0f} MB beside {usual / 1e6:.0f}, and goes on"
        return ""


def _sum(windows: list[Window]) -> Tally:
    out = Tally()
    for window in windows:
        for tally in window.classes.values():
            out.add(tally)
    return out


def _by_class(windows: list[Window]) -> dict[str, Tally]:
    out: dict[str, Tally] = {}
    for window in windows:
        for name, tally in window.classes.items():
            out.setdefault(name, Tally()).add(tally)
            out.setdefault(ALL, Tally()).add(tally)
    return out


def _append(series: _Series, pairs: list[tuple[float, float]]) -> None:
    """One window's zones, each by its weight."""
    total = sum(weight for _, weight in pairs)
    series.values.append(sum(value * weight for value, weight in pairs) / total)
    series.weights.append(total)
