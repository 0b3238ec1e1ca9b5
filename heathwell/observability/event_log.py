"""The event log: one JSON line for each event, such as a message sent or received. It is off by default."""

from __future__ import annotations

import os
from typing import Any, Protocol

import msgspec

EventRecord = dict[str, Any]
"""An event: its time ``t`` (us), the process ``who`` that logged it, its name ``ev``, and its own fields."""


class EventClock(Protocol):
    """The clock that timestamps events."""

    def now(self) -> int:
        """Return the time in microseconds."""


class EventLog(Protocol):
    """A sink of events. Callers skip computing costly fields where ``is_enabled`` is false."""

    is_enabled: bool

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Log an event at the clock's time."""

    def flush(self) -> None:
        """Write the events logged so far."""

    def close(self) -> None:
        """Log the event ``closed``, which marks a graceful shutdown, then flush and close."""


class NullEventLog:
    """An event log that drops all events."""

    is_enabled = False

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class FileEventLog:
    """An event log in a file of JSON lines.

    The event loop calls :meth:`flush` at the end of each iteration, so that a killed process loses at most
    the events of one iteration. Times are relative to ``offset_us``, the start of the run on the same clock.
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
        """Log the event ``closed``, then flush and close."""
        self("closed")
        self.flush()
        os.close(self._file)


class InMemoryEventLog:
    """An event log in a list, for tests on virtual time."""

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
        """Do nothing: events are not buffered."""

    def close(self) -> None:
        """Log the event ``closed``."""
        self("closed")
