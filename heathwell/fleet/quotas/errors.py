"""Errors of this package.

Job: one base class and the typed errors below it. Owns no state. May import the standard library only.
"""

from __future__ import annotations


class QuotaError(ValueError):
    """Base of all errors of quotas."""


class InvalidBudgetError(QuotaError):
    """A budget whose values contradict each other."""

    def __init__(self, budget: str, problem: str) -> None:
        super().__init__(f"budget {budget}: {problem}")
        self.budget = budget
        self.problem = problem


class UnknownBudgetError(QuotaError):
    """A budget that the coordinator was not started with."""

    def __init__(self, budget: str) -> None:
        super().__init__(f"budget {budget}: begins with a restart only")
        self.budget = budget


class BudgetResizeError(QuotaError):
    """A change of a budget that is not possible while brokers run that rely on the old values."""

    def __init__(self, budget: str, old_reserved: int, new_reserved: int) -> None:
        super().__init__(
            f"budget {budget}: only the total, the minimum grant and the timeouts may change while it runs, "
            f"not what is reserved ({old_reserved} before, {new_reserved} now): brokers rely on it"
        )
        self.budget = budget
        self.old_reserved = old_reserved
        self.new_reserved = new_reserved


class UnitNotHeldError(QuotaError):
    """A release of a unit while none is in use."""

    def __init__(self, budget: str) -> None:
        super().__init__(f"budget {budget}: a unit is released that nobody holds")
        self.budget = budget
