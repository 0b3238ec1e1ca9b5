"""Supervises the processes of one broker, and replaces its version without closing its listening socket.

The new process is started beside the old one and shares its listening socket. The old process is stopped only
when the new one serves and has reported the digests of the version's files; it then completes its requests in
flight. A process that crashes is restarted with exponential backoff. After too many crashes the supervisor
falls back to the previous version, or stops until an operator sets a version.

Owns the roles of the processes, the delays and the failures of one broker. Does no I/O: it returns the
actions to carry out. Imports the errors of this package. All times are on one monotonic clock, in
microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from heathwell.fleet.rollout.errors import StaleDecisionError


class SupervisorState(StrEnum):
    """States of a broker on its machine. The values are used in the machine's report."""

    EMPTY = "empty"
    STARTING = "starting"
    RUNNING = "running"
    REPLACING = "replacing"
    DRAINING = "draining"
    APPLYING = "applying"
    WAITING = "waiting"
    FAILED = "gave up"


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start a process of a version; ``run`` numbers this broker's processes."""

    run: int
    version: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Stop a process by SIGTERM, or with ``force`` by SIGKILL."""

    run: int
    force: bool = False


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Apply the settings of another version of the same program to a running process."""

    run: int
    version: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators."""

    level: str
    text: str


SupervisorAction = StartProcess | StopProcess | ApplySettings | LogMessage


@dataclass(frozen=True, slots=True)
class SupervisorLimits:
    """Timeouts and delays (us), and limits on crashes and starts."""

    start_timeout_us: int = 30_000_000
    drain_timeout_us: int = 10_000_000
    apply_timeout_us: int = 3_000_000  # until a process must report new settings; after that it is replaced
    initial_backoff_us: int = 200_000
    max_backoff_us: int = 10_000_000
    crash_limit: int = 6  # consecutive crashes, each within ``crash_interval_us`` of the previous one
    crash_interval_us: int = 30_000_000
    start_attempts: int = 2  # while another process serves, after which the version counts as failed


@dataclass(slots=True)
class BrokerProcess:
    """One process of a broker; ``stop_requested_at_us`` is None until a stop is requested."""

    run: int
    version: str
    started_at_us: int
    stop_requested_at_us: int | None = None


@dataclass(slots=True)
class BrokerSupervisor:
    """Keeps ``desired_version`` of one broker running.

    At most one process serves, one is starting (beside it or alone) and one is draining. ``failures`` is the
    reason by version why it could not be run. An empty string means no version. Methods return actions, which
    the caller must carry out in order.
    """

    name: str
    limits: SupervisorLimits = field(default_factory=SupervisorLimits)
    state: SupervisorState = SupervisorState.EMPTY
    desired_version: str = ""
    previous_version: str = ""  # version that served before, used as the fallback
    serving: BrokerProcess | None = None
    starting: BrokerProcess | None = None
    draining: BrokerProcess | None = None
    applying_version: str = ""  # version whose settings the serving process is applying
    apply_requested_at_us: int = 0
    last_run: int = 0
    unexpected_exits: int = 0
    failures: dict[str, str] = field(default_factory=dict)
    term: int = 0
    number: int = 0
    _crashes: int = 0
    _last_crash_at_us: int | None = None
    _next_start_at_us: int = 0
    _failed_starts: int = 0
    _actions: list[SupervisorAction] = field(default_factory=list)

    @property
    def version(self) -> str:
        """The version of the serving process; empty without one."""
        return self.serving.version if self.serving is not None else ""

    def set_desired_version(
        self, now_us: int, version: str, term: int = 0, number: int = 0, *, in_place: bool = False
    ) -> list[SupervisorAction]:
        """Apply a decision on the version to run; repeating one has no effect.

        ``in_place``: the version differs from the serving one only in its settings, which the running process
        may apply. Raises :class:`StaleDecisionError` for a (term, number) below that of the last decision.
        """
        if (term, number) < (self.term, self.number):
            raise StaleDecisionError(term, number, self.term, self.number)
        self.term = term
        self.number = number
        if version != self.desired_version:
            self._change_desired_version(now_us, version, in_place=in_place)
        self._reconcile(now_us)
        return self._take_actions()

    def on_process_ready(self, now_us: int, run: int) -> list[SupervisorAction]:
        """Handle that the starting process serves: the process that served before is drained."""
        process = self.starting
        if process is None or process.run != run:
            return []
        replaced = self.serving
        self.starting = None
        self.serving = process
        if replaced is not None and replaced.version != process.version:
            self.previous_version = replaced.version
        self._log("info", f"version {process.version} is serving")
        if replaced is not None:
            self._stop(now_us, replaced)
            self.draining = replaced
        self._reconcile(now_us)
        return self._take_actions()

    def on_process_rejected(self, now_us: int, run: int, reason: str) -> list[SupervisorAction]:
        """Handle that the starting process serves but did not report the expected digests: it is killed."""
        process = self.starting
        if process is None or process.run != run:
            return []
        self._kill_starting(now_us, process)
        self._record_failed_start(now_us, process.version, reason)
        # The next tick starts another process.
        return self._take_actions()

    def on_settings_applied(self, now_us: int, run: int, version: str) -> list[SupervisorAction]:
        """Handle the serving process's report that it has applied the settings of a version."""
        serving = self.serving
        if serving is not None and serving.run == run and self.applying_version == version:
            self.previous_version = serving.version
            serving.version = version
            self.applying_version = ""
            self._log("info", f"applied the settings of version {version} without a restart")
            self._reconcile(now_us)
        return self._take_actions()

    def on_process_exited(
        self, now_us: int, run: int, exit_code: int, in_flight: int = 0
    ) -> list[SupervisorAction]:
        """Handle that a process has exited; ``in_flight`` is the number of requests in its last report."""
        if self.draining is not None and self.draining.run == run:
            drained = self.draining
            self.draining = None
            if exit_code != 0:
                self._record_failed_drain(drained, exit_code, in_flight)
        elif self.starting is not None and self.starting.run == run:
            failed = self.starting
            self.starting = None
            self._record_failed_start(now_us, failed.version, f"ended with {exit_code} before it served")
        elif self.serving is not None and self.serving.run == run:
            crashed = self.serving
            self.serving = None
            self.unexpected_exits += 1
            self._log(
                "error", f"process of version {crashed.version} exited unexpectedly with code {exit_code}"
            )
            self._back_off(now_us)
        self._reconcile(now_us)
        return self._take_actions()

    def tick(self, now_us: int) -> list[SupervisorAction]:
        """Handle timeouts and start a process if one is due. Must be called at short intervals."""
        self._check_start_timeout(now_us)
        self._check_drain_timeout(now_us)
        self._check_apply_timeout(now_us)
        self._reconcile(now_us)
        return self._take_actions()

    def adopt_process(self, now_us: int, run: int, version: str) -> None:
        """Adopt a serving process that an earlier supervisor started."""
        self.last_run = max(self.last_run, run)
        self.serving = BrokerProcess(run, version, now_us)
        self.state = SupervisorState.RUNNING

    # Decisions and timeouts.

    def _change_desired_version(self, now_us: int, version: str, *, in_place: bool) -> None:
        self.desired_version = version
        self.failures.pop(version, None)
        self._failed_starts = 0
        self._crashes = 0
        self._next_start_at_us = now_us
        if self.state is SupervisorState.FAILED:
            self.state = SupervisorState.EMPTY
        if self.starting is not None and self.starting.version != version:
            self._kill_starting(now_us, self.starting)  # it has not accepted any connection yet
        self.applying_version = ""
        serving = self.serving
        if in_place and serving is not None and serving.version != version and self.draining is None:
            self.applying_version = version
            self.apply_requested_at_us = now_us
            self._actions.append(ApplySettings(serving.run, version))

    def _check_start_timeout(self, now_us: int) -> None:
        process = self.starting
        if process is None or now_us - process.started_at_us < self.limits.start_timeout_us:
            return
        self._kill_starting(now_us, process)
        self._record_failed_start(now_us, process.version, "did not serve in time")

    def _check_drain_timeout(self, now_us: int) -> None:
        process = self.draining
        if process is None or process.stop_requested_at_us is None:
            return
        if now_us - process.stop_requested_at_us < self.limits.drain_timeout_us:
            return
        seconds = self.limits.drain_timeout_us / 1e6
        self._log(
            "warning", f"process of version {process.version} did not drain within {seconds:g} s; killing it"
        )
        self._stop(now_us, process, force=True)

    def _check_apply_timeout(self, now_us: int) -> None:
        if not self.applying_version:
            return
        if now_us - self.apply_requested_at_us < self.limits.apply_timeout_us:
            return
        seconds = self.limits.apply_timeout_us / 1e6
        self._log(
            "warning",
            f"settings of version {self.applying_version} were not applied within {seconds:g} s; "
            "replacing the process",
        )
        self.applying_version = ""

    # Failures.

    def _record_failed_start(self, now_us: int, version: str, reason: str) -> None:
        """Record a failed start.

        While another process serves, the version fails after ``start_attempts``; otherwise each failure
        counts as a crash.
        """
        self._log("error", f"process of version {version} failed to start: {reason}")
        self._failed_starts += 1
        if self.serving is None:
            self.failures[version] = reason
            self._back_off(now_us)
        elif self._failed_starts >= self.limits.start_attempts:
            self.failures[version] = reason

    def _record_failed_drain(self, process: BrokerProcess, exit_code: int, in_flight: int) -> None:
        """Record a failed drain as a failure of the desired version.

        A rollout restarts a process of the new version to observe its drain, so the drained process may be of
        that version.
        """
        self.unexpected_exits += 1
        self.failures[self.desired_version] = f"{process.version} ended with {exit_code}, {in_flight} held"
        self._log(
            "error",
            f"process of version {process.version} exited with code {exit_code} while draining, "
            f"{in_flight} requests in flight",
        )

    def _back_off(self, now_us: int) -> None:
        """Delay the next start after a crash; after too many, fall back to the previous version or stop."""
        last_crash_at_us = self._last_crash_at_us
        recent = last_crash_at_us is not None and now_us - last_crash_at_us < self.limits.crash_interval_us
        self._crashes = self._crashes + 1 if recent else 1
        self._last_crash_at_us = now_us
        backoff_us = self.limits.initial_backoff_us * 2 ** (self._crashes - 1)
        self._next_start_at_us = now_us + min(backoff_us, self.limits.max_backoff_us)
        if self._crashes < self.limits.crash_limit:
            return
        if self.previous_version and self.desired_version not in self.failures:
            self.failures[self.desired_version] = f"ended {self._crashes} times in a row"
            self._crashes = 0
            self._log(
                "error",
                f"version {self.desired_version} keeps crashing; falling back to {self.previous_version}",
            )
        else:
            self.state = SupervisorState.FAILED
            self._log(
                "error",
                f"not restarted after {self._crashes} consecutive crashes; an operator must set a version",
            )

    # Processes.

    def _reconcile(self, now_us: int) -> None:
        """Start a process if one is due, and update the state."""
        if self.state is SupervisorState.FAILED:
            return
        if self._is_start_due(now_us):
            self._start(now_us, self._version_to_start())
        self.state = self._current_state()

    def _is_start_due(self, now_us: int) -> bool:
        if not self.desired_version or self.starting is not None or self.draining is not None:
            return False
        if self.serving is None:
            return now_us >= self._next_start_at_us
        if self.applying_version:
            return False
        return self.serving.version != self.desired_version and self.desired_version not in self.failures

    def _version_to_start(self) -> str:
        if self.desired_version in self.failures and self.previous_version:
            return self.previous_version
        return self.desired_version

    def _current_state(self) -> SupervisorState:
        """Return the state, which is derived from the processes instead of a transition table.

        Only FAILED is entered by an event (:meth:`_back_off`) and left by a new decision.
        """
        if self.serving is not None and self.applying_version:
            return SupervisorState.APPLYING
        if self.draining is not None:
            return SupervisorState.DRAINING
        if self.starting is not None:
            return SupervisorState.STARTING if self.serving is None else SupervisorState.REPLACING
        if self.serving is not None:
            return SupervisorState.RUNNING
        return SupervisorState.WAITING if self.desired_version else SupervisorState.EMPTY

    def _start(self, now_us: int, version: str) -> None:
        self.last_run += 1
        self.starting = BrokerProcess(self.last_run, version, now_us)
        self._actions.append(StartProcess(self.last_run, version))

    def _stop(self, now_us: int, process: BrokerProcess, *, force: bool = False) -> None:
        process.stop_requested_at_us = now_us
        self._actions.append(StopProcess(process.run, force))

    def _kill_starting(self, now_us: int, process: BrokerProcess) -> None:
        self._stop(now_us, process, force=True)
        self.starting = None

    # Actions.

    def _take_actions(self) -> list[SupervisorAction]:
        actions = self._actions
        self._actions = []
        return actions

    def _log(self, level: str, text: str) -> None:
        self._actions.append(LogMessage(level, f"{self.name}: {text}"))
