"""Reads event logs into events, each with its file and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

FieldValue = Any  # not validated: each kind of event has fields of its own
JsonObject = dict[str, FieldValue]
REQUIRED_FIELDS = (("t", int), ("who", str), ("ev", str))


class LogError(Exception):
    """A log has an invalid record; ``location`` is its file and line."""

    def __init__(self, location: str, problem: str) -> None:
        self.location = location
        self.problem = problem
        super().__init__(f"{location}: {problem}")


@dataclass(frozen=True, slots=True)
class Event:
    """One record of an event log.

    ``t`` is its time (us), ``who`` its writer and ``ev`` its kind, as the fields are named in the log.
    """

    t: int
    who: str
    ev: str
    fields: JsonObject
    location: str

    def __getitem__(self, name: str) -> FieldValue:
        return self.fields[name]


def event_from(record: JsonObject, location: str) -> Event:
    """Return the event of a record. Raise :class:`LogError` for a missing field or one of another type."""
    for name, kind in REQUIRED_FIELDS:
        if not isinstance(record.get(name), kind):
            raise LogError(location, f"field '{name}' is missing or not {kind.__name__}")
    return Event(record["t"], record["who"], record["ev"], record, location)


def from_lines(records: Iterable[JsonObject]) -> list[Event]:
    """Return the events of records in memory, in their order."""
    return [event_from(record, f"#{number}") for number, record in enumerate(records)]


def read_logs(paths: Iterable[str | Path]) -> list[Event]:
    """Return the events of files and of directories of ``.jsonl`` files, ordered by time.

    An incomplete last line, whose writer was killed, is skipped; any other invalid line raises
    :class:`LogError`.
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
            raise LogError(location, f"expected a JSON object, got {type(record).__name__}")
        events.append(event_from(record, location))
    return events
