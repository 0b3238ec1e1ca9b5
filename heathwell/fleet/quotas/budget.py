"""Budgets as the settings define them.

The validated record of one fleet-wide budget, and the names of per-host budgets. Owns no state. Imports only
this package's errors.

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
    """What a budget limits. The values are used in settings, on the wire and in reports."""

    RATE = "rate"
    """Uses per second, in milliunits per second."""
    COUNT = "count"
    """Units in use at the same time."""


@dataclass(frozen=True, slots=True)
class BudgetName:
    """The parts of a budget's name ``base@scope``; ``scope`` is None if the name has no separator."""

    base: str
    scope: str | None = None

    @classmethod
    def parse(cls, name: str) -> BudgetName:
        """Split a name at its first separator."""
        base, separator, scope = name.partition(SCOPE_SEPARATOR)
        return cls(base, scope if separator else None)


@dataclass(frozen=True, slots=True)
class Budget:
    """One limit for the entire fleet: ``total`` is in milliunits per second for a rate, in units for a count.

    - ``reserved`` of the total is divided equally among ``max_brokers`` brokers in advance, as the minimum
      that each may use without a coordinator; the rest is divided into ``fraction_count`` fractions.
    - ``burst_window_us``: how much unused rate may accrue, as time at the current quota.
    - ``linger_timeout_us``: how long a host may keep the units of a count whose holder has died.
    - ``minimum_grant``: the minimum granted to a member with little demand.
    - ``scope_kind``: "host" for a budget that exists once per host, named ``name@scope``; otherwise empty.
    - ``uncounted``: what the fleet may use in addition to the total without counting it (each broker's first
      connection to a host).
    - ``sticky``: the holder of a unit keeps it for as long as it requests it, as for a leader lease.

    Raises :class:`InvalidBudgetError` for inconsistent values.
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
                "expected 0 <= reserved <= total, max_brokers >= 1 and fraction_count >= 1, got "
                f"reserved {self.reserved}, total {self.total}, max_brokers {self.max_brokers}, "
                f"fraction_count {self.fraction_count}",
            )
        burst = self.broker_minimum * self.burst_window_us
        one_unit = MILLIUNITS_PER_UNIT * US_PER_SECOND
        if self.kind == BudgetKind.RATE and self.broker_minimum and burst < one_unit:
            raise InvalidBudgetError(
                self.name,
                f"the broker minimum of {self.broker_minimum / MILLIUNITS_PER_UNIT} per second accrues less "
                f"than one unit within the burst window of {self.burst_window_us / US_PER_SECOND} s",
            )

    @property
    def broker_minimum(self) -> int:
        """The quota of each broker without any grant."""
        return self.reserved // self.max_brokers

    def for_scope(self, scope: str) -> Budget:
        """Return the budget of one scope, such as a host, of a per-scope budget."""
        return replace(self, name=f"{self.name}{SCOPE_SEPARATOR}{scope}", scope_kind="")

    def fraction_amount(self, fraction: int) -> int:
        """Return what the holder of a fraction's lease may grant.

        The fractions add up to the total less ``reserved``.
        """
        grantable = self.total - self.reserved
        upper = grantable * (fraction + 1) // self.fraction_count
        lower = grantable * fraction // self.fraction_count
        return upper - lower
