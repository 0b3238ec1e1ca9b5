"""A scenario with vector searches beside memcached clients on the same brokers, in virtual time."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import Final, Unpack

import msgspec

from heathwell.eventloop import ConnectError, Coro, StreamBrokenError
from heathwell.settings import ServiceSettings
from heathwell.settings.records.queries import Collection
from heathwell.testing.simulation.host_faults import SEARCH_FAULTS
from heathwell.testing.simulation.search_requests import (
    HttpResponse,
    MalformedSearchReplyError,
    SearchAnswer,
    SearchQuery,
    SearchReplyBody,
    SearchRequest,
    read_response,
)
from heathwell.testing.simulation.simulated_scenario import (
    CONNECT_TIMEOUT_US,
    ScenarioOptions,
    SimulatedScenario,
)

MIN_BATCH_SIZE: Final = 2
MAX_BATCH_SIZE: Final = 23
MAX_RESULTS: Final = 12
VECTOR_STANDARD_DEVIATION: Final = 1.5
SEARCH_SEED_OFFSET: Final = 7
"""Searches are drawn by a seed of their own, so that the other clients' draws stay the same."""


class SearchScenario(SimulatedScenario):
    """A scenario with ``search_rate`` search requests a second besides, of which a fraction are batches.

    After :meth:`run`, ``status_counts`` is the number of responses by status.
    """

    def __init__(
        self,
        service_settings: ServiceSettings,
        seed: int,
        *,
        search_rate: float = 20.0,
        batch_fraction: float = 0.1,
        **options: Unpack[ScenarioOptions],
    ) -> None:
        super().__init__(service_settings, seed, faults=SEARCH_FAULTS, **options)
        self.search_rate = search_rate
        self.batch_fraction = batch_fraction
        self.status_counts: dict[int, int] = {}
        self.answers: list[SearchAnswer] = []
        self._sent_count = 0

    def _generate_load(self, draws: random.Random) -> Coro[None]:
        search_draws = random.Random(self.seed + SEARCH_SEED_OFFSET)
        self.loop.spawn(self._generate_searches(search_draws), "searches")
        yield from super()._generate_load(draws)

    def _generate_searches(self, draws: random.Random) -> Coro[None]:
        """Start search requests at random times, independent of the replies (open loop)."""
        ends_at_us = self._load_ends_at_us()
        while self.search_rate and self.loop.now() < ends_at_us:
            yield from self._sleep_until_next(draws, self.search_rate)
            collection = draws.choice(self.service_settings.collections)
            searches = self._draw_searches(draws, collection)
            broker = draws.randrange(len(self.fleet.brokers))
            self.loop.spawn(self._search(broker, collection.name, searches), "search")

    def _draw_searches(self, draws: random.Random, collection: Collection) -> list[SearchQuery]:
        """Return the searches of one request."""
        is_batch = draws.random() < self.batch_fraction
        count = draws.randrange(MIN_BATCH_SIZE, MAX_BATCH_SIZE + 1) if is_batch else 1
        return [
            SearchQuery(
                query=tuple(draws.gauss(0, VECTOR_STANDARD_DEVIATION) for _ in range(collection.size)),
                limit=1 + draws.randrange(MAX_RESULTS),
            )
            for _ in range(count)
        ]

    def _search(self, broker: int, collection: str, searches: list[SearchQuery]) -> Coro[None]:
        """Send one request on a connection of its own and record its reply.

        Batches are not recorded: to the broker their searches are queries of their own.
        """
        address = self.fleet.brokers[broker].vector_address
        try:
            stream = yield from self.net.connect(address, CONNECT_TIMEOUT_US, "client")
        except ConnectError:
            return
        self._sent_count += 1
        request = SearchRequest(f"s{self._sent_count}", broker, collection, searches)
        timeout_us = self._timeout_us(request)
        if not request.is_batch:
            self.record_event(
                "ask", req=request.id, keys=[request.key], broker=f"b{broker}", limit=timeout_us
            )
        try:
            stream.write(request.encode())
            response = yield from read_response(stream)
            stream.close()
        except StreamBrokenError:
            if not request.is_batch:
                self.record_event("reply", req=request.id, kind="broken")
            return
        self._on_search_response(request, response)

    def _timeout_us(self, request: SearchRequest) -> int:
        """Return the timeout of the request's query class."""
        vector_server = self.fleet.brokers[request.broker].vector_server
        query_class = 0
        if vector_server is not None:
            query_class = vector_server.query_class(request.collection, is_batch=request.is_batch)
        return self.service_settings.classes[query_class].timeout_us

    def _on_search_response(self, request: SearchRequest, response: HttpResponse) -> None:
        self.status_counts[response.status] = self.status_counts.get(response.status, 0) + 1
        body = msgspec.json.decode(response.body, type=SearchReplyBody)
        values = []
        if response.status == HTTPStatus.OK:
            if body.coverage is None:
                raise MalformedSearchReplyError("heathwell", is_batch=request.is_batch)
            self.answers.append(SearchAnswer(request, body.results(is_batch=request.is_batch)))
            values = [{"key": request.key, "whole": body.coverage.complete, "got": body.coverage.parts[0]}]
        if not request.is_batch:
            self.record_event("reply", req=request.id, kind="answer", values=values)
