"""Runs the searches of one request as queries of the broker: split by cost, a bounded number in flight."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from heathwell.broker.query_state import Handle
from heathwell.broker.replies import Reply, ReplyKind
from heathwell.eventloop import Coro, Event, StreamBrokenError
from heathwell.servers import vector_api as api
from heathwell.servers.durations import milliseconds_rounded_up
from heathwell.service.admission import CostModel, search_features, split_batch
from heathwell.service.key_spaces import consecutive_shards, first_shard
from heathwell.service.merging import MergedRows, TopKMerge
from heathwell.service.query_plans import PartPlan, QueryPlan, SearchPlan
from heathwell.service.reply_merging import merged_rows
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.vectors.search_messages import SEARCH_OPERATION
from heathwell.settings.schema import Collection

SLOW_START_CHUNKS = 4  # the limit of chunks in flight rises by one per so many answered chunks
COST_FEATURES = 4  # the length of what `search_features` returns


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """The searches of one request. ``timeout_us`` is the timeout that the client set, 0 if none."""

    spec: Collection
    searches: Sequence[api.Search]
    timeout_us: int
    is_batch: bool
    request_id: str
    client_address: str


@dataclass(frozen=True, slots=True)
class SearchResults:
    """The replies to the chunks in order, and the merged rows of each search."""

    replies: Sequence[Reply]
    merged: Sequence[MergedRows]


class SearchPlanner:
    """Plans searches as queries of the broker, with costs predicted from earlier answers."""

    def __init__(self, broker: ServiceBroker) -> None:
        settings = broker.service_settings
        class_indices = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.collections = {spec.name: spec for spec in settings.collections}
        self._broker = broker
        self._single_classes = {spec.name: class_indices[spec.query_class] for spec in settings.collections}
        self._batch_classes = {
            spec.name: class_indices[spec.batch_class or spec.query_class] for spec in settings.collections
        }

    def query_class(self, collection: str, *, is_batch: bool) -> int:
        """Return the index of the query class that searches of a collection belong to."""
        return (self._batch_classes if is_batch else self._single_classes)[collection]

    def shards(self, spec: Collection) -> list[int]:
        """Return the shards of a collection."""
        fleet = self._broker.service_settings.fleet
        return consecutive_shards(
            first_shard(spec.name, fleet.shards), spec.parts or fleet.shards, fleet.shards
        )

    def chunks(self, request: SearchRequest) -> list[list[api.Search]]:
        """Split the searches of a request, in order, into chunks that do not occupy a host for long."""
        limits = self._broker.service_settings.vector
        model = self._cost_model(request.spec)
        costs = [model.predict(_cost_features([search])) for search in request.searches]
        indices = split_batch(costs, limits.max_chunk_cost_us, limits.max_chunk_searches)
        return [[request.searches[index] for index in chunk] for chunk in indices]

    def plan(self, request: SearchRequest, searches: Sequence[api.Search]) -> QueryPlan:
        """Return the query plan of one chunk."""
        spec = request.spec
        shards = self.shards(spec)
        query_class = self.query_class(spec.name, is_batch=request.is_batch)
        return QueryPlan(
            query_class,
            "vectors",
            zlib.crc32(searches[0].vector),
            _model_name(spec),
            tuple(PartPlan(shard, 1 / len(shards), SEARCH_OPERATION, spec.name) for shard in shards),
            search=self._search_plan(request, searches, query_class),
            flow="vector",
        )

    def _search_plan(
        self, request: SearchRequest, searches: Sequence[api.Search], query_class: int
    ) -> SearchPlan:
        spec = request.spec
        features = _cost_features(searches)
        merge = TopKMerge(
            [search.limit for search in searches],
            [search.offset for search in searches],
            [search.parameters.threshold for search in searches],
        )
        class_timeout_us = self._broker.settings.classes[query_class].timeout_us
        return SearchPlan(
            _model_name(spec),
            api.encode_searches(spec.name, searches),
            merge,
            features,
            int(self._cost_model(spec).predict(features)),
            request.timeout_us,
            class_timeout_us // 2 if request.is_batch else 0,
        )

    def _cost_model(self, spec: Collection) -> CostModel:
        return self._broker.costs.model(_model_name(spec), float(spec.work), COST_FEATURES)


class ChunkedSearch:
    """The searches of one request in progress."""

    def __init__(self, broker: ServiceBroker, planner: SearchPlanner, request: SearchRequest) -> None:
        self.search_count = len(request.searches)
        self._broker = broker
        self._planner = planner
        self._request = request
        self._chunks = planner.chunks(request)
        self._replies: dict[int, Reply] = {}
        self._first_failure: Reply | None = None
        self._started_count = 0
        self._handles: list[Handle] = []
        self._is_cancelled = False
        self._changed = Event()

    def run(self) -> Coro[SearchResults]:
        """Run all chunks and return their results.

        Raise :class:`~heathwell.servers.vector_api.ApiError` for the first chunk that is rejected or fails,
        and ``StreamBrokenError`` if the search is cancelled.
        """
        while self._is_in_progress():
            if self._may_start():
                self._start_next()
                continue
            self._changed.clear()
            yield from self._changed.wait()
        if self._first_failure is not None:
            self._disconnect()
            raise _error_of(self._first_failure)
        if self._is_cancelled:
            raise StreamBrokenError("client disconnected")
        replies = [self._replies[index] for index in range(len(self._chunks))]
        return SearchResults(replies, merged_rows(replies))

    def cancel(self) -> bool:
        """Cancel the search after the client has disconnected; return whether any chunk was started."""
        self._is_cancelled = True
        self._changed.set()
        return self._disconnect()

    def _is_in_progress(self) -> bool:
        """Whether chunks are left to wait for; the first failure ends the whole request."""
        is_ended = self._is_cancelled or self._first_failure is not None
        return not is_ended and len(self._replies) < len(self._chunks)

    def _may_start(self) -> bool:
        """Whether another chunk may be started.

        The limit of chunks in flight starts at one and rises with the answers: host latency is measured from
        answers alone, so a burst to a few hosts would look like overload.
        """
        max_in_flight = self._broker.service_settings.vector.max_chunks_in_flight
        allowed = min(max_in_flight, 1 + len(self._replies) // SLOW_START_CHUNKS)
        in_flight = self._started_count - len(self._replies)
        return self._started_count < len(self._chunks) and in_flight < allowed

    def _start_next(self) -> None:
        request = self._request
        index = self._started_count
        self._started_count += 1
        handle = self._broker.start_planned_query(
            self._planner.plan(request, self._chunks[index]),
            self._on_reply(index),
            request.request_id if len(self._chunks) == 1 else f"{request.request_id}/{index}",
            request.client_address,
        )
        if handle is not None:
            self._handles.append(handle)

    def _on_reply(self, index: int) -> Callable[[Reply], None]:
        return partial(self._record_reply, index)

    def _record_reply(self, index: int, reply: Reply) -> None:
        self._replies[index] = reply
        if reply.kind != ReplyKind.ANSWERED and self._first_failure is None:
            self._first_failure = reply
        self._changed.set()

    def _disconnect(self) -> bool:
        """Disconnect from the started queries and return whether there were any; answered ones ignore it."""
        handles = self._handles
        self._handles = []
        for handle in handles:
            handle.disconnect()
        return bool(handles)


def _error_of(reply: Reply) -> api.ApiError:
    """Return the API error for a rejected or failed reply. The text is part of the protocol."""
    if reply.kind == ReplyKind.REFUSED:
        reason = reply.reason or "overloaded"
        retry_after_ms = milliseconds_rounded_up(reply.retry_after_us)
        text = f"Service unavailable: refused ({reason}); come back in {retry_after_ms} ms"
        return api.ApiError(503, text, max(reply.retry_after_us, 1))
    return api.ApiError(500, f"Service internal error: {reply.reason or 'no answer could be had'}")


def _model_name(spec: Collection) -> str:
    return f"vector:{spec.name}"


def _cost_features(searches: Sequence[api.Search]) -> tuple[float, ...]:
    return search_features(
        len(searches),
        sum(search.parameters.limit for search in searches),
        sum(search.parameters.filter is not None for search in searches),
    )
