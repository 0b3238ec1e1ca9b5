"""One connection to a node of the platform: parts as frames, and a truthful outcome for every attempt on it.

A :class:`NodeConnection` owns its stream and what is in flight on it; its owner, the link in
:mod:`heathwell.gateway.node_pool`, owns the connection. Imports the frame codec and the event loop.

The id on the wire is that of the part, not of the attempt. So an id is sent at most once over a connection:
a further attempt of a part at the same node uses another connection, and an answer can only belong to the
attempt that the connection carried. Abandoned ids are remembered until they are answered or expire; their
answers are counted and dropped.

A connection that breaks is no evidence about its node: if the process died the next connect is refused, if
the machine is lost it is not answered. So the attempts in flight are reported once a new connection was
established (connection lost: the attempt may have run) or failed (broken with its node).
"""

from __future__ import annotations

from collections import deque

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.idle_connections import IdleTimeout
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import ConnectError, Coro, Stream, StreamBrokenError, Task
from heathwell.gateway.node_attempts import (
    ABANDONED_ID_RETENTION_US,
    ANSWERED_ID_RETENTION_US,
    OUTCOME_OF_STATUS,
    InFlightAttempt,
    NodeRequest,
    RecentIds,
)
from heathwell.gateway.node_owners import ConnectionOwner

# Fraction of the idle time after which nodes close: ours closes first, so that no part crosses the close.
IDLE_TIME_FRACTION = 0.8
# A close by the node within this time of an answer counts as caused by it.
CLOSE_AFTER_ANSWER_US = 50_000
# A connection that had more answers than this is taken to have closed after one by chance.
MAX_ANSWERS_BEFORE_CLOSE = 2


