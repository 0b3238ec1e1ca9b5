"""Random scripts of faults between processes, generated from a seed; each is a file that can be replayed."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from heathwell.settings import ServiceSettings

MILLISECONDS_PER_SECOND: Final = 1000
CLOCK_RATE_ERROR: Final = 0.02
FIRST_FAULT_AT_SECONDS: Final = 2.5
LAST_FAULT_BEFORE_END_SECONDS: Final = 4.0
FAULT_FREE_END_SECONDS: Final = 2.0
MIN_FAULT_SECONDS: Final = 0.1
MAX_FAULT_SECONDS: Final = 4.0


class FaultKind(enum.StrEnum):
    """The kinds of faults; the order of the members decides which one a seed draws."""

    KILL = "kill"
    PAUSE = "pause"
    CUT = "cut"
    CUT_OUT = "cut-out"
    CUT_BACK = "cut-back"
    LINK_DELAY = "way-delay"
    LINK_LOSS = "way-loss"
    LINK_RESET = "way-reset"
    RESTART_ALL = "restart-all"
    SLOW = "slow"
    CRASH = "crash"
    COORDINATOR_KILL = "keeper-kill"
    COORDINATOR_PAUSE = "keeper-pause"
    HALF_PARTITION = "half"
    COORDINATOR_PARTITION = "orphan"


KINDS: Final = tuple(FaultKind)


@dataclass(frozen=True, slots=True)
class _FaultGenerator:
    """Generates the text of single faults; each draw comes from ``random``, in the order of the text."""

    random: random.Random
    brokers: list[str]
    coordinators: list[str]
    hosts: list[str]

    def _some(self, names: list[str]) -> str:
        """Return a random non-empty selection of the names."""
        return " ".join(self.random.sample(names, self.random.randint(1, len(names))))

    def generate(self, kind: FaultKind, span_ms: int) -> str:
        """Return a fault of a kind and duration, without its time."""
        # Drawn for every kind, whether it is used or not: a seed's later draws don't depend on the kind.
        broker = self.random.choice(self.brokers)
        coordinator = self.random.choice(self.coordinators)
        process_fault = self._process_fault(kind, span_ms, broker, coordinator)
        if process_fault is not None:
            return process_fault
        generators: dict[FaultKind, Callable[[int], str]] = {
            FaultKind.LINK_DELAY: self._link_delay,
            FaultKind.LINK_LOSS: self._link_loss,
            FaultKind.LINK_RESET: self._link_reset,
            FaultKind.SLOW: self._slow_hosts,
            FaultKind.CRASH: self._crashed_host,
            FaultKind.COORDINATOR_PARTITION: self._coordinator_partition,
        }
        if kind in generators:
            return generators[kind](span_ms)
        return self._cut(kind, span_ms)

    def _process_fault(self, kind: FaultKind, span_ms: int, broker: str, coordinator: str) -> str | None:
        """Return a fault of single processes, all processes or a fixed half, or None for another kind."""
        texts = {
            FaultKind.KILL: f"kill (to {broker}) (span {span_ms // 4 + 50}ms)",
            FaultKind.PAUSE: f"pause (to {broker}) (span {span_ms}ms)",
            FaultKind.COORDINATOR_KILL: f"kill (to {coordinator}) (span {span_ms // 4 + 50}ms)",
            FaultKind.COORDINATOR_PAUSE: f"pause (to {coordinator}) (span {span_ms}ms)",
            FaultKind.RESTART_ALL: f"restart-all (span {span_ms // 4 + 100}ms)",
            FaultKind.HALF_PARTITION: (
                f"cut (from {' '.join(self.brokers[::2])}) (to {coordinator}) (span {span_ms}ms)"
            ),
        }
        return texts.get(kind)

    def _coordinator_partition(self, span_ms: int) -> str:
        return f"cut (from {self._some(self.brokers)}) (to k*) (span {span_ms}ms)"

    def _link_delay(self, span_ms: int) -> str:
        link = f"(from {self._some(self.brokers)}) (to {self._some(self.coordinators)})"
        return f"way-delay {link} (span {span_ms}ms) (value {self.random.uniform(0.01, 1.0):.3f})"

    def _link_loss(self, span_ms: int) -> str:
        link = f"(from {self._some(self.brokers)}) (to {self._some(self.coordinators)})"
        return f"way-loss {link} (span {span_ms}ms) (value {self.random.uniform(0.01, 0.3):.3f})"

    def _link_reset(self, _span_ms: int) -> str:
        return f"way-reset (from {self._some(self.brokers)}) (to {self._some(self.coordinators)})"

    def _slow_hosts(self, span_ms: int) -> str:
        hosts = self._some(self.hosts)
        return f"slow (to {hosts}) (span {span_ms}ms) (value {self.random.uniform(2, 10):.1f})"

    def _crashed_host(self, span_ms: int) -> str:
        return f"crash (to {self.random.choice(self.hosts)}) (span {span_ms // 4 + 200}ms)"

    def _cut(self, kind: FaultKind, span_ms: int) -> str:
        """Return a cut between brokers and coordinators or hosts; a host's connections may outlive it."""
        brokers = self._some(self.brokers)
        targets = self._some(self.random.choice((self.coordinators, self.hosts)))
        return f"{kind} (from {brokers}) (to {targets}) (span {span_ms}ms)"


