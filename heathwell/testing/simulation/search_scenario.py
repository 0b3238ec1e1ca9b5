"""Searches on virtual time beside memcached clients: bad days of both fronts on one broker, judged by the six
rules.
"""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from typing import Any

import h11

from heathwell.eventloop import ConnectError, Coro, Stream, StreamBrokenError, sleep
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.simulated_scenario import HOST_FAULTS, SimulatedScenario

SEARCH_FAULTS: tuple[tuple[str, float, float], ...] = (*HOST_FAULTS, ("spoil", 0.0, 4.0))


class SearchScenario(SimulatedScenario):
    """A bad day with so many searches a second besides; ``batches`` is the share that comes as batches."""

    def __init__(
        self,
        service_settings: ServiceSettings,
        seed: int,
        *,
        searches: float = 20.0,
        batches: float = 0.1,
        troubles: Sequence[tuple[str, float, float]] = SEARCH_FAULTS,
        **more: Any,
    ) -> None:
        super().__init__(service_settings, seed, troubles=troubles, **more)
        self.searches, self.batches = searches, batches
        self.asked = 0
        self.statuses: dict[int, int] = {}
        self.answers: list[dict[str, Any]] = []

    def _clients(self, draws: random.Random) -> Coro[None]:
        self.loop.spawn(self._searchers(random.Random(self.seed + 7)), "searchers")
        yield from super()._clients(draws)

    def _searchers(self, draws: random.Random) -> Coro[None]:
        until = self.loop.now() + int(self.seconds * 1e6)
        while self.searches and self.loop.now() < until:
            yield from sleep(self.loop, int(draws.expovariate(self.searches) * 1e6))
            spec = draws.choice(self.service_settings.collections)
            count = draws.randrange(2, 24) if draws.random() < self.batches else 1
            wishes = [
                {"query": [draws.gauss(0, 1.5) for _ in range(spec.size)], "limit": 1 + draws.randrange(12)}
                for _ in range(count)
            ]
            self.loop.spawn(
                self._search(draws.randrange(len(self.fleet.brokers)), spec.name, wishes), "searcher"
            )

    def _search(self, broker: int, collection: str, wishes: list[dict[str, Any]]) -> Coro[None]:
        """One request on a connection of its own."""
        running = self.fleet.brokers[broker]
        query_class = 0
        if running.vector_server is not None:
            query_class = running.vector_server.query_class(collection, is_batch=len(wishes) > 1)
        limit = self.service_settings.classes[query_class].timeout_us
        try:
            stream = yield from self.net.connect(running.vector_address, 1_000_000, "client")
        except ConnectError:
            return
        self.asked += 1
        request, batch, key = f"s{self.asked}", len(wishes) > 1, f"vector:{collection}"
        if not batch:  # a batch is several queries to the broker, judged by themselves
            self.note("ask", req=request, keys=[key], broker=f"b{broker}", limit=limit)
        body = json.dumps({"searches": wishes} if batch else wishes[0]).encode()
        head = (
            f"POST /collections/{collection}/points/query{'/batch' if batch else ''} HTTP/1.1\r\nhost: b\r\n"
            f"x-request-id: {request}\r\ncontent-length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            stream.write(head + body)
            status, raw = yield from _response(stream)
            stream.close()
        except StreamBrokenError:
            if not batch:
                self.note("reply", req=request, kind="broken")
            return
        self.statuses[status] = self.statuses.get(status, 0) + 1
        answer = json.loads(raw)
        values = []
        if status == 200:
            self.answers.append({"collection": collection, "wishes": wishes, "answer": answer})
            words = answer["heathwell"]
            values = [{"key": key, "whole": words["whole"], "got": words["parts"][0]}]
        if not batch:
            self.note("reply", req=request, kind="answer", values=values)


def _response(stream: Stream) -> Coro[tuple[int, bytes]]:
    """Status and body of one response."""
    side = h11.Connection(h11.CLIENT)
    side.send(h11.Request(method="POST", target="/", headers=[("host", "b"), ("content-length", "0")]))
    side.send(h11.EndOfMessage())
    status, body = 0, b""
    while True:
        event = side.next_event()
        if event is h11.NEED_DATA:
            data = yield from stream.read()
            if not data:
                raise StreamBrokenError("end")
            side.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, body
