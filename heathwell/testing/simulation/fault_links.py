"""Links with faults between the processes of a fleet.

A link leads from one process to another through a :class:`Relay` of its own. All relays run on one event loop
in a thread here. The address of a link is known before its target runs: the kernel chooses the port, and the
address of the target is set once the target serves.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from functools import partial
from typing import Final

from heathwell.codec import frames
from heathwell.testing.simulation.errors import SimulationError
from heathwell.testing.simulation.loop_thread import LoopThread
from heathwell.testing.simulation.process_links import Link
from heathwell.testing.standins.errors import FaultInjectionError
from heathwell.testing.standins.relay import Relay

THREAD_NAME: Final = "fault links"
SEED_FACTOR: Final = 10_007  # seeds of the links of two fleets differ


class FaultLinkError(SimulationError):
    """A fault that cannot be injected: an error of the harness, which must not pass for a fault survived."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason


class NoLinkError(FaultLinkError):
    """No link connects the two groups of processes."""

    def __init__(self, kind: str, sources: Iterable[str], targets: Iterable[str]) -> None:
        self.sources = sorted(set(sources))
        self.targets = sorted(set(targets))
        super().__init__(kind, f"{kind}: no link between {self.sources} and {self.targets}")


class OneWayCut(StrEnum):
    """Cuts of one direction, as seen from the first of two groups of processes."""

    SENT = "cut-out"
    RECEIVED = "cut-back"


class RelayDirection(StrEnum):
    """Direction of a relay: towards its target, or back from it."""

    FORWARD = "out"
    BACKWARD = "back"


ONE_WAY_CUTS: Final = frozenset(OneWayCut)
RELAY_ONE_WAY_CUT: Final = "oneway"


class FaultLinks:
    """All links of one fleet. Its methods are called from outside the thread of the relays."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self._relays: dict[Link, Relay] = {}
        self._target_addresses: dict[str, str] = {}
        self._thread = LoopThread(THREAD_NAME)

    def open_link(self, source: str, target: str) -> str:
        """Return the address by which one process reaches another; the link is opened on the first call."""
        link = Link(source, target)
        if link not in self._relays:
            self._relays[link] = self._thread.call(partial(self._start_relay, target))
        return self._relays[link].routes[target]

    def _start_relay(self, target: str) -> Relay:
        relay = Relay(
            self._thread.loop,
            self._thread.net,
            [target],
            self.seed * SEED_FACTOR + len(self._relays),
            self._target_address,
        )
        relay.open_listeners()
        return relay

    def _target_address(self, target: str) -> str:
        return self._target_addresses.get(target, "")

    def set_target(self, target: str, address: str) -> None:
        """Set the address at which a process serves; while it is empty, connections to it are reset."""
        self._target_addresses[target] = address

    def links_between(self, sources: Iterable[str], targets: Iterable[str]) -> list[Link]:
        """Return the open links between two groups of processes, whichever of them connects."""
        source_set = set(sources)
        target_set = set(targets)
        return [link for link in self._relays if link.connects(source_set, target_set)]

    def inject_fault(
        self, sources: Iterable[str], targets: Iterable[str], kind: str, duration_us: int, value: float = 0.0
    ) -> int:
        """Inject a fault into all links between two groups of processes, and return the number of links.

        ``kind`` is a fault of :class:`Relay`, or a :class:`OneWayCut` of what the first group sends or
        receives. Raise :class:`NoLinkError` where there is no link and :class:`FaultLinkError` where a relay
        rejects the fault.
        """
        source_set = set(sources)
        target_set = set(targets)
        links = self.links_between(source_set, target_set)
        if not links:
            raise NoLinkError(kind, source_set, target_set)
        for link in links:
            command = _fault_command(link, source_set, kind, duration_us, value)
            try:
                self._thread.call(partial(self._relays[link].inject_fault, command))
            except FaultInjectionError as error:
                raise FaultLinkError(kind, str(error)) from error
        return len(links)

    def close(self) -> None:
        """End the thread, and with it all connections."""
        self._thread.stop()


def _fault_command(
    link: Link, source_group: set[str], kind: str, duration_us: int, value: float
) -> frames.FaultCommand:
    """Return a fault as the link's relay takes it: with directions as seen from the process that connects."""
    if kind not in ONE_WAY_CUTS:
        return frames.FaultCommand(kind, value, duration_us)
    opened_by_group = link.source in source_group
    cuts_forward = (kind == OneWayCut.SENT) == opened_by_group
    direction = RelayDirection.FORWARD if cuts_forward else RelayDirection.BACKWARD
    return frames.FaultCommand(RELAY_ONE_WAY_CUT, value, duration_us, direction)
