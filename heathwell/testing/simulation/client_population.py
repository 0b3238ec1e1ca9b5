"""Real memcached clients (pymemcache) on threads, arriving open-loop, with a log of what each saw."""

from __future__ import annotations

import json
import queue
import random
import select
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from pymemcache.client.base import Client
from pymemcache.exceptions import MemcacheError

from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fault_script import Load

PATIENCE = 0.5  # seconds past its time for which a client still listens, so that lateness is seen
LATE_START = 0.05  # seconds after which a request's start counts as off its schedule


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request to be made."""

    at: float
    keys: tuple[str, ...]
    query_class: str
    vector: tuple[float, ...] = ()


@dataclass(slots=True)
class Outcome:
    """How a request ended, with its retries: seconds from its scheduled arrival."""

    at: float
    query_class: str
    kind: str
    took: float
    key: str = ""
    broker: str = ""


def arrivals(
    load: Load,
    service_settings: ServiceSettings,
    seed: int,
    begin: float,
    end: float,
    factor: Callable[[float], float],
) -> list[Arrival]:
    """Poisson arrivals between two times of a run, thinned to the rate of each moment."""
    draws = random.Random(seed)
    spaces = {space.prefix: space for space in service_settings.keys}
    collections = {f"vector:{spec.name}": spec for spec in service_settings.collections}
    names = [mix.space for mix in load.mix]
    weights = [mix.share for mix in load.mix]
    peak = load.rate * max((factor(begin + n * 0.25) for n in range(int((end - begin) * 4) + 1)), default=1.0)
    out, at = [], begin
    while (at := at + draws.expovariate(peak)) < end:
        if draws.random() * peak > load.rate * factor(at):
            continue
        name = draws.choices(names, weights)[0]
        if name in collections:
            spec = collections[name]
            vector = tuple(draws.gauss(0, 1.5) for _ in range(spec.size))
            out.append(Arrival(at, (name,), spec.query_class, vector))
            continue
        space = spaces[name]
        count = 4 if draws.random() < load.multi else 1
        out.append(
            Arrival(
                at,
                tuple(_key(space.shape, space.prefix, load.traders, draws) for _ in range(count)),
                space.query_class,
            )
        )
    return out


def _key(shape: str, prefix: str, traders: int, draws: random.Random) -> str:
    # A few traders are far more popular than the rest.
    who = int(traders * draws.random() ** 2)
    if shape == "record":
        return f"{prefix}:t{who}:{draws.randrange(9000)}"
    if shape == "search":
        return f"{prefix}:term{who}"
    return f"{prefix}:t{who}:2026-11-{1 + draws.randrange(28):02d}"


class Clients:
    """A crowd of clients of several brokers, zones in turn; brokers by name, memcached and search address."""

    def __init__(
        self,
        load: Load,
        service_settings: ServiceSettings,
        brokers: Callable[[], list[tuple[str, str, str]]],
        log_path: str | Path | None,
    ) -> None:
        self.load, self.service_settings, self.brokers = load, service_settings, brokers
        self.classes = {spec.name: spec for spec in service_settings.classes}
        self.outcomes: list[Outcome] = []
        self.off_schedule = 0
        self.asked = 0
        self._work: queue.SimpleQueue[Arrival | None] = queue.SimpleQueue()
        self._log = open(log_path, "w") if log_path else None  # noqa: SIM115  # closed by `finish`
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(load.clients)
        ]

    def start(self) -> float:
        """Start the threads; returns the run's zero."""
        self._started = time.monotonic()
        self.note("opened", "clients", role="client")
        for thread in self._threads:
            thread.start()
        return self._started

    def offer(self, arrival: Arrival) -> None:
        """A request is due now."""
        self._work.put(arrival)

    def finish(self, seconds: float = 15.0) -> None:
        """Let what is at work end, then close the log."""
        for _ in self._threads:
            self._work.put(None)
        until = time.monotonic() + seconds
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))
        self.note("closed", "clients")
        if self._log is not None:
            with self._lock:
                self._log.close()
                self._log = None

    def note(self, event: str, who: str, **fields: Any) -> int:
        """Write an event; returns its time."""
        now = time.monotonic_ns() // 1000
        if self._log is not None:
            line = json.dumps({"t": now, "who": who, "ev": event, **fields}) + "\n"
            with self._lock:
                if self._log is not None:
                    self._log.write(line)
        return now

    def _run(self, number: int) -> None:
        member = _Member(self, number)
        while (arrival := self._work.get()) is not None:
            late = time.monotonic() - self._started - arrival.at
            if late > LATE_START:
                self.off_schedule += 1
            member.serve(arrival)
        member.close()


@dataclass(slots=True)
class _Seen:
    kind: str
    after: float = 0.0
    values: dict[str, dict[str, Any]] = field(default_factory=dict)


