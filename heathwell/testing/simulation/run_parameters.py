"""The parameters of a run that the audit evaluates its rules with: the first record of a run's event log.

The field names of that record are an interface of the log's readers, so the structs are renamed on encoding.
Times are in microseconds, fractions between 0 and 1.
"""

from __future__ import annotations

from typing import Any

import msgspec

from heathwell.fleet.control.parameters import budgets_from_settings
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.source import SOURCE_CLOCK_OFFSET_US


class ClassParameters(
    msgspec.Struct,
    frozen=True,
    rename={
        "timeout_us": "limit",
        "latency_objective_us": "aim",
        "idempotency": "repeat",
        "idempotency_window_us": "dedup",
        "required_fraction": "need",
        "minimum_fraction": "floor",
        "work_us": "work",
        "second_step_parts": "fetch",
    },
):
    """A query class: its times, idempotency and fractions."""

    timeout_us: int
    latency_objective_us: int
    idempotency: str
    idempotency_window_us: int
    required_fraction: float
    minimum_fraction: float
    work_us: float
    second_step_parts: int


class BudgetParameters(
    msgspec.Struct,
    frozen=True,
    rename={
        "total": "whole",
        "broker_minimum": "own",
        "max_brokers": "most",
        "burst_window_us": "window",
        "linger_timeout_us": "linger",
        "uncounted": "apart",
    },
):
    """A budget that the brokers of a fleet share."""

    name: str
    kind: str
    total: float
    broker_minimum: float
    max_brokers: int
    burst_window_us: int
    linger_timeout_us: int
    uncounted: float


class RunParameters(
    msgspec.Struct,
    frozen=True,
    rename={
        "drain_grace_us": "drain_grace",
        "overload_multiple": "fall_multiple",
        "overload_after_us": "fall_after",
        "additional_attempt_ratio": "further_ratio",
        "ratio_window_us": "counted_over",
        "max_attempts": "attempts",
        "clock_drift": "drift",
        "max_in_flight": "open_cap",
        "source_offset_us": "source_offset",
    },
):
    """The classes, budgets and rules of one run."""

    classes: dict[str, ClassParameters]
    drain_grace_us: int
    overload_multiple: float
    overload_after_us: int
    free_resends: int
    additional_attempt_ratio: float
    ratio_window_us: int
    second_copies: bool
    max_attempts: int
    budgets: list[BudgetParameters]
    start_capacity: float
    clock_drift: float
    max_in_flight: int
    source_offset_us: int | None


def _class_parameters(service_settings: ServiceSettings) -> dict[str, ClassParameters]:
    return {
        spec.name: ClassParameters(
            timeout_us=spec.timeout_us,
            latency_objective_us=spec.latency_objective_us,
            idempotency=spec.idempotency,
            idempotency_window_us=spec.idempotency_window_us,
            required_fraction=spec.required_fraction,
            minimum_fraction=spec.minimum_fraction or spec.required_fraction,
            work_us=spec.work,
            second_step_parts=spec.second_step_parts,
        )
        for spec in service_settings.classes
    }


def _budget_parameters(service_settings: ServiceSettings) -> list[BudgetParameters]:
    return [
        BudgetParameters(
            name=budget.name,
            kind=budget.kind.value,
            total=budget.total,
            broker_minimum=budget.broker_minimum,
            max_brokers=budget.max_brokers,
            burst_window_us=budget.burst_window_us,
            linger_timeout_us=budget.linger_timeout_us,
            uncounted=budget.uncounted,
        )
        for budget in budgets_from_settings(service_settings.fleet)
    ]


def run_parameters(service_settings: ServiceSettings) -> RunParameters:
    """Return the parameters of a run with these settings."""
    rules = service_settings.rules
    limits = service_settings.limits
    return RunParameters(
        classes=_class_parameters(service_settings),
        drain_grace_us=rules.drain_grace,
        overload_multiple=rules.fall_multiple,
        overload_after_us=rules.fall_after,
        free_resends=rules.free_resends,
        additional_attempt_ratio=rules.additional_attempt_ratio,
        ratio_window_us=rules.counted_over,
        second_copies=limits.second_copies,
        max_attempts=limits.attempts,
        budgets=_budget_parameters(service_settings),
        start_capacity=rules.start_capacity,
        clock_drift=service_settings.fleet.drift,
        max_in_flight=limits.open_cap,
        source_offset_us=SOURCE_CLOCK_OFFSET_US if service_settings.freshness.enabled else None,
    )


def run_parameters_record(service_settings: ServiceSettings) -> dict[str, Any]:
    """Return the parameters of a run as the ``figures`` field of the event log's first record."""
    record: dict[str, Any] = msgspec.to_builtins(run_parameters(service_settings))
    return record
