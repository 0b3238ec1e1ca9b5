"""The platform on virtual time: a broker with its front, stand-in nodes and discovery; and its logs for the
auditor.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from heathwell.codec import nodeframes as nf
from heathwell.eventloop import sleep, virtual_loop
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import read
from heathwell.gateway.front import Front
from heathwell.gateway.node_attempts import NodeRequest
from heathwell.observability.event_log import ListEvents
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.platform_config import REPLICA_GROUPS, encode_config, platform_settings
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

UNIX_US = 1_700_000_000_000_000
LONG_US = 1 << 50


def node_ask(part: str, seq: int, shard: int, text: bytes) -> NodeRequest:
    """An attempt that a test hands to a link by itself; waited for without end."""
    return NodeRequest(part, seq, partial(nf.encode_part, part, shard, text=text), LONG_US)


class Platform:
    """Nodes, one a cell, discovery, one broker."""

    def __init__(
        self,
        *,
        known: bool = True,
        registry: bool = True,
        seed: int | None = None,
        limits: dict[str, Any] | None = None,
        setup: dict[str, Any] | None = None,
    ) -> None:
        self.loop, self.net = virtual_loop(seed)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.way_us = 100  # the least that bytes take from broker to node
        self.lines: list[str] = []
        self.events: list[dict[str, Any]] = []
        self.nodes = [self.node(n) for n in range(REPLICA_GROUPS)]
        self.registry = (
            PlatformDiscovery(self.loop, self.net.at("registry"), "registry:8500", self.nodes)
            if registry
            else None
        )
        changes: dict[str, Any] = {"limits": limits} if limits else {}
        if setup:
            changes["settings"] = {**platform_settings(), **setup}
        if known:
            changes["known"] = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        self.config = read(encode_config(**changes))
        self.broker = PlatformBroker(
            self.loop,
            self.net.at("broker"),
            self.config,
            log=self.log,
            events=ListEvents(self.events, "n1", "broker", self.loop.clock),
            unix_us=lambda: UNIX_US,
        )
        self.front = Front(self.broker, self.config.client_sockets, self.config.kept_clients, self.log)
        self.listener = self.net.at("broker").listen("broker:7070", self.front.serve, "client")

    def node(self, number: int, cell: int | None = None) -> PlatformNode:
        """A node of its own address."""
        uid = f"s{number}"
        return PlatformNode(
            self.loop,
            self.net.at(uid),
            f"{uid}:7070",
            uid,
            number if cell is None else cell,
            events=ListEvents(self.events, uid, "host", self.loop.clock),
        )

    def log(self, level: str, event: str, **fields: Any) -> None:
        self.lines.append(f"{level} {event} {fields}")

    def client(self, name: str = "client") -> PlatformClient:
        return PlatformClient(self.loop, self.net.at(name), "broker:7070")

    def run(self, gen: Any, errors: bool = False) -> Any:
        result = self.loop.run(self.loop.spawn(gen, "main"))
        assert errors or not self.errors, self.errors
        return result

    def wait(self, seconds: float) -> None:
        self.run(sleep(self.loop, int(seconds * 1e6)))

    def verdict(self) -> Any:
        """The auditor's, over what broker and nodes noted. The wire names parts and not attempts: an arrival
        is tied to the latest send that can have come so far, and parts are numbered as the auditor counts
        them.
        """
        order: dict[str, dict[str, str]] = {}
        sends: dict[tuple[str, str], list[tuple[int, int]]] = {}
        arrived: dict[tuple[str, int], int] = {}
        query_class: dict[str, str] = {}
        lines: list[dict[str, Any]] = [{"t": 0, "who": "run", "ev": "run", "figures": self.figures()}]
        for seen in self.events:
            event, kind = seen, seen["ev"]
            if kind == "take":
                order[event["q"]] = {
                    f"{event['q']}.{shard}": f"{event['q']}/{n}" for n, shard in enumerate(event["shards"])
                }
                query_class[event["q"]] = event["klass"]
            if "p" in event:
                query = event["p"].partition(".")[0]
                names = order[query]
                if event["p"].endswith(".fetch"):
                    names.setdefault(event["p"], f"{query}/{len(names)}")
                way = (event["p"], event["node"])
                if kind == "send":
                    sends.setdefault(way, []).append((event["t"], event["seq"]))
                elif kind == "arrive":
                    sent = max(send for send in sends[way] if send[0] <= event["t"] - self.way_us)
                    sends[way].remove(sent)
                    arrived[event["node"], event["n"]] = sent[1]
                seq = event["seq"] if "seq" in event else arrived.get((event["node"], event.get("n", -1)), -1)
                if seq < 0:
                    continue  # a part given up: the wire does not say which attempt
                event = {
                    **event,
                    "p": names[event["p"]],
                    "seq": seq,
                    "klass": query_class[query],
                    "broker": "n1",
                }
            elif kind == "final":
                names = order[event["q"]]
                event = {**event, "parts": [names[p] for p in event["parts"]]}
            lines.append(event)
        return judge(from_lines(lines), slack=20_000)

    def figures(self) -> dict[str, Any]:
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


def settings_of() -> Any:
    """The start settings that the tests use."""
    return read(encode_config()).settings