class NodeConnection:
    """One connection of a link, from its connect to its close."""

    def __init__(self, link: ConnectionOwner) -> None:
        self.link = link
        self.loop = link.loop
        self.address = link.address
        self.in_flight: dict[str, InFlightAttempt] = {}
        self.abandoned = RecentIds(ABANDONED_ID_RETENTION_US)
        self.answered = RecentIds(ANSWERED_ID_RETENTION_US)
        self.retired = False
        self.stream: Stream | None = None
        self._reader = nf.FrameReader()
        self._unsent_calls: deque[list[NodeRequest]] = deque()
        # Attempts of a connection that broke, whose outcome the connect of this one decides.
        self.orphaned: dict[str, AttemptKey] = {}
        self.answered_at_us: int | None = None
        self.answer_count = 0
        self._sent_probes: deque[int] = deque()  # in the order of sending, in which they are answered
        self._unsent_probes: list[int] = []
        self._waiting_since_us: int | None = None
        self._idle_timeout = IdleTimeout(
            self.loop, int(link.limits.idle_us * IDLE_TIME_FRACTION), lambda: self.is_busy, self.close
        )
        self._end_outcome = policy.Outcome.UNREACHABLE
        self._finished = False
        self._closed_by_us = False
        self._writing_calls = False
        self._task: Task[None] = self.loop.spawn(self._run(), f"node {link.node}")

    # Called by the pool.

    def can_carry(self, part_id: str) -> bool:
        """Whether this part may be sent here now: its id is unused, and a stream is free."""
        if self.link.is_single_part and (self.in_flight or self._was_just_answered):
            return False
        if self.retired or not self.is_unused_id(part_id):
            return False
        return len(self.in_flight) < self.link.limits.streams

    def is_unused_id(self, part_id: str) -> bool:
        """Whether an answer of this id could belong to no earlier attempt on this connection."""
        return (
            part_id not in self.in_flight and part_id not in self.abandoned and part_id not in self.answered
        )

    @property
    def is_silent(self) -> bool:
        """Whether something was sent and no byte received for the silence timeout.

        What was sent may have been abandoned since.
        """
        if self._waiting_since_us is None:
            return False
        return self.loop.now() - self._waiting_since_us > self.link.silence_timeout_us

    @property
    def is_busy(self) -> bool:
        """Whether an attempt or a probe is waited for here."""
        if self.in_flight:
            return True
        return any(self.link.is_probe_pending(number) for number in self._probes())

    def is_unsent(self, part_id: str) -> bool:
        """Whether a part is in flight here and nothing of it has been written."""
        return part_id in self.in_flight and self.in_flight[part_id].frame_end is None

    def close_if_outlived(self, sent_at_us: int) -> None:
        """Close if silent, as an attempt sent later over another connection was answered.

        The connection is lost and its node is not: what is in flight here ends as timed out, it may have run.
        """
        if self.is_silent and self._waiting_since_us is not None and self._waiting_since_us < sent_at_us:
            self._end_outcome = policy.Outcome.TIMED_OUT
            self.close()

    def send(self, requests: list[NodeRequest]) -> None:
        """Send attempts in one call, as soon as the socket takes it."""
        self.link.pool_limit.mark_busy(self)
        for request in requests:
            self.in_flight[request.id] = InFlightAttempt(request.key, self.loop.now())
        self._unsent_calls.append(requests)
        self._write_calls()

    def abandon(self, part_id: str) -> None:
        """Stop waiting for an attempt whose result the owner set itself; cancel it at the node if sent."""
        if self.orphaned.pop(part_id, None) is not None:
            return
        attempt = self.in_flight.pop(part_id)
        if attempt.frame_end is None:
            for requests in self._unsent_calls:
                requests[:] = [request for request in requests if request.id != part_id]
        else:
            self.abandoned.add(part_id, self.loop.now())
            self._write(nf.encode_frame(nf.CANCEL, part_id.encode()))
            if self.stream is not None and not self.stream.closed and self.stream.unsent:
                # Behind a full socket the cancel has not left, and the owner may resend the part at once.
                self.link.log_info("connection closed", "the node does not read")
                self.close()
                return
        self._check_idle()

    def probe(self, number: int) -> None:
        """Send a probe, once the connection is established."""
        self.link.pool_limit.mark_busy(self)
        if self.stream is None:
            self._unsent_probes.append(number)
        else:
            self._send_probe(number)

    def close(self) -> None:
        """Close; what is in flight ends as broken unless another outcome was set."""
        self._closed_by_us = True
        self._task.cancel()
        self._finish()

    # Reading.

    def _run(self) -> Coro[None]:
        try:
            self.stream = yield from self._connect()
            self._on_connected(self.stream)
            while data := (yield from self.stream.read()):
                self._on_data(data)
        except ConnectError as problem:
            self.link.log_info("no connection", str(problem))
        except StreamBrokenError as problem:
            if self.in_flight:
                self.link.log_info("connection lost", str(problem))
        except nf.NodeFrameError as problem:
            # The part has run, and nothing behind the invalid frame can be read.
            self.link.invalid_answers += 1
            if self.in_flight:
                self.link.log_info("malformed answer", f"{problem.part_id or 'of no part'}: {problem}")
            self._end_outcome = policy.Outcome.ERROR
        finally:
            self._finish()

    def _connect(self) -> Coro[Stream]:
        """Connect, with one retry if the connection is reset while it is established."""
        try:
            return (yield from self.link.net.connect(self.address, self.link.limits.connect_us))
        except ConnectError as problem:
            if not problem.reset:
                raise
        return (yield from self.link.net.connect(self.address, self.link.limits.connect_us))

    def _on_connected(self, stream: Stream) -> None:
        self._end_outcome = policy.Outcome.BROKEN
        orphaned = self.orphaned
        self.orphaned = {}
        for key in orphaned.values():
            self.link.on_attempt_ended(key, policy.Outcome.CONNECTION_LOST, None)
        stream.on_flushed = self._write_calls
        self._write_calls()
        probes = self._unsent_probes
        self._unsent_probes = []
        for number in probes:
            self._send_probe(number)
        self._check_idle()

    def _on_data(self, data: bytes) -> None:
        if self.answered_at_us is not None and not self._was_just_answered:
            self.link.consecutive_closes = 0  # the connection outlived an answer
        for message in self._reader.feed(data):
            match message:
                case nf.PartAnswer():
                    self._on_part_answer(message)
                case nf.ProbeAnswer(ok=ok):
                    self._on_probe_answer(ok=ok)
                case nf.FrameRejected(reason=reason):
                    self.link.log_info("a frame could not be used", reason)
                    raise StreamBrokenError("the node could not use a frame")
        if self._reader.buffered_bytes and not self.in_flight and not self._sent_probes:
            raise nf.NodeFrameError("bytes that belong to nothing")
        self._waiting_since_us = self.loop.now() if self.in_flight or self._sent_probes else None
        self._check_idle()

    def _on_part_answer(self, message: nf.PartAnswer) -> None:
        attempt = self.in_flight.pop(message.id, None)
        self.answered_at_us = self.loop.now()
        self.answer_count += 1
        if attempt is not None:
            self.answered.add(message.id, self.loop.now())
            self.link.on_attempt_ended(attempt.key, OUTCOME_OF_STATUS[message.status], message)
            self.link.on_response(self, attempt.sent_at_us)
        elif message.id in self.abandoned or message.id in self.answered:
            # The attempt's result was reported already, or this is a duplicate: it has no effect.
            self.link.late_answers += 1
            self.link.owner.on_late_answer(self.link.node)
        else:
            raise nf.NodeFrameError(f"an answer of unknown id {message.id[:64]!r}")

    def _on_probe_answer(self, *, ok: bool) -> None:
        if not self._sent_probes:
            raise nf.NodeFrameError("an answer to no probe")
        outcome = policy.Outcome.OK if ok else policy.Outcome.ERROR
        self.link.on_probe_ended(self._sent_probes.popleft(), outcome)

    @property
    def _was_just_answered(self) -> bool:
        if self.answered_at_us is None:
            return False
        return self.loop.now() - self.answered_at_us < CLOSE_AFTER_ANSWER_US

    # Writing.

    def _write_calls(self) -> None:
        """Write calls while the socket accepts them.

        A call that waits here has not been sent, so its attempts can be reported as never sent.
        """
        stream = self.stream
        if stream is None or self._writing_calls:  # on_flushed may be called while a call is written
            return
        self._writing_calls = True
        while self._unsent_calls and not (stream.closed or stream.unsent):
            requests = self._unsent_calls.popleft()
            if not requests:
                continue
            now_us = self.loop.now()
            data = nf.encode_call(
                [request.encode(max(1, (request.deadline_at_us - now_us) // 1000)) for request in requests]
            )
            for request in requests:
                if request.id in self.in_flight:
                    self.in_flight[request.id].frame_end = stream.queued + len(data)
            self._start_waiting()
            self._write(data)
        self._writing_calls = False

    def _send_probe(self, number: int) -> None:
        self._sent_probes.append(number)
        self._start_waiting()
        self._write(nf.encode_frame(nf.PROBE))

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.try_write(data)  # if the stream is broken the reading side reports it

    def _start_waiting(self) -> None:
        if self._waiting_since_us is None:
            self._waiting_since_us = self.loop.now()

    def _probes(self) -> list[int]:
        return [*self._sent_probes, *self._unsent_probes]

    # The end.

    def _check_idle(self) -> None:
        """If nothing is waited for, start the idle time, or close a retired connection."""
        if self._finished or self.stream is None or self.is_busy:
            return
        if self.retired:
            self.close()
            return
        self.link.pool_limit.mark_idle(self)
        self._idle_timeout.restart()

    def _finish(self) -> None:
        """End what is in flight: what had not been written completely never ran, the rest may have."""
        if self._finished:
            return
        self._finished = True
        self.link.pool_limit.release(self)
        self.link.on_connection_closed(self)
        self._idle_timeout.cancel()
        self._count_close_after_answer()
        in_flight = self.in_flight
        self.in_flight = {}
        written_bytes = self._close_stream(abort=bool(in_flight))
        for key in self.orphaned.values():
            self.link.on_attempt_ended(key, policy.Outcome.BROKEN, None)
        self._end_unsent(in_flight, written_bytes)
        self._end_sent(in_flight)

    def _count_close_after_answer(self) -> None:
        closed_by_node = self._end_outcome == policy.Outcome.BROKEN and not self._closed_by_us
        if not closed_by_node or self.answered_at_us is None:
            return
        self.link.closes_after_answer += self._was_just_answered
        if self._was_just_answered and self.answer_count <= MAX_ANSWERS_BEFORE_CLOSE:
            self.link.consecutive_closes += 1
        else:
            self.link.consecutive_closes = 0

    def _close_stream(self, *, abort: bool) -> int:
        """Close the stream, at once if ``abort`` or if bytes are unsent; return the bytes sent over it."""
        stream = self.stream
        if stream is None:
            return 0
        written_bytes = stream.sent
        if abort or stream.unsent:
            stream.abort()
        else:
            stream.close()
        return written_bytes

    def _end_unsent(self, in_flight: dict[str, InFlightAttempt], written_bytes: int) -> None:
        """Report the attempts that had not been written completely, and remove them from ``in_flight``."""
        unsent = [
            attempt
            for attempt in in_flight.values()
            if attempt.frame_end is None or attempt.frame_end > written_bytes
        ]
        # Only a connection that was never established shows that its node is unreachable.
        never_established = self.stream is None and not self._closed_by_us
        outcome = policy.Outcome.UNREACHABLE if never_established else policy.Outcome.NEVER_SENT
        for attempt in unsent:
            self.link.on_attempt_ended(attempt.key, outcome, None)
            del in_flight[attempt.key[0]]

    def _end_sent(self, in_flight: dict[str, InFlightAttempt]) -> None:
        """Report the attempts that may have run, and the probes; a break is for the pool to report."""
        probes = self._probes()
        if self._end_outcome == policy.Outcome.BROKEN and not self.link.closing:
            self.link.on_connection_broken(
                [attempt.key for attempt in in_flight.values()],
                [number for number in probes if self.link.is_probe_pending(number)],
            )
            return
        for attempt in in_flight.values():
            self.link.on_attempt_ended(attempt.key, self._end_outcome, None)
        for number in probes:
            self.link.on_probe_ended(number, self._end_outcome)
