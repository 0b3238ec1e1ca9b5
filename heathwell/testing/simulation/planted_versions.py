"""Versions of this program to roll out: copies of its tree, as they are or with one planted defect."""

from __future__ import annotations

import shutil
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final

from heathwell.testing.simulation.errors import FleetError

PACKAGE: Final = Path(__file__).resolve().parents[2]


class Defect(StrEnum):
    """Defects that can be planted."""

    DOES_NOT_START = "does not start"
    DIES_AFTER_A_WHILE = "dies after 5 s"
    DIES_ON_SIGTERM = "dies on SIGTERM"
    CLASS_DEGRADED = "a class worse"
    DOUBLE_CPU = "twice the processor"
    MEMORY_LEAK = "leaks"
    STALLS_AFTER_A_WHILE = "stalls after a while"
    OLD_PROTOCOL = "an older wire"
    FALSE_DIGEST = "a false digest"


class EditError(FleetError):
    """A file does not have the text that an edit replaces."""

    def __init__(self, path: str, text: str) -> None:
        super().__init__(f"{path}: no {text!r} to replace")
        self.path = path
        self.text = text


@dataclass(frozen=True, slots=True)
class SourceEdit:
    """A change of one place in a source file; ``path`` is relative to the package."""

    path: str
    old: str
    new: str

    def apply(self, package: Path) -> None:
        """Edit the file in a copy of the package; raise :class:`EditError` where it lacks the old text."""
        file = package / self.path
        text = file.read_text()
        if self.old not in text:
            raise EditError(self.path, self.old)
        file.write_text(text.replace(self.old, self.new, 1))


BROKER_MAIN: Final = "    def _run_broker() -> Coro[None]:\n        options = BrokerOptions("
REPLY_MADE: Final = "    def on_reply_made(self, query: ServiceQuery, reply: Reply, took_us: int) -> None:\n"
ADMISSION: Final = "        self._check_storm(plan, client)\n"

DEFECTS: Final[Mapping[Defect, SourceEdit]] = {
    Defect.DOES_NOT_START: SourceEdit(
        "cli/serve.py", BROKER_MAIN, "    raise SystemExit(9)\n\n" + BROKER_MAIN
    ),
    Defect.DIES_AFTER_A_WHILE: SourceEdit(
        "cli/serve.py",
        BROKER_MAIN,
        "    import os\n    process.loop.call_at(process.loop.now() + 5_000_000, lambda: os._exit(3))\n\n"
        + BROKER_MAIN,
    ),
    Defect.DIES_ON_SIGTERM: SourceEdit(
        "cli/process.py", "        self._signals += 1\n", "        os._exit(1)\n"
    ),
    Defect.CLASS_DEGRADED: SourceEdit(
        "service/query_admission.py",
        ADMISSION,
        ADMISSION + "        spec = self._broker.settings.classes[plan.query_class]\n"
        "        if sum(plan.key.encode()) % 8 == 0 and spec.name == 'price-search':\n"
        "            raise AdmissionRejectedError(RejectionReason.FULL, 0)\n",
    ),
    Defect.DOUBLE_CPU: SourceEdit(
        "service/service_broker.py",
        REPLY_MADE,
        REPLY_MADE + "        import time\n        end = time.process_time() + 0.02\n"
        "        while time.process_time() < end:\n            pass\n",
    ),
    Defect.MEMORY_LEAK: SourceEdit(
        "service/service_broker.py",
        REPLY_MADE,
        REPLY_MADE + "        self.__dict__.setdefault('leak', []).append(bytearray(3_000_000))\n",
    ),
    Defect.STALLS_AFTER_A_WHILE: SourceEdit(
        "cli/serve.py",
        BROKER_MAIN,
        "    process.loop.call_at(process.loop.now() + 6_000_000, lambda: time.sleep(1000))\n\n"
        + BROKER_MAIN,
    ),
    Defect.OLD_PROTOCOL: SourceEdit("codec/frames/framing.py", "VERSION = 1\n", "VERSION = 0\n"),
    Defect.FALSE_DIGEST: SourceEdit(
        "cli/serve.py", '"program": program_digest(PACKAGE)', '"program": "0123456789abcdef"'
    ),
}


def plant_version(folder: Path, name: str, defect: Defect | None = None) -> Path:
    """Return the program tree of a new version, which differs in its digest and by the defect.

    Raise :class:`EditError` where the program has no place for the defect any more.
    """
    tree = folder / name.replace(" ", "-")
    package = tree / "heathwell"
    shutil.copytree(PACKAGE, package, ignore=shutil.ignore_patterns("__pycache__"))
    (package / "_version.py").write_text(f'"""Planted."""\n\nNAME = "{name}"\n')
    if defect is not None:
        DEFECTS[defect].apply(package)
    return tree
