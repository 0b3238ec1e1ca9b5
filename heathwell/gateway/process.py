"""One broker as the platform starts it: configuration, signals, and an orderly end."""

from __future__ import annotations

import dataclasses
import os
import resource
import signal
import sys
import traceback
from collections.abc import Mapping
from typing import Any

from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import Config, ConfigError, load
from heathwell.gateway.front import Front
from heathwell.gateway.trace import Trace
from heathwell.kernel import Listener, calm_collector, socket_loop

TAKE_US = 600_000  # after SIGTERM, for which clients still arrive
END_LOOK_US = 20_000
# The page's: no SIGKILL sooner than the longest deadline, counted as this where it is longer, and so long
# after it.
KILL_LONGEST_US, KILL_AFTER_US = 3_000_000, 700_000
END_MARGIN_US = 100_000  # of that time: answers leave, and the process ends by itself
LINES_A_SECOND = 20


class Log:
    """Lines on standard error, a bounded number a second."""

    def __init__(self, name: str, clock: Any) -> None:
        self._name, self._clock = name, clock
        self._second = self._lines = self._dropped = 0

    def __call__(self, level: str, event: str, **fields: Any) -> None:
        """One line; debug lines are not written."""
        if level == "debug":
            return
        now = self._clock.now()
        if now // 1_000_000 != self._second:
            dropped, self._dropped = self._dropped, 0
            self._second, self._lines = now // 1_000_000, 0
            if dropped:
                self._write(f"{now / 1e6:.3f} {self._name} warning log lines dropped={dropped}")
        self._lines += 1
        if self._lines > LINES_A_SECOND:
            self._dropped += 1
            return
        words = "".join(f" {name}={str(value)[:200]!r}" for name, value in fields.items())
        self._write(f"{now / 1e6:.3f} {self._name} {level} {event}{words}")

    @staticmethod
    def _write(line: str) -> None:
        sys.stderr.write(line + "\n")


class Process:
    """The running broker."""

    def __init__(self, config: Config, environment: Mapping[str, str]) -> None:
        self.config, self.environment = config, environment
        self.loop, self.net, self.poller = socket_loop()
        self.log = Log(config.name, self.loop.clock)
        self.loop.on_error = self._error
        self.broker = PlatformBroker(self.loop, self.net, config, log=self.log)
        self.front = Front(self.broker, config.client_sockets, config.kept_clients, self.log)
        self.listener: Listener | None = None
        self._ending_at: int | None = None
        self._end_by = 0
        if environment.get("HEATHWELL_TRACE"):
            Trace(self.broker, self.front)

    def run(self, pending: list[int]) -> int:
        """Serve until SIGTERM has been carried out; ``pending`` are signals that came before."""
        calls = {signal.SIGTERM: self.terminate, signal.SIGINT: self.terminate, signal.SIGHUP: self.reload}
        for number, call in calls.items():
            self.poller.on_signal(number, call)
        self.listener = self.net.listen(
            self.config.listen, self.front.serve, "client", self.config.client_sockets + 8
        )
        for earlier in pending:
            calls[signal.Signals(earlier)]()
        calm_collector()
        self.log(
            "info",
            "ready",
            listen=self.listener.address,
            pid=os.getpid(),
            sockets=self.config.sockets,
            lists="asked" if self.config.settings.poll_mode else "pushed",
            watch_us=self.broker.watch.hold_us,
            grace_us=self.config.settings.drain_grace_us,
        )
        self.loop.run()
        return 0

    def terminate(self) -> None:
        """Clients still come for a while and are served; then what is held is finished. A second call is
        nothing.
        """
        if self._ending_at is not None:
            return
        self.log("info", "terminating", held=self.broker.open_count)
        self._ending_at = self.loop.now()
        longest = max(spec.timeout_us for spec in self.config.settings.classes)
        self._end_by = self._ending_at + min(longest, KILL_LONGEST_US) + KILL_AFTER_US - END_MARGIN_US
        self.front.drain()
        self.broker.start_shutdown(self._end_by - END_MARGIN_US)
        self.loop.call_at(self._ending_at + TAKE_US, self._take_no_more)

    def _take_no_more(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.broker.drain()
        # What connected in the last moment is served first: its task has not begun yet.
        self.loop.call_at(self.loop.now() + END_LOOK_US, self._look_for_end)

    def _look_for_end(self) -> None:
        """Idle clients are let go; the end is when no client waits for anything."""
        self.front.let_go()
        if (
            self.loop.now() >= self._end_by or not self.front.clients
        ):  # an open query has its client among them
            self.log("info", "ended", open=len(self.front.clients))
            self.broker.close()
            self.loop.stop()
        else:
            self.loop.call_at(self.loop.now() + END_LOOK_US, self._look_for_end)

    def reload(self) -> None:
        """Read the configuration anew, whole; where it is sound, discovery is met where it says."""
        try:
            config = load(self.environment)
        except ConfigError as problem:
            self.log("error", "configuration refused, the old one stays", why=str(problem))
            return
        moved = config.discovery != self.config.discovery
        # All else stays as it was at the start, in every part of the program, also where the file says
        # otherwise.
        kept = dataclasses.replace(self.config, discovery=config.discovery, known=config.known)
        later = [
            field.name
            for field in dataclasses.fields(config)
            if getattr(config, field.name) != getattr(kept, field.name) and field.name != "seed"
        ]
        self.log(
            "info",
            "configuration read",
            discovery=config.discovery,
            moved=moved,
            **({"from_the_next_start": ",".join(later)} if later else {}),
        )
        self.config = dataclasses.replace(self.config, discovery=config.discovery)
        if moved:
            self.broker.watch.move(config.discovery)

    def _error(self, task: str, error: BaseException) -> None:
        self.log(
            "error",
            "task ended by an error",
            task=task,
            why="".join(traceback.format_exception(error))[-600:],
        )


def raise_limit(sockets: int) -> None:
    """Let this process open as many descriptors as it was told, where its soft limit is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def main(pending: list[int]) -> int:
    """Exit code 0 after SIGTERM, 2 for a configuration that can't be used, 3 for an address that can't be
    had.
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
