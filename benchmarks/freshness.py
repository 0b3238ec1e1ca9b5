"""Stated ages against the true ones over at least 20,000 answers, and what each staleness policy costs.

Virtual time, simulated endpoints: `.venv/bin/python benchmarks/freshness.py [ANSWERS]`. The processor's share
is measured with processes on loopback. Exit code 1 where an answer states an age below the true one, or a
rule is broken.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import costs

from heathwell.settings import load, loads
from heathwell.testing.simulation.host_faults import HOST_FAULTS, LAG_FAULTS
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario

SETTINGS: Final = """
(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%) (work 40ms){age_keys})
(class day-report (aim 1200ms) (limit 3s) (late-worth 10%) (fetch 5) (work 30ms){age_keys})
(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%) (work 30ms))
(keys sale (class sale-record) (shape record))
(keys price (class price-search) (shape search) (parts 8))
(keys report (class day-report) (shape report) (report-parts 4))
(fleet (shards 12) (cells 6) (width 3) (zones a b c) (leaves 12) (brokers 3))
(rules (drain-grace 1s) (fall-multiple 2.5) (fall-after 1s) (start-capacity 18%) (warm-within 17s))
(limits (attempts 4) (open-cap 600) (by-work yes))
(discovery (notice 300ms) (silent-notice 2s))
(freshness (on {switch}))
"""
POLICY_OFF: Final = "off"
# By policy: the freshness switch, and the keys that each class has for it.
POLICIES: Final = {
    POLICY_OFF: ("no", ""),
    "use": ("yes", " (wanted-age 1s)"),
    "another": ("yes", " (wanted-age 1s) (stale another)"),
    "missing": ("yes", " (wanted-age 1s) (max-age 2s) (stale missing)"),
}
RUN_DURATION_SECONDS: Final = 25.0
DEFAULT_ANSWERS: Final = 20_000
MIN_SEEDS: Final = 4
POLICIES_WITH_AGES: Final = len(POLICIES) - 1
ANSWERS_PER_RUN: Final = 500  # with stated ages, at least
COST_ROUNDS: Final = 7
COST_QUERIES: Final = 1_600
PRINTED_BREACHES_PER_RUN: Final = 3
UPTIME_BEFORE_LOAD_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class JudgedAges:
    """The stated ages of one run against the true ones (us)."""

    judged_count: int
    unknown_count: int
    excess_us: list[int]
    true_ages_us: list[int]
    breaches: list[str]  # answers that state an age below the true one


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run; ``ages`` is None where freshness is off."""

    policy: str
    seed: int
    breaches: list[str]
    outcomes: dict[str, dict[str, int]]  # by query class and kind of outcome
    ages: JudgedAges | None

    @property
    def judged_count(self) -> int:
        """Answers whose age was judged."""
        return self.ages.judged_count if self.ages is not None else 0

    @property
    def age_breaches(self) -> list[str]:
        """Answers that state an age below the true one."""
        return self.ages.breaches if self.ages is not None else []


def run(policy: str, seed: int) -> RunResult:
    """Simulate one run under a policy."""
    switch, age_keys = POLICIES[policy]
    scenario = SimulatedScenario(
        loads(SETTINGS.format(switch=switch, age_keys=age_keys)),
        seed,
        duration_seconds=RUN_DURATION_SECONDS,
        use_tokens=True,
        faults=HOST_FAULTS + LAG_FAULTS * 3,
    ).run()
    verdict = scenario.verdict()
    return RunResult(
        policy=policy,
        seed=seed,
        breaches=[str(breach) for breach in verdict.breaches],
        outcomes={query_class: dict(kinds) for query_class, kinds in scenario.outcome_counts.items()},
        ages=_judge_ages(scenario) if policy != POLICY_OFF else None,
    )


def _judge_ages(scenario: SimulatedScenario) -> JudgedAges:
    ages = scenario.age_verdict()
    return JudgedAges(
        judged_count=ages.judged,
        unknown_count=ages.unknown,
        excess_us=ages.excess,
        true_ages_us=ages.true_ages,
        breaches=[str(breach) for breach in ages.breaches],
    )


