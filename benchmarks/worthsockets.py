"""Quotas over processes against brokers on their own and an equal fixed split.

`.venv/bin/python benchmarks/worthsockets.py`: 6 brokers and 24 endpoints as processes, one run a variant:
slow endpoints, eight endpoints that restart cold, two steps of a release. In the split all of each budget
is set aside. Exit code 1 where a rule is broken, a budget exceeded, or a fault could not be injected.
"""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Final

from heathwell.testing.audit import judge_budgets
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import load_script

EXAMPLES: Final = Path(__file__).resolve().parent.parent / "examples"
PHASES_SECONDS: Final = {"slow hosts": (6, 13), "cold return": (14, 23), "release": (24, 36)}
OUTCOME_KINDS: Final = ("on time", "late", "partial", "refused", "lost", "broken")
QUERY_CLASSES: Final = ("price-search", "day-report", "sale-record")
BUDGETS: Final = """
  (keepers "127.0.0.1:7101" "127.0.0.1:7102" "127.0.0.1:7103") (most 8)
  (lease 1500ms) (renew 200ms) (suspect 700ms)
  (dead 2s) (budget further (whole 24) (aside {aside}) (burst 3s))
  (budget cold (whole 30) (aside {aside}) (burst 2s))
"""
GRANTED: Final = "lent"
# By variant: what is added to the settings of the fleet.
VARIANTS: Final = {
    "lone": "",
    "split": BUDGETS.format(aside="100%"),
    GRANTED: BUDGETS.format(aside="20%"),
}
MICROSECONDS_PER_SECOND: Final = 1_000_000
PRINTED_VIOLATIONS: Final = 5


@dataclass(frozen=True, slots=True)
class VariantRun:
    """A finished run of one variant."""

    violations: list[str]
    outcomes: dict[tuple[str, str], Counter[str]]  # by phase and query class
    summary: str


def _write_script(folder: Path, budgets: str) -> str:
    """Write the settings and the script of a variant; return the script's path."""
    settings = (EXAMPLES / "market.sx").read_text().replace("(log (level info)", "(log (level error)")
    settings = settings.replace("(leaves 12) (brokers 3))", f"(leaves 24) (brokers 6) {budgets})")
    (folder / "market-worth.sx").write_text(settings)
    script = (EXAMPLES / "worthday.sx").read_text() + ("(wires yes)\n" if budgets else "")
    (folder / "day.sx").write_text(script)
    return str(folder / "day.sx")


def _count_outcomes(scenario: FaultScenario) -> dict[tuple[str, str], Counter[str]]:
    assert scenario.clients is not None
    counts: dict[tuple[str, str], Counter[str]] = {}
    for outcome in scenario.clients.outcomes:
        for phase, (begin, end) in PHASES_SECONDS.items():
            if begin <= outcome.scheduled_at_seconds < end:
                counts.setdefault((phase, outcome.query_class), Counter())[outcome.kind] += 1
    return counts


def _attempts_text(scenario: FaultScenario) -> str:
    """Return the mean and the maximum of additional attempts per second."""
    sends = [event for event in scenario.logged if event.ev == "send" and event.fields.get("further")]
    sends_by_second = Counter(event.t // MICROSECONDS_PER_SECOND for event in sends)
    mean = len(sends) / scenario.script.seconds
    return f"further attempts {mean:.1f} a second, most {max(sends_by_second.values(), default=0)}"


def run_variant(variant: str) -> VariantRun:
    """Play the script under a variant and judge the run."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-"))
    script, settings, config = load_script(_write_script(folder, VARIANTS[variant]))
    scenario = FaultScenario(script, settings, config, folder / "out", lambda _text: None)
    verdict = scenario.run()
    overshoots = judge_budgets(scenario.logged).breaches if variant == GRANTED else []
    violations = [*map(str, verdict.breaches), *overshoots, *scenario.injection_errors]
    return VariantRun(
        violations=violations,
        outcomes=_count_outcomes(scenario),
        summary=f"{variant}: nearest to a cold host's fall {verdict.coldest:.2f}, "
        f"{verdict.counts['falls']} falls; {_attempts_text(scenario)}; "
        f"{verdict.counts['arrivals']} arrivals; {len(violations)} wrong",
    )


def _outcome_cell(counts: Counter[str]) -> str:
    total = counts.total() or 1
    return ", ".join(f"{kind} {counts[kind] / total:.1%}" for kind in OUTCOME_KINDS if counts[kind])


def main() -> int:
    """Play all variants, and print a line for each and a table of service."""
    runs = []
    for variant in VARIANTS:
        run = run_variant(variant)
        runs.append(run)
        print(run.summary, flush=True)
        for line in run.violations[:PRINTED_VIOLATIONS]:
            print("   ", line)
    for phase, query_class in product(PHASES_SECONDS, QUERY_CLASSES):
        cells = [_outcome_cell(run.outcomes.get((phase, query_class), Counter())) for run in runs]
        print(f"{phase} | {query_class} | " + " | ".join(cells))
    return 1 if any(run.violations for run in runs) else 0


if __name__ == "__main__":
    sys.exit(main())
