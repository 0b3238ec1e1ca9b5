"""Discovery as a broker meets it: asked by the module's word, or pushed; late, failing, absent."""

from __future__ import annotations

from collections.abc import Callable

from heathwell import inner_protocol, policy
from heathwell.codec import frames
from heathwell.kernel import ConnectFailed, Coro, Loop, Net, Stream, StreamBroken, Task, sleep

RECONNECT_US = 500_000
STATES = {
    state.value: state
    for state in (policy.EndpointState.LIVE, policy.EndpointState.DRAINING, policy.EndpointState.GONE)
}


class Roster:
    """Turns the wire's entries to the module's: a process keeps one start time, whenever it is told of.

    Hosts' clocks are their own, so a start travels as an age, and is fixed on this broker's clock when
    the process is first heard of; a new ``birth`` is a new process.
    """

    def __init__(self) -> None:
        self._births: dict[str, tuple[int, int | None]] = {}

    def take(self, now: int, kind: str, entries: list[frames.EndpointListEntry]) -> policy.EndpointUpdate:
        """The module's news for a message of discovery."""
        update_kind = (
            policy.UpdateKind.FULL if kind == policy.UpdateKind.FULL else policy.UpdateKind.INCREMENTAL
        )
        endpoints = tuple(self._entry(now, entry) for entry in entries)
        return policy.EndpointUpdate(update_kind, endpoints)

    def _entry(self, now: int, entry: frames.EndpointListEntry) -> policy.EndpointEntry:
        known = self._births.get(entry.node)
        if known is None or known[0] != entry.birth:
            since = max(1, now - entry.age_us) if entry.age_us >= 0 else None
            known = self._births[entry.node] = (entry.birth, since)
        state = STATES.get(entry.state, policy.EndpointState.DRAINING)
        return policy.EndpointEntry(entry.node, entry.cell, state, known[1], zone=entry.zone)


class DiscoveryClient:
    """Watches the host list. Each :meth:`ask` is answered by exactly one piece of news."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        name: str,
        timeout: int,
        *,
        push: bool,
        news: Callable[[policy.EndpointUpdate], None],
        log: Callable[..., None],
    ) -> None:
        self.loop, self.net, self.address, self.name, self.timeout = loop, net, address, name, timeout
        self.push, self.news, self.log = push, news, log
        self.roster = Roster()
        self._stream: Stream | None = None
        self._index = 0
        self._asked = 0
        self._task: Task | None = None

    def start(self) -> None:
        """Where the list is pushed: connect, and stay connected."""
        if self.push:
            self._task = self.loop.spawn(self._stay(), "discovery")

    def ask(self) -> None:
        """Subscribe; the answer is the list, its changes, or a failure."""
        self._asked += 1
        if self._stream is not None:
            try:
                self._stream.write(frames.encode(frames.WatchRequest(self._index)))
            except StreamBroken:
                pass  # the reader tells the failure
            else:
                self._limit()
        elif self._task is None:
            self._task = self.loop.spawn(self._once(), "discovery")

    def close(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    def _limit(self) -> None:
        number = self._asked
        self.loop.call_at(self.loop.now() + self.timeout, self._overdue, number)

    def _overdue(self, number: int) -> None:
        if self._asked >= number and self._asked and self._stream is not None:
            self._stream.abort()

    def _stay(self) -> Coro[None]:
        while True:
            yield from self._talk()
            yield from sleep(self.loop, RECONNECT_US)

    def _once(self) -> Coro[None]:
        try:
            yield from self._talk()
        finally:
            self._task = None

    def _talk(self) -> Coro[None]:
        try:
            stream = yield from self.net.connect(self.address, self.timeout)
            self._stream = stream
            self._index = 0
            stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, "broker")))
            stream.write(frames.encode(frames.WatchRequest(0)))
            self._asked = max(self._asked, 1)
            self._limit()
            yield from inner_protocol.listen(stream, self._heard)
            raise StreamBroken("discovery closed the watch")  # noqa: TRY301  # ends as any break does, below
        except (ConnectFailed, StreamBroken, frames.FrameError) as problem:
            self.log("info", "discovery: call failed or watch broken", why=str(problem))
            self._asked = 0
            self.news(policy.EndpointUpdate(policy.UpdateKind.FAILED))
        finally:
            if self._stream is not None:
                self._stream.abort()
            self._stream = None

    def _heard(self, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.EndpointList):
            self._asked = 0
            self._index = message.index
            self.news(self.roster.take(self.loop.now(), message.kind, message.entries))
