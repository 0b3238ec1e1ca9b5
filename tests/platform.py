"""The platform on virtual time: a broker with its front, and stand-ins for nodes and discovery.

The auditor judges the event logs of broker and nodes.
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final

from heathwell.codec import nodeframes as nf
from heathwell.eventloop import sleep, virtual_loop
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import read
from heathwell.gateway.front import Front
from heathwell.gateway.node_attempts import NodeRequest
from heathwell.observability.event_log import InMemoryEventLog
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.platform_config import REPLICA_GROUPS, encode_config, platform_settings
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

UNIX_US: Final = 1_700_000_000_000_000
NO_DEADLINE_US: Final = 1 << 50


def node_request(part: str, sequence: int, shard: int, text: bytes) -> NodeRequest:
    """Return an attempt without a deadline, for tests that hand it to a link directly."""
    return NodeRequest(part, sequence, partial(nf.encode_part, part, shard, text=text), NO_DEADLINE_US)


class Platform:
    """One node per replica group, discovery and one broker."""

    def __init__(
        self,
        *,
        known: bool = True,
        registry: bool = True,
        seed: int | None = None,
        limits: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.loop, self.net = virtual_loop(seed)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda task, error: self.errors.append((task, error))
        self.minimum_transit_us = 100  # shortest transit time of bytes from the broker to a node
        self.lines: list[str] = []
        self.events: list[dict[str, Any]] = []
        self.nodes = [self.node(number) for number in range(REPLICA_GROUPS)]
        self.registry = (
            PlatformDiscovery(self.loop, self.net.at("registry"), "registry:8500", self.nodes)
            if registry
            else None
        )
        changes: dict[str, Any] = {"limits": limits} if limits else {}
        if settings:
            changes["settings"] = {**platform_settings(), **settings}
        if known:
            changes["known"] = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        self.config = read(encode_config(**changes))
        self.broker = PlatformBroker(
            self.loop,
            self.net.at("broker"),
            self.config,
            log=self.log,
            events=InMemoryEventLog(self.events, "n1", "broker", self.loop.clock),
            unix_us=lambda: UNIX_US,
        )
        self.front = Front(
            self.broker, self.config.client_sockets, self.config.max_kept_alive_clients, self.log
        )
        self.listener = self.net.at("broker").listen("broker:7070", self.front.serve, "client")

    def node(self, number: int, replica_group: int | None = None) -> PlatformNode:
        """Return a new node with an address of its own."""
        uid = f"s{number}"
        return PlatformNode(
            self.loop,
            self.net.at(uid),
            f"{uid}:7070",
            uid,
            number if replica_group is None else replica_group,
            events=InMemoryEventLog(self.events, uid, "host", self.loop.clock),
        )

    def log(self, level: str, event: str, **fields: object) -> None:
        """Record a log line of the broker."""
        self.lines.append(f"{level} {event} {fields}")

    def client(self, name: str = "client") -> PlatformClient:
        """Return a new client of the broker."""
        return PlatformClient(self.loop, self.net.at(name), "broker:7070")

    def run(self, generator: Any, *, errors: bool = False) -> Any:
        """Run a coroutine to its end and return its result; failed tasks fail the test unless ``errors``."""
        result = self.loop.run(self.loop.spawn(generator, "main"))
        assert errors or not self.errors, self.errors
        return result

    def respond_with(self, responder: Any) -> None:
        """Make all nodes handle received parts by ``responder``; None restores their default responses."""
        for node in self.nodes:
            node.responder = responder

    def query(self, *args: Any, **more: Any) -> Any:
        """Send a query from a new client, run it to its end and return the response."""

        def main() -> Any:
            return (yield from self.client().send_query(*args, **more))

        return self.run(main())

    def delay_nodes(self, delay_us: int) -> None:
        """Set the one-way delay between the broker and the nodes."""
        usual_delay = self.net.delay

        def delay(source: str, target: str) -> int:
            if "broker" in (source, target) and "s" in (source[0], target[0]):
                return delay_us
            return usual_delay(source, target)

        self.net.delay = delay

    def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(sleep(self.loop, int(seconds * 1e6)))

    def verdict(self) -> Any:
        """Return the auditor's verdict over the event logs of broker and nodes."""
        lines: list[dict[str, Any]] = [
            {"t": 0, "who": "run", "ev": "run", "figures": self.audit_parameters()}
        ]
        lines += AuditTranslator(self.minimum_transit_us).translate(self.events)
        return judge(from_lines(lines), slack=20_000)

    def audit_parameters(self) -> dict[str, Any]:
        """Return the settings that the auditor judges by, under the names of its records."""
        rules = self.config.settings
        return {
            "classes": {
                spec.name: {
                    "limit": spec.timeout_us,
                    "aim": spec.latency_objective_us,
                    "repeat": spec.idempotency,
                    "dedup": spec.idempotency_window_us,
                    "need": spec.required_fraction,
                    "floor": spec.minimum_fraction,
                    "work": 20_000,
                    "fetch": spec.second_step_parts,
                }
                for spec in rules.classes
            },
            "drain_grace": rules.drain_grace_us,
            "fall_multiple": rules.overload_multiple,
            "fall_after": rules.overload_after_us,
            "free_resends": 0,
            "further_ratio": 0,
            "counted_over": 0,
            "second_copies": rules.hedging_allowed,
            "attempts": rules.max_attempts,
            "open_cap": rules.max_open,
            "source_offset": None,
        }


