"""The faults of a link, and the condition of each direction: delay, bandwidth, packet loss, partition."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from heathwell.codec import frames
from heathwell.testing.standins.fault_commands import parse_fault_kind
from heathwell.testing.standins.units import US_PER_SECOND

SEGMENT_BYTES: Final = 1_448
"""The payload of a full TCP packet on Ethernet."""
RETRANSMISSION_TIMEOUT_US: Final = 200_000
"""Linux's minimum; the timeout doubles with each further loss of the same packet."""
CONNECT_RETRANSMISSION_TIMEOUT_US: Final = 1_000_000
"""The initial timeout for a lost SYN or its acknowledgement (RFC 6298)."""
MAX_RETRANSMISSION_DELAY_US: Final = 60_000_000
MIN_FLAP_INTERVAL_US: Final = 100_000


class LinkFault(StrEnum):
    """Kinds of faults, as fault commands name them on the wire."""

    DELAY = "delay"
    LIMIT_RATE = "rate"
    LOSE_PACKETS = "loss"
    CUT = "cut"
    CUT_ONE_DIRECTION = "oneway"
    BLOCK_CONNECTS = "refuse"
    RESET_CONNECTIONS = "reset"
    FLAP = "flap"
    CLEAR = "heal"


class Direction(StrEnum):
    """A direction of the link, as fault commands name it on the wire."""

    TO_TARGET = "out"
    FROM_TARGET = "back"


@dataclass(frozen=True, slots=True)
class LinkFaultCommand:
    """A fault to inject, and when it ends; the unit of ``parameter`` depends on the fault."""

    fault: LinkFault
    parameter: float
    ends_at_us: int
    direction: Direction

    @classmethod
    def from_frame(cls, frame: frames.FaultCommand, now_us: int) -> LinkFaultCommand:
        """Return the command of a frame received now. Raise :class:`UnknownFaultError`."""
        fault = parse_fault_kind(LinkFault, frame.kind)
        direction = Direction.TO_TARGET if frame.text == Direction.TO_TARGET else Direction.FROM_TARGET
        return cls(fault, frame.value, now_us + frame.span_us, direction)

    @property
    def delay_us(self) -> int:
        """The one-way delay of :attr:`LinkFault.DELAY`."""
        return int(self.parameter * US_PER_SECOND)

    @property
    def bytes_per_second(self) -> float:
        """The bandwidth of :attr:`LinkFault.LIMIT_RATE`."""
        return self.parameter

    @property
    def loss_ratio(self) -> float:
        """The fraction of packets lost by :attr:`LinkFault.LOSE_PACKETS`."""
        return self.parameter

    @property
    def flap_interval_us(self) -> int:
        """How long :attr:`LinkFault.FLAP` cuts the link, and how long it is up between two cuts."""
        return max(int(self.parameter * US_PER_SECOND), MIN_FLAP_INTERVAL_US)


@dataclass(slots=True)
class LinkCondition:
    """The condition of one direction of a link."""

    delay_us: int = 0
    jitter_ratio: float = 0.1
    bytes_per_second: float = 0.0
    """The bandwidth limit; 0 for none."""
    loss_ratio: float = 0.0
    cut_until_us: int = 0

    def apply(self, command: LinkFaultCommand) -> None:
        """Set the delay, the bandwidth limit or the loss ratio to the command's."""
        match command.fault:
            case LinkFault.DELAY:
                self.delay_us = command.delay_us
            case LinkFault.LIMIT_RATE:
                self.bytes_per_second = command.bytes_per_second
            case LinkFault.LOSE_PACKETS:
                self.loss_ratio = command.loss_ratio

    def reset(self, fault: LinkFault) -> None:
        """Remove the delay, the bandwidth limit or the loss, by the kind of fault."""
        match fault:
            case LinkFault.DELAY:
                self.delay_us = 0
            case LinkFault.LIMIT_RATE:
                self.bytes_per_second = 0.0
            case LinkFault.LOSE_PACKETS:
                self.loss_ratio = 0.0

    def transmission_us(self, size_bytes: int) -> float:
        """Return the time (us) to transmit so many bytes at the bandwidth limit; 0 without a limit."""
        return size_bytes / self.bytes_per_second * US_PER_SECOND if self.bytes_per_second else 0.0

    def propagation_us(self, size_bytes: int, draws: random.Random) -> float:
        """Return the delay (us) of a write, with jitter and the retransmissions of lost packets."""
        delay_us = self.delay_us * (1 + draws.uniform(-self.jitter_ratio, self.jitter_ratio))
        if self.loss_ratio:
            delay_us += retransmission_delay_us(size_bytes, self.loss_ratio, draws)
        return delay_us


def retransmission_delay_us(
    size_bytes: int,
    loss_ratio: float,
    draws: random.Random,
    first_timeout_us: int = RETRANSMISSION_TIMEOUT_US,
) -> int:
    """Return the time (us) that lost packets of a write add to its delivery.

    Each loss costs a retransmission timeout rather than a fast retransmission, as no later packets follow a
    short message whose acknowledgements would trigger one. The lost packets of a write are retransmitted
    together, so that they wait for one timeout.
    """
    delay_us = 0
    timeout_us = first_timeout_us
    packets = -(-size_bytes // SEGMENT_BYTES)
    while any(draws.random() < loss_ratio for _ in range(packets)):
        if delay_us >= MAX_RETRANSMISSION_DELAY_US:
            break
        delay_us += timeout_us
        timeout_us *= 2
        packets = 1
    return delay_us
