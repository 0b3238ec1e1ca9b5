"""What a budget is, as settings state it.

Job: the checked record of one fleet-wide budget, and the names of budgets that exist once for each host. Owns
no state. May import this package's errors only.

A *budget* is the limit for the entire fleet; a *quota* is the part of it that one broker may use now.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from heathwell.fleet.quotas.errors import InvalidBudgetError

MILLIUNITS_PER_UNIT = 1_000
US_PER_SECOND = 1_000_000
SCOPE_SEPARATOR = "@"


class BudgetKind(StrEnum):
    """What a budget limits. The values stand in settings, on the wire and in reports."""

    RATE = "rate"
    """Uses a second, in milliunits a second."""
    COUNT = "count"
    """Units in use at the same time."""


@dataclass(frozen=True, slots=True)
class BudgetName:
    """A budget's name taken apart: ``base@scope``; ``scope`` is None where the name has no separator."""

    base: str
    scope: str | None = None

    @classmethod
    def parse(cls, name: str) -> BudgetName:
        """Split at the first separator."""
        base, separator, scope = name.partition(SCOPE_SEPARATOR)
        return cls(base, scope if separator else None)


@dataclass(frozen=True, slots=True)
class Budget:
    """One limit for the entire fleet: ``total`` milliunits a second of a rate, units of a count.

    - ``reserved`` of the total is divided equally among ``max_brokers`` brokers beforehand, as the minimum
      that each may use without any coordinator; the rest is cut into ``fraction_count`` fractions.
    - ``burst_window_us``: how much of a rate may accrue unused, as time at the quota of the moment.
    - ``linger_timeout_us``: how long a host may keep what a dead holder of a count held.
    - ``minimum_grant``: the least that a member is granted that requests little.
    - ``scope_kind``: not empty ("host") where there is such a budget for each of these, named ``name@scope``.
    - ``uncounted``: what the fleet may use beside the total without counting it here (a first connection
      each).
    - ``sticky``: who holds a unit keeps it for as long as it requests it, as a leader lease.

    Raises :class:`InvalidBudgetError` for values that contradict each other.
    """

    name: str
    kind: BudgetKind
    total: int
    reserved: int
    max_brokers: int
    fraction_count: int = 3
    burst_window_us: int = 1_000_000
    linger_timeout_us: int = 0
    minimum_grant: int = 1
    scope_kind: str = ""
    uncounted: int = 0
    sticky: bool = False

    def __post_init__(self) -> None:
        if not 0 <= self.reserved <= self.total or self.max_brokers < 1 or self.fraction_count < 1:
            raise InvalidBudgetError(
                self.name,
                "0 <= reserved <= total, and at least 1 broker and 1 fraction are expected",
            )
        burst = self.broker_minimum * self.burst_window_us
        one_unit = MILLIUNITS_PER_UNIT * US_PER_SECOND
        if self.kind == BudgetKind.RATE and self.broker_minimum and burst < one_unit:
            raise InvalidBudgetError(
                self.name,
                f"a broker's own {self.broker_minimum / MILLIUNITS_PER_UNIT} a second never make a unit "
                f"within {self.burst_window_us / US_PER_SECOND} s",
            )

    @property
    def broker_minimum(self) -> int:
        """The quota that each broker has without any grant."""
        return self.reserved // self.max_brokers

    def for_scope(self, scope: str) -> Budget:
        """The budget of one host, say, of a budget that exists for each."""
        return replace(self, name=f"{self.name}{SCOPE_SEPARATOR}{scope}", scope_kind="")

    def fraction_amount(self, fraction: int) -> int:
        """What the holder of a fraction's lease may grant. The fractions add up to the total less what is
        reserved.
        """
        grantable = self.total - self.reserved
        upper = grantable * (fraction + 1) // self.fraction_count
        lower = grantable * fraction // self.fraction_count
        return upper - lower
