"""A scenario in virtual time: a fleet in one process with the brokers' code and stand-in hosts.

Clients, their queries and the faults of hosts are drawn by a seed.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import Any, Final, TypedDict

from heathwell.codec import frames
from heathwell.eventloop import ConnectError, Coro, HostNet, StreamBrokenError, sleep, virtual_loop
from heathwell.fleet.control.evacuation_coordinator import (
    EvacuationCoordinator,
    evacuation_coordinator_from_settings,
)
from heathwell.service.key_spaces import TOKEN_MARK
from heathwell.settings import ServiceSettings
from heathwell.settings.records.queries import QueryClass
from heathwell.testing.audit import AgeVerdict, Verdict, judge, judge_ages
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.errors import SimulationError
from heathwell.testing.simulation.host_faults import HOST_FAULTS, HostFault
from heathwell.testing.simulation.local_fleet import LocalFleet
from heathwell.testing.simulation.memcached_values import MemcachedValue, ReplyBody, read_values
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.standins.discovery import DiscoveryFault
from heathwell.testing.standins.leaf import Leaf
from heathwell.testing.standins.leaf_faults import FreshnessDisabledError
from heathwell.testing.standins.units import US_PER_SECOND

EvacuationCoordinatorFactory = Callable[[ServiceSettings], EvacuationCoordinator]

LOOP_START_US: Final = 1_000_000
"""The time of the virtual loop at its start."""
SETTLE_US: Final = 1_500_000
"""The time in which the fleet starts, before the first request."""
COMPLETION_US: Final = 4_000_000
"""The time in which the last requests end."""
CONNECT_TIMEOUT_US: Final = 1_000_000
AUDIT_TOLERANCE_US: Final = 20_000
CLIENT_COUNT: Final = 40
REQUEST_TOKEN_PROBABILITY: Final = 0.5

TERMINATED_RESTART_DELAY_US: Final = 4_000_000
CRASHED_RESTART_DELAY_US: Final = 3_000_000
ZONE_RESTART_DELAY_US: Final = 5_000_000
DISCOVERY_OUTAGE_US: Final = 4_000_000

# A random fault is a crash if a uniform draw is below the largest of these, of the first kind that fits.
HOST_CRASH_BELOW: Final = 0.15
DISCOVERY_OUTAGE_BELOW: Final = 0.22
BROKER_RESTART_BELOW: Final = 0.28
ZONE_CRASH_BELOW: Final = 0.34


class ScenarioTaskError(SimulationError):
    """A task of a scenario ended by an exception, which is this one's cause."""

    def __init__(self, task: str) -> None:
        super().__init__(f"task {task} failed")
        self.task = task


class ScenarioOptions(TypedDict, total=False):
    """Keyword arguments of :class:`SimulatedScenario` that its subclasses pass on."""

    duration_seconds: float
    arrival_rate: float
    fault_rate: float
    poison_fraction: float
    inject_crashes: bool
    use_tokens: bool


