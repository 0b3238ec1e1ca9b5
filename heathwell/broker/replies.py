"""What a broker gives to the servers of client protocols: the one final reply to each query."""

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
    """Rejected or shed: a repeat is harmless."""
    FAILED = "failed"
    """Ended without a promise about its effect."""
    MISS = "miss"
    """Answered: the record does not exist."""


JsonObject = dict[str, Any]
"""The body of a reply, as endpoints' answers were merged to it."""


@dataclass(frozen=True, slots=True)
class Coverage:
    """Which parts a reply rests on; ``weight`` is a fraction of the first step's.

    ``missing`` are the shards without an answer, of which ``superseded`` could not have changed the reply;
    ``second_step_requested`` and ``second_step_answered`` count the second step's parts; ``cover`` holds the
    same as sets of shards, to be merged with those of other replies.
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
    """The one final reply to a query.

    ``retry_after_us`` is advice when to retry, 0 for none. ``reason`` is a text for the client. ``body`` is
    the JSON object that the answers of endpoints were merged to. ``end_reason`` is why the decision module
    ended the query without an answer; clients are not sent it.
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
    """How old a reply's data is: ``bound_us`` is its greatest possible age at ``at_us``, None if unknown.

    ``stale`` is true where that exceeds the age that the class asks for, ``consistent`` is false where item
    detail is older than the totals it belongs to; ``behind`` are shards whose data is older than what the
    client has received already, by its token.
    """

    bound_us: int | None = None
    stale: bool = False
    consistent: bool = True
    behind: tuple[int, ...] = ()
    token: str = ""
    at_us: int = 0


OnReply = Callable[[Reply], None]


def rejection(query_class: str, retry_after_us: int, reason: str, query_id: str = "") -> Reply:
    """Return the reply to a query that is rejected at admission, or while it is queued."""
    return Reply(ReplyKind.REFUSED, query_id, query_class, retry_after_us=retry_after_us, reason=reason)
