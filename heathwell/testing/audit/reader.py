"""Event logs to events that know their file and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec


class LogError(Exception):
    """A log that can't be read; the text names file and line."""


@dataclass(frozen=True, slots=True)
class Event:
    """One line: time in microseconds, who wrote it, what, and the fields."""

    t: int
    who: str
    ev: str
    fields: dict[str, Any]
    at: str

    def __getitem__(self, name: str) -> Any:
        return self.fields[name]


def event_from(line: dict[str, Any], at: str) -> Event:
    """An event; raises :class:`LogError` naming the field that is missing."""
    for name, kind in (("t", int), ("who", str), ("ev", str)):
        if not isinstance(line.get(name), kind):
            raise LogError(f"{at}: field '{name}' is missing or not {kind.__name__}")
    return Event(line["t"], line["who"], line["ev"], line, at)


def from_lines(lines: Iterable[dict[str, Any]]) -> list[Event]:
    """Events of a run in memory."""
    return [event_from(line, f"#{number}") for number, line in enumerate(lines)]


def read_logs(paths: Iterable[str | Path]) -> list[Event]:
    """The events of files and of folders of ``.jsonl`` files, by time. A torn last line (its writer was
    killed) is left out; any other bad line raises :class:`LogError`."""
    events: list[Event] = []
    for path in map(Path, paths):
        for file in sorted(path.glob("*.jsonl")) if path.is_dir() else [path]:
            data = file.read_bytes()
            lines = data.split(b"\n")
            for number, raw in enumerate(lines, 1):
                if not raw:
                    continue
                at = f"{file.name}:{number}"
                try:
                    line = msgspec.json.decode(raw)
                except msgspec.DecodeError as problem:
                    if number == len(lines):
                        continue
                    raise LogError(f"{at}: not JSON: {problem}") from None
                if not isinstance(line, dict):
                    raise LogError(f"{at}: an object is expected")
                events.append(event_from(line, at))
    events.sort(key=lambda event: event.t)
    return events