def _header(
    generator: _FaultGenerator, seed: int, settings_file: str, seconds: int, request_rate: float
) -> list[str]:
    """Return the lines before the faults: clocks, load and hosts that are slow throughout."""
    processes = generator.brokers + generator.coordinators
    clocks = " ".join(
        f"(clock {name} {1 + generator.random.uniform(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR):.4f})"
        for name in processes
    )
    slow_hosts = " ".join(generator.random.sample(generator.hosts, len(generator.hosts) // 2))
    return [
        f"; Drawn with seed {seed}.",
        f'(market "{settings_file}") (seconds {seconds}) (seed {seed}) (wires yes) {clocks}',
        f"(load (rate {request_rate:g}) (clients 48)"
        " (mix price (share 3)) (mix report) (mix sale (share 2)))",
        f"(at 100ms slow (to {slow_hosts}) (span {seconds}s) (value 5))",
    ]


def generate_fault_script(
    seed: int,
    service_settings: ServiceSettings,
    seconds: int = 14,
    faults: int = 7,
    request_rate: float = 24.0,
    settings_file: str = "market.sx",
) -> str:
    """Return a script of faults among the brokers, coordinators and hosts of a deployment with coordinators.

    All faults end 2 s before the script does, so that nothing wrong at its end is due to a fault in force.
    ``request_rate`` is in requests a second.
    """
    fleet = service_settings.fleet
    generator = _FaultGenerator(
        random=random.Random(seed),
        brokers=[f"b{number}" for number in range(fleet.brokers)],
        coordinators=[f"k{number}" for number in range(len(fleet.coordinators))],
        hosts=[f"leaf{number}" for number in range(fleet.leaves)],
    )
    lines = _header(generator, seed, settings_file, seconds, request_rate)
    for _ in range(faults):
        at_seconds = generator.random.uniform(FIRST_FAULT_AT_SECONDS, seconds - LAST_FAULT_BEFORE_END_SECONDS)
        longest_seconds = min(MAX_FAULT_SECONDS, seconds - FAULT_FREE_END_SECONDS - at_seconds)
        span_seconds = generator.random.uniform(MIN_FAULT_SECONDS, longest_seconds)
        kind = generator.random.choice(KINDS)
        fault = generator.generate(kind, int(span_seconds * MILLISECONDS_PER_SECOND))
        lines.append(f"(at {int(at_seconds * MILLISECONDS_PER_SECOND)}ms {fault})")
    return "\n".join(lines) + "\n"
