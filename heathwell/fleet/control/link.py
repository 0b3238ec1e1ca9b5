"""A persistent connection to another process of the fleet control.

The link owns its connection and one task that connects, reads messages, and reconnects after a random delay
when the connection is lost. It has no queue: a message that cannot be sent at once is lost. Imports: the
inner protocol, its frames and the event loop.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, Task, sleep
from heathwell.fleet.control.messages import MAX_MESSAGE_BYTES

CONNECT_TIMEOUT_US = 1_000_000
RECONNECT_INTERVAL_US = 300_000  # mean delay between two connection attempts
RECONNECT_JITTER = (0.5, 1.5)  # range of the random factor on the delay
MAX_UNSENT_BYTES = 1 << 20  # buffered bytes at which a peer that does not read counts as lost
COORDINATOR_ROLE = "keeper"  # role of a quota coordinator in a hello
MEMBER_ROLE = "member"  # role of a broker in a hello


class ControlLink:
    """A connection to ``address`` that introduces itself as ``name`` in ``role``.

    ``on_message`` is called with each message except the peer's hello. A peer that is silent for longer than
    ``silence_timeout_us`` counts as lost at the next :meth:`send`, because a connection whose peer has
    disappeared is never reset. ``fleet`` is the fleet's name ("" without one); a coordinator of another fleet
    refuses the connection.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        name: str,
        role: str,
        *,
        silence_timeout_us: int,
        seed: int,
        on_message: Callable[[frames.AnyMessage], None],
        log: Callable[..., None],
        fleet: str = "",
    ) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.name = name
        self.role = role
        self.fleet = fleet
        self.silence_timeout_us = silence_timeout_us
        self.on_message = on_message
        self.log = log
        self.random = random.Random(seed)
        self.stream: Stream | None = None
        self.last_received_at_us = 0
        self._reported_problem: str | None = None
        self._task: Task[None] = loop.spawn(self._run(), f"control {address}")

    @property
    def is_connected(self) -> bool:
        """Whether the link is connected."""
        return self.stream is not None

    def send(self, message: frames.Message) -> bool:
        """Send a message; return False if it is lost.

        It is lost without a connection, and if the peer is silent or does not read, which ends the
        connection.
        """
        if self.stream is None:
            return False
        silent_us = self.loop.now() - self.last_received_at_us
        if silent_us > self.silence_timeout_us or self.stream.unsent > MAX_UNSENT_BYTES:
            self.stream.abort()
            return False
        self.stream.try_write(frames.encode(message))
        return True

    def close(self) -> None:
        """Close the connection and do not reconnect."""
        self._task.cancel()

    def _run(self) -> Coro[None]:
        while True:
            try:
                yield from self._exchange()
            except (ConnectError, StreamBrokenError, frames.FrameError) as problem:
                self._report_problem(str(problem))
            yield from sleep(self.loop, int(RECONNECT_INTERVAL_US * self.random.uniform(*RECONNECT_JITTER)))

    def _report_problem(self, problem: str) -> None:
        """Log a problem once, instead of at each attempt."""
        if problem == (self._reported_problem or ""):
            return
        self._reported_problem = problem
        self.log("warning", "control link not connected, retrying", to=self.address, why=problem)

    def _exchange(self) -> Coro[None]:
        """Connect and read messages until the connection ends, which always raises an exception."""
        stream = yield from self.net.connect(self.address, CONNECT_TIMEOUT_US)
        try:
            stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, self.role, fleet=self.fleet)))
            self.last_received_at_us = self.loop.now()
            self.stream = stream
            yield from inner_protocol.listen(stream, self._on_message, MAX_MESSAGE_BYTES)
            raise StreamBrokenError("connection closed by the peer")
        finally:
            self.stream = None
            stream.abort()

    def _on_message(self, message: frames.AnyMessage) -> None:
        self.last_received_at_us = self.loop.now()
        if not isinstance(message, frames.Hello):
            self.on_message(message)
            return
        if self._reported_problem:
            self.log("info", "control link connected again", to=self.address, peer=message.name)
        self._reported_problem = None
