"""Judges the six rules from the event logs of clients, brokers and hosts; knows nothing of their code."""

from heathwell.testing.audit.budgets import BudgetVerdict, judge_budgets
from heathwell.testing.audit.freshness import AgeVerdict, judge_ages
from heathwell.testing.audit.reader import Event, read_logs
from heathwell.testing.audit.rules import Breach, Verdict, judge

__all__ = [
    "AgeVerdict",
    "Breach",
    "BudgetVerdict",
    "Event",
    "Verdict",
    "judge",
    "judge_ages",
    "judge_budgets",
    "read_logs",
]
