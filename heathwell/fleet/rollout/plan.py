"""Stages of a rollout: which brokers each one updates, in which order, and how many at a time.

Owns the plan and the order of brokers; does no I/O. Imports only the errors of this package.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import ceil, floor

from heathwell.fleet.rollout.errors import InvalidPlanError

ROUNDING_TOLERANCE = 1e-9  # prevents that a product such as 0.07 * 100 is rounded up to the next broker


@dataclass(frozen=True, slots=True)
class Stage:
    """One stage: ``fraction`` of all brokers, but at least one, run the new version.

    It is observed for ``min_duration_us`` to ``max_duration_us``. With ``require_proof`` the new version must
    be shown to be no worse than the old one; otherwise it passes unless it is shown to be worse.
    """

    fraction: float
    min_duration_us: int = 30_000_000
    max_duration_us: int = 120_000_000
    require_proof: bool = False

    def broker_count(self, brokers: int) -> int:
        """Return how many of ``brokers`` run the new version."""
        rounded_up = ceil(self.fraction * brokers - ROUNDING_TOLERANCE)
        return min(brokers, max(1, rounded_up))


@dataclass(frozen=True, slots=True)
class Plan:
    """The stages of a rollout and the limits on concurrent replacements.

    Before the last stage at most ``max_zone_fraction`` of a zone is updated, so that every zone keeps a
    baseline. At any time at most that fraction of a zone, and at most ``max_concurrent`` brokers in total,
    are being replaced. Raises :class:`InvalidPlanError` for limits out of range, and unless the fractions of
    the stages increase to 1.
    """

    stages: tuple[Stage, ...] = (Stage(0.0), Stage(0.05), Stage(0.25, require_proof=True), Stage(1.0))
    max_zone_fraction: float = 0.34
    max_concurrent: int = 4

    def __post_init__(self) -> None:
        fractions = [stage.fraction for stage in self.stages]
        if not fractions or fractions != sorted(fractions) or not 0 <= fractions[0] <= fractions[-1] == 1:
            shares = ", ".join(f"{fraction:.0%}" for fraction in fractions)
            raise InvalidPlanError(
                f"stages: expected shares in ascending order, the last one 100%, got {shares or 'none'}"
            )
        if not 0 < self.max_zone_fraction <= 1 or self.max_concurrent < 1:
            raise InvalidPlanError(
                "expected zone-share in (0, 1] and at-once of at least 1, "
                f"got zone-share {self.max_zone_fraction} and at-once {self.max_concurrent}"
            )

    def is_last(self, stage: int) -> bool:
        """Whether this is the index of the last stage."""
        return stage == len(self.stages) - 1

    def zone_limit(self, zone_size: int) -> int:
        """Return how many brokers of a zone may be updated, or be replaced at the same time; at least one."""
        return max(1, floor(self.max_zone_fraction * zone_size))


def update_order(zones: dict[str, str]) -> list[str]:
    """Return all brokers ordered by zone, then by name; ``zones`` is the zone of each broker."""
    return sorted(zones, key=lambda name: (zones[name], name))


def select_brokers(plan: Plan, stage: int, zones: dict[str, str]) -> list[str]:
    """Return the brokers that run the new version in a stage, in update order, including earlier stages.

    The only broker of a zone would leave no baseline there, so it is updated in the last stage.
    """
    order = update_order(zones)
    if plan.is_last(stage):
        return order
    zone_sizes = Counter(zones.values())
    selected_of_zone = Counter[str]()
    selected: list[str] = []
    target = plan.stages[stage].broker_count(len(order))
    for name in order:
        zone = zones[name]
        limit = plan.zone_limit(zone_sizes[zone]) if zone_sizes[zone] > 1 else 0
        if len(selected) < target and selected_of_zone[zone] < limit:
            selected_of_zone[zone] += 1
            selected.append(name)
    return selected


def next_batch(plan: Plan, pending: list[str], busy: set[str], zones: dict[str, str]) -> list[str]:
    """Return which ``pending`` brokers may be replaced now, while the ``busy`` ones are being replaced."""
    zone_sizes = Counter(zones.values())
    busy_of_zone = Counter(zones[name] for name in busy)
    batch: list[str] = []
    for name in pending:
        zone = zones[name]
        if len(busy) + len(batch) >= plan.max_concurrent:
            break
        if name not in busy and busy_of_zone[zone] < plan.zone_limit(zone_sizes[zone]):
            busy_of_zone[zone] += 1
            batch.append(name)
    return batch
