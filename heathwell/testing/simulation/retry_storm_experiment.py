"""An outage and the storm after it, on virtual time: many clients, some of whom heed advice, some of whom
don't.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, sleep
from heathwell.service.key_spaces import KeySpaces
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.simulation.demo_settings import (
    PRICE_KEYS,
    RULES,
    SALE_KEYS,
    discovery_section,
    fleet_section,
    limits_section,
    price_search_class,
    sale_record_class,
    settings_text,
)
from heathwell.testing.simulation.memcached_values import CoverageFields, ReplyBody, read_values
from heathwell.testing.simulation.simulated_scenario import SETTLE_US, SimulatedScenario

HEEDS, IGNORES, FIXED = "heeds", "ignores", "fixed"
AGAIN_US = {IGNORES: 100_000, FIXED: 500_000}  # pause of those who don't heed advice
USEFUL_US = 8_000_000  # after that a client has given its request up
LAST_US = 4_000_000  # after the last request may have begun: its answer
MISS = ReplyBody(complete=True, coverage=CoverageFields((0, 0)))
STORMS = "(storms (on yes) (first-rate 4s) (first-accepts 100) (accepts 2000))"
RETRY_STORM_SETTINGS = settings_text(
    price_search_class(),
    sale_record_class(),
    SALE_KEYS,
    PRICE_KEYS,
    fleet_section(
        shards=32, replica_groups=16, replicas=2, zones=("hki-1", "hki-2", "espoo-1"), leaves=16, brokers=3
    ),
    RULES,
    limits_section(max_in_flight=2000, max_retry_after_ms=500),
    "(leaf (slots 3) (queue 24))",
    discovery_section(),
)


@dataclass(slots=True)
class Request:
    """One request with all its tries; times in microseconds from the day's zero."""

    at: int
    query_class: str
    policy: str
    ended: str = "given up"
    took: int = 0
    tries: int = 0


