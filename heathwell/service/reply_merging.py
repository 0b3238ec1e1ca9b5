"""Merges the answered parts of a query into one reply."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from heathwell import policy
from heathwell.broker.replies import Age, Coverage, Reply, ReplyKind
from heathwell.service import key_spaces
from heathwell.service.coverage import Cover
from heathwell.service.merging import MergedRows
from heathwell.service.query_plans import SearchPlan
from heathwell.service.service_records import ServicePart, ServiceQuery

WEIGHT_DIGITS = 6


class UnmergeablePartsError(Exception):
    """Raised if the data of a query's parts does not have the shape that its key space specifies."""

    def __init__(self, query_id: str, reason: str) -> None:
        super().__init__(f"{query_id}: {reason}")
        self.query_id = query_id
        self.reason = reason


@dataclass(frozen=True, slots=True)
class SearchReply(Reply):
    """The reply to a query of vector searches, with the merged rows of each search in order."""

    searches: tuple[MergedRows, ...] = ()


def merged_rows(replies: Sequence[Reply]) -> list[MergedRows]:
    """Return the merged rows of all searches in the replies, in the order of the replies."""
    return [rows for reply in replies if isinstance(reply, SearchReply) for rows in reply.searches]


def merge_reply(
    query: ServiceQuery, query_class: policy.QueryClass, *, complete: bool, age: Age | None
) -> Reply:
    """Return the reply merged from the parts answered so far; raise :class:`UnmergeablePartsError`."""
    coverage = coverage_of(query, query_class)
    search = query.plan.search
    if search is not None:
        return SearchReply(
            ReplyKind.ANSWERED,
            query.id,
            query_class.name,
            complete,
            coverage,
            age=age,
            searches=_merged_searches(query, search),
        )
    try:
        body = key_spaces.merge(query.plan.shape, _answers(query, step=1), _answers(query, step=2))
    except (ValueError, KeyError, TypeError) as error:
        raise UnmergeablePartsError(query.id, repr(error)) from error
    if query.plan.shape == key_spaces.KeyShape.RECORD and not body.get("found", False):
        return Reply(ReplyKind.MISS, query.id, query_class.name, complete=True, coverage=coverage, age=age)
    return Reply(ReplyKind.ANSWERED, query.id, query_class.name, complete, coverage, body, age=age)


def coverage_of(query: ServiceQuery, query_class: policy.QueryClass) -> Coverage:
    """Return which parts a reply made now would be based on."""
    first_step = _parts_of_step(query, 1)
    second_step = _parts_of_step(query, 2)
    answered = [part for part in first_step if part.data is not None]
    missing = [part for part in first_step if part.data is None]
    superseded_ids = query.plan.search.superseded if query.plan.search is not None else set()
    counted = [part for part in first_step if part.data is not None or part.id in superseded_ids]
    oldest_source_us = min(
        (part.source_us for part in query.parts.values() if part.data is not None), default=None
    )
    cover = Cover.of(
        (part.plan.shard for part in first_step), (part.plan.shard for part in answered), oldest_source_us
    )
    return Coverage(
        requested_parts=len(first_step),
        answered_parts=len(answered),
        superseded=sum(part.id in superseded_ids for part in missing),
        weight=round(sum(part.plan.weight for part in counted), WEIGHT_DIGITS),
        required_fraction=query_class.required_fraction,
        minimum_fraction=query_class.minimum_fraction,
        missing=tuple(cover.missing()),
        cover=cover,
        second_step_requested=len(second_step),
        second_step_answered=sum(part.data is not None for part in second_step),
    )


def _parts_of_step(query: ServiceQuery, step: int) -> list[ServicePart]:
    return [part for part in query.parts.values() if part.step == step]


def _answers(query: ServiceQuery, step: int) -> list[bytes]:
    """Return the data of a step's answered parts."""
    return [part.data for part in _parts_of_step(query, step) if part.data is not None]


def _merged_searches(query: ServiceQuery, search: SearchPlan) -> tuple[MergedRows, ...]:
    missing = [part.id for part in query.parts.values() if part.data is None]
    mean_point_count = search.merge.mean_point_count()
    return tuple(
        search.merge.result(number, missing, mean_point_count) for number in range(len(search.merge.limits))
    )
