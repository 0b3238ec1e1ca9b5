"""The process of a rollout: drives the rollout's state machine with the reports of the machines' agents.

Owns the connections to the agents, the operators' listener and the rollout's file, which is written before a
transition takes effect. The :class:`RolloutController` makes the decisions. Imports that package, the view of
the fleet, the file and the inner protocol.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import TypedDict

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Event, Listener, Loop, Net, Stream
from heathwell.fleet.control.fleet_view import FleetView
from heathwell.fleet.control.link import ControlLink
from heathwell.fleet.control.messages import MAX_MESSAGE_BYTES
from heathwell.fleet.control.rollout_file import load_rollout_record, save_rollout_record
from heathwell.fleet.control.state_file import VersionFiles, base_version
from heathwell.fleet.rollout import (
    FINAL_STATES,
    RolloutController,
    RolloutEvent,
    RolloutRecord,
    RolloutState,
    Transition,
)
from heathwell.fleet.rollout.broker_supervisor import SupervisorState

TICK_INTERVAL_US = 200_000
REPORT_TIMEOUT_US = 10 * TICK_INTERVAL_US  # time without a report after which a machine counts as lost
MAX_OPERATOR_CONNECTIONS = 16
REJECTION_LIMIT = 3  # rejections of one broker's desired version after which the rollout is rolled back
BUSY_STATES = frozenset(
    {
        SupervisorState.STARTING,
        SupervisorState.REPLACING,
        SupervisorState.DRAINING,
        SupervisorState.WAITING,
    }
)
OBSERVATION_STATES = frozenset({RolloutState.OBSERVING, RolloutState.HELD})
UPDATE_STATES = frozenset({RolloutState.DEPLOYING, RolloutState.ROLLING_BACK})
WARNING_STATES = frozenset({RolloutState.HELD, RolloutState.ROLLING_BACK})
OPERATOR_EVENTS = frozenset({"hold", "resume", "undo"})  # operator commands that are values of RolloutEvent
STATUS_COMMAND = "status"


class BrokerStatusRecord(TypedDict):
    """One broker in the status for operators; the field names are the keys of the reply's JSON."""

    zone: str
    runs: str
    state: str
    wanted: str
    changed: bool
    failed: str
    fresh: bool


class RolloutStatusRecord(RolloutRecord):
    """The rollout's record, whether this controller holds the rollout lease, and each broker's state."""

    holds: bool
    brokers: dict[str, BrokerStatusRecord]


