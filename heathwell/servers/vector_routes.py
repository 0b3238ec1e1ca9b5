"""Routing of the vector search server's requests. The texts of errors are part of the protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote

import msgspec

from heathwell import __version__
from heathwell.codec.http import Request, Response
from heathwell.eventloop import Coro, sleep
from heathwell.servers import vector_answers as answers
from heathwell.servers import vector_api as api
from heathwell.servers.vector_search import ChunkedSearch, SearchPlanner, SearchRequest, SearchResults
from heathwell.service.service_broker import ServiceBroker
from heathwell.settings.schema import Collection

API_VERSION = "1.20.0"  # of the API that is served; client libraries compare it with their own version
READ_ONLY = "This service only searches; write to the shards' own store"
SEARCHES_PER_TURN = 16  # searches of a batch that are parsed before the task yields to the event loop
HEALTH_PATHS = ("/healthz", "/livez", "/readyz")
WRITING_METHODS = ("PUT", "DELETE", "PATCH", "POST")


class SearchClient(Protocol):
    """The part of a connection that the routes use."""

    @property
    def address(self) -> str:
        """The client's address, without its port."""

    def request_id(self, request: Request) -> str:
        """Return the request id that the client sent, or else a new one."""

    def run_search(self, search: ChunkedSearch) -> Coro[SearchResults]:
        """Run a search, and cancel it if the client disconnects."""


@dataclass(frozen=True, slots=True)
class SearchRoute:
    """A search path, parsed: the collection, the form of the body, and whether it is a batch."""

    collection: str
    form: str
    is_batch: bool


class VectorRoutes:
    """Dispatches the requests of all connections of a server."""

    def __init__(self, broker: ServiceBroker, planner: SearchPlanner) -> None:
        self._broker = broker
        self._planner = planner
        self._collections = planner.collections

    def answer(self, request: Request, client: SearchClient) -> Coro[Response]:
        """Return the response to a request; raise :class:`~heathwell.servers.vector_api.ApiError`."""
        path = request.path.rstrip("/")
        match = api.SEARCH_PATH.fullmatch(path)
        if match is None:
            return self._answer_information(request, path, self._broker.loop.now())
        if request.method != "POST":
            raise api.ApiError(405, f"{request.method} is not served on {path}")
        route = SearchRoute(unquote(match[1]), match[2], bool(match[3]))
        return (yield from self._search(request, route, client))

    def _answer_information(self, request: Request, path: str, started_at_us: int) -> Response:
        if request.method in ("GET", "HEAD"):
            if path == "":
                return _service_information()
            if path == "/collections":
                names = [{"name": name} for name in self._collections]
                return answers.success_response(
                    {"collections": names}, self._broker.loop.now() - started_at_us
                )
            if path in HEALTH_PATHS:
                return self._health(path)
        match = api.COLLECTION_PATH.fullmatch(path)
        if match is not None and request.method == "GET":
            name = unquote(match[1])
            exists = {"exists": name in self._collections}
            answer = exists if match[2] else self._collection_information(self._collection(name))
            return answers.success_response(answer, self._broker.loop.now() - started_at_us)
        if request.method in WRITING_METHODS and path.startswith("/collections"):
            raise api.ApiError(403, f"Forbidden: {READ_ONLY}")
        raise api.ApiError(404, f"Not found: {request.method} {request.path}")

    def _health(self, path: str) -> Response:
        if path == "/readyz" and self._broker.stopping:
            return Response(503, b"stopping\n")
        if path == "/readyz" and self._broker.is_cut_off:
            return Response(503, b"cut off from most shards\n")
        return Response(200, b"ok\n")

    def _collection(self, name: str) -> Collection:
        spec = self._collections.get(name)
        if spec is None:
            raise api.ApiError(404, f"Not found: Collection `{name}` doesn't exist!")
        return spec

    def _collection_information(self, spec: Collection) -> answers.CollectionInformation:
        shard_count = len(self._planner.shards(spec))
        sizes = self._broker.search_answers.shard_sizes.get(spec.name, {})
        point_count = sum(sizes.values()) if len(sizes) == shard_count else None
        width = self._broker.service_settings.fleet.width
        return answers.collection_information(spec, shard_count, width, point_count)

    def _search(self, request: Request, route: SearchRoute, client: SearchClient) -> Coro[Response]:
        started_at_us = self._broker.loop.now()
        spec = self._collection(route.collection)
        timeout_us = api.client_timeout_us(request)
        searches = yield from self._parse_searches(request, route, spec)
        if not searches:
            return answers.success_response([], self._broker.loop.now() - started_at_us)
        search_request = SearchRequest(
            spec, searches, timeout_us, route.is_batch, client.request_id(request), client.address
        )
        found = yield from client.run_search(ChunkedSearch(self._broker, self._planner, search_request))
        results = list(answers.search_results(found.merged, spec.distance, route.form))
        return answers.success_response(
            results if route.is_batch else results[0],
            self._broker.loop.now() - started_at_us,
            answers.answer_quality(found.replies),
        )

    def _parse_searches(
        self, request: Request, route: SearchRoute, spec: Collection
    ) -> Coro[list[api.Search]]:
        limits = self._broker.service_settings.vector
        if not route.is_batch:
            return [api.read_search(route.form, request.body, spec, limits)]
        searches: list[api.Search] = []
        for index, raw in enumerate(api.read_batch(request.body, limits)):
            searches.append(api.read_search(route.form, raw, spec, limits, f"searches[{index}]."))
            if index % SEARCHES_PER_TURN == SEARCHES_PER_TURN - 1:
                yield from sleep(self._broker.loop, 1)
        return searches


def _service_information() -> Response:
    information = {
        "title": "heathwell - vector search over shards",
        "version": API_VERSION,
        "commit": __version__,
    }
    return Response(200, msgspec.json.encode(information), answers.JSON_CONTENT_TYPE)
