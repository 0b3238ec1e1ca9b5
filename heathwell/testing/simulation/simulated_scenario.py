"""Bad days on virtual time: a whole fleet in memory, the real broker code, troubles and clients drawn by a
seed.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from typing import Any

from heathwell.codec import frames
from heathwell.eventloop import ConnectError, Coro, HostNet, Stream, StreamBrokenError, sleep, virtual_loop
from heathwell.fleet.control.evacuation_coordinator import (
    EvacuationCoordinator,
    evacuation_coordinator_from_settings,
)
from heathwell.settings import ServiceSettings
from heathwell.testing.audit import AgeVerdict, Verdict, judge, judge_ages
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.local_fleet import LocalFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.standins.leaf import Leaf

# Kind, figure, seconds: what a host may be told to do.
HOST_FAULTS: tuple[tuple[str, float, float], ...] = (
    ("silent", 0.0, 6.0),
    ("midreply", 0.0, 4.0),
    ("slow", 6.0, 5.0),
    ("lose", 0.4, 5.0),
    ("reset", 0.0, 0.0),
    ("refuse", 0.0, 3.0),
    ("failclass", 0.0, 5.0),
    ("stall", 0.0, 0.5),
    ("drain", 0.0, 0.0),
)
LAG_FAULTS: tuple[tuple[str, float, float], ...] = (
    ("lag", 4.0, 6.0),
    ("stuck", 0.0, 6.0),
    ("back", 20.0, 0.0),
    ("lag", 0.5, 4.0),
)
SETTLE_US = 1_500_000
AFTER_US = 4_000_000


class SimulatedScenario:
    """One day. ``events`` holds what every process and client saw, in order."""

    def __init__(
        self,
        service_settings: ServiceSettings,
        seed: int,
        *,
        seconds: float = 25.0,
        rate: float = 30.0,
        troubles: Sequence[tuple[str, float, float]] = HOST_FAULTS,
        trouble_rate: float = 1.2,
        poison: float = 0.01,
        crashes: bool = True,
        tokens: bool = False,
        keep: bool = True,
        desk: Callable[[ServiceSettings], EvacuationCoordinator] = evacuation_coordinator_from_settings,
    ) -> None:
        self.service_settings, self.seed, self.seconds, self.rate = service_settings, seed, seconds, rate
        self.troubles, self.trouble_rate, self.poison = troubles, trouble_rate, poison
        self.crashes, self.tokens = crashes, tokens
        self.loop, self.net = virtual_loop(seed)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.events: list[dict[str, Any]] = []
        self.note("run", figures=run_parameters_record(service_settings))
        self.fleet = LocalFleet(
            self.loop,
            self._net_of,
            service_settings,
            seed,
            into=self.events,
            host_of=lambda name: name,
            keep=keep,
            desk=desk,
        )
        self.known_tokens: dict[str, str] = {}
        self.outcomes: dict[str, dict[str, int]] = {}
        for leaf in self.fleet.leaves:
            leaf.on_terminated = lambda leaf=leaf: self._back_after(leaf, 4_000_000)

    def _net_of(self, name: str) -> HostNet:
        return self.net.at(name.partition("r")[0] if name[0] in "bk" else name)

    def note(self, event: str, **fields: Any) -> None:
        """An event of the clients."""
        self.events.append({"t": self.loop.now(), "who": "client", "ev": event, **fields})

    def run(self) -> SimulatedScenario:
        """Play it; raises the first error that any task ended by."""
        self.loop.run(self.loop.spawn(self._main(), "day"))
        for broker in self.fleet.brokers:
            broker.events.close()
        for leaf in self.fleet.leaves:
            leaf.events.close()
        if self.errors:
            raise RuntimeError(f"task {self.errors[0][0]} failed") from self.errors[0][1]
        return self

    def verdict(self) -> Verdict:
        """The six rules."""
        return judge(from_lines(self.events), slack=20_000)

    def ages(self) -> AgeVerdict:
        """The stated ages against the truth."""
        return judge_ages(from_lines(self.events))

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, SETTLE_US)
        draws = random.Random(self.seed)
        self.loop.spawn(self._trouble(draws), "trouble")
        yield from self._clients(random.Random(self.seed + 1))
        yield from sleep(self.loop, AFTER_US)

    def _back_after(self, leaf: Leaf, span_us: int) -> None:
        def back() -> None:
            if leaf.listener is None:
                leaf.start()

        self.loop.call_at(self.loop.now() + span_us, back)

    def _trouble(self, draws: random.Random) -> Coro[None]:
        until = self.loop.now() + int(self.seconds * 1e6)
        while self.trouble_rate > 0:
            yield from sleep(self.loop, int(draws.expovariate(self.trouble_rate) * 1e6))
            if self.loop.now() >= until:
                return
            leaf, what = draws.choice(self.fleet.leaves), draws.random()
            if self.crashes and what < 0.34:
                self._disaster(leaf, what, draws)
            elif leaf.listener is not None:
                kind, value, span = draws.choice(self.troubles)
                name = draws.choice(self.service_settings.classes).name
                leaf.order(frames.FaultCommand(kind, value, int(span * 1e6), name))

    def _disaster(self, leaf: Leaf, what: float, draws: random.Random) -> None:
        if what < 0.15:
            if leaf.listener is not None:
                leaf.crash()
                self._back_after(leaf, 3_000_000)
        elif what < 0.22:
            self.fleet.discovery.order(frames.FaultCommand("down", 0.0, 4_000_000))
        elif what < 0.28:
            self.fleet.restart_broker(draws.randrange(len(self.fleet.brokers)))
        else:
            zone = draws.randrange(len(self.service_settings.fleet.zones))
            for other in self.fleet.leaves:
                if other.zone == zone and other.listener is not None:
                    other.crash()
                    self._back_after(other, 5_000_000)

    def _clients(self, draws: random.Random) -> Coro[None]:
        """Arrivals that do not wait for answers; each opens a connection of its own."""
        until = self.loop.now() + int(self.seconds * 1e6)
        while self.loop.now() < until:
            yield from sleep(self.loop, int(draws.expovariate(self.rate) * 1e6))
            who = draws.randrange(40)
            keys = draws.choice(
                [
                    [f"price:t{who}"],
                    [f"sale:t{who}:5"],
                    [f"report:t{who},t{who + 1}:2026-11-28"],
                    [f"price:t{who}", f"sale:t{who}:9"],
                ]
            )
            if draws.random() < self.poison:
                keys = [f"price:poison{who}"]
            if self.tokens and draws.random() < 0.5:
                keys = [
                    f"{key}@~{self.known_tokens[key]}" if key in self.known_tokens else key for key in keys
                ]
            self.loop.spawn(self._one(draws.randrange(len(self.fleet.brokers)), keys), "client")

    def _one(self, broker: int, keys: list[str]) -> Coro[None]:
        plan = self.fleet.brokers[broker].broker.keys.plan
        classes = [self.service_settings.classes[p.query_class] for p in map(plan, keys) if p is not None]
        began = self.loop.now()
        try:
            stream = yield from self.net.connect(self.fleet.brokers[broker].address, 1_000_000, "client")
        except ConnectError:
            return
        request = f"{stream.here}#1"  # type: ignore[attr-defined]  # the broker knows this client by it
        self.note(
            "ask", req=request, keys=keys, broker=f"b{broker}", limit=max(c.timeout_us for c in classes)
        )
        try:
            stream.write(f"get {' '.join(keys)}\r\n".encode())
            values = yield from _read_values(stream)
            stream.close()
        except StreamBrokenError:
            self.note("reply", req=request, kind="broken")
            return
        told = []
        for key, flags, body in values:
            if "coverage" in body:
                told.append(
                    {
                        "key": key,
                        "whole": body["whole"],
                        "got": body["coverage"]["parts"][0],
                        "age_ms": body.get("age_ms"),
                        "flags": flags,
                        "behind": body.get("behind", []),
                    }
                )
                if body.get("token"):
                    self.known_tokens[key.partition("@~")[0]] = body["token"]
        self.note("reply", req=request, kind="answer", values=told)
        self._count(keys, classes, {key: body for key, _, body in values}, self.loop.now() - began, broker)

    def _count(
        self, keys: list[str], classes: list[Any], bodies: dict[str, dict[str, Any]], took: int, broker: int
    ) -> None:
        """Note how each key of a request that was asked of a broker ended."""
        for key, spec in zip(keys, classes, strict=True):
            body = bodies.get(key)
            kind = (
                ("on time" if took <= spec.latency_objective_us else "late")
                if body is None or body.get("whole")
                else ("partial" if "coverage" in body else "refused" if body.get("refused") else "failed")
            )
            if body is not None and body.get("stale"):
                kind += ", stale"
            counts = self.outcomes.setdefault(spec.name, {})
            counts[kind] = counts.get(kind, 0) + 1


def _read_values(stream: Stream) -> Coro[list[tuple[str, int, dict[str, Any]]]]:
    """The values of one classic get, to its END."""
    data = b""
    values: list[tuple[str, int, dict[str, Any]]] = []
    while True:
        while b"\r\n" not in data:
            more = yield from stream.read()
            if not more:
                raise StreamBrokenError("end")
            data += more
        line, data = data.split(b"\r\n", 1)
        if not line.startswith(b"VALUE "):
            return values
        _, key, flags, size = line.split()[:4]
        while len(data) < int(size) + 2:
            more = yield from stream.read()
            if not more:
                raise StreamBrokenError("end")
            data += more
        values.append((key.decode(), int(flags), json.loads(data[: int(size)])))
        data = data[int(size) + 2 :]
