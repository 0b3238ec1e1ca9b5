"""Budgets over processes against lone brokers and an equal split: `.venv/bin/python
benchmarks/worthsockets.py`.

6 brokers and 24 hosts as processes, one run a variant: slow hosts, eight hosts back cold, two steps of a
release. In the split nothing is left to lend. Exit 1 when a rule is broken, a budget overshot, or a fault not
made.
"""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from itertools import product
from pathlib import Path

from heathwell.testing.audit import judge_budgets
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import load_script

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
SPANS = {"slow hosts": (6, 13), "cold return": (14, 23), "release": (24, 36)}
KINDS = ("on time", "late", "partial", "refused", "lost", "broken")
BUDGETS = """
  (keepers "127.0.0.1:7101" "127.0.0.1:7102" "127.0.0.1:7103") (most 8)
  (lease 1500ms) (renew 200ms) (suspect 700ms)
  (dead 2s) (budget further (whole 24) (aside {aside}) (burst 3s))
  (budget cold (whole 30) (aside {aside}) (burst 2s))
"""
VARIANTS = {"lone": "", "split": BUDGETS.format(aside="100%"), "lent": BUDGETS.format(aside="20%")}


def main() -> int:
    """Play each, and print a table."""
    bad, table = 0, dict[str, dict[tuple[str, str], Counter[str]]]()
    text = (EXAMPLES / "market.sx").read_text().replace("(log (level info)", "(log (level error)")
    for variant, budgets in VARIANTS.items():
        folder = Path(tempfile.mkdtemp(prefix="heathwell-"))
        service_settings = text.replace("(leaves 12) (brokers 3))", f"(leaves 24) (brokers 6) {budgets})")
        (folder / "market-worth.sx").write_text(service_settings)
        (folder / "day.sx").write_text(
            (EXAMPLES / "worthday.sx").read_text() + ("(wires yes)\n" if budgets else "")
        )
        script, settings, config = load_script(str(folder / "day.sx"))
        day = FaultScenario(script, settings, config, folder / "out", lambda _text: None)
        verdict = day.run()
        rows = table[variant] = {}
        for outcome in day.clients.outcomes:
            for span, (begin, end) in SPANS.items():
                if begin <= outcome.scheduled_at_seconds < end:
                    rows.setdefault((span, outcome.query_class), Counter())[outcome.kind] += 1
        found = judge_budgets(day.logged) if variant == "lent" else None
        wrong = [
            *map(str, verdict.breaches),
            *(found.breaches if found is not None else []),
            *day.injection_errors,
        ]
        bad += len(wrong)
        sends = [event for event in day.logged if event.ev == "send" and event.fields.get("further")]
        seconds = Counter(event.t // 1_000_000 for event in sends)
        print(
            f"{variant}: nearest to a cold host's fall {verdict.coldest:.2f}, "
            f"{verdict.counts['falls']} falls; "
            f"further attempts {len(sends) / script.seconds:.1f} a second, most "
            f"{max(seconds.values(), default=0)}; "
            f"{verdict.counts['arrivals']} arrivals; {len(wrong)} wrong",
            flush=True,
        )
        for line in wrong[:5]:
            print("   ", line)
    for span, query_class in product(SPANS, ("price-search", "day-report", "sale-record")):
        cells = []
        for variant in VARIANTS:
            counts = table[variant].get((span, query_class), Counter())
            asked = sum(counts.values()) or 1
            cells.append(", ".join(f"{kind} {counts[kind] / asked:.1%}" for kind in KINDS if counts[kind]))
        print(f"{span} | {query_class} | " + " | ".join(cells))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
