"""The base of the errors of this package."""

from __future__ import annotations


class SimulationError(Exception):
    """An error of the harness of experiments, not of the program that it runs."""


class FleetError(SimulationError):
    """A fleet of processes that could not be started, or that rejected a command."""


class MemberStartError(FleetError):
    """A process ended before it served."""

    def __init__(self, name: str, exit_code: int) -> None:
        super().__init__(f"{name} did not start: exit code {exit_code}")
        self.name = name
        self.exit_code = exit_code


class MemberNotReadyError(FleetError):
    """A process has no address yet."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is not up")
        self.name = name


class MemberClosedError(FleetError):
    """A process closed the connection before it confirmed a fault."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} closed without taking the order")
        self.name = name


class MemberFaultError(FleetError):
    """A process rejected a fault; ``reason`` is its own text."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.reason = reason
