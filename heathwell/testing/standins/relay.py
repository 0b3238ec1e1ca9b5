"""A stand-in for the link between regions: a relay of connections into which network faults are injected.

The relay has one listener for each target behind the link. Each direction of the link has its own condition.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import ConnectError, Coro, Listener, Loop, Net, Stream, sleep
from heathwell.testing.standins.fault_commands import reply_to_fault_command
from heathwell.testing.standins.link_condition import (
    CONNECT_RETRANSMISSION_TIMEOUT_US,
    Direction,
    LinkCondition,
    LinkFault,
    LinkFaultCommand,
    retransmission_delay_us,
)
from heathwell.testing.standins.link_forwarding import LinkForwarder

CONNECT_TIMEOUT_US: Final = 1_000_000
BLOCKED_CONNECT_CHECK_INTERVAL_US: Final = 5_000


@dataclass(frozen=True, slots=True)
class RelayedConnection:
    """The two streams of a connection through the relay."""

    client: Stream
    target: Stream


class Relay:
    """Relays connections to targets.

    ``current_address`` returns a target's address at the time of a connect, empty while it has none.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        targets: list[str],
        seed: int = 1,
        current_address: Callable[[str], str] = str,
    ) -> None:
        self._loop = loop
        self._net = net
        self._targets = targets
        self._current_address = current_address
        self._random = random.Random(seed)
        self._conditions = {direction: LinkCondition() for direction in Direction}
        self._connects_blocked_until_us = 0
        self._flaps_until_us = 0
        self._connections: dict[RelayedConnection, None] = {}
        self._control: Listener | None = None
        self.routes: dict[str, str] = {}
        """The relay's address for each target."""

    def start(self, control: str = "127.0.0.1:0") -> str:
        """Listen for connections to the targets and for fault commands; return the address for commands."""
        self.open_listeners()
        self._control = self._net.listen(control, self._serve_commands, "relay control")
        return self._control.address

    def open_listeners(self) -> dict[str, str]:
        """Listen for connections to the targets only; return :attr:`routes`."""
        for target in self._targets:
            listener = self._net.listen("127.0.0.1:0", self._handler(target), f"relay to {target}")
            self.routes[target] = listener.address
        return self.routes

    # Fault injection

    def inject_fault(self, frame: frames.FaultCommand) -> None:
        """Inject a fault. Raise :class:`FaultInjectionError`."""
        command = LinkFaultCommand.from_frame(frame, self._loop.now())
        match command.fault:
            case LinkFault.CLEAR:
                self._clear()
            case LinkFault.DELAY | LinkFault.LIMIT_RATE | LinkFault.LOSE_PACKETS:
                self._degrade(command)
            case LinkFault.CUT:
                self._cut(command.ends_at_us)
                self._connects_blocked_until_us = command.ends_at_us
            case LinkFault.CUT_ONE_DIRECTION:
                self._conditions[command.direction].cut_until_us = command.ends_at_us
            case LinkFault.BLOCK_CONNECTS:
                self._connects_blocked_until_us = command.ends_at_us
            case LinkFault.RESET_CONNECTIONS:
                self._reset_connections()
            case LinkFault.FLAP:
                self._flaps_until_us = command.ends_at_us
                self._begin_flap(command.flap_interval_us)

    def _clear(self) -> None:
        self._conditions = {direction: LinkCondition() for direction in Direction}
        self._connects_blocked_until_us = 0
        self._flaps_until_us = 0

    def _degrade(self, command: LinkFaultCommand) -> None:
        for condition in self._conditions.values():
            condition.apply(command)
        self._loop.call_at(command.ends_at_us, self._restore, command.fault)

    def _restore(self, fault: LinkFault) -> None:
        for condition in self._conditions.values():
            condition.reset(fault)

    def _cut(self, until_us: int) -> None:
        for condition in self._conditions.values():
            condition.cut_until_us = until_us

    def _reset_connections(self) -> None:
        for connection in list(self._connections):
            connection.client.abort()
            connection.target.abort()

    def _begin_flap(self, interval_us: int) -> None:
        """Cut the link for an interval, unless the fault has ended."""
        now_us = self._loop.now()
        if now_us >= self._flaps_until_us:
            return
        self._cut(now_us + interval_us)
        self._loop.call_at(now_us + interval_us, self._end_flap, interval_us)

    def _end_flap(self, interval_us: int) -> None:
        """Leave the link up for an interval and cut it again, unless the fault has ended."""
        now_us = self._loop.now()
        if now_us < self._flaps_until_us:
            self._loop.call_at(now_us + interval_us, self._begin_flap, interval_us)

    def _serve_commands(self, stream: Stream) -> Coro[None]:
        return inner_protocol.serve(
            stream, "relay", "relay", lambda message: self._on_message(stream, message)
        )

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.FaultCommand):
            stream.write(frames.encode(reply_to_fault_command(self.inject_fault, message)))

    # Connections

    def _handler(self, target: str) -> Callable[[Stream], Coro[None]]:
        return lambda stream: self._relay(stream, target)

    def _relay(self, client: Stream, target: str) -> Coro[None]:
        """Relay one connection until either side ends it."""
        if not (yield from self._wait_for_connect(client)):
            return
        address = self._current_address(target)
        if not address:
            client.abort()
            return
        try:
            stream = yield from self._net.connect(address, CONNECT_TIMEOUT_US)
        except ConnectError:
            client.abort()
            return
        yield from self._forward(RelayedConnection(client, stream), target)

    def _wait_for_connect(self, client: Stream) -> Coro[bool]:
        """Wait while the link blocks or loses the packets of a connect; return False if the client closed.

        The client receives no reply meanwhile and times out by itself.
        """
        to_target = Direction.TO_TARGET
        while self._loop.now() < max(
            self._connects_blocked_until_us, self._conditions[to_target].cut_until_us
        ):
            yield from sleep(self._loop, BLOCKED_CONNECT_CHECK_INTERVAL_US)
            if client.closed:
                return False
        delay_us = retransmission_delay_us(
            1, self._conditions[to_target].loss_ratio, self._random, CONNECT_RETRANSMISSION_TIMEOUT_US
        )
        if not delay_us:
            return True
        yield from sleep(self._loop, delay_us)
        return not client.closed

    def _forward(self, connection: RelayedConnection, target: str) -> Coro[None]:
        """Forward both directions."""
        self._connections[connection] = None
        from_target = self._forwarder(connection.target, connection.client, Direction.FROM_TARGET)
        to_target = self._forwarder(connection.client, connection.target, Direction.TO_TARGET)
        replies = self._loop.spawn(from_target.run(), f"relay from {target}")
        try:
            yield from to_target.run()
        finally:
            self._connections.pop(connection, None)
            connection.client.close()
            connection.target.close()
            replies.cancel()

    def _forwarder(self, source: Stream, sink: Stream, direction: Direction) -> LinkForwarder:
        return LinkForwarder(self._loop, self._random, source, sink, lambda: self._conditions[direction])


class RoutedNet:
    """A network that connects to the addresses in ``routes`` through a relay, whose addresses it maps to."""

    def __init__(self, net: Net, routes: dict[str, str]) -> None:
        self._net = net
        self._routes = routes
        self.listen = net.listen

    def connect(self, address: str, timeout_us: int) -> Coro[Stream]:
        """Connect to the address, through the relay where there is a route."""
        return self._net.connect(self._routes.get(address, address), timeout_us)
