"""Query plans, which the servers of client protocols pass to the service broker."""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.service.merging import TopKMerge


@dataclass(frozen=True, slots=True)
class PartPlan:
    """The plan of one part: its shard, its fraction of the step's weight, and what an endpoint is asked."""

    shard: int
    weight: float
    operation: str
    key: str
    item: int = 0


@dataclass(slots=True)
class SearchPlan:
    """What the plan of a vector search holds beyond that of other queries.

    ``body`` is the request body of each part, ``work_us`` the expected work of one part. The cost model named
    ``cost_model`` learns from ``cost_features``. ``timeout_us`` is the timeout that the client chose, 0 for
    the class's; ``queue_timeout_us`` limits queueing, 0 for the limit of the class. ``superseded`` are the
    ids of parts that could no longer change the answer and so were not awaited.
    """

    cost_model: str
    body: bytes
    merge: TopKMerge
    cost_features: tuple[float, ...]
    work_us: int
    timeout_us: int = 0
    queue_timeout_us: int = 0
    superseded: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """The plan of a query.

    ``subject`` is a number derived from what the query is about, such as a trader or a search term. The
    ``token`` fields hold the consistency token of the client; ``token_error`` says why it is malformed, and
    is empty if it is not. ``flow`` is the flow of the fair queue: the server that received the query.
    """

    query_class: int
    shape: str
    subject: int
    key: str
    parts: tuple[PartPlan, ...]
    token_positions: dict[int, int] = field(default_factory=dict)
    minimum_token_position: int = 0
    token_error: str = ""
    search: SearchPlan | None = None
    flow: str = "memcached"

    def token_position(self, shard: int) -> int:
        """Return the source position of a shard up to which the client has read, according to its token."""
        return self.token_positions.get(shard, self.minimum_token_position)
