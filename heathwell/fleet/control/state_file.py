"""The state file of a node agent: the versions that it knows, and the broker processes that it has started.

The agent writes it before it acts on a decision, so that an agent started later can adopt the processes that
still serve. Owns the file's name and layout, which only :func:`save_agent_state` and :func:`load_agent_state`
depend on, and the atomic write that other control processes use too. Imports only the rollout package's
version suffix from heathwell.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypedDict

from heathwell.fleet.rollout import RESTART_SUFFIX

STATE_FILE_NAME = "agent.json"


@dataclass(slots=True)
class VersionFiles:
    """The paths of a version's files, and the digests that its processes must report."""

    program: str  # folder of the program tree
    settings: str  # path of the settings file
    digests: tuple[str, str] = ("", "")  # of the program, of the settings


@dataclass(frozen=True, slots=True)
class ProcessState:
    """A broker process that was started."""

    pid: int
    version: str
    start_ticks: int  # the kernel's start time: pids are reused, the pair of both is not
    ready_file: str


@dataclass(frozen=True, slots=True)
class BrokerState:
    """One broker: the last decision on its version, and its processes by run number."""

    address: str
    desired_version: str
    previous_version: str
    term: int
    number: int
    last_run: int
    serving_run: int  # 0 without a serving process
    processes: dict[int, ProcessState] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AgentState:
    """The state of a node agent: versions and brokers, each by name."""

    versions: dict[str, VersionFiles]
    brokers: dict[str, BrokerState]


def base_version(version: str) -> str:
    """Return the version without the suffix that marks a restart."""
    return version.rstrip(RESTART_SUFFIX)


class _BrokerRecord(TypedDict):
    """A broker in the state file. A process is stored as pid, version, start ticks and ready file."""

    address: str
    wanted: str
    kept: str
    term: int
    number: int
    runs: int
    serving: int
    processes: dict[str, tuple[int, str, int, str]]


def save_agent_state(folder: Path, state: AgentState) -> None:
    """Write the state file in ``folder``; raises :class:`OSError`."""
    record = {
        "versions": {
            name: [files.program, files.settings, list(files.digests)]
            for name, files in state.versions.items()
        },
        "brokers": {name: _broker_to_record(broker) for name, broker in state.brokers.items()},
    }
    write_atomically(folder / STATE_FILE_NAME, json.dumps(record))


def load_agent_state(folder: Path) -> AgentState | None:
    """Read the state file in ``folder``; None if there is no file.

    Raises :class:`OSError`, :class:`ValueError` or :class:`KeyError` if it cannot be read or is damaged.
    """
    path = folder / STATE_FILE_NAME
    if not path.exists():
        return None
    record = json.loads(path.read_text())
    versions = {
        name: VersionFiles(program, settings, (digests[0], digests[1]))
        for name, (program, settings, digests) in record["versions"].items()
    }
    brokers = {name: _broker_from_record(broker) for name, broker in record["brokers"].items()}
    return AgentState(versions, brokers)


def write_atomically(path: Path, text: str) -> None:
    """Replace a file's content atomically and durably: after a power failure it is the old or the new one.

    Raises :class:`OSError`; the file is unchanged in that case, unless only the sync of its folder failed.
    """
    partial = path.with_suffix(path.suffix + ".part")
    with partial.open("w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    partial.rename(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _broker_to_record(broker: BrokerState) -> _BrokerRecord:
    return {
        "address": broker.address,
        "wanted": broker.desired_version,
        "kept": broker.previous_version,
        "term": broker.term,
        "number": broker.number,
        "runs": broker.last_run,
        "serving": broker.serving_run,
        "processes": {
            str(run): (process.pid, process.version, process.start_ticks, process.ready_file)
            for run, process in broker.processes.items()
        },
    }


def _broker_from_record(record: _BrokerRecord) -> BrokerState:
    return BrokerState(
        address=record["address"],
        desired_version=record["wanted"],
        previous_version=record["kept"],
        term=record["term"],
        number=record["number"],
        last_run=record["runs"],
        serving_run=record["serving"],
        processes={int(run): ProcessState(*process) for run, process in record["processes"].items()},
    )
