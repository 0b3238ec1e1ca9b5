"""State and services that the components of one leaf share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from heathwell.eventloop import Loop
from heathwell.observability.event_log import EventLog
from heathwell.settings import ServiceSettings
from heathwell.testing.standins.leaf_capacity import LeafCapacity
from heathwell.testing.standins.leaf_faults import ActiveFaults, LeafFault


@dataclass(slots=True)
class LeafContext:
    """The loop, settings, event log, random numbers and state of one leaf.

    ``address`` is replaced by the actual one when the leaf listens.
    """

    loop: Loop
    settings: ServiceSettings
    events: EventLog
    random: random.Random
    faults: ActiveFaults
    capacity: LeafCapacity
    address: str
    draining: bool = False

    @classmethod
    def create(
        cls,
        loop: Loop,
        settings: ServiceSettings,
        events: EventLog,
        seed: int,
        speed: float | None,
        address: str,
    ) -> LeafContext:
        """Return the context of a leaf that listens at ``address``.

        Where ``speed`` is None, the settings' speed applies.
        """
        capacity = LeafCapacity(loop, settings, speed or settings.leaf.speed)
        return cls(loop, settings, events, random.Random(seed), ActiveFaults(loop), capacity, address)

    @property
    def is_responsive(self) -> bool:
        """Whether the leaf sends results and pongs now: neither overloaded nor silent by a fault."""
        return not self.capacity.is_overloaded and not self.faults.is_active(LeafFault.SILENT)
