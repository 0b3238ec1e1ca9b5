"""Scripts of faults between processes drawn from a seed: each is a file that can be played again."""

from __future__ import annotations

import random
from collections.abc import Callable

from heathwell.settings import ServiceSettings

KINDS = (
    "kill",
    "pause",
    "cut",
    "cut-out",
    "cut-back",
    "way-delay",
    "way-loss",
    "way-reset",
    "restart-all",
    "slow",
    "crash",
    "keeper-kill",
    "keeper-pause",
    "half",
    "orphan",
)


def draw_script(
    seed: int,
    service_settings: ServiceSettings,
    seconds: int = 14,
    faults: int = 7,
    rate: float = 24.0,
    name: str = "market.sx",
) -> str:
    """A day of faults among brokers, keepers and hosts of a market that names keepers. All have ended 2 s
    before the end, so that what is left wrong then stays wrong by itself.
    """
    draws = random.Random(seed)
    brokers = [f"b{n}" for n in range(service_settings.fleet.brokers)]
    keepers = [f"k{n}" for n in range(len(service_settings.fleet.coordinators))]
    hosts = [f"leaf{n}" for n in range(service_settings.fleet.leaves)]
    clocks = " ".join(f"(clock {who} {1 + draws.uniform(-0.02, 0.02):.4f})" for who in brokers + keepers)
    lines = [
        f"; Drawn with seed {seed}.",
        f'(market "{name}") (seconds {seconds}) (seed {seed}) (wires yes) {clocks}',
        f"(load (rate {rate:g}) (clients 48) (mix price (share 3)) (mix report) (mix sale (share 2)))",
        f"(at 100ms slow (to {' '.join(draws.sample(hosts, len(hosts) // 2))}) (span {seconds}s) (value 5))",
    ]
    for _ in range(faults):
        at = draws.uniform(2.5, seconds - 4.0)
        span = draws.uniform(0.1, min(4.0, seconds - 2.0 - at))
        fault = _one(draws, draws.choice(KINDS), int(span * 1000), brokers, keepers, hosts)
        lines.append(f"(at {int(at * 1000)}ms {fault})")
    return "\n".join(lines) + "\n"


def _one(
    draws: random.Random, kind: str, span: int, brokers: list[str], keepers: list[str], hosts: list[str]
) -> str:
    def some(names: list[str]) -> str:
        return " ".join(draws.sample(names, draws.randint(1, len(names))))

    one, keeper = draws.choice(brokers), draws.choice(keepers)
    texts: dict[str, Callable[[], str]] = {
        "kill": lambda: f"kill (to {one}) (span {span // 4 + 50}ms)",
        "pause": lambda: f"pause (to {one}) (span {span}ms)",
        "keeper-kill": lambda: f"kill (to {keeper}) (span {span // 4 + 50}ms)",
        "keeper-pause": lambda: f"pause (to {keeper}) (span {span}ms)",
        "restart-all": lambda: f"restart-all (span {span // 4 + 100}ms)",
        "half": lambda: f"cut (from {' '.join(brokers[::2])}) (to {keeper}) (span {span}ms)",
        "orphan": lambda: f"cut (from {some(brokers)}) (to k*) (span {span}ms)",
        "way-delay": lambda: (
            f"way-delay (from {some(brokers)}) (to {some(keepers)}) (span {span}ms) "
            f"(value {draws.uniform(0.01, 1.0):.3f})"
        ),
        "way-loss": lambda: (
            f"way-loss (from {some(brokers)}) (to {some(keepers)}) (span {span}ms) "
            f"(value {draws.uniform(0.01, 0.3):.3f})"
        ),
        "way-reset": lambda: f"way-reset (from {some(brokers)}) (to {some(keepers)})",
        "slow": lambda: f"slow (to {some(hosts)}) (span {span}ms) (value {draws.uniform(2, 10):.1f})",
        "crash": lambda: f"crash (to {draws.choice(hosts)}) (span {span // 4 + 200}ms)",
    }
    if kind in texts:
        return texts[kind]()
    # A way of a broker to keepers or to hosts; a host's connections may outlive it.
    return f"{kind} (from {some(brokers)}) (to {some(draws.choice((keepers, hosts)))}) (span {span}ms)"
