"""The event log: a JSON line for each thing that passed a socket, on demand only."""

from __future__ import annotations

import os
from typing import Any, Protocol

import msgspec

EventRecord = dict[str, Any]
"""An event: its time ``t`` (us), who logged it, its name ``ev``, and its own fields, each of a JSON type."""


class EventClock(Protocol):
    """The clock that events are logged by."""

    def now(self) -> int:
        """Return the time (us)."""


class EventLog(Protocol):
    """Where events go; ``is_enabled`` is false where they are dropped, so that costly fields are not made."""

    is_enabled: bool

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Log an event at the clock's time."""

    def flush(self) -> None:
        """Write the events logged so far."""

    def close(self) -> None:
        """Log an orderly end, flush and close."""


class NoEvents:
    """No event log: the default."""

    is_enabled = False

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class FileEvents:
    """Lines in a file, flushed before a turn of the loop ends, so that a killed process leaves what it did.

    A line is an :data:`EventRecord`; its time is that of the clock less ``offset_us``, which is the start of
    the run.
    """

    is_enabled = True

    def __init__(self, path: str, who: str, role: str, clock: EventClock, offset_us: int = 0) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
        self._who = who
        self._clock = clock
        self._offset_us = offset_us
        self._encoder = msgspec.json.Encoder()
        self._lines: list[bytes] = []
        self("opened", role=role)

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Log an event at the clock's time."""
        line = {"t": self._clock.now() - self._offset_us, "who": self._who, "ev": event, **fields}
        self._lines.append(self._encoder.encode(line))

    def flush(self) -> None:
        """Write the events logged so far."""
        if self._lines:
            data = b"\n".join(self._lines) + b"\n"
            self._lines.clear()
            os.write(self._file, data)

    def close(self) -> None:
        """Log an orderly end, flush and close."""
        self("closed")
        self.flush()
        os.close(self._file)


class ListEvents:
    """Events in memory, for tests on virtual time."""

    is_enabled = True

    def __init__(self, into: list[EventRecord], who: str, role: str, clock: EventClock) -> None:
        self._into = into
        self._who = who
        self._clock = clock
        self("opened", role=role)

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Log an event at the clock's time."""
        self._into.append({"t": self._clock.now(), "who": self._who, "ev": event, **fields})

    def flush(self) -> None:
        """Do nothing: each event is in the list at once."""

    def close(self) -> None:
        """Log an orderly end."""
        self("closed")
