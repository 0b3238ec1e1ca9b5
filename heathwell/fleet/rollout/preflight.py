"""Checks of new settings before a rollout: settings may be valid and still cause a fault.

Owns the rules; does no I/O. Imports the settings protocols of this package.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from heathwell.fleet.rollout.preflight_settings import (
    FleetSettings,
    PreflightSettings,
    QueryClassSettings,
    RegionSettings,
)

MAX_ENDPOINT_CHANGE = 0.34  # fraction of endpoints that may be added or removed without an override
MAX_TIMEOUT_FACTOR = 2.0  # factor by which a timeout may change without an override
# Settings that must be equal in all brokers: field name to key in the settings.
IMMUTABLE_FLEET_SETTINGS = {
    "zones": "zones",
    "cells": "cells",
    "width": "width",
    "shards": "shards",
    "max_brokers": "most",
    "coordinators": "keepers",
}

ALLOW_GAPS = "--allow-gaps"
DROP_CLASSES = "--drop-classes"
MANY_ENDPOINTS = "--many-hosts"
CHANGE_IDEMPOTENCY = "--change-repeat"
CHANGE_TIMEOUT = "--far"


@dataclass(frozen=True, slots=True)
class PreflightWarning:
    """A problem of new settings.

    With ``override_flag`` an operator can accept it; without one (None) the settings are rejected.
    """

    text: str
    override_flag: str | None = None


def preflight_warnings(old: PreflightSettings, new: PreflightSettings) -> list[PreflightWarning]:
    """Return all warnings about replacing the ``old`` settings with the ``new`` ones."""
    return [
        *_check_classes_in_use(new),
        *_check_replica_groups(new.fleet),
        *_check_region_coverage(new),
        *_check_capacity(new),
        *_check_immutable_settings(old.fleet, new.fleet),
        *_check_removed_names(old, new),
        *_check_endpoint_count(old.fleet, new.fleet),
        *_check_changed_classes(old, new),
    ]


def _check_classes_in_use(new: PreflightSettings) -> Iterator[PreflightWarning]:
    used = {space.query_class for space in new.keys}
    used |= {collection.query_class for collection in new.collections}
    used |= {collection.batch_class for collection in new.collections}
    for query_class in new.classes:
        if query_class.name not in used:
            yield PreflightWarning(f"class {query_class.name}: no key space and no collection asks for it")
    if not new.keys and not new.collections:
        yield PreflightWarning("keys: nothing can be asked for")


def _check_replica_groups(fleet: FleetSettings) -> Iterator[PreflightWarning]:
    if fleet.leaves and fleet.leaves < fleet.cells:
        yield PreflightWarning(
            f"fleet: {fleet.leaves} hosts for {fleet.cells} cells leave shards without hosts"
        )


def _check_region_coverage(new: PreflightSettings) -> Iterator[PreflightWarning]:
    for query_class in new.classes:
        if query_class.across != "never":
            continue
        for region in new.across.regions:
            if not _holds_all_shards(new.fleet, region):
                yield PreflightWarning(
                    f"class {query_class.name} never leaves region {region.name}, whose hosts hold not "
                    "all shards",
                    ALLOW_GAPS,
                )


def _holds_all_shards(fleet: FleetSettings, region: RegionSettings) -> bool:
    zones_in_region = sum(zone in region.zones for zone in fleet.zones)
    endpoints = zones_in_region * fleet.leaves // max(1, len(fleet.zones))
    return not fleet.leaves or endpoints * fleet.width >= fleet.cells


def _check_capacity(new: PreflightSettings) -> Iterator[PreflightWarning]:
    for budget in new.fleet.budgets:
        if budget.name != "connections" and budget.total < 1:
            yield PreflightWarning(f"budget {budget.name}: {budget.total:g} a second is less than one use")
    open_cap = new.limits.open_cap
    widest_query = max((space.parts for space in new.keys), default=1)
    if open_cap and open_cap < widest_query + 1:
        yield PreflightWarning(f"limits.open-cap {open_cap}: the widest query would never be taken")


def _check_immutable_settings(old: FleetSettings, new: FleetSettings) -> Iterator[PreflightWarning]:
    for field, key in IMMUTABLE_FLEET_SETTINGS.items():
        before = getattr(old, field)
        after = getattr(new, field)
        if before != after:
            yield PreflightWarning(
                f"fleet.{key}: from {before} to {after}: brokers of both at once would not agree where data "
                "lies or what is shared"
            )


def _check_removed_names(old: PreflightSettings, new: PreflightSettings) -> Iterator[PreflightWarning]:
    removed_classes = {query_class.name for query_class in old.classes}
    removed_classes -= {query_class.name for query_class in new.classes}
    if removed_classes:
        names = ", ".join(sorted(removed_classes))
        yield PreflightWarning(f"classes that are asked for today are gone: {names}", DROP_CLASSES)
    removed_prefixes = {space.prefix for space in old.keys} - {space.prefix for space in new.keys}
    if removed_prefixes:
        names = ", ".join(sorted(removed_prefixes))
        yield PreflightWarning(f"key spaces that are asked for today are gone: {names}", DROP_CLASSES)


def _check_endpoint_count(old: FleetSettings, new: FleetSettings) -> Iterator[PreflightWarning]:
    if old.leaves and abs(new.leaves - old.leaves) > MAX_ENDPOINT_CHANGE * old.leaves:
        yield PreflightWarning(
            f"hosts: from {old.leaves} to {new.leaves}, over {MAX_ENDPOINT_CHANGE:.0%}", MANY_ENDPOINTS
        )


def _check_changed_classes(old: PreflightSettings, new: PreflightSettings) -> Iterator[PreflightWarning]:
    old_classes = {query_class.name: query_class for query_class in reversed(old.classes)}
    for after in new.classes:
        before = old_classes.get(after.name)
        if before is not None:
            yield from _check_changed_class(before, after)


def _check_changed_class(before: QueryClassSettings, after: QueryClassSettings) -> Iterator[PreflightWarning]:
    if before.idempotency != after.idempotency:
        yield PreflightWarning(
            f"class {after.name}: repeat from {before.idempotency} to {after.idempotency}: "
            "what is safe to send again is the data's nature",
            CHANGE_IDEMPOTENCY,
        )
    if not 1 / MAX_TIMEOUT_FACTOR <= after.timeout_us / before.timeout_us <= MAX_TIMEOUT_FACTOR:
        yield PreflightWarning(
            f"class {after.name}: limit from {before.timeout_us / 1e6:g} s to "
            f"{after.timeout_us / 1e6:g} s, over "
            "a factor of two",
            CHANGE_TIMEOUT,
        )
