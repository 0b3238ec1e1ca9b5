"""The modules of heathwell import each other without cycles and only down the layers of the architecture."""

from __future__ import annotations

from pathlib import Path

import pytest

from .import_rules import (
    LayerRule,
    find_cycles,
    find_layer_violations,
    modules_without_rule,
    upward_permissions,
)
from .import_scan import ImportKind, PackageScan, scan_package
from .loaded_modules import among, missing_modules

PACKAGE_DIRECTORY = Path(__file__).parent.parent / "heathwell"

# Each name of a package or module stands once, here: a rename is an edit of one line.
INTERFACE = "heathwell.policy"
AGGREGATOR = "heathwell.policy.aggregator"
RECORDS = "heathwell.policy.records"
# From the bottom to the top: a component may use those before it.
COMPONENTS = tuple(
    f"heathwell.policy.{name}"
    for name in (
        "context",
        "endpoint_table",
        "latency",
        "load",
        "slow_start",
        "outlier_detection",
        "replica_selection",
        "retry_budget",
        "retries",
        "attempt_table",
        "load_shedding",
        "query_arrival",
        "query_completion",
        "sending",
        "hedging",
        "attempt_outcomes",
    )
)
DATASTRUCTURES = "heathwell.datastructures"
GATEWAY_ERRORS = "heathwell.gateway.errors"
PLATFORM_SETTINGS = "heathwell.gateway.settings_from_platform"
BENCH_LINK = "heathwell.benchlink"
PUBLIC_API = "heathwell"
EVENT_LOOP = "heathwell.eventloop"
CODECS = "heathwell.codec"
SETTINGS = "heathwell.settings"
EVENT_LOG = "heathwell.observability.event_log"
INNER_PROTOCOL = "heathwell.codec.inner_protocol"
HTTP_PAGES = "heathwell.observability.http_pages"
OBSERVABILITY = "heathwell.observability"
DIGESTS = "heathwell.observability.digests"
RETRYING_CLIENT = "heathwell.client"
FORMER_CLIENT = "heathwell.heed"
ADMISSION = "heathwell.service.admission"
COVERAGE = "heathwell.service.coverage"
FRESHNESS = "heathwell.service.freshness"
MERGE = "heathwell.service.merging"
REGIONS = "heathwell.service.regions"
RETRY_STORMS = "heathwell.service.retry_storms"
VECTORS = "heathwell.service.vectors"
MEMBERSHIP = "heathwell.fleet.membership"
QUOTAS = "heathwell.fleet.quotas"
ROLLOUT = "heathwell.fleet.rollout"
EVACUATION = "heathwell.fleet.evacuation"
FLEET = "heathwell.fleet"
MODEL_CHECK = "heathwell.testing.modelcheck"
BROKER = "heathwell.broker"
SERVICE = "heathwell.service"
SERVERS = "heathwell.servers"
GATEWAY = "heathwell.gateway"
FLEET_CONTROL = "heathwell.fleet.control"
AUDIT = "heathwell.testing.audit"
TESTING = "heathwell.testing"
STAND_INS = "heathwell.testing.standins"
SIMULATION = "heathwell.testing.simulation"
COMMAND_LINE = "heathwell.cli"
MAIN = "heathwell.__main__"

POLICY = (INTERFACE, RECORDS, AGGREGATOR)
SERVICE_DECIDERS = (ADMISSION, COVERAGE, FRESHNESS, MERGE, REGIONS, RETRY_STORMS, VECTORS)
FLEET_DECIDERS = (MEMBERSHIP, QUOTAS, ROLLOUT, EVACUATION)
INPUT_OUTPUT = (EVENT_LOOP, CODECS, SETTINGS, EVENT_LOG, DIGESTS, INNER_PROTOCOL, HTTP_PAGES)
DECISIONS = (*POLICY, PLATFORM_SETTINGS, *SERVICE_DECIDERS, *FLEET_DECIDERS)
PROCESSES = (BROKER, SERVICE, SERVERS, GATEWAY, FLEET_CONTROL, AUDIT, STAND_INS)
BELOW_SIMULATION = (*INPUT_OUTPUT, *DECISIONS, *PROCESSES)

