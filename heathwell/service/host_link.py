"""A connection to one endpoint that multiplexes attempts; each attempt ends with exactly one outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.idle_connections import IdleTimeout
from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import (
    ConnectError,
    Coro,
    Loop,
    Net,
    Stream,
    StreamBrokenError,
    StreamOverrunError,
    Task,
    Timer,
)

OUTCOMES = {"ok": policy.Outcome.OK, "error": policy.Outcome.ERROR, "full": policy.Outcome.REJECTED}
HEARTBEATS_PER_TIMEOUT = 4  # Pings within the time after which an endpoint closes a silent connection.


class AttemptObserver(Protocol):
    """Receives the outcomes of attempts and probes, and the endpoint's notices."""

    def on_attempt_result(
        self, node: str, key: AttemptKey, outcome: policy.Outcome, result: frames.Result | None
    ) -> None:
        """Handle the one outcome of an attempt."""

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Handle the one outcome of a probe."""

    def parts_to_send(self, node: str, parts: list[frames.PartRequest]) -> list[frames.PartRequest]:
        """Return which of the attempts that waited for the connection may still be sent.

        The observer ends the others itself.
        """

    def on_score_bound(self, node: str, key: AttemptKey, best: list[float]) -> None:
        """Handle the bounds on an attempt's scores, which an endpoint sends before it searches."""

    def on_late_answer(self, node: str) -> None:
        """Handle a result for an attempt that has already ended."""

    def on_endpoint_draining(self, node: str) -> None:
        """Handle an endpoint's notice that it is draining."""


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt whose frame begins at ``frame_offset`` of the stream; ``None`` until it is written."""

    frame_offset: int | None = None


class HostLink:
    """A broker's connection to one endpoint, opened when there is something to send and closed when idle.

    The endpoint may close a connection after ``endpoint_idle_timeout_us`` of silence (0: it does not), so
    pings are sent more often than that. ``on_closed`` is called whenever a connection has ended, with whether
    the endpoint has observed the end.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        node: str,
        name: str,
        observer: AttemptObserver,
        *,
        connect_timeout_us: int,
        probe_timeout_us: int,
        idle_timeout_us: int,
        log: Callable[..., None],
        endpoint_idle_timeout_us: int = 0,
        on_closed: Callable[[bool], None] | None = None,
    ) -> None:
        self.loop = loop
        self.net = net
        self.node = node
        self.name = name
        self.observer = observer
        self.log = log
        self.connect_timeout_us = connect_timeout_us
        self.probe_timeout_us = probe_timeout_us
        self.endpoint_idle_timeout_us = endpoint_idle_timeout_us
        self.on_closed = on_closed
        self._heartbeat_timer: Timer | None = None
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}
        self.stream: Stream | None = None
        self.late_answers = 0
        self._pending_calls: list[list[frames.PartRequest]] = []
        self._task: Task[None] | None = None
        self._probes: dict[int, Timer] = {}
        self._probe_number = 0
        self._idle = IdleTimeout(
            loop,
            idle_timeout_us,
            lambda: self.stream is None or bool(self.in_flight or self._probes),
            self.close,
        )

    @property
    def up(self) -> bool:
        """Whether the connection is established."""
        return self.stream is not None

    def send(self, parts: list[frames.PartRequest]) -> None:
        """Send attempts in one call; each ends with exactly one outcome."""
        for part in parts:
            self.in_flight[part.id, part.seq] = InFlightAttempt()
        if self.stream is None:
            self._pending_calls.append(parts)
            self._connect()
        else:
            self._write_call(parts)

    def abandon(self, key: AttemptKey) -> bool:
        """Stop waiting for an attempt that the observer has ended itself; return whether it was in flight."""
        sent = self.in_flight.pop(key, None)
        if sent is None:
            return False
        if sent.frame_offset is None:
            for parts in self._pending_calls:
                parts[:] = [part for part in parts if (part.id, part.seq) != key]
        elif self.stream is not None:
            self._write(frames.encode(frames.CancelPart(*key)))
        self._idle.restart()
        return True

    def withdraw(self, key: AttemptKey) -> bool:
        """Withdraw an attempt if it was not written to a stream; return whether it was withdrawn."""
        return key in self.in_flight and self.in_flight[key].frame_offset is None and self.abandon(key)

    def probe(self) -> None:
        """Send a ping as a probe, which ends with exactly one outcome."""
        self._probe_number += 1
        number = self._probe_number
        self._probes[number] = self.loop.call_at(
            self.loop.now() + self.probe_timeout_us, self._end_probe, number, policy.Outcome.TIMED_OUT
        )
        if self.stream is None:
            self._connect()
        else:
            self._write(frames.encode(frames.Ping(number)))

    def close(self) -> None:
        """Close the connection; attempts in flight end as broken."""
        if self._task is not None:
            self._task.cancel()

    def _connect(self) -> None:
        if self._task is None:
            self._task = self.loop.spawn(self._run(), f"host {self.node}")

    def _run(self) -> Coro[None]:
        stream: Stream | None = None
        outcome = policy.Outcome.UNREACHABLE
        end_observed = False
        try:
            stream = yield from self.net.connect(self.node, self.connect_timeout_us)
            outcome = policy.Outcome.BROKEN
            self.stream = stream
            self._write(
                frames.encode(
                    frames.Hello(frames.VERSION, self.name, "broker", self.endpoint_idle_timeout_us)
                )
            )
            self._send_heartbeat()
            for number in self._probes:
                self._write(frames.encode(frames.Ping(number)))
            waiting = self._pending_calls
            self._pending_calls = []
            for parts in waiting:
                sendable = self.observer.parts_to_send(self.node, parts)
                if sendable:
                    self._write_call(sendable)
            self._idle.restart()
            yield from inner_protocol.listen(stream, self._on_message)
            end_observed = True
            if self.in_flight:
                raise StreamBrokenError(  # noqa: TRY301  # handled below as any break
                    "endpoint closed the connection with attempts in flight"
                )
        except ConnectError as error:
            end_observed = str(error) == "ECONNREFUSED"
            self.log("debug", "connection failed", node=self.node, why=str(error))
        except (StreamBrokenError, frames.FrameError) as error:
            end_observed = (
                end_observed
                or isinstance(error, StreamBrokenError)
                and not isinstance(error, StreamOverrunError)
            )
            self.log("info", "connection lost", node=self.node, why=str(error), in_flight=len(self.in_flight))
        finally:
            self._on_connection_lost(stream, outcome)
            if self.on_closed is not None:
                self.on_closed(end_observed)

    def _send_heartbeat(self) -> None:
        """Send a ping and schedule the next, if the endpoint closes silent connections."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self.endpoint_idle_timeout_us and self.stream is not None:
            self._heartbeat_timer = self.loop.call_at(
                self.loop.now() + self.endpoint_idle_timeout_us // HEARTBEATS_PER_TIMEOUT,
                self._send_heartbeat,
            )
            self._write(frames.encode(frames.Ping(0)))

    def _on_message(self, message: frames.AnyMessage) -> None:
        match message:
            case frames.Result():
                key = (message.id, message.seq)
                if self.in_flight.pop(key, None) is None:
                    self.late_answers += 1  # The attempt has already ended, so the answer has no effect.
                    self.observer.on_late_answer(self.node)
                else:
                    outcome = OUTCOMES.get(message.outcome, policy.Outcome.ERROR)
                    self.observer.on_attempt_result(self.node, key, outcome, message)
                self._idle.restart()
            case frames.ScoreBound(id=part, seq=seq, best=best):
                if (part, seq) in self.in_flight:
                    self.observer.on_score_bound(self.node, (part, seq), best)
            case frames.Pong(number=number):
                if number not in self._probes:
                    self.observer.on_late_answer(self.node)
                self._end_probe(number, policy.Outcome.OK)
            case frames.DrainNotice():
                self.observer.on_endpoint_draining(self.node)

    def _write_call(self, parts: list[frames.PartRequest]) -> None:
        assert self.stream is not None
        frame_offset = self.stream.queued
        for part in parts:
            if (part.id, part.seq) in self.in_flight:
                self.in_flight[part.id, part.seq].frame_offset = frame_offset
        self._write(frames.encode(frames.Call(parts)))

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.try_write(data)  # The reading task reports a broken connection.

    def _on_connection_lost(self, stream: Stream | None, outcome: policy.Outcome) -> None:
        """Report the outcomes of all attempts and probes on a lost connection.

        Attempts whose bytes were not sent are unreachable, as they can't have run; the others may have run.
        """
        sent_bytes = stream.sent if stream is not None else 0
        self.stream = None
        self._task = None
        in_flight = self.in_flight
        self.in_flight = {}
        self._pending_calls = []
        for key, attempt in in_flight.items():
            is_unsent = attempt.frame_offset is None or attempt.frame_offset >= sent_bytes
            self.observer.on_attempt_result(
                self.node, key, policy.Outcome.UNREACHABLE if is_unsent else outcome, None
            )
        for number in list(self._probes):
            self._end_probe(number, outcome)
        if stream is not None:
            stream.abort() if in_flight else stream.close()

    def _end_probe(self, number: int, outcome: policy.Outcome) -> None:
        timer = self._probes.pop(number, None)
        if timer is not None:
            timer.cancel()
            self.observer.on_probe_result(self.node, outcome)
            self._idle.restart()
