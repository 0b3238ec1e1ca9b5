"""The plans of queries, which servers of client protocols pass to the service broker."""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.service.merging import TopKMerge


@dataclass(frozen=True, slots=True)
class PartPlan:
    """One part of a query: its shard, its fraction of the step's weight and the request to an endpoint."""

    shard: int
    weight: float
    operation: str
    key: str
    item: int = 0


@dataclass(slots=True)
class SearchPlan:
    """What a vector search has beyond other queries: its parts' body, its merge, and a part's work (us).

    ``cost_features`` are what the cost is learned from, under the name of the ``model``; ``timeout_us`` is
    the client's own and ``patience_us`` how long the query may be queued, 0 for the class's; ``superseded``
    are parts that could not change the answer any more, and so were not awaited.
    """

    model: str
    body: bytes
    top: TopKMerge
    cost_features: tuple[float, ...]
    work: int
    timeout_us: int = 0
    patience_us: int = 0
    superseded: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """The query that a client's key requests."""

    query_class: int
    shape: str
    subject: int
    key: str
    parts: tuple[PartPlan, ...]
    token_positions: dict[int, int] = field(default_factory=dict)
    minimum_token_position: int = 0
    token_error: str = ""
    search: SearchPlan | None = None
    front: str = "memcached"

    def token_position(self, shard: int) -> int:
        """Return the source position of a shard that the client has received already, by its token."""
        return self.token_positions.get(shard, self.minimum_token_position)
