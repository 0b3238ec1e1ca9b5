"""Settings that are well formed and would still do harm: what a change is asked before it goes anywhere.
Pure.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from heathwell.settings.schema import ServiceSettings


@dataclass(frozen=True, slots=True)
class Doubt:
    """What is wrong with a change, and the flag by which an operator takes it all the same; empty: it is
    refused.
    """

    text: str
    flag: str = ""


HOSTS_SHARE = 0.34  # of hosts that a change may take away or add without being asked for
FIXED = ("zones", "cells", "width", "shards", "most", "keepers")  # of the fleet: what brokers must have alike


def doubts(old: ServiceSettings, new: ServiceSettings) -> list[Doubt]:
    """All that speaks against going from one to the other."""
    return [*_alone(new), *_between(old, new)]


def _alone(new: ServiceSettings) -> Iterator[Doubt]:
    used = (
        {space.query_class for space in new.keys}
        | {one.query_class for one in new.collections}
        | {one.batch_class for one in new.collections}
    )
    for spec in new.classes:
        if spec.name not in used:
            yield Doubt(f"class {spec.name}: no key space and no collection asks for it")
    if not new.keys and not new.collections:
        yield Doubt("keys: nothing can be asked for")
    fleet = new.fleet
    if fleet.leaves and fleet.leaves < fleet.cells:
        yield Doubt(f"fleet: {fleet.leaves} hosts for {fleet.cells} cells leave shards without hosts")
    for region_class in new.classes:
        if region_class.across == "never":
            for region in new.across.regions:
                homes = sum(zone in region.zones for zone in fleet.zones)
                hosts = homes * fleet.leaves // max(1, len(fleet.zones))
                if fleet.leaves and hosts * fleet.width < fleet.cells:
                    yield Doubt(
                        f"class {region_class.name} never leaves region {region.name}, whose hosts hold not "
                        "all shards",
                        "--allow-gaps",
                    )
    for budget in fleet.budgets:
        if budget.name != "connections" and budget.whole < 1:
            yield Doubt(f"budget {budget.name}: a whole of {budget.whole:g} a second is nothing")
    if new.limits.open_cap and new.limits.open_cap < max((space.parts for space in new.keys), default=1) + 1:
        yield Doubt(f"limits.open-cap {new.limits.open_cap}: the widest query would never be taken")


def _between(old: ServiceSettings, new: ServiceSettings) -> Iterator[Doubt]:
    for name in FIXED:
        before, after = getattr(old.fleet, name), getattr(new.fleet, name)
        if before != after:
            yield Doubt(
                f"fleet.{name}: from {before} to {after}: brokers of both at once would not agree where data "
                "lies or what is shared"
            )
    gone = {spec.name for spec in old.classes} - {spec.name for spec in new.classes}
    if gone:
        yield Doubt(f"classes that are asked for today are gone: {', '.join(sorted(gone))}", "--drop-classes")
    lost = {space.prefix for space in old.keys} - {space.prefix for space in new.keys}
    if lost:
        yield Doubt(
            f"key spaces that are asked for today are gone: {', '.join(sorted(lost))}", "--drop-classes"
        )
    if old.fleet.leaves and abs(new.fleet.leaves - old.fleet.leaves) > HOSTS_SHARE * old.fleet.leaves:
        yield Doubt(
            f"hosts: from {old.fleet.leaves} to {new.fleet.leaves}, over {HOSTS_SHARE:.0%}", "--many-hosts"
        )
    for spec in new.classes:
        before_spec = next((one for one in old.classes if one.name == spec.name), None)
        if before_spec is not None and before_spec.idempotency != spec.idempotency:
            yield Doubt(
                f"class {spec.name}: repeat from {before_spec.idempotency} to {spec.idempotency}: "
                "what is safe to send again is the data's nature",
                "--change-repeat",
            )
        if before_spec is not None and not 0.5 <= spec.timeout_us / before_spec.timeout_us <= 2:
            yield Doubt(
                f"class {spec.name}: limit from {before_spec.timeout_us / 1e6:g} s to "
                f"{spec.timeout_us / 1e6:g} s, over "
                "a factor of two",
                "--far",
            )
