"""Judges the six rules from the event logs of clients, brokers and hosts; knows nothing of their code."""

from heathwell.audit.budgets import BudgetVerdict, judge_budgets
from heathwell.audit.freshness import AgeVerdict, judge_ages
from heathwell.audit.reader import Event, read_logs
from heathwell.audit.rules import Breach, Verdict, judge

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
