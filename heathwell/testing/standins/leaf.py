"""A stand-in for a leaf: a host with execution slots, a queue, cold starts, overload and injected faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream
from heathwell.observability.event_log import EventLog, NullEventLog
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.endpoint_states import EndpointState
from heathwell.testing.standins.fault_commands import parse_fault_kind, reply_to_fault_command
from heathwell.testing.standins.leaf_connections import LeafConnections
from heathwell.testing.standins.leaf_context import LeafContext
from heathwell.testing.standins.leaf_data import AttemptKey, LeafData, ReceivedAttempt
from heathwell.testing.standins.leaf_executor import LeafExecutor
from heathwell.testing.standins.leaf_faults import (
    DATA_AGE_FAULTS,
    OUTPUT_FAULTS,
    FreshnessDisabledError,
    LeafFault,
)
from heathwell.testing.standins.leaf_output import LeafOutput
from heathwell.testing.standins.leaf_registration import LeafRegistration
from heathwell.testing.standins.leaf_replies import LeafReplies
from heathwell.testing.standins.log_follower import LogFollower
from heathwell.testing.standins.source import SourceLog
from heathwell.testing.standins.units import US_PER_SECOND

BIRTH_BITS: Final = 48


class Leaf:
    """One host, which :meth:`start` starts. Its state is divided among components."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        *,
        name: str,
        replica_group: int,
        zone: int,
        discovery: str,
        seed: int,
        address: str = "127.0.0.1:0",
        events: EventLog | None = None,
        on_terminated: Callable[[], None] | None = None,
        speed: float | None = None,
    ) -> None:
        self.name = name
        self.replica_group = replica_group
        self.zone = zone
        self.events: EventLog = events or NullEventLog()
        self.on_terminated = on_terminated
        self.listener: Listener | None = None
        """The listening socket; None while the leaf is not running."""
        self._loop = loop
        self._net = net
        self._birth = 0
        self._context = LeafContext.create(loop, service_settings, self.events, seed, speed, address)
        self._connections = LeafConnections(self._context, lambda: self.listener is not None)
        self._output = LeafOutput(self._context.faults, self._connections.is_from_broker)
        self._registration = LeafRegistration(
            loop, net, discovery=discovery, name=name, current_entry=self._list_entry
        )
        self._log_follower = _create_log_follower(service_settings, seed + 1)
        self._replies = LeafReplies(self._context, self._output, self._log_follower)
        self._executor = LeafExecutor(
            self._context, LeafData(service_settings, replica_group), self._replies, self._terminate
        )

    @property
    def address(self) -> str:
        """The address at which the leaf listens, once it has started."""
        return self._context.address

    # Lifecycle

    def start(self, *, warm: bool = False) -> str:
        """Listen and register; return the address. ``warm``: start at full capacity."""
        context = self._context
        self.listener = self._net.listen(context.address, self._serve, f"leaf {self.name}")
        context.address = self.listener.address
        self._birth = context.random.getrandbits(BIRTH_BITS)
        context.draining = False
        context.faults.clear()
        context.capacity.start(warm=warm)
        self.events(
            "up",
            node=context.address,
            cell=self.replica_group,
            zone=self.zone,
            cold=not warm,
            rate=context.capacity.full_rate,
        )
        self._registration.start()
        return context.address

    def crash(self) -> None:
        """Terminate at once: connections are reset, all state is lost."""
        self.events("down", node=self.address)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self._registration.stop()
        self._connections.abort_all()
        self._executor.abort()
        self._output.clear()
        self._connections.clear()

    def drain(self) -> None:
        """Notify all peers, go on with accepted attempts, and terminate after the configured drain time."""
        context = self._context
        if context.draining:
            return
        context.draining = True
        self.events("drain", node=context.address)
        notice = frames.encode(frames.DrainNotice())
        for stream in self._connections.streams:
            self._output.send(stream, notice)
        if self._registration.stream is not None:
            self._output.send(self._registration.stream, notice)
        self._loop.call_at(self._loop.now() + context.settings.leaf.drain_for, self._terminate)

    def _terminate(self) -> None:
        if self.listener is None:
            return
        self.crash()
        if self.on_terminated is not None:
            self.on_terminated()

    def _list_entry(self) -> frames.EndpointListEntry:
        state = EndpointState.DRAINING if self._context.draining else EndpointState.LIVE
        return frames.EndpointListEntry(
            self.address,
            self.replica_group,
            self.zone,
            birth=self._birth,
            age_us=self._context.capacity.age_us(),
            state=state.value,
        )

    # Fault injection

    def inject_fault(self, command: frames.FaultCommand) -> None:
        """Inject a fault. Raise :class:`FaultInjectionError`."""
        fault = parse_fault_kind(LeafFault, command.kind)
        self.events(
            "trouble", node=self.address, kind=command.kind, value=command.value, span=command.span_us
        )
        if fault is LeafFault.CLEAR:
            self._context.faults.clear()
            self._output.release()
        elif fault is LeafFault.RESET_CONNECTIONS:
            self._connections.abort_brokers()
        elif fault is LeafFault.DRAIN:
            self.drain()
        elif fault in DATA_AGE_FAULTS:
            self._inject_data_age_fault(fault, command)
        elif fault is LeafFault.TERMINATE:
            self._loop.call_soon(self._terminate)
        else:
            self._context.faults.activate(fault, command.span_us, command.value, command.text)
            if fault in OUTPUT_FAULTS:
                self._loop.call_at(self._loop.now() + command.span_us, self._output.release)

    def _inject_data_age_fault(self, fault: LeafFault, command: frames.FaultCommand) -> None:
        if self._log_follower is None:
            raise FreshnessDisabledError(fault)
        now_us = self._loop.now()
        self._log_follower.advance(now_us)
        value_us = int(command.value * US_PER_SECOND)
        self._log_follower.inject_fault(fault, now_us, value_us, command.span_us)

    # Serving

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream, self.name, "leaf", lambda message: self._on_message(stream, message)
            )
        except frames.FrameError as error:
            self.events("garbled", peer=stream.peer, why=str(error))
        finally:
            self._output.discard(stream)
            self._connections.remove(stream)

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        self._connections.record_received(stream)
        match message:
            case frames.Hello():
                self._connections.add(stream, message)
                if self._context.draining:
                    self._output.send(stream, frames.encode(frames.DrainNotice()))
            case frames.Call(parts=requests):
                for request in requests:
                    self._on_part_request(stream, request)
            case frames.CancelPart(id=part_id, seq=number):
                self._executor.on_cancel(AttemptKey(part_id, number))
            case frames.Ping(number=number):
                self._replies.send_pong(stream, number, self._executor.load)
            case frames.FaultCommand():
                stream.write(frames.encode(reply_to_fault_command(self.inject_fault, message)))

    def _on_part_request(self, stream: Stream, request: frames.PartRequest) -> None:
        broker = self._connections.peer_name(stream)
        self._executor.on_attempt(ReceivedAttempt(request, stream, self._loop.now(), broker))


def _create_log_follower(service_settings: ServiceSettings, seed: int) -> LogFollower | None:
    freshness = service_settings.freshness
    if not freshness.enabled:
        return None
    return LogFollower(SourceLog(freshness.rate), freshness.lag, random.Random(seed))
