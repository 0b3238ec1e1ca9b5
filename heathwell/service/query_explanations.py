"""Explanations of recent queries for the admin page: which answers each reply was made from."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from heathwell.broker.replies import Reply
from heathwell.service.answer_freshness import AnswerFreshness
from heathwell.service.service_records import ServicePart, ServiceQuery

MICROSECONDS_PER_MILLISECOND = 1000


class PartExplanation(msgspec.Struct, frozen=True):
    """One part: its endpoint, its attempts, the age of its data, and why it is missing if it is.

    The field names in JSON are an interface of the admin page.
    """

    part: str
    shard: int
    step: int
    answered: bool = msgspec.field(name="in")
    node: str | None = msgspec.field(name="host")
    attempts: int
    sent_to: list[str]
    attempt_reasons: list[str]  # The reasons of the attempts in ``sent_to``.
    age_ms: float | None
    why_missing: str | None


class QueryExplanation(msgspec.Struct, frozen=True):
    """What the reply to a query was made from; the field names in JSON are those of the admin page."""

    query: str
    key: str
    class_name: str = msgspec.field(name="class")
    kind: str
    complete: bool = msgspec.field(name="whole")
    duration_ms: float = msgspec.field(name="took_ms")
    age_ms: float | None
    reason: str | None  # Why the decision module ended the query without an answer.
    parts: list[PartExplanation]


@dataclass(frozen=True, slots=True)
class ExplainedQuery:
    """A query whose reply was made. ``replied_at_us`` is a time of the broker's event loop."""

    query: ServiceQuery
    class_name: str
    reply: Reply
    duration_us: int
    replied_at_us: int


class QueryExplanations:
    """The latest queries by id. ``freshness`` provides the age of their data, ``None`` if it is disabled."""

    def __init__(self, freshness: AnswerFreshness | None) -> None:
        self._freshness = freshness
        self._queries: OrderedDict[str, ExplainedQuery] = OrderedDict()

    @property
    def query_ids(self) -> list[str]:
        """The ids of the queries that are kept, oldest first."""
        return list(self._queries)

    def record(self, explained: ExplainedQuery, capacity: int) -> None:
        """Keep a query, and drop the oldest ones beyond the capacity."""
        if not capacity:
            return
        self._queries[explained.query.id] = explained
        while len(self._queries) > capacity:
            self._queries.popitem(last=False)

    def explain(self, query_id: str) -> QueryExplanation | None:
        """Return what a query's reply was made from; ``None`` if the query is not kept."""
        explained = self._queries.get(query_id)
        if explained is None:
            return None
        query = explained.query
        reply = explained.reply
        return QueryExplanation(
            query=query.id,
            key=query.plan.key,
            class_name=explained.class_name,
            kind=reply.kind,
            complete=reply.complete,
            reason=None if reply.end_reason is None else reply.end_reason.value,
            duration_ms=explained.duration_us / MICROSECONDS_PER_MILLISECOND,
            age_ms=_to_milliseconds(reply.age.bound_us if reply.age is not None else None),
            parts=[self._explain_part(part, explained.replied_at_us) for part in query.parts.values()],
        )

    def _explain_part(self, part: ServicePart, replied_at_us: int) -> PartExplanation:
        age_us = self._freshness.age_at_us(part, replied_at_us) if self._freshness is not None else None
        return PartExplanation(
            part=part.id,
            shard=part.plan.shard,
            step=part.step,
            answered=part.data is not None,
            node=part.node or None,
            attempts=part.attempt_count,
            sent_to=part.attempted_nodes(),
            attempt_reasons=[attempt.reason.value for attempt in part.sent_attempts],
            age_ms=_to_milliseconds(age_us),
            why_missing=None if part.data is not None else part.status,
        )


def _to_milliseconds(duration_us: int | None) -> float | None:
    return duration_us / MICROSECONDS_PER_MILLISECOND if duration_us is not None else None
