"""A stand-in for a leaf: a host with slots, a queue, cold starts, overload and injected faults.

Work takes time and no processor: an attempt occupies a slot for its work divided by the present speed.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import msgspec

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream
from heathwell.observability.event_log import EventLog, NoEvents
from heathwell.service.vectors.search_messages import SEARCH_OPERATION, SearchRequest, decode_request
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.data import UnknownOperationError
from heathwell.testing.standins.fault_commands import parse_fault_kind, reply_to_fault_command
from heathwell.testing.standins.leaf_capacity import LeafCapacity
from heathwell.testing.standins.leaf_data import LeafData, ReceivedAttempt
from heathwell.testing.standins.leaf_faults import (
    DATA_AGE_FAULTS,
    OUTPUT_FAULTS,
    ActiveFaults,
    FreshnessDisabledError,
    LeafFault,
)
from heathwell.testing.standins.leaf_output import LeafOutput
from heathwell.testing.standins.leaf_registration import LeafRegistration
from heathwell.testing.standins.log_follower import LogFollower
from heathwell.testing.standins.source import SourceLog

IDLE_CHECK_INTERVAL_US = 50_000
RESULT_CACHE_SIZE = 10_000
QUERY_OF_DEATH = "poison"  # an attempt whose key contains it terminates the leaf


class Leaf:
    """One host, started by :meth:`start`; each part of it that has state of its own is a component."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        *,
        name: str,
        cell: int,
        zone: int,
        discovery: str,
        seed: int,
        address: str = "127.0.0.1:0",
        events: EventLog | None = None,
        on_die: Callable[[], None] | None = None,
        speed: float | None = None,
    ) -> None:
        self.loop = loop
        self.net = net
        self.service_settings = service_settings
        self.name = name
        self.cell = cell
        self.zone = zone
        self.address = address
        self.birth = 0
        self.draining = False
        self.events: EventLog = events or NoEvents()
        self.on_die = on_die
        self.random = random.Random(seed)
        self.faults = ActiveFaults(loop)
        self.capacity = LeafCapacity(loop, service_settings, speed or service_settings.leaf.speed)
        self.data = LeafData(service_settings, cell)
        self.output = LeafOutput(self.faults, self._is_from_broker)
        self.registration = LeafRegistration(
            loop, net, discovery=discovery, name=name, current_entry=self._list_entry
        )
        self.log_follower = self._create_log_follower(seed + 1)
        self._reset_serving_state()

    def _reset_serving_state(self) -> None:
        self.classes = {spec.name: spec for spec in self.service_settings.classes}
        self.listener: Listener | None = None
        self.running: dict[tuple[str, int], ReceivedAttempt] = {}
        self.queue: deque[ReceivedAttempt] = deque()
        self.peers: dict[Stream, frames.Hello] = {}
        self._last_received_at_us: dict[Stream, int] = {}
        """Of the connections that are closed when idle."""
        self._is_checking_idle = False
        self._cached_results: dict[str, tuple[int, bytes]] = {}
        self._load_report = (0, 0)

    def _create_log_follower(self, seed: int) -> LogFollower | None:
        freshness = self.service_settings.freshness
        if not freshness.enabled:
            return None
        return LogFollower(SourceLog(freshness.rate), freshness.lag, random.Random(seed))

    # Lifecycle

    def start(self, *, warm: bool = False) -> str:
        """Listen and register; return the address. ``warm`` starts at full capacity."""
        self.listener = self.net.listen(self.address, self._serve, f"leaf {self.name}")
        self.address = self.listener.address
        self.birth = self.random.getrandbits(48)
        self.draining = False
        self.faults.clear()
        self.capacity.start(warm=warm)
        self.events(
            "up",
            node=self.address,
            cell=self.cell,
            zone=self.zone,
            cold=not warm,
            rate=self.capacity.full_rate,
        )
        self.registration.start()
        return self.address

    def crash(self) -> None:
        """Terminate at once: connections are reset, all state is lost."""
        self.events("down", node=self.address)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.registration.stop()
        for stream in list(self.peers):
            stream.abort()
        for attempt in self.running.values():
            if attempt.timer is not None:
                attempt.timer.cancel()
        self.running.clear()
        self.queue.clear()
        self.output.clear()
        self.peers.clear()
        self._last_received_at_us.clear()
        self._cached_results.clear()

    def drain(self) -> None:
        """Notify all peers, finish running attempts, then terminate after the drain time."""
        if self.draining:
            return
        self.draining = True
        self.events("drain", node=self.address)
        frame = frames.encode(frames.DrainNotice())
        for stream in list(self.peers):
            self.output.send(stream, frame)
        if self.registration.stream is not None:
            self.output.send(self.registration.stream, frame)
        self.loop.call_at(self.loop.now() + self.service_settings.leaf.drain_for, self._terminate)

    def _terminate(self) -> None:
        if self.listener is None:
            return
        self.crash()
        if self.on_die is not None:
            self.on_die()

    def _list_entry(self) -> frames.EndpointListEntry:
        return frames.EndpointListEntry(
            self.address,
            self.cell,
            self.zone,
            birth=self.birth,
            age_us=self.capacity.age_us(),
            state="draining" if self.draining else "live",
        )

    # Fault injection

    def order(self, control: frames.FaultCommand) -> None:
        """Inject a fault. Raise :class:`FaultInjectionError`."""
        fault = parse_fault_kind(LeafFault, control.kind)
        self.events(
            "trouble", node=self.address, kind=control.kind, value=control.value, span=control.span_us
        )
        if fault is LeafFault.CLEAR:
            self.faults.clear()
            self.output.release()
        elif fault is LeafFault.RESET_CONNECTIONS:
            for stream in [peer for peer in self.peers if self._is_from_broker(peer)]:
                stream.abort()
        elif fault is LeafFault.DRAIN:
            self.drain()
        elif fault in DATA_AGE_FAULTS:
            self._inject_data_age_fault(fault, control)
        elif fault is LeafFault.TERMINATE:
            self.loop.call_soon(self._terminate)
        else:
            self.faults.activate(fault, control.span_us, control.value, control.text)
            if fault in OUTPUT_FAULTS:
                self.loop.call_at(self.loop.now() + control.span_us, self.output.release)

    def _inject_data_age_fault(self, fault: LeafFault, control: frames.FaultCommand) -> None:
        if self.log_follower is None:
            raise FreshnessDisabledError(fault)
        now_us = self.loop.now()
        self.log_follower.advance(now_us)
        self.log_follower.inject_fault(fault, now_us, int(control.value * 1e6), control.span_us)

    # Connections

    def _is_from_broker(self, stream: Stream) -> bool:
        peer = self.peers.get(stream)
        return peer is not None and peer.role in ("", "broker")

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream, self.name, "leaf", lambda message: self._on_message(stream, message)
            )
        except frames.FrameError as error:
            self.events("garbled", peer=stream.peer, why=str(error))
        finally:
            peer = self.peers.pop(stream, None)
            self.output.discard(stream)
            self._last_received_at_us.pop(stream, None)
            if peer is not None:
                self.events("unmet", node=self.address, peer=peer.name, role=peer.role, open=len(self.peers))

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        if stream in self._last_received_at_us:
            self._last_received_at_us[stream] = self.loop.now()
        match message:
            case frames.Hello():
                self._on_hello(stream, message)
            case frames.Call():
                for request in message.parts:
                    self._on_attempt(
                        ReceivedAttempt(request, stream, self.loop.now(), self.peers[stream].name)
                    )
            case frames.CancelPart(id=part, seq=seq):
                self._on_cancel((part, seq))
            case frames.Ping(number=number):
                if not self.capacity.is_overloaded and not self.faults.is_active(LeafFault.SILENT):
                    self.output.send(stream, frames.encode(frames.Pong(number, self._reported_load())))
            case frames.FaultCommand():
                stream.write(frames.encode(reply_to_fault_command(self.order, message)))

    def _on_hello(self, stream: Stream, hello: frames.Hello) -> None:
        self.peers[stream] = hello
        self.events("met", node=self.address, peer=hello.name, role=hello.role, open=len(self.peers))
        if hello.quiet_us:
            self._last_received_at_us[stream] = self.loop.now()
            if not self._is_checking_idle:
                self._is_checking_idle = True
                self._close_idle_connections()
        if self.draining:
            self.output.send(stream, frames.encode(frames.DrainNotice()))

    def _close_idle_connections(self) -> None:
        """Close connections over which nothing came for the time that their broker allows."""
        now_us = self.loop.now()
        for stream, received_at_us in list(self._last_received_at_us.items()):
            if now_us - received_at_us >= self.peers[stream].quiet_us:
                self.events("quiet", node=self.address, peer=self.peers[stream].name)
                stream.abort()
        if self.listener is not None and self._last_received_at_us:
            self.loop.call_at(now_us + IDLE_CHECK_INTERVAL_US, self._close_idle_connections)
            return
        self._is_checking_idle = False

    # Attempts

    def _on_attempt(self, attempt: ReceivedAttempt) -> None:
        request = attempt.request
        self._log_arrival(attempt)
        spec = self.classes.get(request.query_class)
        work_us = float(spec.work) if spec is not None else 0.0
        if request.op == SEARCH_OPERATION and spec is not None:
            try:
                attempt.search = decode_request(request.body)
                work_us = self.data.search_work_us(attempt.search)
            except (ValueError, KeyError, msgspec.MsgspecError) as error:
                self.events("garbled", peer=attempt.broker, why=repr(error))
                self._reply(attempt, "error")
                return
        overload = self.capacity.record_arrival(work_us)
        if overload is not None:
            self.events("fell", node=self.address, pressure=overload)
        if QUERY_OF_DEATH in request.key:
            self.loop.call_soon(self._terminate)
            return
        if self.capacity.is_overloaded or self.faults.is_active(LeafFault.SILENT):
            return
        if attempt.search is not None and self.data.holds(request.shard):
            self._send_score_bound(attempt, attempt.search)
        self._admit(attempt)

    def _log_arrival(self, attempt: ReceivedAttempt) -> None:
        request = attempt.request
        self.events(
            "arrive",
            p=request.id,
            seq=request.seq,
            klass=request.query_class,
            shard=request.shard,
            broker=attempt.broker,
            node=self.address,
            left=request.left_us,
            warmth=round(self.capacity.fraction(), 4),
        )

    def _send_score_bound(self, attempt: ReceivedAttempt, search: SearchRequest) -> None:
        """Send the best scores that this leaf can have, ahead of the queue."""
        request = attempt.request
        bounds = self.data.score_bounds(search, request.shard)
        self.events("bound", p=request.id, seq=request.seq, node=self.address, best=bounds)
        self.output.send(attempt.stream, frames.encode(frames.ScoreBound(request.id, request.seq, bounds)))

    def _admit(self, attempt: ReceivedAttempt) -> None:
        """Begin or queue an attempt, or reply that it failed or was rejected."""
        request = attempt.request
        failing = self.faults.get(LeafFault.FAIL_QUERY_CLASS)
        fails = failing is not None and failing.text == request.query_class
        if fails or request.query_class not in self.classes or not self.data.holds(request.shard):
            self._reply(attempt, "error")
        elif self.draining or self.faults.is_active(LeafFault.REJECT):
            self._reply(attempt, "full")
        elif len(self.running) < self.service_settings.leaf.slots:
            self._begin(attempt)
        elif len(self.queue) < self.service_settings.leaf.queue:
            self.queue.append(attempt)
        else:
            self._reply(attempt, "full")

    def _begin(self, attempt: ReceivedAttempt) -> None:
        request = attempt.request
        cached_result = self._find_cached_result(request)
        if cached_result is not None:
            self.events("repeat", p=request.id, seq=request.seq, node=self.address)
            self._reply(attempt, "ok", cached_result)
            return
        duration_us = int(self._draw_duration_us(attempt))
        self.events("begin", p=request.id, seq=request.seq, node=self.address)
        self.running[attempt.key] = attempt
        attempt.work_us = duration_us
        attempt.timer = self.loop.call_at(self.loop.now() + duration_us, self._on_finished, attempt)

    def _find_cached_result(self, request: frames.PartRequest) -> bytes | None:
        """Return the earlier result of a keyed request within its idempotency window."""
        spec = self.classes[request.query_class]
        cached = self._cached_results.get(request.id)
        if spec.idempotency != "keyed" or cached is None:
            return None
        cached_at_us, result = cached
        return result if self.loop.now() - cached_at_us <= spec.idempotency_window_us else None

    def _draw_duration_us(self, attempt: ReceivedAttempt) -> float:
        """Return how long the attempt occupies its slot."""
        request = attempt.request
        spec = self.classes[request.query_class]
        slow = self.faults.get(LeafFault.SLOW)
        if slow is not None and slow.text not in ("", request.query_class):
            slow = None
        noise_sigma = self.service_settings.leaf.noise
        noise = self.random.lognormvariate(0.0, noise_sigma) if noise_sigma else 1.0
        if attempt.search is not None:
            work_us = self.data.search_work_us(attempt.search)
        else:
            work_us = spec.work * (spec.fetch_work if request.op == "items" else 1.0)
        speed = self.capacity.speed * self.capacity.fraction()
        return work_us * noise / speed * (slow.value if slow else 1.0)

    def _on_finished(self, attempt: ReceivedAttempt) -> None:
        request = attempt.request
        if self.running.pop(attempt.key, None) is None:
            return
        try:
            result = self._compute_result(attempt)
        except (UnknownOperationError, ValueError):
            self._reply(attempt, "error")
        else:
            if self.classes[request.query_class].idempotency != "safe":
                self._record_effect(request, result)
            self._reply(attempt, "ok", result)
        self._begin_queued()

    def _compute_result(self, attempt: ReceivedAttempt) -> bytes:
        if attempt.search is None:
            return self.data.record_result(attempt.request)
        malformed = self.faults.get(LeafFault.MALFORMED_RESULTS)
        return self.data.search_result(attempt, attempt.search, malformed, log_rows=self.events.is_enabled)

    def _record_effect(self, request: frames.PartRequest, result: bytes) -> None:
        self.events("effect", p=request.id, seq=request.seq, node=self.address)
        self._cached_results[request.id] = (self.loop.now(), result)
        if len(self._cached_results) > RESULT_CACHE_SIZE:
            oldest = next(iter(self._cached_results))
            del self._cached_results[oldest]

    def _begin_queued(self) -> None:
        while self.queue and len(self.running) < self.service_settings.leaf.slots:
            attempt = self.queue.popleft()
            request = attempt.request
            if attempt.stream.closed or self.loop.now() - attempt.received_at_us >= request.left_us:
                # Its broker no longer waits for it.
                self.events("dropped", p=request.id, seq=request.seq, node=self.address)
                continue
            self._begin(attempt)

    def _on_cancel(self, key: tuple[str, int]) -> None:
        part, seq = key
        self.events("cancel", p=part, seq=seq, node=self.address)
        for attempt in self.queue:
            if attempt.key == key:
                self.queue.remove(attempt)
                return

    # Replies

    def _reported_load(self) -> int:
        """Return the attempts running and queued, as of the last refresh of the report."""
        now_us = self.loop.now()
        if now_us - self._load_report[0] >= self.service_settings.leaf.refresh:
            self._load_report = (now_us, len(self.running) + len(self.queue))
        return self._load_report[1]

    def _loses_reply(self) -> bool:
        if self.capacity.is_overloaded or self.faults.is_active(LeafFault.SILENT):
            return True
        lost = self.faults.get(LeafFault.LOST_REPLIES)
        return lost is not None and self.random.random() < lost.value

    def _reply(self, attempt: ReceivedAttempt, outcome: str, payload: bytes = b"") -> None:
        request = attempt.request
        if self._loses_reply():
            self.events("swallowed", p=request.id, seq=request.seq, node=self.address)
            return
        result = frames.Result(
            request.id, request.seq, outcome, payload, self._reported_load(), work_us=attempt.work_us
        )
        if self.log_follower is not None and outcome == "ok":
            true_us = self.log_follower.advance(self.loop.now())
            result.source_us = self.log_follower.reported_us(self.loop.now())
            result.position = self.log_follower.source_log.position(result.source_us)
            self.events(
                "done", p=request.id, seq=request.seq, outcome=outcome, node=self.address, true=true_us
            )
        else:
            rows = {"rows": attempt.rows} if attempt.rows is not None else {}
            self.events("done", p=request.id, seq=request.seq, outcome=outcome, node=self.address, **rows)
        self.output.send(attempt.stream, frames.encode(result))
