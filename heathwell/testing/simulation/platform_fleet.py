"""The platform on loopback: stand-in nodes and discovery in this loop, one broker in a process of its own."""

from __future__ import annotations

import copy
import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from heathwell.eventloop import Coro, Loop, sleep, socket_loop
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

CELLS = 6
LOOKS_MOST = 3_000  # at the log, fifty a second, for a word or the end
ROOT = Path(__file__).resolve().parents[3]
SETUP: dict[str, Any] = {
    "az": 0,
    "zones": ["a", "b"],
    "siblings": 1,
    "tick-us": 5000,
    "registry-mode": "ask",
    "value-by": "work",
    "classes": [
        {
            "name": "price-search",
            "objective-us": 250_000,
            "hard-limit-us": 600_000,
            "idempotency": "read_like",
            "worth": 2.0,
            "late-value": 0.3,
            "dedup-window-us": 5_000_000,
        },
        {
            "name": "day-report",
            "objective-us": 300_000,
            "hard-limit-us": 900_000,
            "idempotency": "read_like",
            "worth": 1.0,
            "late-value": 0.1,
            "dedup-window-us": 5_000_000,
        },
        {
            "name": "sale-record",
            "objective-us": 200_000,
            "hard-limit-us": 500_000,
            "idempotency": "idempotency_key",
            "worth": 1.0,
            "late-value": 0.1,
            "dedup-window-us": 200_000,
        },
    ],
    "ceilings": {
        "cancelling": True,
        "conn-idle-us": 3_000_000,
        "connect-timeout-us": 250_000,
        "max-attempts": 4,
        "max-retry-after-us": 500_000,
        "open-cap": 400,
        "probing": True,
        "retry-after": True,
        "second-copies": False,
        "streams-per-conn": 8,
    },
    "invariants": {
        "drain-grace-us": 1_000_000,
        "fall-multiple": 2.5,
        "must-ask-in-us": 10_000_000,
        "start-capacity": 0.18,
        "tip-after-us": 1_000_000,
        "warm-within-us": 4_000_000,
    },
    "specifics": {
        "class-fetch": [0, 2, 0],
        "class-need": [0.75, 1.0, 1.0],
        "min-share": [0.75, 1.0, 1.0],
        "incomplete-worth": [0.9, 0.9, 0.9],
        "parts-a-call": 1,
        "places": CELLS,
        "shards": 12,
        "warm-keys": True,
        "width": 3,
    },
    "clients": {"marks-retry": False},
}


class PlatformError(Exception):
    """The broker did not start, or does not answer."""


def setup_of(*, replica_groups: int, shards: int, brokers: int) -> dict[str, Any]:
    """The platform's settings object for a deployment of another size."""
    setup: dict[str, Any] = copy.deepcopy(SETUP)
    setup["specifics"].update(places=replica_groups, shards=shards)
    setup["siblings"] = brokers
    return setup


def config_of(**changes: Any) -> bytes:
    """A configuration file's bytes."""
    table: dict[str, Any] = {
        "name": "n1",
        "listen": "broker:7070",
        "discovery": "registry:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.4, "memory_mb": 96, "sockets": 256},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": copy.deepcopy(SETUP),
    }
    table.update(changes)
    return json.dumps(table).encode()


class PlatformFleet:
    """A broker's process with its stand-ins; the configuration and the log are files in ``folder``.
    ``program`` are the interpreter's arguments, for a test that watches what the broker calls; ``settings``
    the platform's object.
    """

    def __init__(
        self,
        folder: Path,
        registry: bool = True,
        program: tuple[str, ...] = ("-m", "heathwell.gateway"),
        settings: dict[str, Any] | None = None,
        ready: bool = True,
    ) -> None:
        self.loop: Loop
        self.loop, self.net, _ = socket_loop()
        self.nodes = [PlatformNode(self.loop, self.net, "127.0.0.1:0", f"s{n}", n) for n in range(CELLS)]
        self.registries = [
            PlatformDiscovery(self.loop, self.net, "127.0.0.1:0", self.nodes) for _ in range(2)
        ]
        self.settings = settings or SETUP
        self.path, self.lines = folder / "config.json", folder / "log"
        self.write(self.registries[0].address if registry else "127.0.0.1:1")
        with self.lines.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *program],
                cwd=ROOT,
                stderr=log,
                env={"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1", "GW_CONFIG": str(self.path)},
            )
        self.address = ""
        if ready:
            self.run(self._ready())

    def write(self, discovery: str) -> None:
        """The configuration, with discovery met there."""
        known = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        self.path.write_bytes(
            config_of(
                listen="127.0.0.1:0", discovery=discovery, known=known, settings=copy.deepcopy(self.settings)
            )
        )

    def _ready(self) -> Coro[None]:
        yield from self.says("ready")
        found = re.search(r"listen='([^']+)'", self.lines.read_text())
        if found is None:
            raise PlatformError("the broker names no address")
        self.address = found[1]

    def says(self, word: str) -> Coro[None]:
        """Wait until the broker's log holds a word; raises :class:`PlatformError` where it ends, or never
        says it.
        """
        for _ in range(LOOKS_MOST):
            if word in self.lines.read_text():
                return
            if self.process.poll() is not None:
                break
            yield from sleep(self.loop, 20_000)
        raise PlatformError(f"{word!r} was not said: {self.lines.read_text()}")

    def ended(self) -> Coro[int]:
        """Wait for the broker's end; its exit code. Raises :class:`PlatformError` where it goes on."""
        for _ in range(LOOKS_MOST):
            if (code := self.process.poll()) is not None:
                return code
            yield from sleep(self.loop, 20_000)
        raise PlatformError(f"it does not end: {self.lines.read_text()}")

    def client(self) -> PlatformClient:
        """A client of the broker."""
        return PlatformClient(self.loop, self.net, self.address)

    def run(self, gen: Coro[Any]) -> Any:
        """Run a coroutine to its end."""
        return self.loop.run(self.loop.spawn(gen, "main"))

    def close(self) -> None:
        """End what runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.loop.shutdown()
