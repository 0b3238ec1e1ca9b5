"""The state file of a rollout: where it stands, so that a controller started later continues from there.

Owns the file's name; its layout is that of :class:`RolloutRecord`. Imports the rollout package and the atomic
write of the state files.
"""

from __future__ import annotations

import json
from pathlib import Path

from heathwell.fleet.control.state_file import write_atomically
from heathwell.fleet.rollout import RolloutRecord

ROLLOUT_FILE_NAME = "rollout.json"


def save_rollout_record(folder: Path, record: RolloutRecord) -> None:
    """Write the rollout's file in ``folder``; raises :class:`OSError`."""
    write_atomically(folder / ROLLOUT_FILE_NAME, json.dumps(record))


def load_rollout_record(folder: Path) -> RolloutRecord | None:
    """Read the rollout's file in ``folder``; None where there is none.

    Raises :class:`OSError` or :class:`ValueError` where it cannot be read.
    """
    path = folder / ROLLOUT_FILE_NAME
    if not path.exists():
        return None
    record: RolloutRecord = json.loads(path.read_text())
    return record
