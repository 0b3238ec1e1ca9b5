"""A leaf's registration: a connection to discovery, which takes its end as the end of the leaf."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.codec import frames
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, Task, sleep

RECONNECT_INTERVAL_US = 200_000
CONNECT_TIMEOUT_US = 1_000_000


class LeafRegistration:
    """Keeps one connection to discovery and registers again after each loss of it."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        *,
        discovery: str,
        name: str,
        current_entry: Callable[[], frames.EndpointListEntry],
    ) -> None:
        self._loop = loop
        self._net = net
        self._discovery = discovery
        self._name = name
        self._current_entry = current_entry
        self._task: Task[None] | None = None
        self.stream: Stream | None = None

    def start(self) -> None:
        """Start to connect, in a task."""
        self._task = self._loop.spawn(self._run(), f"leaf {self._name} register")

    def stop(self) -> None:
        """Stop the task and close the connection."""
        if self._task is not None:
            self._task.cancel()

    def _run(self) -> Coro[None]:
        while True:
            stream: Stream | None = None
            try:
                stream = yield from self._net.connect(self._discovery, CONNECT_TIMEOUT_US)
                entry = self._current_entry()
                stream.write(frames.encode(frames.Hello(frames.VERSION, self._name, "leaf")))
                stream.write(frames.encode(frames.Registration(entry)))
                self.stream = stream
                while (yield from stream.read()):
                    pass
            except (ConnectError, StreamBrokenError):
                pass
            finally:
                self.stream = None
                if stream is not None:
                    stream.abort()
            yield from sleep(self._loop, RECONNECT_INTERVAL_US)
