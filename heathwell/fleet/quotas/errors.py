"""Errors of this package: a base class and the errors derived from it. Imports only the standard library."""

from __future__ import annotations


class QuotaError(ValueError):
    """Base of all errors of quotas."""


class InvalidBudgetError(QuotaError):
    """A budget with inconsistent values."""

    def __init__(self, budget: str, problem: str) -> None:
        super().__init__(f"budget {budget}: {problem}")
        self.budget = budget
        self.problem = problem


class UnknownBudgetError(QuotaError):
    """A budget that the coordinator was not started with."""

    def __init__(self, budget: str) -> None:
        super().__init__(f"budget {budget}: unknown to this coordinator; a new budget requires a restart")
        self.budget = budget


class BudgetResizeError(QuotaError):
    """A change to a budget that is not possible while brokers rely on the old values."""

    def __init__(self, budget: str, old_reserved: int, new_reserved: int) -> None:
        super().__init__(
            f"budget {budget}: only the total, the minimum grant, the burst window and the linger timeout "
            "may change without a restart, as brokers rely on the other values "
            f"(reserved: {old_reserved} before, {new_reserved} now)"
        )
        self.budget = budget
        self.old_reserved = old_reserved
        self.new_reserved = new_reserved


class UnitNotHeldError(QuotaError):
    """A release of a unit of a count while no unit is in use."""

    def __init__(self, budget: str) -> None:
        super().__init__(f"budget {budget}: released a unit while no unit is in use")
        self.budget = budget
