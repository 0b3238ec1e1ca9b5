"""The queries and parts of a service broker."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from heathwell.broker.query_state import PartState, QueryState
from heathwell.service.query_plans import PartPlan, QueryPlan
from heathwell.service.settings_change import ServiceSnapshot


@dataclass(slots=True)
class ServicePart(PartState):
    """A part, with the source position of its answer's data and the source time of that position."""

    plan: PartPlan
    position: int = 0
    source_us: int = 0
    has_known_age: bool = False
    rejected_answer_count: int = 0


@dataclass(slots=True)
class ServiceQuery(QueryState[ServicePart, ServiceSnapshot]):
    """A query with its plan.

    ``unreachable_parts`` are those that no reachable endpoint holds; ``client_id`` names the client and its
    subject.
    """

    plan: QueryPlan = QueryPlan(0, "", 0, "", ())
    unreachable_parts: Sequence[PartPlan] = ()
    client_id: str = ""
