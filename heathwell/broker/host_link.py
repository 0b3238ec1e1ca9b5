"""Connections to hosts: one a host, many attempts in flight, and every attempt's end told as what it was."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heathwell import inner_protocol, policy
from heathwell.broker.idle_connections import IdleTime
from heathwell.codec import frames
from heathwell.kernel import ConnectFailed, Coro, Loop, Net, Overrun, Stream, StreamBroken, Task, Timer

OUTCOMES = {"ok": policy.Outcome.OK, "error": policy.Outcome.ERROR, "full": policy.Outcome.REJECTED}
Key = tuple[str, int]
BEATS = 4  # pings within the time after which a host closes what is silent


class Owner(Protocol):
    """Who is told how attempts and probes end."""

    def on_attempt_result(
        self, node: str, key: Key, outcome: policy.Outcome, result: frames.Result | None
    ) -> None:
        """One outcome an attempt."""

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """One outcome a probe."""

    def waited(self, node: str, parts: list[frames.PartRequest]) -> list[frames.PartRequest]:
        """Which of the attempts that waited for their connection may still leave; the others are ended by the
        owner.
        """

    def bound(self, node: str, key: Key, best: list[float]) -> None:
        """A host's word, before its work, on how good an attempt's best row can be."""

    def on_late_answer(self, node: str) -> None:
        """A result whose attempt's end was told already."""

    def said_draining(self, node: str) -> None:
        """The host itself says that it drains."""


@dataclass(slots=True)
class Sent:
    """An attempt here; ``starts`` is where its frame begins in the stream, None: not written."""

    starts: int | None = None


