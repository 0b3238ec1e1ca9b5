"""The event log of a run's harness, beside those of the processes."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Final

FILE_NAME: Final = "run.jsonl"
NS_PER_US: Final = 1000


class RunLog:
    """Appends events to a file in the folder of the event logs."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def write(self, event: str, **fields: object) -> None:
        """Write an event with the present time of the monotonic clock (us)."""
        record = {"t": time.monotonic_ns() // NS_PER_US, "who": "run", "ev": event, **fields}
        with self._path.open("a", encoding="utf-8") as log:
            log.write(json.dumps(record) + "\n")
