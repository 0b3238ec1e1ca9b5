"""The agent of a node: starts, replaces and restarts the broker processes that controllers request.

Connects the supervisors, the processes, the state file and the control connections. A restarted agent adopts
the serving processes, which have continued to run. Imports the records of the state file, the broker
processes, the supervisor and the inner protocol.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from heathwell.codec import frames, inner_protocol
from heathwell.codec.http import HttpError
from heathwell.eventloop import ConnectError, Coro, Listener, Loop, Net, Stream, StreamBrokenError, sleep
from heathwell.fleet.control.broker_process import (
    ProcessLauncher,
    RunningProcess,
    SupervisedBroker,
    process_start_ticks,
    send_signal,
)
from heathwell.fleet.control.messages import MAX_MESSAGE_BYTES
from heathwell.fleet.control.service_report import fetch_service_report, read_ready_file
from heathwell.fleet.control.state_file import (
    AgentState,
    BrokerState,
    VersionFiles,
    base_version,
    load_agent_state,
    save_agent_state,
)
from heathwell.fleet.rollout import RolloutError, StaleDecisionError
from heathwell.fleet.rollout.broker_supervisor import (
    ApplySettings,
    LogMessage,
    StartProcess,
    StopProcess,
    SupervisorAction,
)
from heathwell.observability.digests import program_digest, settings_digest

TICK_INTERVAL_US = 100_000
POLL_INTERVAL_US = 500_000  # interval between polls of a broker's counters
POLL_TIMEOUT_US = 1_500_000
MAX_CONTROLLER_CONNECTIONS = 64
EXIT_NOT_STARTED = 127  # as the shell's exit code for a command that cannot be run


@dataclass(eq=False)
class DesiredVersionRejectedError(RolloutError):
    """A decision on a broker's version is rejected."""

    reason: str

    def __str__(self) -> str:
        return self.reason


