"""Converts a day of the bench to a fault script: its faults, at their times, scaled to the fleet at hand.

Faults without a counterpart on loopback are skipped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.bench_day import BenchDay, BenchFault, BenchWave, load_bench_day
from heathwell.testing.simulation.fault_script import Load, Mix, Script, Step
from heathwell.testing.simulation.scripted_faults import ScriptedFault
from heathwell.testing.standins.units import US_PER_SECOND

MIN_DURATION_US: Final = 1_000_000
MIN_SHARE: Final = 0.01
MIN_SPEED: Final = 0.2
MAX_SLOWNESS: Final = 10.0
STALL_INTERVAL_US: Final = 2_000_000
STALL_DURATION_US: Final = 400_000
MAX_LINK_STALL_US: Final = 500_000
RESET_INTERVAL_US: Final = 2_000_000
RESET: Final = "reset"
MIN_LOSS: Final = 0.05
SECONDS_PER_QUERY_OF_DEATH: Final = 4
DEFAULT_BURST: Final = 1.5
MIN_BURST: Final = 1.1
MAX_BURST: Final = 3.0
MIN_DISCOVERY_DELAY_SECONDS: Final = 1.0


class ConvertedDay(NamedTuple):
    """The script of a day, and a text for each fault that was skipped."""

    script: Script
    skipped: list[str]


def fault_script_from_bench_day(
    path: str, service_settings: ServiceSettings, settings_path: str, seconds: float, rate: float
) -> ConvertedDay:
    """Return the script of a day, shortened to ``seconds`` where it is longer, at ``rate`` requests a second.

    Raise :class:`BenchDayError` or :class:`OSError`.
    """
    day = load_bench_day(path)
    time_scale = min(1.0, seconds * US_PER_SECOND / day.length_us)
    converter = _FaultConverter(day, service_settings, time_scale)
    steps: list[Step] = []
    skipped: list[str] = []
    for fault in day.faults:
        converted = converter.convert(fault)
        steps += converted
        if not converted:
            skipped.append(f"{fault.kind}: no counterpart on loopback")
    mix = [
        Mix(space=space.prefix, share=_class_share(day, service_settings, space.query_class))
        for space in service_settings.keys
    ]
    script = Script(
        service_settings=settings_path,
        seconds=day.length_us * time_scale / US_PER_SECOND,
        load=Load(rate=rate, mix=mix),
        steps=sorted(steps, key=lambda step: step.at_us),
    )
    return ConvertedDay(script, skipped)


def _class_share(day: BenchDay, service_settings: ServiceSettings, query_class: str) -> float:
    index = [spec.name for spec in service_settings.classes].index(query_class)
    return day.classes[min(index, len(day.classes) - 1)].share or MIN_SHARE


@dataclass(frozen=True, slots=True)
class _FaultConverter:
    """Converts faults of a day to steps; times are multiplied by ``time_scale``."""

    day: BenchDay
    service_settings: ServiceSettings
    time_scale: float

    def convert(self, fault: BenchFault) -> list[Step]:
        """Return the steps of a fault, none where it has no counterpart."""
        converter = _CONVERTERS.get(fault.kind)
        return converter(self, fault) if converter is not None else []

    def at_us(self, fault: BenchFault) -> int:
        """Return when a fault begins in the script."""
        return int(fault.at_us * self.time_scale)

    def duration_us(self, fault: BenchFault) -> int:
        """Return how long a fault lasts in the script."""
        return max(MIN_DURATION_US, int(fault.duration_us * self.time_scale))

    def step(
        self, kind: ScriptedFault, fault: BenchFault, targets: list[str] | None = None, value: float = 0.0
    ) -> Step:
        """Return a step at the time of a fault and as long."""
        return Step(
            at_us=self.at_us(fault),
            kind=kind,
            targets=targets or [],
            duration_us=self.duration_us(fault),
            value=value,
        )

    def repeated_steps(
        self, kind: ScriptedFault, fault: BenchFault, targets: list[str], interval_us: int, duration_us: int
    ) -> list[Step]:
        """Return short steps, at intervals for as long as a fault lasts."""
        count = max(1, self.duration_us(fault) // interval_us)
        first_at_us = self.at_us(fault)
        return [
            Step(
                at_us=first_at_us + number * interval_us,
                kind=kind,
                targets=targets,
                duration_us=duration_us,
            )
            for number in range(count)
        ]

    def hosts(self, servers: list[int] | None) -> list[str]:
        """Return as large a fraction of the hosts as the servers are of the day's, spread as they are."""
        if not servers:
            return []
        server_count = max(1, len(self.day.servers))
        host_count = self.service_settings.fleet.leaves
        count = max(1, round(len(servers) / server_count * host_count))
        chosen = list(dict.fromkeys(server * host_count // server_count % host_count for server in servers))
        others = [number for number in range(host_count) if number not in chosen]
        return [f"leaf{number}" for number in sorted((chosen + others)[:count])]

    def all_hosts(self) -> list[str]:
        """Return all hosts."""
        return [f"leaf{number}" for number in range(self.service_settings.fleet.leaves)]


def _convert_slowness(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    size = fault.size or 0.0
    slowness = size if size > 1 else 1 / max(1 - size, MIN_SPEED)
    hosts = converter.hosts(fault.servers) or converter.all_hosts()
    return [converter.step(ScriptedFault.SLOW, fault, hosts, min(slowness, MAX_SLOWNESS))]


def _convert_silence(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    return [converter.step(ScriptedFault.SILENT, fault, converter.hosts(fault.servers))]


def _convert_crash(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    return [converter.step(ScriptedFault.CRASH_HOST, fault, converter.hosts(fault.servers))]


def _convert_pauses(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    hosts = converter.hosts(fault.servers) or converter.all_hosts()
    return converter.repeated_steps(ScriptedFault.STALL, fault, hosts, STALL_INTERVAL_US, STALL_DURATION_US)


def _convert_class_failure(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    classes = converter.service_settings.classes
    step = converter.step(ScriptedFault.FAIL_QUERY_CLASS, fault, converter.hosts(fault.servers))
    step.query_class = classes[int(fault.index or 0) % len(classes)].name
    return [step]


def _convert_lost_answers(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    hosts = converter.hosts(fault.servers)
    if fault.manner == RESET:
        return converter.repeated_steps(
            ScriptedFault.RESET_CONNECTIONS,
            fault,
            hosts,
            RESET_INTERVAL_US,
            converter.duration_us(fault),
        )
    loss = max(MIN_LOSS, min(fault.size or 0.0, 1.0))
    return [converter.step(ScriptedFault.LOST_REPLIES, fault, hosts, loss)]


def _convert_queries_of_death(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    seconds = converter.duration_us(fault) / US_PER_SECOND
    count = max(1.0, round(seconds / SECONDS_PER_QUERY_OF_DEATH))
    return [converter.step(ScriptedFault.QUERIES_OF_DEATH, fault, value=count)]


def _convert_burst(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    factor = max(MIN_BURST, min(fault.size or DEFAULT_BURST, MAX_BURST))
    return [converter.step(ScriptedFault.LOAD_BURST, fault, value=factor)]


def _convert_discovery_outage(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    return [converter.step(ScriptedFault.DISCOVERY_OUTAGE, fault)]


def _convert_discovery_delay(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    delay_seconds = max(fault.extra_seconds or 0.0, fault.size or 0.0, MIN_DISCOVERY_DELAY_SECONDS)
    return [converter.step(ScriptedFault.DISCOVERY_DELAY, fault, value=delay_seconds)]


def _convert_broker_loss(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    number = int(fault.index or 0) % max(1, converter.service_settings.fleet.brokers)
    return [converter.step(ScriptedFault.KILL_BROKER, fault, [f"b{number}"])]


def _convert_deployment(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    waves = fault.waves or [BenchWave(fault.at_us, fault.servers)]
    return [
        Step(
            at_us=int(wave.at_us * converter.time_scale),
            kind=ScriptedFault.DRAIN,
            targets=converter.hosts(wave.stopped or [0]),
        )
        for wave in waves
    ]


def _convert_link_stall(converter: _FaultConverter, fault: BenchFault) -> list[Step]:
    hosts = converter.hosts(fault.servers) or converter.all_hosts()[:1]
    step = converter.step(ScriptedFault.STALL, fault, hosts)
    step.duration_us = min(step.duration_us, MAX_LINK_STALL_US)
    return [step]


_CONVERTERS: Final[dict[str, Callable[[_FaultConverter, BenchFault], list[Step]]]] = {
    "slow": _convert_slowness,
    "shared_slow": _convert_slowness,
    "ageing": _convert_slowness,
    "heavy_tail": _convert_slowness,
    "neighbour": _convert_slowness,
    "hang": _convert_silence,
    "give_up": _convert_silence,
    "vanish": _convert_crash,
    "crash": _convert_crash,
    "zone_loss": _convert_crash,
    "pauses": _convert_pauses,
    "flapping": _convert_pauses,
    "class_fail": _convert_class_failure,
    "answer_lost": _convert_lost_answers,
    "poison": _convert_queries_of_death,
    "burst": _convert_burst,
    "shift": _convert_burst,
    "discovery_down": _convert_discovery_outage,
    "discovery_stale": _convert_discovery_delay,
    "report_late": _convert_discovery_delay,
    "balancer_crash": _convert_broker_loss,
    "balancer_stall": _convert_broker_loss,
    "preempt": _convert_deployment,
    "deploy": _convert_deployment,
    "slow_link": _convert_link_stall,
    "handshake_slow": _convert_link_stall,
    "idle_reap": _convert_link_stall,
}
