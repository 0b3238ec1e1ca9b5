"""Weighted max-min: nobody gets more than it asks while one that gets less wants more (Bertsekas, Gallager,
6.5).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Wish:
    """What a member could use now, and its weight."""

    demand: int
    weight: int = 1


def divide(amount: int, wishes: dict[str, Wish], floor: int = 0) -> dict[str, int]:
    """Shares of an amount by name. Each gets at least ``floor`` where that goes round, as who asks for little
    now may ask for more before it is heard again; what nobody asks for is spread by weight. Linear but for
    one sort.
    """
    if not wishes:
        return {}
    floor = min(floor, amount // len(wishes))
    shares = dict.fromkeys(wishes, floor)
    for wanted in (
        {name: max(wish.demand - floor, 0) for name, wish in wishes.items()},
        dict.fromkeys(wishes, amount),
    ):
        left = amount - sum(shares.values())
        for name, more in _fill(
            left, {name: (want, wishes[name].weight) for name, want in wanted.items()}
        ).items():
            shares[name] += more
    return shares


def _fill(amount: int, wanted: dict[str, tuple[int, int]]) -> dict[str, int]:
    """Progressive filling: the least wanted a weight first, each from what is left for the weights that are
    left. Whole numbers: what rounding leaves goes to the last, who want most.
    """
    left, weights = amount, sum(weight for _, weight in wanted.values())
    shares: dict[str, int] = {}
    for name in sorted(wanted, key=lambda name: (wanted[name][0] / wanted[name][1], name)):
        want, weight = wanted[name]
        shares[name] = min(want, left * weight // weights)
        left -= shares[name]
        weights -= weight
    return shares
