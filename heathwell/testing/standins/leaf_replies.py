"""A leaf's replies: results, score bounds and pongs, with the reported load and the age of the data."""

from __future__ import annotations

from heathwell.codec import frames
from heathwell.eventloop import Stream
from heathwell.testing.standins.leaf_context import LeafContext
from heathwell.testing.standins.leaf_data import ReceivedAttempt
from heathwell.testing.standins.leaf_faults import LeafFault
from heathwell.testing.standins.leaf_output import LeafOutput
from heathwell.testing.standins.log_follower import LogFollower
from heathwell.testing.standins.part_outcomes import PartOutcome


class LeafReplies:
    """Sends and logs the replies; ``log_follower`` is None where ages of data are not reported."""

    def __init__(self, context: LeafContext, output: LeafOutput, log_follower: LogFollower | None) -> None:
        self._context = context
        self._output = output
        self._log_follower = log_follower
        self._reported_load = 0
        self._reported_at_us = 0

    def send_pong(self, stream: Stream, number: int, load: int) -> None:
        """Reply to a ping unless the leaf is unresponsive."""
        if self._context.is_responsive:
            self._send(stream, frames.encode(frames.Pong(number, self._load_report(load))))

    def send_score_bounds(self, attempt: ReceivedAttempt, bounds: list[float]) -> None:
        """Send the best score that a row of the shard can have, for each query vector of the search."""
        context = self._context
        request = attempt.request
        context.events("bound", p=request.id, seq=request.seq, node=context.address, best=bounds)
        self._send(attempt.stream, frames.encode(frames.ScoreBound(request.id, request.seq, bounds)))

    def send_result(
        self, attempt: ReceivedAttempt, outcome: PartOutcome, load: int, payload: bytes = b""
    ) -> None:
        """Send the result of an attempt; ``load`` is the number of attempts running and queued."""
        context = self._context
        request = attempt.request
        if self._loses_reply():
            context.events("swallowed", p=request.id, seq=request.seq, node=context.address)
            return
        result = frames.Result(
            request.id,
            request.seq,
            outcome.value,
            payload,
            self._load_report(load),
            work_us=attempt.work_us,
        )
        log_fields: dict[str, object] = {}
        if self._log_follower is not None and outcome is PartOutcome.OK:
            log_fields["true"] = self._set_data_age(result, self._log_follower)
        elif attempt.logged_hits is not None:
            log_fields["rows"] = attempt.logged_hits
        context.events(
            "done",
            p=request.id,
            seq=request.seq,
            outcome=outcome.value,
            node=context.address,
            **log_fields,
        )
        self._send(attempt.stream, frames.encode(result))

    def _send(self, stream: Stream, frame: bytes) -> None:
        # Flushed first, so that the log of a leaf that is killed after the send contains what was sent.
        self._context.events.flush()
        self._output.send(stream, frame)

    def _loses_reply(self) -> bool:
        context = self._context
        if not context.is_responsive:
            return True
        lost = context.faults.get(LeafFault.LOST_REPLIES)
        return lost is not None and context.random.random() < lost.value

    def _set_data_age(self, result: frames.Result, log_follower: LogFollower) -> int:
        """Set the source time that the result reports; return the source time that is actually applied."""
        now_us = self._context.loop.now()
        applied_us = log_follower.advance(now_us)
        result.source_us = log_follower.reported_us(now_us)
        result.position = log_follower.source_log.position(result.source_us)
        return applied_us

    def _load_report(self, load: int) -> int:
        """Return the load as of the last refresh, which is due after the configured interval."""
        now_us = self._context.loop.now()
        if now_us - self._reported_at_us >= self._context.settings.leaf.refresh:
            self._reported_at_us = now_us
            self._reported_load = load
        return self._reported_load
