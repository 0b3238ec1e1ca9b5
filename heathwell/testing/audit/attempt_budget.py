"""Rule 6: no broker sends more additional attempts than its attempt budget permits."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from heathwell.testing.audit.run_records import AttemptRecord, RunRecords
from heathwell.testing.audit.verdict import Breach, breach_from

RULE = 6
ROUNDING_TOLERANCE = 1e-9


class _AdditionalAttempt(NamedTuple):
    started_at_us: int
    attempt: AttemptRecord


def check_attempt_budget(records: RunRecords) -> Iterator[Breach]:
    """Yield the additional attempts by which a broker exceeded its budget within the window."""
    window_us = records.parameters["counted_over"]
    if not window_us:
        return
    taken_at_us = _taken_at_us(records)
    for broker, attempts in _additional_attempts(records).items():
        sent_at_us = [sent_us for sent_us, _ in attempts]
        for number, (now_us, attempt) in enumerate(attempts, 1):
            sent_count = sum(now_us - window_us <= sent_us <= now_us for sent_us in sent_at_us[:number])
            taken_count = sum(now_us - window_us < taken_us <= now_us for taken_us in taken_at_us[broker])
            budget = records.parameters["free_resends"] + records.parameters["further_ratio"] * taken_count
            if sent_count > budget + ROUNDING_TOLERANCE:
                text = f"{sent_count} further attempts within the window, of {taken_count} taken"
                yield breach_from(RULE, attempt.part, text, attempt.send, attempt.arrive)


def _taken_at_us(records: RunRecords) -> dict[str, list[int]]:
    """Return, by broker, one instant for each query and each part that the broker accepted."""
    taken_at_us: dict[str, list[int]] = defaultdict(list)
    for query in records.queries.values():
        parts = query.take["parts"] + len(query.first_step_answers) * records.class_of(query)["fetch"]
        taken_at_us[query.take.who] += [query.take.t] * (1 + parts)
    return taken_at_us


def _additional_attempts(records: RunRecords) -> dict[str, list[_AdditionalAttempt]]:
    """Return the additional attempts of each broker, ordered by when they were sent."""
    by_broker: dict[str, list[_AdditionalAttempt]] = defaultdict(list)
    for attempt in records.attempts.values():
        if attempt.seq and attempt.arrive is not None:
            started = attempt.send or attempt.arrive
            by_broker[attempt.arrive["broker"]].append(_AdditionalAttempt(started.t, attempt))
    for attempts in by_broker.values():
        attempts.sort(key=lambda entry: entry.started_at_us)
    return by_broker
