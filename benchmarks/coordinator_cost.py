"""Processor time that 200 brokers cost a quota coordinator.

`.venv/bin/python benchmarks/coordinator_cost.py [BROKERS] [SECONDS]`: three coordinator processes; the fleet
agents of all brokers in this process, each with a demand for every budget and for some endpoints. Prints each
coordinator's share of a core; exit code 1 where one is over 5 %.
"""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import costs

from heathwell.eventloop import Coro, Loop, Net, sleep, socket_loop
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings
from heathwell.fleet.membership import LocalMember
from heathwell.settings import ServiceSettings, load
from heathwell.testing.simulation.fault_links import FaultLinks

COORDINATORS: Final = ("k0", "k1", "k2")
ENDPOINTS: Final = 82
ENDPOINTS_PER_BROKER: Final = 4  # with a demand for a cold start and for connections, each
DEMAND_INTERVAL_US: Final = 200_000
SETTLING_DURATION_US: Final = 10_000_000
BROKERS_PER_BURST_SECOND: Final = 30
DEFAULT_BROKERS: Final = 200
DEFAULT_DURATION_SECONDS: Final = 10.0
MAX_CORE_SHARE: Final = 0.05
STOP_TIMEOUT_SECONDS: Final = 10
SETTINGS: Final = """
(class one (aim 1s) (limit 2s))
(keys sale (class one) (shape record))
(fleet (shards 8) (cells 4) (width 2) (zones a b c) (keepers "127.0.0.1:1" "127.0.0.1:2" "127.0.0.1:3")
(most {brokers})
  (budget further (whole 200) (aside 20%) (burst {burst}s)) (budget cold (whole 40) (aside 0))
  (budget connections (whole {connections})))
(log (level warning))
"""
ATTEMPTS_BUDGET: Final = "further"


@dataclass(frozen=True, slots=True)
class Measurement:
    """Shares of a core by coordinator, and the uses that the attempts budget admitted."""

    core_shares: dict[str, float]
    admitted_count: int


