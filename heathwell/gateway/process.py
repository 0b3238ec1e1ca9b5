"""One broker process as the platform starts it: configuration, signals and graceful shutdown.

:class:`Process` owns the loop, the broker, the front and the listener. Nothing imports this module but
``__main__``.
"""

from __future__ import annotations

import dataclasses
import os
import resource
import signal
import sys
import traceback
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from heathwell.eventloop import Listener, configure_garbage_collector, socket_loop
from heathwell.eventloop.clock import Clock
from heathwell.gateway.broker import TYPICAL_PROCESS_BYTES, PlatformBroker
from heathwell.gateway.config import Config, ConfigError, load
from heathwell.gateway.front import Front
from heathwell.gateway.trace import Trace

ACCEPT_AFTER_TERMINATE_US = 600_000  # time after SIGTERM during which new connections are still accepted
SHUTDOWN_CHECK_INTERVAL_US = 20_000
# By the platform's protocol SIGKILL follows SIGTERM after the longest timeout of a class, limited to
# MAX_KILL_TIMEOUT_US, plus KILL_GRACE_US.
MAX_KILL_TIMEOUT_US = 3_000_000
KILL_GRACE_US = 700_000
# The process exits this long before SIGKILL, and the last replies are given this long before its exit.
SHUTDOWN_MARGIN_US = 100_000
# Connections accepted beyond the limit of clients, so that the front can respond with 503.
LISTEN_BACKLOG_MARGIN = 8
MAX_LINES_PER_SECOND = 20
STATM_PATH = Path("/proc/self/statm")  # sizes of the process in pages; the second one is resident


class Log:
    """Writes at most ``MAX_LINES_PER_SECOND`` lines to standard error, and counts the dropped ones."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def __call__(self, level: str, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Write one line; debug lines are not written."""
        if level == "debug":
            return
        now_us = self._clock.now()
        if now_us // 1_000_000 != self._second:
            dropped = self._dropped
            self._dropped = 0
            self._second = now_us // 1_000_000
            self._lines = 0
            if dropped:
                self._write(f"{now_us / 1e6:.3f} {self._name} warning log lines dropped={dropped}")
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        details = "".join(f" {name}={str(value)[:200]!r}" for name, value in fields.items())
        self._write(f"{now_us / 1e6:.3f} {self._name} {level} {event}{details}")

    @staticmethod
    def _write(line: str) -> None:
        sys.stderr.write(line + "\n")


