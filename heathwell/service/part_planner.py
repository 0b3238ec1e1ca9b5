"""Creates the parts of a query's steps, and the request for each attempt of a part."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from heathwell.broker.query_state import HintedPart
from heathwell.codec import frames
from heathwell.service import key_spaces
from heathwell.service.query_cost import part_work_us
from heathwell.service.query_plans import PartPlan
from heathwell.service.service_context import ServiceContext
from heathwell.service.service_records import ServicePart, ServiceQuery

UNREACHABLE_PART_STATUS = "no live host holds it, or all lie behind a link that is down"


class PlanningBroker(ServiceContext, Protocol):
    """What :class:`PartPlanner` uses of its broker."""

    def hold_part(self, query: ServiceQuery, part: ServicePart) -> None:
        """Register a part that is not passed to the decision module."""


class PartPlanner:
    """Plans the parts of one broker's queries.

    Steps are generated lazily: a part gets its number when the caller takes it.
    """

    def __init__(self, broker: PlanningBroker) -> None:
        self._broker = broker

    def first_step(self, query: ServiceQuery) -> Iterator[HintedPart[ServicePart]]:
        """Yield the parts of the first step, which are those of the plan."""
        return self._make_parts(query, query.plan.parts, part_work_us(query.plan, query.settings_version))

    def second_step(self, query: ServiceQuery) -> Iterator[HintedPart[ServicePart]]:
        """Yield the parts of the second step: item details from shards that answered the first step."""
        answered = [part.plan for part in query.parts.values() if part.data is not None]
        spec = self._broker.snapshot_of(query).service_settings.classes[query.query_class]
        count = self._broker.query_class_of(query).second_step_parts
        plans = key_spaces.second_step(answered, count)
        return self._make_parts(query, plans, int(spec.work * spec.fetch_work))

    def _make_parts(
        self, query: ServiceQuery, plans: Iterable[PartPlan], work_us: int
    ) -> Iterator[HintedPart[ServicePart]]:
        """Yield the parts of a step.

        Parts that no reachable endpoint holds are registered as unanswered, but are not yielded.
        """
        for plan in plans:
            part = ServicePart(f"{query.id}/{len(query.parts)}", plan, query.step)
            if query.step == 1 and plan in query.unreachable_parts:
                part.status = UNREACHABLE_PART_STATUS
                self._broker.hold_part(query, part)
                continue
            yield HintedPart(part, work_us)

    def attempt_request(
        self, query: ServiceQuery, part: ServicePart, attempt: int, remaining_us: int
    ) -> frames.PartRequest:
        """Return the request for an attempt whose deadline is in ``remaining_us``."""
        plan = part.plan
        search = query.plan.search
        return frames.PartRequest(
            part.id,
            attempt,
            self._broker.query_class_of(query).name,
            plan.operation,
            plan.key,
            plan.shard,
            remaining_us,
            plan.item,
            search.body if search is not None else b"",
        )