class RolloutRunner:
    """Runs one rollout until it has ended, which sets ``done``.

    ``is_leader`` returns whether this is currently the active controller; while it is not, the rollout waits.
    ``preflight`` returns the problems that prevent the rollout. ``files`` are the files of each version by
    name. ``crash_at`` is called with the name of each point at which tests may kill the process. A record in
    ``folder`` is continued under the new ``term``; errors while reading it propagate.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        controller: RolloutController,
        folder: Path,
        machines: list[str],
        files: dict[str, VersionFiles],
        *,
        term: int,
        is_leader: Callable[[], bool],
        log: Callable[..., None],
        preflight: Callable[[], list[str]],
        crash_at: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.net = net
        self.controller = controller
        self.folder = folder
        self.files = files
        self.is_leader = is_leader
        self.log = log
        self.preflight = preflight
        self.crash_at = crash_at
        self.done = Event()
        self.listener: Listener | None = None
        self.fleet = FleetView(REPORT_TIMEOUT_US)
        self._rejections: Counter[str] = Counter()
        self._window_ended_at_us = 0
        self._is_unsaved = False
        self._last_warning = ""
        self._restore(term)
        self.links = {address: self._connect(address, seed) for seed, address in enumerate(machines)}

    def start(self, listen: str) -> str:
        """Listen for operators and start the timer; return the listening address."""
        self.listener = self.net.listen(listen, self._serve, "rollout", MAX_OPERATOR_CONNECTIONS)
        self.loop.call_soon(self._tick)
        return self.listener.address

    def close(self) -> None:
        """Close all connections; the last decisions remain in effect."""
        for link in self.links.values():
            link.close()
        if self.listener is not None:
            self.listener.close()

    def on_command(self, command: frames.OperatorCommand) -> frames.RolloutStatus:
        """Carry out an operator's command; the reply's text is the error, if any."""
        if command.word in OPERATOR_EVENTS:
            operator = command.who or "an operator"
            reason = f"{command.word} by {operator}: {command.why or 'no reason given'}"
            if not self._complete(self.controller.apply_event(RolloutEvent(command.word), reason)):
                text = f"{command.word}: not while it is {self.controller.state}"
                return self._status_reply(text)
        elif command.word != STATUS_COMMAND:
            text = f"unknown word '{command.word}': hold, resume, undo, status"
            return self._status_reply(text)
        return self._status_reply("")

    def _status_reply(self, error_text: str) -> frames.RolloutStatus:
        return frames.RolloutStatus(error_text, dict(self.status()))

    def status(self) -> RolloutStatusRecord:
        """Return the rollout's record and each broker's state, for operators."""
        now_us = self.loop.now()
        updated = self.controller.updated_brokers()
        desired = self.controller.desired_versions()
        return {
            **self.controller.to_record(),
            "holds": self.is_leader(),
            "brokers": {
                name: {
                    "zone": status.zone,
                    "runs": status.version,
                    "state": status.state,
                    "wanted": desired.get(name, ""),
                    "changed": name in updated,
                    "failed": status.failed,
                    "fresh": self.fleet.is_recent(now_us, name),
                }
                for name, status in sorted(self.fleet.statuses.items())
            },
        }

    # The rollout.

    def _tick(self) -> None:
        if self.done.is_set:
            return
        self.loop.call_at(self.loop.now() + TICK_INTERVAL_US, self._tick)
        for link in self.links.values():
            link.send(frames.MachineRequest())
        if not self.is_leader():
            self._warn_once(
                "waiting for the rollout lease: another controller holds it, or no coordinator is reachable"
            )
            return
        if self._is_unsaved and not self._save():
            return
        controller = self.controller
        if controller.state == RolloutState.PLANNED:
            self._complete(controller.apply_event(RolloutEvent.STARTED))
        elif controller.state == RolloutState.PREFLIGHT:
            self._run_preflight()
        elif controller.state in FINAL_STATES:
            self._finish()
        else:
            self._advance()

    def _run_preflight(self) -> None:
        problems = self.preflight()
        if problems:
            event = RolloutEvent.PREFLIGHT_FAILED
            self._complete(self.controller.apply_event(event, "; ".join(problems)))
        elif self._is_fleet_known():
            self._complete(self.controller.apply_event(RolloutEvent.PREFLIGHT_PASSED))

    def _is_fleet_known(self) -> bool:
        """Whether every machine has reported; the brokers known at that time are those of the rollout."""
        missing = len(self.links) - self.fleet.machine_count
        if missing > 0:
            self._warn_once(f"waiting for the first report of {missing} of {len(self.links)} machines")
            return False
        if not self.controller.zones:
            self.controller.zones = {status.broker: status.zone for status in self.fleet.statuses.values()}
        return True

    def _advance(self) -> None:
        """Pass the observations to the controller; return after the first transition."""
        controller = self.controller
        running_versions = self.fleet.running_versions(self.loop.now())
        if self._complete(controller.observe_versions(running_versions, self._failed_brokers())):
            return
        exits = self.fleet.count_exits(controller.updated_brokers())
        if self._complete(controller.observe_exits(exits.canary, exits.baseline)):
            return
        if controller.state in UPDATE_STATES:
            self._update_brokers(running_versions)
        if controller.state in OBSERVATION_STATES:
            self._observe_window()
        else:
            self.fleet.reset_windows()

    def _failed_brokers(self) -> list[str]:
        """Return the brokers that could not run their desired version."""
        controller = self.controller
        desired = controller.desired_versions()
        failed = [
            name
            for name, status in self.fleet.statuses.items()
            if status.failed
            and status.desired_version == desired.get(name)
            and status.desired_version != controller.old_version
        ]
        if controller.state == RolloutState.DEPLOYING:
            updated = controller.updated_brokers()
            failed += [
                name
                for name, status in self.fleet.statuses.items()
                if status.state == SupervisorState.FAILED and name in updated
            ]
        return failed

    def _update_brokers(self, running_versions: dict[str, str]) -> None:
        now_us = self.loop.now()
        busy = {
            name
            for name, status in self.fleet.statuses.items()
            if status.state in BUSY_STATES and self.fleet.is_recent(now_us, name)
        }
        for name, version in self.controller.next_updates(running_versions, busy).items():
            self._send_desired_version(name, version)

    def _send_desired_version(self, broker: str, version: str) -> None:
        self.crash_at(f"wish {broker}")
        files = self.files[base_version(version)]
        decision = frames.DesiredVersion(
            self.controller.term,
            self.controller.number,
            broker,
            version,
            files.program,
            files.settings,
        )
        self.links[self.fleet.machine_of(broker)].send(decision)

    def _observe_window(self) -> None:
        """Pass a window to the controller when it is over."""
        now_us = self.loop.now()
        controller = self.controller
        if now_us - self._window_ended_at_us < controller.window_duration_us:
            return
        self._window_ended_at_us = now_us
        windows = self.fleet.end_window(now_us, controller.zones, controller.old_version)
        self._complete(controller.observe_window(windows))

    def _finish(self) -> None:
        """End the run, once the rollout is in a final state."""
        controller = self.controller
        self.log("info", "ended", change=controller.id, state=controller.state, why=controller.reason)
        self.done.set()

    # Transitions and their record.

    def _restore(self, term: int) -> None:
        controller = self.controller
        record = load_rollout_record(self.folder)
        if record is not None:
            controller.restore(record, term)
            self.log(
                "info",
                "rollout continues from its record",
                change=controller.id,
                state=controller.state,
                stage=controller.stage,
            )
        controller.term = term

    def _complete(self, step: Transition | None) -> bool:
        """Log and save a transition; return whether there was one."""
        if step is None:
            return False
        self.crash_at(f"before {step.after} {step.stage}")
        self.log(
            "warning" if step.after in WARNING_STATES else "info",
            "step",
            change=self.controller.id,
            before=step.before,
            after=step.after,
            stage=step.stage,
            why=step.reason,
            number=f"({self.controller.term}, {step.number})",
        )
        self._save()
        self.crash_at(f"after {step.after} {step.stage}")
        return True

    def _save(self) -> bool:
        """Write the record; until this succeeds the rollout does not proceed."""
        try:
            save_rollout_record(self.folder, self.controller.to_record())
        except OSError as error:
            self._is_unsaved = True
            self._warn_once(f"could not write the rollout's record, the rollout does not proceed: {error}")
            return False
        if self._is_unsaved:
            self.log("info", "the rollout's record can be written again, the rollout proceeds")
        self._is_unsaved = False
        return True

    def _warn_once(self, text: str) -> None:
        """Log a warning unless it equals the last one."""
        if text != self._last_warning:
            self._last_warning = text
            self.log("warning", text)

    # Agents and operators.

    def _connect(self, address: str, seed: int) -> ControlLink:
        return ControlLink(
            self.loop,
            self.net,
            address,
            f"rollout {self.controller.id}",
            "controller",
            silence_timeout_us=REPORT_TIMEOUT_US,
            seed=seed,
            on_message=lambda message: self._on_message(address, message),
            log=self.log,
        )

    def _on_message(self, address: str, message: frames.AnyMessage) -> None:
        match message:
            case frames.MachineView():
                self.fleet.on_report(self.loop.now(), address, message)
            case frames.DesiredVersionReply(broker=broker, why=reason) if reason:
                self._on_rejected(broker, reason)

    def _on_rejected(self, broker: str, reason: str) -> None:
        """Handle an agent's rejection of a desired version; repeated ones roll back the rollout."""
        self._rejections[broker] += 1
        self._warn_once(f"{broker}: the agent rejected the desired version: {reason}")
        if self._rejections[broker] >= REJECTION_LIMIT and self.controller.state == RolloutState.DEPLOYING:
            self._complete(self.controller.apply_event(RolloutEvent.REGRESSED, f"{broker}: {reason}"))

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream,
                "rollout",
                "controller",
                lambda message: self._on_operator_message(stream, message),
                MAX_MESSAGE_BYTES,
            )
        except frames.FrameError as error:
            self.log("warning", "control connection closed: invalid frame", peer=stream.peer, why=str(error))

    def _on_operator_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.OperatorCommand):
            stream.try_write(frames.encode(self.on_command(message)))
