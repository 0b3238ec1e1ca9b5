"""Statistics of the canary analysis: a weighted mean with its standard error, and the error of a repeated
test.

The test is repeated during a stage, so the allowed error is spent over these interim analyses ("looks") by
the O'Brien-Fleming boundary (Lan, DeMets, 1983). Each gets its own part of the error: by the union bound the
total holds for any correlation between the interim analyses.

Owns the series and the spent error; does no I/O. Imports no other package of heathwell. scipy is imported at
the first call, because most processes that import this module never call it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

MIN_VALUES = 5  # minimum length of a series for an estimate of its standard error


def student_cdf(value: float, degrees_of_freedom: int) -> float:
    """Return the cumulative distribution function of Student's t."""
    from scipy import special  # type: ignore[import-untyped]  # noqa: PLC0415

    return float(special.stdtr(degrees_of_freedom, value))


def student_quantile(probability: float, degrees_of_freedom: int) -> float:
    """Return the inverse of :func:`student_cdf`."""
    from scipy import special  # noqa: PLC0415

    return float(special.stdtrit(degrees_of_freedom, probability))


def normal_cdf(value: float) -> float:
    """Return the cumulative distribution function of the normal distribution."""
    from scipy import special  # noqa: PLC0415

    return float(special.ndtr(value))


def normal_quantile(probability: float) -> float:
    """Return the inverse of :func:`normal_cdf`."""
    from scipy import special  # noqa: PLC0415

    return float(special.ndtri(probability))


@dataclass(frozen=True, slots=True)
class WeightedValue:
    """A measurement and its weight."""

    value: float
    weight: float


@dataclass(frozen=True, slots=True)
class Estimate:
    """A mean and its standard error, which is infinite if there are too few values."""

    mean: float
    standard_error: float


@dataclass(slots=True)
class DifferenceSeries:
    """Differences between canary and baseline, one per window, and the number of queries on each side."""

    values: list[WeightedValue] = field(default_factory=list)
    canary_queries: int = 0
    baseline_queries: int = 0

    @property
    def degrees_of_freedom(self) -> int:
        """The degrees of freedom of a t-test on this series."""
        return len(self.values) - 1

    def append_window(self, zone_values: Sequence[WeightedValue]) -> None:
        """Add one window: the weighted mean over its zones, at least one."""
        total = sum(zone.weight for zone in zone_values)
        mean = sum(zone.value * zone.weight for zone in zone_values) / total
        self.values.append(WeightedValue(mean, total))

    def has_enough_values(self) -> bool:
        """Whether there are enough windows for an estimate."""
        return len(self.values) >= MIN_VALUES

    def estimate(self) -> Estimate:
        """Return the weighted mean over the windows and its standard error."""
        total = sum(window.weight for window in self.values)
        if not self.has_enough_values() or not total:
            return Estimate(0.0, math.inf)
        mean = sum(window.value * window.weight for window in self.values) / total
        spread = sum(window.weight * (window.value - mean) ** 2 for window in self.values)
        # Equal values do not prove a variance of 0: goodput is between 0 and 1, and the next query may
        # differ.
        floor = 0.25 / total / total
        variance = spread / (self.degrees_of_freedom * total)
        return Estimate(mean, math.sqrt(max(variance, floor)))


@dataclass(slots=True)
class ErrorSpending:
    """The error that a repeated test may spend at each interim analysis; ``error`` is their total."""

    error: float
    planned_looks: int
    looks_done: int = 0
    spent: float = 0.0

    def next_look(self, windows_done: int, windows_planned: int) -> float | None:
        """Return the error that may be spent now, or None if no interim analysis is due."""
        due = windows_done * self.planned_looks // windows_planned
        if due <= self.looks_done:
            return None
        self.looks_done = due
        information_fraction = min(1.0, due / self.planned_looks)
        boundary = normal_quantile(1 - self.error / 2) / math.sqrt(information_fraction)
        spend_until_now = 2 * (1 - normal_cdf(boundary))
        allowed = max(0.0, spend_until_now - self.spent)
        self.spent = max(spend_until_now, self.spent)
        return allowed
