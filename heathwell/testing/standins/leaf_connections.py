"""A leaf's connections by the hello of each peer; idle ones are closed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from heathwell.codec import frames
from heathwell.eventloop import Stream
from heathwell.testing.standins.leaf_context import LeafContext

IDLE_CHECK_INTERVAL_US: Final = 50_000
BROKER_ROLES: Final = frozenset({"", "broker"})


class LeafConnections:
    """The connections over which a hello was received."""

    def __init__(self, context: LeafContext, is_listening: Callable[[], bool]) -> None:
        self._context = context
        self._is_listening = is_listening
        self._hellos: dict[Stream, frames.Hello] = {}
        self._last_received_at_us: dict[Stream, int] = {}
        """When data was last received, for the connections that are closed when idle."""
        self._is_checking_idle = False

    @property
    def streams(self) -> list[Stream]:
        """All connections, the oldest hello first."""
        return list(self._hellos)

    def add(self, stream: Stream, hello: frames.Hello) -> None:
        """Add a connection when its hello is received."""
        context = self._context
        self._hellos[stream] = hello
        context.events("met", node=context.address, peer=hello.name, role=hello.role, open=len(self._hellos))
        if hello.quiet_us:
            self._last_received_at_us[stream] = context.loop.now()
            if not self._is_checking_idle:
                self._is_checking_idle = True
                self._close_idle_connections()

    def remove(self, stream: Stream) -> None:
        """Remove a connection that has ended."""
        context = self._context
        hello = self._hellos.pop(stream, None)
        self._last_received_at_us.pop(stream, None)
        if hello is not None:
            context.events(
                "unmet", node=context.address, peer=hello.name, role=hello.role, open=len(self._hellos)
            )

    def clear(self) -> None:
        """Forget all connections without logging their ends."""
        self._hellos.clear()
        self._last_received_at_us.clear()

    def abort_all(self) -> None:
        """Reset all connections."""
        for stream in self.streams:
            stream.abort()

    def abort_brokers(self) -> None:
        """Reset the connections from brokers."""
        for stream in [stream for stream in self._hellos if self.is_from_broker(stream)]:
            stream.abort()

    def is_from_broker(self, stream: Stream) -> bool:
        """Return whether a broker opened the connection."""
        hello = self._hellos.get(stream)
        return hello is not None and hello.role in BROKER_ROLES

    def peer_name(self, stream: Stream) -> str:
        """Return the peer's name. Raise :class:`KeyError` if its hello was not received yet."""
        return self._hellos[stream].name

    def record_received(self, stream: Stream) -> None:
        """Record that data was received now, which restarts the idle timeout."""
        if stream in self._last_received_at_us:
            self._last_received_at_us[stream] = self._context.loop.now()

    def _close_idle_connections(self) -> None:
        """Close connections that were idle for the timeout in their hello, and schedule the next check."""
        context = self._context
        now_us = context.loop.now()
        for stream, received_at_us in list(self._last_received_at_us.items()):
            hello = self._hellos[stream]
            if now_us - received_at_us >= hello.quiet_us:
                context.events("quiet", node=context.address, peer=hello.name)
                stream.abort()
        if self._is_listening() and self._last_received_at_us:
            context.loop.call_at(now_us + IDLE_CHECK_INTERVAL_US, self._close_idle_connections)
            return
        self._is_checking_idle = False