# From the bottom to the top; a package imports itself and what its row names. A module stands in the row with
# the longest prefix of its name. The rows follow the tables of the architecture; a comment says where one
# adds to them.
LAYERS = (
    LayerRule(DATASTRUCTURES),
    LayerRule(INTERFACE),
    LayerRule(RECORDS, (DATASTRUCTURES, INTERFACE)),
    LayerRule(EVENT_LOOP),
    LayerRule(CODECS),
    LayerRule(SETTINGS),
    # Not in the tables: the event log, the inner protocol on a stream, HTTP pages on a stream.
    LayerRule(OBSERVABILITY),
    LayerRule(EVENT_LOG),
    LayerRule(DIGESTS),
    LayerRule(INNER_PROTOCOL, (EVENT_LOOP, CODECS)),
    LayerRule(HTTP_PAGES, (EVENT_LOOP, CODECS)),
    # Not in the tables: a client library for users, which stands alone.
    LayerRule(RETRYING_CLIENT),
    LayerRule(FORMER_CLIENT, (RETRYING_CLIENT,)),
    *(
        LayerRule(component, (DATASTRUCTURES, INTERFACE, RECORDS, *COMPONENTS[:index]))
        for index, component in enumerate(COMPONENTS)
    ),
    LayerRule(AGGREGATOR, (DATASTRUCTURES, INTERFACE, RECORDS, *COMPONENTS)),
    # The base of the errors of the gateway, of which the adapter of its settings is a part.
    LayerRule(GATEWAY_ERRORS),
    LayerRule(PLATFORM_SETTINGS, (INTERFACE, GATEWAY_ERRORS)),
    LayerRule(BENCH_LINK, (*POLICY, PLATFORM_SETTINGS)),
    LayerRule(PUBLIC_API, POLICY),
    LayerRule(ADMISSION, (INTERFACE,)),
    # Beyond the table: both pack sets of numbers as varints, a pure codec.
    LayerRule(COVERAGE, (INTERFACE, CODECS)),
    LayerRule(FRESHNESS, (INTERFACE, CODECS)),
    LayerRule(MERGE, (INTERFACE,)),
    # Beyond the table: a sliding window of the generic structures.
    LayerRule(REGIONS, (DATASTRUCTURES, INTERFACE)),
    LayerRule(RETRY_STORMS, (INTERFACE,)),
    LayerRule(VECTORS, (INTERFACE,)),
    LayerRule(FLEET),
    LayerRule(MEMBERSHIP, (INTERFACE,)),
    LayerRule(QUOTAS, (INTERFACE, MEMBERSHIP)),
    LayerRule(ROLLOUT, (INTERFACE, MEMBERSHIP, QUOTAS)),
    LayerRule(EVACUATION, (INTERFACE, MEMBERSHIP, QUOTAS, ROLLOUT)),
    LayerRule(MODEL_CHECK, (INTERFACE, *FLEET_DECIDERS)),
    # Beyond the table: the event log, and the cover that a reply carries.
    LayerRule(BROKER, (*POLICY, COVERAGE, EVENT_LOOP, EVENT_LOG)),
    # Beyond the table: limits from settings, the event log, the inner protocol on a stream.
    LayerRule(
        SERVICE,
        (
            *POLICY,
            *SERVICE_DECIDERS,
            BROKER,
            EVACUATION,
            EVENT_LOOP,
            CODECS,
            SETTINGS,
            EVENT_LOG,
            INNER_PROTOCOL,
        ),
    ),
    # Beyond the table: streams of the event loop, limits from settings, the admin pages, the version that it
    # states, and records of the deciders that its clients' messages carry.
    LayerRule(
        SERVERS,
        (BROKER, SERVICE, CODECS, EVENT_LOOP, SETTINGS, HTTP_PAGES, PUBLIC_API, *SERVICE_DECIDERS),
    ),
    # Beyond the table: records of the policy, settings from the platform's object, the event log.
    LayerRule(GATEWAY, (BROKER, CODECS, EVENT_LOOP, INTERFACE, PLATFORM_SETTINGS, EVENT_LOG)),
    # Beyond the table: the event log, the inner protocol on a stream, HTTP pages.
    LayerRule(FLEET_CONTROL, (*INPUT_OUTPUT, *FLEET_DECIDERS)),
    LayerRule(TESTING),
    LayerRule(AUDIT),
    # Beyond the table: the event log, the inner protocol on a stream, and what a search asks of a host.
    LayerRule(STAND_INS, (EVENT_LOOP, CODECS, SETTINGS, EVENT_LOG, INNER_PROTOCOL, VECTORS)),
    LayerRule(SIMULATION, BELOW_SIMULATION),
    LayerRule(COMMAND_LINE, (*BELOW_SIMULATION, SIMULATION, PUBLIC_API)),
    LayerRule(MAIN, (COMMAND_LINE,)),
)

