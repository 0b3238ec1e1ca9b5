"""The storm after an outage, damped and not: `.venv/bin/python benchmarks/storms.py [--large | --sockets]
[CLIENTS]`.

Virtual time without words; `--large`: 82 hosts, 89 brokers, 20,000 clients; `--sockets`: processes and real
clients.
"""

from __future__ import annotations

import json
import os
import random
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from heathwell.eventloop import ConnectError, Coro, Net, StreamBrokenError, sleep, socket_loop
from heathwell.settings import loads
from heathwell.testing.audit import judge, read_logs
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.retry_storm_experiment import (
    HEEDS,
    IGNORES,
    MARKET,
    STORMS,
    Crowd,
    RetryStormScenario,
    Storm,
)
from heathwell.testing.simulation.run_parameters import run_parameters_record

VARIANTS = ("module alone", "fixed backoff", "damped")


def one(job: tuple[str, int]) -> str:
    """One variant's day as lines."""
    variant, clients = job
    began = time.process_time()
    day = RetryStormScenario(variant, clients=clients, think=clients / 50.0)
    day.run()
    verdict = day.verdict()
    lines = [
        f"{variant}: rules broken {len(verdict.breaches)}, nearest to a cold host's fall "
        f"{verdict.coldest:.2f}, "
        f"steady after {day.storm.steady_after()} s, {time.process_time() - began:.0f} s of processor"
    ]
    lines += table(day.storm)
    return "\n".join(lines + [f"    {at:6.2f} s {who} {state}" for at, who, state in day.states()[:9]])


def table(storm: Storm) -> list[str]:
    """Service by when requests arose."""
    lines = []
    spans = [("before", storm.outage_from - 8_000_000, storm.outage_from)]
    spans += [
        (
            f"{n:>2}-{n + 5} s after",
            storm.outage_until + n * 1_000_000,
            storm.outage_until + (n + 5) * 1_000_000,
        )
        for n in range(-8, 36, 5)
    ]
    for name, since, until in spans:
        on_time, answered, asked = storm.service(since, until)
        tries = sum(r.tries for r in storm.requests if since <= r.at < until) / max(1, asked)
        heed, ignore = storm.service(since, until, HEEDS), storm.service(since, until, IGNORES)
        lines.append(
            f"    {name:<14} {asked:>5} asked, on time {on_time:6.1%}, answered {answered:6.1%}, "
            f"{tries:5.1f} tries each; who heeds {heed[0]:6.1%} / {heed[1]:6.1%}, "
            f"who ignores {ignore[0]:6.1%} / {ignore[1]:6.1%}"
        )
    return lines


def large() -> int:
    """The users' size to come: what cold hosts are sent together by brokers that can't talk to each other."""
    text = MARKET.replace("(shards 32) (cells 16) (width 2)", "(shards 164) (cells 82) (width 3)").replace(
        "(leaves 16) (brokers 3)", "(leaves 82) (brokers 89)"
    )
    began, bad = time.process_time(), 0
    for variant in ("module alone", "damped"):
        day = RetryStormScenario(
            variant, clients=20_000, think=20_000 / 130, before=6.0, outage=10.0, after=22.0, text=text
        )
        day.run()
        verdict = day.verdict()
        bad += len(verdict.breaches)
        print(
            f"{variant}: 20,000 clients, 89 brokers, 82 hosts: rules broken "
            f"{len(verdict.breaches)}, nearest to a "
            f"cold host's fall {verdict.coldest:.2f}, steady after {day.storm.steady_after()} s, "
            f"{time.process_time() - began:.0f} s of processor"
        )
        print("\n".join(table(day.storm)))
    return 1 if bad else 0


def on_sockets(variant: str, clients: int, outage: float = 15.0) -> tuple[int, str]:
    """Processes on loopback, each client a socket of this process: hosts and brokers killed together, back
    cold.
    """
    folder = Path(tempfile.mkdtemp(prefix="heathwell-storm-"))
    text = (
        MARKET + (STORMS if variant == "damped" else "") + "(log (level error)) (broker (listen 127.0.0.2:0))"
    )
    (folder / "market.sx").write_text(text)
    service_settings = loads(text)
    (folder / "events").mkdir()
    (folder / "events" / "run.jsonl").write_text(
        json.dumps(
            {
                "t": time.monotonic_ns() // 1000,
                "who": "run",
                "ev": "run",
                "figures": run_parameters_record(service_settings),
            }
        )
        + "\n"
    )
    fleet = ProcessFleet(
        str(folder / "market.sx"), service_settings, str(folder / "events"), leaf_host="127.0.0.2"
    )
    loop, net, _ = socket_loop()
    storm = Storm()
    try:
        fleet.start()
        time.sleep(2.0)
        crowd = Crowd(
            loop,
            lambda _number: net,
            lambda: [m.address for m in fleet.brokers],
            service_settings,
            storm,
            think=clients / 50.0,
            ignoring=0.33,
            seed=1,
            fixed=variant == "fixed backoff",
        )
        zero = loop.now()
        storm.outage_from, storm.outage_until = zero + 10_000_000, zero + int((10 + outage) * 1e6)
        until = storm.outage_until + 32_000_000

        def run() -> Coro[None]:
            for number in range(clients):  # connected beforehand: all lose their connection at once
                loop.spawn(_connected(net, fleet.brokers[number % 3].address), "socket")
            crowd.start(clients, until)
            yield from sleep(loop, storm.outage_from - loop.now())
            for member in [*fleet.brokers, *fleet.leaves]:
                fleet.kill(member.name, outage)
            yield from sleep(loop, until - loop.now() + 8_000_000)

        loop.run(loop.spawn(run(), "run"))
        loop.shutdown()
    finally:
        fleet.stop()
    verdict = judge(read_logs([folder / "events"]))
    lines = [
        f"{variant}: {clients} clients on sockets: rules broken {len(verdict.breaches)}, nearest to "
        f"a cold host's "
        f"fall {verdict.coldest:.2f}, falls {verdict.counts['falls']}, steady after {storm.steady_after()} s"
    ]
    lines += [f"    {breach}" for breach in verdict.breaches[:3]]
    return len(verdict.breaches), "\n".join(lines + table(storm))


def _connected(net: Net, address: str) -> Coro[None]:
    """An idle connection beside the one that asks, back at once whenever it is lost: a terminal's second
    socket.
    """
    while True:
        try:
            stream = yield from net.connect(address, 2_000_000)
            yield from stream.read()
        except (ConnectError, StreamBrokenError):
            pass
        yield from sleep(net.loop, random.randrange(100_000, 1_000_000))  # type: ignore[attr-defined]


def main() -> int:
    """A table a variant, and false alarms over bursts of honest first tries."""
    if "--large" in sys.argv:
        return large()
    clients = int(sys.argv[-1]) if sys.argv[-1].isdigit() else 600
    if "--sockets" in sys.argv:
        bad = 0
        chosen = [variant for variant in VARIANTS if variant.split()[0] in sys.argv] or VARIANTS
        for variant in chosen:
            broken, text = on_sockets(variant, clients)
            bad += broken
            print(text, flush=True)
        return 1 if bad else 0
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


class Festival(RetryStormScenario):
    """No outage: everybody asks four times as often for a while."""

    def __init__(self, seed: int) -> None:
        super().__init__(
            "damped", seed, clients=150, think=8.0, outage=8.0, ignoring=0.0, before=6.0, after=6.0, burst=4.0
        )

    def _lost(self):  # type: ignore[no-untyped-def]
        yield from ()


if __name__ == "__main__":
    sys.exit(main())
