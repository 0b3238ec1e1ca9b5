"""The platform on virtual time: a broker with its front, stand-in nodes and discovery; and its logs for the auditor."""

from __future__ import annotations

import copy
import json
from typing import Any

from heathwell.audit import judge
from heathwell.audit.reader import from_lines
from heathwell.eventlog import ListEvents
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import read
from heathwell.gateway.front import Front
from heathwell.kernel import sleep, virtual_loop
from heathwell.standins.platform import Client, Node, Registry

CELLS = 6
SETUP: dict[str, Any] = {
    "az": 0, "zones": ["a", "b"], "siblings": 1, "tick-us": 5000, "registry-mode": "ask", "value-by": "work",
    "classes": [
        {"name": "price-search", "objective-us": 250_000, "hard-limit-us": 600_000, "idempotency": "read_like",
         "worth": 2.0, "late-value": 0.3, "dedup-window-us": 5_000_000},
        {"name": "day-report", "objective-us": 300_000, "hard-limit-us": 900_000, "idempotency": "read_like",
         "worth": 1.0, "late-value": 0.1, "dedup-window-us": 5_000_000},
        {"name": "sale-record", "objective-us": 200_000, "hard-limit-us": 500_000, "idempotency": "idempotency_key",
         "worth": 1.0, "late-value": 0.1, "dedup-window-us": 200_000}],
    "ceilings": {"cancelling": True, "conn-idle-us": 3_000_000, "connect-timeout-us": 250_000, "max-attempts": 4,
                 "max-retry-after-us": 500_000, "open-cap": 400, "probing": True, "retry-after": True,
                 "second-copies": False, "streams-per-conn": 8},
    "invariants": {"drain-grace-us": 1_000_000, "fall-multiple": 2.5, "must-ask-in-us": 10_000_000,
                   "start-capacity": 0.18, "tip-after-us": 1_000_000, "warm-within-us": 4_000_000},
    "specifics": {"class-fetch": [0, 2, 0], "class-need": [0.75, 1.0, 1.0], "min-share": [0.75, 1.0, 1.0],
                  "incomplete-worth": [0.9, 0.9, 0.9], "parts-a-call": 1, "places": CELLS, "shards": 12,
                  "warm-keys": True, "width": 3},
    "clients": {"marks-retry": False},
}
UNIX_US = 1_700_000_000_000_000


def config_of(**changes: Any) -> bytes:
    """A configuration file's bytes."""
    table: dict[str, Any] = {
        "name": "n1", "listen": "broker:7070", "discovery": "registry:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.4, "memory_mb": 96, "sockets": 256}, "known": {"rev": 0, "all": True, "targets": []},
        "settings": copy.deepcopy(SETUP)}
    table.update(changes)
    return json.dumps(table).encode()


class Platform:
    """Nodes, one a cell, discovery, one broker."""

    def __init__(self, *, known: bool = True, registry: bool = True, seed: int | None = None,
                 limits: dict[str, Any] | None = None, setup: dict[str, Any] | None = None) -> None:
        self.loop, self.net = virtual_loop(seed)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.lines: list[str] = []
        self.events: list[dict[str, Any]] = []
        self.nodes = [self.node(n) for n in range(CELLS)]
        self.registry = Registry(self.loop, self.net.at("registry"), "registry:8500", self.nodes) if registry else None
        changes: dict[str, Any] = {"limits": limits} if limits else {}
        if setup:
            changes["settings"] = {**copy.deepcopy(SETUP), **setup}
        if known:
            changes["known"] = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        self.config = read(config_of(**changes))
        self.broker = PlatformBroker(
            self.loop, self.net.at("broker"), self.config, log=self.log,
            events=ListEvents(self.events, "n1", "broker", self.loop.clock), unix_us=lambda: UNIX_US)
        self.front = Front(self.broker, self.config.client_sockets, self.log)
        self.listener = self.net.at("broker").listen("broker:7070", self.front.serve, "client")

    def node(self, number: int, cell: int | None = None) -> Node:
        """A node of its own address."""
        uid = f"s{number}"
        return Node(self.loop, self.net.at(uid), f"{uid}:7070", uid, number if cell is None else cell,
                    events=ListEvents(self.events, uid, "host", self.loop.clock))

    def log(self, level: str, event: str, **fields: Any) -> None:
        self.lines.append(f"{level} {event} {fields}")

    def client(self, name: str = "client") -> Client:
        return Client(self.loop, self.net.at(name), "broker:7070")

    def run(self, gen: Any, errors: bool = False) -> Any:
        result = self.loop.run(self.loop.spawn(gen, "main"))
        assert errors or not self.errors, self.errors
        return result

    def wait(self, seconds: float) -> None:
        self.run(sleep(self.loop, int(seconds * 1e6)))

    def verdict(self) -> Any:
        """The auditor's, over what broker and nodes noted. The wire names parts and not attempts: each arrival is
        tied to the latest send of that part to that node, and parts are numbered as the auditor counts them."""
        order: dict[str, dict[str, str]] = {}
        sends: dict[tuple[str, str], list[dict[str, Any]]] = {}
        klass: dict[str, str] = {}
        lines: list[dict[str, Any]] = [{"t": 0, "who": "run", "ev": "run", "figures": self.figures()}]
        for seen in self.events:
            event, kind = seen, seen["ev"]
            if kind == "take":
                order[event["q"]] = {f"{event['q']}.{shard}": f"{event['q']}/{n}"
                                     for n, shard in enumerate(event["shards"])}
                klass[event["q"]] = event["klass"]
            if "p" in event:
                query = event["p"].partition(".")[0]
                names = order[query]
                if event["p"].endswith(".fetch"):
                    names.setdefault(event["p"], f"{query}/{len(names)}")
                if kind == "send":
                    sends.setdefault((event["p"], event["node"]), []).append(event)
                seq = event["seq"] if "seq" in event else sends[event["p"], event["node"]][-1]["seq"]
                event = {**event, "p": names[event["p"]], "seq": seq, "klass": klass[query], "broker": "n1"}
            elif kind == "final":
                names = order[event["q"]]
                event = {**event, "parts": [names[p] for p in event["parts"]]}
            lines.append(event)
        return judge(from_lines(lines), slack=20_000)

    def figures(self) -> dict[str, Any]:
        rules = self.config.settings
        return {
            "classes": {spec.name: {
                "limit": spec.limit_us, "aim": spec.aim_us, "repeat": spec.repeat, "dedup": spec.dedup_us,
                "need": spec.need, "floor": spec.min_share, "work": 20_000, "fetch": spec.fetch,
            } for spec in rules.classes},
            "drain_grace": rules.drain_grace_us, "fall_multiple": rules.fall_multiple,
            "fall_after": rules.tip_after_us, "free_resends": 0, "further_ratio": 0, "counted_over": 0,
            "second_copies": False, "attempts": rules.max_attempts, "open_cap": rules.open_cap, "source_offset": None,
        }


def settings_of() -> Any:
    """The start settings that the tests use."""
    return read(config_of()).settings
