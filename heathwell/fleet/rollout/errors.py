"""Exceptions of the rollout package. Imports no other package of heathwell."""

from __future__ import annotations

from dataclasses import dataclass


class RolloutError(Exception):
    """Base class of all errors that this package raises."""


class InvalidPlanError(RolloutError, ValueError):
    """The stages or limits of a plan are invalid."""


@dataclass(eq=False)
class RecordMismatchError(RolloutError, ValueError):
    """A stored record belongs to another rollout than the one to be restored."""

    rollout_id: str
    old_version: str
    new_version: str

    def __str__(self) -> str:
        return (
            f"the stored record belongs to rollout {self.rollout_id} "
            f"from version {self.old_version} to {self.new_version}"
        )


@dataclass(eq=False)
class StaleDecisionError(RolloutError):
    """A decision's (term, number) is below that of the last accepted decision."""

    term: int
    number: int
    last_term: int
    last_number: int

    def __str__(self) -> str:
        return f"({self.term}, {self.number}) is older than ({self.last_term}, {self.last_number})"
