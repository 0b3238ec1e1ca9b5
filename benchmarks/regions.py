"""Two regions, every trouble of the link under every variant: `.venv/bin/python benchmarks/regions.py`.

Virtual time, simulated hosts. Exit 1 when a rule is broken.
"""

from __future__ import annotations

import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from heathwell.testing.simulation import region_process_experiment
from heathwell.testing.simulation.region_experiment import (
    LARGE_REGION_SETTINGS,
    TROUBLES,
    VARIANTS,
    RegionScenario,
    compare,
    sent_by_second,
)


def large() -> int:
    """A region lost at 82 hosts and 89 brokers: what the hosts were sent, second by second."""
    began = time.process_time()
    day = RegionScenario("decider", "region lost", 1, 130.0, LARGE_REGION_SETTINGS)
    day.run()
    took = time.process_time() - began
    verdict = day.verdict()
    for row in sent_by_second(day):
        print(row)
    open_most = max(event["open"] for event in day.events if event["ev"] == "met")
    for (query_class, where, home), span in sorted(day.spans.items()):
        if not home:
            print(
                query_class,
                ("before", "during", "after")[where],
                {n: getattr(span, n) for n in span.__slots__},
            )
    print(
        f"rules broken {len(verdict.breaches)}, nearest to a cold host's fall "
        f"{verdict.coldest:.2f}, steady after "
        f"{day.steady_after()} s, most connections a host {open_most}, {took:.0f} s of processor "
        f"for 45 simulated"
    )
    for breach in verdict.breaches[:5]:
        print(breach)
    return 1 if verdict.breaches else 0


def on_sockets(rate: float) -> int:
    """Fleets of processes, a variant after another: what each trouble did to the service, one table."""
    runs = [
        region_process_experiment.play(variant, rate, print) for variant in region_process_experiment.VARIANTS
    ]
    kinds = ("on time", "late", "partial", "refused", "failed", "lost", "broken", "no broker")
    print("trouble | class | span | variant | " + " | ".join(kinds) + " | at home on time")
    for trouble, *_ in region_process_experiment.TROUBLES:
        for query_class in ("price-search", "day-report", "sale-record"):
            for span in region_process_experiment.SPANS:
                for run in runs:
                    service: region_process_experiment.Service = run["services"][trouble]
                    counts = service.counts.get((query_class, span, False), {})
                    shares = " | ".join(f"{service.share(query_class, span, kind):.1%}" for kind in kinds)
                    home = sum(service.counts.get((query_class, span, True), {}).values())
                    print(
                        f"{trouble} | {query_class} | {span} | {run['variant']} ({sum(counts.values())}) "
                        f"| {shares} | "
                        f"{service.share(query_class, span, 'on time', True):.1%} of {home}"
                    )
        for run in runs:
            service = run["services"][trouble]
            waits = sorted(service.refused_after)
            print(
                f"  {trouble}, {run['variant']}: steady after {service.steady_after} s; refusals after "
                f"{waits[len(waits) // 2] if waits else 0:.1%} of the aim (half of {len(waits)})"
            )
    bad = 0
    for run in runs:
        verdict = run["verdict"]
        bad += len(verdict.breaches)
        print(
            f"{run['variant']}: rules broken {len(verdict.breaches)}, {verdict.counts}, nearest to "
            f"a cold host's "
            f"fall {verdict.coldest:.2f}, {run['off_schedule']} of {run['asked']} off schedule, "
            f"logs in {run['folder']}"
        )
        for breach in verdict.breaches[:5]:
            print("   ", breach)
    return 1 if bad else 0


def main() -> int:
    """A table a trouble and a line of JSON; ``--large``: the users' size alone; ``--sockets [RATE]``:
    processes.
    """
    if "--large" in sys.argv:
        return large()
    if "--sockets" in sys.argv:
        return on_sockets(float(sys.argv[-1]) if sys.argv[-1][0].isdigit() else 30.0)
    with ProcessPoolExecutor(max(1, min(len(TROUBLES), (os.cpu_count() or 2) - 1))) as pool:
        results = list(pool.map(compare, TROUBLES))
    bad = 0
    for result in results:
        for variant in VARIANTS:
            got = result[variant]
            bad += got["broken"]
            print(
                f"{result['trouble']}, {variant}: rules broken {got['broken']}, nearest to a cold "
                f"host's fall "
                f"{got['coldest']}, steady after {got['steady after, s']} s"
            )
            for line in got["rules"]:
                print("   ", line)
            for name, span in got["service"].items():
                asked = span["asked"]
                shares = ", ".join(
                    f"{kind} {count / asked:.1%}" for kind, count in span.items() if kind != "asked" and count
                )
                print(f"    {name:<28} {asked:>5}: {shares}")
            for change in got["links"][:4]:
                print("    link:", change)
    print(json.dumps(results))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
