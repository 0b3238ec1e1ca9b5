"""The storm after an outage, damped and not, on virtual time: `.venv/bin/python benchmarks/storms.py [CLIENTS]`."""

from __future__ import annotations

import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from heathwell.lab.stormday import HEEDS, IGNORES, StormDay

VARIANTS = ("module alone", "fixed backoff", "damped")


def one(job: tuple[str, int]) -> str:
    """One variant's day as lines."""
    variant, clients = job
    began = time.process_time()
    day = StormDay(variant, clients=clients, think=clients / 50.0)
    day.run()
    verdict, storm = day.verdict(), day.storm
    lines = [f"{variant}: rules broken {len(verdict.breaches)}, nearest to a cold host's fall {verdict.coldest:.2f}, "
             f"steady after {storm.steady_after()} s, {time.process_time() - began:.0f} s of processor"]
    spans = [("before", storm.outage_from - 8_000_000, storm.outage_from)]
    spans += [(f"{n:>2}-{n + 5} s after", storm.outage_until + n * 1_000_000, storm.outage_until + (n + 5) * 1_000_000)
              for n in range(-8, 36, 5)]
    for name, since, until in spans:
        on_time, answered, asked = storm.service(since, until)
        tries = sum(r.tries for r in storm.requests if since <= r.at < until) / max(1, asked)
        heed, ignore = storm.service(since, until, HEEDS), storm.service(since, until, IGNORES)
        lines.append(f"    {name:<14} {asked:>5} asked, on time {on_time:6.1%}, answered {answered:6.1%}, "
                     f"{tries:5.1f} tries each; who heeds {heed[0]:6.1%} / {heed[1]:6.1%}, "
                     f"who ignores {ignore[0]:6.1%} / {ignore[1]:6.1%}")
    changes = day.states()
    lines += [f"    {at:6.2f} s {who} {state}" for at, who, state in changes[:9]]
    return "\n".join(lines)


def main() -> int:
    """A table a variant, and false alarms over bursts of honest first tries."""
    clients = int(sys.argv[1]) if len(sys.argv) > 1 else 600
    with ProcessPoolExecutor(max(1, min(8, os.cpu_count() or 2))) as pool:
        for text in pool.map(one, [(variant, clients) for variant in VARIANTS]):
            print(text)
        alarms = sum(pool.map(false_alarm, range(50)))
    print(f"false alarms: {alarms} of 50 bursts of honest first tries, four times the usual load for 8 s")
    return 0


def false_alarm(seed: int) -> bool:
    """Whether a burst of first tries, of clients who heed advice, was taken for a storm."""
    day = Festival(seed)
    day.run()
    return any(state == "storm" for _, _, state in day.states())


class Festival(StormDay):
    """No outage: everybody asks four times as often for a while."""

    def __init__(self, seed: int) -> None:
        super().__init__("damped", seed, clients=150, think=8.0, outage=8.0, ignoring=0.0, before=6.0, after=6.0,
                         burst=4.0)

    def _lost(self):  # type: ignore[no-untyped-def]
        yield from ()


if __name__ == "__main__":
    sys.exit(main())
