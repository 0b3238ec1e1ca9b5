"""Admission: which queries a broker takes at all, and when the client of a rejected one may retry."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from heathwell.broker.query_state import SettingsVersion
from heathwell.service.query_cost import query_cost_us
from heathwell.service.records import PartPlan, Plan
from heathwell.service.service_context import ServiceContext
from heathwell.service.settings_change import ServiceSnapshot
from heathwell.service.shard_reachability import ShardReachability
from heathwell.service.storm_control import StormControl

# Of a class's mean latency of a part: no answer is expected within less.
MINIMUM_LATENCY_FRACTION = 0.5
WEIGHT_TOLERANCE = 1e-6
RETRY_JITTER = (0.5, 1.0)  # of the latency objective


class RejectionReason(StrEnum):
    """Why a query is rejected at admission, as event logs and metrics name it."""

    RETRY_STORM = "storm"
    STOPPING = "stopping"
    FULL = "full"
    TIMEOUT_TOO_SHORT = "no time"
    SHARDS_UNREACHABLE = "cut off"
    QUEUE_FULL = "crowded"


class AdmissionRejectedError(Exception):
    """A query is rejected before it costs anything; its client may retry after so long (us)."""

    def __init__(self, reason: RejectionReason, retry_after_us: int) -> None:
        super().__init__(f"{reason.value}, retry after {retry_after_us} us")
        self.reason = reason
        self.retry_after_us = retry_after_us


@dataclass(frozen=True, slots=True)
class Admission:
    """A query that is admitted: the time it has, and the parts that no endpoint within reach holds."""

    timeout_us: int
    cut_off_parts: Sequence[PartPlan]


class AdmissionBroker(ServiceContext, Protocol):
    """What :class:`QueryAdmission` uses of its broker."""

    @property
    def stopping(self) -> bool:
        """Whether the broker shuts down."""

    def is_full(self, parts: int) -> bool:
        """Whether there is no room for a query of so many parts."""

    def mean_part_latency_us(self, query_class: int) -> float:
        """The mean latency of a class's parts."""


class QueryAdmission:
    """The admission of one broker. ``draw`` jitters the time after which clients may retry."""

    def __init__(
        self,
        broker: AdmissionBroker,
        reachability: ShardReachability,
        storm_control: StormControl | None,
        draw: random.Random,
    ) -> None:
        self._broker = broker
        self._reachability = reachability
        self._storm_control = storm_control
        self._draw = draw

    def admit(self, plan: Plan, client: str) -> Admission:
        """Check a query; raises :class:`AdmissionRejectedError`."""
        self._check_storm(plan, client)
        if self._broker.stopping:
            raise self._rejection(RejectionReason.STOPPING, plan, client)
        if self._broker.is_full(len(plan.parts)):
            raise self._rejection(RejectionReason.FULL, plan, client)
        timeout_us = self._timeout_us(plan)
        if self._is_too_short(timeout_us, plan.query_class):
            raise self._rejection(RejectionReason.TIMEOUT_TOO_SHORT, plan, client)
        cut_off_parts = self._reachability.cut_off_parts(plan)
        if cut_off_parts and not self._is_answerable_without(cut_off_parts, plan.query_class):
            raise self._rejection(RejectionReason.SHARDS_UNREACHABLE, plan, client)
        return Admission(timeout_us, cut_off_parts)

    def retry_after_us(
        self,
        plan: Plan,
        client: str,
        version: SettingsVersion[ServiceSnapshot],
        otherwise_us: int | None = None,
    ) -> int:
        """After how long the client of a rejected query may retry.

        By the storm control's schedule where there is one, else as given, else about the class's latency
        objective.
        """
        if self._storm_control is not None:
            return self._storm_control.retry_after_us(client, plan.key, query_cost_us(plan, version))
        if otherwise_us is not None:
            return otherwise_us
        objective_us = version.settings.classes[plan.query_class].latency_objective_us
        longest_us = min(objective_us, self._broker.settings.max_retry_after_us)
        return int(longest_us * self._draw.uniform(*RETRY_JITTER))

    def _check_storm(self, plan: Plan, client: str) -> None:
        if self._storm_control is None:
            return
        cost_us = query_cost_us(plan, self._broker.current_version)
        retry_after_us = self._storm_control.check(client, plan.key, cost_us)
        if retry_after_us is not None:
            raise AdmissionRejectedError(RejectionReason.RETRY_STORM, retry_after_us)

    def _rejection(self, reason: RejectionReason, plan: Plan, client: str) -> AdmissionRejectedError:
        retry_after_us = self.retry_after_us(plan, client, self._broker.current_version)
        return AdmissionRejectedError(reason, retry_after_us)

    def _timeout_us(self, plan: Plan) -> int:
        """The class's time-out, or the client's own where that is shorter."""
        class_timeout_us = self._broker.settings.classes[plan.query_class].timeout_us
        client_timeout_us = plan.search.timeout_us if plan.search is not None else 0
        return min(class_timeout_us, client_timeout_us or class_timeout_us)

    def _is_too_short(self, timeout_us: int, query_class: int) -> bool:
        """Whether a client's own time-out leaves less than even a quick answer takes."""
        if timeout_us >= self._broker.settings.classes[query_class].timeout_us:
            return False
        least_us = MINIMUM_LATENCY_FRACTION * self._broker.mean_part_latency_us(query_class)
        return timeout_us - self._broker.service_settings.limits.reply_transit_us < least_us

    def _is_answerable_without(self, parts: Sequence[PartPlan], query_class: int) -> bool:
        """Whether the other parts can make an answer; if not, waiting for the deadline is pointless."""
        minimum_fraction = self._broker.settings.classes[query_class].minimum_fraction
        return 1 - sum(part.weight for part in parts) >= minimum_fraction - WEIGHT_TOLERANCE
