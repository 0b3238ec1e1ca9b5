"""The file with a rollout's record, from which a controller that is started later continues.

Owns the file's name; its layout is :class:`RolloutRecord`. Imports the rollout package and the atomic write
of state files.
"""

from __future__ import annotations

import json
from pathlib import Path

from heathwell.fleet.control.state_file import write_atomically
from heathwell.fleet.rollout import RolloutRecord

ROLLOUT_FILE_NAME = "rollout.json"


def save_rollout_record(folder: Path, record: RolloutRecord) -> None:
    """Write the rollout's record to its file in ``folder``; raises :class:`OSError`."""
    write_atomically(folder / ROLLOUT_FILE_NAME, json.dumps(record))


def load_rollout_record(folder: Path) -> RolloutRecord | None:
    """Read the rollout's record from its file in ``folder``; None if there is no file.

    Raises :class:`OSError` or :class:`ValueError` if it cannot be read.
    """
    path = folder / ROLLOUT_FILE_NAME
    if not path.exists():
        return None
    record: RolloutRecord = json.loads(path.read_text())
    return record
