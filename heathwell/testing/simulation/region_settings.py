"""Settings of a fleet over two regions, and the variants of region awareness that experiments compare."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class RegionName(StrEnum):
    """The regions of the fleet."""

    HKI = "hki"
    ESPOO = "espoo"


class Variant(StrEnum):
    """How brokers choose between the regions' hosts."""

    DECIDER = "decider"
    """By the state of the link to the other region."""
    OFF = "off"
    """Without regard to regions."""
    NEAREST_FIRST = "nearest first"
    """The broker's own region first, without a state of the link."""


VARIANTS: Final = tuple(Variant)
ZONE_NAMES: Final = ("hki-1", "hki-2", "espoo-1", "espoo-2")
ZONE_REGIONS: Final = (RegionName.HKI, RegionName.HKI, RegionName.ESPOO, RegionName.ESPOO)
"""The region of each zone. Processes are assigned to zones in turn, by their numbers."""

_REGIONS: Final = "(region hki (zones hki-1 hki-2)) (region espoo (zones espoo-1 espoo-2))"
_VARIANT_OPTIONS: Final = {
    Variant.DECIDER: "",
    Variant.OFF: "(decide no) ",
    Variant.NEAREST_FIRST: "(decide no) (prefer-home yes) ",
}


def across_section(variant: Variant, *, client_drain_seconds: int | None = None) -> str:
    """Return the section of regions under a variant.

    With ``client_drain_seconds`` a broker that decides closes its idle clients over this time when it is cut
    off.
    """
    client_drain = ""
    if client_drain_seconds is not None and variant is Variant.DECIDER:
        client_drain = f"(let-go {client_drain_seconds}s) "
    return f"(across {client_drain}{_VARIANT_OPTIONS[variant]}{_REGIONS})"


def region_of_number(number: int) -> RegionName:
    """Return the region of a process or replica group by its number."""
    return ZONE_REGIONS[number % len(ZONE_REGIONS)]
