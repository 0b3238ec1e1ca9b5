"""One standing connection to another process of the control: made again when it is lost, given up when it is
silent.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from heathwell import inner_protocol
from heathwell.codec import frames
from heathwell.fleet.control.messages import MAX_MESSAGE_BYTES
from heathwell.kernel import ConnectFailed, Coro, Loop, Net, Stream, StreamBroken, Task, sleep

CONNECT_US = 1_000_000
AGAIN_US = 300_000  # mean wait between two tries, drawn between half and one and a half of it
UNSENT_MOST = 1 << 20  # bytes that the other side may leave unread


class ControlLink:
    """``heard`` is called with each message but the hello; ``silence_us`` without any while messages are sent
    ends the connection, as one whose other side is gone is never reset.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        name: str,
        role: str,
        *,
        silence_us: int,
        seed: int,
        heard: Callable[[frames.AnyMessage], None],
        log: Callable[..., None],
        fleet: str = "",
    ) -> None:
        self.fleet = fleet
        self.loop, self.net, self.address, self.name, self.role = loop, net, address, name, role
        self.silence_us, self.heard, self.log = silence_us, heard, log
        self.random = random.Random(seed)
        self.stream: Stream | None = None
        self.heard_us = 0
        self._told = ""
        self._task: Task = loop.spawn(self._stay(), f"control {address}")

    @property
    def up(self) -> bool:
        """Whether a connection stands."""
        return self.stream is not None

    def send(self, message: frames.Message) -> bool:
        """Send where a connection stands; what can't be sent is lost, as on the way."""
        if self.stream is None:
            return False
        if self.loop.now() - self.heard_us > self.silence_us or self.stream.unsent > UNSENT_MOST:
            self.stream.abort()
            return False
        self.stream.offer(frames.encode(message))
        return True

    def close(self) -> None:
        """Connect no more."""
        self._task.cancel()

    def _stay(self) -> Coro[None]:
        while True:
            try:
                yield from self._talk()
            except (ConnectFailed, StreamBroken, frames.FrameError) as problem:
                if str(problem) != self._told:  # once a reason, not once a try
                    self._told = str(problem)
                    self.log("warning", "control: no connection", to=self.address, why=self._told)
            yield from sleep(self.loop, int(AGAIN_US * self.random.uniform(0.5, 1.5)))

    def _talk(self) -> Coro[None]:
        stream = yield from self.net.connect(self.address, CONNECT_US)
        try:
            stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, self.role, fleet=self.fleet)))
            self.heard_us = self.loop.now()
            self.stream = stream
            yield from inner_protocol.listen(stream, self._hear, MAX_MESSAGE_BYTES)
            raise StreamBroken("closed by the other side")
        finally:
            self.stream = None
            stream.abort()

    def _hear(self, message: frames.AnyMessage) -> None:
        self.heard_us = self.loop.now()
        if isinstance(message, frames.Hello):
            if self._told:
                self.log("info", "control: connected again", to=self.address, peer=message.name)
            self._told = ""
        else:
            self.heard(message)
