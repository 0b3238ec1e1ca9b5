"""Errors of the evacuation package. Imports no other package of heathwell."""

from __future__ import annotations

from collections.abc import Iterable


class EvacuationError(Exception):
    """Base class of all errors that this package raises."""


class UnknownZoneError(EvacuationError):
    """An operator named a zone that does not exist; ``known_zones`` are the zones of the fleet."""

    def __init__(self, zone: str, known_zones: Iterable[str]) -> None:
        self.zone = zone
        self.known_zones = tuple(sorted(known_zones))
        super().__init__(f"no zone '{zone}'; there are {', '.join(self.known_zones)}")


class UnknownOperatorActionError(EvacuationError):
    """An operator's order is not a value of `OperatorAction`."""

    def __init__(self, action: str) -> None:
        self.action = action
        super().__init__(f"'{action}': leave, return, pin or unpin")
