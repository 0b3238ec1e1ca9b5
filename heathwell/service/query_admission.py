"""Admission control: which queries a broker accepts, and when the client of a rejected one may retry."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from heathwell.broker.query_state import SettingsVersion
from heathwell.service.query_cost import query_cost_us
from heathwell.service.query_plans import PartPlan, QueryPlan
from heathwell.service.service_context import ServiceContext
from heathwell.service.settings_change import ServiceSnapshot
from heathwell.service.shard_reachability import ShardReachability
from heathwell.service.storm_protection import StormProtection

# No answer is expected in less than this fraction of the mean latency of a class's parts.
MINIMUM_LATENCY_FRACTION = 0.5
WEIGHT_TOLERANCE = 1e-6
RETRY_JITTER = (0.5, 1.0)  # The range of a random factor on the retry delay.


class RejectionReason(StrEnum):
    """Why a query is rejected at admission, as named in event logs and metrics."""

    RETRY_STORM = "storm"
    STOPPING = "stopping"
    FULL = "full"
    TIMEOUT_TOO_SHORT = "no time"
    SHARDS_UNREACHABLE = "cut off"
    QUEUE_FULL = "crowded"


class AdmissionRejectedError(Exception):
    """Raised to reject a query before it has cost anything; its client may retry after ``retry_after_us``."""

    def __init__(self, reason: RejectionReason, retry_after_us: int) -> None:
        super().__init__(f"{reason.value}, retry after {retry_after_us} us")
        self.reason = reason
        self.retry_after_us = retry_after_us


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted query: the time that it has, and the parts that no reachable endpoint holds."""

    timeout_us: int
    unreachable_parts: Sequence[PartPlan]


class AdmissionBroker(ServiceContext, Protocol):
    """What :class:`QueryAdmission` uses of its broker."""

    @property
    def stopping(self) -> bool:
        """Whether the broker is shutting down."""

    def is_full(self, parts: int) -> bool:
        """Return whether ``parts`` more parts would exceed the limit on open queries and parts."""

    def mean_part_latency_us(self, query_class: int) -> float:
        """Return the mean latency of a class's parts."""


class QueryAdmission:
    """Admission control of one broker. ``rng`` jitters the time after which clients may retry."""

    def __init__(
        self,
        broker: AdmissionBroker,
        reachability: ShardReachability,
        storm_protection: StormProtection | None,
        rng: random.Random,
    ) -> None:
        self._broker = broker
        self._reachability = reachability
        self._storm_protection = storm_protection
        self._rng = rng

    def admit(self, plan: QueryPlan, client: str) -> Admission:
        """Admit a query; raise :class:`AdmissionRejectedError` if it is rejected."""
        self._check_storm(plan, client)
        if self._broker.stopping:
            raise self._rejection(RejectionReason.STOPPING, plan, client)
        if self._broker.is_full(len(plan.parts)):
            raise self._rejection(RejectionReason.FULL, plan, client)
        timeout_us = self._timeout_us(plan)
        if self._is_too_short(timeout_us, plan.query_class):
            raise self._rejection(RejectionReason.TIMEOUT_TOO_SHORT, plan, client)
        unreachable_parts = self._reachability.unreachable_parts(plan)
        if unreachable_parts and not self._is_answerable_without(unreachable_parts, plan.query_class):
            raise self._rejection(RejectionReason.SHARDS_UNREACHABLE, plan, client)
        return Admission(timeout_us, unreachable_parts)

    def retry_after_us(
        self,
        plan: QueryPlan,
        client: str,
        version: SettingsVersion[ServiceSnapshot],
        otherwise_us: int | None = None,
    ) -> int:
        """Return after how long (us) the client of a rejected query may retry.

        This is by the retry schedule of the storm protection if it is enabled, else ``otherwise_us``, else a
        jittered fraction of the class's latency objective.
        """
        if self._storm_protection is not None:
            return self._storm_protection.retry_after_us(client, plan.key, query_cost_us(plan, version))
        if otherwise_us is not None:
            return otherwise_us
        objective_us = version.settings.classes[plan.query_class].latency_objective_us
        longest_us = min(objective_us, self._broker.settings.max_retry_after_us)
        return int(longest_us * self._rng.uniform(*RETRY_JITTER))

    def _check_storm(self, plan: QueryPlan, client: str) -> None:
        if self._storm_protection is None:
            return
        cost_us = query_cost_us(plan, self._broker.current_version)
        retry_after_us = self._storm_protection.check(client, plan.key, cost_us)
        if retry_after_us is not None:
            raise AdmissionRejectedError(RejectionReason.RETRY_STORM, retry_after_us)

    def _rejection(self, reason: RejectionReason, plan: QueryPlan, client: str) -> AdmissionRejectedError:
        retry_after_us = self.retry_after_us(plan, client, self._broker.current_version)
        return AdmissionRejectedError(reason, retry_after_us)

    def _timeout_us(self, plan: QueryPlan) -> int:
        """Return the class's timeout, or the one chosen by the client if that is shorter."""
        class_timeout_us = self._broker.settings.classes[plan.query_class].timeout_us
        client_timeout_us = plan.search.timeout_us if plan.search is not None else 0
        return min(class_timeout_us, client_timeout_us or class_timeout_us)

    def _is_too_short(self, timeout_us: int, query_class: int) -> bool:
        """Return whether a timeout chosen by the client is shorter than even a fast answer takes."""
        if timeout_us >= self._broker.settings.classes[query_class].timeout_us:
            return False
        least_us = MINIMUM_LATENCY_FRACTION * self._broker.mean_part_latency_us(query_class)
        return timeout_us - self._broker.service_settings.limits.reply_transit_us < least_us

    def _is_answerable_without(self, parts: Sequence[PartPlan], query_class: int) -> bool:
        """Return whether the other parts are enough for an answer; if not, the query can only time out."""
        minimum_fraction = self._broker.settings.classes[query_class].minimum_fraction
        return 1 - sum(part.weight for part in parts) >= minimum_fraction - WEIGHT_TOLERANCE