@dataclass(slots=True)
class Storm:
    """Figures of a day."""

    requests: list[Request] = field(default_factory=list)
    outage_from: int = 0
    outage_until: int = 0

    def service(self, since: int, until: int, policy: str = "") -> tuple[float, float, int]:
        """Shares on time and answered at all, and how many, of requests that arose between two times."""
        rows = [r for r in self.requests if since <= r.at < until and (not policy or r.policy == policy)]
        asked = max(1, len(rows))
        return (
            sum(r.ended == "on time" for r in rows) / asked,
            sum(r.ended in ("on time", "late", "partial") for r in rows) / asked,
            len(rows),
        )

    def steady_after(self) -> float | None:
        """Seconds from the outage's end until three in a row are within 10 points of the time before it."""
        usual, _, _ = self.service(self.outage_from - 8_000_000, self.outage_from)
        last = max((r.at for r in self.requests), default=0)
        for second in range(max(0, (last - self.outage_until) // 1_000_000 - 3)):
            begin = self.outage_until + second * 1_000_000
            if self.service(begin, begin + 3_000_000)[0] >= usual - 0.1:
                return float(second)
        return None


class Crowd:
    """Clients on a loop, in memory or on sockets: each thinks, asks, and asks again by its policy.

    ``addresses`` are the brokers' at the moment; ``rush`` is what thinking is divided by at the moment.
    """

    def __init__(
        self,
        loop: Loop,
        net_of: Callable[[int], Net],
        addresses: Callable[[], list[str]],
        service_settings: ServiceSettings,
        storm: Storm,
        *,
        think: float,
        ignoring: float,
        seed: int,
        fixed: bool = False,
        rush: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.loop, self.net_of, self.addresses, self.service_settings, self.storm = (
            loop,
            net_of,
            addresses,
            service_settings,
            storm,
        )
        self.think, self.seed, self.rush = think, seed, rush
        self.keys = KeySpaces(service_settings)
        self.ignoring, self.fixed = ignoring, fixed
        self._draws = random.Random(seed + 3)

    def start(self, clients: int, until: int) -> None:
        """Begin; each asks for the last time before that time of the loop."""
        for number in range(clients):
            policy = IGNORES if self._draws.random() < self.ignoring else FIXED if self.fixed else HEEDS
            self.loop.spawn(
                self._client(number, policy, random.Random(self.seed * 100_000 + number), until), "client"
            )

    def _client(self, number: int, policy: str, draws: random.Random, until: int) -> Coro[None]:
        stream: Stream | None = None
        while self.loop.now() < until:
            yield from sleep(self.loop, int(draws.expovariate(self.rush() / self.think) * 1e6))
            if self.loop.now() >= until:
                return
            key = draws.choice([f"price:t{draws.randrange(60)}", f"sale:t{number}:{draws.randrange(9000)}"])
            plan = self.keys.plan(key)
            assert plan is not None
            spec = self.service_settings.classes[plan.query_class]
            request = Request(self.loop.now(), spec.name, policy)
            self.storm.requests.append(request)
            stream = yield from self._ask(request, stream, number, key, spec, draws)

    def _ask(
        self, request: Request, stream: Stream | None, number: int, key: str, spec: Any, draws: random.Random
    ) -> Coro[Stream | None]:
        """One request until it is answered or of no use any more; returns the connection for the next."""
        while self.loop.now() - request.at < USEFUL_US:
            request.tries += 1
            pause = draws.randrange(100_000, 300_000)
            try:
                if stream is None or stream.closed:
                    where = self.addresses()
                    stream = yield from self.net_of(number).connect(
                        where[(number + request.tries) % len(where)], 1_000_000
                    )
                stream.write(f"get {key}\r\n".encode())
                values = yield from read_values(stream)
            except (ConnectError, StreamBrokenError):
                stream = None
                yield from sleep(self.loop, pause)
                continue
            body = values[0].body if values else MISS
            if body.is_answer:
                request.took = self.loop.now() - request.at
                request.ended = (
                    "partial"
                    if not body.complete
                    else "on time"
                    if request.took <= spec.latency_objective_us
                    else "late"
                )
                return stream
            advised = body.retry_after_ms * 1000
            yield from sleep(self.loop, AGAIN_US.get(request.policy, advised) or pause)
        return stream


class RetryStormScenario(SimulatedScenario):
    """``clients`` think for ``think`` seconds between requests; the outage takes hosts and brokers together.

    ``killed_after`` it by so many seconds one broker is killed once more; ``addresses``: clients share so
    many.
    """

    def __init__(
        self,
        variant: str,
        seed: int = 1,
        *,
        clients: int = 600,
        think: float = 12.0,
        outage: float = 20.0,
        ignoring: float = 0.33,
        before: float = 12.0,
        after: float = 40.0,
        text: str = RETRY_STORM_SETTINGS,
        burst: float = 1.0,
        killed_after: float = 0.0,
        addresses: int = 0,
    ) -> None:
        service_settings: ServiceSettings = loads(text + (STORMS if variant == "damped" else ""))
        super().__init__(
            service_settings,
            seed,
            duration_seconds=before + outage + after,
            arrival_rate=1.0,
            fault_rate=0.0,
            poison_fraction=0.0,
        )
        self.variant, self.clients, self.think, self.outage = variant, clients, think, outage
        self.ignoring, self.before, self.burst = ignoring, before, burst
        self.killed_after, self.addresses = killed_after, addresses
        self.storm = Storm()

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, SETTLE_US)
        zero = self.loop.now()
        self.storm.outage_from = zero + int(self.before * 1e6)
        self.storm.outage_until = self.storm.outage_from + int(self.outage * 1e6)
        if self.outage:
            self.loop.spawn(self._lost(), "outage")
        until = zero + int(self.duration_seconds * 1e6)
        crowd = Crowd(
            self.loop,
            lambda number: self.net.at(f"c{number % (self.addresses or self.clients)}"),
            lambda: [broker.address for broker in self.fleet.brokers],
            self.service_settings,
            self.storm,
            think=self.think,
            ignoring=self.ignoring,
            seed=self.seed,
            fixed=self.variant == "fixed backoff",
            rush=self._rush,
        )
        crowd.start(self.clients, until)
        yield from sleep(self.loop, until - self.loop.now() + USEFUL_US + LAST_US)

    def _lost(self) -> Coro[None]:
        yield from sleep(self.loop, self.storm.outage_from - self.loop.now())
        for broker in self.fleet.brokers:
            broker.kill()
        for leaf in self.fleet.leaves:
            leaf.crash()
        yield from sleep(self.loop, int(self.outage * 1e6))
        for leaf in self.fleet.leaves:  # back cold, all at once
            leaf.start()
        for number in range(len(self.fleet.brokers)):
            self.fleet.restart_broker(number)
        if self.killed_after:
            yield from sleep(self.loop, int(self.killed_after * 1e6))
            self.fleet.restart_broker(0)  # its clients all land on the next

    def _rush(self) -> float:
        """A festival: everybody asks more often for a while."""
        return self.burst if self.storm.outage_from <= self.loop.now() < self.storm.outage_until else 1.0

    def states(self) -> list[tuple[float, str, str]]:
        """Changes of the brokers' storm deciders, in seconds from the outage's end."""
        return [
            ((e["t"] - self.storm.outage_until) / 1e6, e["who"], e["state"])
            for e in self.events
            if e["ev"] == "storm"
        ]