class QueryOutcome(StrEnum):
    """How a query ended for its client."""

    ON_TIME = "on time"
    LATE = "late"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CompletedQuery:
    """One key of a request with its value; ``body`` is None for a miss."""

    key: str
    query_class: QueryClass
    body: ReplyBody | None
    duration_us: int

    @property
    def is_complete(self) -> bool:
        """Return whether the query has a complete answer; a miss is one."""
        return self.body is None or self.body.complete

    @property
    def is_answer(self) -> bool:
        """Return whether the query has an answer, complete or partial; a miss is one."""
        return self.body is None or self.body.is_answer

    @property
    def is_within_objective(self) -> bool:
        """Return whether its reply came within the latency objective of its class."""
        return self.duration_us <= self.query_class.latency_objective_us

    @property
    def outcome(self) -> QueryOutcome:
        """Return how the query ended."""
        if self.is_complete:
            return QueryOutcome.ON_TIME if self.is_within_objective else QueryOutcome.LATE
        if self.is_answer:
            return QueryOutcome.PARTIAL
        return QueryOutcome.REFUSED if self.body is not None and self.body.refused else QueryOutcome.FAILED

    @property
    def label(self) -> str:
        """Return the outcome as it is counted: answers with stale data apart."""
        is_stale = self.body is not None and self.body.stale
        return f"{self.outcome}, stale" if is_stale else self.outcome.value


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A request that was replied to by the broker of this number, with a query for each key."""

    broker: int
    started_at_us: int
    queries: tuple[CompletedQuery, ...]


class SimulatedScenario:
    """One scenario: requests at random times, and random faults at ``fault_rate`` a second.

    ``arrival_rate`` is in requests a second, in the ``duration_seconds`` after the fleet's start.
    ``poison_fraction`` of the requests terminate the host that they reach. With ``use_tokens`` clients state
    the tokens of earlier answers. After :meth:`run`, ``events`` are the records of all processes and clients
    in order, and ``outcome_counts`` the number of queries by class and outcome.
    """

    def __init__(
        self,
        service_settings: ServiceSettings,
        seed: int,
        *,
        duration_seconds: float = 25.0,
        arrival_rate: float = 30.0,
        faults: Sequence[HostFault] = HOST_FAULTS,
        fault_rate: float = 1.2,
        poison_fraction: float = 0.01,
        inject_crashes: bool = True,
        use_tokens: bool = False,
        run_coordinators: bool = True,
        make_evacuation_coordinator: EvacuationCoordinatorFactory = evacuation_coordinator_from_settings,
    ) -> None:
        self.service_settings = service_settings
        self.seed = seed
        self.duration_seconds = duration_seconds
        self.arrival_rate = arrival_rate
        self.faults = faults
        self.fault_rate = fault_rate
        self.poison_fraction = poison_fraction
        self.inject_crashes = inject_crashes
        self.use_tokens = use_tokens
        self.loop, self.net = virtual_loop(seed)
        self.failed_tasks: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.failed_tasks.append((name, error))
        self.events: list[dict[str, Any]] = []
        self.record_event("run", figures=run_parameters_record(service_settings))
        self.fleet = self._make_fleet(
            run_coordinators=run_coordinators, make_evacuation_coordinator=make_evacuation_coordinator
        )
        self.tokens: dict[str, str] = {}
        self.outcome_counts: dict[str, dict[str, int]] = {}

    def _make_fleet(
        self, *, run_coordinators: bool, make_evacuation_coordinator: EvacuationCoordinatorFactory
    ) -> LocalFleet:
        """Return the fleet of the settings, whose terminated leaves are restarted after a while."""
        fleet = LocalFleet(
            self.loop,
            self._host_net,
            self.service_settings,
            self.seed,
            event_records=self.events,
            host_of=lambda name: name,
            run_coordinators=run_coordinators,
            make_evacuation_coordinator=make_evacuation_coordinator,
        )
        for leaf in fleet.leaves:
            leaf.on_terminated = partial(self._restart_after, leaf, TERMINATED_RESTART_DELAY_US)
        return fleet

    def _host_net(self, name: str) -> HostNet:
        """Return the network of a process's host; successive runs of a process share their host."""
        is_numbered_run = name[0] in "bk"
        return self.net.at(name.partition("r")[0] if is_numbered_run else name)

    def record_event(self, event: str, **fields: object) -> None:
        """Record an event of the clients."""
        self.events.append({"t": self.loop.now(), "who": "client", "ev": event, **fields})

    def run(self) -> SimulatedScenario:
        """Run the scenario to its end. Raise :class:`ScenarioTaskError` for the first task that failed."""
        self.loop.run(self.loop.spawn(self._main(), "scenario"))
        for broker in self.fleet.brokers:
            broker.events.close()
        for leaf in self.fleet.leaves:
            leaf.events.close()
        if self.failed_tasks:
            task, error = self.failed_tasks[0]
            raise ScenarioTaskError(task) from error
        return self

    def verdict(self) -> Verdict:
        """Return the audit of the six rules."""
        return judge(from_lines(self.events), slack=AUDIT_TOLERANCE_US)

    def age_verdict(self) -> AgeVerdict:
        """Return the audit of the ages that answers state."""
        return judge_ages(from_lines(self.events))

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, SETTLE_US)
        self.loop.spawn(self._inject_faults(random.Random(self.seed)), "faults")
        yield from self._generate_load(random.Random(self.seed + 1))
        yield from sleep(self.loop, COMPLETION_US)

    # Faults

    def _restart_after(self, leaf: Leaf, delay_us: int) -> None:
        self.loop.call_at(self.loop.now() + delay_us, self._start_if_stopped, leaf)

    @staticmethod
    def _start_if_stopped(leaf: Leaf) -> None:
        if leaf.listener is None:
            leaf.start()

    def _inject_faults(self, draws: random.Random) -> Coro[None]:
        """Inject random faults into random hosts for the scenario's duration."""
        ends_at_us = self._load_ends_at_us()
        while self.fault_rate > 0:
            yield from self._sleep_until_next(draws, self.fault_rate)
            if self.loop.now() >= ends_at_us:
                return
            leaf = draws.choice(self.fleet.leaves)
            draw = draws.random()
            if self.inject_crashes and draw < ZONE_CRASH_BELOW:
                self._inject_crash(leaf, draw, draws)
            elif leaf.listener is not None:
                fault = draws.choice(self.faults)
                query_class = draws.choice(self.service_settings.classes).name
                # Without a source the data of a leaf has no age, and faults of it change nothing.
                with contextlib.suppress(FreshnessDisabledError):
                    leaf.inject_fault(fault.to_command(query_class))

    def _inject_crash(self, leaf: Leaf, draw: float, draws: random.Random) -> None:
        """Crash the host, discovery, a broker or a zone, as the ``draw`` has it."""
        if draw < HOST_CRASH_BELOW:
            self._crash([leaf], CRASHED_RESTART_DELAY_US)
        elif draw < DISCOVERY_OUTAGE_BELOW:
            self.fleet.discovery.inject_fault(
                frames.FaultCommand(DiscoveryFault.OUTAGE.value, 0.0, DISCOVERY_OUTAGE_US)
            )
        elif draw < BROKER_RESTART_BELOW:
            self.fleet.restart_broker(draws.randrange(len(self.fleet.brokers)))
        else:
            zone = draws.randrange(len(self.service_settings.fleet.zones))
            self._crash([leaf for leaf in self.fleet.leaves if leaf.zone == zone], ZONE_RESTART_DELAY_US)

    def _crash(self, leaves: Sequence[Leaf], restart_delay_us: int) -> None:
        """Crash those of the leaves that run, and restart them later."""
        for leaf in leaves:
            if leaf.listener is not None:
                leaf.crash()
                self._restart_after(leaf, restart_delay_us)

    # Clients

    def _load_ends_at_us(self) -> int:
        """Return when the load ends that begins now."""
        return self.loop.now() + int(self.duration_seconds * US_PER_SECOND)

    def _sleep_until_next(self, draws: random.Random, rate: float) -> Coro[None]:
        """Sleep until the next event of a Poisson process with this rate a second."""
        yield from sleep(self.loop, int(draws.expovariate(rate) * US_PER_SECOND))

    def _generate_load(self, draws: random.Random) -> Coro[None]:
        """Start requests at random times, independent of the replies (open loop)."""
        ends_at_us = self._load_ends_at_us()
        while self.loop.now() < ends_at_us:
            yield from self._sleep_until_next(draws, self.arrival_rate)
            keys = self._draw_keys(draws)
            broker = draws.randrange(len(self.fleet.brokers))
            self.loop.spawn(self._request(broker, keys), "client")

    def _draw_keys(self, draws: random.Random) -> list[str]:
        """Return the keys of one request."""
        client = draws.randrange(CLIENT_COUNT)
        keys = draws.choice(
            [
                [f"price:t{client}"],
                [f"sale:t{client}:5"],
                [f"report:t{client},t{client + 1}:2026-11-28"],
                [f"price:t{client}", f"sale:t{client}:9"],
            ]
        )
        if draws.random() < self.poison_fraction:
            keys = [f"price:poison{client}"]
        if self.use_tokens and draws.random() < REQUEST_TOKEN_PROBABILITY:
            keys = [self._with_token(key) for key in keys]
        return keys

    def _with_token(self, key: str) -> str:
        """Return a key with the token of its last answer, if it had one."""
        return f"{key}{TOKEN_MARK}{self.tokens[key]}" if key in self.tokens else key

    def _request(self, broker: int, keys: list[str]) -> Coro[None]:
        """Send one request on a connection of its own and record its reply."""
        classes = self._query_classes(broker, keys)
        started_at_us = self.loop.now()
        try:
            stream = yield from self.net.connect(
                self.fleet.brokers[broker].address, CONNECT_TIMEOUT_US, "client"
            )
        except ConnectError:
            return
        # The broker names requests by the client's address and their number on the connection.
        request_id = f"{stream.local_address}#1"  # type: ignore[attr-defined]
        timeout_us = max(query_class.timeout_us for query_class in classes)
        self.record_event("ask", req=request_id, keys=keys, broker=f"b{broker}", limit=timeout_us)
        try:
            stream.write(f"get {' '.join(keys)}\r\n".encode())
            values = yield from read_values(stream)
            stream.close()
        except StreamBrokenError:
            self.record_event("reply", req=request_id, kind="broken")
            return
        self._record_values(request_id, values)
        bodies = {value.key: value.body for value in values}
        duration_us = self.loop.now() - started_at_us
        queries = tuple(
            CompletedQuery(key, query_class, bodies.get(key), duration_us)
            for key, query_class in zip(keys, classes, strict=True)
        )
        self._on_request_completed(CompletedRequest(broker, started_at_us, queries))

    def _query_classes(self, broker: int, keys: list[str]) -> list[QueryClass]:
        plans = map(self.fleet.brokers[broker].broker.keys.plan, keys)
        return [self.service_settings.classes[plan.query_class] for plan in plans if plan is not None]

    def _record_values(self, request_id: str, values: list[MemcachedValue]) -> None:
        """Record the answers of a reply, and keep their tokens."""
        answers = []
        for value in values:
            body = value.body
            if body.coverage is None:
                continue
            answers.append(
                {
                    "key": value.key,
                    "whole": body.complete,
                    "got": body.coverage.parts[0],
                    "age_ms": body.age_ms,
                    "flags": value.flags,
                    "behind": list(body.behind),
                }
            )
            if body.token:
                self.tokens[value.key.partition(TOKEN_MARK)[0]] = body.token
        self.record_event("reply", req=request_id, kind="answer", values=answers)

    def _on_request_completed(self, request: CompletedRequest) -> None:
        """Count how the queries of a request ended."""
        for query in request.queries:
            counts = self.outcome_counts.setdefault(query.query_class.name, {})
            counts[query.label] = counts.get(query.label, 0) + 1
