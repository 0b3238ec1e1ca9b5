"""The retry storm after an outage by what limits it:
`.venv/bin/python benchmarks/storms.py [--large | --sockets] [CLIENTS]`.

In virtual time without options; `--large`: 82 hosts, 89 brokers, 20,000 clients; `--sockets`: processes and
real connections, of all variants or of those whose first words are given.
"""

from __future__ import annotations

import json
import os
import random
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path
from typing import Final

from heathwell.eventloop import ConnectError, Coro, Loop, Net, StreamBrokenError, sleep, socket_loop
from heathwell.service.retry_storms import StormState
from heathwell.settings import loads
from heathwell.testing.audit import Verdict, judge, read_logs
from heathwell.testing.simulation.outage_record import ClientBehavior, OutageRecord
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.retry_storm_experiment import (
    RETRY_STORM_SETTINGS,
    VARIANTS,
    RetryStormParameters,
    RetryStormScenario,
    TrafficBurstScenario,
    Variant,
    retry_storm_settings,
)
from heathwell.testing.simulation.retrying_clients import PopulationParameters, RetryingClients
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.standins.units import US_PER_SECOND

DEFAULT_CLIENTS: Final = 600
REQUESTS_PER_SECOND: Final = 50.0
MAX_JOBS: Final = 8
REPORTED_STATE_CHANGES: Final = 9
REPORTED_BREACHES: Final = 3

SERVICE_BEFORE_SECONDS: Final = 8
SERVICE_SPAN_SECONDS: Final = 5
SERVICE_SPANS_AFTER: Final = range(-8, 36, SERVICE_SPAN_SECONDS)
"""Seconds from the outage's end at which the spans of the table begin."""

LARGE_CLIENTS: Final = 20_000
LARGE_PARAMETERS: Final = RetryStormParameters(
    clients=LARGE_CLIENTS,
    think_seconds=LARGE_CLIENTS / 130,
    before_seconds=6.0,
    outage_seconds=10.0,
    after_seconds=22.0,
    settings=retry_storm_settings(shards=164, replica_groups=82, replicas=3, brokers=89),
)

BURST_COUNT: Final = 50
BURST_PARAMETERS: Final = RetryStormParameters(
    clients=150,
    think_seconds=8.0,
    ignoring_fraction=0.0,
    before_seconds=6.0,
    outage_seconds=8.0,
    after_seconds=6.0,
    load_factor=4.0,
)

LEAF_HOST: Final = "127.0.0.2"
SOCKET_SETTINGS_SECTIONS: Final = f"(log (level error)) (broker (listen {LEAF_HOST}:0))"
SOCKET_START_SECONDS: Final = 2.0
SOCKET_BEFORE_SECONDS: Final = 10
SOCKET_OUTAGE_SECONDS: Final = 15.0
SOCKET_AFTER_US: Final = 32_000_000
SOCKET_LAST_ANSWER_US: Final = 8_000_000
SOCKET_IGNORING_FRACTION: Final = 0.33
IDLE_CONNECT_TIMEOUT_US: Final = 2_000_000
MIN_RECONNECT_DELAY_US: Final = 100_000
MAX_RECONNECT_DELAY_US: Final = 1_000_000


# Virtual time


def run_variant(variant: Variant, clients: int) -> str:
    """Run a variant and return its report."""
    began = time.process_time()
    parameters = RetryStormParameters(clients=clients, think_seconds=clients / REQUESTS_PER_SECOND)
    scenario = RetryStormScenario(variant, parameters=parameters)
    scenario.run()
    lines = [f"{variant}: {summary(scenario, began)}", *service_table(scenario.record)]
    for change in scenario.state_changes()[:REPORTED_STATE_CHANGES]:
        lines.append(f"    {change.at_seconds:6.2f} s {change.broker} {change.state}")
    return "\n".join(lines)


def summary(scenario: RetryStormScenario, began: float) -> str:
    """Return the audit and recovery of a run; ``began`` is the processor time at its start."""
    verdict = scenario.verdict()
    return (
        f"rules broken {len(verdict.breaches)}, nearest to a cold host's fall {verdict.coldest:.2f}, "
        f"steady after {scenario.record.recovery_seconds()} s, "
        f"{time.process_time() - began:.0f} s of processor"
    )


