"""Fault scripts: which faults are injected where and when, and the load meanwhile."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import partial
from pathlib import Path
from typing import Annotated, Final, NamedTuple

from msgspec import Meta, field

from heathwell.settings import ServiceSettings, load
from heathwell.settings.check import PathAndText, loads_as
from heathwell.settings.schema import Record, described, duration, fraction, repeated
from heathwell.testing.simulation.scripted_faults import (
    INSTANT_FAULTS,
    PARAMETERIZED_FAULTS,
    PROCESS_FAULTS,
    PROCESS_LINK_FAULTS,
    REGION_LINK_FAULTS,
    TARGETED_FAULTS,
    ScriptedFault,
)
from heathwell.testing.standins.units import US_PER_SECOND

ANY_NUMBER: Final = "*"
"""At the end of a target: all processes of that name, whatever their number."""
DIGITS: Final = "0123456789"


class Mix(Record):
    """A share of the load."""

    space: Annotated[
        str, Meta(description="a key space, or vector:COLLECTION", min_length=1, extra={"positional": True})
    ]
    share: Annotated[float, Meta(gt=0, description="its weight among the mix")] = 1.0


class Load(Record):
    """Clients and their requests."""

    rate: Annotated[float, Meta(gt=0, description="requests a second, arriving whether or not answers come")]
    clients: Annotated[int, Meta(ge=1, description="connections at work at once")] = 64
    traders: Annotated[int, Meta(ge=1, description="distinct traders and terms")] = 300
    multi: Annotated[float, fraction("share of requests that are multi-gets of four keys")] = 0.1
    retries: Annotated[int, Meta(ge=0, description="times a client asks again after a refusal")] = 1
    brokers: Annotated[list[str], described("brokers that are asked; none: all")] = field(
        name="ask", default_factory=list
    )
    mix: Annotated[list[Mix], repeated("mix", "key spaces by weight")] = []


class Step(Record):
    """One fault."""

    at_us: Annotated[
        int, Meta(ge=0, description="when, from the load's start", extra={"unit": "time", "positional": True})
    ] = field(name="at")
    kind: Annotated[ScriptedFault, Meta(description="what", extra={"positional": True})]
    targets: Annotated[list[str], described("hosts (leaf3), brokers (b1) or a zone's name")] = field(
        name="to", default_factory=list
    )
    duration_us: Annotated[int, duration("for how long, or until it is back")] = field(name="span", default=0)
    value: Annotated[
        float,
        Meta(
            description="factor of slow and burst, share of lose and link-loss, seconds of late, "
            "queries of poison"
        ),
    ] = 0.0
    query_class: Annotated[str, described("class that failclass fails, or that alone is slow")] = field(
        name="class", default=""
    )
    sources: Annotated[
        list[str],
        described("the other side of a way; cut-out is what this side sends, cut-back what it hears"),
    ] = field(name="from", default_factory=list)
    budget: Annotated[str, described("budget that resize gives another whole, its value")] = ""

    @property
    def at_seconds(self) -> float:
        """The time from the load's start."""
        return self.at_us / US_PER_SECOND

    @property
    def duration_seconds(self) -> float:
        """The duration, 0 where it has none."""
        return self.duration_us / US_PER_SECOND

    @property
    def ends_at_seconds(self) -> float:
        """The end from the load's start."""
        return (self.at_us + self.duration_us) / US_PER_SECOND


class Clock(Record):
    """A process whose clock is wrong."""

    process: Annotated[str, Meta(description="its name", extra={"positional": True})]
    rate: Annotated[float, Meta(ge=0.5, le=2, description="how fast it runs", extra={"positional": True})]


class Script(Record):
    """A fault scenario."""

    service_settings: Annotated[str, described("settings file, beside the script")] = field(name="market")
    seconds: Annotated[float, Meta(gt=0, description="length of the load")]
    load: Annotated[Load, described("clients")]
    seed: Annotated[int, Meta(ge=0, description="seed of arrivals and keys")] = 1
    steps: Annotated[list[Step], repeated("at", "what goes wrong")] = []
    has_process_links: Annotated[
        bool, described("each process reaches each other by a relay of its own, which can be cut")
    ] = field(name="wires", default=False)
    clocks: Annotated[list[Clock], repeated("clock", "wrong clocks")] = []


class LoadedScript(NamedTuple):
    """A script, its settings and the path of their file."""

    script: Script
    service_settings: ServiceSettings
    settings_path: str


