"""Checks of complete settings that involve more than one field.

Paths and messages use the keys of the file, from which the names of some record fields differ.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from heathwell.settings.records.fleet import Fleet, FleetBudget
from heathwell.settings.records.queries import Collection, KeySpace, QueryClass
from heathwell.settings.records.service import ServiceSettings

COORDINATOR_COUNTS = (1, 3, 5)
MAX_CLOCK_DRIFT = 0.2
MIN_RENEWALS_PER_LEASE = 3
MIN_RENEWALS_BEFORE_SUSPECT = 2
MIN_CALLS_BEFORE_MUST_ASK = 2
MILLIUNITS = 1000
MILLIUNITS_TIMES_SECOND_US = 10**9  # one unit, as milliunits per second times microseconds


class Inconsistency(NamedTuple):
    """An error: the path of a key, and the message."""

    path: str
    text: str


Inconsistencies = Iterator[Inconsistency]


def _seconds(duration_us: int) -> str:
    """Format a duration for a message."""
    return f"{duration_us / 1_000_000:g}s"


def _check_classes(settings: ServiceSettings) -> Inconsistencies:
    if not settings.classes:
        yield Inconsistency("class", "at least one class is required")
    names: set[str] = set()
    for index, query_class in enumerate(settings.classes):
        path = f"class[{index}]"
        if query_class.name in names:
            yield Inconsistency(path, f"class '{query_class.name}' is given twice")
        names.add(query_class.name)
        yield from _check_class_times(settings, query_class, path)
        yield from _check_class_fractions(query_class, path)
        yield from _check_class_data_age(query_class, path)


def _check_class_times(settings: ServiceSettings, query_class: QueryClass, path: str) -> Inconsistencies:
    reserved_us = settings.limits.reply_transit_us + 2 * settings.limits.tick
    if query_class.timeout_us < query_class.latency_objective_us:
        yield Inconsistency(
            f"{path}.limit",
            f"must be at least aim ({_seconds(query_class.latency_objective_us)}), "
            f"got {_seconds(query_class.timeout_us)}",
        )
    elif query_class.timeout_us <= reserved_us:
        yield Inconsistency(
            f"{path}.limit",
            f"must be more than limits.transit + 2 * limits.tick ({_seconds(reserved_us)}), "
            f"got {_seconds(query_class.timeout_us)}",
        )


def _check_class_fractions(query_class: QueryClass, path: str) -> Inconsistencies:
    required = query_class.required_fraction
    if required <= 0:
        yield Inconsistency(f"{path}.need", "must be more than 0")
    if query_class.minimum_fraction > required:
        yield Inconsistency(
            f"{path}.floor", f"must be at most need ({required:g}), got {query_class.minimum_fraction:g}"
        )


def _check_class_data_age(query_class: QueryClass, path: str) -> Inconsistencies:
    if query_class.stale != "use" and query_class.idempotency != "safe":
        yield Inconsistency(
            f"{path}.stale",
            f"'{query_class.stale}' requires (repeat safe): other classes cannot reject data for its age",
        )
    if query_class.stale == "missing" and not query_class.max_age:
        yield Inconsistency(f"{path}.max-age", "'missing' requires a max-age")
    if query_class.desired_age_us > query_class.max_age > 0:
        yield Inconsistency(
            f"{path}.wanted-age",
            f"must be at most max-age ({_seconds(query_class.max_age)}), "
            f"got {_seconds(query_class.desired_age_us)}",
        )
    if query_class.idempotency == "keyed" and not query_class.idempotency_window_us:
        yield Inconsistency(f"{path}.dedup", "must be more than 0 for a class with (repeat keyed)")


def _check_key_spaces(settings: ServiceSettings) -> Inconsistencies:
    class_names = {query_class.name for query_class in settings.classes}
    prefixes: set[str] = set()
    for index, key_space in enumerate(settings.keys):
        path = f"keys[{index}]"
        if key_space.query_class not in class_names:
            yield _no_such_class(f"{path}.class", key_space.query_class, class_names)
        if key_space.prefix in prefixes:
            yield Inconsistency(path, f"prefix '{key_space.prefix}' is given twice")
        prefixes.add(key_space.prefix)
        yield from _check_key_space_parts(key_space, settings.fleet.shards, path)


def _check_key_space_parts(key_space: KeySpace, shards: int, path: str) -> Inconsistencies:
    if key_space.shape == "search" and key_space.parts > shards:
        yield _too_many_parts(f"{path}.parts", key_space.parts, shards)
    if key_space.shape == "report" and key_space.report_parts > shards:
        yield _too_many_parts(f"{path}.report-parts", key_space.report_parts, shards)


def _too_many_parts(path: str, parts: int, shards: int) -> Inconsistency:
    return Inconsistency(path, f"must be at most fleet.shards ({shards}), got {parts}")


def _no_such_class(path: str, name: str, class_names: set[str]) -> Inconsistency:
    return Inconsistency(path, f"no class '{name}'; there are {', '.join(sorted(class_names))}")


def _check_fleet(settings: ServiceSettings) -> Inconsistencies:
    fleet = settings.fleet
    if fleet.width > fleet.cells:
        yield Inconsistency("fleet.width", f"must be at most fleet.cells ({fleet.cells}), got {fleet.width}")
    if not fleet.zones:
        yield Inconsistency("fleet.zones", "at least one zone is required")
    if len(set(fleet.zones)) != len(fleet.zones):
        yield Inconsistency("fleet.zones", "a zone is given twice")
    if fleet.coordinators:
        yield from _check_coordinators(fleet)
        yield from _check_fleet_times(fleet)
        yield from _check_budgets(fleet)
    else:
        yield from _check_no_fleet_control(fleet)
    if fleet.leaves and fleet.leaves < fleet.cells:
        yield Inconsistency(
            "fleet.leaves",
            f"must be 0 or at least fleet.cells ({fleet.cells}), got {fleet.leaves}: each cell needs a host",
        )


def _check_no_fleet_control(fleet: Fleet) -> Inconsistencies:
    if fleet.budgets:
        yield Inconsistency("fleet.budget[0]", "requires (keepers host:port ...)")
    if fleet.evacuate:
        yield Inconsistency("fleet.evacuate", "requires (keepers host:port ...)")


def _check_coordinators(fleet: Fleet) -> Inconsistencies:
    if len(fleet.coordinators) not in COORDINATOR_COUNTS:
        yield Inconsistency("fleet.keepers", f"1, 3 or 5 addresses expected, got {len(fleet.coordinators)}")
    if len(set(fleet.coordinators)) != len(fleet.coordinators):
        yield Inconsistency("fleet.keepers", "an address is given twice")
    if not (fleet.max_brokers or fleet.brokers):
        yield Inconsistency("fleet.most", "with keepers, fleet.most or fleet.brokers must be more than 0")


def _check_fleet_times(fleet: Fleet) -> Inconsistencies:
    if fleet.renew * MIN_RENEWALS_PER_LEASE > fleet.lease:
        yield Inconsistency(
            "fleet.renew", "must be at most a third of fleet.lease, so that a lease outlasts lost renewals"
        )
    if fleet.renew * MIN_RENEWALS_BEFORE_SUSPECT > fleet.suspect or fleet.suspect >= fleet.dead:
        yield Inconsistency("fleet.suspect", "must be at least twice fleet.renew and less than fleet.dead")
    if fleet.drift > MAX_CLOCK_DRIFT:
        yield Inconsistency("fleet.drift", f"must be at most {MAX_CLOCK_DRIFT:g}, got {fleet.drift:g}")


def _check_budgets(fleet: Fleet) -> Inconsistencies:
    names: set[str] = set()
    for index, budget in enumerate(fleet.budgets):
        path = f"fleet.budget[{index}]"
        if budget.name in names:
            yield Inconsistency(path, f"budget '{budget.name}' is given twice")
        names.add(budget.name)
        if budget.name == "connections":
            yield from _check_connections_budget(fleet, budget, path)
        else:
            yield from _check_rate_budget(fleet, budget, path)


def _check_connections_budget(fleet: Fleet, budget: FleetBudget, path: str) -> Inconsistencies:
    max_brokers = fleet.max_brokers or fleet.brokers
    if budget.total != int(budget.total) or (max_brokers and budget.total <= max_brokers):
        yield Inconsistency(
            f"{path}.whole",
            f"must be a whole number above the number of brokers ({max_brokers}), got {budget.total:g}",
        )
    if budget.linger_timeout_us >= fleet.lease:
        yield Inconsistency(f"{path}.linger", "must be shorter than fleet.lease, which includes this time")


def _check_rate_budget(fleet: Fleet, budget: FleetBudget, path: str) -> Inconsistencies:
    max_brokers = fleet.max_brokers or fleet.brokers
    if not max_brokers:
        return
    own_milliunits = int(budget.total * budget.reserved_fraction * MILLIUNITS) // max_brokers
    if own_milliunits and own_milliunits * budget.burst_window_us < MILLIUNITS_TIMES_SECOND_US:
        yield Inconsistency(
            f"{path}.burst",
            f"too short for a broker's minimum, {own_milliunits / MILLIUNITS:.3g} per second, to reach one "
            "unit: a longer burst, a larger aside, or (aside 0) is expected",
        )


def _check_rules(settings: ServiceSettings) -> Inconsistencies:
    rules = settings.rules
    if rules.start_capacity <= 0:
        yield Inconsistency("rules.start-capacity", "must be more than 0")
    if bool(rules.fall_multiple) != bool(rules.fall_after):
        yield Inconsistency("rules.fall-multiple", "fall-multiple and fall-after must be set together")
    if rules.additional_attempt_ratio and not rules.counted_over:
        yield Inconsistency("rules.further-ratio", "requires counted-over")
    min_must_ask_us = MIN_CALLS_BEFORE_MUST_ASK * settings.discovery.timeout
    if settings.discovery.ask and rules.must_ask < min_must_ask_us:
        yield Inconsistency(
            "rules.must-ask",
            f"must be at least twice discovery.timeout ({_seconds(min_must_ask_us)}), "
            f"got {_seconds(rules.must_ask)}: a failed call is repeated",
        )


def _check_regions(settings: ServiceSettings) -> Inconsistencies:
    zones = settings.fleet.zones
    placed_zones: set[str] = set()
    for index, region in enumerate(settings.across.regions):
        path = f"across.region[{index}].zones"
        for zone in region.zones:
            if zone not in zones:
                yield Inconsistency(path, f"no zone '{zone}'; there are {', '.join(zones)}")
            if zone in placed_zones:
                yield Inconsistency(path, f"zone '{zone}' is in more than one region")
            placed_zones.add(zone)
    for index, query_class in enumerate(settings.classes):
        if query_class.across != "any" and not settings.across.regions:
            yield Inconsistency(f"class[{index}].across", "requires (across (region ...) ...)")
    yield from _check_region_links(settings)
    if settings.across.regions and placed_zones < set(zones):
        unplaced_zones = sorted(set(zones) - placed_zones)
        yield Inconsistency("across", f"zones in no region: {', '.join(unplaced_zones)}")


def _check_region_links(settings: ServiceSettings) -> Inconsistencies:
    region_names = [region.name for region in settings.across.regions]
    pairs: set[frozenset[str]] = set()
    for index, link in enumerate(settings.across.links):
        path = f"across.link[{index}].between"
        for name in link.between:
            if name not in region_names:
                yield Inconsistency(path, f"no region '{name}'; there are {', '.join(region_names)}")
        pair = frozenset(link.between)
        if len(link.between) != 2 or len(pair) != 2:
            yield Inconsistency(path, f"a link names two regions, got {len(link.between)}")
        elif pair in pairs:
            yield Inconsistency(path, "the link is given twice")
        pairs.add(pair)


def _check_collections(settings: ServiceSettings) -> Inconsistencies:
    names: set[str] = set()
    for index, collection in enumerate(settings.collections):
        path = f"collection[{index}]"
        if collection.name in names:
            yield Inconsistency(path, f"collection '{collection.name}' is given twice")
        names.add(collection.name)
        yield from _check_collection_classes(settings, collection, path)
        if collection.parts > settings.fleet.shards:
            yield _too_many_parts(f"{path}.parts", collection.parts, settings.fleet.shards)
    if settings.vector.listen and not settings.collections:
        yield Inconsistency("vector.listen", "requires at least one collection")


def _check_collection_classes(
    settings: ServiceSettings, collection: Collection, path: str
) -> Inconsistencies:
    classes = {query_class.name: query_class for query_class in settings.classes}
    class_name_by_key = {
        "class": collection.query_class,
        "batch-class": collection.batch_class or collection.query_class,
    }
    for key, name in class_name_by_key.items():
        query_class = classes.get(name)
        if query_class is None:
            yield _no_such_class(f"{path}.{key}", name, set(classes))
        elif query_class.second_step_parts:
            yield Inconsistency(
                f"{path}.{key}", f"class '{name}' has a second step (fetch), unsupported in searches"
            )


Check = Callable[[ServiceSettings], Inconsistencies]
CROSS_CHECKS: tuple[Check, ...] = (
    _check_classes,
    _check_key_spaces,
    _check_fleet,
    _check_rules,
    _check_regions,
    _check_collections,
)
