"""The data of a leaf: the shards that it holds, the work of a search, and the results of attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from heathwell.codec import frames
from heathwell.eventloop import Stream, Timer
from heathwell.service.vectors.search_messages import PointId, SearchRequest, encode_search
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.data import generate_result
from heathwell.testing.standins.leaf_faults import ActiveFault


class LoggedHit(NamedTuple):
    """A hit of a search; the event log has it as a list of both values."""

    id: PointId
    score: float


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies an attempt by the part's id and the attempt's number."""

    part_id: str
    number: int


@dataclass(slots=True)
class ReceivedAttempt:
    """An attempt that the leaf received."""

    request: frames.PartRequest
    stream: Stream
    received_at_us: int
    broker: str
    timer: Timer | None = None
    search: SearchRequest | None = None
    work_us: int = 0
    logged_hits: list[list[LoggedHit]] | None = None
    """The ids and scores that a search found, by query, for the event log."""

    @property
    def key(self) -> AttemptKey:
        """The attempt's key."""
        return AttemptKey(self.request.id, self.request.seq)


class LeafData:
    """Generated records, and the vector shards of the leaf's replica group."""

    def __init__(self, service_settings: ServiceSettings, replica_group: int) -> None:
        self._settings = service_settings
        self._replica_group = replica_group
        self._collections = {spec.name: spec for spec in service_settings.collections}
        if not self._collections:
            return
        # Imported here, as only leaves with vector collections need numpy and the index library.
        from heathwell.testing.standins.vectors import shard_from_settings  # noqa: PLC0415

        self._shard_from_settings = shard_from_settings
        # Shards are built before the leaf listens; otherwise the first search would wait for them.
        for spec in service_settings.collections:
            for shard in range(service_settings.fleet.shards):
                if self.holds(shard):
                    shard_from_settings(spec, shard, service_settings.fleet.shards)

    def holds(self, shard: int) -> bool:
        """Return whether the leaf is a replica of the shard."""
        fleet = self._settings.fleet
        return (self._replica_group - shard) % fleet.cells < fleet.width

    def search_work_us(self, search: SearchRequest) -> float:
        """Return a search's usual work (us). Raise :class:`KeyError` for an unknown collection.

        The work grows with the number of query vectors, of hits to rank and of filters. Vectors share one
        matrix product, so that each costs less than a search of its own.
        """
        spec = self._collections[search.collection]
        max_hits = sum(one.limit for one in search.searches)
        filtered = sum(one.filter is not None for one in search.searches)
        return spec.work * (0.6 + 0.4 * len(search.searches) + 0.1 * max_hits / 100 + 0.2 * filtered)

    def score_bounds(self, search: SearchRequest, shard_number: int) -> list[float]:
        """Return, for each query vector of a search, the best score that a row of the shard can have."""
        collection = self._collections[search.collection]
        shard = self._shard_from_settings(collection, shard_number, self._settings.fleet.shards)
        return shard.score_bounds(shard.decode_queries(search.vectors, len(search.searches)))

    def record_result(self, request: frames.PartRequest) -> bytes:
        """Return the encoded result of a part without vectors. Raise :class:`UnknownOperationError`."""
        result = generate_result(
            request.op, request.shard, request.key, request.item, self._settings.leaf.rows
        )
        return msgspec.json.encode(result)

    def search_result(
        self,
        attempt: ReceivedAttempt,
        search: SearchRequest,
        malformed: ActiveFault | None,
        *,
        log_hits: bool,
    ) -> bytes:
        """Return an encoded search result. Raise :class:`ValueError`.

        ``malformed``: reverse the order of the hits, and repeat them where the fault's text is ``many``.
        ``log_hits``: store the hits in the attempt, for the event log.
        """
        collection = self._collections[search.collection]
        shard = self._shard_from_settings(collection, attempt.request.shard, self._settings.fleet.shards)
        result = shard.search(search)
        if malformed is not None:
            repeat = 2 if malformed.text == "many" else 1
            result.lists = [(hits * repeat)[::-1] for hits in result.lists]
        if log_hits:
            attempt.logged_hits = [[LoggedHit(hit.id, hit.score) for hit in hits] for hits in result.lists]
        return encode_search(result)
