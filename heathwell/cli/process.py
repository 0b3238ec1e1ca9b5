"""Common code of the commands that run a server: options, event loop, logs, signals and exit codes."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import wraps
from pathlib import Path
from typing import Final

import click

from heathwell.cli import logs
from heathwell.eventloop import (
    Coro,
    Event,
    MonotonicClock,
    SkewedClock,
    configure_garbage_collector,
    socket_loop,
)
from heathwell.observability.digests import settings_digest
from heathwell.observability.event_log import EventLog, FileEventLog, NullEventLog
from heathwell.settings import ServiceSettings, SettingsError, load

MICROSECONDS_PER_SECOND: Final = 1e6


@contextmanager
def exit_on_input_errors(*invalid_input: type[Exception]) -> Iterator[None]:
    """Print an error and exit: 2 for settings errors and ``invalid_input``, 3 for an unreadable file."""
    input_errors: tuple[type[Exception], ...] = (SettingsError, *invalid_input)
    try:
        yield
    except input_errors as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"{error.filename}: {error.strerror}", err=True)
        sys.exit(3)


def load_settings_or_exit(path: str) -> ServiceSettings:
    """Return the settings of a file, or print all its errors and exit (see :func:`exit_on_input_errors`)."""
    with exit_on_input_errors():
        return load(path)


def coordinator_addresses(service_settings: ServiceSettings, addresses: str) -> list[str]:
    """Return the comma-separated ``addresses``, or those of the settings if there are none."""
    return addresses.split(",") if addresses else list(service_settings.fleet.coordinators)


class Process:
    """The process of a server: event loop, logs, event log, signals and ready line.

    The first SIGTERM or SIGINT sets ``stop``; the second one exits at once with code 1.
    """

    def __init__(
        self,
        config: str,
        name: str,
        role: str,
        *,
        events: str | None,
        ready_file: str | None,
        clock_rate: float = 1.0,
    ) -> None:
        self.config = config
        self.service_settings = load_settings_or_exit(config)
        self.digest = settings_digest(config)
        self.name = name
        self.ready_file = ready_file
        self.make_log = logs.configure_logging(self.service_settings.log)
        self.log = self.make_log(f"heathwell.{role}", name=name)
        self.loop, self.net, self.poller = socket_loop(
            clock=None if clock_rate == 1.0 else SkewedClock(clock_rate)
        )
        self.loop.on_error = self._log_task_error
        self.events: EventLog = self._open_event_log(events, role, clock_rate) if events else NullEventLog()
        self.stop = Event()
        self._signals = 0
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.poller.on_signal(signal_number, self._on_stop_signal)

    def _open_event_log(self, folder: str, role: str, clock_rate: float) -> FileEventLog:
        Path(folder).mkdir(parents=True, exist_ok=True)
        # Events have the time of the machine's clock, even if the process runs on a skewed one: the auditor
        # compares the times of different processes.
        event_log = FileEventLog(f"{folder}/{self.name}.jsonl", self.name, role, MonotonicClock())
        event_log("clock", rate=clock_rate)
        self.loop.at_turn_end(event_log.flush)
        return event_log

    def _log_task_error(self, task: str, error: BaseException) -> None:
        self.make_log("heathwell.eventloop")("error", "task ended by an error", task=task, exc_info=error)

    def _on_stop_signal(self) -> None:
        self._signals += 1
        if self._signals > 1:
            os._exit(1)
        self.stop.set()

    def ready(self, **fields: object) -> None:
        """Write the ready line (name, pid, ``fields``) as JSON to the ready file, or to standard output."""
        line = json.dumps({"name": self.name, "pid": os.getpid(), **fields})
        if not self.ready_file:
            print(line, flush=True)
            return
        unfinished = Path(self.ready_file + ".part")
        unfinished.write_text(line + "\n")
        unfinished.rename(self.ready_file)

    def run(self, main: Callable[[], Coro[object]]) -> None:
        """Run until the main coroutine ends; exit with code 3 where an address cannot be bound."""
        configure_garbage_collector()
        try:
            self.loop.run(self.loop.spawn(main(), "main"))
        except OSError as error:
            click.echo(f"{self.name}: {error}", err=True)
            sys.exit(3)
        self.loop.shutdown()
        if isinstance(self.events, FileEventLog):
            self.events.close()


# Applied in this order; `--help` lists them from the last to the first.
SERVING_OPTIONS: Final = (
    click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file."),
    click.option("--name", required=True, help="Name of the process in logs, unique across all runs."),
    click.option(
        "--events", type=click.Path(file_okay=False), help="Directory for the event log (default: none)."
    ),
    click.option(
        "--clock-rate",
        type=click.FloatRange(0.5, 2.0),
        default=1.0,
        hidden=True,
        help="For tests: rate of the process's clock, relative to the machine's.",
    ),
    click.option(
        "--ready-file",
        type=click.Path(dir_okay=False),
        help="File for the ready line, JSON with name, pid and addresses (default: standard output).",
    ),
)


def server_command(role: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Add :data:`SERVING_OPTIONS` to a command, and pass it a :class:`Process` made from them.

    ``role`` is the role of the process in its logs and event log.
    """

    def _add_options(command: Callable[..., None]) -> Callable[..., None]:
        @wraps(command)
        def _with_process(
            *,
            config: str,
            name: str,
            events: str | None,
            ready_file: str | None,
            clock_rate: float,
            **command_options: object,
        ) -> None:
            process = Process(config, name, role, events=events, ready_file=ready_file, clock_rate=clock_rate)
            command(process, **command_options)

        for option in SERVING_OPTIONS:
            _with_process = option(_with_process)
        return _with_process

    return _add_options
