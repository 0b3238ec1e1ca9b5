"""The process of a rollout controller: what it is to roll out, and how the rollout ended."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from heathwell.fleet.control.rollout_file import load_rollout_record
from heathwell.fleet.rollout import RolloutRecord, RolloutState
from heathwell.fleet.rollout.rollout_controller import HistoryRow
from heathwell.testing.simulation.command_process import run_command, start_command

FINISH_TIMEOUT_SECONDS: Final = 150.0
POLL_INTERVAL_SECONDS: Final = 0.5
UNDO_TIMEOUT_SECONDS: Final = 30


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A rollout of a new version, as the options of ``heathwell rollout start`` give it.

    Programs and settings that are None, and an old version that is empty, are those of the fleet. ``name`` is
    the controller's folder under the fleet's. Durations are as in settings, such as ``10s``.
    """

    new_version: str
    program: Path | None = None
    settings: Path | None = None
    name: str = "change"
    stages: str = "1,50%,100%"
    min_stage_duration: str = "10s"
    max_stage_duration: str = "30s"
    proof_stage: str = "50%"
    extra_arguments: Sequence[str] = ()
    old_version: str = ""
    old_program: Path | None = None
    old_settings: Path | None = None


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """How a rollout ended; ``record`` is None where the controller wrote none."""

    exit_code: int
    record: RolloutRecord | None
    duration_seconds: float
    output: str

    @property
    def state(self) -> str | None:
        """The last state of the rollout; None without a record."""
        return self.record["state"] if self.record is not None else None

    @property
    def reason(self) -> str | None:
        """The reason of the last state; None without a record."""
        return self.record["why"] if self.record is not None else None

    @property
    def history(self) -> list[HistoryRow]:
        """The steps of the rollout; empty without a record."""
        return self.record["history"] if self.record is not None else []


class ControllerProcess:
    """A rollout controller; ``folder`` is where it keeps its record."""

    def __init__(self, folder: Path, arguments: Sequence[str]) -> None:
        self.folder = folder
        self.process = start_command(arguments, stderr=subprocess.STDOUT)

    def record(self) -> RolloutRecord | None:
        """Return the record of the rollout, or None before there is one."""
        return load_rollout_record(self.folder)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.process.kill()
        self.process.wait()

    def finish(
        self, timeout_seconds: float = FINISH_TIMEOUT_SECONDS, *, undo_held: bool = False
    ) -> RolloutResult:
        """Wait for the end of the rollout, and return how it ended; after the timeout the process is killed.

        With ``undo_held`` a rollout that is held for want of evidence is undone, as by an operator.
        """
        started_at_seconds = time.monotonic()
        if undo_held:
            self._undo_while_held(started_at_seconds + timeout_seconds)
        try:
            output, _ = self.process.communicate(timeout=timeout_seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            output, _ = self.process.communicate()
        duration_seconds = time.monotonic() - started_at_seconds
        return RolloutResult(self.process.returncode, self.record(), duration_seconds, output)

    def _undo_while_held(self, until_seconds: float) -> None:
        while self.process.poll() is None and time.monotonic() < until_seconds:
            time.sleep(POLL_INTERVAL_SECONDS)
            record = self.record()
            if record is None or record["state"] != RolloutState.HELD or record["by_trouble"]:
                continue
            arguments = ["rollout", "undo", "--why", "not shown to be sound", "--state", str(self.folder)]
            run_command(arguments, UNDO_TIMEOUT_SECONDS)
