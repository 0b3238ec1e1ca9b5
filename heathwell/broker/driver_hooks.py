"""What a subclass of the driver provides: how parts are requested, checked and merged; what it observes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, AttemptRequest, AttemptResult, Link
from heathwell.broker.query_state import PartT, QueryT
from heathwell.broker.replies import Reply

ResultT = TypeVar("ResultT", bound=AttemptResult)


class DriverHooks(Generic[QueryT, PartT, ResultT]):
    """The methods that a subclass of the driver overrides; the driver calls them, and only from its loop."""

    def new_link(self, node: str) -> Link:
        """The link to a host that is sent to for the first time."""
        raise NotImplementedError

    def attempt_request(self, query: QueryT, part: PartT, seq: int, left_us: int) -> AttemptRequest:
        """What the link is handed for an attempt that has so long (us)."""
        raise NotImplementedError

    def second_step(self, query: QueryT, whole: bool) -> Iterable[tuple[PartT, int | None]]:
        """The second step's parts (states, not yet known to the driver) with their hints (us)."""
        raise NotImplementedError

    def merge(self, query: QueryT, whole: bool) -> Reply:
        """One reply from the parts that are in."""
        raise NotImplementedError

    def is_usable(self, query: QueryT, part: PartT, node: str, key: AttemptKey, result: ResultT) -> bool:
        """Whether an answer can be used; one that can't is told to the module as an error of its host."""
        return True

    def on_part_answered(self, query: QueryT, part: PartT, key: AttemptKey, result: ResultT) -> None:
        """An answer was taken."""

    def on_attempt_sent(self, node: str, key: AttemptKey) -> None:
        """An attempt is handed to its link."""

    def on_attempt_ended(self, node: str, key: AttemptKey, outcome: policy.Outcome, took_us: int) -> None:
        """An attempt has ended."""

    def subject(self, query: QueryT) -> int | None:
        """What the query is about, where that is known as a number."""
        return None

    def retry_after_us(self, query: QueryT, after_us: int) -> int:
        """When a client that the module refuses may come back (us), from the module's own word."""
        return after_us

    def quota_update(self) -> policy.QuotaUpdate | None:
        """What budgets of the whole fleet leave this broker now, for the module; None where there
        are none.
        """
        return None

    def acquire_quota(self, send: policy.Send, key: AttemptKey) -> bool:
        """Whether such a budget has a unit for an attempt at this moment; it is used."""
        return True

    def on_quota_exhausted(self) -> None:
        """The module wanted a further attempt and had no room."""

    def on_reply_made(self, query: QueryT, reply: Reply, took_us: int) -> None:
        """A reply is on its way."""

    def on_query_closed(self, query: QueryT) -> None:
        """A query has had its reply or lost its client."""

    def on_late_answer(self, node: str) -> None:
        """An answer to an attempt whose end was told already: it counts for nothing."""
