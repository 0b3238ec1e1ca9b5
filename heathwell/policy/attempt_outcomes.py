"""Outcomes of attempts: the part counts as received, is sent again, waits, or its query is abandoned."""

from __future__ import annotations

from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.events import AttemptEnded, AttemptSuperseded, Outcome
from heathwell.policy.hedging import Hedger
from heathwell.policy.latency import LatencyModel
from heathwell.policy.outlier_detection import OutlierDetector
from heathwell.policy.query_arrival import QueryTable
from heathwell.policy.query_completion import QueryCompletion
from heathwell.policy.records import Attempt, Part
from heathwell.policy.retries import RetryRules
from heathwell.policy.sending import PartSender


class AttemptOutcomes:
    """Handles outcomes of attempts and the end of a part's retry wait; owns no state."""

    def __init__(
        self,
        attempts: AttemptTable,
        queries: QueryTable,
        latency: LatencyModel,
        outliers: OutlierDetector,
        rules: RetryRules,
        completion: QueryCompletion,
        sender: PartSender,
        hedger: Hedger,
    ) -> None:
        self._attempts = attempts
        self._queries = queries
        self._latency = latency
        self._outliers = outliers
        self._rules = rules
        self._completion = completion
        self._sender = sender
        self._hedger = hedger

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome of an attempt; an unknown attempt is ignored."""
        attempt = self._attempts.end(event.id, event.seq, event.outcome)
        if attempt is None:
            return
        attempt.part.query.broken_connections += attempt.outcome == Outcome.BROKEN
        if event.outcome == Outcome.OK:
            self._on_response(attempt, event.elapsed_us)
        else:
            self._outliers.record_failure(attempt, event.outcome)
            self._replace(attempt.part, event.outcome)

    def on_attempt_superseded(self, event: AttemptSuperseded) -> None:
        """Count a part as received whose response can't change its query's answer any more."""
        attempt = self._attempts.get(event.id, event.seq)
        if attempt is not None:
            self._completion.record_part(attempt.part)

    def on_retry_wait_ended(self, part: Part) -> None:
        """Send a part that could not be sent before; otherwise let it wait again or abandon its query."""
        part.waiting = False
        if part.done or self._sender.try_send(part) or self._rules.wait_for_budget(part):
            return
        self._completion.abandon_if_unanswerable(part.query)

    def _on_response(self, attempt: Attempt, latency_us: int) -> None:
        query = attempt.part.query
        self._outliers.record_response(attempt)
        self._latency.record_response(attempt, latency_us)
        was_counted = self._completion.record_part(attempt.part)
        if was_counted and query in self._queries and not query.has_response:
            query.has_response = True
            self._sender.resume(query)

    def _replace(self, part: Part, outcome: Outcome) -> None:
        """Send a failed part again if its class and the budgets allow that, else an unsent part instead."""
        query = part.query
        if not self._completion.is_awaited(part) or outcome == Outcome.CANCELLED or part.in_flight():
            return
        if self._completion.hold_or_abandon_query_of_death(query):
            return
        # A query of death must not crash both replicas of a shard, so a part of another shard goes first.
        if outcome == Outcome.BROKEN and not query.has_response and self._hedger.send_unsent_part(query):
            return
        if self._sender.try_send(part) or part.waiting or self._hedger.send_unsent_part(query):
            return
        if not self._rules.wait_for_budget(part):
            self._completion.abandon_if_unanswerable(query)
