"""Faults *between* processes: each way from one process to another goes through a relay of its own, in a
thread here.

A door is opened before its target runs, at a port that the kernel chooses; where the target is, is told once
it serves.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from heathwell.codec import frames
from heathwell.eventloop import Loop, SocketNet, socket_loop
from heathwell.testing.standins.errors import FaultInjectionError
from heathwell.testing.standins.relay import Relay

WAIT_SECONDS = 10.0


class FaultLinkError(Exception):
    """An order that no wire could take: a fault of the harness, never a pass."""


class FaultLinks:
    """All ways of one fleet. Used from the supervisor's thread."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self._relays: dict[tuple[str, str], Relay] = {}
        self._where: dict[str, str] = {}
        self._loop: Loop | None = None
        self._net: SocketNet | None = None
        self._thread = threading.Thread(target=self._run, name="wires", daemon=True)
        self._up = threading.Event()
        self._thread.start()
        self._up.wait(WAIT_SECONDS)

    def _run(self) -> None:
        loop, net, _ = socket_loop()
        self._loop, self._net = loop, net
        loop.call_soon(self._up.set)
        loop.run()
        loop.shutdown()

    def _call(self, call: Callable[[], Any]) -> Any:
        """Make a call in the wires' thread and wait for its result; raises what it raises."""
        done = threading.Event()
        found: list[Any] = []
        wrong: list[Exception] = []

        def made() -> None:
            try:
                found.append(call())
            except Exception as problem:
                wrong.append(problem)
            done.set()

        if self._loop is None:
            raise FaultLinkError("the wires are not up")
        self._loop.call_threadsafe(made)
        if not done.wait(WAIT_SECONDS):
            raise FaultLinkError("the wires' thread does not answer")
        if wrong:
            raise wrong[0]
        return found[0]

    def door(self, source: str, target: str) -> str:
        """The address by which one process reaches another."""
        relay = self._relays.get((source, target))
        if relay is None:

            def opened() -> Relay:
                assert self._loop is not None and self._net is not None
                made = Relay(
                    self._loop,
                    self._net,
                    [target],
                    self.seed * 10_007 + len(self._relays),
                    lambda name: self._where.get(name, ""),
                )
                made.open_listeners()
                return made

            relay = self._relays[source, target] = self._call(opened)
        return relay.routes[target]

    def point(self, target: str, address: str) -> None:
        """Where a process serves now."""
        self._where[target] = address

    def between(self, sources: Iterable[str], targets: Iterable[str]) -> list[tuple[str, str]]:
        """The ways that there are from any of these to any of those, whoever connects: ``(connector,
        listener)``.
        """
        ones, others = set(sources), set(targets)
        return [
            way
            for way in self._relays
            if (way[0] in ones and way[1] in others) or (way[0] in others and way[1] in ones)
        ]

    def order(
        self, sources: Iterable[str], targets: Iterable[str], kind: str, span_us: int, value: float = 0.0
    ) -> int:
        """Make trouble on all ways between two groups; ``cut-out`` and ``cut-back`` are what the first group
        sends and hears. Returns how many ways there are; raises :class:`FaultLinkError` where there is none,
        or one that refuses.
        """
        ones = set(sources)
        ways = self.between(ones, targets)
        if not ways:
            raise FaultLinkError(f"{kind}: no way between {sorted(ones)} and {sorted(set(targets))}")
        for source, target in ways:
            control = frames.FaultCommand(kind, value, span_us)
            if kind in ("cut-out", "cut-back"):
                # Of a way that the second group opened, what the first sends is what comes back.
                out = (kind == "cut-out") == (source in ones)
                control = frames.FaultCommand("oneway", value, span_us, "out" if out else "back")
            try:
                self._call(partial(self._relays[source, target].order, control))
            except FaultInjectionError as error:
                raise FaultLinkError(str(error)) from error
        return len(ways)

    def close(self) -> None:
        """End the thread, and with it all connections."""
        if self._loop is not None:
            self._loop.call_threadsafe(self._loop.stop)
            self._thread.join(WAIT_SECONDS)
