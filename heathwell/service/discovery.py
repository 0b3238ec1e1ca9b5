"""The client of the discovery service: polls or watches the endpoint list and reports failures."""

from __future__ import annotations

from collections.abc import Callable

from heathwell import policy
from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, Task, sleep

RECONNECT_US = 500_000
STATES = {
    state.value: state
    for state in (policy.EndpointState.LIVE, policy.EndpointState.DRAINING, policy.EndpointState.GONE)
}


class EndpointListConverter:
    """Converts endpoint lists from discovery messages to updates for the decision module.

    Endpoints have their own clocks, so messages hold the age of a process rather than its start time. The age
    is converted to a start time on this broker's clock when the process is first listed, and is not updated
    afterwards. A changed ``birth`` means a new process.
    """

    def __init__(self) -> None:
        self._births: dict[str, tuple[int, int | None]] = {}

    def to_update(
        self, now: int, kind: str, entries: list[frames.EndpointListEntry]
    ) -> policy.EndpointUpdate:
        """Return the decision module's update for one discovery message."""
        update_kind = (
            policy.UpdateKind.FULL if kind == policy.UpdateKind.FULL else policy.UpdateKind.INCREMENTAL
        )
        endpoints = tuple(self._entry(now, entry) for entry in entries)
        return policy.EndpointUpdate(update_kind, endpoints)

    def _entry(self, now: int, entry: frames.EndpointListEntry) -> policy.EndpointEntry:
        recorded = self._births.get(entry.node)
        if recorded is None or recorded[0] != entry.birth:
            started_at_us = max(1, now - entry.age_us) if entry.age_us >= 0 else None
            recorded = (entry.birth, started_at_us)
            self._births[entry.node] = recorded
        state = STATES.get(entry.state, policy.EndpointState.DRAINING)
        return policy.EndpointEntry(entry.node, entry.cell, state, recorded[1], zone=entry.zone)


class DiscoveryClient:
    """Polls or watches the endpoint list. Each :meth:`ask` results in exactly one update."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        name: str,
        timeout_us: int,
        *,
        is_pushed: bool,
        on_update: Callable[[policy.EndpointUpdate], None],
        log: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.name = name
        self.timeout_us = timeout_us
        self.is_pushed = is_pushed
        self.on_update = on_update
        self.log = log
        self._endpoint_list = EndpointListConverter()
        self._stream: Stream | None = None
        self._index = 0
        self._pending_requests = 0
        self._task: Task[None] | None = None

    def start(self) -> None:
        """Connect and stay connected, if the list is pushed; otherwise do nothing."""
        if self.is_pushed:
            self._task = self.loop.spawn(self._watch(), "discovery")

    def request_update(self) -> None:
        """Request the endpoint list; the update holds the full list, its changes, or a failure."""
        self._pending_requests += 1
        if self._stream is not None:
            try:
                self._stream.write(frames.encode(frames.WatchRequest(self._index)))
            except StreamBrokenError:
                pass  # The reading task reports the failure.
            else:
                self._start_timeout()
        elif self._task is None:
            self._task = self.loop.spawn(self._poll(), "discovery")

    def close(self) -> None:
        """Close the connection and send no more requests."""
        if self._task is not None:
            self._task.cancel()

    def _start_timeout(self) -> None:
        number = self._pending_requests
        self.loop.call_at(self.loop.now() + self.timeout_us, self._on_timeout, number)

    def _on_timeout(self, number: int) -> None:
        if self._pending_requests >= number and self._pending_requests and self._stream is not None:
            self._stream.abort()

    def _watch(self) -> Coro[None]:
        while True:
            yield from self._run_connection()
            yield from sleep(self.loop, RECONNECT_US)

    def _poll(self) -> Coro[None]:
        try:
            yield from self._run_connection()
        finally:
            self._task = None

    def _run_connection(self) -> Coro[None]:
        try:
            stream = yield from self.net.connect(self.address, self.timeout_us)
            self._stream = stream
            self._index = 0
            stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, "broker")))
            stream.write(frames.encode(frames.WatchRequest(0)))
            self._pending_requests = max(self._pending_requests, 1)
            self._start_timeout()
            yield from inner_protocol.listen(stream, self._on_message)
            raise StreamBrokenError("discovery closed the connection")  # noqa: TRY301  # handled below as any break
        except (ConnectError, StreamBrokenError, frames.FrameError) as error:
            self.log("info", "discovery: request failed or watch interrupted", why=str(error))
            self._pending_requests = 0
            self.on_update(policy.EndpointUpdate(policy.UpdateKind.FAILED))
        finally:
            if self._stream is not None:
                self._stream.abort()
            self._stream = None

    def _on_message(self, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.EndpointList):
            self._pending_requests = 0
            self._index = message.index
            self.on_update(self._endpoint_list.to_update(self.loop.now(), message.kind, message.entries))
