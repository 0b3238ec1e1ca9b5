"""A bench day as a script: its kinds of trouble, at their times, scaled to the fleet at hand.

Read are the day's ``troubles`` (kind, at, len, size, extra, on, which, how, steps), ``length``, ``servers``,
``classes``, ``balancers`` and ``traffic``; figures that a loopback fleet has no counterpart for are named.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fault_script import Load, Mix, Script, Step


class BenchDayError(Exception):
    """A file that is not a bench day; the text names what is missing."""


def fault_script_from_bench_day(
    path: str, service_settings: ServiceSettings, config: str, seconds: float, rate: float
) -> tuple[Script, list[str]]:
    """The script of a day squeezed to so many seconds, and what could not be carried over."""
    try:
        day = json.loads(Path(path).read_text(encoding="utf-8"))
    except ValueError as problem:
        raise BenchDayError(f"{path}: not JSON: {problem}") from None
    for name in ("troubles", "length", "servers", "classes"):
        if not isinstance(day, dict) or name not in day:
            raise BenchDayError(f"{path}: not a day of the bench: '{name}' is missing")
    squeeze = min(1.0, seconds * 1e6 / day["length"])
    steps: list[Step] = []
    skipped: list[str] = []
    for trouble in day["troubles"]:
        made = _steps(trouble, day, service_settings, squeeze)
        if made:
            steps += made
        else:
            skipped.append(f"{trouble['kind']}: no counterpart on loopback")
    steps.sort(key=lambda step: step.at)
    mix = [
        Mix(space=space.prefix, share=_class_share(day, service_settings, space.query_class))
        for space in service_settings.keys
    ]
    script = Script(
        service_settings=config,
        seconds=day["length"] * squeeze / 1e6,
        load=Load(rate=rate, mix=mix),
        steps=steps,
    )
    return script, skipped


def _class_share(day: dict[str, Any], service_settings: ServiceSettings, name: str) -> float:
    index = [spec.name for spec in service_settings.classes].index(name)
    classes = day["classes"]
    return float(classes[min(index, len(classes) - 1)].get("share", 1.0)) or 0.01


def _hosts(on: list[int], day: dict[str, Any], service_settings: ServiceSettings) -> list[str]:
    """As large a share of the hosts as the day's, spread as its numbers are."""
    if not on:
        return []
    servers, leaves = max(1, len(day["servers"])), service_settings.fleet.leaves
    count = max(1, round(len(on) / servers * leaves))
    found = list(dict.fromkeys(number * leaves // servers % leaves for number in on))
    spare = [n for n in range(leaves) if n not in found]
    return [f"leaf{n}" for n in sorted((found + spare)[:count])]


def _steps(
    trouble: dict[str, Any], day: dict[str, Any], service_settings: ServiceSettings, squeeze: float
) -> list[Step]:
    kind, size, extra = trouble["kind"], float(trouble.get("size") or 0), float(trouble.get("extra") or 0)
    at, span = int(trouble["at"] * squeeze), max(1_000_000, int(trouble["len"] * squeeze))
    hosts = _hosts(trouble.get("on") or [], day, service_settings)
    every = [f"leaf{n}" for n in range(service_settings.fleet.leaves)]
    which = int(trouble.get("which") or 0)

    def step(name: Any, **more: Any) -> Step:
        return Step(at=more.pop("when", at), kind=name, span=more.pop("span", span), **more)

    match kind:
        case "slow" | "shared_slow" | "ageing" | "heavy_tail" | "neighbour":
            factor = size if size > 1 else 1 / max(1 - size, 0.2)
            return [step("slow", to=hosts or every, value=min(factor, 10.0))]
        case "hang" | "give_up":
            return [step("silent", to=hosts)]
        case "vanish" | "crash" | "zone_loss":
            return [step("crash", to=hosts)]
        case "pauses" | "flapping":
            beat = 2_000_000
            return [
                step("stall", to=hosts or every, when=at + n * beat, span=400_000)
                for n in range(max(1, span // beat))
            ]
        case "class_fail":
            name = service_settings.classes[which % len(service_settings.classes)].name
            return [step("failclass", to=hosts, query_class=name)]
        case "answer_lost":
            if trouble.get("how") == "reset":
                return [
                    step("reset", to=hosts, when=at + n * 2_000_000) for n in range(max(1, span // 2_000_000))
                ]
            return [step("lose", to=hosts, value=max(0.05, min(size, 1.0)))]
        case "poison":
            return [step("poison", value=max(1.0, round(span / 1e6 / 4)))]
        case "burst" | "shift":
            return [step("burst", value=max(1.1, min(size or 1.5, 3.0)))]
        case "discovery_down":
            return [step("discovery-down")]
        case "discovery_stale" | "report_late":
            return [step("discovery-late", value=max(extra, size, 1.0))]
        case "balancer_crash" | "balancer_stall":
            return [step("kill-broker", to=[f"b{which % max(1, service_settings.fleet.brokers)}"])]
        case "preempt" | "deploy":
            waves = trouble.get("steps") or [{"at": trouble["at"], "stop": trouble.get("on") or [0]}]
            return [
                step(
                    "drain",
                    to=_hosts(wave.get("stop") or [0], day, service_settings),
                    when=int(wave["at"] * squeeze),
                    span=0,
                )
                for wave in waves
            ]
        case "slow_link" | "handshake_slow" | "idle_reap":
            return [step("stall", to=hosts or every[:1], span=min(span, 500_000))]
    return []
