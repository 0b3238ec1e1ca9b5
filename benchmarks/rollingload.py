"""A good rollout under load, as clients see it before, during and after: `.venv/bin/python
benchmarks/rollingload.py`.

Six brokers in three machines, 40 queries a second. Exit 1 when a connect was refused, a query lost or a rule
broken.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from heathwell.testing.audit import judge, read_logs
from heathwell.testing.simulation.controller_process import RolloutPlan
from heathwell.testing.simulation.planted_versions import plant_version
from heathwell.testing.simulation.rollout_fleet import RolloutFleet, write_service_settings

MARKET = Path(__file__).resolve().parent.parent / "examples/market-fleet.sx"
BEFORE, AFTER = 25.0, 20.0  # seconds
HURT = ("lost", "broken", "no broker", "failed")


def main() -> int:
    """One rollout, and a table by span."""
    folder = Path(tempfile.mkdtemp(prefix="heathwell-"))
    write_service_settings(MARKET, folder / "market.sx")
    with RolloutFleet(folder / "run", folder / "market.sx", machine_count=3).running() as fleet:
        fleet.begin_load()
        time.sleep(5.0)
        began = time.monotonic()
        time.sleep(BEFORE)
        rolled = time.monotonic()
        change = fleet.start_controller(RolloutPlan("v2", program=plant_version(fleet.folder, "v2"))).finish()
        ended = time.monotonic()
        time.sleep(AFTER)
        fleet.end_load()
        assert fleet.clients is not None
        zero, outcomes = fleet.clients.started_at_seconds, fleet.clients.outcomes
    spans = {"before": (began, rolled), "during": (rolled, ended), "after": (ended, ended + AFTER)}
    p99: dict[str, float] = {}
    for name, (first, last) in spans.items():
        some = [outcome for outcome in outcomes if first <= zero + outcome.scheduled_at_seconds < last]
        took = sorted(
            outcome.duration_seconds for outcome in some if outcome.kind in ("on time", "late", "partial")
        )
        p99[name] = took[int(len(took) * 0.99)]
        kinds = Counter(outcome.kind for outcome in some)
        print(
            f"{name}: {len(some)} requests in {last - first:.0f} s, p50 "
            f"{took[len(took) // 2] * 1e3:.0f} ms, p99 "
            f"{p99[name] * 1e3:.0f} ms, " + ", ".join(f"{kind} {count}" for kind, count in kinds.items())
        )
    verdict = judge(read_logs([fleet.events]))
    hurt = sum(outcome.kind in HURT for outcome in outcomes)
    print(
        f"the change is {change.state} after {change.duration_seconds:.0f} s; p99 during over before "
        f"{p99['during'] / p99['before']:.2f}, after over before "
        f"{p99['after'] / p99['before']:.2f}; {hurt} lost or "
        f"refused a connect; {len(verdict.breaches)} rules broken"
    )
    return 1 if hurt or verdict.breaches else 0


if __name__ == "__main__":
    sys.exit(main())
