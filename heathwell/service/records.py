"""What fronts hand to the market's broker."""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell import policy
from heathwell.service.merging import TopK
from heathwell.settings import ServiceSettings


@dataclass(frozen=True, slots=True)
class PartPlan:
    """One part of a query: its shard, its share of the step's weight and what the host is asked."""

    shard: int
    weight: float
    op: str
    key: str
    item: int = 0


@dataclass(slots=True)
class SearchPlan:
    """What makes a query one of vectors: its parts' body, its merge, and what a part is taken to cost (us).

    ``figures`` are what the cost is learned from, under the model's name; ``limit_us`` is the client's own
    time and ``patience_us`` how long it may wait for its turn, 0 for the class's; ``moot`` are parts that
    could not change the answer, and so were not waited for.
    """

    model: str
    body: bytes
    top: TopK
    figures: tuple[float, ...]
    work: int
    timeout_us: int = 0
    patience_us: int = 0
    superseded: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a client's key asks for."""

    query_class: int
    shape: str
    subject: int
    key: str
    parts: tuple[PartPlan, ...]
    seen: dict[int, int] = field(default_factory=dict)
    seen_least: int = 0
    wrong: str = ""
    search: SearchPlan | None = None
    front: str = "memcached"

    def at_least(self, shard: int) -> int:
        """The position of a shard that the client has seen already, by its token."""
        return self.seen.get(shard, self.seen_least)


def module_settings(service_settings: ServiceSettings, zone: int, siblings: int) -> policy.Settings:
    """The decision module's settings from the file's."""
    rules = service_settings.rules
    limits = service_settings.limits
    fleet = service_settings.fleet
    return policy.Settings(
        classes=tuple(
            policy.QueryClass(
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
            for spec in service_settings.classes
        ),
        shards=fleet.shards,
        replica_groups=fleet.cells,
        groups_per_shard=fleet.width,
        aggregator_count=siblings,
        zone=zone,
        tick_us=limits.tick,
        max_attempts=limits.attempts,
        max_open=limits.open_cap,
        hedging_allowed=limits.second_copies,
        cancellation_allowed=limits.cancelling,
        probing_allowed=limits.probing,
        retry_advice_allowed=limits.advise,
        max_retry_after_us=limits.max_advice,
        poll_mode=service_settings.discovery.ask,
        poll_within_us=rules.must_ask,
        parts_per_call=limits.parts_a_call,
        clients_mark_retries=limits.marks_retry,
        drain_grace_us=rules.drain_grace,
        overload_multiple=rules.fall_multiple,
        overload_after_us=rules.fall_after,
        slow_start_capacity=rules.start_capacity,
        slow_start_duration_us=rules.warm_within,
        free_additional_attempts=rules.free_resends,
        additional_attempt_ratio=rules.additional_attempt_ratio,
        attempt_budget_window_us=rules.counted_over,
        endpoints_cache_keys=limits.warm_keys,
        weight_by_work=limits.by_work,
    )