ALL_KINDS = frozenset(ImportKind)
AT_MODULE_LEVEL = frozenset({ImportKind.MODULE_LEVEL})
WITH_TYPE_CHECKING = frozenset({ImportKind.MODULE_LEVEL, ImportKind.TYPE_CHECKING})


@pytest.fixture(scope="module")
def heathwell_scan() -> PackageScan:
    """The imports of heathwell as it stands."""
    return scan_package(PACKAGE_DIRECTORY)


def report(found) -> str:
    """Cycles or imports, each on lines of its own, as the message of a failure."""
    return "\n".join(["", *(one.describe() for one in found)])


@pytest.mark.parametrize(
    "kinds",
    [AT_MODULE_LEVEL, WITH_TYPE_CHECKING, ALL_KINDS],
    ids=["module-level", "with-type-checking", "with-imports-in-functions"],
)
def test_no_import_cycle(heathwell_scan, kinds):
    cycles = find_cycles(edge for edge in heathwell_scan.imports if edge.kind in kinds)
    assert not cycles, report(cycles)


def test_no_import_against_the_layers(heathwell_scan):
    violations = find_layer_violations(heathwell_scan.imports, LAYERS)
    assert not violations, report(violations)


def test_each_module_has_a_layer(heathwell_scan):
    assert modules_without_rule(heathwell_scan.modules, LAYERS) == ()


def test_layer_table_names_existing_modules_once_and_points_down(heathwell_scan):
    prefixes = [rule.prefix for rule in LAYERS]
    assert len(prefixes) == len(set(prefixes))
    assert [prefix for prefix in prefixes if prefix not in heathwell_scan.modules] == []
    assert upward_permissions(LAYERS) == ()


def scan_tree(directory: Path, files: dict[str, str]) -> PackageScan:
    """Write a package named `tree` and scan it; what is not given is an empty `__init__`."""
    for name, source in files.items():
        path = directory / "tree" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source)
    for package in (directory / "tree", *(directory / "tree").iterdir()):
        if package.is_dir():
            (package / "__init__.py").touch()
    return scan_package(directory / "tree")


TREE_LAYERS = (LayerRule("tree"), LayerRule("tree.low"), LayerRule("tree.high", ("tree.low",)))
CLEAN_TREE = {
    "low/records.py": "import json\n",
    "low/reader.py": "from tree.low.records import Record\n",
    "high/service.py": "import os, tree.low.reader\nfrom tree.low import records\n",
}


def test_clean_tree_passes(tmp_path):
    scan = scan_tree(tmp_path, CLEAN_TREE)
    assert [edge.describe() for edge in scan.imports] == [
        "tree/high/service.py:1: tree.high.service imports tree.low.reader (module level)",
        "tree/high/service.py:2: tree.high.service imports tree.low.records (module level)",
        "tree/low/reader.py:1: tree.low.reader imports tree.low.records (module level)",
    ]
    assert find_cycles(scan.imports) == ()
    assert find_layer_violations(scan.imports, TREE_LAYERS) == ()
    assert modules_without_rule(scan.modules, TREE_LAYERS) == ()


def test_scan_tells_the_kinds_of_imports_apart(tmp_path):
    source = (
        "import typing\n"
        "try:\n    import tree.low.one\nexcept ImportError:\n    pass\n"
        "if typing.TYPE_CHECKING:\n    import tree.low.two\nelse:\n    import tree.low.three\n"
        "class Holder:\n    import tree.low.four\n"
        "    def method(self):\n        from tree.low import five\n"
        "async def serve():\n    import tree.low.six\n"
    )
    empty = {f"low/{name}.py": "" for name in ("one", "two", "three", "four", "five", "six")}
    scan = scan_tree(tmp_path, {"high/service.py": source, **empty})
    kinds = {edge.imported.rpartition(".")[2]: edge.kind for edge in scan.imports}
    assert kinds == {
        "one": ImportKind.MODULE_LEVEL,
        "two": ImportKind.TYPE_CHECKING,
        "three": ImportKind.MODULE_LEVEL,
        "four": ImportKind.MODULE_LEVEL,
        "five": ImportKind.DEFERRED,
        "six": ImportKind.DEFERRED,
    }