class _Member:
    """One client: a connection to a broker, the next one when it is gone."""

    def __init__(self, crowd: Clients, number: int) -> None:
        self.crowd, self.number = crowd, number
        self.name = f"client{number}"
        self._client: Client | None = None
        self._searches: HTTPConnection | None = None
        self._searched = ""
        self._local = ""
        self._broker = ""
        self._asked = self._total = 0

    def close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
        if self._searches is not None:
            self._searches.close()
            self._searches = None

    def serve(self, arrival: Arrival) -> None:
        spec = self.crowd.classes[arrival.query_class]
        limit = spec.timeout_us / 1e6
        seen = _Seen("none")
        for _ in range(1 + self.crowd.load.retries):
            seen = (
                self._search(arrival, spec.timeout_us)
                if arrival.vector
                else self._ask(arrival, spec.timeout_us)
            )
            again = seen.kind == "refused" or (seen.kind == "broken" and spec.idempotency == "safe")
            if not again or time.monotonic() - self.crowd._started - arrival.at + seen.after > limit:
                break
            time.sleep(seen.after)
        took = time.monotonic() - self.crowd._started - arrival.at
        kind = seen.kind
        if kind == "answered":
            kind = (
                "partial"
                if any(not v["whole"] for v in seen.values.values())
                else ("on time" if took <= spec.latency_objective_us / 1e6 else "late")
            )
        self.crowd.outcomes.append(
            Outcome(arrival.at, arrival.query_class, kind, took, arrival.keys[0], self._broker)
        )

    def _connect(self) -> bool:
        if self._client is not None and self._client.sock is not None:
            if not select.select([self._client.sock], [], [], 0)[0]:
                return True
            self.close()  # something to read though nothing is asked: the broker has closed it
        brokers = self.crowd.brokers()
        for step in range(len(brokers)):
            name, address, _ = brokers[(self.number + step) % len(brokers)]
            host, _, port = address.rpartition(":")
            client = Client((host, int(port)), connect_timeout=0.5, timeout=5, no_delay=True)
            try:
                client._connect()
            except OSError:
                continue
            self._client, self._broker, self._asked = client, name, 0
            here = client.sock.getsockname()
            self._local = f"{here[0]}:{here[1]}"
            return True
        return False

    def _search(self, arrival: Arrival, limit_us: int) -> _Seen:
        """One search over HTTP, at the broker whose turn it is."""
        brokers, seconds = self.crowd.brokers(), limit_us / 1e6 + PATIENCE
        self._total += 1
        request = f"{self.name}:{self._total}"
        body = json.dumps({"query": arrival.vector, "limit": 10})
        headers = {"content-type": "application/json", "x-request-id": request}
        for step in range(len(brokers)):
            name, _, address = brokers[(self.number + step) % len(brokers)]
            if self._searches is None:
                host, _, port = address.rpartition(":")
                self._searches = HTTPConnection(host, int(port), timeout=seconds)
                try:
                    self._searches.connect()
                except OSError:
                    self._searches = None
                    continue
                self._searched = name
            break
        else:
            return _Seen("no broker", 0.2)
        link, told = self._searches, {"req": request, "no": request}
        self.crowd.asked += 1
        self.crowd.note("ask", self.name, **told, keys=arrival.keys, broker=self._searched, limit=limit_us)
        try:
            link.sock.settimeout(seconds)
            link.request(
                "POST", f"/collections/{arrival.keys[0].partition(':')[2]}/points/query", body, headers
            )
            got = link.getresponse()
            answer = json.loads(got.read())
        except TimeoutError:
            self.crowd.note("reply", self.name, **told, kind="timeout")
            self._searches = None
            return _Seen("lost", 0.0)
        except (OSError, HTTPException, ValueError) as problem:
            self.crowd.note("reply", self.name, **told, kind="broken", text=repr(problem))
            self._searches = None
            return _Seen("broken", 0.05)
        if got.status != 200:
            after = float(got.headers.get("x-heathwell-retry-after-ms", 0)) / 1000
            kind = "refused" if got.status == 503 else "failed"
            self.crowd.note(
                "reply",
                self.name,
                **told,
                kind="answer",
                values=[],
                lost=[{"key": arrival.keys[0], "kind": kind}],
            )
            return _Seen(kind, after)
        words = answer["heathwell"]
        value = {"key": arrival.keys[0], "whole": words["whole"], "got": words["parts"][0]}
        self.crowd.note("reply", self.name, **told, kind="answer", values=[value], lost=[])
        return _Seen("answered", 0.0, {arrival.keys[0]: value})

    def _ask(self, arrival: Arrival, limit_us: int) -> _Seen:
        if not self._connect():
            return _Seen("no broker", 0.2)
        assert self._client is not None and self._client.sock is not None
        self._client.sock.settimeout(limit_us / 1e6 + PATIENCE)
        self._asked += 1
        request = f"{self._local}#{self._asked}"
        self._total += 1
        name = {"req": request, "no": f"{self.name}:{self._total}"}
        self.crowd.asked += 1
        self.crowd.note("ask", self.name, **name, keys=arrival.keys, broker=self._broker, limit=limit_us)
        try:
            got = self._client.get_many(list(arrival.keys))
        except TimeoutError:
            self.crowd.note("reply", self.name, **name, kind="timeout")
            return _Seen("lost", 0.0)
        except (MemcacheError, OSError) as problem:
            self.crowd.note("reply", self.name, **name, kind="broken", text=repr(problem))
            self.close()
            return _Seen("broken", 0.05)
        values, lost, after = {}, [], 0.0
        for key, raw in got.items():
            body = json.loads(raw)
            if "coverage" not in body:
                lost.append({"key": key, "kind": "failed" if body.get("failed") else "refused"})
                after = max(after, body["retry_after_ms"] / 1000)
                continue
            cover = body["coverage"]
            values[key] = {
                "key": key,
                "whole": body["whole"],
                "got": cover["parts"][0],
                "asked": cover["parts"][1],
                "age_ms": body.get("age_ms"),
            }
        self.crowd.note("reply", self.name, **name, kind="answer", values=list(values.values()), lost=lost)
        if lost:
            return _Seen("refused" if all(one["kind"] == "refused" for one in lost) else "failed", after)
        return _Seen("answered", 0.0, values)
