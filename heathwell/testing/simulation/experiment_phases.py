"""Phases of an experiment, relative to the fault that it injects."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class Phase(StrEnum):
    """The time of a query relative to the fault."""

    BEFORE = "before"
    DURING = "during"
    AFTER = "after"


PHASES: Final = tuple(Phase)


def phase_order(phase: Phase) -> int:
    """Return the place of a phase in time, to sort by."""
    return PHASES.index(phase)
