"""The event log: a JSON line for each thing that passed a socket, on demand only."""

from __future__ import annotations

import os
from typing import Any, Protocol

import msgspec


class EventLog(Protocol):
    """Where events go."""

    on: bool

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Note an event at the clock's time."""


class NoEvents:
    """No log: what runs by default."""

    on = False

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Nothing."""


class FileEvents:
    """Lines in a file, written before the turn's end so that a killed process leaves what it did.

    A line holds the time ``t`` (microseconds on the machine's monotonic clock, less the run's
    ``offset``), who wrote it, the event and its fields.
    """

    on = True

    def __init__(self, path: str, who: str, role: str, clock: Any, offset_us: int = 0) -> None:  # noqa: ANN401  # whatever has now()
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
        self._who, self._clock, self._offset = who, clock, offset_us
        self._encoder = msgspec.json.Encoder()
        self._lines: list[bytes] = []
        self("opened", role=role)

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Note an event."""
        line = {"t": self._clock.now() - self._offset, "who": self._who, "ev": event, **fields}
        self._lines.append(self._encoder.encode(line))

    def flush(self) -> None:
        """Write what was noted."""
        if self._lines:
            data = b"\n".join(self._lines) + b"\n"
            self._lines.clear()
            os.write(self._fd, data)

    def close(self) -> None:
        """Note an orderly end and close."""
        self("closed")
        self.flush()
        os.close(self._fd)


class ListEvents:
    """Events in memory, for tests on virtual time."""

    on = True

    def __init__(self, into: list[dict[str, Any]], who: str, role: str, clock: Any) -> None:  # noqa: ANN401  # whatever has now()
        self._into, self._who, self._clock = into, who, clock
        self("opened", role=role)

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Note an event."""
        self._into.append({"t": self._clock.now(), "who": self._who, "ev": event, **fields})

    def flush(self) -> None:
        """Nothing to do."""

    def close(self) -> None:
        """Note an orderly end."""
        self("closed")
