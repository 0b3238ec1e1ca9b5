"""A leaf's execution of attempts: admission, the queue, the slots and the effects of non-idempotent work."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

from heathwell.codec import frames
from heathwell.service.vectors.search_messages import SEARCH_OPERATION, decode_request
from heathwell.testing.standins.data import Operation, UnknownOperationError
from heathwell.testing.standins.leaf_context import LeafContext
from heathwell.testing.standins.leaf_data import AttemptKey, LeafData, ReceivedAttempt
from heathwell.testing.standins.leaf_faults import LeafFault
from heathwell.testing.standins.leaf_replies import LeafReplies
from heathwell.testing.standins.leaf_result_cache import ResultCache
from heathwell.testing.standins.part_outcomes import PartOutcome

QUERY_OF_DEATH: Final = "poison"
"""Text in a part's key that terminates the leaf, as a query does that triggers a bug in a host."""
IDEMPOTENT: Final = "safe"
KEYED: Final = "keyed"


class LeafExecutor:
    """Executes attempts. Work is simulated: it occupies a slot for its duration and uses no processor."""

    def __init__(
        self, context: LeafContext, data: LeafData, replies: LeafReplies, terminate: Callable[[], None]
    ) -> None:
        self._context = context
        self._data = data
        self._replies = replies
        self._terminate = terminate
        self._classes = {spec.name: spec for spec in context.settings.classes}
        self._running: dict[AttemptKey, ReceivedAttempt] = {}
        self._queue: deque[ReceivedAttempt] = deque()
        self._results = ResultCache(context.loop)

    @property
    def load(self) -> int:
        """The number of attempts running and queued."""
        return len(self._running) + len(self._queue)

    def abort(self) -> None:
        """Drop all attempts and results."""
        for attempt in self._running.values():
            if attempt.timer is not None:
                attempt.timer.cancel()
        self._running.clear()
        self._queue.clear()
        self._results.clear()

    def on_attempt(self, attempt: ReceivedAttempt) -> None:
        """Begin, queue, reject or ignore a received attempt."""
        context = self._context
        request = attempt.request
        self._log_arrival(attempt)
        try:
            work_us = self._read_search_work(attempt)
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            context.events("garbled", peer=attempt.broker, why=repr(error))
            self._reply(attempt, PartOutcome.ERROR)
            return
        overload = context.capacity.record_arrival(work_us)
        if overload is not None:
            context.events("fell", node=context.address, pressure=overload)
        if QUERY_OF_DEATH in request.key:
            context.loop.call_soon(self._terminate)
            return
        if not context.is_responsive:
            return
        if attempt.search is not None and self._data.holds(request.shard):
            # Sent before the attempt is queued, so that the broker can skip shards early.
            bounds = self._data.score_bounds(attempt.search, request.shard)
            self._replies.send_score_bounds(attempt, bounds)
        self._admit(attempt)

    def on_cancel(self, key: AttemptKey) -> None:
        """Drop an attempt if it is still queued; a running one continues."""
        context = self._context
        context.events("cancel", p=key.part_id, seq=key.number, node=context.address)
        for attempt in self._queue:
            if attempt.key == key:
                self._queue.remove(attempt)
                return

    def _log_arrival(self, attempt: ReceivedAttempt) -> None:
        context = self._context
        request = attempt.request
        context.events(
            "arrive",
            p=request.id,
            seq=request.seq,
            klass=request.query_class,
            shard=request.shard,
            broker=attempt.broker,
            node=context.address,
            left=request.left_us,
            warmth=round(context.capacity.available_fraction(), 4),
        )

    def _read_search_work(self, attempt: ReceivedAttempt) -> float:
        """Decode the attempt's search, if it is one; return the usual work (us) of the attempt.

        Raise :class:`ValueError`, :class:`KeyError` or :class:`msgspec.MsgspecError` for an invalid search.
        """
        request = attempt.request
        query_class = self._classes.get(request.query_class)
        if query_class is None:
            return 0.0
        if request.op == SEARCH_OPERATION:
            attempt.search = decode_request(request.body)
            return self._data.search_work_us(attempt.search)
        return float(query_class.work)

    def _admit(self, attempt: ReceivedAttempt) -> None:
        """Begin or queue an attempt, or reply that it failed or was rejected."""
        context = self._context
        request = attempt.request
        failing = context.faults.get(LeafFault.FAIL_QUERY_CLASS)
        fails = failing is not None and failing.text == request.query_class
        if fails or request.query_class not in self._classes or not self._data.holds(request.shard):
            self._reply(attempt, PartOutcome.ERROR)
        elif context.draining or context.faults.is_active(LeafFault.REJECT):
            self._reply(attempt, PartOutcome.REJECTED)
        elif len(self._running) < context.settings.leaf.slots:
            self._begin(attempt)
        elif len(self._queue) < context.settings.leaf.queue:
            self._queue.append(attempt)
        else:
            self._reply(attempt, PartOutcome.REJECTED)

    def _begin(self, attempt: ReceivedAttempt) -> None:
        context = self._context
        request = attempt.request
        cached_result = self._find_cached_result(request)
        if cached_result is not None:
            context.events("repeat", p=request.id, seq=request.seq, node=context.address)
            self._reply(attempt, PartOutcome.OK, cached_result)
            return
        attempt.work_us = int(self._draw_duration_us(attempt))
        context.events("begin", p=request.id, seq=request.seq, node=context.address)
        self._running[attempt.key] = attempt
        attempt.timer = context.loop.call_at(context.loop.now() + attempt.work_us, self._on_finished, attempt)

    def _find_cached_result(self, request: frames.PartRequest) -> bytes | None:
        query_class = self._classes[request.query_class]
        if query_class.idempotency != KEYED:
            return None
        return self._results.find(request.id, query_class.idempotency_window_us)

    def _draw_duration_us(self, attempt: ReceivedAttempt) -> float:
        """Return how long (us) the attempt occupies its slot."""
        context = self._context
        request = attempt.request
        query_class = self._classes[request.query_class]
        slow = context.faults.get(LeafFault.SLOW)
        if slow is not None and slow.text not in ("", request.query_class):
            slow = None
        noise_sigma = context.settings.leaf.noise
        noise = context.random.lognormvariate(0.0, noise_sigma) if noise_sigma else 1.0
        if attempt.search is not None:
            work_us = self._data.search_work_us(attempt.search)
        else:
            is_second_step = request.op == Operation.ITEMS
            work_us = query_class.work * (query_class.fetch_work if is_second_step else 1.0)
        speed = context.capacity.speed * context.capacity.available_fraction()
        return work_us * noise / speed * (slow.value if slow else 1.0)

    def _on_finished(self, attempt: ReceivedAttempt) -> None:
        request = attempt.request
        if self._running.pop(attempt.key, None) is None:
            return
        try:
            result = self._compute_result(attempt)
        except (UnknownOperationError, ValueError):
            self._reply(attempt, PartOutcome.ERROR)
        else:
            if self._classes[request.query_class].idempotency != IDEMPOTENT:
                self._record_effect(request, result)
            self._reply(attempt, PartOutcome.OK, result)
        self._begin_queued()

    def _compute_result(self, attempt: ReceivedAttempt) -> bytes:
        if attempt.search is None:
            return self._data.record_result(attempt.request)
        malformed = self._context.faults.get(LeafFault.MALFORMED_RESULTS)
        is_logged = self._context.events.is_enabled
        return self._data.search_result(attempt, attempt.search, malformed, log_hits=is_logged)

    def _record_effect(self, request: frames.PartRequest, result: bytes) -> None:
        context = self._context
        context.events("effect", p=request.id, seq=request.seq, node=context.address)
        self._results.add(request.id, result)

    def _begin_queued(self) -> None:
        context = self._context
        while self._queue and len(self._running) < context.settings.leaf.slots:
            attempt = self._queue.popleft()
            request = attempt.request
            if attempt.stream.closed or context.loop.now() - attempt.received_at_us >= request.left_us:
                # The broker no longer waits for the result.
                context.events("dropped", p=request.id, seq=request.seq, node=context.address)
                continue
            self._begin(attempt)

    def _reply(self, attempt: ReceivedAttempt, outcome: PartOutcome, payload: bytes = b"") -> None:
        self._replies.send_result(attempt, outcome, self.load, payload)
