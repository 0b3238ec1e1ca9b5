"""The work that a query is expected to cost its endpoints."""

from __future__ import annotations

from heathwell.broker.query_state import SettingsVersion
from heathwell.service.query_plans import QueryPlan
from heathwell.service.settings_change import ServiceSnapshot

ROUNDING_UP = 0.999  # Added before the truncation to an integer; allows for rounding errors of the fraction.


def part_work_us(plan: QueryPlan, version: SettingsVersion[ServiceSnapshot]) -> int:
    """Return the expected work of one part (us), by a version of the settings."""
    if plan.search is not None:
        return plan.search.work_us
    return version.extension.service_settings.classes[plan.query_class].work


def query_cost_us(plan: QueryPlan, version: SettingsVersion[ServiceSnapshot]) -> float:
    """Return the expected work (us) of as many parts as a complete answer needs."""
    required_fraction = version.settings.classes[plan.query_class].required_fraction
    required_parts = max(1, int(len(plan.parts) * required_fraction + ROUNDING_UP))
    return float(part_work_us(plan, version) * required_parts)
