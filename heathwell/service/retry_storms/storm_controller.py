"""Protects a broker from retry storms: which queries are admitted, and when the others may retry.

There is no I/O. The states are:

- *calm*: all queries are admitted. A retry time is scheduled for rejected queries nevertheless.
- *building*, when ``BUILDING_REPEAT_FRACTION`` of the requests are unscheduled repeats, or connections
  arrive at ``SURGE_FACTOR`` times their baseline rate: the rate of accepted connections is limited.
- *storm*, when repeats are ``STORM_REPEAT_FRACTION`` of the requests and queries are rejected, both for
  ``CONFIRMATION_TICKS``: the work that reaches the decision module is limited to the observed capacity of the
  endpoints. Retries on schedule are admitted first, then first attempts, and early retries last.
- *draining*, when the fraction of repeats is low: as in a storm, but at a rate that grows while answers
  arrive within their objective.

The controller decides by the client and the time of its request, never by endpoints. The decision module
sheds admitted queries by its own estimates. A process that limits its initial work rate starts in draining,
as it has no evidence yet.
"""

from __future__ import annotations

from heathwell.service.retry_storms.accept_pacer import AcceptPacer
from heathwell.service.retry_storms.count_min_sketch import CountMinSketch, hash_names
from heathwell.service.retry_storms.expiring_map import ExpiringMap
from heathwell.service.retry_storms.retry_schedule import RetrySchedule
from heathwell.service.retry_storms.storm_detector import (
    LIMITING_STATES,
    StormChange,
    StormDetector,
    StormState,
)
from heathwell.service.retry_storms.storm_records import (
    UNSCHEDULED_REPEATS,
    RequestKind,
    StormLimits,
    StormVerdict,
)
from heathwell.service.retry_storms.storm_window import TICK_INTERVAL_US, StormWindow
from heathwell.service.retry_storms.work_budget import WorkBudget

SCHEDULE_SEED_MASK = 0xCA1
EARLY_TOLERANCE = 0.1  # A retry may be early by this fraction of its delay, as clients' timers are imprecise.
# The fraction of the work budget that requests of a kind must leave unused.
RESERVED_FRACTIONS = {
    RequestKind.ON_SCHEDULE: 0.0,
    RequestKind.FIRST: 0.3,
    RequestKind.REPEATED: 0.3,
    RequestKind.EARLY: 0.8,
}
MAXIMUM_PENALTY = 8.0  # The highest number of early retries that a penalty is computed from.
MAXIMUM_PENALTY_DELAY = 0.75  # The longest penalty, as a fraction of the longest retry delay.
MAXIMUM_REMEMBERED = 100_000  # The maximum number of retry times, and of requests, that are kept.
RETRY_USED = 0  # Stored in place of a retry time that was used.


