"""Exceptions of the rollout package. Imports nothing of heathwell."""

from __future__ import annotations

from dataclasses import dataclass


class RolloutError(Exception):
    """Base of all errors that this package raises."""


class InvalidPlanError(RolloutError, ValueError):
    """The stages or limits of a plan contradict each other."""


@dataclass(eq=False)
class RecordMismatchError(RolloutError, ValueError):
    """A stored record belongs to another rollout than the one that is to be restored from it."""

    rollout_id: str
    old_version: str
    new_version: str

    def __str__(self) -> str:
        return f"the record is of change {self.rollout_id}, {self.old_version} to {self.new_version}"


@dataclass(eq=False)
class StaleDecisionError(RolloutError):
    """A decision is older than the last one taken: its (term, number) is the smaller pair."""

    term: int
    number: int
    last_term: int
    last_number: int

    def __str__(self) -> str:
        return f"({self.term}, {self.number}) is older than ({self.last_term}, {self.last_number})"
