"""The plans of queries, which servers of client protocols pass to the service broker."""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.service.merging import TopKMerge


@dataclass(frozen=True, slots=True)
class PartPlan:
    """One part of a query: its shard, its share of the step's weight and what the host is asked."""

    shard: int
    weight: float
    op: str
    key: str
    item: int = 0


@dataclass(slots=True)
class SearchPlan:
    """What makes a query one of vectors: its parts' body, its merge, and what a part is taken to cost (us).

    ``figures`` are what the cost is learned from, under the model's name; ``limit_us`` is the client's own
    time and ``patience_us`` how long it may wait for its turn, 0 for the class's; ``moot`` are parts that
    could not change the answer, and so were not waited for.
    """

    model: str
    body: bytes
    top: TopKMerge
    figures: tuple[float, ...]
    work: int
    timeout_us: int = 0
    patience_us: int = 0
    superseded: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a client's key asks for."""

    query_class: int
    shape: str
    subject: int
    key: str
    parts: tuple[PartPlan, ...]
    seen: dict[int, int] = field(default_factory=dict)
    seen_least: int = 0
    wrong: str = ""
    search: SearchPlan | None = None
    front: str = "memcached"

    def at_least(self, shard: int) -> int:
        """The position of a shard that the client has seen already, by its token."""
        return self.seen.get(shard, self.seen_least)