class AuditTranslator:
    """Translates events of the platform into the auditor's records.

    The wire names parts and not attempts. So an arrival is assigned to the latest send that can have arrived
    by then, and parts are numbered in the order in which the auditor expects them.
    """

    def __init__(self, minimum_transit_us: int) -> None:
        self.minimum_transit_us = minimum_transit_us
        self.part_names: dict[str, dict[str, str]] = {}  # by query, by part
        self.sends: dict[tuple[str, str], list[tuple[int, int]]] = {}  # by part and node: time, attempt
        self.arrived: dict[tuple[str, int], int] = {}  # by node and arrival: attempt
        self.query_class: dict[str, str] = {}

    def translate(self, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return the records of all events that the auditor can assign to an attempt, in order."""
        records = (self._record_of(event) for event in events)
        return [record for record in records if record is not None]

    def _record_of(self, event: dict[str, Any]) -> dict[str, Any] | None:
        if event["ev"] == "take":
            self._add_query(event)
        if "p" in event:
            return self._part_record(event)
        if event["ev"] == "final":
            names = self.part_names[event["q"]]
            return {**event, "parts": [names[part] for part in event["parts"]]}
        return event

    def _add_query(self, event: dict[str, Any]) -> None:
        query = event["q"]
        self.part_names[query] = {
            f"{query}.{shard}": f"{query}/{number}" for number, shard in enumerate(event["shards"])
        }
        self.query_class[query] = event["klass"]

    def _part_record(self, event: dict[str, Any]) -> dict[str, Any] | None:
        query = event["p"].partition(".")[0]
        names = self.part_names[query]
        if event["p"].endswith(".fetch"):
            names.setdefault(event["p"], f"{query}/{len(names)}")
        if event["ev"] == "send":
            self.sends.setdefault((event["p"], event["node"]), []).append((event["t"], event["seq"]))
        elif event["ev"] == "arrive":
            self._match_arrival(event)
        if "seq" in event:
            sequence = event["seq"]
        else:
            sequence = self.arrived.get((event["node"], event.get("n", -1)), -1)
        if sequence < 0:
            return None  # a cancelled part: the wire does not name its attempt
        return {
            **event,
            "p": names[event["p"]],
            "seq": sequence,
            "klass": self.query_class[query],
            "broker": "n1",
        }

    def _match_arrival(self, event: dict[str, Any]) -> None:
        sends = self.sends[event["p"], event["node"]]
        latest = max(send for send in sends if send[0] <= event["t"] - self.minimum_transit_us)
        sends.remove(latest)
        self.arrived[event["node"], event["n"]] = latest[1]


def settings_of() -> Any:
    """Return the start settings that the tests use."""
    return read(encode_config()).settings