class StormController:
    """The storm controller of one broker. Work is in microseconds of the endpoints' time."""

    def __init__(self, limits: StormLimits, now_us: int, seed: int) -> None:
        longest_us = limits.longest_retry_after_us
        self._limits = limits
        self._schedule = RetrySchedule(seed ^ SCHEDULE_SEED_MASK)
        self._retry_at_us: ExpiringMap[int] = ExpiringMap(2 * longest_us, MAXIMUM_REMEMBERED)
        self._requested_at_us: ExpiringMap[int] = ExpiringMap(limits.repeat_interval_us, MAXIMUM_REMEMBERED)
        self._early_counts = CountMinSketch(4 * longest_us)
        self._detector = StormDetector(now_us, is_warming_up=bool(limits.initial_work_rate_us))
        self._budget = WorkBudget(now_us, limits.initial_work_rate_us)
        self._pacer = AcceptPacer(now_us, limits.initial_accept_rate, limits.accept_rate, longest_us)
        self._window = StormWindow()

    @property
    def state(self) -> StormState:
        """The current state."""
        return self._detector.state

    @property
    def evidence(self) -> str:
        """A description of the evidence for the last change of state."""
        return self._detector.evidence

    @property
    def capacity_us(self) -> float:
        """The most work that the endpoints answered in a second."""
        return self._budget.capacity_us

    @property
    def work_rate_us(self) -> float:
        """The work that is admitted in a second while queries are limited."""
        return self._budget.rate_us

    # Connections

    def accept_delay_us(self, now_us: int) -> int:
        """Return after how long the next connection may be accepted; 0: now."""
        return self._pacer.delay_us(now_us, is_calm=self.state == StormState.CALM)

    def on_connection_accepted(self) -> None:
        """Record an accepted connection."""
        self._pacer.on_accepted()
        self._window.current.connections += 1

    # Queries

    def admit(self, now_us: int, client: str, key: str, cost_us: float) -> StormVerdict:
        """Decide on a query before it reaches the decision module.

        ``client`` names the client's address and the query's subject.
        """
        request = hash_names(client, key)
        kind = self._classify(now_us, request, client)
        self._window.current.requests += 1
        self._window.current.repeats += kind in UNSCHEDULED_REPEATS
        self._requested_at_us.put(request, now_us, now_us)
        if self.state not in LIMITING_STATES:
            return StormVerdict(is_admitted=True, kind=kind)
        is_admitted = self._budget.try_spend(
            now_us, cost_us, RESERVED_FRACTIONS[kind], may_exceed_full=kind != RequestKind.EARLY
        )
        if is_admitted:
            return StormVerdict(is_admitted=True, kind=kind)
        retry_after_us = self.schedule_retry(now_us, client, key, cost_us)
        return StormVerdict(is_admitted=False, kind=kind, retry_after_us=retry_after_us)

    def _classify(self, now_us: int, request: int, client: str) -> RequestKind:
        retry_at_us = self._retry_at_us.get(request, now_us)
        if retry_at_us is not None and retry_at_us > RETRY_USED:
            if now_us < retry_at_us:
                self._early_counts.add(hash_names(client), now_us)
                return RequestKind.EARLY
            self._retry_at_us.put(request, RETRY_USED, now_us)
            return RequestKind.ON_SCHEDULE
        requested_at_us = self._requested_at_us.get(request, now_us)
        if requested_at_us is None or now_us - requested_at_us > self._limits.repeat_interval_us:
            return RequestKind.FIRST
        return RequestKind.REPEATED

    def schedule_retry(self, now_us: int, client: str, key: str, cost_us: float) -> int:
        """Return after how long (us) a client whose query is rejected may retry.

        The delay is longer for clients that retried early before.
        """
        self._window.current.rejections += 1
        penalty = min(self._early_counts.count(hash_names(client), now_us), MAXIMUM_PENALTY)
        longest_us = self._limits.longest_retry_after_us
        penalty_us = TICK_INTERVAL_US * penalty * (1 + penalty)
        shortest_us = int(min(longest_us * MAXIMUM_PENALTY_DELAY, penalty_us))
        rate_us = max(self._budget.rate_us, self._budget.current_capacity_us)
        retry_after_us = self._schedule.book(now_us, cost_us, rate_us / 1e6, shortest_us, longest_us)
        retry_at_us = now_us + int(retry_after_us * (1 - EARLY_TOLERANCE))
        self._retry_at_us.put(hash_names(client, key), retry_at_us, now_us)
        return retry_after_us

    def record_reply(self, cost_us: float, *, is_answer: bool, within_objective: bool) -> None:
        """Record the final reply to an admitted query."""
        self._window.current.replies += 1
        self._window.current.good_replies += is_answer and within_objective
        self._window.current.answered_work_us += cost_us if is_answer else 0.0

    # State

    def tick(self, now_us: int, capacity_fraction: float) -> StormChange | None:
        """Update the state, each :data:`TICK_INTERVAL_US`, and return its change, if any.

        ``capacity_fraction`` is what slow starts and losses leave of the endpoints' capacity.
        """
        statistics = self._window.statistics()
        self._budget.observe_capacity(capacity_fraction, statistics.answered_work_rate_us)
        change = self._detector.update(now_us, statistics)
        if change is not None and change.state == StormState.STORM:
            if change.previous not in LIMITING_STATES:
                self._budget.restart(now_us)
        if self.state in LIMITING_STATES:
            self._budget.adapt(statistics)
        self._pacer.tick()
        self._window.advance()
        return change
