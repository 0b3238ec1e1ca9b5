"""A small deployment on virtual time, and a minimal memcached client for it."""

from __future__ import annotations

import json
from typing import Any

from heathwell.codec import frames
from heathwell.eventloop import StreamBrokenError, sleep, virtual_loop
from heathwell.servers.memcached_replies import ValueFlag
from heathwell.settings import ServiceSettings, loads
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation import demo_settings
from heathwell.testing.simulation.local_fleet import LocalFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record

DEMO_SETTINGS = demo_settings.settings_text(
    demo_settings.price_search_class(),
    demo_settings.day_report_class(),
    demo_settings.sale_record_class(),
    demo_settings.SALE_KEYS,
    demo_settings.PRICE_KEYS,
    demo_settings.report_keys(),
    demo_settings.fleet_section(
        shards=12, replica_groups=6, replicas=3, zones=("a", "b", "c"), leaves=6, brokers=1
    ),
    demo_settings.RULES,
    demo_settings.limits_section(max_in_flight=600),
    demo_settings.discovery_section(),
)


def inject_fault(target, kind: str, seconds: float = 0.0, value: float = 0.0, text: str = "") -> None:
    """Inject a fault into a leaf or the discovery stand-in for some seconds."""
    target.inject_fault(frames.FaultCommand(kind, value, int(seconds * 1_000_000), text))


class World:
    """A deployment on virtual time: event loop, network, local fleet and recorded events.

    Args:
        seed: Seed of the fleet's random draws.
        text: Settings of the deployment.
        shuffle: Seed that shuffles tasks that are ready at the same time, or None for first in, first out.
    """

    def __init__(self, seed: int = 1, text: str = DEMO_SETTINGS, shuffle: int | None = None) -> None:
        self.loop, self.net = virtual_loop(shuffle)
        self.service_settings: ServiceSettings = loads(text)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.events: list[dict[str, Any]] = []
        self.record_event("run", figures=run_parameters_record(self.service_settings))
        self.fleet = LocalFleet(
            self.loop,
            self.network_of,
            self.service_settings,
            seed,
            event_records=self.events,
            host_of=lambda name: name,
        )
        self.run(self.settle())

    def network_of(self, name: str):
        """Return the network as the named process reaches it; a broker's restarts share its host."""
        return self.net.at(name.partition("r")[0] if name.startswith("b") else name)

    def settle(self):
        """Wait 1.5 s, during which brokers receive the endpoint list and connect."""
        yield from sleep(self.loop, 1_500_000)

    def run(self, coroutine):
        """Run a coroutine to its end and return its result; no task may have failed."""
        result = self.loop.run(self.loop.spawn(coroutine, "main"))
        assert not self.errors, self.errors
        return result

    def events_of(self, event_type: str, **fields: object) -> list[dict[str, Any]]:
        """Return the recorded events of one type that have the given field values."""
        return [
            record
            for record in self.events
            if record["ev"] == event_type and all(record.get(name) == value for name, value in fields.items())
        ]

    def client(self, broker: int = 0):
        """Return a client with a new connection to a broker."""
        stream = yield from self.net.connect(self.fleet.brokers[broker].address, 1_000_000, "client")
        return Client(stream, self, broker)

    def record_event(self, event_type: str, **fields: object) -> None:
        """Append an event of the client to the recorded events."""
        self.events.append({"t": self.loop.now(), "who": "client", "ev": event_type, **fields})

    def verdict(self, events: list[dict[str, Any]] | None = None):
        """Return the auditor's verdict on the given events, or on all recorded ones."""
        return judge(from_lines(self.events if events is None else events), slack=20_000)

    def close(self) -> None:
        """Close the event logs of brokers and leaves."""
        for broker in self.fleet.brokers:
            broker.events.close()
        for leaf in self.fleet.leaves:
            leaf.events.close()


class Client:
    """A memcached client on one connection that records its requests and their replies as events."""

    def __init__(self, stream, world: World, broker: int) -> None:
        self.stream = stream
        self.world = world
        self.broker = broker
        self.received = b""
        self.request_count = 0
        self.unanswered: dict[str, dict[str, Any]] = {}
        """Bodies of the values in the last reply that are flagged as refused or lost, by key."""

    def read_line(self):
        """Return the next line without its end; raise StreamBrokenError if the stream ends."""
        while b"\r\n" not in self.received:
            yield from self._receive()
        line, self.received = self.received.split(b"\r\n", 1)
        return line

    def read_block(self, size: int):
        """Return a data block of ``size`` bytes; raise StreamBrokenError if the stream ends."""
        while len(self.received) < size + 2:
            yield from self._receive()
        block = self.received[:size]
        self.received = self.received[size + 2 :]
        return block

    def _receive(self):
        """Wait for more bytes; raise StreamBrokenError if the stream ends."""
        data = yield from self.stream.read()
        if not data:
            raise StreamBrokenError("end")
        self.received += data

    def get(self, *keys: str, command: str = "get"):
        """Request keys; return the answered values by key as (flags, data), and the reply's last line."""
        self.request_count += 1
        request_id = f"{self.stream.local_address}#{self.request_count}"
        self._record_request(request_id, keys)
        self.stream.write(f"{command} {' '.join(keys)}\r\n".encode())
        try:
            values, end = yield from self.read_reply()
        except StreamBrokenError:
            self.world.record_event("reply", req=request_id, kind="broken")
            raise
        self._record_reply(request_id, values, end)
        return values, end

    def _record_request(self, request_id: str, keys: tuple[str, ...]) -> None:
        """Record that keys were requested, with the longest timeout of their classes."""
        key_spaces = self.world.fleet.brokers[self.broker].broker.keys
        plans = [key_spaces.plan(key) for key in keys]
        classes = self.world.service_settings.classes
        timeout_us = max((classes[plan.query_class].timeout_us for plan in plans if plan), default=1)
        self.world.record_event("ask", req=request_id, keys=keys, broker=f"b{self.broker}", limit=timeout_us)

    def _record_reply(self, request_id: str, values: dict[str, tuple[int, bytes]], end: str) -> None:
        """Record a reply and the coverage stated in its values."""
        summaries = []
        for key, (_, data) in values.items():
            body = json.loads(data)
            summaries.append({"key": key, "whole": body["whole"], "got": body["coverage"]["parts"][0]})
        kind = "answer" if end == "END" else "error"
        self.world.record_event("reply", req=request_id, kind=kind, values=summaries, text=end)

    def read_reply(self):
        """Return the answered values by key and the reply's last line.

        Values flagged as refused or lost are stored in ``unanswered`` instead.
        """
        values: dict[str, tuple[int, bytes]] = {}
        self.unanswered = {}
        while True:
            line = yield from self.read_line()
            if not line.startswith(b"VALUE "):
                return values, line.decode()
            _, key, flags, size, *_ = line.split()
            data = yield from self.read_block(int(size))
            if int(flags) & (ValueFlag.REFUSED | ValueFlag.LOST):
                self.unanswered[key.decode()] = json.loads(data)
            else:
                values[key.decode()] = (int(flags), data)
