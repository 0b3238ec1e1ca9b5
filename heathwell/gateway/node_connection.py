"""One connection to a node of the platform: it sends parts as frames and reports the outcome of each attempt.

A :class:`NodeConnection` owns its stream and what is in flight on it; its owner, the link in
:mod:`heathwell.gateway.node_pool`, owns the connection. Imports the frame codec and the event loop.

The wire names the part and not the attempt. So an id is sent at most once over a connection, and a further
attempt of a part at the same node uses another connection: an answer can then only belong to the attempt that
the connection has sent. Ids of abandoned attempts are remembered until they are answered or expire; their
answers are counted and dropped.

A broken connection does not show that its node failed: if the process died, the next connect is refused, and
if the machine is lost, that connect is not answered. So the attempts in flight are reported only once a new
connection was established (connection lost: the attempt may have run) or has failed (broken with its node).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Generator

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.idle_connections import IdleTimeout
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import ConnectError, Coro, Stream, StreamBrokenError, Task
from heathwell.gateway.client_memory import ConnectionMemory
from heathwell.gateway.node_attempts import (
    ABANDONED_ID_RETENTION_US,
    ANSWERED_ID_RETENTION_US,
    OUTCOME_OF_STATUS,
    InFlightAttempt,
    NodeRequest,
    RecentIds,
)
from heathwell.gateway.node_owners import ConnectionOwner

READ_BYTES = 16_384  # read from one connection in one turn
# The broker closes an idle connection after this fraction of the node's idle timeout. It closes first, so
# that it does not send a part while the node closes.
IDLE_TIME_FRACTION = 0.8
# A close by the node within this time after an answer counts as a close after an answer.
CLOSE_AFTER_ANSWER_US = 50_000
# If a connection had more answers than this, its close soon after an answer counts as coincidence.
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
        # Attempts of a broken connection, by part id; the result of this connect decides their outcome.
        self.orphaned: dict[str, AttemptKey] = {}
        self.answered_at_us: int | None = None
        self.answer_count = 0
        self._sent_probes: deque[int] = deque()  # in the order of sending, which is that of their answers
        self._unsent_probes: list[int] = []
        self._waiting_since_us: int | None = None
        self._memory = ConnectionMemory(link.owner.memory, place_bytes=0)  # of calls that are not sent yet
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
        """Whether this part may be sent now: its id is unused here, and the limit of parts is not reached."""
        if self.link.is_single_part and (self.in_flight or self._was_just_answered):
            return False
        if self.retired or not self.is_unused_id(part_id):
            return False
        return len(self.in_flight) < self.link.limits.streams

    def is_unused_id(self, part_id: str) -> bool:
        """Whether no earlier attempt on this connection could receive an answer of this id."""
        return (
            part_id not in self.in_flight and part_id not in self.abandoned and part_id not in self.answered
        )

    @property
    def is_silent(self) -> bool:
        """Whether no byte was received for the silence timeout after something was sent.

        What was sent may have been abandoned since.
        """
        if self._waiting_since_us is None:
            return False
        return self.loop.now() - self._waiting_since_us > self.link.silence_timeout_us

    @property
    def is_busy(self) -> bool:
        """Whether an attempt or a probe of this connection is awaited."""
        if self.in_flight:
            return True
        return any(self.link.is_probe_pending(number) for number in self._probes())

    def is_unsent(self, part_id: str) -> bool:
        """Whether a part is in flight here and nothing of it has been written."""
        return part_id in self.in_flight and self.in_flight[part_id].frame_end is None

    def close_if_outlived(self, sent_at_us: int) -> None:
        """Close if silent, as an attempt sent later over another connection was answered.

        This connection is dead although its node is alive. What is in flight on it ends as timed out, as it
        may have run.
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
        """Stop waiting for an attempt whose outcome the owner has set; cancel it at the node if sent."""
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
                # The socket is full, so the cancel was not sent, and the owner may resend the part at once.
                self.link.log_info("connection closed", "the node does not read, a cancel could not be sent")
                self.close()
                return
        self._check_idle()

    def probe(self, number: int) -> None:
        """Send a probe as soon as the connection is established."""
        self.link.pool_limit.mark_busy(self)
        if self.stream is None:
            self._unsent_probes.append(number)
        else:
            self._send_probe(number)

    def close(self) -> None:
        """Close; attempts in flight end as broken unless another outcome was set."""
        self._closed_by_us = True
        self._task.cancel()
        self._finish()

    # Reading.

    def _run(self) -> Coro[None]:
        try:
            self.stream = yield from self._connect()
            self._on_connected(self.stream)
            while (yield from self._read(self.stream)):
                pass
        except ConnectError as problem:
            self.link.log_info("no connection", str(problem))
        except StreamBrokenError as problem:
            if self.in_flight:
                self.link.log_info("connection lost", str(problem))
        except nf.NodeFrameError as problem:
            # The part has run, and no frame after the invalid one can be read.
            self.link.invalid_answers += 1
            if self.in_flight:
                part = "unknown part" if problem.part_id is None else f"part {problem.part_id}"
                self.link.log_info("malformed answer", f"{part}: {problem}")
            self._end_outcome = policy.Outcome.ERROR
        finally:
            self._finish()

    def _read(self, stream: Stream) -> Generator[object, object, bool]:
        """Wait for bytes and handle them, keeping none for the next wait; return false at the end."""
        data = yield from stream.read(READ_BYTES)
        if data:
            self._on_data(data)
        return bool(data)

    def _connect(self) -> Coro[Stream]:
        """Connect, with one retry if the connection is reset while it is being established."""
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
        stream.max_consecutive_bytes = READ_BYTES
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
                    self.link.log_info("frame rejected by the node", reason)
                    raise StreamBrokenError("the node rejected a frame")
        if self._reader.buffered_bytes and not self.in_flight and not self._sent_probes:
            raise nf.NodeFrameError(f"{self._reader.buffered_bytes} bytes while no answer is expected")
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
            # The outcome of the attempt was already reported, or this is a duplicate: it has no effect.
            self.link.late_answers += 1
            self.link.owner.on_late_answer(self.link.node)
        else:
            raise nf.NodeFrameError(f"answer: no attempt of the part id {message.id[:64]!r} was sent")

    def _on_probe_answer(self, *, ok: bool) -> None:
        if not self._sent_probes:
            raise nf.NodeFrameError("probe answer: no probe is awaited")
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

        The remaining calls are not sent at all, so that their attempts can be reported as never sent.
        """
        stream = self.stream
        if stream is None or self._writing_calls:  # on_flushed may be called while a call is being written
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
        self._memory.resize(0 if stream.closed else stream.unsent)
        self._writing_calls = False

    def _send_probe(self, number: int) -> None:
        self._sent_probes.append(number)
        self._start_waiting()
        self._write(nf.encode_frame(nf.PROBE))

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.try_write(data)  # a broken stream is reported to `_run`, which reads

    def _start_waiting(self) -> None:
        if self._waiting_since_us is None:
            self._waiting_since_us = self.loop.now()

    def _probes(self) -> list[int]:
        return [*self._sent_probes, *self._unsent_probes]

    # The end.

    def _check_idle(self) -> None:
        """If nothing is awaited, start the idle timeout, or close a retired connection."""
        if self._finished or self.stream is None or self.is_busy:
            return
        if self.retired:
            self.close()
            return
        self.link.pool_limit.mark_idle(self)
        self._idle_timeout.restart()

    def _finish(self) -> None:
        """Report what is in flight: attempts not written completely never ran, the others may have."""
        if self._finished:
            return
        self._finished = True
        self._memory.resize(0)
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
        """Close the stream, by a reset if ``abort`` or if bytes are unsent; return the bytes sent over it."""
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
        """Report the attempts that were not written completely, and remove them from ``in_flight``."""
        unsent = [
            attempt
            for attempt in in_flight.values()
            if attempt.frame_end is None or attempt.frame_end > written_bytes
        ]
        # The node counts as unreachable only if the connection was never established.
        never_established = self.stream is None and not self._closed_by_us
        outcome = policy.Outcome.UNREACHABLE if never_established else policy.Outcome.NEVER_SENT
        for attempt in unsent:
            self.link.on_attempt_ended(attempt.key, outcome, None)
            del in_flight[attempt.key[0]]

    def _end_sent(self, in_flight: dict[str, InFlightAttempt]) -> None:
        """Report the attempts that may have run, and the probes; after a break the pool reports them."""
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