def test_scan_resolves_relative_imports(tmp_path):
    scan = scan_tree(
        tmp_path,
        {
            "low/__init__.py": "from .records import Record\n",
            "low/records.py": "",
            "high/service.py": (
                "from ..low import records\nfrom ..low.records import Record\nfrom .. import low\n"
            ),
        },
    )
    assert [(edge.importer, edge.imported) for edge in scan.imports] == [
        ("tree.high.service", "tree.low.records"),
        ("tree.high.service", "tree.low.records"),
        ("tree.high.service", "tree.low"),
        ("tree.low", "tree.low.records"),
    ]


def test_cycle_is_found_with_its_imports(tmp_path):
    files = {
        "low/a.py": "import tree.low.b\n",
        "low/b.py": "from tree.low import c\n",
        "low/c.py": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from tree.low.a import A\n",
        "high/d.py": "import tree.low.a\n",
    }
    scan = scan_tree(tmp_path, files)
    (cycle,) = find_cycles(scan.imports)
    assert cycle.modules == ("tree.low.a", "tree.low.b", "tree.low.c")
    assert cycle.describe().splitlines()[-1] == (
        "  tree/low/c.py:3: tree.low.c imports tree.low.a (TYPE_CHECKING)"
    )
    assert find_cycles(edge for edge in scan.imports if edge.kind in AT_MODULE_LEVEL) == ()


def test_cycle_through_the_init_of_a_package_is_found(tmp_path):
    scan = scan_tree(
        tmp_path,
        {"low/__init__.py": "from tree.low.a import A\n", "low/a.py": "from tree.low import A\n"},
    )
    assert [cycle.modules for cycle in find_cycles(scan.imports)] == [("tree.low", "tree.low.a")]


@pytest.mark.parametrize(
    "source",
    [
        "from tree.high import service\n",
        "import typing\nif typing.TYPE_CHECKING:\n    from tree.high.service import Service\n",
        "def late():\n    import tree.high.service\n",
    ],
    ids=["module-level", "type-checking", "in-a-function"],
)
def test_upward_import_is_found(tmp_path, source):
    scan = scan_tree(tmp_path, {**CLEAN_TREE, "low/reader.py": source})
    (violation,) = find_layer_violations(scan.imports, TREE_LAYERS)
    assert (violation.importer, violation.imported) == ("tree.low.reader", "tree.high.service")


def test_module_without_a_layer_is_found(tmp_path):
    scan = scan_tree(tmp_path, {**CLEAN_TREE, "lower/new.py": "import tree.low.records\n"})
    assert modules_without_rule(scan.modules, TREE_LAYERS) == ("tree.lower", "tree.lower.new")
    assert [edge.importer for edge in find_layer_violations(scan.imports, TREE_LAYERS)] == ["tree.lower.new"]


def test_upward_row_of_a_table_is_found():
    rules = (LayerRule("tree.low", ("tree.high",)), LayerRule("tree.high", ("tree.low",)))
    assert upward_permissions(rules) == ("tree.low -> tree.high",)


def test_modules_that_were_renamed_are_reported_as_missing():
    names = ["heathwell", "heathwell.policy", "heathwell.nowhere", "heathwell.nowhere.else", "nowhere"]
    assert missing_modules(names) == ["heathwell.nowhere", "heathwell.nowhere.else", "nowhere"]


def test_loaded_modules_are_matched_by_whole_names():
    loaded = {"heathwell.fleet", "heathwell.fleet.control.agent", "heathwell.fleets", "heathwell.policy"}
    assert among(loaded, ["heathwell.fleet"]) == ["heathwell.fleet", "heathwell.fleet.control.agent"]
    assert among(loaded, ["heathwell.fleet.control"]) == ["heathwell.fleet.control.agent"]
