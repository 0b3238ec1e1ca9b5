"""Which brokers a stage takes, in which order, and how many at a time."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import ceil, floor


@dataclass(frozen=True, slots=True)
class Stage:
    """How many brokers run the new version in it: ``share`` of all, at least one. It is judged for
    ``bake_us`` at the least and ``most_us`` at the most; with ``prove`` it must be shown to be no worse, else
    nothing may speak against it.
    """

    share: float
    bake_us: int = 30_000_000
    most_us: int = 120_000_000
    prove: bool = False

    def count(self, brokers: int) -> int:
        """Brokers of so many."""
        return min(brokers, max(1, ceil(self.share * brokers - 1e-9)))


@dataclass(frozen=True, slots=True)
class Plan:
    """The stages; until the last no more than ``zone_share`` of a zone is changed, so that each keeps what it
    is judged against, and at any time no more than that of a zone, nor over ``at_once`` in all, is being
    replaced.
    """

    stages: tuple[Stage, ...] = (Stage(0.0), Stage(0.05), Stage(0.25, prove=True), Stage(1.0))
    zone_share: float = 0.34
    at_once: int = 4

    def __post_init__(self) -> None:
        shares = [stage.share for stage in self.stages]
        if not shares or shares != sorted(shares) or not 0 <= shares[0] <= shares[-1] == 1:
            raise ValueError("stages: shares must grow to 100%")
        if not 0 < self.zone_share <= 1 or self.at_once < 1:
            raise ValueError("zone-share: in (0, 1]; at-once: at least 1")


def chosen(plan: Plan, stage: int, zones: dict[str, str]) -> list[str]:
    """The brokers that run the new version in a stage, of all with their zones: by zone, then name. What
    earlier stages took is among them. In a zone of one broker there is nothing to judge it against, but in
    the last stage.
    """
    order = sorted(zones, key=lambda name: (zones[name], name))
    last = stage == len(plan.stages) - 1
    if last:
        return order
    sizes, taken = Counter(zones.values()), Counter[str]()
    out: list[str] = []
    wanted = plan.stages[stage].count(len(order))
    for name in order:
        zone = zones[name]
        most = max(1, floor(plan.zone_share * sizes[zone])) if sizes[zone] > 1 else 0
        if len(out) < wanted and taken[zone] < most:
            taken[zone] += 1
            out.append(name)
    return out


def next_batch(plan: Plan, todo: list[str], busy: set[str], zones: dict[str, str]) -> list[str]:
    """Of those that are to be replaced, which may begin now while ``busy`` ones are at it. A zone always lets
    one.
    """
    sizes, at_work = Counter(zones.values()), Counter(zones[name] for name in busy)
    out: list[str] = []
    for name in todo:
        zone = zones[name]
        if len(busy) + len(out) >= plan.at_once:
            break
        if name not in busy and at_work[zone] < max(1, floor(plan.zone_share * sizes[zone])):
            at_work[zone] += 1
            out.append(name)
    return out
