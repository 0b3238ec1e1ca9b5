"""A small market on virtual time, and a plain memcached client for it."""

from __future__ import annotations

import json
from typing import Any

from heathwell.eventloop import StreamBrokenError, sleep, virtual_loop
from heathwell.servers.memcached_replies import ValueFlag
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.demo_settings import (
    PRICE_KEYS,
    RULES,
    SALE_KEYS,
    day_report_class,
    discovery_section,
    fleet_section,
    limits_section,
    price_search_class,
    report_keys,
    sale_record_class,
    settings_text,
)
from heathwell.testing.simulation.local_fleet import LocalFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record

DEMO_SETTINGS = settings_text(
    price_search_class(),
    day_report_class(),
    sale_record_class(),
    SALE_KEYS,
    PRICE_KEYS,
    report_keys(),
    fleet_section(shards=12, replica_groups=6, replicas=3, zones=("a", "b", "c"), leaves=6, brokers=1),
    RULES,
    limits_section(max_in_flight=600),
    discovery_section(),
)


class World:
    """Loop, fleet, events; `client()` connects to a broker."""

    def __init__(self, seed: int = 1, text: str = DEMO_SETTINGS, shuffle: int | None = None) -> None:
        self.loop, self.net = virtual_loop(shuffle)
        self.service_settings: ServiceSettings = loads(text)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.events: list[dict[str, Any]] = []
        self.note("run", figures=run_parameters_record(self.service_settings))
        self.fleet = LocalFleet(
            self.loop,
            self.net_of,
            self.service_settings,
            seed,
            event_records=self.events,
            host_of=lambda name: name,
        )
        self.run(self.settle())

    def net_of(self, name: str):
        return self.net.at(name.partition("r")[0] if name.startswith("b") else name)

    def settle(self):
        yield from sleep(self.loop, 1_500_000)

    def run(self, gen):
        result = self.loop.run(self.loop.spawn(gen, "main"))
        assert not self.errors, self.errors
        return result

    def seen(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        return [e for e in self.events if e["ev"] == event and all(e.get(k) == v for k, v in fields.items())]

    def client(self, broker: int = 0):
        stream = yield from self.net.connect(self.fleet.brokers[broker].address, 1_000_000, "client")
        return Client(stream, self, broker)

    def note(self, event: str, **fields: Any) -> None:
        self.events.append({"t": self.loop.now(), "who": "client", "ev": event, **fields})

    def verdict(self, events: list[dict[str, Any]] | None = None):
        """The auditor's, over all that was noted."""
        return judge(from_lines(self.events if events is None else events), slack=20_000)

    def close(self) -> None:
        for broker in self.fleet.brokers:
            broker.events.close()
        for leaf in self.fleet.leaves:
            leaf.events.close()


class Client:
    """Reads until a reply is whole."""

    def __init__(self, stream, world: World, broker: int) -> None:
        self.stream, self.data, self.world, self.broker, self.asked = stream, b"", world, broker, 0

    def line(self):
        while b"\r\n" not in self.data:
            more = yield from self.stream.read()
            if not more:
                raise StreamBrokenError("end")
            self.data += more
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def block(self, size):
        while len(self.data) < size + 2:
            more = yield from self.stream.read()
            if not more:
                raise StreamBrokenError("end")
            self.data += more
        block, self.data = self.data[:size], self.data[size + 2 :]
        return block

    def get(self, *keys: str, command: str = "get"):
        """(values by key as (flags, data), the line that ended the reply)."""
        self.asked += 1
        request, world = f"{self.stream.here}#{self.asked}", self.world
        plans = [world.fleet.brokers[self.broker].broker.keys.plan(key) for key in keys]
        limit = max((world.service_settings.classes[p.query_class].timeout_us for p in plans if p), default=1)
        world.note("ask", req=request, keys=keys, broker=f"b{self.broker}", limit=limit)
        self.stream.write(f"{command} {' '.join(keys)}\r\n".encode())
        try:
            values, end = yield from self.reply()
        except StreamBrokenError:
            world.note("reply", req=request, kind="broken")
            raise
        told = [
            {"key": key, "whole": body["whole"], "got": body["coverage"]["parts"][0]}
            for key, (_, data) in values.items()
            for body in [json.loads(data)]
        ]
        world.note("reply", req=request, kind="answer" if end == "END" else "error", values=told, text=end)
        return values, end

    def reply(self):
        """What could not be had is set apart as `lost`, as a client that knows the flags does."""
        values: dict[str, tuple[int, bytes]] = {}
        self.lost: dict[str, dict[str, Any]] = {}
        while True:
            line = yield from self.line()
            if not line.startswith(b"VALUE "):
                return values, line.decode()
            _, key, flags, size, *_ = line.split()
            data = yield from self.block(int(size))
            if int(flags) & (ValueFlag.REFUSED | ValueFlag.LOST):
                self.lost[key.decode()] = json.loads(data)
            else:
                values[key.decode()] = (int(flags), data)