class HostLink:
    """One broker's way to one host: connects when there is something to send, closes when idle. With
    ``quiet_us`` the host may close it when nothing came for so long, and a ping goes out in time.
    ``on_closed`` is told of each end, and whether the host has seen it.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        node: str,
        name: str,
        owner: Owner,
        *,
        connect_timeout: int,
        probe_timeout: int,
        idle_close: int,
        log: Callable[..., None],
        quiet_us: int = 0,
        on_closed: Callable[[bool], None] | None = None,
    ) -> None:
        self.loop, self.net, self.node, self.name, self.owner, self.log = loop, net, node, name, owner, log
        self.connect_timeout, self.probe_timeout = connect_timeout, probe_timeout
        self.quiet_us, self.on_closed = quiet_us, on_closed
        self._beat: Timer | None = None
        self.out: dict[Key, Sent] = {}
        self.stream: Stream | None = None
        self.connects = self.late_answers = 0
        self._waiting: list[list[frames.PartRequest]] = []
        self._task: Task | None = None
        self._probes: dict[int, Timer] = {}
        self._probe_no = 0
        self._idle = IdleTime(
            loop, idle_close, lambda: self.stream is None or bool(self.out or self._probes), self.close
        )

    @property
    def up(self) -> bool:
        """Whether the connection stands."""
        return self.stream is not None

    def send(self, parts: list[frames.PartRequest]) -> None:
        """Send attempts in one call; each will end once."""
        for ask in parts:
            self.out[ask.id, ask.seq] = Sent()
        if self.stream is None:
            self._waiting.append(parts)
            self._connect()
        else:
            self._write_call(parts)

    def abandon(self, key: Key) -> bool:
        """Stop waiting for an attempt whose end the owner has told by itself; true if it was out."""
        sent = self.out.pop(key, None)
        if sent is None:
            return False
        if sent.starts is None:
            for parts in self._waiting:
                parts[:] = [ask for ask in parts if (ask.id, ask.seq) != key]
        elif self.stream is not None:
            self._write(frames.encode(frames.CancelPart(*key)))
        self._idle.rests()
        return True

    def withdraw(self, key: Key) -> bool:
        """Take back an attempt that is not written yet."""
        return key in self.out and self.out[key].starts is None and self.abandon(key)

    def probe(self) -> None:
        """Ask for a sign of life; ends once."""
        self._probe_no += 1
        number = self._probe_no
        self._probes[number] = self.loop.call_at(
            self.loop.now() + self.probe_timeout, self._probe_over, number, policy.Outcome.TIMED_OUT
        )
        if self.stream is None:
            self._connect()
        else:
            self._write(frames.encode(frames.Ping(number)))

    def close(self) -> None:
        """Let the connection go; what is out ends as broken."""
        if self._task is not None:
            self._task.cancel()

    def _connect(self) -> None:
        if self._task is None:
            self._task = self.loop.spawn(self._run(), f"host {self.node}")

    def _run(self) -> Coro[None]:
        stream: Stream | None = None
        ended, seen = policy.Outcome.UNREACHABLE, False
        try:
            self.connects += 1
            stream = yield from self.net.connect(self.node, self.connect_timeout)
            ended = policy.Outcome.BROKEN
            self.stream = stream
            self._write(frames.encode(frames.Hello(frames.VERSION, self.name, "broker", self.quiet_us)))
            self._keep()
            for number in self._probes:
                self._write(frames.encode(frames.Ping(number)))
            waiting, self._waiting = self._waiting, []
            for parts in waiting:
                still = self.owner.waited(self.node, parts)
                if still:
                    self._write_call(still)
            self._idle.rests()
            yield from inner_protocol.listen(stream, self._heard)
            seen = True
            if self.out:
                raise StreamBroken(  # noqa: TRY301  # ends as any break does, below
                    "the host closed with attempts out"
                )
        except ConnectFailed as problem:
            seen = str(problem) == "ECONNREFUSED"
            self.log("debug", "no connection", node=self.node, why=str(problem))
        except (StreamBroken, frames.FrameError) as problem:
            seen = seen or isinstance(problem, StreamBroken) and not isinstance(problem, Overrun)
            self.log("info", "connection lost", node=self.node, why=str(problem), out=len(self.out))
        finally:
            self._lost(stream, ended)
            if self.on_closed is not None:
                self.on_closed(seen)

    def _keep(self) -> None:
        """Say something now and then, where the host closes what is silent."""
        if self._beat is not None:
            self._beat.cancel()
        if self.quiet_us and self.stream is not None:
            self._beat = self.loop.call_at(self.loop.now() + self.quiet_us // BEATS, self._keep)
            self._write(frames.encode(frames.Ping(0)))

    def _heard(self, message: frames.AnyMessage) -> None:
        match message:
            case frames.Result():
                key = (message.id, message.seq)
                if self.out.pop(key, None) is None:
                    self.late_answers += 1  # its end was told already: nothing may come of it any more
                    self.owner.on_late_answer(self.node)
                else:
                    outcome = OUTCOMES.get(message.outcome, policy.Outcome.ERROR)
                    self.owner.on_attempt_result(self.node, key, outcome, message)
                self._idle.rests()
            case frames.ScoreBound(id=part, seq=seq, best=best):
                if (part, seq) in self.out:
                    self.owner.bound(self.node, (part, seq), best)
            case frames.Pong(n=number):
                if number not in self._probes:
                    self.owner.on_late_answer(self.node)
                self._probe_over(number, policy.Outcome.OK)
            case frames.DrainNotice():
                self.owner.said_draining(self.node)

    def _write_call(self, parts: list[frames.PartRequest]) -> None:
        assert self.stream is not None
        starts = self.stream.queued
        for ask in parts:
            if (ask.id, ask.seq) in self.out:
                self.out[ask.id, ask.seq].starts = starts
        self._write(frames.encode(frames.Call(parts)))

    def _write(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.offer(data)  # the reading side tells the ends of a broken one

    def _lost(self, stream: Stream | None, ended: policy.Outcome) -> None:
        """The connection is gone: what had not left provably never ran, the rest may have."""
        sent = stream.sent if stream is not None else 0
        self.stream = self._task = None
        out, self.out, self._waiting = self.out, {}, []
        for key, attempt in out.items():
            never = attempt.starts is None or attempt.starts >= sent
            self.owner.on_attempt_result(self.node, key, policy.Outcome.UNREACHABLE if never else ended, None)
        for number in list(self._probes):
            self._probe_over(number, ended)
        if stream is not None:
            stream.abort() if out else stream.close()

    def _probe_over(self, number: int, outcome: policy.Outcome) -> None:
        timer = self._probes.pop(number, None)
        if timer is not None:
            timer.cancel()
            self.owner.on_probe_result(self.node, outcome)
            self._idle.rests()
