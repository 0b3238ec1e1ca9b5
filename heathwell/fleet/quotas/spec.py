"""What a budget is, as settings state it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final, Literal

RATE: Final = "rate"
COUNT: Final = "count"


@dataclass(frozen=True, slots=True)
class Budget:
    """``whole`` is for the fleet: of a ``rate`` thousandths of a unit a second, of a ``count`` units held at
    once.

    ``aside`` of it is set aside for ``most`` brokers, an equal part each, which needs no keeper.
    ``window_us`` is how much of a rate may be saved up as a burst. ``linger_us`` is how long a host may keep
    what a dead holder of a count held. ``floor`` is the least that a member gets that asks for little. With
    ``each`` ("host") there is such a budget for each of these, named ``name@which``. ``apart`` is what the
    fleet may hold beside the whole without counting it here: a first one each. Of a ``sticky`` one who holds
    a unit keeps it while it wants it: a lease.
    """

    name: str
    kind: Literal["rate", "count"]
    whole: int
    aside: int
    most: int
    fractions: int = 3
    window_us: int = 1_000_000
    linger_us: int = 0
    floor: int = 1
    each: str = ""
    apart: int = 0
    sticky: bool = False

    def __post_init__(self) -> None:
        if not 0 <= self.aside <= self.whole or self.most < 1 or self.fractions < 1:
            raise ValueError(
                f"budget {self.name}: 0 <= aside <= whole, most and fractions of at least 1 are expected"
            )
        if self.kind == RATE and self.own and self.own * self.window_us < 1_000 * 1_000_000:
            raise ValueError(
                f"budget {self.name}: a broker's own {self.own / 1000} a second never make a unit within "
                f"{self.window_us / 1e6} s"
            )

    def of(self, which: str) -> Budget:
        """The budget of one of these."""
        return replace(self, name=f"{self.name}@{which}", each="")

    @property
    def own(self) -> int:
        """A broker's own minimum."""
        return self.aside // self.most

    def fraction(self, number: int) -> int:
        """What the owner of a fraction may lend; the fractions add up to the whole without what is
        set aside.
        """
        lent = self.whole - self.aside
        return lent * (number + 1) // self.fractions - lent * number // self.fractions
