"""Settings of one aggregator: query classes, tenants, limits and parameters of the rules.

Types only, without decisions. Durations end in ``_us`` and are integers in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Idempotency(StrEnum):
    """Whether a part that may have run can be sent again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One query class.

    ``required_fraction`` is the fraction of the first step's weight that makes an answer complete,
    ``minimum_fraction`` the smallest fraction that may be answered, and ``second_step_parts`` the number of
    parts of a second step (0: there is none). ``priority_weight`` is the value of a query answered within its
    objective; ``late_weight`` and ``partial_weight`` are the fractions of that value which a late or a
    partial answer has. ``objective_hint_ratio`` times the query's work hint is added to the objective.
    ``idempotency_window_us`` is how long the servers of a keyed class recognise a repeated part.

    Raises :class:`ValueError` that names the class and the field that is out of range.
    """

    name: str
    latency_objective_us: int
    timeout_us: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_window_us: int = 0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    partial_weight: float = 1.0
    required_fraction: float = 1.0
    minimum_fraction: float = 1.0
    second_step_parts: int = 0
    objective_hint_ratio: float = 0.0

    def __post_init__(self) -> None:
        if self.latency_objective_us <= 0 or self.timeout_us < self.latency_objective_us:
            raise ValueError(
                f"class {self.name}: latency_objective_us must be over 0 and at most timeout_us "
                f"({self.timeout_us}), is {self.latency_objective_us}"
            )
        if self.idempotency not in tuple(Idempotency):
            known = ", ".join(Idempotency)
            raise ValueError(
                f"class {self.name}: idempotency must be one of {known}, is {self.idempotency!r}"
            )
        for field in ("required_fraction", "minimum_fraction"):
            fraction = getattr(self, field)
            if not 0 < fraction <= 1:
                raise ValueError(f"class {self.name}: {field} must be in (0, 1], is {fraction}")
        if self.second_step_parts < 0:
            raise ValueError(
                f"class {self.name}: second_step_parts must not be negative, is {self.second_step_parts}"
            )

    @property
    def allows_partial(self) -> bool:
        """Whether a partial answer may be given."""
        return self.minimum_fraction < self.required_fraction

    @property
    def effective_minimum_fraction(self) -> float:
        """The smallest fraction of the first step's weight that may be answered, complete or partial."""
        return min(self.minimum_fraction, self.required_fraction)

    @property
    def allows_duplicates(self) -> bool:
        """Whether a part may be sent while, or after, another attempt may have executed it."""
        return self.idempotency != Idempotency.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota, a query rate over all aggregators (0: no quota)."""

    name: str
    quota_rps: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one aggregator.

    Placement: shard ``s`` is on ``groups_per_shard`` consecutive replica groups, beginning with group ``s``
    modulo ``replica_groups``. ``aggregator_count`` aggregators share the endpoints; ``zone`` is the zone of
    this one.

    Limits and permissions: ``max_attempts`` per part; ``max_open`` queries and parts at once (0: no limit);
    ``hedging_allowed`` (two attempts of a part in flight); ``cancellation_allowed``; ``probing_allowed``;
    ``retry_advice_allowed``, of at most ``max_retry_after_us``; ``parts_per_call``, the number of parts that
    may share a call.

    Clients: with ``clients_mark_retries`` only a query marked as a retry is taken for one. The priority of
    queries by which a tenant exceeds its quota is multiplied by ``over_quota_weight``. With
    ``priority_scales_with_work`` a query's priority is its class's weight times its work. With
    ``endpoints_cache_keys`` endpoints do less work for recently used keys.

    Discovery: with ``poll_mode`` the aggregator polls for changes, which count as known
    ``max_poll_interval_us`` after they were made; otherwise they are pushed. A draining endpoint gets no new
    attempts later than ``drain_grace_us`` after the update that says so.

    Slow start: an endpoint starts with a fraction ``slow_start_capacity`` of its capacity and has all of it
    after ``slow_start_duration_us``. A load of more than ``overload_multiple`` times its capacity for
    ``overload_after_us`` overloads it.

    Attempt budget: in a window of ``attempt_budget_window_us`` (0: no budget),
    ``free_additional_attempts`` are allowed, plus ``additional_attempt_ratio`` times the admitted queries and
    parts. ``tick_us`` is how long before a deadline the final answer is given.

    Raises :class:`ValueError` that names the field that is out of range.
    """

    classes: tuple[QueryClass, ...]
    shards: int
    replica_groups: int
    groups_per_shard: int
    aggregator_count: int = 1
    zone: int = 0
    tick_us: int = 1000
    max_attempts: int = 3
    max_open: int = 0
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    probing_allowed: bool = False
    retry_advice_allowed: bool = False
    max_retry_after_us: int = 0
    poll_mode: bool = False
    max_poll_interval_us: int = 0
    parts_per_call: int = 1
    clients_mark_retries: bool = False
    drain_grace_us: int = 0
    overload_multiple: float = 0.0
    overload_after_us: int = 0
    slow_start_capacity: float = 1.0
    slow_start_duration_us: int = 0
    free_additional_attempts: int = 0
    additional_attempt_ratio: float = 0.0
    attempt_budget_window_us: int = 0
    endpoints_cache_keys: bool = False
    priority_scales_with_work: bool = False
    over_quota_weight: float = 1.0
    tenants: tuple[Tenant, ...] = ()

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: must name at least one query class, is empty")
        positive = (
            "shards",
            "replica_groups",
            "groups_per_shard",
            "aggregator_count",
            "tick_us",
            "max_attempts",
            "parts_per_call",
        )
        for name in positive:
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1, is {getattr(self, name)}")
        if self.groups_per_shard > self.replica_groups:
            raise ValueError(
                f"groups_per_shard: must be at most replica_groups ({self.replica_groups}), "
                f"is {self.groups_per_shard}"
            )
        if not 0 < self.slow_start_capacity <= 1:
            raise ValueError(f"slow_start_capacity: must be in (0, 1], is {self.slow_start_capacity}")
        for name in ("additional_attempt_ratio", "free_additional_attempts", "attempt_budget_window_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"attempt budget: {name} must not be negative, is {getattr(self, name)}")