class Process:
    """The running broker."""

    def __init__(self, config: Config, environment: Mapping[str, str]) -> None:
        self.config = config
        self.environment = environment
        self.loop, self.net, self.poller = socket_loop()
        self.log = Log(config.name, self.loop.clock)
        self.loop.on_error = self._on_task_error
        self.broker = PlatformBroker(
            self.loop, self.net, config, log=self.log, process_bytes=resident_bytes() or TYPICAL_PROCESS_BYTES
        )
        self.max_clients = self.broker.client_limits.connections
        self.front = Front(self.broker, self.max_clients, config.max_kept_alive_clients, self.log)
        self.listener: Listener | None = None
        self._terminated_at_us: int | None = None
        self._shutdown_by_us = 0
        if environment.get("HEATHWELL_TRACE"):
            Trace(self.broker, self.front)

    def run(self, pending: list[int]) -> int:
        """Serve until shut down by SIGTERM; ``pending`` are earlier signals, which are handled first."""
        handlers = {signal.SIGTERM: self.terminate, signal.SIGINT: self.terminate, signal.SIGHUP: self.reload}
        for number, handler in handlers.items():
            self.poller.on_signal(number, handler)
        self.listener = self.net.listen(
            self.config.listen, self.front.serve, "client", self.max_clients + LISTEN_BACKLOG_MARGIN
        )
        for earlier in pending:
            handlers[signal.Signals(earlier)]()
        configure_garbage_collector()
        self.log(
            "info",
            "ready",
            listen=self.listener.address,
            pid=os.getpid(),
            sockets=self.config.sockets,
            memory_mb=self.config.memory_mb,
            max_clients=self.max_clients,
            lists="asked" if self.config.settings.poll_mode else "pushed",
            watch_us=self.broker.watch.hold_us,
            grace_us=self.config.settings.drain_grace_us,
        )
        self.loop.run()
        return 0

    def terminate(self) -> None:
        """Start a graceful shutdown: accept connections for a while, then finish the open queries.

        A second call has no effect.
        """
        if self._terminated_at_us is not None:
            return
        self.log("info", "terminating", held=self.broker.open_count)
        self._terminated_at_us = self.loop.now()
        longest_timeout_us = max(spec.timeout_us for spec in self.config.settings.classes)
        self._shutdown_by_us = (
            self._terminated_at_us
            + min(longest_timeout_us, MAX_KILL_TIMEOUT_US)
            + KILL_GRACE_US
            - SHUTDOWN_MARGIN_US
        )
        self.front.drain()
        self.broker.start_shutdown(self._shutdown_by_us - SHUTDOWN_MARGIN_US)
        self.loop.call_at(self._terminated_at_us + ACCEPT_AFTER_TERMINATE_US, self._stop_accepting)

    def _stop_accepting(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.broker.drain()
        # Connections accepted by the close of the listener are served first: their tasks have not begun yet.
        self.loop.call_at(self.loop.now() + SHUTDOWN_CHECK_INTERVAL_US, self._check_shutdown)

    def _check_shutdown(self) -> None:
        """Close idle connections, and stop once none is left or the time for the shutdown has passed."""
        self.front.close_idle()
        # Without a connection there is no open query either.
        if self.loop.now() >= self._shutdown_by_us or not self.front.clients:
            self.log("info", "ended", open=len(self.front.clients))
            self.broker.close()
            self.loop.stop()
        else:
            self.loop.call_at(self.loop.now() + SHUTDOWN_CHECK_INTERVAL_US, self._check_shutdown)

    def reload(self) -> None:
        """Read and check the complete configuration again; if it is valid, use its address of discovery."""
        try:
            config = load(self.environment)
        except ConfigError as problem:
            self.log("error", "configuration refused, the previous one still applies", why=str(problem))
            return
        moved = config.discovery != self.config.discovery
        # All other settings remain those of the start, even if the file differs.
        effective = dataclasses.replace(self.config, discovery=config.discovery, known=config.known)
        deferred = [
            field.name
            for field in dataclasses.fields(config)
            if getattr(config, field.name) != getattr(effective, field.name) and field.name != "seed"
        ]
        self.log(
            "info",
            "configuration read",
            discovery=config.discovery,
            moved=moved,
            **({"from_the_next_start": ",".join(deferred)} if deferred else {}),
        )
        self.config = dataclasses.replace(self.config, discovery=config.discovery)
        if moved:
            self.broker.watch.move(config.discovery)

    def _on_task_error(self, task: str, error: BaseException) -> None:
        self.log(
            "error",
            "task ended by an error",
            task=task,
            why="".join(traceback.format_exception(error))[-600:],
        )


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 where the system doesn't tell it."""
    try:
        pages = int(STATM_PATH.read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize()


def raise_limit(sockets: int) -> None:
    """Raise the soft limit of open descriptors to ``sockets``, or to the hard limit if that is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))


def main(pending: list[int]) -> int:
    """Run a broker process and return its exit code.

    The code is 0 after SIGTERM, 2 for an invalid configuration, and 3 if the address can't be listened on.
    """
    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"heathwell: {problem}", file=sys.stderr)
        return 2
    raise_limit(config.sockets)
    try:
        return Process(config, os.environ).run(pending)
    except OSError as problem:
        print(f"heathwell: listen: {config.listen}: {problem}", file=sys.stderr)
        return 3
