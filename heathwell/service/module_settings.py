"""Converts the settings of a service to those of the decision module."""

from __future__ import annotations

from heathwell import policy
from heathwell.settings import ServiceSettings
from heathwell.settings.schema import QueryClass


def module_settings(service_settings: ServiceSettings, zone: int, aggregator_count: int) -> policy.Settings:
    """Return the decision module's settings for one broker in a zone, one of ``aggregator_count``."""
    rules = service_settings.rules
    limits = service_settings.limits
    fleet = service_settings.fleet
    return policy.Settings(
        classes=tuple(_module_query_class(spec) for spec in service_settings.classes),
        shards=fleet.shards,
        replica_groups=fleet.cells,
        groups_per_shard=fleet.width,
        aggregator_count=aggregator_count,
        zone=zone,
        tick_us=limits.tick,
        max_attempts=limits.attempts,
        max_open=limits.open_cap,
        hedging_allowed=limits.second_copies,
        cancellation_allowed=limits.cancelling,
        probing_allowed=limits.probing,
        retry_advice_allowed=limits.sends_retry_after,
        max_retry_after_us=limits.max_retry_after_us,
        poll_mode=service_settings.discovery.ask,
        max_poll_interval_us=rules.must_ask,
        parts_per_call=limits.parts_a_call,
        # `ServiceBroker.enter_query` marks the queries that may be retries.
        clients_mark_retries=True,
        drain_grace_us=rules.drain_grace,
        overload_multiple=rules.fall_multiple,
        overload_after_us=rules.fall_after,
        slow_start_capacity=rules.start_capacity,
        slow_start_duration_us=rules.warm_within,
        free_additional_attempts=rules.free_resends,
        additional_attempt_ratio=rules.additional_attempt_ratio,
        attempt_budget_window_us=rules.counted_over,
        endpoints_cache_keys=limits.warm_keys,
        priority_scales_with_work=limits.weight_by_work,
    )


def _module_query_class(spec: QueryClass) -> policy.QueryClass:
    return policy.QueryClass(
        name=spec.name,
        latency_objective_us=spec.latency_objective_us,
        timeout_us=spec.timeout_us,
        idempotency=policy.Idempotency(spec.idempotency),
        idempotency_window_us=spec.idempotency_window_us,
        priority_weight=spec.priority_weight,
        late_weight=spec.late_weight,
        partial_weight=spec.partial_weight,
        required_fraction=spec.required_fraction,
        minimum_fraction=spec.minimum_fraction or spec.required_fraction,
        second_step_parts=spec.second_step_parts,
    )
