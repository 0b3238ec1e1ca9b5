"""Clients on threads, with an open-loop load: requests start at their times, whether or not replies come.

The clients are real ones (pymemcache, http.client), and log what they send and receive.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final

from heathwell.policy.settings import Idempotency
from heathwell.settings import ServiceSettings
from heathwell.settings.records.queries import QueryClass
from heathwell.testing.simulation.client_attempt import (
    NO_BROKER,
    AttemptKind,
    AttemptResult,
    BrokerDirectory,
)
from heathwell.testing.simulation.client_log import ClientLog
from heathwell.testing.simulation.fault_script import Load
from heathwell.testing.simulation.memcached_connection import MemcachedConnection
from heathwell.testing.simulation.request_numbers import RequestNumbers
from heathwell.testing.simulation.scheduled_requests import ScheduledRequest
from heathwell.testing.simulation.search_connection import SearchConnection
from heathwell.testing.standins.units import US_PER_SECOND

LATE_START_SECONDS: Final = 0.05  # a request that starts later than this counts as off its schedule
FINISH_TIMEOUT_SECONDS: Final = 15.0


class OutcomeKind(StrEnum):
    """How a request ended: with an answer (on time, late or partial), or why without one."""

    ON_TIME = "on time"
    LATE = "late"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    BROKEN = "broken"
    NO_BROKER = "no broker"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended, with its retries.

    It was scheduled so many seconds after the start of the run, and lasted so long from then. ``key`` is its
    first key; ``broker`` is the one that its client last sent a get to, and empty before the first.
    """

    scheduled_at_seconds: float
    query_class: str
    kind: OutcomeKind
    duration_seconds: float
    key: str = ""
    broker: str = ""


class PopulationClient:
    """One client: a connection for gets and one for searches, each to the next broker when it has ended."""

    def __init__(
        self,
        number: int,
        *,
        max_retries: int,
        query_classes: Mapping[str, QueryClass],
        brokers: BrokerDirectory,
        log: ClientLog,
        started_at_seconds: float,
    ) -> None:
        numbers = RequestNumbers(number)
        self._max_retries = max_retries
        self._query_classes = query_classes
        self._started_at_seconds = started_at_seconds
        self._memcached = MemcachedConnection(numbers, brokers, log)
        self._searches = SearchConnection(numbers, brokers, log)

    def close(self) -> None:
        """Close both connections."""
        self._memcached.close()
        self._searches.close()

    def serve(self, request: ScheduledRequest) -> Outcome:
        """Send a request, retry it where that is safe, and return how it ended.

        A refused request is retried after the delay that the broker states, one whose connection broke only
        where its class is idempotent; none is retried past its timeout.
        """
        query_class = self._query_classes[request.query_class]
        timeout_seconds = query_class.timeout_us / US_PER_SECOND
        result = NO_BROKER
        for _ in range(1 + self._max_retries):
            result = self._attempt(request, query_class.timeout_us)
            retry_at_seconds = self._elapsed_seconds(request) + result.retry_after_seconds
            if not _may_retry(result, query_class) or retry_at_seconds > timeout_seconds:
                break
            time.sleep(result.retry_after_seconds)
        duration_seconds = self._elapsed_seconds(request)
        return Outcome(
            scheduled_at_seconds=request.at_seconds,
            query_class=request.query_class,
            kind=_outcome_kind(result, duration_seconds, query_class),
            duration_seconds=duration_seconds,
            key=request.keys[0],
            broker=self._memcached.broker,
        )

    def _elapsed_seconds(self, request: ScheduledRequest) -> float:
        return time.monotonic() - self._started_at_seconds - request.at_seconds

    def _attempt(self, request: ScheduledRequest, timeout_us: int) -> AttemptResult:
        if request.vector:
            return self._searches.search(request, timeout_us)
        if self._memcached.was_closed_by_broker:
            self.close()
        if not self._memcached.is_connected and not self._memcached.connect():
            return NO_BROKER
        result = self._memcached.get(request, timeout_us)
        if result.kind is AttemptKind.BROKEN:
            self.close()
        return result


def _may_retry(result: AttemptResult, query_class: QueryClass) -> bool:
    if result.kind is AttemptKind.BROKEN:
        return Idempotency(query_class.idempotency) is Idempotency.IDEMPOTENT
    return result.kind is AttemptKind.REFUSED


def _outcome_kind(result: AttemptResult, duration_seconds: float, query_class: QueryClass) -> OutcomeKind:
    if result.kind is not AttemptKind.ANSWERED:
        return OutcomeKind(result.kind)
    if not result.is_complete:
        return OutcomeKind.PARTIAL
    is_on_time = duration_seconds <= query_class.latency_objective_us / US_PER_SECOND
    return OutcomeKind.ON_TIME if is_on_time else OutcomeKind.LATE


class ClientPopulation:
    """Clients of several brokers, each on a thread, which take requests from one queue.

    ``outcomes`` has one entry for each request that ended; ``late_start_count`` is the number of requests
    that no client was free for at their time. Without a log path no events are written.
    """

    def __init__(
        self,
        load: Load,
        service_settings: ServiceSettings,
        brokers: BrokerDirectory,
        log_path: str | Path | None,
    ) -> None:
        self.load = load
        self.outcomes: list[Outcome] = []
        self.late_start_count = 0
        self.started_at_seconds = time.monotonic()
        self._brokers = brokers
        self._query_classes = {spec.name: spec for spec in service_settings.classes}
        self._queue: queue.SimpleQueue[ScheduledRequest | None] = queue.SimpleQueue()
        self._log = ClientLog(log_path)
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True) for number in range(load.clients)
        ]

    @property
    def request_count(self) -> int:
        """The number of requests that were sent, retries included."""
        return self._log.request_count

    def start(self) -> float:
        """Start the threads; return the run's start, by the monotonic clock."""
        self.started_at_seconds = time.monotonic()
        self._log.record_start()
        for thread in self._threads:
            thread.start()
        return self.started_at_seconds

    def offer(self, request: ScheduledRequest) -> None:
        """Have a client send a request that is due now."""
        self._queue.put(request)

    def finish(self, timeout_seconds: float = FINISH_TIMEOUT_SECONDS) -> None:
        """Wait for the ends of the requests that were offered, then close the log."""
        for _ in self._threads:
            self._queue.put(None)
        until_seconds = time.monotonic() + timeout_seconds
        for thread in self._threads:
            thread.join(max(0.0, until_seconds - time.monotonic()))
        self._log.close()

    def _run(self, number: int) -> None:
        client = PopulationClient(
            number,
            max_retries=self.load.retries,
            query_classes=self._query_classes,
            brokers=self._brokers,
            log=self._log,
            started_at_seconds=self.started_at_seconds,
        )
        while (request := self._queue.get()) is not None:
            late_seconds = time.monotonic() - self.started_at_seconds - request.at_seconds
            if late_seconds > LATE_START_SECONDS:
                self.late_start_count += 1
            self.outcomes.append(client.serve(request))
        client.close()