def service_table(record: OutageRecord) -> list[str]:
    """Return a line for each span of time with the service of the requests started in it."""
    before_us = record.outage_started_at_us - SERVICE_BEFORE_SECONDS * US_PER_SECOND
    lines = [service_line("before", record, before_us, record.outage_started_at_us)]
    for second in SERVICE_SPANS_AFTER:
        since_us = record.outage_ended_at_us + second * US_PER_SECOND
        until_us = since_us + SERVICE_SPAN_SECONDS * US_PER_SECOND
        name = f"{second:>2}-{second + SERVICE_SPAN_SECONDS} s after"
        lines.append(service_line(name, record, since_us, until_us))
    return lines


def service_line(name: str, record: OutageRecord, since_us: int, until_us: int) -> str:
    """Return the service of the requests that were started between two times."""
    level = record.service_level(since_us, until_us)
    obeying = record.service_level(since_us, until_us, ClientBehavior.OBEYS_RETRY_AFTER)
    ignoring = record.service_level(since_us, until_us, ClientBehavior.IGNORES_RETRY_AFTER)
    attempts = sum(request.attempts for request in record.requests_started(since_us, until_us))
    return (
        f"    {name:<14} {level.request_count:>5} asked, on time {level.on_time_fraction:6.1%}, "
        f"answered {level.answered_fraction:6.1%}, "
        f"{attempts / max(1, level.request_count):5.1f} tries each; "
        f"who heeds {obeying.on_time_fraction:6.1%} / {obeying.answered_fraction:6.1%}, "
        f"who ignores {ignoring.on_time_fraction:6.1%} / {ignoring.answered_fraction:6.1%}"
    )


def is_false_alarm(seed: int) -> bool:
    """Return whether a burst of first attempts, by clients that obey retry-after, was taken for a storm."""
    scenario = TrafficBurstScenario(Variant.STORM_CONTROL, seed, BURST_PARAMETERS)
    scenario.run()
    return any(change.state is StormState.STORM for change in scenario.state_changes())


def run_all(clients: int) -> None:
    """Run all variants, and bursts of first attempts."""
    with ProcessPoolExecutor(max(1, min(MAX_JOBS, os.cpu_count() or 2))) as pool:
        for report in pool.map(run_variant, VARIANTS, repeat(clients)):
            print(report)
        alarms = sum(pool.map(is_false_alarm, range(BURST_COUNT)))
    print(
        f"false alarms: {alarms} of {BURST_COUNT} bursts of honest first tries, "
        "four times the usual load for 8 s"
    )


def run_large() -> int:
    """Run the expected size, in which brokers share no state; return the exit code."""
    began = time.process_time()
    breach_count = 0
    for variant in (Variant.DECISION_MODULE, Variant.STORM_CONTROL):
        scenario = RetryStormScenario(variant, parameters=LARGE_PARAMETERS)
        scenario.run()
        breach_count += len(scenario.verdict().breaches)
        print(f"{variant}: 20,000 clients, 89 brokers, 82 hosts: {summary(scenario, began)}")
        print("\n".join(service_table(scenario.record)))
    return 1 if breach_count else 0


# Sockets


@dataclass(frozen=True, slots=True)
class SocketRunResult:
    """The audit of a run of processes, and the requests of its clients."""

    verdict: Verdict
    record: OutageRecord


