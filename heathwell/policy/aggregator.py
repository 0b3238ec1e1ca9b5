"""The aggregator: composes the components of the decision module and dispatches events to them.

The events of a batch are handled in order; then the present step of each query that got parts is sent; then
due timers fire. Each component is a module of this package and owns its state. ``docs/design.md`` lists the
rules that deviate from Batch Sampling.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from heathwell.datastructures import RunningMean
from heathwell.policy import events
from heathwell.policy.actions import Action, SetTimer
from heathwell.policy.attempt_outcomes import AttemptOutcomes
from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.hedging import Hedger
from heathwell.policy.latency import LatencyModel
from heathwell.policy.load import LoadModel
from heathwell.policy.load_shedding import LoadShedder
from heathwell.policy.outlier_detection import OutlierDetector
from heathwell.policy.query_arrival import QueryTable
from heathwell.policy.query_completion import QueryCompletion
from heathwell.policy.records import Attempt, Endpoint, Part, Query, Timer, TimerKind
from heathwell.policy.replica_selection import ReplicaSelector
from heathwell.policy.retries import RetryRules
from heathwell.policy.retry_budget import RetryBudget
from heathwell.policy.sending import PartSender
from heathwell.policy.settings import Settings
from heathwell.policy.slow_start import SlowStart

TIMER_LABEL = "due"  # label of the timer that the aggregator requests from its caller; one at a time


class Aggregator:
    """Decides for one broker: :meth:`handle` takes a batch of events and returns actions.

    The same settings, seed and events always give the same actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        # Each component gets the ones that it uses, all of which are created before it.
        self.context = DecisionContext(settings, seed)
        self.endpoint_table = EndpointTable(self.context)
        self.latency = LatencyModel(self.context, self.endpoint_table)
        self.load = LoadModel(self.context, self.latency)
        self.slow_start = SlowStart(self.context, self.endpoint_table, self.latency)
        self.outliers = OutlierDetector(self.context, self.endpoint_table, self.latency, self.load)
        self.selector = ReplicaSelector(
            self.context, self.endpoint_table, self.latency, self.load, self.slow_start, self.outliers
        )
        self.retry_budget = RetryBudget(self.context)
        self.retry_rules = RetryRules(self.context, self.retry_budget, self.latency)
        self.query_table = QueryTable(self.context, self.latency, self.retry_budget)
        self.attempts = AttemptTable(self.context, self.load)
        self.shedder = LoadShedder(
            self.context, self.endpoint_table, self.latency, self.load, self.selector, self.attempts
        )
        self.completion = QueryCompletion(self.context, self.query_table, self.attempts)
        self.sender = PartSender(
            self.context,
            self.selector,
            self.shedder,
            self.outliers,
            self.slow_start,
            self.retry_budget,
            self.retry_rules,
            self.attempts,
            self.completion,
        )
        self.hedger = Hedger(
            self.context,
            self.selector,
            self.outliers,
            self.retry_budget,
            self.retry_rules,
            self.attempts,
            self.completion,
            self.sender,
        )
        self.outcomes = AttemptOutcomes(
            self.attempts,
            self.query_table,
            self.latency,
            self.outliers,
            self.retry_rules,
            self.completion,
            self.sender,
            self.hedger,
        )
        self._armed_at_us: int | None = None

    # State that brokers read

    @property
    def settings(self) -> Settings:
        """The settings passed to the constructor."""
        return self.context.settings

    @property
    def random(self) -> random.Random:
        """The random number generator of all random choices."""
        return self.context.random

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All known endpoints, by node."""
        return self.endpoint_table.by_node

    @property
    def endpoints_by_group(self) -> Mapping[int, list[Endpoint]]:
        """All known endpoints, by replica group."""
        return self.endpoint_table.by_group

    @property
    def queries(self) -> Mapping[str, Query]:
        """The queries without a final answer, by id."""
        return self.query_table.by_id

    @property
    def attempts_in_flight(self) -> Collection[Attempt]:
        """The attempts without an outcome from their endpoint, cancelled ones among them."""
        return self.attempts.in_flight()

    @property
    def mean_latency_us(self) -> Sequence[RunningMean]:
        """The mean latency by query class, in microseconds."""
        return self.latency.mean_latency_us

    def slow_start_fraction(self, endpoint: Endpoint) -> float:
        """Return the fraction of an endpoint's capacity that is available in slow start; 1 outside it."""
        return self.slow_start.fraction(endpoint)

    # Events

    def handle(self, now_us: int, batch: Iterable[events.Event]) -> list[Action]:
        """Handle one batch of events at an instant; return the actions, to be carried out in order."""
        self.context.begin_batch(now_us)
        queries_with_parts: dict[str, Query] = {}
        for event in batch:
            if isinstance(event, events.PartArrived):
                query = self.query_table.on_part_arrived(event)
                if query is not None:
                    queries_with_parts[query.id] = query
            else:
                self._dispatch(event)
        for query in queries_with_parts.values():
            if query in self.query_table:
                self.sender.send_step(query)
        while due := self.context.timers.pop_due(now_us):
            self._on_timer(due)
        self._arm_timer()
        return self.context.actions

    def _dispatch(self, event: events.Event) -> None:  # noqa: C901  # one case for each type of event
        match event:
            case events.AttemptEnded():
                self.outcomes.on_attempt_ended(event)
            case events.QueryArrived():
                self.query_table.on_query_arrived(event)
            case events.EndpointUpdate():
                self.endpoint_table.on_update(event)
            case events.ProbeEnded():
                self.outliers.on_probe_ended(event)
            case events.ClientDisconnected():
                self.completion.on_client_disconnected(event.id)
            case events.ShutdownStarted():
                self.completion.on_shutdown_started(event.ends_at_us)
            case events.RestrictionUpdate():
                self._on_restriction_update(event)
            case events.QuotaUpdate():
                self.retry_budget.set_quota(event.additional_attempts)
                self.slow_start.set_quota(event.slow_start_parts)
            case events.AttemptSuperseded():
                self.outcomes.on_attempt_superseded(event)
            case events.TimerFired():
                self._armed_at_us = None

    def _on_restriction_update(self, event: events.RestrictionUpdate) -> None:
        """Restrict endpoints; stop waiting for parts whose live replicas are all excluded now."""
        self.endpoint_table.restrict(event)
        if not event.excluded:
            return
        for query in self.query_table.all():
            excluded_parts = [
                part for part in query.pending_parts() if self.endpoint_table.has_only_excluded_replicas(part)
            ]
            self.completion.exclude_parts(query, excluded_parts)

    # Timers

    def _on_timer(self, timer: Timer) -> None:
        match timer.subject:
            case Query() as query if query in self.query_table:
                self.completion.on_timer(query, timer.kind)
            case Part() as part if part.query in self.query_table:
                self.outcomes.on_retry_wait_ended(part)
            case Attempt() as attempt if attempt.outcome is None:
                if timer.kind == TimerKind.UNRESPONSIVE:
                    self.outliers.eject_if_unresponsive(attempt)
                else:
                    self.hedger.on_late_attempt(attempt)
            case Endpoint() as endpoint:
                self.outliers.on_trial_due(endpoint)
            case None if timer.kind == TimerKind.POLL:
                self.endpoint_table.on_poll_due()
            case None:
                self.endpoint_table.on_poll_timeout()

    def _arm_timer(self) -> None:
        """Request a timer for the earliest due instant, unless an earlier one has been requested."""
        next_at_us = self.context.timers.next_at_us
        if next_at_us is None:
            return
        if self._armed_at_us is None or next_at_us < self._armed_at_us:
            self._armed_at_us = max(next_at_us, self.context.now_us + 1)
            self.context.emit(SetTimer(self._armed_at_us, TIMER_LABEL))
