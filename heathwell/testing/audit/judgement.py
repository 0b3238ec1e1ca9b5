"""The judgement of a run by the six rules, per request.

The hosts' records decide on resends, drains and slow starts, the clients' on final answers and honesty. A
broker's records connect a thing with its query and give the instants of decisions; they are checked against
the others.

Times of different processes are one machine's monotonic clock, or carry the run's offset.
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
    """Judge a run; raise :class:`ValueError` without its ``run`` event, which holds the parameters.

    ``slack`` (us) allows for the delay between a decision and its arrival on a busy machine.
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
