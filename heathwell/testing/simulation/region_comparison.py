"""The results of experiments on two regions: one fault under all variants, and the load of hosts by second.

Encoded names are those of the reports that earlier versions printed.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any, Final

import msgspec

from heathwell.testing.simulation.region_experiment import (
    LOAD_START_US,
    QueryCounts,
    RegionFault,
    RegionScenario,
    ServiceKey,
)
from heathwell.testing.simulation.region_settings import VARIANTS, RegionName, Variant
from heathwell.testing.standins.units import US_PER_SECOND

MAX_REPORTED_BREACHES: Final = 5
MAX_REPORTED_LINK_CHANGES: Final = 6


class LinkChange(msgspec.Struct, frozen=True, array_like=True):
    """A broker's change of the state of the link to a region, with the evidence for it."""

    at_us: int
    broker: str
    region: str
    state: str
    evidence: str


class VariantResult(
    msgspec.Struct,
    frozen=True,
    rename={
        "breaches": "rules",
        "breach_count": "broken",
        "nearest_to_overload": "coldest",
        "recovery_seconds": "steady after, s",
        "abandoned_after_permille": "gave up after, of the aim in 1000",
        "link_changes": "links",
    },
):
    """The result of one fault under one variant."""

    breaches: list[str]
    breach_count: int
    nearest_to_overload: float
    """The largest load of a warming host, as a fraction of the load that overloads it."""
    service: dict[str, QueryCounts]
    """By ``class/phase``, and by ``class/phase/home`` those with a replica of each shard in their region."""
    recovery_seconds: float | None
    abandoned_after_permille: list[int]
    """The median, empty if no query was abandoned."""
    link_changes: list[LinkChange]


class FaultComparison(msgspec.Struct, frozen=True):
    """The results of one fault by variant."""

    fault: RegionFault
    results: dict[Variant, VariantResult]

    def to_record(self) -> dict[str, Any]:
        """Return the report's record: the fault's name, and the results under the variants' names."""
        results: dict[str, Any] = msgspec.to_builtins(self.results)
        return {"trouble": self.fault.value, **results}


class HostLoad(
    msgspec.Struct,
    frozen=True,
    rename={
        "hki_mean": "home mean",
        "hki_maximum": "home most",
        "espoo_maximum": "far most",
    },
):
    """What hosts received in one second, in parts; ``connections`` are those that they accepted."""

    second: int
    hki_mean: float
    hki_maximum: int
    espoo_maximum: int
    connections: int


def compare_variants(fault: RegionFault, seed: int = 1, rate: float = 60.0) -> FaultComparison:
    """Return the results of one fault under every variant, at ``rate`` requests a second."""
    results = {}
    for variant in VARIANTS:
        scenario = RegionScenario(variant, fault, seed, rate)
        scenario.run()
        results[variant] = variant_result(scenario)
    return FaultComparison(fault, results)


def variant_result(scenario: RegionScenario) -> VariantResult:
    """Return the result of a scenario that has ended."""
    verdict = scenario.verdict()
    abandoned = sorted(scenario.abandoned_after_permille)
    return VariantResult(
        breaches=[str(breach) for breach in verdict.breaches[:MAX_REPORTED_BREACHES]],
        breach_count=len(verdict.breaches),
        nearest_to_overload=round(verdict.coldest, 2),
        service={_service_name(key): counts for key, counts in scenario.ordered_counts().items()},
        recovery_seconds=scenario.recovery_seconds(),
        abandoned_after_permille=abandoned[len(abandoned) // 2 :][:1],
        link_changes=_link_changes(scenario)[:MAX_REPORTED_LINK_CHANGES],
    )


def _service_name(key: ServiceKey) -> str:
    return f"{key.query_class}/{key.phase}{'/home' if key.is_local else ''}"


def _link_changes(scenario: RegionScenario) -> list[LinkChange]:
    return [
        LinkChange(event["t"], event["who"], event["region"], event["state"], event["why"])
        for event in scenario.events
        if event["ev"] == "link"
    ]


def load_by_second(scenario: RegionScenario) -> list[HostLoad]:
    """Return what hosts received in each second in which any did, from the load's start on."""
    leaf_names = {event["node"]: event["who"] for event in scenario.events if event["ev"] == "up"}
    received_parts: dict[int, Counter[str]] = defaultdict(Counter)
    connections: Counter[int] = Counter()
    for event in scenario.events:
        second = (event["t"] - LOAD_START_US) // US_PER_SECOND
        if event["ev"] == "arrive":
            received_parts[second][leaf_names[event["node"]]] += 1
        elif event["ev"] == "met":
            connections[second] += 1
    return [
        _host_load(second, received_parts[second], connections[second]) for second in sorted(received_parts)
    ]


def _host_load(second: int, received_parts: Counter[str], connections: int) -> HostLoad:
    counts_by_region: dict[RegionName, list[int]] = {region: [] for region in RegionName}
    for leaf, count in received_parts.items():
        counts_by_region[RegionScenario.region_of(leaf)].append(count)
    hki_counts = counts_by_region[RegionName.HKI]
    return HostLoad(
        second=second,
        hki_mean=round(sum(hki_counts) / max(1, len(hki_counts)), 1),
        hki_maximum=max(hki_counts, default=0),
        espoo_maximum=max(counts_by_region[RegionName.ESPOO], default=0),
        connections=connections,
    )