def measure_cost_ratios(rounds: int) -> list[float]:
    """Return the broker's processor time per six-part query, freshness on over off, one ratio a round.

    Processes on loopback, measured in alternation; the ratios are sorted.
    """
    ratios = []
    with tempfile.TemporaryDirectory() as folder:
        fleets = []
        for switch in ("yes", "no"):
            config = f"{folder}/{switch}.sx"
            Path(config).write_text(costs.SETTINGS + f"(freshness (on {switch}))\n")
            fleets.append(ProcessFleet(config, load(config)))
        try:
            for fleet in fleets:
                fleet.start()
            time.sleep(UPTIME_BEFORE_LOAD_SECONDS)
            for _ in range(rounds):
                cost_on, cost_off = (_broker_cpu_us(fleet) for fleet in fleets)
                ratios.append(cost_on / cost_off)
        finally:
            for fleet in fleets:
                fleet.stop()
    return sorted(ratios)


def _broker_cpu_us(fleet: ProcessFleet) -> float:
    return costs.measure_query_cost(fleet, "six", COST_QUERIES)["broker CPU, us a query"]


def _percentile(values: list[int], fraction: float) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _outcome_shares(results: list[RunResult]) -> dict[str, dict[str, str]]:
    """Return by query class and kind of outcome its share of all queries of the class."""
    counts: dict[str, Counter[str]] = {}
    for result in results:
        for query_class, outcomes in result.outcomes.items():
            counts.setdefault(query_class, Counter()).update(outcomes)
    return {
        query_class: {kind: f"{count / outcomes.total():.1%}" for kind, count in sorted(outcomes.items())}
        for query_class, outcomes in sorted(counts.items())
    }


def _age_summary(results: list[RunResult]) -> dict[str, Any]:
    """Return the printed summary of the ages of all runs of a policy."""
    ages = [result.ages for result in results if result.ages is not None]
    excess_us = [value for judged in ages for value in judged.excess_us]
    true_ages_us = [value for judged in ages for value in judged.true_ages_us]
    return {
        "answers": len(true_ages_us),
        "unknown age": sum(judged.unknown_count for judged in ages),
        "bound over truth, us": {
            "p50": _percentile(excess_us, 0.5),
            "p99": _percentile(excess_us, 0.99),
            "most": max(excess_us),
        },
        "true age, ms": {
            "p50": _percentile(true_ages_us, 0.5) // 1000,
            "p99": _percentile(true_ages_us, 0.99) // 1000,
        },
    }


def _policy_summary(policy: str, results: list[RunResult]) -> dict[str, Any]:
    """Return the printed summary of all runs of a policy."""
    summary = {
        "service": _outcome_shares(results),
        "rules broken": sum(len(result.breaches) for result in results),
        "stated too young": sum(len(result.age_breaches) for result in results),
    }
    return summary if policy == POLICY_OFF else summary | _age_summary(results)


def _cost_summary(ratios: list[float]) -> dict[str, float]:
    return {
        "median": round(ratios[len(ratios) // 2], 3),
        "least": round(ratios[0], 3),
        "most": round(ratios[-1], 3),
    }


def _run_all(seed_count: int) -> list[RunResult]:
    """Run all policies under all seeds, in parallel."""
    jobs = [(policy, seed) for seed in range(seed_count) for policy in POLICIES]
    policies = [policy for policy, _ in jobs]
    seeds = [seed for _, seed in jobs]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 2)) as pool:
        return list(pool.map(run, policies, seeds))


def main() -> int:
    """Run until enough answers are judged; print a table and a line of JSON."""
    answer_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_ANSWERS
    seed_count = max(MIN_SEEDS, answer_count // (POLICIES_WITH_AGES * ANSWERS_PER_RUN) + 1)
    results = _run_all(seed_count)
    summary: dict[str, Any] = {
        "answers judged": sum(result.judged_count for result in results),
        "seeds": seed_count,
    }
    breach_count = 0
    for policy in POLICIES:
        policy_results = [result for result in results if result.policy == policy]
        summary[policy] = _policy_summary(policy, policy_results)
        for result in policy_results:
            breaches = [*result.breaches, *result.age_breaches]
            breach_count += len(breaches)
            for line in breaches[:PRINTED_BREACHES_PER_RUN]:
                print(f"{policy}, seed {result.seed}: {line}")
    ratios = measure_cost_ratios(COST_ROUNDS)
    summary["broker CPU a six-part query, on over off"] = _cost_summary(ratios)
    for key, value in summary.items():
        print(f"{key}: {value}")
    print(json.dumps(summary))
    return 1 if breach_count else 0


if __name__ == "__main__":
    sys.exit(main())
