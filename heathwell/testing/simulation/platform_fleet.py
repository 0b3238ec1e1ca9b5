"""The platform on loopback: stand-in nodes and discovery in this process, one broker in its own."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Final, TypeVar

from heathwell.eventloop import Coro, sleep, socket_loop
from heathwell.testing.simulation.errors import SimulationError
from heathwell.testing.simulation.platform_config import (
    REPLICA_GROUPS,
    JsonObject,
    encode_config,
    platform_settings,
)
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

PROJECT_ROOT: Final = Path(__file__).resolve().parents[3]
BROKER_PROGRAM: Final = ("-m", "heathwell.gateway")
DISCOVERIES: Final = 2
"""The second one is there to be moved to."""
UNREACHABLE_ADDRESS: Final = "127.0.0.1:1"
POLL_INTERVAL_US: Final = 20_000
MAX_POLLS: Final = 3_000
LISTEN_ADDRESS: Final = re.compile(r"listen='([^']+)'")

Result = TypeVar("Result")


class PlatformFleetError(SimulationError):
    """The broker did not do in time what was awaited; ``log`` is its log until then."""

    def __init__(self, awaited: str, log: str) -> None:
        super().__init__(f"{awaited} did not happen: {log}")
        self.awaited = awaited
        self.log = log


class PlatformFleet:
    """A broker's process with its stand-ins; its configuration and its log are files in ``folder``.

    ``program`` are the interpreter's arguments, for tests that observe the broker's calls; ``settings`` and
    ``limits`` are the platform's objects.
    """

    def __init__(
        self,
        folder: Path,
        *,
        has_discovery: bool = True,
        program: tuple[str, ...] = BROKER_PROGRAM,
        settings: JsonObject | None = None,
        limits: JsonObject | None = None,
        wait_until_ready: bool = True,
    ) -> None:
        runtime = socket_loop()
        self.loop = runtime.loop
        self.net = runtime.net
        self.nodes = [
            PlatformNode(self.loop, self.net, "127.0.0.1:0", f"s{number}", number)
            for number in range(REPLICA_GROUPS)
        ]
        self.discoveries = [
            PlatformDiscovery(self.loop, self.net, "127.0.0.1:0", self.nodes) for _ in range(DISCOVERIES)
        ]
        self.settings = settings or platform_settings()
        self.limits = limits
        self.config_path = folder / "config.json"
        self.log_path = folder / "log"
        self.write_config(self.discoveries[0].address if has_discovery else UNREACHABLE_ADDRESS)
        self.process = self._start_broker(program)
        self.address = ""
        if wait_until_ready:
            self.run(self._read_address())

    def _start_broker(self, program: tuple[str, ...]) -> subprocess.Popen[bytes]:
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONDONTWRITEBYTECODE": "1",
            "GW_CONFIG": str(self.config_path),
        }
        with self.log_path.open("wb") as log:
            return subprocess.Popen([sys.executable, *program], cwd=PROJECT_ROOT, stderr=log, env=environment)

    def write_config(self, discovery_address: str) -> None:
        """Write the configuration, with discovery at this address."""
        known = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        limits = {"limits": self.limits} if self.limits else {}
        self.config_path.write_bytes(
            encode_config(
                listen="127.0.0.1:0",
                discovery=discovery_address,
                known=known,
                settings=self.settings,
                **limits,
            )
        )

    def _read_address(self) -> Coro[None]:
        yield from self.wait_for_log("ready")
        match = LISTEN_ADDRESS.search(self._read_log())
        if match is None:
            raise PlatformFleetError("a line with the broker's address", self._read_log())
        self.address = match[1]

    def _read_log(self) -> str:
        return self.log_path.read_text()

    def wait_for_log(self, text: str) -> Coro[None]:
        """Wait until the broker's log contains a text.

        Raise :class:`PlatformFleetError` where the broker exits before, or after a minute.
        """
        for _ in range(MAX_POLLS):
            if text in self._read_log():
                return
            if self.process.poll() is not None:
                break
            yield from sleep(self.loop, POLL_INTERVAL_US)
        raise PlatformFleetError(f"a log line with {text!r}", self._read_log())

    def wait_for_exit(self) -> Coro[int]:
        """Wait for the broker's exit; return its code. Raise :class:`PlatformFleetError` after a minute."""
        for _ in range(MAX_POLLS):
            if (exit_code := self.process.poll()) is not None:
                return exit_code
            yield from sleep(self.loop, POLL_INTERVAL_US)
        raise PlatformFleetError("the broker's exit", self._read_log())

    def client(self) -> PlatformClient:
        """Return a client of the broker."""
        return PlatformClient(self.loop, self.net, self.address)

    def run(self, coroutine: Coro[Result]) -> Result | None:
        """Run a coroutine to its end; return its result, None where the loop was stopped."""
        return self.loop.run(self.loop.spawn(coroutine, "main"))

    def close(self) -> None:
        """Kill the broker if it runs, and close all stand-ins."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.loop.shutdown()
