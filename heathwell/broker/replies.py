"""What fronts get back from the broker: the one final word on a query."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from heathwell import policy
from heathwell.service.coverage import Cover

ANSWERED = "answered"
REFUSED = "refused"
FAILED = "failed"
MISS = "miss"


@dataclass(frozen=True, slots=True)
class Coverage:
    """Which parts an answer rests on; weights are shares of the first step.

    ``missing`` names the shards that are not in it; ``moot`` counts those that could not have changed it;
    ``items`` counts the second step's parts; ``cover`` is the same as sets of shards, to be merged with
    others'.
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

    ``retry_after_us`` is advice when to retry, 0 for none. ``reason`` is a text for the client.
    ``end_reason`` is why the decision module ended the query without an answer; clients are not sent it.
    """

    kind: str
    query: str = ""
    query_class: str = ""
    complete: bool = False
    coverage: Coverage = field(default_factory=Coverage)
    body: dict[str, Any] = field(default_factory=dict)
    retry_after_us: int = 0
    reason: str = ""
    end_reason: policy.EndReason | None = None
    age: Age | None = None


@dataclass(frozen=True, slots=True)
class Age:
    """How old an answer's data is: the greatest age it can have (None: unknown), against what was wanted.

    ``consistent`` is false where item detail is older than the totals it belongs to, ``behind`` names shards
    whose data is older than what the client's token says it has seen; ``at_us`` is the broker's time that the
    age is of.
    """

    bound_us: int | None = None
    stale: bool = False
    consistent: bool = True
    behind: tuple[int, ...] = ()
    token: str = ""
    at_us: int = 0


OnReply = Callable[[Reply], None]