class NodeAgent:
    """Runs ``brokers``, whose zone numbers are indexes of ``zones``; stores files and state in ``folder``.

    ``events`` is the folder of the brokers' event logs, or empty for none. The constructor creates ``folder``
    and restores the state file in it; errors of both propagate.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        name: str,
        folder: Path,
        brokers: list[SupervisedBroker],
        zones: list[str],
        *,
        log: Callable[..., None],
        events: str = "",
    ) -> None:
        self.loop = loop
        self.net = net
        self.name = name
        self.folder = folder
        self.zones = zones
        self.log = log
        self.launcher = ProcessLauncher(folder, events)
        self.brokers = {broker.name: broker for broker in brokers}
        self.versions: dict[str, VersionFiles] = {}
        self.listener: Listener | None = None
        self.stopping = False
        self.folder.mkdir(parents=True, exist_ok=True)
        self._restore_state()

    def start(self, listen: str) -> str:
        """Listen for controllers and start the timers; return the listening address."""
        self.listener = self.net.listen(listen, self._serve, f"agent {self.name}", MAX_CONTROLLER_CONNECTIONS)
        self.loop.call_soon(self._tick)
        for broker in self.brokers.values():
            self.loop.spawn(self._poll_forever(broker), f"asks {broker.name}")
        return self.listener.address

    def set_desired_version(self, decision: frames.DesiredVersion) -> None:
        """Apply a decision on the version of one broker; repeating one has no effect.

        Raises :class:`DesiredVersionRejectedError` for an unknown broker, files that cannot be read, a known
        version with other files, or a (term, number) below that of the last decision.
        """
        broker = self.brokers.get(decision.broker)
        if broker is None:
            known = ", ".join(sorted(self.brokers))
            raise DesiredVersionRejectedError(
                f"no broker {decision.broker} on this machine; there are {known}"
            )
        files = self._register_version(decision)
        try:
            actions = broker.supervisor.set_desired_version(
                self.loop.now(),
                decision.version,
                decision.term,
                decision.number,
                in_place=self._differs_in_settings_alone(broker, files),
            )
        except StaleDecisionError as error:
            raise DesiredVersionRejectedError(str(error)) from error
        self._save_state()
        self._execute(broker, actions)

    def stop(self) -> None:
        """Stop all processes, and start no more."""
        self.stopping = True
        for broker in self.brokers.values():
            for process in broker.processes.values():
                send_signal(process.pid, signal.SIGTERM)

    @property
    def process_count(self) -> int:
        """The number of processes that have not ended."""
        return sum(len(broker.processes) for broker in self.brokers.values())

    def view(self) -> frames.MachineView:
        """Return the status and the counters of each broker."""
        now_us = self.loop.now()
        return frames.MachineView(
            self.name, [self._broker_status(broker, now_us) for broker in self.brokers.values()]
        )

    # Versions.

    def _register_version(self, decision: frames.DesiredVersion) -> VersionFiles:
        """Record the paths and digests of a version's files."""
        base = base_version(decision.version)
        try:
            digests = (
                program_digest(Path(decision.program) / "heathwell"),
                settings_digest(decision.settings),
            )
        except OSError as error:
            raise DesiredVersionRejectedError(f"{error.filename}: {error.strerror}") from error
        known = self.versions.get(base)
        if known is not None and known.digests != digests:
            raise DesiredVersionRejectedError(
                f"version {base} is known here with other files: give the new ones another name"
            )
        files = VersionFiles(decision.program, decision.settings, digests)
        self.versions[base] = files
        return files

    def _differs_in_settings_alone(self, broker: SupervisedBroker, files: VersionFiles) -> bool:
        """Whether a version has the same program as the serving version, but other settings."""
        serving = self.versions.get(base_version(broker.supervisor.version))
        if serving is None:
            return False
        serving_program, serving_settings = serving.digests
        program, settings = files.digests
        return serving_program == program and serving_settings != settings

    def _files_of(self, version: str) -> VersionFiles:
        return self.versions[base_version(version)]

    # Actions of the supervisors.

    def _execute(self, broker: SupervisedBroker, actions: list[SupervisorAction]) -> None:
        for action in actions:
            match action:
                case StartProcess(run=run, version=version):
                    self._start_process(broker, run, version)
                case StopProcess(run=run, force=force):
                    if run in broker.processes:
                        number = signal.SIGKILL if force else signal.SIGTERM
                        send_signal(broker.processes[run].pid, number)
                case ApplySettings(run=run, version=version):
                    self._apply_settings(broker, run, version)
                case LogMessage(level=level, text=text):
                    self.log(level, text)

    def _apply_settings(self, broker: SupervisedBroker, run: int, version: str) -> None:
        """Write a version's settings and make the process read them (SIGHUP).

        A failure is only logged: the supervisor replaces the process after a timeout.
        """
        try:
            self.launcher.write_settings(broker, self._files_of(version))
        except OSError as error:
            self.log(
                "error", "could not write the broker's settings file", broker=broker.name, why=str(error)
            )
            return
        if run in broker.processes:
            send_signal(broker.processes[run].pid, signal.SIGHUP)

    def _start_process(self, broker: SupervisedBroker, run: int, version: str) -> None:
        if self.stopping:
            return
        files = self._files_of(version)
        self.launcher.ready_file(broker, run).unlink(missing_ok=True)
        try:
            broker.processes[run] = self.launcher.launch(broker, run, version, files)
        except OSError as error:
            self.log("error", "could not start a broker process", broker=broker.name, why=str(error))
            self.loop.call_soon(self._on_exit, broker, run, EXIT_NOT_STARTED)
            return
        self._save_state()

    # Observations.

    def _tick(self) -> None:
        now_us = self.loop.now()
        self.loop.call_at(now_us + TICK_INTERVAL_US, self._tick)
        for broker in self.brokers.values():
            for run, process in list(broker.processes.items()):
                exit_code = process.exit_code()
                if exit_code is not None:
                    self._on_exit(broker, run, exit_code)
                elif not process.admin_address and process.ready_file.exists():
                    self._on_ready(broker, run, process)
            self._execute(broker, broker.supervisor.tick(now_us))

    def _on_exit(self, broker: SupervisedBroker, run: int, exit_code: int) -> None:
        process = broker.processes.pop(run, None)
        in_flight = int(process.report.in_flight) if process is not None else 0
        if self.stopping:
            return
        actions = broker.supervisor.on_process_exited(self.loop.now(), run, exit_code, in_flight)
        self._execute(broker, actions)
        self._save_state()

    def _on_ready(self, broker: SupervisedBroker, run: int, process: RunningProcess) -> None:
        """Handle a process's ready file, whose digests must equal those of the version's files."""
        supervisor = broker.supervisor
        try:
            ready = read_ready_file(process.ready_file)
        except (ValueError, KeyError, OSError) as error:
            reason = f"its ready file: {error}"
            self._execute(broker, supervisor.on_process_rejected(self.loop.now(), run, reason))
            return
        process.admin_address = ready.admin_address
        process.reported_at_us = self.loop.now()
        expected = self._files_of(process.version).digests
        if ready.digests == expected:
            actions = supervisor.on_process_ready(self.loop.now(), run)
        else:
            reason = f"it reports that it runs {ready.digests}, its files are {expected}"
            actions = supervisor.on_process_rejected(self.loop.now(), run, reason)
        self._execute(broker, actions)
        self._save_state()

    def _poll_forever(self, broker: SupervisedBroker) -> Coro[None]:
        """Poll the counters of the serving process."""
        while True:
            yield from sleep(self.loop, POLL_INTERVAL_US)
            serving = broker.supervisor.serving
            process = broker.serving_process()
            if serving is None or process is None or not process.admin_address:
                continue
            task = self.loop.spawn(self._poll(process), f"asks {broker.name}")
            timer = self.loop.call_at(self.loop.now() + POLL_TIMEOUT_US, task.cancel)
            yield from task.join()
            timer.cancel()
            self._check_settings_applied(broker, serving.run, process)

    def _poll(self, process: RunningProcess) -> Coro[None]:
        """Poll a process once; one that does not answer for too long counts as silent."""
        try:
            report = yield from fetch_service_report(self.net, process.admin_address, POLL_TIMEOUT_US)
        except (ConnectError, StreamBrokenError, HttpError, ValueError):
            return
        if report is not None:
            process.report = report
            process.reported_at_us = self.loop.now()

    def _check_settings_applied(self, broker: SupervisedBroker, run: int, process: RunningProcess) -> None:
        """Notify the supervisor when a process reports the settings that it had to apply."""
        supervisor = broker.supervisor
        files = self.versions.get(base_version(supervisor.applying_version))
        if files is None or process.report.settings_digest != files.digests[1]:
            return
        actions = supervisor.on_settings_applied(self.loop.now(), run, supervisor.applying_version)
        self._execute(broker, actions)
        process.version = supervisor.version
        self._save_state()

    # Controllers.

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream,
                self.name,
                "agent",
                lambda message: self._on_message(stream, message),
                MAX_MESSAGE_BYTES,
            )
        except frames.FrameError as error:
            self.log("warning", "control connection closed: invalid frame", peer=stream.peer, why=str(error))

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        match message:
            case frames.DesiredVersion():
                stream.try_write(frames.encode(self._reply_to(message)))
            case frames.MachineRequest():
                stream.try_write(frames.encode(self.view()))

    def _reply_to(self, decision: frames.DesiredVersion) -> frames.DesiredVersionReply:
        reason = ""
        try:
            self.set_desired_version(decision)
        except DesiredVersionRejectedError as error:
            reason = error.reason
        return frames.DesiredVersionReply(decision.broker, decision.version, reason)

    def _broker_status(self, broker: SupervisedBroker, now_us: int) -> frames.BrokerStatus:
        supervisor = broker.supervisor
        process = broker.serving_process()
        silent = False
        if process is not None:
            silent = now_us - process.reported_at_us > POLL_INTERVAL_US + POLL_TIMEOUT_US
        status = frames.BrokerStatus(
            broker=broker.name,
            zone=self.zones[broker.zone_number],
            state=supervisor.state,
            version=supervisor.version,
            desired_version=supervisor.desired_version,
            failed=supervisor.failures.get(supervisor.desired_version, ""),
            run=supervisor.serving.run if supervisor.serving is not None else 0,
            deaths=supervisor.unexpected_exits,
            address=broker.address,
            silent=silent,
        )
        if process is not None:
            status.classes = process.report.query_classes
            status.cpu_us = process.report.cpu_us
            status.memory = process.report.memory
        return status

    # State file.

    def _save_state(self) -> None:
        """Write the state file. An error, such as a full disk, is logged and the agent continues."""
        brokers = {broker.name: broker.to_state() for broker in self.brokers.values()}
        try:
            save_agent_state(self.folder, AgentState(self.versions, brokers))
        except OSError as error:
            self.log("error", "could not write the agent's state file", why=str(error))

    def _restore_state(self) -> None:
        """Restore the state file, if there is one."""
        state = load_agent_state(self.folder)
        if state is None:
            return
        self.versions = state.versions
        for name, broker_state in state.brokers.items():
            broker = self.brokers.get(name)
            if broker is not None:
                self._restore_broker(broker, broker_state)

    def _restore_broker(self, broker: SupervisedBroker, state: BrokerState) -> None:
        """Adopt the serving process and stop the others, which were starting or draining."""
        supervisor = broker.supervisor
        broker.address = state.address
        supervisor.desired_version = state.desired_version
        supervisor.previous_version = state.previous_version
        supervisor.last_run = state.last_run
        supervisor.term = state.term
        supervisor.number = state.number
        for run, process in state.processes.items():
            if process_start_ticks(process.pid) != process.start_ticks:
                continue  # it has ended, and its pid may belong to another process now
            if run != state.serving_run:
                send_signal(process.pid, signal.SIGTERM)
                continue
            broker.processes[run] = RunningProcess(
                process.pid, process.version, process.start_ticks, Path(process.ready_file)
            )
            supervisor.adopt_process(self.loop.now(), run, process.version)
            self.log("info", "adopted", broker=broker.name, version=process.version, pid=process.pid)
