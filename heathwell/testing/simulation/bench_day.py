"""A day of the bench, read from a JSON file: its length, servers, query classes and faults."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Final

import msgspec

from heathwell.testing.simulation.errors import SimulationError

REQUIRED_FIELDS: Final = ("troubles", "length", "servers", "classes")


class BenchDayError(SimulationError):
    """A file that is not a day of the bench; the text names what is wrong."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class BenchWave(msgspec.Struct, frozen=True, rename={"at_us": "at", "stopped": "stop"}):
    """One wave of a deployment: the servers that are stopped."""

    at_us: int | float
    stopped: list[int] | None = None


class BenchFault(
    msgspec.Struct,
    frozen=True,
    rename={
        "at_us": "at",
        "duration_us": "len",
        "extra_seconds": "extra",
        "servers": "on",
        "index": "which",
        "manner": "how",
        "waves": "steps",
    },
):
    """One fault of a day; the meaning of ``size`` and ``index`` depends on the kind."""

    kind: str
    at_us: int | float
    duration_us: int | float
    size: float | None = None
    extra_seconds: float | None = None
    servers: list[int] | None = None
    index: int | float | None = None
    manner: str | None = None
    waves: list[BenchWave] | None = None


class BenchClass(msgspec.Struct, frozen=True):
    """A query class of a day."""

    share: float = 1.0


class BenchDay(msgspec.Struct, frozen=True, rename={"length_us": "length", "faults": "troubles"}):
    """A day of the bench."""

    length_us: int | float
    servers: list[object]
    classes: list[BenchClass]
    faults: list[BenchFault]


def load_bench_day(path: str) -> BenchDay:
    """Return the day of a file. Raise :class:`BenchDayError` or :class:`OSError`."""
    try:
        day = json.loads(Path(path).read_text(encoding="utf-8"))
    except ValueError as error:
        raise BenchDayError(path, f"not JSON: {error}") from None
    for name in REQUIRED_FIELDS:
        if not isinstance(day, dict) or name not in day:
            raise BenchDayError(path, f"not a day of the bench: '{name}' is missing")
    try:
        return msgspec.convert(day, BenchDay, strict=False)
    except msgspec.ValidationError as error:
        raise BenchDayError(path, f"not a day of the bench: {error}") from None
