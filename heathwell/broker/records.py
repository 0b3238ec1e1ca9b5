"""What fronts hand to the market's broker."""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell import interface as hw
from heathwell.merge import TopK
from heathwell.settings import Market


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
    top: TopK
    figures: tuple[float, ...]
    work: int
    limit_us: int = 0
    patience_us: int = 0
    moot: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a client's key asks for."""

    klass: int
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


def module_settings(market: Market, zone: int, siblings: int) -> hw.Settings:
    """The decision module's settings from the file's."""
    rules, limits, fleet = market.rules, market.limits, market.fleet
    return hw.Settings(
        classes=tuple(
            hw.ClassSpec(
                name=spec.name,
                aim_us=spec.aim,
                limit_us=spec.limit,
                repeat=spec.repeat,
                dedup_us=spec.dedup,
                worth=spec.worth,
                late_worth=spec.late_worth,
                partial_worth=spec.partial_worth,
                need=spec.need,
                min_share=spec.floor or spec.need,
                fetch=spec.fetch,
            )
            for spec in market.classes
        ),
        shards=fleet.shards,
        cells=fleet.cells,
        width=fleet.width,
        siblings=siblings,
        zone=zone,
        tick_us=limits.tick,
        max_attempts=limits.attempts,
        open_cap=limits.open_cap,
        second_copies=limits.second_copies,
        cancelling=limits.cancelling,
        probing=limits.probing,
        advise=limits.advise,
        max_advice_us=limits.max_advice,
        ask_mode=market.discovery.ask,
        must_ask_us=rules.must_ask,
        parts_a_call=limits.parts_a_call,
        marks_retry=limits.marks_retry,
        drain_grace_us=rules.drain_grace,
        fall_multiple=rules.fall_multiple,
        tip_after_us=rules.fall_after,
        start_capacity=rules.start_capacity,
        warm_within_us=rules.warm_within,
        free_resends=rules.free_resends,
        further_ratio=rules.further_ratio,
        counted_over_us=rules.counted_over,
        warm_keys=limits.warm_keys,
        by_work=limits.by_work,
    )