class SocketRun:
    """A run of processes on loopback: hosts and brokers are killed together and restarted cold.

    The clients' connections are sockets of this process.
    """

    def __init__(self, variant: Variant, clients: int) -> None:
        folder = Path(tempfile.mkdtemp(prefix="heathwell-storm-"))
        text = variant.settings_text(RETRY_STORM_SETTINGS) + SOCKET_SETTINGS_SECTIONS
        config = folder / "market.sx"
        config.write_text(text)
        self.clients = clients
        self.settings = loads(text)
        self.events = folder / "events"
        self.events.mkdir()
        self._write_run_parameters()
        self.fleet = ProcessFleet(str(config), self.settings, str(self.events), leaf_host=LEAF_HOST)
        self.loop, self.net, _ = socket_loop()
        self.record = OutageRecord()
        self.population = RetryingClients(
            self.loop,
            self.settings,
            self.record,
            PopulationParameters(
                clients=clients,
                think_seconds=clients / REQUESTS_PER_SECOND,
                ignoring_fraction=SOCKET_IGNORING_FRACTION,
                seed=1,
                behavior=variant.client_behavior,
            ),
            client_net=lambda _number: self.net,
            broker_addresses=self._broker_addresses,
        )

    def run(self) -> SocketRunResult:
        """Run to the end and return the result."""
        try:
            self.fleet.start()
            time.sleep(SOCKET_START_SECONDS)
            self.loop.run(self.loop.spawn(self._main(), "run"))
            self.loop.shutdown()
        finally:
            self.fleet.stop()
        return SocketRunResult(judge(read_logs([self.events])), self.record)

    def _write_run_parameters(self) -> None:
        event = {
            "t": time.monotonic_ns() // 1000,
            "who": "run",
            "ev": "run",
            "figures": run_parameters_record(self.settings),
        }
        (self.events / "run.jsonl").write_text(json.dumps(event) + "\n")

    def _broker_addresses(self) -> list[str]:
        return [broker.address for broker in self.fleet.brokers]

    def _main(self) -> Coro[None]:
        record = self.record
        outage_us = int(SOCKET_OUTAGE_SECONDS * US_PER_SECOND)
        record.outage_started_at_us = self.loop.now() + SOCKET_BEFORE_SECONDS * US_PER_SECOND
        record.outage_ended_at_us = record.outage_started_at_us + outage_us
        until_us = record.outage_ended_at_us + SOCKET_AFTER_US
        self._open_idle_connections()
        self.population.start(until_us)
        yield from sleep(self.loop, record.outage_started_at_us - self.loop.now())
        for member in [*self.fleet.brokers, *self.fleet.leaves]:
            self.fleet.kill(member.name, SOCKET_OUTAGE_SECONDS)
        yield from sleep(self.loop, until_us - self.loop.now() + SOCKET_LAST_ANSWER_US)

    def _open_idle_connections(self) -> None:
        """Open one connection a client before the outage, so that all lose theirs at the same time."""
        addresses = self._broker_addresses()
        for number in range(self.clients):
            address = addresses[number % len(addresses)]
            self.loop.spawn(hold_connection(self.loop, self.net, address), "socket")


def hold_connection(loop: Loop, net: Net, address: str) -> Coro[None]:
    """Hold an idle connection beside the one that sends requests; reconnect soon after it is lost."""
    while True:
        try:
            stream = yield from net.connect(address, IDLE_CONNECT_TIMEOUT_US)
            yield from stream.read()
        except (ConnectError, StreamBrokenError):
            pass
        yield from sleep(loop, random.randrange(MIN_RECONNECT_DELAY_US, MAX_RECONNECT_DELAY_US))


def socket_report(variant: Variant, clients: int, result: SocketRunResult) -> str:
    """Return the report of a run of processes."""
    verdict = result.verdict
    lines = [
        f"{variant}: {clients} clients on sockets: rules broken {len(verdict.breaches)}, nearest to "
        f"a cold host's fall {verdict.coldest:.2f}, falls {verdict.counts['falls']}, "
        f"steady after {result.record.recovery_seconds()} s"
    ]
    lines += [f"    {breach}" for breach in verdict.breaches[:REPORTED_BREACHES]]
    lines += service_table(result.record)
    return "\n".join(lines)


def run_on_sockets(variants: list[Variant], clients: int) -> int:
    """Run variants with processes and connections, one after the other; return the exit code."""
    breach_count = 0
    for variant in variants:
        result = SocketRun(variant, clients).run()
        breach_count += len(result.verdict.breaches)
        print(socket_report(variant, clients, result), flush=True)
    return 1 if breach_count else 0


def main(arguments: list[str]) -> int:
    """Run what the arguments name; return the exit code."""
    if "--large" in arguments:
        return run_large()
    clients = int(arguments[-1]) if arguments and arguments[-1].isdigit() else DEFAULT_CLIENTS
    if "--sockets" in arguments:
        named = [variant for variant in VARIANTS if variant.split()[0] in arguments]
        return run_on_sockets(named or list(VARIANTS), clients)
    run_all(clients)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
