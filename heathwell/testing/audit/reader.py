"""Reads event logs to events that carry their file and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

FieldValue = Any  # as the record's writer logged it
JsonObject = dict[str, FieldValue]
REQUIRED_FIELDS = (("t", int), ("who", str), ("ev", str))


class LogError(Exception):
    """A log that can't be read: ``problem`` at ``location`` (file and line)."""

    def __init__(self, location: str, problem: str) -> None:
        self.location = location
        self.problem = problem
        super().__init__(f"{location}: {problem}")


@dataclass(frozen=True, slots=True)
class Event:
    """One record. ``t`` (us), ``who`` and ``ev`` are the record's own names for time, writer and kind."""

    t: int
    who: str
    ev: str
    fields: JsonObject
    location: str

    def __getitem__(self, name: str) -> FieldValue:
        return self.fields[name]


def event_from(record: JsonObject, location: str) -> Event:
    """Return the event of a record; raise :class:`LogError` naming the field that is missing."""
    for name, kind in REQUIRED_FIELDS:
        if not isinstance(record.get(name), kind):
            raise LogError(location, f"field '{name}' is missing or not {kind.__name__}")
    return Event(record["t"], record["who"], record["ev"], record, location)


def from_lines(records: Iterable[JsonObject]) -> list[Event]:
    """Return the events of a run in memory."""
    return [event_from(record, f"#{number}") for number, record in enumerate(records)]


def read_logs(paths: Iterable[str | Path]) -> list[Event]:
    """Return the events of files and of directories of ``.jsonl`` files, by time.

    A torn last line, whose writer was killed, is skipped; any other bad line raises :class:`LogError`.
    """
    events: list[Event] = []
    for path in map(Path, paths):
        for file in sorted(path.glob("*.jsonl")) if path.is_dir() else [path]:
            events += _read_file(file)
    events.sort(key=lambda event: event.t)
    return events


def _read_file(file: Path) -> list[Event]:
    events = []
    lines = file.read_bytes().split(b"\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        location = f"{file.name}:{number}"
        try:
            record = msgspec.json.decode(line)
        except msgspec.DecodeError as error:
            if number == len(lines):
                continue
            raise LogError(location, f"not JSON: {error}") from None
        if not isinstance(record, dict):
            raise LogError(location, "an object is expected")
        events.append(event_from(record, location))
    return events
