"""The controller of a change: keeps its course on disk, wishes of machines, judges by what they say."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heathwell import inner_protocol
from heathwell.codec import frames
from heathwell.fleet.control.link import ControlLink
from heathwell.fleet.control.messages import MESSAGE_MOST
from heathwell.fleet.control.state_file import write_atomically
from heathwell.fleet.rollout import (
    FINAL_STATES,
    RESTART_SUFFIX,
    BrokerWindow,
    QueryStatistics,
    RolloutController,
    RolloutEvent,
    RolloutState,
    Transition,
)
from heathwell.fleet.rollout.broker_supervisor import SupervisorState
from heathwell.kernel import Coro, Event, Listener, Loop, Net, Stream

TURN_US = 200_000
RECORD = "rollout.json"
BUSY = (
    SupervisorState.STARTING,
    SupervisorState.REPLACING,
    SupervisorState.DRAINING,
    SupervisorState.WAITING,
)


class Controller:
    """One run of a controller. ``holds`` tells whether it is the fleet's one at this moment: without it
    nothing is begun. ``files`` are a version's program and settings, by name. ``crash_at`` ends the process
    at that point, for tests.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        course: RolloutController,
        folder: Path,
        machines: list[str],
        files: dict[str, tuple[str, str]],
        *,
        term: int,
        holds: Callable[[], bool],
        log: Callable[..., None],
        check: Callable[[], list[str]],
        crash: Callable[[str], None],
    ) -> None:
        self.loop, self.net, self.course, self.folder, self.files = loop, net, course, folder, files
        self.holds, self.log, self.check, self.crash = holds, log, check, crash
        self.done = Event()
        self.listener: Listener | None = None
        self.views: dict[str, frames.MachineView] = {}
        self.viewed_us: dict[str, int] = {}
        self._runs: dict[str, frames.BrokerStatus] = {}  # each broker's latest
        self._at: dict[str, str] = {}  # and the machine that it is of
        self._before: dict[str, frames.BrokerStatus] = {}  # and as it was a window ago
        self._deaths: dict[str, int] = {}  # of each broker, as this controller first saw it
        self._refused: Counter[str] = Counter()
        self._window_us = 0
        self._unwritten = False
        self._told = ""
        path = folder / RECORD
        if path.exists():
            course.restore(json.loads(path.read_text()), term)
            self.log("info", "goes on", change=course.id, state=course.state, stage=course.stage)
        course.term = term
        self.links = {
            address: ControlLink(
                loop,
                net,
                address,
                f"rollout {course.id}",
                "controller",
                silence_us=10 * TURN_US,
                seed=number,
                heard=lambda message, address=address: self._heard(  # type: ignore[misc]
                    address, message
                ),
                log=log,
            )
            for number, address in enumerate(machines)
        }

    def start(self, listen: str) -> str:
        """Open the door for operators, and begin."""
        self.listener = self.net.listen(listen, self._serve, "rollout", 16)
        self.loop.call_soon(self._turn)
        return self.listener.address

    def close(self) -> None:
        """Leave; the last decision stands."""
        for link in self.links.values():
            link.close()
        if self.listener is not None:
            self.listener.close()

    # The course.

    def _turn(self) -> None:
        if self.done.is_set:
            return
        self.loop.call_at(self.loop.now() + TURN_US, self._turn)
        for link in self.links.values():
            link.send(frames.MachineRequest())
        if not self.holds():
            self._say_once(
                "another controller has the fleet's lease, or no keeper can be reached: nothing is begun"
            )
            return
        if self._unwritten and not self._write():
            return
        course = self.course
        if course.state == RolloutState.PLANNED:
            self._stepped(course.apply_event(RolloutEvent.STARTED))
        elif course.state == RolloutState.PREFLIGHT:
            self._checked()
        elif course.state in FINAL_STATES:
            self._finish()
        else:
            self._go_on()

    def _checked(self) -> None:
        wrong = self.check()
        if wrong:
            self._stepped(self.course.apply_event(RolloutEvent.PREFLIGHT_FAILED, "; ".join(wrong)))
        elif self._known():
            self._stepped(self.course.apply_event(RolloutEvent.PREFLIGHT_PASSED))

    def _known(self) -> bool:
        """Whether every machine has said what it runs; brokers are named as they are then."""
        if len(self.views) < len(self.links):
            self._say_once(
                f"{len(self.links) - len(self.views)} of {len(self.links)} machines have not answered yet"
            )
            return False
        if not self.course.zones:
            self.course.zones = {running.broker: running.zone for running in self._runs.values()}
        return True

    def _go_on(self) -> None:
        course, now = self.course, self.loop.now()
        runs = {name: running.version for name, running in self._runs.items() if self._fresh(name)}
        wishes = course.desired_versions()
        failed = [
            name
            for name, running in self._runs.items()
            if running.failed and running.wanted == wishes.get(name) and running.wanted != course.old_version
        ]
        failed += [
            name
            for name, running in self._runs.items()
            if running.state == SupervisorState.GAVE_UP
            and course.state == RolloutState.DEPLOYING
            and name in course.updated_brokers()
        ]
        if self._stepped(course.observe_versions(runs, failed)):
            return
        changed, died = course.updated_brokers(), Counter[bool]()
        for name, running in self._runs.items():
            died[name in changed] += running.deaths - self._deaths.setdefault(name, running.deaths)
        if self._stepped(course.observe_exits(died[True], died[False])):
            return
        if course.state in (RolloutState.DEPLOYING, RolloutState.ROLLING_BACK):
            busy = {
                name for name, running in self._runs.items() if running.state in BUSY and self._fresh(name)
            }
            for name, version in course.next_updates(runs, busy).items():
                self._wish(name, version)
        if (
            course.state in (RolloutState.OBSERVING, RolloutState.HELD)
            and now - self._window_us >= course.window_duration_us
        ):
            self._window_us = now
            self._stepped(course.observe_window(self._windows()))
        elif course.state not in (RolloutState.OBSERVING, RolloutState.HELD):
            self._before = {}

    def _fresh(self, name: str) -> bool:
        """Whether its machine has spoken lately."""
        return self.loop.now() - self.viewed_us[self._at[name]] < 10 * TURN_US

    def _wish(self, name: str, version: str) -> None:
        self.crash(f"wish {name}")
        program, settings = self.files[version.rstrip(RESTART_SUFFIX)]
        self.links[self._at[name]].send(
            frames.DesiredVersion(self.course.term, self.course.number, name, version, program, settings)
        )

    def _windows(self) -> list[BrokerWindow]:
        """What each broker did since the last window."""
        out = []
        for name, running in self._runs.items():
            before = self._before.get(name)
            self._before[name] = running
            if before is None or name not in self.course.zones:
                continue
            same = before.run == running.run
            sums: dict[str, QueryStatistics] = {}
            for query_class, now_sums in running.classes.items():
                old = before.classes.get(query_class, {}) if same else {}
                row: defaultdict[str, float] = defaultdict(
                    float, {key: value - old.get(key, 0.0) for key, value in now_sums.items()}
                )
                sums[query_class] = QueryStatistics(
                    int(row["asked"]),
                    row["worth"],
                    int(row["in_aim"]),
                    int(row["refused"]),
                    int(row["failed"]),
                    int(row["partial"]),
                )
            out.append(
                BrokerWindow(
                    name,
                    running.zone,
                    running.version != self.course.old_version,
                    sums,
                    running.cpu_us - (before.cpu_us if same else 0),
                    running.memory,
                    running.deaths - before.deaths,
                    running.silent or not self._fresh(name),
                )
            )
        return out

    def _finish(self) -> None:
        """An end is one once all brokers that can be reached run what was decided; none is left to an old
        wish.
        """
        self.log("info", "ended", change=self.course.id, state=self.course.state, why=self.course.reason)
        self.done.set()

    # Steps.

    def _stepped(self, step: Transition | None) -> bool:
        if step is None:
            return False
        self.crash(f"before {step.after} {step.stage}")
        self.log(
            "warning" if step.after in (RolloutState.HELD, RolloutState.ROLLING_BACK) else "info",
            "step",
            change=self.course.id,
            before=step.before,
            after=step.after,
            stage=step.stage,
            why=step.reason,
            number=f"({self.course.term}, {step.number})",
        )
        self._write()
        self.crash(f"after {step.after} {step.stage}")
        return True

    def _write(self) -> bool:
        """Note where it stands, before anything follows from it."""
        try:
            write_atomically(self.folder / RECORD, json.dumps(self.course.to_record()))
        except OSError as problem:
            self._unwritten = True
            self._say_once(f"the course could not be written, nothing more is begun: {problem}")
            return False
        if self._unwritten:
            self.log("info", "the course is written again")
        self._unwritten = False
        return True

    def _say_once(self, text: str) -> None:
        if text != self._told:
            self._told = text
            self.log("warning", text)

    # Machines and operators.

    def _heard(self, address: str, message: frames.AnyMessage) -> None:
        match message:
            case frames.MachineView():
                self.views[address], self.viewed_us[address] = message, self.loop.now()
                for running in message.running:
                    self._runs[running.broker], self._at[running.broker] = running, address
            case frames.DesiredVersionReply(broker=broker, why=why) if why:
                self._refused[broker] += 1
                self._say_once(f"{broker}: a wish was not taken: {why}")
                if self._refused[broker] >= 3 and self.course.state == RolloutState.DEPLOYING:
                    self._stepped(self.course.apply_event(RolloutEvent.REGRESSED, f"{broker}: {why}"))

    def _serve(self, stream: Stream) -> Coro[None]:
        def heard(message: frames.AnyMessage) -> None:
            if isinstance(message, frames.OperatorCommand):
                stream.offer(frames.encode(self.order(message)))

        try:
            yield from inner_protocol.serve(stream, "rollout", "controller", heard, MESSAGE_MOST)
        except frames.FrameError as problem:
            self.log("warning", "control: not our wire", peer=stream.peer, why=str(problem))

    def order(self, order: frames.OperatorCommand) -> frames.RolloutStatus:
        """An operator's word."""
        if order.word in ("hold", "resume", "undo"):
            why = f"{order.word} by {order.who or 'an operator'}: {order.why or 'no reason given'}"
            if not self._stepped(self.course.apply_event(RolloutEvent(order.word), why)):
                return frames.RolloutStatus(
                    f"{order.word}: not while it is {self.course.state}", self.status()
                )
        elif order.word != "status":
            return frames.RolloutStatus(
                f"unknown word '{order.word}': hold, resume, undo, status", self.status()
            )
        return frames.RolloutStatus("", self.status())

    def status(self) -> dict[str, Any]:
        """How it stands."""
        changed, wishes = self.course.updated_brokers(), self.course.desired_versions()
        return {
            **self.course.to_record(),
            "holds": self.holds(),
            "brokers": {
                name: {
                    "zone": running.zone,
                    "runs": running.version,
                    "state": running.state,
                    "wanted": wishes.get(name, ""),
                    "changed": name in changed,
                    "failed": running.failed,
                    "fresh": self._fresh(name),
                }
                for name, running in sorted(self._runs.items())
            },
        }
