"""A stand-in for the platform's discovery: a list of nodes over HTTP, and watches for its changes."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qsl

import msgspec

from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Event, Loop, Net, Stream, sleep
from heathwell.testing.standins.platform_node import NodeEntry, NodeState, PlatformNode

NO_REVISION: Final = -1
"""The known revision of a watch that has no list yet."""
MAX_QUEUEING_US: Final = 1_000_000
"""The longest time in the queue; a request that would wait longer is rejected."""
MUTE_CHECK_INTERVAL_US: Final = 10_000


@dataclass(frozen=True, slots=True)
class PublishedEntry:
    """A node's entry, and the revision of the list that published it."""

    revision: int
    entry: NodeEntry


class EntryList(
    msgspec.Struct,
    frozen=True,
    rename={"revision": "rev", "is_complete": "all", "entries": "targets"},
):
    """The complete list, or the entries that changed since an earlier revision."""

    revision: int
    is_complete: bool
    entries: list[NodeEntry]


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A request for changes after a known revision, and until when it waits for them."""

    known_revision: int
    waits_until_us: int

    @classmethod
    def from_query(cls, query: str, now_us: int) -> WatchRequest:
        """Parse the query string of a request. Raise :class:`ValueError`."""
        parameters = dict(parse_qsl(query))
        known_revision = int(parameters.get("from", NO_REVISION))
        return cls(known_revision, now_us + int(parameters.get("hold_ms", 0)) * 1000)

    @property
    def is_complete(self) -> bool:
        """Whether the complete list is requested."""
        return self.known_revision < 0


class PlatformDiscovery:
    """Discovery, which listens as soon as it is constructed.

    One worker serves the requests in turn. Each takes it ``entry_work_us``, and as long again for each entry
    of the response.
    """

    def __init__(
        self, loop: Loop, net: Net, address: str, nodes: list[PlatformNode], *, entry_work_us: int = 0
    ) -> None:
        self.loop = loop
        self.entry_work_us = entry_work_us
        self.revision = 1
        self.down = False
        """Whether all requests are answered with status 503."""
        self.silent = False
        """Whether responses are held back until this is false again."""
        self.response_delay_us = 0
        """The time that each response takes beside the work, without keeping the worker from others."""
        self.calls_to_reset = 0
        """How many of the next calls, waiting ones included, are reset instead of answered."""
        self.ends_connections_after_us: int | None = None
        """Each connection is ended so long after its first response; None: connections stay open."""
        self.rejected_requests = 0
        self.queries: list[str] = []
        """The query strings of all requests."""
        self.last_request_at_us = 0
        self.entries = {node.uid: PublishedEntry(1, node.entry) for node in nodes}
        self.streams: set[Stream] = set()
        self._worker_free_at_us = 0
        self._waiting: dict[Event, None] = {}
        self._muted: set[Stream] = set()
        self.listener = net.listen(address, self._serve, "registry")
        self.address = self.listener.address

    def publish(self, entry: NodeEntry) -> None:
        """Publish a changed entry as a new revision."""
        self.revision += 1
        self.entries[entry["uid"]] = PublishedEntry(self.revision, entry)
        self.notify_watches()

    def mute_connections(self) -> None:
        """Send nothing more over the connections that are open now, without closing them."""
        self._muted |= self.streams

    def notify_watches(self) -> None:
        """Wake the waiting watches, which check the list and :attr:`down`."""
        for waiting in self._waiting:
            waiting.set()

    def _serve(self, stream: Stream) -> Coro[None]:
        side = ServerSide()
        self.streams.add(stream)
        try:
            while data := (yield from stream.read()):
                for request in side.feed(data):
                    if isinstance(request, Request):
                        response = yield from self._respond(request)
                        if self.calls_to_reset:
                            self.calls_to_reset -= 1
                            stream.abort()
                            return
                        while self.silent or stream in self._muted:
                            yield from sleep(self.loop, MUTE_CHECK_INTERVAL_US)
                        stream.write(side.respond(response))
                        if self.ends_connections_after_us is not None:
                            yield from sleep(self.loop, self.ends_connections_after_us)
                            return
        finally:
            self.streams.discard(stream)
            self._muted.discard(stream)

    def _respond(self, request: Request) -> Coro[Response]:
        self.queries.append(request.query)
        self.last_request_at_us = self.loop.now()
        watch = WatchRequest.from_query(request.query, self.loop.now())
        yield from self._wait_for_change(watch)
        if self.down:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"down\n")
        entry_list = self._list_for(watch)
        if self.entry_work_us:
            begins_at_us = max(self._worker_free_at_us, self.loop.now())
            if begins_at_us - self.loop.now() > MAX_QUEUEING_US:
                self.rejected_requests += 1
                return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"busy\n")
            self._worker_free_at_us = begins_at_us + self.entry_work_us * (1 + len(entry_list.entries))
            yield from sleep(self.loop, self._worker_free_at_us - self.loop.now())
        if self.response_delay_us:
            yield from sleep(self.loop, self.response_delay_us)
        return Response(HTTPStatus.OK, msgspec.json.encode(entry_list), "application/json")

    def _wait_for_change(self, watch: WatchRequest) -> Coro[None]:
        """Wait for a later revision, the end of the wait, or an outage."""
        while (
            watch.known_revision >= self.revision and not self.down and self.loop.now() < watch.waits_until_us
        ):
            changed = Event()
            self._waiting[changed] = None
            timer = self.loop.call_at(watch.waits_until_us, changed.set)
            yield from changed.wait()
            timer.cancel()
            self._waiting.pop(changed, None)

    def _list_for(self, watch: WatchRequest) -> EntryList:
        entries = [
            published.entry
            for published in self.entries.values()
            if published.revision > watch.known_revision
            and (not watch.is_complete or published.entry["state"] != NodeState.REMOVED)
        ]
        return EntryList(self.revision, watch.is_complete, entries)
