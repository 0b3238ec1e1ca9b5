"""Seeded days of keepers and brokers under random faults, virtual time: `python benchmarks/budgets.py [DAYS]
[FIRST]`.

Exit code 1 if more than the whole of a budget was held or used at any instant of any day.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

from heathwell.testing.simulation.quota_scenario import QuotaScenario, random_faults


def day(seed: int) -> tuple[int, list[str], int, int]:
    """A day of 20 s: its breaches, messages and brokers that took themselves for dead."""
    played = QuotaScenario(seed)
    random_faults(played, 7_000_000, 18_000_000)
    played.until(20_000_000)
    return seed, played.breaches, played.messages, played.deaths


def main(days: int, first: int) -> int:
    """Play them all, as many at once as there are processors."""
    broken = messages = deaths = 0
    with ProcessPoolExecutor() as pool:
        for seed, breaches, sent, died in pool.map(day, range(first, first + days), chunksize=8):
            messages, deaths = messages + sent, deaths + died
            if breaches:
                broken += 1
                print(f"seed {seed}: {breaches[0]} (and {len(breaches) - 1} more)")
    print(
        f"{days} days from seed {first}: {broken} with an overshoot; {messages} messages, {deaths} "
        f"brokers found "
        "themselves dead"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    sys.exit(main(numbers[0] if numbers else 1_000, numbers[1] if len(numbers) > 1 else 0))
