"""A stand-in for the source of all data: a log a shard with positions and times, its clock, and hosts' lag
behind it.

The log is a rule rather than a file: at source time T a shard's log stands at ``T * rate``. The source's
clock runs with the machine's, at an offset of its own, so that nothing works that takes one clock for
another.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream
from heathwell.settings import ServiceSettings

OFFSET_US = 7_777_777_777_000  # of the source's clock before the machine's
CATCH_UP = 10.0  # times real time at which a host that was set back applies the log


class Truth:
    """What the source knows, and a checker must."""

    def __init__(self, rate: float) -> None:
        self.rate = rate

    @staticmethod
    def now(machine_us: int) -> int:
        """The source's clock at a time of the machine's."""
        return machine_us + OFFSET_US

    def position(self, source_us: int) -> int:
        """Where each shard's log stands at a source time."""
        return int(source_us * self.rate / 1e6)


@dataclass(slots=True)
class Feed:
    """How far one host has applied the log. It never looks at its own clock to say so."""

    truth: Truth
    usual_lag: int
    random: random.Random
    applied_us: int = 0
    extra: int = 0
    extra_until: int = 0
    stuck_until: int = 0
    behind: float = 0.0
    looked: int = 0
    lie: int = 0
    lie_until: int = 0

    def advance(self, machine_us: int) -> int:
        """Apply what the host would have applied by now; returns the source time up to which all is in."""
        passed = machine_us - self.looked if self.looked else 0
        self.looked = machine_us
        if machine_us < self.stuck_until:
            return self.applied_us
        self.behind = max(0.0, self.behind - passed * (CATCH_UP - 1))
        lag = self.usual_lag * self.random.uniform(0.5, 1.5) + self.behind
        if machine_us < self.extra_until:
            lag += self.extra
        # The log is applied in order: a host never falls back by lagging, only by being restored.
        self.applied_us = max(self.applied_us, self.truth.now(machine_us) - int(lag))
        return self.applied_us

    def trouble(self, kind: str, machine_us: int, value_us: int, span_us: int) -> None:
        """``lag``, ``stuck``, ``back`` (restored from an older copy) or ``lie`` (claims more than it has)."""
        until = machine_us + span_us
        if kind == "lag":
            self.extra, self.extra_until = value_us, until
        elif kind == "stuck":
            self.stuck_until = until
        elif kind == "back":
            self.applied_us -= value_us
            self.behind = float(value_us)
        elif kind == "lie":
            self.lie, self.lie_until = value_us, until

    def claimed(self, machine_us: int) -> int:
        """What the host says it has."""
        return self.applied_us + (self.lie if machine_us < self.lie_until else 0)


class Source:
    """Serves the source's clock."""

    def __init__(
        self, loop: Loop, net: Net, service_settings: ServiceSettings, address: str | None = None
    ) -> None:
        self.loop, self.net = loop, net
        self.address = address or service_settings.freshness.source
        self.truth = Truth(service_settings.freshness.rate)
        self.listener: Listener | None = None

    def start(self) -> str:
        """Open the door; returns the address."""
        self.listener = self.net.listen(self.address, self._serve, "source")
        self.address = self.listener.address
        return self.address

    def _serve(self, stream: Stream) -> Coro[None]:
        def heard(message: frames.AnyMessage) -> None:
            if isinstance(message, frames.ClockRequest):
                stream.write(
                    frames.encode(frames.ClockReply(message.number, self.truth.now(self.loop.now())))
                )

        return inner_protocol.serve(stream, "source", "source", heard)
