"""The final reply to a query, which a broker passes to the servers of client protocols."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from heathwell import policy
from heathwell.service.coverage import Cover


class ReplyKind(StrEnum):
    """How a query ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Rejected, shed or ended without an answer; a retry does no harm."""
    FAILED = "failed"
    """Ended without an answer; it is unknown whether the query had an effect."""
    MISS = "miss"
    """Answered: the record does not exist."""


JsonObject = dict[str, Any]
"""The body of a reply, merged from the answers of endpoints."""


@dataclass(frozen=True, slots=True)
class Coverage:
    """The parts that a reply is based on; ``weight`` is their fraction of the first step's weight.

    ``missing`` are the shards without an answer, of which ``superseded`` could not have changed the reply.
    ``second_step_requested`` and ``second_step_answered`` count the second step's parts. ``cover`` holds the
    requested and answered parts as sets of shards, which can be merged with those of other replies.
    """

    requested_parts: int = 0
    answered_parts: int = 0
    weight: float = 0.0
    required_fraction: float = 1.0
    minimum_fraction: float = 1.0
    missing: tuple[int, ...] = ()
    second_step_requested: int = 0
    second_step_answered: int = 0
    superseded: int = 0
    cover: Cover = field(default_factory=Cover)


@dataclass(frozen=True, slots=True)
class Reply:
    """The final reply to a query.

    ``retry_after_us`` advises the client when to retry, 0 for no advice. ``reason`` is a text for the client.
    ``body`` is the JSON object merged from the answers of endpoints. ``end_reason`` is why the decision
    module ended the query without an answer; it is not sent to clients.
    """

    kind: ReplyKind
    query: str = ""
    query_class: str = ""
    complete: bool = False
    coverage: Coverage = field(default_factory=Coverage)
    body: JsonObject = field(default_factory=dict)
    retry_after_us: int = 0
    reason: str = ""
    end_reason: policy.EndReason | None = None
    age: Age | None = None


@dataclass(frozen=True, slots=True)
class Age:
    """The age of a reply's data: ``bound_us`` is its greatest possible age at ``at_us``, None if unknown.

    ``stale`` is set if that exceeds the age that the query class wants. ``consistent`` is false if item
    details are older than the totals that they belong to. ``behind`` are the shards whose data is older than
    what the client has already received, as its consistency token states; ``token`` is the next such token.
    """

    bound_us: int | None = None
    stale: bool = False
    consistent: bool = True
    behind: tuple[int, ...] = ()
    token: str = ""
    at_us: int = 0


OnReply = Callable[[Reply], None]


def rejection(query_class: str, retry_after_us: int, reason: str, query_id: str = "") -> Reply:
    """Return the reply to a query that is rejected at admission or while it is queued."""
    return Reply(ReplyKind.REFUSED, query_id, query_class, retry_after_us=retry_after_us, reason=reason)
