"""The base of the errors of this package."""

from __future__ import annotations


class SimulationError(Exception):
    """An error of the harness of experiments, not of the program that it runs."""
