"""The methods by which subclasses of the driver request, check and merge parts and observe attempts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, AttemptResult, Link, RequestT
from heathwell.broker.query_state import HintedPart, PartT, QueryT
from heathwell.broker.replies import Reply

ResultT = TypeVar("ResultT", bound=AttemptResult)


class DriverHooks(Generic[QueryT, PartT, ResultT, RequestT]):
    """The methods that a subclass of the driver overrides; they are called in the thread of the loop."""

    def new_link(self, node: str) -> Link[RequestT]:
        """Return a link to an endpoint that has none yet."""
        raise NotImplementedError

    def attempt_request(self, query: QueryT, part: PartT, seq: int, remaining_us: int) -> RequestT:
        """Return the request for attempt ``seq`` of a part, whose deadline is ``remaining_us`` from now."""
        raise NotImplementedError

    def second_step(self, query: QueryT, *, complete: bool) -> Iterable[HintedPart[PartT]]:
        """Return the parts of the second step, not yet registered."""
        raise NotImplementedError

    def merge(self, query: QueryT, *, complete: bool) -> Reply:
        """Return the reply, merged from the parts that were answered."""
        raise NotImplementedError

    def is_usable(self, query: QueryT, part: PartT, node: str, key: AttemptKey, result: ResultT) -> bool:  # noqa: ARG002  # part of a hook
        """Whether an answer can be used; otherwise the attempt ends as an error of its endpoint."""
        return True

    def on_part_answered(self, query: QueryT, part: PartT, key: AttemptKey, result: ResultT) -> None:
        """Called once the answer of an attempt has become the data of its part."""

    def on_attempt_sent(self, node: str, key: AttemptKey) -> None:
        """Called when an attempt was decided; its link is given it at the end of the batch."""

    def on_attempt_ended(self, node: str, key: AttemptKey, outcome: policy.Outcome, took_us: int) -> None:
        """Called when an attempt has ended, ``took_us`` after it was decided."""

    def subject(self, query: QueryT) -> int | None:  # noqa: ARG002  # part of a hook
        """Return a number that identifies whom the query is about (such as a user), ``None`` for nobody."""
        return None

    def retry_after_us(self, query: QueryT, after_us: int) -> int:  # noqa: ARG002  # part of a hook
        """Return the retry advice for a rejected query, given the aggregator's own advice (both us)."""
        return after_us

    def quota_update(self) -> policy.QuotaUpdate | None:
        """Return what this broker may use of fleet-wide quotas now, ``None`` if no quota is configured.

        Called once before each batch; the update becomes the batch's first event.
        """
        return None

    def acquire_quota(self, send: policy.Send, key: AttemptKey) -> bool:  # noqa: ARG002  # part of a hook
        """Acquire a unit of quota for an attempt; if false is returned, the attempt is not sent."""
        return True

    def on_quota_exhausted(self) -> None:
        """Called when the aggregator did not send an additional attempt because the quota is exhausted."""

    def on_reply_made(self, query: QueryT, reply: Reply, took_us: int) -> None:
        """Called with each reply, ``took_us`` after its query arrived and before the client is given it."""

    def on_query_closed(self, query: QueryT) -> None:
        """Called when a query has its reply or its client disconnected; attempts may still be in flight."""

    def on_query_released(self, query: QueryT) -> None:
        """Called once when a query is closed and its last attempt has ended."""

    def on_late_answer(self, node: str) -> None:
        """Called for an answer to an attempt whose outcome was already reported; the answer is ignored."""
