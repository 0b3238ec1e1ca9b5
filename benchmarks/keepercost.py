"""What 200 brokers cost a keeper: `.venv/bin/python benchmarks/keepercost.py [BROKERS] [SECONDS]`.

Three keeper processes; the agents of all brokers in this process, each with a demand for every budget and for
some hosts. Prints each keeper's share of a core; exit 1 when one is over 5 %.
"""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from heathwell.eventloop import Coro, sleep, socket_loop
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings
from heathwell.fleet.membership import LocalMember
from heathwell.settings import load
from heathwell.testing.simulation.fault_links import FaultLinks

HOSTS_WANTED = 4  # cold hosts and hosts with further connections, each, that a broker asks for at a time
MARKET = """
(class one (aim 1s) (limit 2s))
(keys sale (class one) (shape record))
(fleet (shards 8) (cells 4) (width 2) (zones a b c) (keepers "127.0.0.1:1" "127.0.0.1:2" "127.0.0.1:3")
(most {most})
  (budget further (whole 200) (aside 20%) (burst {burst}s)) (budget cold (whole 40) (aside 0))
  (budget connections (whole {connections})))
(log (level warning))
"""


def cpu(pid: int) -> float:
    """Seconds of processor that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def main(brokers: int, seconds: float) -> int:
    """Start, let it settle, measure."""
    folder = tempfile.mkdtemp(prefix="heathwell-")
    config = f"{folder}/market.sx"
    Path(config).write_text(MARKET.format(most=brokers, connections=2 * brokers, burst=brokers // 30 + 1))
    service_settings, wires = load(config), FaultLinks()
    names = ["k0", "k1", "k2"]
    keepers = []
    for number, name in enumerate(names):
        where = ",".join(wires.open_link(name, other) for other in names)
        keepers.append(
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "heathwell",
                    "keeper",
                    "--config",
                    config,
                    "--name",
                    name,
                    "--number",
                    str(number),
                    "--keepers",
                    where,
                    "--listen",
                    "127.0.0.1:0",
                ],
                stdout=subprocess.PIPE,
                text=True,
            )
        )
    addresses = []
    for name, process in zip(names, keepers, strict=True):
        assert process.stdout is not None
        addresses.append(json.loads(process.stdout.readline())["address"])
        wires.set_target(name, addresses[-1])
    loop, net, _ = socket_loop()
    times, draws = quota_timings_from_settings(service_settings.fleet), random.Random(1)
    agents = []

    def use(agent: FleetAgent, hosts: list[str]) -> Coro[None]:
        while True:
            agent.acquire("further")
            for host in hosts:
                agent.acquire(f"cold@{host}")
                if agent.acquire(f"connections@{host}"):
                    agent.release(f"connections@{host}")
            yield from sleep(loop, 200_000)

    def run() -> Coro[tuple[list[float], int]]:
        for number in range(brokers):
            member = LocalMember(f"b{number}", time.time_ns() // 1000, loop.now(), timeouts=times.membership)
            agent = FleetAgent(
                loop,
                net,
                member,
                budgets_from_settings(service_settings.fleet),
                tuple(addresses),
                renewal_interval_us=service_settings.fleet.renew,
                timings=times,
                seed=number,
                log=lambda *_a, **_k: None,
            )
            agents.append(agent)
            hosts = [f"10.0.0.{draws.randrange(82)}:7070" for _ in range(HOSTS_WANTED)]
            loop.spawn(use(agent, hosts), "use")
        yield from sleep(loop, 10_000_000)
        before = [cpu(process.pid) for process in keepers]
        passed = sum(agent.quotas.holders["further"].admitted for agent in agents)
        yield from sleep(loop, int(seconds * 1e6))
        used = [(cpu(process.pid) - old) / seconds for process, old in zip(keepers, before, strict=True)]
        return used, sum(agent.quotas.holders["further"].admitted for agent in agents) - passed

    try:
        measured = loop.run(loop.spawn(run(), "run"))
    finally:
        for process in keepers:
            process.terminate()
            process.wait(10)
        wires.close()
    assert measured is not None, "the run was stopped before its end"
    used, passed = measured
    needs = sum(len(agent.quotas.holders) for agent in agents) / brokers
    print(
        f"{brokers} brokers, a renewal each {service_settings.fleet.renew / 1e6:g} s of {needs:.1f} "
        f"budgets each: "
        + ", ".join(f"{name} {share:.1%}" for name, share in zip(names, used, strict=True))
        + f" of a core; {passed / seconds:.0f} further attempts a second of 200 used"
    )
    return 1 if max(used) > 0.05 else 0


if __name__ == "__main__":
    sys.exit(
        main(
            int(sys.argv[1]) if len(sys.argv) > 1 else 200, float(sys.argv[2]) if len(sys.argv) > 2 else 10.0
        )
    )
