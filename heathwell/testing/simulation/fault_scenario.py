"""Plays a script against a fleet of processes, under load, and has the rules judged from the logs."""

from __future__ import annotations

import heapq
import json
import re
import signal
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heathwell.codec import frames
from heathwell.settings import ServiceSettings
from heathwell.testing.audit import Event, Verdict, judge, read_logs
from heathwell.testing.simulation.client_attempt import BrokerAddress
from heathwell.testing.simulation.client_population import ClientPopulation, Outcome
from heathwell.testing.simulation.errors import FleetError
from heathwell.testing.simulation.fault_links import FaultLinkError, FaultLinks
from heathwell.testing.simulation.fault_script import HOST_FAULTS, LINK_FAULTS, Script, Step, named
from heathwell.testing.simulation.process_fleet import ProcessFleet
from heathwell.testing.simulation.run_parameters import run_parameters_record
from heathwell.testing.simulation.scheduled_requests import ScheduledRequest, poisson_requests

KINDS = ("on time", "late", "partial", "refused", "failed", "lost", "broken", "no broker")
WINDOW = 5.0
WARM_UP = 2.0  # seconds before the load: the brokers learn the host list
ENDING = 4.0
JOINED_SECONDS = 4.0  # that a broker which joins by a script stays


class Day:
    """One run of a script."""

    def __init__(
        self,
        script: Script,
        service_settings: ServiceSettings,
        config: str,
        folder: str | Path,
        say: Callable[[str], None],
    ) -> None:
        self.script, self.service_settings, self.folder, self.say = (
            script,
            service_settings,
            Path(folder),
            say,
        )
        self.folder.mkdir(parents=True, exist_ok=True)
        self.events = self.folder / "events"
        self.config = config
        self.fleet = ProcessFleet(
            config,
            service_settings,
            str(self.events),
            script.seed,
            links=FaultLinks(script.seed) if script.wires else None,
            clock_rates={clock.process: clock.rate for clock in script.clocks},
        )
        self.clients: ClientPopulation | None = None
        self.exits: dict[str, int] = {}
        self.faults: list[str] = []  # of the harness itself
        self._over = False
        self.logged: list[Event] = []

    def play(self) -> Verdict:
        """Run it all; raises :class:`FleetError` when the fleet can't be had."""
        self.events.mkdir(exist_ok=True)
        stale = list(self.events.glob("*.jsonl"))
        for path in stale:
            path.unlink()
        self._note("run", figures=run_parameters_record(self.service_settings))
        began = time.monotonic()
        try:
            self.fleet.start()
            self.say(
                f"{self.service_settings.fleet.leaves} hosts and "
                f"{self.service_settings.fleet.brokers} brokers up after "
                f"{time.monotonic() - began:.1f} s"
            )
            time.sleep(WARM_UP)
            self._run()
        finally:
            self._over = True
            self.exits = self.fleet.stop()
        self.logged = read_logs([self.events])
        return judge(self.logged)

    def _run(self) -> None:
        script = self.script
        clients = self.clients = ClientPopulation(
            script.load, self.service_settings, self._brokers, self.events / "clients.jsonl"
        )
        due: list[tuple[float, int, Step | ScheduledRequest]] = []
        for number, arrival in enumerate(
            poisson_requests(
                script.load, self.service_settings, script.seed, 0.0, script.seconds, self._factor
            )
        ):
            due.append((arrival.at_seconds, number, arrival))
        for number, step in enumerate(script.steps):
            due.append((step.at / 1e6, -1 - number, step))
            if step.kind == "poison":
                due += [
                    (at, 10**9 + number * 1000 + n, self._poison(step, n, at))
                    for n in range(int(step.value))
                    for at in [step.at / 1e6 + n * step.span / 1e6 / step.value]
                ]
        heapq.heapify(due)
        zero = clients.start()
        while due:
            at, _, what = heapq.heappop(due)
            self._wait(zero + at)
            if isinstance(what, ScheduledRequest):
                clients.offer(what)
            else:
                self._do(what, at)
        self._wait(zero + script.seconds)
        clients.finish()
        time.sleep(ENDING / 2)

    def _wait(self, until: float) -> None:
        while (left := until - time.monotonic()) > 0:
            time.sleep(min(left, 0.2))
            for name in self.fleet.restart_ended_members():
                self.say(f"  {name} died; back, cold, in {self.fleet.restart_delay_seconds:g} s")

    def _brokers(self) -> list[BrokerAddress]:
        asked = self.script.load.ask
        return [
            BrokerAddress(m.name, m.address, m.vector_address)
            for m in self.fleet.brokers
            if m.address and (not asked or m.name in asked)
        ]

    def _factor(self, at: float) -> float:
        found = 1.0
        for step in self.script.steps:
            if step.kind == "burst" and step.at / 1e6 <= at < (step.at + step.span) / 1e6:
                found *= step.value
        return found

    def _poison(self, step: Step, number: int, at: float) -> ScheduledRequest:
        """A query that kills each host that begins it."""
        space = next(s for s in self.service_settings.keys if s.shape in ("search", "record"))
        for other in self.service_settings.keys:
            if other.shape == "search":
                space = other
        name = f"poison{step.at // 1000}x{number}"
        key = f"{space.prefix}:{name}:1" if space.shape == "record" else f"{space.prefix}:{name}"
        return ScheduledRequest(at, (key,), space.query_class)

    def _do(self, step: Step, at: float) -> None:
        self.say(
            f"  {at:5.1f} s {step.kind} {' '.join(step.to)}"
            + (f" x{step.value:g}" if step.value else "")
            + (f" for {step.span / 1e6:g} s" if step.span else "")
        )
        try:
            if step.kind in HOST_FAULTS:
                for name in step.to:
                    self.fleet.inject_fault(
                        name, frames.FaultCommand(step.kind, step.value, step.span, step.query_class)
                    )
            elif step.kind in ("discovery-down", "discovery-late"):
                self.fleet.inject_fault(
                    "discovery", frames.FaultCommand(step.kind.partition("-")[2], step.value, step.span)
                )
            elif step.kind.startswith("link-"):
                for link in self.fleet.relays:
                    if not step.to or link.name.removeprefix("link-") in step.to:
                        self.fleet.inject_fault(
                            link.name, frames.FaultCommand(step.kind[5:], step.value, step.span)
                        )
            elif step.kind in ("crash", "kill-broker", "kill", "pause"):
                act = self._pause if step.kind == "pause" else self.fleet.kill
                for name in self._named(step.to):
                    act(name, step.span / 1e6)
            elif step.kind == "restart-all":  # within the span, one after another
                for number, name in enumerate(names := self._named(["b*"])):
                    self.fleet.kill(name, step.span / 1e6 * (number + 1) / len(names))
            elif step.kind in LINK_FAULTS and self.fleet.links is not None:
                self.fleet.links.inject_fault(
                    self._named(step.source),
                    self._named(step.to),
                    step.kind.removeprefix("way-"),
                    step.span,
                    step.value,
                )
            elif step.kind == "resize":
                self._resize(step)
            elif step.kind == "join":
                self._join(step)
            elif step.kind == "zone-loss":
                zones = {self.service_settings.fleet.zones.index(name) for name in step.to}
                for member in list(self.fleet.members.values()):
                    if member.role in ("leaf", "broker") and member.zone in zones:
                        self.fleet.kill(member.name, step.span / 1e6)
        except (OSError, FleetError, FaultLinkError) as problem:
            # A trouble that was not made must not pass for one that was borne; but who is down can't be
            # slowed.
            if step.kind not in HOST_FAULTS:
                self.faults.append(f"{at:.1f} s {step.kind}: {problem}")
            self.say(f"  {step.kind} could not be carried out: {problem}")

    def _pause(self, name: str, seconds: float) -> None:
        """Stop a process, and say so to the auditor: what it holds meanwhile can't be answered."""
        self._note("paused", name=name, span=int(seconds * 1e6))
        self.fleet.pause(name, seconds)

    def _note(self, event: str, **fields: Any) -> None:
        with (self.events / "run.jsonl").open("a", encoding="utf-8") as log:
            log.write(
                json.dumps({"t": time.monotonic_ns() // 1000, "who": "run", "ev": event, **fields}) + "\n"
            )

    def _named(self, patterns: list[str]) -> list[str]:
        return [name for pattern in patterns for name in named(pattern, self.fleet.members)]

    def _join(self, step: Step) -> None:
        """A broker more each so many seconds, until the span is over; each is asked to end after a while."""
        first, count = len(self.fleet.brokers), int(step.span / 1e6 / step.value)

        def one(number: int) -> None:
            if not self._over:
                try:
                    self.fleet.add_broker(number, JOINED_SECONDS)
                except (OSError, FleetError) as problem:
                    self.faults.append(f"join of b{number}: {problem}")

        for n in range(count):
            timer = threading.Timer(n * step.value, one, (first + n,))
            timer.daemon = True
            timer.start()

    def _resize(self, step: Step) -> None:
        """Another whole in the settings' file, and SIGHUP to the keepers that read it anew."""
        text = Path(self.config).read_text(encoding="utf-8")
        found = re.search(rf"\(budget {step.budget}\s+\(whole ([0-9.]+)\) \(aside ([0-9.]+)%\)", text)
        if found is None:
            raise FleetError(f"{self.config}: no (budget {step.budget} (whole ...) (aside ...%)")
        aside = float(found[1]) * float(found[2]) / step.value  # brokers' own minima stay as they are
        said = f"(budget {step.budget} (whole {step.value:g}) (aside {aside:g}%)"
        Path(self.config).write_text(text[: found.start()] + said + text[found.end() :], encoding="utf-8")
        for keeper in self.fleet.coordinators:
            self.fleet.send_signal(keeper.name, signal.SIGHUP)

    def service(self) -> list[str]:
        """Per class and window: how requests ended, in shares of those that arrived."""
        assert self.clients is not None
        return service_table(self.clients.outcomes, self.script.seconds)


def service_table(outcomes: list[Outcome], seconds: float) -> list[str]:
    """Lines of a table, a window of five seconds a row and the whole run last."""
    by: dict[tuple[str, int], dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for outcome in outcomes:
        by[outcome.query_class, int(outcome.scheduled_at_seconds // WINDOW)][outcome.kind] += 1
        by[outcome.query_class, -1][outcome.kind] += 1
    lines = []
    for query_class in sorted({name for name, _ in by}):
        lines.append(f"{query_class:<14} {'asked':>6} " + " ".join(f"{kind:>9}" for kind in KINDS))
        windows = [*range(int(seconds // WINDOW) + 1), -1]
        for window in windows:
            counts = by.get((query_class, window))
            if counts is None:
                continue
            asked = sum(counts.values())
            label = "whole run" if window < 0 else f"{window * WINDOW:3.0f}-{(window + 1) * WINDOW:.0f} s"
            shares = " ".join(
                f"{counts.get(kind, 0) / asked:>9.1%}" if counts.get(kind) else f"{'-':>9}" for kind in KINDS
            )
            lines.append(f"  {label:<12} {asked:>6} {shares}")
    return lines


def summary(day: Day, verdict: Verdict) -> dict[str, Any]:
    """Figures of a run, for a file."""
    assert day.clients is not None
    counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for outcome in day.clients.outcomes:
        counts[outcome.query_class][outcome.kind] += 1
    return {
        "service": counts,
        "off_schedule": day.clients.late_start_count,
        "asked": day.clients.request_count,
        "judged": verdict.counts,
        "coldest": verdict.coldest,
        "breaches": [str(b) for b in verdict.breaches],
        "deaths": len(day.fleet.deaths),
    }
