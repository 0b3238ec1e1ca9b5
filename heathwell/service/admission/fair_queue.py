"""Shares the endpoints fairly between flows (the servers of client protocols) by cost, without any I/O.

This is start-time fair queueing (Goyal, Vin, Cheng 1996) under one limit on the work in flight. Work of a
flow that uses less than its share is admitted at once, regardless of the other flows. Capacity that a flow
leaves unused may be borrowed by the others until their work ends. Work that is expected to be queued for
longer than its queue timeout is rejected when it is offered; work that was queued for longer all the same is
rejected at the next poll.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from heathwell.service.admission.concurrency_limiter import ConcurrencyLimiter

SERVICE_TIME_GAIN = 0.05
MAXIMUM_QUEUED = 10_000  # The maximum number of queued entries in a flow.
# The fraction of a flow's share that others may not borrow, so that its work can start at once.
RESERVED_FRACTION = 0.5
SHORTEST_RETRY_DIVISOR = 4  # The shortest retry delay is the longest one divided by this.
RETRY_JITTER = (0.5, 1.0)


class AdmissionDecision(StrEnum):
    """The decision on new work."""

    ADMIT = "go"
    QUEUE = "wait"
    REJECT = "refuse"


@dataclass(frozen=True, slots=True)
class QueueUpdate:
    """Ids of queued work that is admitted now, and of work that is rejected after its queue timeout."""

    admitted: list[str] = field(default_factory=list)
    expired: list[str] = field(default_factory=list)


@dataclass(slots=True)
class QueueEntry:
    """A piece of work, queued or in flight."""

    flow: str
    cost_us: float
    expires_at_us: int
    is_in_flight: bool = False
    admitted_at_us: int = 0


@dataclass(slots=True)
class Flow:
    """The work of one server; ``queue`` and ``expiries`` may hold ids that are no longer queued."""

    weight: float
    queue: deque[str] = field(default_factory=deque)
    expiries: list[tuple[int, str]] = field(default_factory=list)  # A heap.
    queued_count: int = 0
    finish_tag: float = 0.0
    in_flight_us: float = 0.0
    queued_us: float = 0.0
    rejected_count: int = 0


class FairQueue:
    """A fair queue of work by id.

    New work is passed to :meth:`offer`, :meth:`poll` returns queued work that is admitted later, and
    :meth:`end` removes work that has ended.
    """

    def __init__(self, weights: Mapping[str, float], limiter: ConcurrencyLimiter, seed: int) -> None:
        self.flows = {name: Flow(weight) for name, weight in weights.items()}
        self.entries: dict[str, QueueEntry] = {}
        self.limiter = limiter
        self.in_flight_us = 0.0
        self._random = random.Random(seed)
        self._virtual_time = 0.0
        self._service_time_us = 0.0  # The moving average of the time from admission to the end.

    @property
    def is_queueing(self) -> bool:
        """Whether any work is queued."""
        return any(flow.queued_count for flow in self.flows.values())

    def offer(
        self, now_us: int, flow_name: str, work_id: str, cost_us: float, queue_timeout_us: int
    ) -> AdmissionDecision:
        """Decide on new work; it is rejected if it is expected to be queued for longer than its timeout."""
        flow = self.flows[flow_name]
        entry = QueueEntry(flow_name, cost_us, now_us + queue_timeout_us)
        if not flow.queued_count and self._fits(flow, cost_us):
            self.entries[work_id] = entry
            self._admit(now_us, entry, flow)
            return AdmissionDecision.ADMIT
        if flow.queued_count >= MAXIMUM_QUEUED or self.expected_wait_us(flow_name) > queue_timeout_us:
            flow.rejected_count += 1
            return AdmissionDecision.REJECT
        self.entries[work_id] = entry
        flow.queue.append(work_id)
        heapq.heappush(flow.expiries, (entry.expires_at_us, work_id))
        flow.queued_count += 1
        flow.queued_us += cost_us
        return AdmissionDecision.QUEUE

    def _share_us(self, flow: Flow) -> float:
        """Return a flow's share of the limit."""
        return self.limiter.limit_us * flow.weight / sum(other.weight for other in self.flows.values())

    def _fits(self, flow: Flow, cost_us: float) -> bool:
        if flow.in_flight_us + cost_us <= self._share_us(flow) or not flow.in_flight_us:
            return True
        reserved_us = sum(
            max(0.0, self._share_us(other) * RESERVED_FRACTION - other.in_flight_us)
            for other in self.flows.values()
            if other is not flow
        )
        return self.in_flight_us + cost_us <= self.limiter.limit_us - reserved_us

    def _admit(self, now_us: int, entry: QueueEntry, flow: Flow) -> None:
        entry.admitted_at_us = now_us
        entry.is_in_flight = True
        self._virtual_time = max(self._virtual_time, flow.finish_tag)
        flow.finish_tag = self._virtual_time + entry.cost_us / flow.weight
        flow.in_flight_us += entry.cost_us
        self.in_flight_us += entry.cost_us

    def expected_wait_us(self, flow_name: str) -> float:
        """Return how long work offered now would be queued, by Little's law.

        As much work as the limit allows is completed once in the mean service time; a flow gets its share of
        that, or what the others leave unused. Before any work has ended the wait is 0, so that nothing is
        rejected.
        """
        flow = self.flows[flow_name]
        unused_us = self.limiter.limit_us - (self.in_flight_us - flow.in_flight_us)
        return flow.queued_us / max(self._share_us(flow), unused_us) * self._service_time_us

    def end(self, now_us: int, work_id: str) -> None:
        """Remove work that has ended or whose client has disconnected; unknown ids are ignored."""
        entry = self.entries.pop(work_id, None)
        if entry is None:
            return
        flow = self.flows[entry.flow]
        if not entry.is_in_flight:
            flow.queued_count -= 1
            flow.queued_us -= entry.cost_us
            return
        flow.in_flight_us -= entry.cost_us
        self.in_flight_us -= entry.cost_us
        gain = SERVICE_TIME_GAIN if self._service_time_us else 1.0
        self._service_time_us += (now_us - entry.admitted_at_us - self._service_time_us) * gain
        self.limiter.on_work_ended(entry.cost_us, is_more_queued=self.is_queueing)

    def poll(self, now_us: int) -> QueueUpdate:
        """Return the queued work that is admitted now, in fair order, and the work that has expired."""
        update = QueueUpdate()
        while True:
            flow = self._next_flow(now_us, update.expired)
            if flow is None:
                return update
            work_id = flow.queue.popleft()
            entry = self.entries[work_id]
            flow.queued_us -= entry.cost_us
            flow.queued_count -= 1
            self._admit(now_us, entry, flow)
            update.admitted.append(work_id)

    def _next_flow(self, now_us: int, expired: list[str]) -> Flow | None:
        """Return the flow with the lowest start tag whose first work fits; collect expired work."""
        candidates = []
        for flow in self.flows.values():
            expired += self._expire(now_us, flow)
            while flow.queue and not self._is_queued(flow.queue[0]):
                flow.queue.popleft()
            if flow.queue and self._fits(flow, self.entries[flow.queue[0]].cost_us):
                candidates.append((max(self._virtual_time, flow.finish_tag), self._random.random(), flow))
        return min(candidates, key=lambda candidate: candidate[:2])[2] if candidates else None

    def _is_queued(self, work_id: str) -> bool:
        entry = self.entries.get(work_id)
        return entry is not None and not entry.is_in_flight

    def _expire(self, now_us: int, flow: Flow) -> list[str]:
        """Remove and return the work whose queue timeout has passed, at any position in the queue."""
        expired = []
        while flow.expiries and (flow.expiries[0][0] <= now_us or not self._is_queued(flow.expiries[0][1])):
            work_id = heapq.heappop(flow.expiries)[1]
            if self._is_queued(work_id):
                flow.queued_us -= self.entries.pop(work_id).cost_us
                flow.queued_count -= 1
                flow.rejected_count += 1
                expired.append(work_id)
        return expired

    def next_expiry_at_us(self) -> int | None:
        """Return when the next queue timeout passes; None while nothing is queued."""
        return min((flow.expiries[0][0] for flow in self.flows.values() if flow.expiries), default=None)

    def retry_after_us(self, flow_name: str, longest_us: int) -> int:
        """Return after how long a rejected client may retry: the expected wait within bounds, with jitter."""
        wait_us = max(self.expected_wait_us(flow_name), longest_us / SHORTEST_RETRY_DIVISOR)
        return int(min(wait_us, longest_us) * self._random.uniform(*RETRY_JITTER))
