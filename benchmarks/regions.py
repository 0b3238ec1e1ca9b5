"""Two regions under each fault and each variant, with the service before, during and after the fault.

Without options in virtual time with simulated hosts: `.venv/bin/python benchmarks/regions.py`. ``--large``: a
region lost at the large size, alone. ``--sockets [RATE]``: processes on loopback. Exit 1 when a rule is
broken.
"""

from __future__ import annotations

import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

import msgspec

from heathwell.testing.simulation.experiment_phases import PHASES, Phase
from heathwell.testing.simulation.region_comparison import (
    FaultComparison,
    VariantResult,
    compare_variants,
    load_by_second,
)
from heathwell.testing.simulation.region_experiment import (
    LARGE_REGION_SETTINGS,
    REGION_FAULTS,
    QueryCounts,
    RegionFault,
    RegionScenario,
    ServiceKey,
)
from heathwell.testing.simulation.region_process_experiment import (
    PROCESS_FAULTS,
    RegionProcessResult,
    run_region_processes,
)
from heathwell.testing.simulation.region_settings import VARIANTS, Variant

LARGE_RATE = 130.0
SOCKETS_RATE = 30.0
MAX_PRINTED_BREACHES = 5
MAX_PRINTED_LINK_CHANGES = 4
QUERY_CLASSES = ("price-search", "day-report", "sale-record")
CLIENT_OUTCOMES = ("on time", "late", "partial", "refused", "failed", "lost", "broken", "no broker")


def run_virtual() -> int:
    """Print the comparison of the variants for each fault, and all as a line of JSON."""
    workers = max(1, min(len(REGION_FAULTS), (os.cpu_count() or 2) - 1))
    with ProcessPoolExecutor(workers) as pool:
        comparisons = list(pool.map(compare_variants, REGION_FAULTS))
    for comparison in comparisons:
        print_comparison(comparison)
    print(json.dumps([comparison.to_record() for comparison in comparisons]))
    breach_count = sum(
        result.breach_count for comparison in comparisons for result in comparison.results.values()
    )
    return 1 if breach_count else 0


def print_comparison(comparison: FaultComparison) -> None:
    """Print what one fault did under each variant."""
    for variant, result in comparison.results.items():
        print_variant(comparison.fault, variant, result)


def print_variant(fault: RegionFault, variant: Variant, result: VariantResult) -> None:
    """Print what one fault did under one variant."""
    print(
        f"{fault}, {variant}: rules broken {result.breach_count}, nearest to a cold host's fall "
        f"{result.nearest_to_overload}, steady after {result.recovery_seconds} s"
    )
    for breach in result.breaches:
        print("   ", breach)
    for name, counts in result.service.items():
        print(f"    {name:<28} {counts.queries:>5}: {outcome_percentages(counts)}")
    for change in result.link_changes[:MAX_PRINTED_LINK_CHANGES]:
        print("    link:", msgspec.structs.astuple(change))


def outcome_percentages(counts: QueryCounts) -> str:
    """Return the percentage of each outcome that occurred."""
    by_outcome = msgspec.structs.asdict(counts)
    by_outcome.pop("queries")
    return ", ".join(
        f"{outcome} {count / counts.queries:.1%}" for outcome, count in by_outcome.items() if count
    )


def run_large() -> int:
    """Print what a lost region did at the large size, and the hosts' load by second."""
    began_at_seconds = time.process_time()
    scenario = RegionScenario(Variant.DECIDER, RegionFault.REGION_LOST, 1, LARGE_RATE, LARGE_REGION_SETTINGS)
    scenario.run()
    processor_seconds = time.process_time() - began_at_seconds
    verdict = scenario.verdict()
    for load in load_by_second(scenario):
        print(msgspec.to_builtins(load))
    max_connections = max(event["open"] for event in scenario.events if event["ev"] == "met")
    for key, counts in scenario.ordered_counts().items():
        if not key.is_local:
            print(key.query_class, key.phase, msgspec.to_builtins(counts))
    print(
        f"rules broken {len(verdict.breaches)}, nearest to a cold host's fall {verdict.coldest:.2f}, "
        f"steady after {scenario.recovery_seconds()} s, most connections a host {max_connections}, "
        f"{processor_seconds:.0f} s of processor for 45 simulated"
    )
    for breach in verdict.breaches[:MAX_PRINTED_BREACHES]:
        print(breach)
    return 1 if verdict.breaches else 0


def run_on_sockets(rate: float) -> int:
    """Run processes under one variant after another and print one table of all faults."""
    results = [run_region_processes(variant, rate, print) for variant in VARIANTS]
    print("trouble | class | span | variant | " + " | ".join(CLIENT_OUTCOMES) + " | at home on time")
    for fault in PROCESS_FAULTS:
        for query_class in QUERY_CLASSES:
            for phase in PHASES:
                print_service(results, fault.name, query_class, phase)
        print_recoveries(results, fault.name)
    for result in results:
        print_verdict(result)
    return 1 if any(result.verdict.breaches for result in results) else 0


def print_service(results: list[RegionProcessResult], fault: str, query_class: str, phase: Phase) -> None:
    """Print how requests of a class ended in a phase, a row a variant."""
    key = ServiceKey(query_class, phase)
    local_key = ServiceKey(query_class, phase, is_local=True)
    for result in results:
        service = result.services[fault]
        percentages = " | ".join(f"{service.fraction(key, outcome):.1%}" for outcome in CLIENT_OUTCOMES)
        print(
            f"{fault} | {query_class} | {phase} | {result.variant} ({service.count(key)}) | {percentages} | "
            f"{service.fraction(local_key, 'on time'):.1%} of {service.count(local_key)}"
        )


def print_recoveries(results: list[RegionProcessResult], fault: str) -> None:
    """Print how soon the service recovered, and the median duration of refusals during the fault."""
    for result in results:
        service = result.services[fault]
        durations = sorted(service.refused_after_objectives)
        median = durations[len(durations) // 2] if durations else 0
        print(
            f"  {fault}, {result.variant}: steady after {service.recovery_seconds} s; refusals after "
            f"{median:.1%} of the aim (half of {len(durations)})"
        )


def print_verdict(result: RegionProcessResult) -> None:
    """Print the audit of one run."""
    verdict = result.verdict
    print(
        f"{result.variant}: rules broken {len(verdict.breaches)}, {verdict.counts}, nearest to "
        f"a cold host's fall {verdict.coldest:.2f}, "
        f"{result.off_schedule_count} of {result.request_count} off schedule, logs in {result.folder}"
    )
    for breach in verdict.breaches[:MAX_PRINTED_BREACHES]:
        print("   ", breach)


def main() -> int:
    """Run the benchmark that the options name; return the exit code."""
    if "--large" in sys.argv:
        return run_large()
    if "--sockets" in sys.argv:
        last = sys.argv[-1]
        return run_on_sockets(float(last) if last[0].isdigit() else SOCKETS_RATE)
    return run_virtual()


if __name__ == "__main__":
    sys.exit(main())
