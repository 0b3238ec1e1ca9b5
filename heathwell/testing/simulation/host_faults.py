"""Faults that scenarios inject into simulated hosts at random times."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from heathwell.codec import frames
from heathwell.testing.standins.leaf_faults import LeafFault


@dataclass(frozen=True, slots=True)
class HostFault:
    """A fault of one host; the meaning of ``value`` depends on the kind, as in :class:`LeafFault`."""

    kind: LeafFault
    value: float = 0.0
    duration_us: int = 0

    def to_command(self, query_class: str = "") -> frames.FaultCommand:
        """Return the command that injects it; faults of a single query class apply to ``query_class``."""
        return frames.FaultCommand(self.kind.value, self.value, self.duration_us, query_class)


HOST_FAULTS: Final = (
    HostFault(LeafFault.SILENT, duration_us=6_000_000),
    HostFault(LeafFault.PARTIAL_REPLY, duration_us=4_000_000),
    HostFault(LeafFault.SLOW, value=6.0, duration_us=5_000_000),
    HostFault(LeafFault.LOST_REPLIES, value=0.4, duration_us=5_000_000),
    HostFault(LeafFault.RESET_CONNECTIONS),
    HostFault(LeafFault.REJECT, duration_us=3_000_000),
    HostFault(LeafFault.FAIL_QUERY_CLASS, duration_us=5_000_000),
    HostFault(LeafFault.STALL, duration_us=500_000),
    HostFault(LeafFault.DRAIN),
)
LAG_FAULTS: Final = (
    HostFault(LeafFault.LAG, value=4.0, duration_us=6_000_000),
    HostFault(LeafFault.STUCK, duration_us=6_000_000),
    HostFault(LeafFault.RESTORE_OLD_COPY, value=20.0),
    HostFault(LeafFault.LAG, value=0.5, duration_us=4_000_000),
)
SEARCH_FAULTS: Final = (*HOST_FAULTS, HostFault(LeafFault.MALFORMED_RESULTS, duration_us=4_000_000))
