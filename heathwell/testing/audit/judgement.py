"""Checks a run against the six rules, request by request.

Resends, drains and slow starts are checked by the records of the hosts, final answers and their completeness
by those of the clients. The brokers' records assign attempts to queries and have the times of decisions; they
are checked against the records of the others.

All processes log times of one machine's monotonic clock, or times to which the run's offset was applied.
"""

from __future__ import annotations

from heathwell.testing.audit.attempt_budget import check_attempt_budget
from heathwell.testing.audit.client_values import check_client_values
from heathwell.testing.audit.completeness import check_completeness
from heathwell.testing.audit.drains import check_drains
from heathwell.testing.audit.effects import check_effects
from heathwell.testing.audit.final_answers import check_final_answers
from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.run_records import RunRecords
from heathwell.testing.audit.slow_starts import check_slow_starts
from heathwell.testing.audit.verdict import Verdict


def judge(events: list[Event], slack: int = 100_000) -> Verdict:
    """Return the verdict on a run.

    ``slack`` (us) allows for the delay between a decision and its arrival on a busy machine. Raise
    :class:`ValueError` without a ``run`` event, which has the parameters.
    """
    records = RunRecords(events, slack)
    verdict = Verdict()
    verdict.breaches += check_final_answers(records)
    verdict.breaches += check_effects(records)
    verdict.breaches += check_drains(records)
    verdict.breaches += check_slow_starts(records, verdict)
    verdict.breaches += check_completeness(records)
    verdict.breaches += check_client_values(records)
    verdict.breaches += check_attempt_budget(records)
    verdict.breaches.sort(key=lambda breach: (breach.rule, breach.request))
    verdict.counts |= {
        "queries": len(records.queries),
        "finals": sum(bool(query.finals) for query in records.queries.values()),
        "attempts": len(records.attempts),
        "arrivals": len(records.by_kind["arrive"]),
        "effects": len(records.by_kind["effect"]),
        "clients": len(records.by_kind["ask"]),
        "falls": len(records.by_kind["fell"]),
        "news": len(records.by_kind["news"]),
    }
    return verdict
