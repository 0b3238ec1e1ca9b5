"""Scripts of bad days: what goes wrong, where and when, and the load meanwhile."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, field

from heathwell.settings import ServiceSettings, SettingsError, load
from heathwell.settings.check import loads_as
from heathwell.settings.schema import Record, described, duration, fraction, repeated

HOST_FAULTS = (
    "stall",
    "slow",
    "silent",
    "midreply",
    "lose",
    "refuse",
    "failclass",
    "reset",
    "drain",
    "lag",
    "stuck",
    "back",
    "lie",
    "spoil",
)
PROCESS_FAULTS = ("kill", "pause")  # of any process by name
LINK_FAULTS = (
    "cut",
    "cut-out",
    "cut-back",
    "way-delay",
    "way-loss",
    "way-reset",
)  # between processes, by relays
NEED_A_FIGURE = (
    "slow",
    "burst",
    "lose",
    "discovery-late",
    "poison",
    "lag",
    "back",
    "lie",
    "link-delay",
    "link-rate",
    "link-loss",
    "link-flap",
    "way-delay",
    "way-loss",
    "resize",
    "join",
)
Kind = Literal[
    "stall",
    "slow",
    "silent",
    "midreply",
    "lose",
    "refuse",
    "failclass",
    "reset",
    "drain",
    "crash",
    "zone-loss",
    "discovery-down",
    "discovery-late",
    "burst",
    "poison",
    "kill-broker",
    "lag",
    "stuck",
    "back",
    "lie",
    "spoil",
    "link-delay",
    "link-rate",
    "link-loss",
    "link-cut",
    "link-oneway",
    "link-flap",
    "link-reset",
    "link-refuse",
    "kill",
    "pause",
    "restart-all",
    "cut",
    "cut-out",
    "cut-back",
    "way-delay",
    "way-loss",
    "way-reset",
    "resize",
    "join",
]


class Mix(Record):
    """A share of the load."""

    space: Annotated[
        str, Meta(description="a key space, or vector:COLLECTION", min_length=1, extra={"positional": True})
    ]
    share: Annotated[float, Meta(gt=0, description="its weight among the mix")] = 1.0


class Load(Record):
    """Clients and what they ask."""

    rate: Annotated[float, Meta(gt=0, description="requests a second, arriving whether or not answers come")]
    clients: Annotated[int, Meta(ge=1, description="connections at work at once")] = 64
    traders: Annotated[int, Meta(ge=1, description="distinct traders and terms")] = 300
    multi: Annotated[float, fraction("share of requests that are multi-gets of four keys")] = 0.1
    retries: Annotated[int, Meta(ge=0, description="times a client asks again after a refusal")] = 1
    ask: Annotated[list[str], described("brokers that are asked; none: all")] = []
    mix: Annotated[list[Mix], repeated("mix", "key spaces by weight")] = []


class Step(Record):
    """One trouble."""

    at: Annotated[
        int, Meta(ge=0, description="when, from the load's start", extra={"unit": "time", "positional": True})
    ]
    kind: Annotated[Kind, Meta(description="what", extra={"positional": True})]
    to: Annotated[list[str], described("hosts (leaf3), brokers (b1) or a zone's name")] = []
    span: Annotated[int, duration("for how long, or until it is back")] = 0
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
    source: Annotated[
        list[str],
        described("the other side of a way; cut-out is what this side sends, cut-back what it hears"),
    ] = field(name="from", default_factory=list)
    budget: Annotated[str, described("budget that resize gives another whole, its value")] = ""


class Clock(Record):
    """A process whose clock is wrong."""

    process: Annotated[str, Meta(description="its name", extra={"positional": True})]
    rate: Annotated[float, Meta(ge=0.5, le=2, description="how fast it runs", extra={"positional": True})]


class Script(Record):
    """A bad day."""

    service_settings: Annotated[str, described("settings file, beside the script")] = field(name="market")
    seconds: Annotated[float, Meta(gt=0, description="length of the load")]
    load: Annotated[Load, described("clients")]
    seed: Annotated[int, Meta(ge=0, description="seed of arrivals and keys")] = 1
    steps: Annotated[list[Step], repeated("at", "what goes wrong")] = []
    wires: Annotated[
        bool, described("each process reaches each other by a relay of its own, which can be cut")
    ] = False
    clocks: Annotated[list[Clock], repeated("clock", "wrong clocks")] = []


def _steps(script: Script) -> Iterator[tuple[str, str]]:
    if not script.load.mix:
        yield "load", "names no mix"
    for index, step in enumerate(script.steps):
        path = f"at[{index}]"
        if (
            step.kind in (*HOST_FAULTS, "crash", "zone-loss", "kill-broker", *PROCESS_FAULTS, *LINK_FAULTS)
            and not step.to
        ):
            yield f"{path}.to", f"{step.kind} needs a target"
        if step.kind in LINK_FAULTS and not script.wires:
            yield path, f"{step.kind} needs (wires yes)"
        if step.kind in LINK_FAULTS and not step.source:
            yield f"{path}.from", f"{step.kind} needs both sides of its ways"
        if step.kind == "resize" and not step.budget:
            yield f"{path}.budget", "resize needs a budget"
        if step.kind not in ("reset", "drain", "back", "link-reset", "way-reset", "resize") and not step.span:
            yield f"{path}.span", f"{step.kind} needs a span"
        if step.kind in NEED_A_FIGURE and step.value <= 0:
            yield f"{path}.value", f"{step.kind} needs a figure"
        if step.at > script.seconds * 1e6:
            yield path, "lies after the end"


def _against(script: Script, service_settings: ServiceSettings) -> Iterator[tuple[str, str]]:
    spaces = {space.prefix for space in service_settings.keys}
    if service_settings.vector.listen:
        spaces |= {f"vector:{spec.name}" for spec in service_settings.collections}
    classes = {spec.name for spec in service_settings.classes}
    hosts = {f"leaf{n}" for n in range(service_settings.fleet.leaves)}
    brokers = {f"b{n}" for n in range(service_settings.fleet.brokers)}
    for index, mix in enumerate(script.load.mix):
        if mix.space not in spaces:
            yield f"load.mix[{index}]", f"no key space '{mix.space}'; there are {', '.join(sorted(spaces))}"
    for index, step in enumerate(script.steps):
        if step.kind.startswith("link-"):
            if not service_settings.across.regions:
                yield f"at[{index}]", f"{step.kind} needs settings with regions"
            known = {region.name for region in service_settings.across.regions}
        else:
            known = _targets(step, service_settings, hosts, brokers)
        for target in (*step.to, *step.source):
            if target not in known and not named(target, known):
                yield (
                    f"at[{index}].to",
                    f"no '{target}' for {step.kind}; there are {', '.join(sorted(known))}",
                )
        if step.kind == "failclass" and step.query_class not in classes:
            yield (
                f"at[{index}].class",
                f"no class '{step.query_class}'; there are {', '.join(sorted(classes))}",
            )


def named(pattern: str, names: Iterable[str]) -> list[str]:
    """The processes that a target means: a name, or ``b*`` for all of a kind."""
    return [
        name
        for name in names
        if name == pattern or pattern[-1:] == "*" and name.rstrip("0123456789") == pattern[:-1]
    ]


def _targets(step: Step, service_settings: ServiceSettings, hosts: set[str], brokers: set[str]) -> set[str]:
    """What a trouble of the fleet may be done to."""
    if step.kind in (*PROCESS_FAULTS, *LINK_FAULTS):
        return (
            hosts
            | brokers
            | {f"k{n}" for n in range(len(service_settings.fleet.coordinators))}
            | {"discovery"}
        )
    if step.kind == "resize":
        return {budget.name for budget in service_settings.fleet.budgets}
    return (
        set(service_settings.fleet.zones)
        if step.kind == "zone-loss"
        else brokers
        if step.kind in ("kill-broker", "restart-all")
        else hosts
    )


def load_script(path: str) -> tuple[Script, ServiceSettings, str]:
    """A script, its settings and their path; raises :class:`SettingsError`, :class:`OSError`."""
    text = Path(path).read_text(encoding="utf-8")
    script = loads_as(Script, (_steps,), text, path)
    config = str(Path(path).parent / script.service_settings)
    service_settings = load(config)
    wrong = list(_against(script, service_settings))
    if wrong:
        loads_as(Script, (lambda _script: wrong,), text, path)
        raise SettingsError([])
    return script, service_settings, config