class CoordinatorProcesses:
    """The coordinators as processes, which reach each other through relays."""

    def __init__(self, config: str) -> None:
        self.addresses: list[str] = []
        self._links = FaultLinks()
        self._processes = {
            name: self._start(config, name, number) for number, name in enumerate(COORDINATORS)
        }
        for name, process in self._processes.items():
            assert process.stdout is not None
            address = json.loads(process.stdout.readline())["address"]
            self.addresses.append(address)
            self._links.set_target(name, address)

    def _start(self, config: str, name: str, number: int) -> subprocess.Popen[str]:
        relay_addresses = ",".join(self._links.open_link(name, other) for other in COORDINATORS)
        command = [sys.executable, "-m", "heathwell", "keeper"]
        command += ["--config", config]
        command += ["--name", name]
        command += ["--number", str(number)]
        command += ["--keepers", relay_addresses]
        command += ["--listen", "127.0.0.1:0"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def cpu_seconds(self) -> dict[str, float]:
        """Return the processor time of each coordinator."""
        return {name: costs.cpu_seconds(process.pid) for name, process in self._processes.items()}

    def close(self) -> None:
        """End the processes and the relays."""
        for process in self._processes.values():
            process.terminate()
            process.wait(STOP_TIMEOUT_SECONDS)
        self._links.close()


class BrokerPopulation:
    """The fleet agents of all brokers, each with a steady demand."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        addresses: list[str],
        broker_count: int,
    ) -> None:
        self._loop = loop
        self._net = net
        self._settings = service_settings
        self._addresses = addresses
        self._broker_count = broker_count
        self._random = random.Random(1)
        self.agents: list[FleetAgent] = []

    def start(self) -> None:
        """Start the agents and their demands."""
        for number in range(self._broker_count):
            agent = self._make_agent(number)
            self.agents.append(agent)
            endpoints = [
                f"10.0.0.{self._random.randrange(ENDPOINTS)}:7070" for _ in range(ENDPOINTS_PER_BROKER)
            ]
            self._loop.spawn(self._use_budgets(agent, endpoints), "use")

    def _make_agent(self, number: int) -> FleetAgent:
        fleet = self._settings.fleet
        timings = quota_timings_from_settings(fleet)
        member = LocalMember(
            f"b{number}", time.time_ns() // 1000, self._loop.now(), timeouts=timings.membership
        )
        return FleetAgent(
            self._loop,
            self._net,
            member,
            budgets_from_settings(fleet),
            self._addresses,
            renewal_interval_us=fleet.renew,
            timings=timings,
            seed=number,
            log=lambda *_arguments, **_fields: None,
        )

    def _use_budgets(self, agent: FleetAgent, endpoints: list[str]) -> Coro[None]:
        while True:
            agent.acquire(ATTEMPTS_BUDGET)
            for endpoint in endpoints:
                agent.acquire(f"cold@{endpoint}")
                if agent.acquire(f"connections@{endpoint}"):
                    agent.release(f"connections@{endpoint}")
            yield from sleep(self._loop, DEMAND_INTERVAL_US)

    def admitted_count(self) -> int:
        """Return the uses that the attempts budget has admitted so far."""
        return sum(agent.quotas.holders[ATTEMPTS_BUDGET].admitted for agent in self.agents)

    def budgets_per_agent(self) -> float:
        """Return the mean number of budgets that an agent renews."""
        return sum(len(agent.quotas.holders) for agent in self.agents) / self._broker_count


def _measure(
    loop: Loop, coordinators: CoordinatorProcesses, brokers: BrokerPopulation, duration_seconds: float
) -> Coro[Measurement]:
    """Start the brokers, let the fleet settle, and measure for ``duration_seconds``."""
    brokers.start()
    yield from sleep(loop, SETTLING_DURATION_US)
    cpu_before = coordinators.cpu_seconds()
    admitted_before = brokers.admitted_count()
    yield from sleep(loop, int(duration_seconds * costs.MICROSECONDS_PER_SECOND))
    cpu_after = coordinators.cpu_seconds()
    return Measurement(
        core_shares={name: (cpu_after[name] - cpu_before[name]) / duration_seconds for name in cpu_after},
        admitted_count=brokers.admitted_count() - admitted_before,
    )


def _write_settings(broker_count: int) -> str:
    """Write the settings into a new folder and return their path."""
    path = Path(tempfile.mkdtemp(prefix="heathwell-")) / "market.sx"
    burst_seconds = broker_count // BROKERS_PER_BURST_SECOND + 1
    path.write_text(SETTINGS.format(brokers=broker_count, connections=2 * broker_count, burst=burst_seconds))
    return str(path)


def main(broker_count: int, duration_seconds: float) -> int:
    """Measure and print one line."""
    config = _write_settings(broker_count)
    service_settings = load(config)
    coordinators = CoordinatorProcesses(config)
    loop, net, _ = socket_loop()
    brokers = BrokerPopulation(loop, net, service_settings, coordinators.addresses, broker_count)
    try:
        task = loop.spawn(_measure(loop, coordinators, brokers, duration_seconds), "run")
        measurement = loop.run(task)
    finally:
        coordinators.close()
    assert measurement is not None, "the run was stopped before its end"
    shares = ", ".join(f"{name} {share:.1%}" for name, share in measurement.core_shares.items())
    print(
        f"{broker_count} brokers, a renewal each "
        f"{service_settings.fleet.renew / costs.MICROSECONDS_PER_SECOND:g} s of "
        f"{brokers.budgets_per_agent():.1f} budgets each: {shares} of a core; "
        f"{measurement.admitted_count / duration_seconds:.0f} further attempts a second of 200 used"
    )
    return 1 if max(measurement.core_shares.values()) > MAX_CORE_SHARE else 0


if __name__ == "__main__":
    sys.exit(
        main(
            int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_BROKERS,
            float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_DURATION_SECONDS,
        )
    )
