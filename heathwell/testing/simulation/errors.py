"""The base of the exceptions that simulations raise."""

from __future__ import annotations


class SimulationError(Exception):
    """A simulation can't be carried out, or ended by a fault of its own."""


class ScenarioTaskError(SimulationError):
    """A task of a scenario ended by an exception, which is this one's cause."""

    def __init__(self, task: str) -> None:
        super().__init__(f"task {task} failed")
        self.task = task
