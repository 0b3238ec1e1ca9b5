"""What a run's log says first: the figures that its rules are judged by."""

from __future__ import annotations

from typing import Any

from heathwell.fleet.control.parameters import budgets_from_settings
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.source import OFFSET_US


def run_figures(service_settings: ServiceSettings) -> dict[str, Any]:
    """The classes and the rules' figures, in the auditor's terms (microseconds and shares)."""
    rules, limits = service_settings.rules, service_settings.limits
    return {
        "classes": {
            spec.name: {
                "limit": spec.timeout_us,
                "aim": spec.latency_objective_us,
                "repeat": spec.idempotency,
                "dedup": spec.idempotency_window_us,
                "need": spec.required_fraction,
                "floor": spec.minimum_fraction or spec.required_fraction,
                "work": spec.work,
                "fetch": spec.second_step_parts,
            }
            for spec in service_settings.classes
        },
        "drain_grace": rules.drain_grace,
        "fall_multiple": rules.fall_multiple,
        "fall_after": rules.fall_after,
        "free_resends": rules.free_resends,
        "further_ratio": rules.additional_attempt_ratio,
        "counted_over": rules.counted_over,
        "second_copies": limits.second_copies,
        "attempts": limits.attempts,
        "budgets": [
            {
                "name": budget.name,
                "kind": budget.kind.value,
                "whole": budget.total,
                "own": budget.broker_minimum,
                "most": budget.max_brokers,
                "window": budget.burst_window_us,
                "linger": budget.linger_timeout_us,
                "apart": budget.uncounted,
            }
            for budget in budgets_from_settings(service_settings.fleet)
        ],
        "start_capacity": rules.start_capacity,
        "drift": service_settings.fleet.drift,
        "open_cap": limits.open_cap,
        "source_offset": OFFSET_US if service_settings.freshness.enabled else None,
    }