def load_script(path: str) -> LoadedScript:
    """Return a script with its settings. Raise :class:`SettingsError` or :class:`OSError`."""
    text = Path(path).read_text(encoding="utf-8")
    script = loads_as(Script, (_check_steps,), text, path)
    settings_path = str(Path(path).parent / script.service_settings)
    service_settings = load(settings_path)
    check_names = partial(_check_names, service_settings=service_settings)
    return LoadedScript(loads_as(Script, (check_names,), text, path), service_settings, settings_path)


def matching_names(pattern: str, names: Iterable[str]) -> list[str]:
    """Return the names that a target means: itself, or for ``b*`` all of that kind."""
    if pattern.endswith(ANY_NUMBER):
        prefix = pattern.removesuffix(ANY_NUMBER)
        return [name for name in names if name == pattern or name.rstrip(DIGITS) == prefix]
    return [name for name in names if name == pattern]


def _check_steps(script: Script) -> Iterator[PathAndText]:
    """Yield what a script lacks, whatever its settings."""
    if not script.load.mix:
        yield "load", "names no mix"
    for index, step in enumerate(script.steps):
        yield from _check_step(step, f"at[{index}]", script)


def _check_step(step: Step, path: str, script: Script) -> Iterator[PathAndText]:
    kind = step.kind
    is_link_fault = kind in PROCESS_LINK_FAULTS
    missing = (
        (kind in TARGETED_FAULTS and not step.targets, f"{path}.to", "needs a target"),
        (is_link_fault and not script.has_process_links, path, "needs (wires yes)"),
        (is_link_fault and not step.sources, f"{path}.from", "needs both sides of its ways"),
        (kind is ScriptedFault.RESIZE_BUDGET and not step.budget, f"{path}.budget", "needs a budget"),
        (kind not in INSTANT_FAULTS and not step.duration_us, f"{path}.span", "needs a span"),
        (kind in PARAMETERIZED_FAULTS and step.value <= 0, f"{path}.value", "needs a figure"),
    )
    for is_missing, place, need in missing:
        if is_missing:
            yield place, f"{kind} {need}"
    if step.at_us > script.seconds * US_PER_SECOND:
        yield path, "lies after the end"


def _check_names(script: Script, service_settings: ServiceSettings) -> Iterator[PathAndText]:
    """Yield the names in a script that its settings lack."""
    spaces = {space.prefix for space in service_settings.keys}
    if service_settings.vector.listen:
        spaces |= {f"vector:{spec.name}" for spec in service_settings.collections}
    for index, mix in enumerate(script.load.mix):
        if mix.space not in spaces:
            yield f"load.mix[{index}]", f"no key space '{mix.space}'; there are {_listed(spaces)}"
    for index, step in enumerate(script.steps):
        yield from _check_step_names(step, f"at[{index}]", service_settings)


def _check_step_names(step: Step, path: str, service_settings: ServiceSettings) -> Iterator[PathAndText]:
    if step.kind in REGION_LINK_FAULTS and not service_settings.across.regions:
        yield path, f"{step.kind} needs settings with regions"
    known = _possible_targets(step.kind, service_settings)
    for target in (*step.targets, *step.sources):
        if not matching_names(target, known):
            yield f"{path}.to", f"no '{target}' for {step.kind}; there are {_listed(known)}"
    classes = {spec.name for spec in service_settings.classes}
    if step.kind is ScriptedFault.FAIL_QUERY_CLASS and step.query_class not in classes:
        yield f"{path}.class", f"no class '{step.query_class}'; there are {_listed(classes)}"


def _listed(names: Iterable[str]) -> str:
    return ", ".join(sorted(names))


def _possible_targets(kind: ScriptedFault, service_settings: ServiceSettings) -> set[str]:
    """Return the names of what a fault of this kind can be injected into."""
    fleet = service_settings.fleet
    hosts = {f"leaf{number}" for number in range(fleet.leaves)}
    brokers = {f"b{number}" for number in range(fleet.brokers)}
    if kind in REGION_LINK_FAULTS:
        return {region.name for region in service_settings.across.regions}
    if kind in PROCESS_FAULTS | PROCESS_LINK_FAULTS:
        coordinators = {f"k{number}" for number in range(len(fleet.coordinators))}
        return hosts | brokers | coordinators | {"discovery"}
    match kind:
        case ScriptedFault.RESIZE_BUDGET:
            return {budget.name for budget in fleet.budgets}
        case ScriptedFault.ZONE_LOSS:
            return set(fleet.zones)
        case ScriptedFault.KILL_BROKER | ScriptedFault.RESTART_ALL_BROKERS:
            return brokers
        case _:
            return hosts
