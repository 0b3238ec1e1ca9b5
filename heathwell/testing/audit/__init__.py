"""Checks the six rules of a run by the event logs of clients, brokers and hosts, without using their code."""

from heathwell.testing.audit.budgets import BudgetVerdict, judge_budgets
from heathwell.testing.audit.freshness import AgeVerdict, judge_ages
from heathwell.testing.audit.judgement import judge
from heathwell.testing.audit.reader import Event, read_logs
from heathwell.testing.audit.verdict import Breach, Verdict

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
